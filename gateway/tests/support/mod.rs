//! What the network tests share: settings, a started gateway, and the stand-ins' common script.

#![allow(dead_code)]

pub mod flight;
pub mod mysql;
pub mod names;
pub mod redis;
pub mod resp;

use reedwalk_gateway::config::{Config, Limits};
use reedwalk_gateway::operator::{EngineWire, FlightFront, Operator};
use reedwalk_gateway::serve::{Running, start};
use serde_json::{Value, json};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Settings as the wire page has them, with a class that must not run twice and short waits.
pub fn settings() -> Value {
    let class = |name: &str, effect: &str, give_up_us: u64, value: f64| {
        json!({"Name": name, "Effect": effect, "DedupScope": "all", "MemorySpanUs": 12_000_000,
            "SloUs": 1_000_000, "GiveUpUs": give_up_us, "Value": value, "LateValue": 0.3, "AimStretch": 1.5})
    };
    json!({
        "Balancers": 1, "Ordinal": 0, "Zone": 0, "TickUs": 5000, "Discovery": "push",
        "Localities": ["hall-a"], "HostTypes": ["std-8c"],
        "Limits": {"Cancel": true, "ConnectTimeoutUs": 250_000, "KeepaliveUs": 15_000_000, "MaxAttempts": 3,
            "MaxRetryAfterUs": 2_000_000, "Multiplex": 32, "OpenCap": 1000, "RetryAfter": true},
        "Rules": {"AnswerSlackUs": 20000, "ColdFrom": 0.33, "DrainGraceUs": 2_000_000, "FallUs": 1_000_000,
            "RampTimeUs": 15_000_000, "TipMultiple": 2.5},
        "RequestClasses": [class("lookup", "repeatable", 6_000_000, 1.0),
            class("statement", "repeatable", 10_000_000, 4.0), class("batch-post", "by_key", 12_000_000, 5.0),
            class("adjust", "once", 3_000_000, 2.0)],
        "Specifics": {"ClassWaits": [true, false, false, false], "IsLoad": [false, false, true, false],
            "Grants": true, "Priorities": true, "MaxGrantShare": 0.4, "ProgressUs": 500_000,
            "SizeCores": [8], "RamOfKindMb": [16384.0], "WidthByClass": [1, 3, 2, 1]}
    })
}

/// One engine of the list that a gateway starts with.
pub fn known(engines: &[SocketAddr]) -> Value {
    let servers = engines.iter().enumerate().map(|(n, addr)| {
        json!({"id": format!("s-{n}"), "addr": addr.to_string(), "zone": "hall-a", "kind": "std-8c", "cell": 1,
            "state": "in_service", "weight": 1, "started_ms": 0})
    });
    let servers: Vec<_> = servers.collect();
    json!({"seq": 1, "results": [{"seq": 1, "fleet": {"version": 1, "full": true, "servers": servers}}]})
}

pub fn config(engines: &[SocketAddr]) -> Config {
    Config {
        name: "n0".into(),
        listen: "127.0.0.1:0".parse().unwrap(),
        seed: 7,
        limits: Limits::default(),
        names: None,
        known: Some(known(engines)),
        deployment: reedwalk_settings::read(&settings()).unwrap(),
    }
}

pub fn both_fronts(engines: EngineWire) -> Operator {
    let flight = FlightFront { listen: "127.0.0.1:0".parse().unwrap(), connections: 16 };
    Operator { flight: Some(flight), engines, ..Operator::default() }
}

pub async fn gateway(config: Config, operator: Operator) -> Running {
    start(config, operator, &slog::Logger::root(slog::Discard, slog::o!())).await.unwrap()
}

/// Waits until `seen` says so; a test that waits in vain fails.
pub async fn until(what: &str, seen: impl Fn() -> bool) {
    let by = Instant::now() + Duration::from_secs(10);
    while !seen() {
        assert!(Instant::now() < by, "waited in vain until {what}");
        sleep(Duration::from_millis(5)).await;
    }
}

/// What a stand-in engine is to do with an attempt.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Act {
    Serve,
    Busy,
    Error,
    Hang,
    /// Send half of the result, then break the connection.
    Cut,
    /// Do the work, then break the connection.
    LoseAck,
    /// Answer with what can't be read.
    Spoil(&'static str),
    /// Send part of an answer, then nothing on that connection any more.
    Half,
    /// Bring more than is wanted: an answer under an unknown id ahead, and a second copy.
    Copy,
}

#[derive(Default)]
pub struct Script {
    pub attempts: HashMap<String, u32>,
    /// Keys that the engines remember, and the statements that had an effect.
    pub keys: HashSet<String>,
    pub effects: Vec<String>,
    pub sends: Vec<(String, Instant, String)>,
    pub given_up: Vec<String>,
}

/// The script that all stand-in engines of a test follow, and what they saw. Statements say what happens.
#[derive(Clone, Default)]
pub struct World(pub Arc<Mutex<Script>>);

impl World {
    pub fn act(&self, engine: &str, statement: &str, key: Option<&str>) -> Act {
        let mut script = self.0.lock().unwrap();
        script.sends.push((engine.to_owned(), Instant::now(), statement.to_owned()));
        let attempt = script.attempts.entry(statement.to_owned()).or_default();
        *attempt += 1;
        let first = *attempt == 1;
        let act = match statement.split_whitespace().next().unwrap_or_default() {
            "BUSY" => Act::Busy,
            "ERROR" => Act::Error,
            "HANG" => Act::Hang,
            "LATER" if first => Act::Hang,
            "CUT" if first => Act::Cut,
            "LOSE" if first => Act::LoseAck,
            "NOISE" if first => Act::Spoil("\0\x01\x02%%"),
            "HUGE" if first => Act::Spoil("*4\r\n$3000000000\r\n"),
            "ENDLESS" if first => Act::Spoil("*00000000000000000000"),
            "UNTOLD" if first => Act::Spoil("ID 200 elapsed=1"),
            "BEYOND" if first => Act::Spoil("ID 200 total=99999999"),
            "CHUNK" if first => Act::Spoil("ID chunk index=9"),
            "HALF" if first => Act::Half,
            "COPY" => Act::Copy,
            _ => Act::Serve,
        };
        // As the engines do: a repeat of a key has no second effect; what bears no key always has one.
        let writes = statement.starts_with("INSERT") || statement.starts_with("LOSE");
        let fresh = key.is_none_or(|k| script.keys.insert(k.to_owned()));
        if writes && fresh && matches!(act, Act::Serve | Act::LoseAck) {
            script.effects.push(statement.to_owned());
        }
        act
    }

    pub fn gave_up(&self, statement: &str) {
        self.0.lock().unwrap().given_up.push(statement.to_owned());
    }

    pub fn sends(&self, engine: &str) -> usize {
        self.0.lock().unwrap().sends.iter().filter(|s| s.0 == engine).count()
    }

    pub fn attempts(&self, statement: &str) -> u32 {
        self.0.lock().unwrap().attempts.get(statement).copied().unwrap_or(0)
    }

    pub fn was_given_up(&self, statement: &str) -> bool {
        self.0.lock().unwrap().given_up.iter().any(|s| s == statement)
    }
}

/// How a request ended, as its client saw it; the same words for both protocols.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ended {
    Served,
    Refused(&'static str, bool),
    Failed(&'static str),
    BadInput,
}

/// The rows that every stand-in engine serves: enough for several pages.
pub fn rows() -> Vec<[String; 3]> {
    (0..600).map(|n| [format!("day-{n}"), n.to_string(), format!("a note of row {n}")]).collect()
}
