//! An engine on RESP whose speed follows a model of its cores.

use crate::model::{Model, Shape, Taken};
use crate::request_log::{Record, What};
use crate::wire::{put_array, take_array};
use bytes::{Bytes, BytesMut};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

/// How an engine behaves beyond its shape. May be changed while it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineBehavior {
    /// As its shape says.
    #[default]
    Well,
    /// Its process is dead: connections are reset, new ones closed at once.
    Dead,
    /// It accepts attempts and sends nothing more.
    Silent,
    /// It answers all attempts with an error, at once.
    Failing,
    /// It works eight times slower than usual.
    Slow,
}

/// How much slower a slow engine works.
const SLOWDOWN: f64 = 8.0;
/// Time between two progress reports of a query.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);
/// Fields of an answer of an engine without a shape.
const IMMEDIATE_FIELDS: &[u8] = b"total=1,elapsed=0.1,rss=1";
/// The rows of every answer.
const ROWS: &[u8] = b"a\tb\tc\n";

/// A query that a connection has received.
struct Query {
    id: u64,
    answers: mpsc::UnboundedSender<Bytes>,
    trace: Bytes,
    /// Seconds on one core.
    work: f64,
    threads: f64,
    key: Option<String>,
}

impl Query {
    fn trace(&self) -> &str {
        std::str::from_utf8(&self.trace).unwrap()
    }

    fn answer(&self, kind: &[u8], busy: f64) {
        let fields = match kind {
            b"200" => {
                format!("total=1,elapsed={:.1},rss=16,rep=util:{busy:.2};x0:0.1;x1:0.1", self.work * 1000.0)
            }
            _ => "-".to_owned(),
        };
        self.send(kind, fields.as_bytes(), ROWS);
    }

    fn report_progress(&self) {
        self.send(b"status", b"why=queued,datum=0", b"");
    }

    fn send(&self, kind: &[u8], fields: &[u8], body: &[u8]) {
        let mut output = BytesMut::new();
        put_array(&mut output, &[&self.trace, kind, fields, body]);
        let _ = self.answers.send(output.freeze());
    }
}

/// What the engine's task is told.
enum EngineEvent {
    Began(Query),
    Cancelled(u64, Bytes),
    /// An attempt was answered with an error by its connection.
    Failed(Bytes),
    Behavior(EngineBehavior),
}

/// A running engine after the model. Statements say how much work they are: `... WORK 40.0 THREADS 2 ...`, in
/// milliseconds on one core.
#[derive(Clone)]
pub struct Modelled {
    pub address: SocketAddr,
    events: mpsc::UnboundedSender<EngineEvent>,
    behavior: watch::Sender<EngineBehavior>,
}

impl Modelled {
    pub fn set_behavior(&self, behavior: EngineBehavior) {
        self.behavior.send_replace(behavior);
        let _ = self.events.send(EngineEvent::Behavior(behavior));
    }
}

/// Starts an engine of this shape; with no shape it answers all attempts at once, and records nothing.
pub async fn modelled(name: &str, shape: Option<Shape>, record: Record) -> Modelled {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (events, received) = mpsc::unbounded_channel();
    let (behavior, behaviors) = watch::channel(EngineBehavior::Well);
    let is_immediate = shape.is_none();
    let engine = Engine::new(name.to_owned(), shape.unwrap_or_default(), record);
    tokio::spawn(engine.run(received));
    let modelled = Modelled { address, events: events.clone(), behavior };
    tokio::spawn(async move {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).unwrap();
            if *behaviors.borrow() != EngineBehavior::Dead {
                let last_id = NEXT.fetch_add(1, Ordering::Relaxed) << 32;
                let (events, behaviors) = (events.clone(), behaviors.clone());
                tokio::spawn(serve(stream, last_id, is_immediate, events, behaviors));
            }
        }
    });
    modelled
}

/// The value after a word of a statement.
pub fn after(statement: &[u8], word: &str) -> Option<f64> {
    let text = std::str::from_utf8(statement).ok()?;
    let mut words = text.split_whitespace();
    words.find(|w| *w == word)?;
    words.next()?.parse().ok()
}

/// The state of one connection.
struct Connection {
    last_id: u64,
    is_immediate: bool,
    events: mpsc::UnboundedSender<EngineEvent>,
    answers: mpsc::UnboundedSender<Bytes>,
    /// Numbers of the attempts that are open, by their trace ids.
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
        let _ = self.events.send(EngineEvent::Began(Query {
            id: self.last_id,
            answers: self.answers.clone(),
            trace,
            work: after(statement, "WORK").unwrap_or(1.0) / 1000.0,
            threads: after(statement, "THREADS").unwrap_or(1.0),
            key,
        }));
    }
}

