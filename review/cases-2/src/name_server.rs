//! A stand-in for the name server, after the page "Protocol": it answers SRV queries over UDP with the whole list.

use crate::engine::lock;
use crate::record::Record;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;

/// Types and class of DNS records.
const TYPE_A: u16 = 1;
const TYPE_SOA: u16 = 6;
const TYPE_TXT: u16 = 16;
const TYPE_SRV: u16 = 33;
const CLASS_IN: u16 = 1;
/// Length of the header of a DNS message.
const HEADER_BYTES: usize = 12;
/// Flags of an authoritative answer.
const ANSWER_FLAGS: u16 = 0x8400;
/// A pointer to the name in the question.
const QUESTION_NAME: [u8; 2] = [0xc0, HEADER_BYTES as u8];
/// Size of the receive buffer.
const BUFFER_BYTES: usize = 2048;

/// An engine on the list.
#[derive(Clone, Debug)]
pub struct NamedEngine {
    /// Its id.
    pub id: String,
    /// The port that it listens at, on the loopback address.
    pub port: u16,
    /// Whether it drains.
    pub is_draining: bool,
}

#[derive(Default)]
struct State {
    serial: u32,
    engines: Vec<NamedEngine>,
    is_silent: bool,
    /// The latest serial that was sent to somebody.
    told_serial: u32,
}

/// A running name server.
#[derive(Clone)]
pub struct NameServer {
    state: Arc<Mutex<State>>,
    record: Record,
    /// The address that it answers at.
    pub address: SocketAddr,
}

impl NameServer {
    /// Starts a name server whose list has the serial 1.
    pub fn start(engines: Vec<NamedEngine>, record: &Record) -> std::io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let address = socket.local_addr()?;
        let state = Arc::new(Mutex::new(State { serial: 1, engines, ..State::default() }));
        let server = Self { state, record: record.clone(), address };
        let answering = server.clone();
        thread::spawn(move || answering.answer(&socket));
        Ok(server)
    }

    /// Lists an engine as draining, which is the next event.
    pub fn drain(&self, id: &str) {
        let mut state = lock(&self.state);
        state.serial += 1;
        state
            .engines
            .iter_mut()
            .filter(|engine| engine.id == id)
            .for_each(|engine| engine.is_draining = true);
        self.record.line(&format!("name server: {id} drains, serial {}", state.serial));
    }

    /// Whether an answer with the latest event has been sent.
    pub fn has_told(&self) -> bool {
        let state = lock(&self.state);
        state.told_serial == state.serial
    }

    /// From now on no query is answered, or all are again.
    pub fn set_silent(&self, is_silent: bool) {
        lock(&self.state).is_silent = is_silent;
        self.record.line(if is_silent {
            "name server: does not answer"
        } else {
            "name server: answers again"
        });
    }

    fn answer(&self, socket: &UdpSocket) {
        let mut buffer = [0; BUFFER_BYTES];
        while let Ok((size, from)) = socket.recv_from(&mut buffer) {
            let mut state = lock(&self.state);
            if state.is_silent {
                continue;
            }
            if let Some(answer) = encode_answer(&buffer[..size], &state) {
                let _ = socket.send_to(&answer, from);
                state.told_serial = state.serial;
            }
        }
    }
}

/// The question of a query, without what follows it.
fn question(query: &[u8]) -> Option<&[u8]> {
    let name = query.get(HEADER_BYTES..)?;
    let name_bytes = name.iter().position(|byte| *byte == 0)? + 1;
    name.get(..name_bytes + 4)
}

fn put_name(out: &mut Vec<u8>, labels: &[&str]) {
    for label in labels {
        out.push(label.len() as u8);
        out.extend_from_slice(label.as_bytes());
    }
    out.push(0);
}

/// Appends the type, class, time to live and data of a record, whose name has been written.
fn put_record(out: &mut Vec<u8>, kind: u16, data: &[u8]) {
    out.extend_from_slice(&kind.to_be_bytes());
    out.extend_from_slice(&CLASS_IN.to_be_bytes());
    out.extend_from_slice(&0u32.to_be_bytes());
    out.extend_from_slice(&(data.len() as u16).to_be_bytes());
    out.extend_from_slice(data);
}

fn encode_answer(query: &[u8], state: &State) -> Option<Vec<u8>> {
    let question = question(query)?;
    let (mut answers, mut additionals) = (Vec::new(), Vec::new());
    for engine in &state.engines {
        let target = [engine.id.as_str(), "hall-a", "hosts"];
        let mut data = Vec::new();
        for number in [u16::from(engine.is_draining), 10, engine.port] {
            data.extend_from_slice(&number.to_be_bytes());
        }
        put_name(&mut data, &target);
        answers.extend_from_slice(&QUESTION_NAME);
        put_record(&mut answers, TYPE_SRV, &data);
        put_name(&mut additionals, &target);
        put_record(&mut additionals, TYPE_A, &Ipv4Addr::LOCALHOST.octets());
        put_name(&mut additionals, &target);
        let texts = ["kind=std-8c", "cell=0", "started=0"];
        let text = texts.iter().flat_map(|text| [&[text.len() as u8], text.as_bytes()].concat());
        put_record(&mut additionals, TYPE_TXT, &text.collect::<Vec<u8>>());
    }
    let mut authority = Vec::new();
    put_name(&mut authority, &["farm", "lan"]);
    // The names of the server and of its operator are the root.
    let mut soa = vec![0, 0];
    for number in [state.serial, 1, 1, 1, 1] {
        soa.extend_from_slice(&number.to_be_bytes());
    }
    put_record(&mut authority, TYPE_SOA, &soa);
    let engines = state.engines.len() as u16;
    let mut message = query.get(..2)?.to_vec();
    for number in [ANSWER_FLAGS, 1, engines, 1, 2 * engines] {
        message.extend_from_slice(&number.to_be_bytes());
    }
    Some([&message[..], question, &answers, &authority, &additionals].concat())
}
