//! A rogue gateway, which replaces a gateway of the cluster and sends arbitrary gossip, with or without a valid key. It encodes
//! datagrams with the gossip crate of the gateway, so that they are well formed.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use reedwalk_gossip::{Datagram, EngineKey, Fact, FactKind, SigningKey, SigningKeys};
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The time to live of each report, in hundredths of a second.
const REPORT_TTL_CENTIS: u16 = 1_000;
/// Number of engines in a datagram that reports them as failing.
const FAILING_ENGINES_PER_DATAGRAM: usize = 6;
/// Number of engines in a datagram that reports them as slow and restarted, with two reports per engine.
const SLOW_ENGINES_PER_DATAGRAM: usize = 4;
/// Maximum slowness that a report can carry.
const MAX_SLOWNESS: u8 = 255;
/// Start time in a report about an engine that has not restarted.
const NOT_RESTARTED: u32 = 0;
/// Length of a random datagram in bytes.
const RANDOM_DATAGRAM_BYTES: usize = 200;

/// A sender of false gossip that replaces a gateway.
pub struct RogueGateway {
    socket: UdpSocket,
    /// The source address of its datagrams.
    pub address: SocketAddr,
    /// The gateway that it claims to be.
    claimed_sender: u16,
    incarnation: u64,
    last_sent_us: u64,
    keys: SigningKeys,
    rng: StdRng,
    /// The addresses of all other gateways.
    targets: Vec<SocketAddr>,
    last_datagram: Vec<u8>,
}

fn since_unix_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("the system clock is set before 1970")
}

fn unix_us() -> u64 {
    since_unix_epoch().as_micros() as u64
}

impl RogueGateway {
    /// A rogue gateway with this number, which sends to all other gateways at their addresses. It signs with `key`,
    /// if one is given; `seed` seeds its random datagrams.
    ///
    /// # Panics
    /// Panics if no socket can be opened, or the key is too short.
    pub fn new(number: usize, gateways: &[SocketAddr], key: Option<&[u8]>, seed: u64) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("failed to bind a loopback socket");
        socket.set_nonblocking(true).expect("failed to make the socket non-blocking");
        let address = socket.local_addr().expect("failed to read the local address of the socket");
        let others = gateways.iter().enumerate().filter(|(gateway, _)| *gateway != number);
        let signing_key = key.map(|key| SigningKey::new(key).expect("the signing key is too short"));
        Self {
            socket,
            address,
            claimed_sender: number as u16,
            incarnation: since_unix_epoch().as_millis() as u64,
            last_sent_us: 0,
            keys: SigningKeys(signing_key.into_iter().collect()),
            rng: StdRng::seed_from_u64(seed),
            targets: others.map(|(_, address)| *address).collect(),
            last_datagram: Vec::new(),
        }
    }

    fn send_to_all(&self, bytes: &[u8]) {
        for target in &self.targets {
            let _ = self.socket.send_to(bytes, target);
        }
    }

    /// A datagram with these reports and a timestamp later than that of the previous one.
    fn datagram(&mut self, facts: Vec<Fact>) -> Datagram {
        self.last_sent_us = (self.last_sent_us + 1).max(unix_us());
        Datagram {
            from: self.claimed_sender,
            incarnation: self.incarnation,
            sent: self.last_sent_us,
            facts,
            heartbeats: Vec::new(),
        }
    }

    /// Reports these engines as failing, with the time to live of all its reports.
    pub fn report_failing(&mut self, engines: &[String]) {
        for engines in engines.chunks(FAILING_ENGINES_PER_DATAGRAM) {
            let reports = engines.iter().map(|engine| report(engine, NOT_RESTARTED, FactKind::Failing, 0));
            let facts = reports.collect();
            let datagram = self.datagram(facts);
            self.last_datagram = self.keys.encode(&datagram);
            self.send_to_all(&self.last_datagram);
        }
    }

    /// Reports these engines as slow, with the maximum slowness, and as just restarted.
    pub fn report_slow_and_restarted(&mut self, engines: &[String]) {
        let now_seconds = since_unix_epoch().as_secs() as u32;
        for engines in engines.chunks(SLOW_ENGINES_PER_DATAGRAM) {
            let reports = |engine: &String| {
                let slow = report(engine, NOT_RESTARTED, FactKind::Slow, MAX_SLOWNESS);
                let restarted = report(engine, now_seconds, FactKind::Restarted, 0);
                [slow, restarted]
            };
            let datagram = self.datagram(engines.iter().flat_map(reports).collect());
            self.send_to_all(&self.keys.encode(&datagram));
        }
    }

    /// Reports these engines as failing in the name of each of `gateways` gateways.
    pub fn report_failing_as_all(&mut self, engines: &[String], gateways: usize) {
        let own_number = self.claimed_sender;
        for number in 0..gateways as u16 {
            self.claimed_sender = number;
            self.report_failing(engines);
        }
        self.claimed_sender = own_number;
    }

    /// Begins a new incarnation, as a restarted gateway does.
    pub fn begin_incarnation(&mut self) {
        self.incarnation += 1;
    }

    /// Sends the last datagram that reported failing engines again.
    pub fn replay(&self) {
        self.send_to_all(&self.last_datagram);
    }

    /// Sends `count` datagrams of random bytes to each gateway.
    pub fn flood(&mut self, count: usize) {
        for _ in 0..count {
            let mut bytes = [0; RANDOM_DATAGRAM_BYTES];
            self.rng.fill(&mut bytes);
            self.send_to_all(&bytes);
        }
    }
}

/// A report on an engine that started at this second of the Unix clock.
fn report(engine: &str, started_seconds: u32, kind: FactKind, value: u8) -> Fact {
    Fact {
        engine: EngineKey::from(engine),
        started: started_seconds,
        kind: kind.into(),
        ttl_centis: REPORT_TTL_CENTIS,
        value,
    }
}
