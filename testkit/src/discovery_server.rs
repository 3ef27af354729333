//! A stand-in name server: answers with the list that the test sets.

use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::rdata::{A, SOA, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use std::borrow::Cow;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::{Arc, Mutex};
use tokio::net::UdpSocket;

#[derive(Clone, Debug)]
pub struct Engine {
    pub id: Cow<'static, str>,
    pub address: SocketAddr,
    pub draining: bool,
    pub started_ms: u64,
}

pub fn answer(id: u16, serial: u32, engines: &[Engine]) -> Message {
    let list = Name::from_str("_data._tcp.farm.lan.").unwrap();
    let mut message = Message::new(id, MessageType::Response, OpCode::Query);
    message.metadata.response_code = ResponseCode::NoError;
    message.add_query(Query::query(list.clone(), RecordType::SRV));
    for engine in engines {
        let target = Name::from_str(&format!("{}.hall-a.hosts.", engine.id)).unwrap();
        let srv = SRV::new(u16::from(engine.draining), 10, engine.address.port(), target.clone());
        message.add_answer(Record::from_rdata(list.clone(), 0, RData::SRV(srv)));
        let SocketAddr::V4(v4) = engine.address else { panic!("not IPv4") };
        message.add_additional(Record::from_rdata(target.clone(), 0, RData::A(A(*v4.ip()))));
        let text = vec!["kind=std-8c".into(), "cell=1".into(), format!("started={}", engine.started_ms)];
        message.add_additional(Record::from_rdata(target, 0, RData::TXT(TXT::new(text))));
    }
    let soa = SOA::new(list.clone(), list.clone(), serial, 1, 1, 1, 1);
    message.add_authority(Record::from_rdata(list, 0, RData::SOA(soa)));
    message
}

pub type List = Arc<Mutex<(u32, Vec<Engine>)>>;

/// Answers each query with the list as it is then, and counts the answers.
pub async fn server(list: List) -> (SocketAddr, Arc<Mutex<u32>>) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let (address, told) = (socket.local_addr().unwrap(), Arc::new(Mutex::new(0)));
    let count = told.clone();
    tokio::spawn(async move {
        let mut buffer = [0; 600];
        while let Ok((size, from)) = socket.recv_from(&mut buffer).await {
            let query = Message::from_vec(&buffer[..size]).unwrap();
            let reply = {
                let list = list.lock().unwrap();
                answer(query.metadata.id, list.0, &list.1).to_vec().unwrap()
            };
            socket.send_to(&reply, from).await.unwrap();
            *count.lock().unwrap() += 1;
        }
    });
    (address, told)
}

/// Answers each query with the same list, `late` after it came.
pub async fn late_server(engines: Vec<Engine>, late: std::time::Duration) -> SocketAddr {
    let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
    let address = socket.local_addr().unwrap();
    tokio::spawn(async move {
        let mut buffer = [0; 600];
        while let Ok((size, from)) = socket.recv_from(&mut buffer).await {
            let query = Message::from_vec(&buffer[..size]).unwrap();
            let reply = answer(query.metadata.id, 1, &engines).to_vec().unwrap();
            let socket = socket.clone();
            tokio::spawn(async move {
                tokio::time::sleep(late).await;
                socket.send_to(&reply, from).await.unwrap();
            });
        }
    });
    address
}

/// Answers its first asker so many times and then not any more, for good; all others always. An asker is an address
/// with its port. Counts the queries that it left unanswered.
pub async fn deaf_server(list: List, answers: u32) -> (SocketAddr, Arc<Mutex<u32>>) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let (address, unanswered) = (socket.local_addr().unwrap(), Arc::new(Mutex::new(0)));
    let count = unanswered.clone();
    tokio::spawn(async move {
        let (mut buffer, mut first, mut answered) = ([0; 600], None, 0);
        while let Ok((size, from)) = socket.recv_from(&mut buffer).await {
            if *first.get_or_insert(from) == from {
                answered += 1;
                if answered > answers {
                    *count.lock().unwrap() += 1;
                    continue;
                }
            }
            let query = Message::from_vec(&buffer[..size]).unwrap();
            let reply = {
                let list = list.lock().unwrap();
                answer(query.metadata.id, list.0, &list.1).to_vec().unwrap()
            };
            socket.send_to(&reply, from).await.unwrap();
        }
    });
    (address, unanswered)
}
