//! A stand-in for an engine, written from the protocol page. It runs every query for the time that the query names, and
//! answers with one row that repeats the statement.

use crate::Record;
use bytes::{Bytes, BytesMut};
use reedwalk_testkit::wire::{put_array, take_array};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex as SyncMutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio::task::{AbortHandle, LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

/// How long a query runs whose statement names no time.
const USUAL_TIME: Duration = Duration::from_millis(20);
/// The word in a statement that is followed by the time for which it runs, in milliseconds.
const TIME_MARK: &str = "RUN_MS=";

/// An attempt that an engine received.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// When its last byte was read.
    pub at: Instant,
    /// The engine's id.
    pub engine: String,
    /// The id of the request.
    pub trace: String,
    /// The fields.
    pub fields: String,
    /// The statement.
    pub statement: String,
}

/// What all engines of a case have received, in order.
#[derive(Clone, Debug)]
pub struct EngineLog {
    attempts: Arc<SyncMutex<Vec<Attempt>>>,
    /// Statements that ran to their end, each with the engine.
    effects: Arc<SyncMutex<Vec<(String, String)>>>,
    /// The record.
    pub record: Record,
}

impl EngineLog {
    /// An empty log that also writes to the record.
    pub fn new(record: &Record) -> Self {
        Self { attempts: Arc::default(), effects: Arc::default(), record: record.clone() }
    }

    /// The attempts whose statement contains this text.
    ///
    /// # Panics
    ///
    /// If an engine has panicked.
    pub fn attempts_of(&self, text: &str) -> Vec<Attempt> {
        let attempts = self.attempts.lock().expect("an engine has panicked");
        attempts.iter().filter(|attempt| attempt.statement.contains(text)).cloned().collect()
    }

    /// The engines at which a statement that contains this text ran to its end, once for each time.
    ///
    /// # Panics
    ///
    /// If an engine has panicked.
    pub fn effects_of(&self, text: &str) -> Vec<String> {
        let effects = self.effects.lock().expect("an engine has panicked");
        effects
            .iter()
            .filter(|(_, statement)| statement.contains(text))
            .map(|(engine, _)| engine.clone())
            .collect()
    }

    pub(crate) fn add_effect(&self, engine: &str, statement: &str) {
        self.record.line(&format!("engine {engine}: RAN to its end: {statement}"));
        self.effects.lock().expect("an engine has panicked").push((engine.to_owned(), statement.to_owned()));
    }

    pub(crate) fn add(&self, attempt: Attempt) {
        let Attempt { engine, trace, fields, statement, .. } = &attempt;
        let start: String = statement.chars().take(120).collect();
        self.record.line(&format!("engine {engine}: PULL {trace} {fields} {start}"));
        self.attempts.lock().expect("an engine has panicked").push(attempt);
    }
}

/// Starts an engine; returns its address. Must be called within a [`LocalSet`].
///
/// # Panics
///
/// If no socket can be bound.
pub async fn start_engine(id: &'static str, log: &EngineLog) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("no free port");
    let address = listener.local_addr().expect("no address");
    let log = log.clone();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve(stream, id, log.clone()));
        }
    });
    address
}

/// Runs a case that starts engines.
pub async fn with_engines<T>(case: impl Future<Output = T>) -> T {
    LocalSet::new().run_until(case).await
}

/// Serves one connection. Its end gives up everything open on it.
async fn serve(stream: TcpStream, id: &'static str, log: EngineLog) {
    let _ = stream.set_nodelay(true);
    let (mut reader, writer) = stream.into_split();
    let writer = Rc::new(Mutex::new(writer));
    let mut running: HashMap<Bytes, AbortHandle> = HashMap::new();
    let mut input = BytesMut::new();
    while matches!(reader.read_buf(&mut input).await, Ok(length) if length > 0) {
        while let Some(words) = take_array(&mut input) {
            on_command(&words, id, &log, &writer, &mut running);
        }
    }
    running.values().for_each(AbortHandle::abort);
}

fn on_command(
    words: &[Bytes],
    id: &'static str,
    log: &EngineLog,
    writer: &Rc<Mutex<OwnedWriteHalf>>,
    running: &mut HashMap<Bytes, AbortHandle>,
) {
    let text = |index: usize| words.get(index).map(|word| String::from_utf8_lossy(word).into_owned());
    let trace = words.get(1).cloned().unwrap_or_default();
    match words.first().map(|word| &word[..]) {
        Some(b"PULL") => {
            let statement = text(3).unwrap_or_default();
            log.add(Attempt {
                at: Instant::now(),
                engine: id.to_owned(),
                trace: text(1).unwrap_or_default(),
                fields: text(2).unwrap_or_default(),
                statement: statement.clone(),
            });
            let query = run_query(trace.clone(), statement, id, log.clone(), writer.clone());
            running.insert(trace, spawn_local(query).abort_handle());
        }
        Some(b"KILL") => {
            log.record.line(&format!("engine {id}: KILL {}", text(1).unwrap_or_default()));
            if let Some(query) = running.remove(&trace) {
                query.abort();
            }
        }
        _ => {}
    }
}

async fn run_query(
    trace: Bytes,
    statement: String,
    id: &'static str,
    log: EngineLog,
    writer: Rc<Mutex<OwnedWriteHalf>>,
) {
    let time = time_of(&statement);
    sleep(time).await;
    log.add_effect(id, &statement);
    let mut output = BytesMut::new();
    let fields = format!("total=1,elapsed={},rss=64,rep=util:0.2;queue:0;x1:0.1;x0:0.1", time.as_millis());
    // Tabs and line feeds separate cells and rows; the statements of the cases have none.
    let start: String = statement.chars().take(120).collect();
    let body = format!("{start}\t1\t{id}\n");
    put_array(&mut output, &[&trace, b"200", fields.as_bytes(), body.as_bytes()]);
    let written = writer.lock().await.write_all(&output).await;
    let trace = String::from_utf8_lossy(&trace);
    log.record.line(&format!(
        "engine {id}: 200 {trace}, {}",
        if written.is_ok() { "written" } else { "not written" }
    ));
}

pub(crate) fn time_of(statement: &str) -> Duration {
    let digits = statement
        .split_once(TIME_MARK)
        .map(|(_, rest)| rest.chars().take_while(char::is_ascii_digit).collect::<String>());
    digits.and_then(|digits| digits.parse().ok()).map_or(USUAL_TIME, Duration::from_millis)
}
