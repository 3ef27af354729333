//! The common script of the stand-ins that follow one statement by statement, and what they saw.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep};

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
    /// Each engine remembers the keys that it has seen itself, and no others.
    pub apart: bool,
    pub effects: Vec<String>,
    pub sends: Vec<(String, Instant, String)>,
    pub given_up: Vec<String>,
    pub connections: HashMap<String, usize>,
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
            "TWICE" if first => Act::Error,
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
        let remembered = |k: &str| if script.apart { format!("{engine}/{k}") } else { k.to_owned() };
        let key = key.map(remembered);
        let fresh = key.is_none_or(|k| script.keys.insert(k));
        if writes && fresh && matches!(act, Act::Serve | Act::LoseAck) {
            script.effects.push(statement.to_owned());
        }
        act
    }

    pub fn connected(&self, engine: &str) {
        *self.0.lock().unwrap().connections.entry(engine.to_owned()).or_default() += 1;
    }

    /// Connections that an engine has taken so far.
    pub fn connections(&self, engine: &str) -> usize {
        self.0.lock().unwrap().connections.get(engine).copied().unwrap_or(0)
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
