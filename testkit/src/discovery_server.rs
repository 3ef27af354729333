//! A test double of the discovery server: answers DNS queries with the endpoint list that the test sets.

use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::rdata::{A, SOA, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use std::borrow::Cow;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// An engine in the endpoint list.
#[derive(Clone, Debug)]
pub struct ListedEngine {
    /// Id of the engine.
    pub id: Cow<'static, str>,
    /// Its address, which must be IPv4.
    pub address: SocketAddr,
    /// Whether it takes no new requests.
    pub draining: bool,
    /// When it started, in Unix time, in milliseconds.
    pub started_ms: u64,
}

/// The DNS answer with an endpoint list, before it is encoded: `id` is that of the query, `serial` that of the list.
///
/// # Panics
///
/// If an endpoint's id is no DNS label, or its address is not IPv4.
pub fn answer(id: u16, serial: u32, endpoints: &[ListedEngine]) -> Message {
    let list = Name::from_str("_data._tcp.farm.lan.").unwrap();
    let mut message = Message::new(id, MessageType::Response, OpCode::Query);
    message.metadata.response_code = ResponseCode::NoError;
    message.add_query(Query::query(list.clone(), RecordType::SRV));
    for endpoint in endpoints {
        add_endpoint(&mut message, &list, endpoint);
    }
    let soa = SOA::new(list.clone(), list.clone(), serial, 1, 1, 1, 1);
    message.add_authority(Record::from_rdata(list, 0, RData::SOA(soa)));
    message
}

/// Adds the SRV, A and TXT records of an endpoint. A draining endpoint has priority 1, all others 0.
fn add_endpoint(message: &mut Message, list: &Name, endpoint: &ListedEngine) {
    let target = Name::from_str(&format!("{}.hall-a.hosts.", endpoint.id)).unwrap();
    let srv = SRV::new(u16::from(endpoint.draining), 10, endpoint.address.port(), target.clone());
    message.add_answer(Record::from_rdata(list.clone(), 0, RData::SRV(srv)));
    let SocketAddr::V4(v4) = endpoint.address else { panic!("not IPv4") };
    message.add_additional(Record::from_rdata(target.clone(), 0, RData::A(A(*v4.ip()))));
    let text = vec!["kind=std-8c".into(), "cell=1".into(), format!("started={}", endpoint.started_ms)];
    message.add_additional(Record::from_rdata(target, 0, RData::TXT(TXT::new(text))));
}

/// The endpoint list that a discovery server answers with: its serial, and the endpoints. A test changes it while the server
/// runs.
pub type EngineList = Arc<Mutex<(u32, Vec<ListedEngine>)>>;

/// Maximum size of a query, in bytes.
const MAX_QUERY_BYTES: usize = 600;

/// A UDP socket on a free port of the loopback interface, and its address.
async fn bind() -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    (socket, address)
}

/// The encoded answer to an encoded query, with the current list.
fn encoded_answer(query: &[u8], list: &EngineList) -> Vec<u8> {
    let query = Message::from_vec(query).unwrap();
    let list = list.lock().unwrap();
    answer(query.metadata.id, list.0, &list.1).to_vec().unwrap()
}

/// Starts a discovery server that answers each query with the current list. Returns its address, and a counter of its
/// answers.
///
/// # Panics
///
/// If no socket can be bound.
pub async fn start_server(list: EngineList) -> (SocketAddr, Arc<Mutex<u32>>) {
    let (socket, address) = bind().await;
    let answer_count = Arc::new(Mutex::new(0));
    let counter = answer_count.clone();
    tokio::spawn(async move {
        let mut buffer = [0; MAX_QUERY_BYTES];
        while let Ok((size, client)) = socket.recv_from(&mut buffer).await {
            let answer = encoded_answer(&buffer[..size], &list);
            socket.send_to(&answer, client).await.unwrap();
            *counter.lock().unwrap() += 1;
        }
    });
    (address, answer_count)
}

/// Starts a discovery server that answers each query with the current list, unless the returned flag is set. Returns its
/// address and the flag.
///
/// # Panics
///
/// If no socket can be bound.
pub async fn start_silenceable_server(list: EngineList) -> (SocketAddr, Arc<AtomicBool>) {
    let (socket, address) = bind().await;
    let is_silent = Arc::new(AtomicBool::new(false));
    let flag = is_silent.clone();
    tokio::spawn(async move {
        let mut buffer = [0; MAX_QUERY_BYTES];
        while let Ok((size, client)) = socket.recv_from(&mut buffer).await {
            if !flag.load(Ordering::Relaxed) {
                let answer = encoded_answer(&buffer[..size], &list);
                socket.send_to(&answer, client).await.unwrap();
            }
        }
    });
    (address, is_silent)
}

/// Starts a discovery server that answers each query with the same list after `delay`. Returns its address.
///
/// # Panics
///
/// If no socket can be bound.
pub async fn start_delayed_server(endpoints: Vec<ListedEngine>, delay: Duration) -> SocketAddr {
    let (socket, address) = bind().await;
    let socket = Arc::new(socket);
    let list: EngineList = Arc::new(Mutex::new((1, endpoints)));
    tokio::spawn(async move {
        let mut buffer = [0; MAX_QUERY_BYTES];
        while let Ok((size, client)) = socket.recv_from(&mut buffer).await {
            let answer = encoded_answer(&buffer[..size], &list);
            let socket = socket.clone();
            tokio::spawn(async move {
                sleep(delay).await;
                socket.send_to(&answer, client).await.unwrap();
            });
        }
    });
    address
}

/// Starts a discovery server that answers its first client only `max_answers` times, and all other clients always. A client
/// is identified by its address and port. Returns the server's address, and a counter of the unanswered queries.
///
/// # Panics
///
/// If no socket can be bound.
pub async fn start_unresponsive_server(list: EngineList, max_answers: u32) -> (SocketAddr, Arc<Mutex<u32>>) {
    let (socket, address) = bind().await;
    let unanswered = Arc::new(Mutex::new(0));
    let counter = unanswered.clone();
    tokio::spawn(async move {
        let mut buffer = [0; MAX_QUERY_BYTES];
        let mut first_client = None;
        let mut first_client_queries = 0;
        while let Ok((size, client)) = socket.recv_from(&mut buffer).await {
            if *first_client.get_or_insert(client) == client {
                first_client_queries += 1;
                if first_client_queries > max_answers {
                    *counter.lock().unwrap() += 1;
                    continue;
                }
            }
            let answer = encoded_answer(&buffer[..size], &list);
            socket.send_to(&answer, client).await.unwrap();
        }
    });
    (address, unanswered)
}
