//! An engine on RESP whose speed follows a model of its cores.

mod engine;

pub use engine::EngineBehavior;

use crate::model::Shape;
use crate::request_log::RequestLog;
use crate::wire::{put_array, take_array};
use bytes::{Bytes, BytesMut};
use engine::{Engine, EngineEvent, Query, ROWS};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// Fields of an answer of an engine without a shape.
const IMMEDIATE_FIELDS: &[u8] = b"total=1,elapsed=0.1,rss=1";
/// Initial capacity of a connection's input buffer, in bytes.
const INITIAL_BUFFER_BYTES: usize = 64 * 1024;
/// Low bits of a query's number, which count within its connection; the high bits identify the connection.
const QUERY_BITS: u32 = 32;
/// Work of a query whose statement does not specify it, in milliseconds on one core.
const DEFAULT_WORK_MS: f64 = 1.0;

/// A running modelled engine. Statements specify their work, in milliseconds on one core, and their threads:
/// `... WORK 40.0 THREADS 2 ...`.
#[derive(Clone)]
pub struct ModelledEngine {
    /// Where it accepts connections.
    pub address: SocketAddr,
    events: mpsc::UnboundedSender<EngineEvent>,
    behavior: watch::Sender<EngineBehavior>,
}

impl ModelledEngine {
    /// Changes its behavior from now on.
    pub fn set_behavior(&self, behavior: EngineBehavior) {
        self.behavior.send_replace(behavior);
        let _ = self.events.send(EngineEvent::Behavior(behavior));
    }
}

/// Starts an engine of this shape that logs under `name`; without a shape it answers all attempts immediately and
/// logs nothing.
///
/// # Panics
///
/// If no socket can be bound.
pub async fn start_modelled_engine(name: &str, shape: Option<Shape>, log: RequestLog) -> ModelledEngine {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (events, received) = mpsc::unbounded_channel();
    let (behavior, behaviors) = watch::channel(EngineBehavior::Healthy);
    let is_immediate = shape.is_none();
    let engine = Engine::new(name.to_owned(), shape.unwrap_or_default(), log);
    tokio::spawn(engine.run(received));
    tokio::spawn(accept(listener, is_immediate, events.clone(), behaviors));
    ModelledEngine { address, events, behavior }
}

/// Accepts connections, and serves each in a task of its own.
async fn accept(
    listener: TcpListener,
    is_immediate: bool,
    events: mpsc::UnboundedSender<EngineEvent>,
    behaviors: watch::Receiver<EngineBehavior>,
) {
    static NEXT_CONNECTION: AtomicU64 = AtomicU64::new(0);
    while let Ok((stream, _)) = listener.accept().await {
        stream.set_nodelay(true).unwrap();
        if *behaviors.borrow() != EngineBehavior::Dead {
            let last_id = NEXT_CONNECTION.fetch_add(1, Ordering::Relaxed) << QUERY_BITS;
            let (events, behaviors) = (events.clone(), behaviors.clone());
            tokio::spawn(serve(stream, last_id, is_immediate, events, behaviors));
        }
    }
}

/// The number that follows `word` in a statement.
fn number_after(statement: &[u8], word: &str) -> Option<f64> {
    let text = std::str::from_utf8(statement).ok()?;
    let mut words = text.split_whitespace();
    words.find(|found| *found == word)?;
    words.next()?.parse().ok()
}

/// The state of one connection.
struct Connection {
    last_id: u64,
    is_immediate: bool,
    events: mpsc::UnboundedSender<EngineEvent>,
    answers: mpsc::UnboundedSender<Bytes>,
    /// Numbers of the open attempts, by trace id.
    open: HashMap<Bytes, u64>,
    output: BytesMut,
}

impl Connection {
    fn on_command(&mut self, words: &[Bytes], behavior: EngineBehavior) {
        let trace = words[1].clone();
        match &words[0][..] {
            b"PULL" if behavior == EngineBehavior::Silent => {}
            b"PULL" if behavior == EngineBehavior::Failing => {
                let _ = self.events.send(EngineEvent::Failed(trace.clone()));
                put_array(&mut self.output, &[&trace, b"500", b"-", b""]);
            }
            b"PULL" if self.is_immediate => {
                put_array(&mut self.output, &[&trace, b"200", IMMEDIATE_FIELDS, ROWS]);
            }
            b"PULL" => self.on_attempt(trace, &words[2], &words[3]),
            b"KILL" => {
                if let Some(id) = self.open.remove(&trace) {
                    let _ = self.events.send(EngineEvent::Cancelled(id, trace));
                }
            }
            _ => {}
        }
    }

    fn on_attempt(&mut self, trace: Bytes, fields: &[u8], statement: &[u8]) {
        self.last_id += 1;
        let fields = std::str::from_utf8(fields).unwrap();
        let key = fields.split(',').find_map(|field| field.strip_prefix("dedupe=")).map(str::to_owned);
        self.open.insert(trace.clone(), self.last_id);
        let work_ms = number_after(statement, "WORK").unwrap_or(DEFAULT_WORK_MS);
        let query = Query {
            id: self.last_id,
            answers: self.answers.clone(),
            trace,
            work_s: work_ms / 1000.0,
            threads: number_after(statement, "THREADS").unwrap_or(1.0),
            key,
        };
        let _ = self.events.send(EngineEvent::Began(query));
    }
}

/// Serves one connection: reads commands, passes them to the engine's task, and writes its answers.
async fn serve(
    mut stream: TcpStream,
    last_id: u64,
    is_immediate: bool,
    events: mpsc::UnboundedSender<EngineEvent>,
    mut behaviors: watch::Receiver<EngineBehavior>,
) {
    let (answers, mut to_write) = mpsc::unbounded_channel::<Bytes>();
    let (mut reader, mut writer) = stream.split();
    let mut input = BytesMut::with_capacity(INITIAL_BUFFER_BYTES);
    let (open, output) = (HashMap::new(), BytesMut::new());
    let mut connection = Connection { last_id, is_immediate, events, answers, open, output };
    loop {
        tokio::select! {
            read = reader.read_buf(&mut input) => if !matches!(read, Ok(length) if length > 0) { break },
            answer = to_write.recv() => {
                connection.output.extend_from_slice(&answer.unwrap());
                while let Ok(more) = to_write.try_recv() {
                    connection.output.extend_from_slice(&more);
                }
            }
            _ = behaviors.changed() => {}
        }
        let behavior = *behaviors.borrow_and_update();
        if behavior == EngineBehavior::Dead {
            break;
        }
        while let Some(words) = take_array(&mut input) {
            connection.on_command(&words, behavior);
        }
        if behavior == EngineBehavior::Silent {
            connection.output.clear();
        }
        if !connection.output.is_empty() {
            if writer.write_all(&connection.output).await.is_err() {
                break;
            }
            connection.output.clear();
        }
    }
    for (trace, id) in connection.open {
        let _ = connection.events.send(EngineEvent::Cancelled(id, trace));
    }
}
