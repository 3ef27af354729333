//! Encodes the DNS query for the endpoint list and parses its answer. Pure functions without I/O.

use hickory_proto::op::{Edns, Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{Name, RData, RecordType};
use std::collections::HashMap;
use std::fmt;
use std::net::Ipv4Addr;
use std::str::FromStr;

/// The DNS name that the endpoint list is published under.
pub const ENDPOINT_LIST_NAME: &str = "_data._tcp.farm.lan.";
/// The maximum size of a UDP answer that the query announces (EDNS).
const MAX_UDP_PAYLOAD_BYTES: u16 = 8192;

/// Why an answer was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerError {
    /// Not a DNS message.
    Malformed,
    /// Not a response, or a response to another query.
    QueryMismatch,
    /// The truncation flag is set.
    Truncated,
    /// The server returned this DNS error code.
    ErrorCode(u16),
    /// There is no SOA record, and so no serial.
    MissingSerial,
}

impl fmt::Display for AnswerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed => write!(f, "malformed"),
            Self::QueryMismatch => write!(f, "not a response to an open query"),
            Self::Truncated => write!(f, "truncated"),
            Self::ErrorCode(code) => write!(f, "the server returned error code {code}"),
            Self::MissingSerial => write!(f, "the answer has no SOA record"),
        }
    }
}

impl std::error::Error for AnswerError {}

/// One engine in an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Host {
    /// The engine ID: the first label of the SRV target.
    pub id: String,
    /// The zone: the second label of the SRV target.
    pub zone: String,
    /// The port of the SRV record.
    pub port: u16,
    /// The engine is draining: it completes its open requests and accepts no new ones.
    pub draining: bool,
    /// The address, if the answer contains an A record for the target.
    pub address: Option<Ipv4Addr>,
    /// Attributes from TXT records, such as `kind`, `cell` and `started`.
    pub attributes: HashMap<String, String>,
}

/// The complete endpoint list at one serial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Serial of the SOA record: the number of the last change.
    pub serial: u32,
    /// All engines in the list.
    pub hosts: Vec<Host>,
}

/// Encodes the query for the whole list. With `accept_large_answers` it announces, by EDNS, that answers may be larger
/// than plain DNS allows.
pub fn encode_query(id: u16, accept_large_answers: bool) -> Option<Vec<u8>> {
    let name = Name::from_str(ENDPOINT_LIST_NAME).ok()?;
    let mut message = Message::new(id, MessageType::Query, OpCode::Query);
    message.metadata.recursion_desired = false;
    message.add_query(Query::query(name, RecordType::SRV));
    if accept_large_answers {
        let mut edns = Edns::new();
        edns.set_max_payload(MAX_UDP_PAYLOAD_BYTES);
        message.edns = Some(edns);
    }
    message.to_vec().ok()
}

/// Parses the answer to one of the queries with these ids.
///
/// # Errors
/// If it is not a complete and valid answer. The caller must leave the list unchanged in that case.
pub fn parse_answer(bytes: &[u8], query_ids: &[u16]) -> Result<Answer, AnswerError> {
    let message = Message::from_vec(bytes).map_err(|_| AnswerError::Malformed)?;
    let name = Name::from_str(ENDPOINT_LIST_NAME).map_err(|_| AnswerError::Malformed)?;
    let header = &message.metadata;
    if !query_ids.contains(&header.id)
        || header.message_type != MessageType::Response
        || message.queries.iter().any(|q| *q.name() != name || q.query_type() != RecordType::SRV)
    {
        return Err(AnswerError::QueryMismatch);
    }
    if header.truncation {
        return Err(AnswerError::Truncated);
    }
    if header.response_code != ResponseCode::NoError {
        return Err(AnswerError::ErrorCode(header.response_code.into()));
    }
    let serial = message.authorities.iter().chain(&message.answers).find_map(|record| match &record.data {
        RData::SOA(soa) => Some(soa.serial),
        _ => None,
    });
    let serial = serial.ok_or(AnswerError::MissingSerial)?;
    let mut addresses = HashMap::new();
    let mut attributes: HashMap<Name, HashMap<String, String>> = HashMap::new();
    for record in message.additionals.iter().chain(&message.answers) {
        match &record.data {
            RData::A(a) => {
                addresses.insert(record.name.clone(), a.0);
            }
            RData::TXT(txt) => {
                let pairs = txt.txt_data.iter().filter_map(|t| std::str::from_utf8(t).ok()?.split_once('='));
                let of_target = attributes.entry(record.name.clone()).or_default();
                of_target.extend(pairs.map(|(k, v)| (k.to_owned(), v.to_owned())));
            }
            _ => {}
        }
    }
    let hosts = message.answers.iter().filter_map(|record| {
        let RData::SRV(srv) = &record.data else { return None };
        let mut labels = srv.target.iter().map(|l| String::from_utf8_lossy(l).into_owned());
        Some(Host {
            id: labels.next()?,
            zone: labels.next()?,
            port: srv.port,
            draining: srv.priority > 0,
            address: addresses.get(&srv.target).copied(),
            attributes: attributes.remove(&srv.target).unwrap_or_default(),
        })
    });
    Ok(Answer { serial, hosts: hosts.collect() })
}
