//! The script that the scripted engines of a test share, with a response per statement, and the log of received attempts.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Timeout of [`until`].
const CONDITION_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two checks of a condition.
const CONDITION_INTERVAL: Duration = Duration::from_millis(5);
/// Rows of every scripted result.
const ROW_COUNT: usize = 600;

/// Polls until `condition` holds; `description` names the condition in the panic message.
///
/// # Panics
///
/// If the condition does not hold within 10 seconds.
pub async fn until(description: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {description}");
        sleep(CONDITION_INTERVAL).await;
    }
}

/// How a scripted engine responds to an attempt.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ScriptedResponse {
    /// Send the whole result.
    Serve,
    /// Reject the attempt: the engine is full.
    Busy,
    /// Answer with an engine error.
    Error,
    /// Send nothing until the attempt is cancelled.
    Hang,
    /// Send half of the result, then close the connection.
    CutResult,
    /// Do the work, then close the connection before the answer.
    LoseAck,
    /// Answer with these bytes, which cannot be parsed.
    Malformed(&'static str),
    /// Send part of an answer, then nothing more on that connection.
    Partial,
    /// Send extra answers: one with an unknown id first, and then the answer itself twice.
    Duplicate,
}

/// One attempt that a scripted engine received.
#[derive(Clone, Debug)]
pub struct ReceivedAttempt {
    /// Name of the engine.
    pub engine: String,
    /// When the attempt arrived.
    pub at: Instant,
    /// Its statement, without the fields comment.
    pub statement: String,
}

/// The state behind a [`TestBed`]: settings of the script, and the attempts that the engines received.
#[derive(Default)]
pub struct Script {
    /// Attempts so far, by statement.
    pub attempts: HashMap<String, u32>,
    /// Idempotency keys that the engines remember.
    pub keys: HashSet<String>,
    /// Each engine remembers only the idempotency keys that it received itself.
    pub keys_per_engine: bool,
    /// Statements that took effect, in order.
    pub effects: Vec<String>,
    /// All attempts, in order of arrival.
    pub received: Vec<ReceivedAttempt>,
    /// Statements whose attempts were cancelled, in order.
    pub cancelled: Vec<String>,
    /// Connections accepted so far, by engine.
    pub connections: HashMap<String, usize>,
}

/// The script that all scripted engines of a test follow, and the log of what they received. Clones share one state.
///
/// The first word of a statement selects the engine's response: `BUSY`, `ERROR`, `HANG` and `COPY` at every attempt;
/// `TWICE`, `LATER`, `CUT`, `LOSE`, `NOISE`, `HUGE`, `ENDLESS`, `UNTOLD`, `BEYOND`, `CHUNK` and `HALF` at the first attempt
/// only; all others are served. On Flight SQL a statement that begins with `EAGER` runs in `GetFlightInfo`, and one that
/// begins with `EAGERFULL` is then rejected in `DoGet`. All methods panic if a holder of the state has panicked.
#[derive(Clone, Default)]
pub struct TestBed(pub Arc<Mutex<Script>>);

impl TestBed {
    fn script(&self) -> MutexGuard<'_, Script> {
        self.0.lock().unwrap()
    }

    /// Logs an attempt that `engine` received, with its idempotency key, and returns how the engine is to respond.
    pub fn receive(&self, engine: &str, statement: &str, key: Option<&str>) -> ScriptedResponse {
        let mut script = self.script();
        script.log_attempt(engine, statement);
        let is_first = script.count_attempt(statement) == 1;
        let response = scripted_response(statement, is_first);
        script.apply_effect(engine, statement, key, response);
        response
    }

    /// Logs a connection that `engine` accepted.
    pub fn record_connection(&self, engine: &str) {
        *self.script().connections.entry(engine.to_owned()).or_default() += 1;
    }

    /// Connections that `engine` has accepted so far.
    pub fn connections(&self, engine: &str) -> usize {
        self.script().connections.get(engine).copied().unwrap_or(0)
    }

    /// Logs that an attempt of `statement` was cancelled.
    pub fn record_cancellation(&self, statement: &str) {
        self.script().cancelled.push(statement.to_owned());
    }

    /// Attempts that `engine` has received so far.
    pub fn attempts_at(&self, engine: &str) -> usize {
        self.script().received.iter().filter(|attempt| attempt.engine == engine).count()
    }

    /// Attempts of `statement` so far, at all engines.
    pub fn attempts(&self, statement: &str) -> u32 {
        self.script().attempts.get(statement).copied().unwrap_or(0)
    }

    /// Whether an attempt of `statement` was cancelled.
    pub fn was_cancelled(&self, statement: &str) -> bool {
        self.script().cancelled.iter().any(|cancelled| cancelled == statement)
    }
}

