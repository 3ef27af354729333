//! A peer that lies: it has a front end's place in the tier and says whatever it likes, with or without the right key.
//! It writes its datagrams with the program's own crate, so that what it says is well formed.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use reedwalk_gossip::{Datagram, EngineKey, Fact, FactKind, SigningKey, SigningKeys};
use std::net::{SocketAddr, UdpSocket};
use std::time::{SystemTime, UNIX_EPOCH};

pub struct RogueGateway {
    socket: UdpSocket,
    pub address: SocketAddr,
    from: u16,
    incarnation: u64,
    sent: u64,
    keys: SigningKeys,
    rng: StdRng,
    others: Vec<SocketAddr>,
    last: Vec<u8>,
}

fn micros() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() as u64
}

impl RogueGateway {
    /// In the place of this front end, to all others.
    pub fn new(from: usize, others: &[SocketAddr], key: Option<&[u8]>, seed: u64) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_nonblocking(true).unwrap();
        let address = socket.local_addr().unwrap();
        let others = others.iter().enumerate().filter(|o| o.0 != from).map(|o| *o.1).collect();
        let keys = SigningKeys(key.map(|k| SigningKey::new(k).unwrap()).into_iter().collect());
        let (incarnation, rng) = (micros() / 1000, StdRng::seed_from_u64(seed));
        Self { socket, address, from: from as u16, incarnation, sent: 0, keys, rng, others, last: Vec::new() }
    }

    fn say(&self, bytes: &[u8]) {
        self.others.iter().for_each(|o| _ = self.socket.send_to(bytes, o));
    }

    fn datagram(&mut self, facts: Vec<Fact>) -> Datagram {
        self.sent = (self.sent + 1).max(micros());
        Datagram {
            from: self.from,
            incarnation: self.incarnation,
            sent: self.sent,
            facts,
            heartbeats: Vec::new(),
        }
    }

    /// Says that these engines fail, for as long as can be said.
    pub fn accuse(&mut self, engines: &[String]) {
        for few in engines.chunks(6) {
            let fact = |e: &String| Fact {
                engine: EngineKey::from(e.as_str()),
                started: 0,
                kind: 0,
                ttl_centis: 1_000,
                value: 0,
            };
            let datagram = self.datagram(few.iter().map(fact).collect());
            self.last = self.keys.seal(&datagram);
            self.say(&self.last);
        }
    }

    /// Says that these engines are as slow as can be said, and have started anew just now.
    pub fn disparage(&mut self, engines: &[String]) {
        let now = (micros() / 1_000_000) as u32;
        for few in engines.chunks(4) {
            let facts = few.iter().flat_map(|e| {
                [(FactKind::Slow, 0, 255), (FactKind::Restarted, now, 0)].map(|(kind, started, much)| Fact {
                    engine: EngineKey::from(e.as_str()),
                    started,
                    kind: kind.into(),
                    ttl_centis: 1_000,
                    value: much,
                })
            });
            let datagram = self.datagram(facts.collect());
            self.say(&self.keys.seal(&datagram));
        }
    }

    /// Says the same in the name of every other front end.
    pub fn accuse_as_others(&mut self, engines: &[String], count: usize) {
        let own = self.from;
        for name in 0..count as u16 {
            self.from = name;
            self.accuse(engines);
        }
        self.from = own;
    }

    /// Begins a new life, in which all may be said anew.
    pub fn restart(&mut self) {
        self.incarnation += 1;
    }

    /// Says again what was said last.
    pub fn replay(&self) {
        self.say(&self.last);
    }

    /// Says so many things that nobody can read.
    pub fn flood(&mut self, count: usize) {
        for _ in 0..count {
            let mut bytes = [0; 200];
            self.rng.fill(&mut bytes);
            self.say(&bytes);
        }
    }
}