/// Serves one connection: reads commands, passes them to the engine's task, and writes what comes back.
async fn serve(
    mut stream: TcpStream,
    last_id: u64,
    is_immediate: bool,
    events: mpsc::UnboundedSender<EngineEvent>,
    mut behaviors: watch::Receiver<EngineBehavior>,
) {
    let (answers, mut to_write) = mpsc::unbounded_channel::<Bytes>();
    let (mut reader, mut writer) = stream.split();
    let mut buffer = BytesMut::with_capacity(64 * 1024);
    let (open, output) = (HashMap::new(), BytesMut::new());
    let mut connection = Connection { last_id, is_immediate, events, answers, open, output };
    loop {
        tokio::select! {
            read = reader.read_buf(&mut buffer) => if !matches!(read, Ok(length) if length > 0) { break },
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
        while let Some(words) = take_array(&mut buffer) {
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

/// The engine's task: the model, and the queries that it runs.
struct Engine {
    name: String,
    record: Record,
    model: Model,
    /// Slowdown of its shape.
    usual_slowdown: f64,
    started: Instant,
    queries: HashMap<u64, Query>,
}

impl Engine {
    fn new(name: String, shape: Shape, record: Record) -> Self {
        let usual_slowdown = shape.slow;
        let (model, queries) = (Model::new(shape), HashMap::new());
        Self { name, record, model, usual_slowdown, started: Instant::now(), queries }
    }

    async fn run(mut self, mut events: mpsc::UnboundedReceiver<EngineEvent>) {
        self.started = Instant::now();
        let mut next_report = self.started + PROGRESS_INTERVAL;
        loop {
            let next_end = self.model.next().map(|s| Instant::now() + Duration::from_secs_f64(s));
            let mut batch = Vec::new();
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => batch.push(event),
                    None => return,
                },
                () = sleep_until(next_end.unwrap_or(next_report).min(next_report)) => {}
            }
            while let Ok(event) = events.try_recv() {
                batch.push(event);
            }
            self.end_finished();
            batch.into_iter().for_each(|event| self.on_event(event));
            if Instant::now() >= next_report {
                next_report = Instant::now() + PROGRESS_INTERVAL;
                self.queries.values().for_each(Query::report_progress);
            }
        }
    }

    fn see(&self, trace: &str, what: What) {
        self.record.see(&self.name, trace, what);
    }

    fn end_finished(&mut self) {
        for id in self.model.advance(self.started.elapsed().as_secs_f64()) {
            if let Some(query) = self.queries.remove(&id) {
                self.see(query.trace(), What::Ended);
                query.answer(b"200", self.model.busy());
            }
        }
    }

    fn on_event(&mut self, event: EngineEvent) {
        match event {
            EngineEvent::Began(query) => self.begin(query),
            EngineEvent::Cancelled(id, trace) => {
                self.model.give_up(id);
                if self.queries.remove(&id).is_some() {
                    self.see(std::str::from_utf8(&trace).unwrap(), What::Killed);
                }
            }
            EngineEvent::Failed(trace) => {
                let trace = std::str::from_utf8(&trace).unwrap();
                self.see(trace, What::Began { work: Duration::ZERO, key: None });
                self.see(trace, What::Ended);
            }
            EngineEvent::Behavior(EngineBehavior::Slow) => self.model.slow(SLOWDOWN * self.usual_slowdown),
            EngineEvent::Behavior(EngineBehavior::Well | EngineBehavior::Failing) => {
                self.model.slow(self.usual_slowdown);
            }
            EngineEvent::Behavior(EngineBehavior::Dead | EngineBehavior::Silent) => {
                for (id, query) in std::mem::take(&mut self.queries) {
                    self.model.give_up(id);
                    self.see(query.trace(), What::Ended);
                }
            }
        }
    }

    fn begin(&mut self, mut query: Query) {
        let began = What::Began { work: Duration::from_secs_f64(query.work), key: query.key.take() };
        self.see(query.trace(), began);
        match self.model.take(query.id, query.work, query.threads) {
            Taken::Runs => _ = self.queries.insert(query.id, query),
            Taken::Full => {
                self.see(query.trace(), What::Ended);
                query.answer(b"503", 1.0);
            }
            Taken::Fell => {
                self.see(query.trace(), What::Fell);
                self.queries.insert(query.id, query);
                for (_, query) in std::mem::take(&mut self.queries) {
                    self.see(query.trace(), What::Ended);
                    query.answer(b"500", 1.0);
                }
            }
        }
    }
}