impl Script {
    fn log_attempt(&mut self, engine: &str, statement: &str) {
        let (engine, statement) = (engine.to_owned(), statement.to_owned());
        self.received.push(ReceivedAttempt { engine, at: Instant::now(), statement });
    }

    /// Counts an attempt of a statement; returns its number, from 1.
    fn count_attempt(&mut self, statement: &str) -> u32 {
        let attempts = self.attempts.entry(statement.to_owned()).or_default();
        *attempts += 1;
        *attempts
    }

    /// Logs the effect of a write. As on real engines, a repeated key has no second effect, and a write without a key
    /// always takes effect.
    fn apply_effect(&mut self, engine: &str, statement: &str, key: Option<&str>, response: ScriptedResponse) {
        let is_write = statement.starts_with("INSERT") || statement.starts_with("LOSE");
        let is_done = matches!(response, ScriptedResponse::Serve | ScriptedResponse::LoseAck);
        let is_new = key.is_none_or(|key| self.remember_key(engine, key));
        if is_write && is_new && is_done {
            self.effects.push(statement.to_owned());
        }
    }

    /// Remembers a key; returns `false` if it was already known.
    fn remember_key(&mut self, engine: &str, key: &str) -> bool {
        let remembered = if self.keys_per_engine { format!("{engine}/{key}") } else { key.to_owned() };
        self.keys.insert(remembered)
    }
}

/// The response that the first word of a statement asks for.
fn scripted_response(statement: &str, is_first: bool) -> ScriptedResponse {
    match statement.split_whitespace().next().unwrap_or_default() {
        "BUSY" => ScriptedResponse::Busy,
        "ERROR" => ScriptedResponse::Error,
        "TWICE" if is_first => ScriptedResponse::Error,
        "HANG" => ScriptedResponse::Hang,
        "LATER" if is_first => ScriptedResponse::Hang,
        "CUT" if is_first => ScriptedResponse::CutResult,
        "LOSE" if is_first => ScriptedResponse::LoseAck,
        "NOISE" if is_first => ScriptedResponse::Malformed("\0\x01\x02%%"),
        "HUGE" if is_first => ScriptedResponse::Malformed("*4\r\n$3000000000\r\n"),
        "ENDLESS" if is_first => ScriptedResponse::Malformed("*00000000000000000000"),
        "UNTOLD" if is_first => ScriptedResponse::Malformed("ID 200 elapsed=1"),
        "BEYOND" if is_first => ScriptedResponse::Malformed("ID 200 total=99999999"),
        "CHUNK" if is_first => ScriptedResponse::Malformed("ID chunk index=9"),
        "HALF" if is_first => ScriptedResponse::Partial,
        "COPY" => ScriptedResponse::Duplicate,
        _ => ScriptedResponse::Serve,
    }
}

/// The outcome of a query as its client saw it, the same for both protocols.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The whole result was received.
    Served,
    /// It was rejected before it ran: the reason (`BUSY`, `SHED`, `BUDGET` or `CONTRACT`), and whether a time to retry
    /// after was given.
    Rejected(&'static str, bool),
    /// It failed: the reason (`DEADLINE` or `ENGINE`).
    Failed(&'static str),
    /// The gateway could not parse the request, or does not allow it.
    BadInput,
}

/// The rows that every scripted engine serves, enough for several pages.
pub fn rows() -> Vec<[String; 3]> {
    (0..ROW_COUNT).map(|n| [format!("day-{n}"), n.to_string(), format!("a note of row {n}")]).collect()
}
