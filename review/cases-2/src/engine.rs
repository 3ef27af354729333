//! A stand-in for an engine, after the page "Protocol": RESP arrays of bulk strings over TCP. Without a fault it
//! behaves soundly: it runs what it is sent, and answers a repeat of a key from its memory without running it. As in the
//! second deployment, a cancel or the end of a connection stops nothing.

use crate::record::Record;
use std::collections::{HashMap, HashSet};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long the accept loop sleeps when no connection waits.
const ACCEPT_PAUSE: Duration = Duration::from_millis(2);
/// Longest command that the stand-in reads.
const MAX_COMMAND_BYTES: usize = 1 << 20;

/// A request as it arrived at an engine.
#[derive(Clone, Debug)]
pub struct Pull {
    /// Id of the request.
    pub id: String,
    /// The fields: `lane`, `ttl`, `dedupe` and others.
    pub fields: HashMap<String, String>,
    /// The statement.
    pub statement: String,
}

/// What an engine does with one request.
#[derive(Clone, Copy, Debug)]
pub enum Plan {
    /// Runs it for this long, then answers with its result.
    Run(Duration),
    /// Answers 503 at once: full, it never ran.
    Full,
}

/// One run of a statement at an engine.
#[derive(Clone, Debug)]
pub struct Run {
    /// Name of the engine.
    pub engine: String,
    /// The idempotency key, empty without one.
    pub key: String,
    /// The statement.
    pub statement: String,
    /// When the run began, in seconds since the start of the record.
    pub at: f64,
}

/// The keys that a group of engines remembers, and what all engines ran.
pub struct KeyMemory {
    window: Duration,
    first_seen: Mutex<HashMap<String, Instant>>,
}

impl KeyMemory {
    /// Keys are remembered for this long after their first arrival.
    pub fn new(window: Duration) -> Arc<Self> {
        Arc::new(Self { window, first_seen: Mutex::default() })
    }

    /// Takes a key in. Returns whether it is a repeat, which is not run again.
    fn is_repeat(&self, key: &str) -> bool {
        let mut first_seen = lock(&self.first_seen);
        let now = Instant::now();
        if first_seen.get(key).is_some_and(|at| now.duration_since(*at) < self.window) {
            return true;
        }
        first_seen.insert(key.to_owned(), now);
        false
    }
}

/// The log of all runs, shared by the engines of a case.
#[derive(Clone, Default)]
pub struct RunLog(Arc<Mutex<Vec<Run>>>);

impl RunLog {
    /// All runs at this engine.
    pub fn runs_at(&self, engine: &str) -> Vec<Run> {
        lock(&self.0).iter().filter(|run| run.engine == engine).cloned().collect()
    }

    /// All runs with this key.
    pub fn runs_of_key(&self, key: &str) -> Vec<Run> {
        lock(&self.0).iter().filter(|run| run.key == key).cloned().collect()
    }
}

/// Chooses the plan for each request.
type Planner = dyn Fn(&Pull) -> Plan + Send + Sync;

struct Shared {
    name: String,
    memory: Arc<KeyMemory>,
    runs: RunLog,
    record: Record,
    planner: Box<Planner>,
    /// A hung engine keeps its connections open, reads nothing and answers nothing.
    is_hung: AtomicBool,
    is_dead: AtomicBool,
    /// The pages of every result.
    pages: Vec<String>,
    /// A stalled engine answers nothing before this instant.
    stalled_until: Mutex<Instant>,
    /// Whether each command is recorded.
    is_recorded: bool,
    streams: Mutex<Vec<TcpStream>>,
}

/// The result of an engine that is not told another one.
const SHORT_RESULT: &str = "a\tb\tc\n";

/// A running engine.
#[derive(Clone)]
pub struct Engine {
    shared: Arc<Shared>,
    /// The address that it listens at.
    pub address: SocketAddr,
}

/// Locks a mutex, whatever happened to its last holder.
pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Engine {
    /// Starts an engine on a free loopback port.
    pub fn start(
        name: &str,
        memory: &Arc<KeyMemory>,
        runs: &RunLog,
        record: &Record,
        planner: impl Fn(&Pull) -> Plan + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let pages = vec![SHORT_RESULT.to_owned()];
        Self::start_with(name, memory, runs, record, pages, true, planner)
    }

    /// Starts an engine whose results have these pages. `is_recorded` tells whether each command is recorded.
    pub fn start_with(
        name: &str,
        memory: &Arc<KeyMemory>,
        runs: &RunLog,
        record: &Record,
        pages: Vec<String>,
        is_recorded: bool,
        planner: impl Fn(&Pull) -> Plan + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let shared = Arc::new(Shared {
            name: name.to_owned(),
            memory: memory.clone(),
            runs: runs.clone(),
            record: record.clone(),
            planner: Box::new(planner),
            is_hung: AtomicBool::new(false),
            is_dead: AtomicBool::new(false),
            pages,
            stalled_until: Mutex::new(Instant::now()),
            is_recorded,
            streams: Mutex::default(),
        });
        let accepting = shared.clone();
        thread::spawn(move || accepting.accept(&listener));
        Ok(Self { shared, address })
    }

    /// From now on the engine answers nothing more; its connections stay open.
    pub fn hang(&self) {
        self.shared.is_hung.store(true, Ordering::SeqCst);
        self.shared.record.line(&format!("engine {} hangs", self.shared.name));
    }

    /// The engine stands still for this long: it answers nothing, and then everything.
    pub fn stall(&self, duration: Duration) {
        *lock(&self.shared.stalled_until) = Instant::now() + duration;
        self.shared.record.line(&format!("engine {} stands still for {duration:?}", self.shared.name));
    }

    /// The engine's process dies: its connections end, and its port refuses new ones.
    pub fn die(&self) {
        self.shared.is_dead.store(true, Ordering::SeqCst);
        for stream in lock(&self.shared.streams).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.shared.record.line(&format!("engine {} dies", self.shared.name));
    }
}

impl Shared {
    fn accept(self: Arc<Self>, listener: &TcpListener) {
        while !self.is_dead.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let Ok(copy) = stream.try_clone() {
                        lock(&self.streams).push(copy);
                    }
                    let engine = self.clone();
                    thread::spawn(move || engine.serve(stream));
                }
                Err(_) => thread::sleep(ACCEPT_PAUSE),
            }
        }
    }

    /// Reads the commands of one connection.
    fn serve(self: Arc<Self>, stream: TcpStream) {
        let Ok(writer) = stream.try_clone() else { return };
        let connection = Arc::new(Connection { writer: Mutex::new(writer), given_up: Mutex::default() });
        let mut reader = CommandReader { stream, buffer: Vec::new() };
        while let Some(command) = reader.next() {
            // A hung engine does nothing with what arrives.
            if self.is_hung.load(Ordering::SeqCst) {
                continue;
            }
            let words: Vec<&str> = command.iter().map(String::as_str).collect();
            match words[..] {
                ["PULL", id, fields, statement] => {
                    let pull =
                        Pull { id: id.into(), fields: parse_fields(fields), statement: statement.into() };
                    let (engine, connection) = (self.clone(), connection.clone());
                    thread::spawn(move || engine.pull(&pull, &connection));
                }
                ["SCROLL", id, page] => {
                    let number = page.parse().unwrap_or(0);
                    let body = self.pages.get(number).map_or("", String::as_str);
                    connection.write(&[id, "chunk", &format!("index={number}"), body]);
                }
                ["KILL" | "DISCARD", id] => {
                    self.note(|| format!("engine {}: {} {id}", self.name, words[0]));
                    lock(&connection.given_up).insert(id.to_owned());
                }
                ["ECHO", tag] => connection.write(&[tag, "alive"]),
                _ => {}
            }
        }
        // What was open on the connection is given up.
        lock(&connection.given_up).insert("*".to_owned());
    }

    /// Writes a line to the record, if each command is recorded.
    fn note(&self, line: impl FnOnce() -> String) {
        if self.is_recorded {
            self.record.line(&line());
        }
    }

    /// Waits while the engine stands still.
    fn wait_for_stall(&self) {
        loop {
            let until = *lock(&self.stalled_until);
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            thread::sleep(left);
        }
    }

    fn pull(&self, pull: &Pull, connection: &Connection) {
        let (name, id) = (&self.name, &pull.id);
        let key = pull.fields.get("dedupe").cloned().unwrap_or_default();
        let arrived = format!("engine {name}: PULL {id} key={key} {:?}", pull.statement);
        match (self.planner)(pull) {
            Plan::Full => {
                self.note(|| format!("{arrived}: full (503)"));
                connection.write(&[id, "503", "-", ""]);
            }
            Plan::Run(_) if !key.is_empty() && self.memory.is_repeat(&key) => {
                self.note(|| format!("{arrived}: a repeat of its key, not run again"));
                connection.write(&[id, "200", "total=1,elapsed=1,rss=1", "repeat\tdropped\tok\n"]);
            }
            Plan::Run(duration) => {
                self.note(|| format!("{arrived}: runs"));
                let run = Run {
                    engine: name.clone(),
                    key,
                    statement: pull.statement.clone(),
                    at: self.record.seconds(),
                };
                lock(&self.runs.0).push(run);
                self.work(duration, connection, id);
            }
        }
    }

    /// Runs a statement and answers, unless the engine hangs or the request was given up meanwhile.
    fn work(&self, duration: Duration, connection: &Connection, id: &str) {
        thread::sleep(duration);
        self.wait_for_stall();
        if connection.is_given_up(id) {
            self.note(|| format!("engine {}: {id} has run to its end, and was given up", self.name));
        } else if !self.is_hung.load(Ordering::SeqCst) && !self.is_dead.load(Ordering::SeqCst) {
            let fields = format!("total={},elapsed={},rss=8", self.pages.len(), duration.as_millis());
            connection.write(&[id, "200", &fields, &self.pages[0]]);
            self.note(|| format!("engine {}: answered {id}", self.name));
        }
    }
}

struct Connection {
    writer: Mutex<TcpStream>,
    /// Ids of the requests that were given up; `*` once the connection has ended.
    given_up: Mutex<HashSet<String>>,
}

impl Connection {
    fn write(&self, words: &[&str]) {
        let mut bytes = format!("*{}\r\n", words.len());
        for word in words {
            bytes.push_str(&format!("${}\r\n{word}\r\n", word.len()));
        }
        let _ = lock(&self.writer).write_all(bytes.as_bytes());
    }

    fn is_given_up(&self, id: &str) -> bool {
        let given_up = lock(&self.given_up);
        given_up.contains(id) || given_up.contains("*")
    }
}

fn parse_fields(text: &str) -> HashMap<String, String> {
    let pairs = text.split(',').filter_map(|field| field.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}

/// Reads RESP arrays of bulk strings from a connection.
struct CommandReader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl CommandReader {
    /// The next command; `None` once the connection has ended.
    fn next(&mut self) -> Option<Vec<String>> {
        let count = self.length(b'*')?;
        (0..count).map(|_| self.bulk_string()).collect()
    }

    fn bulk_string(&mut self) -> Option<String> {
        let size = self.length(b'$')?;
        let bytes = self.take(size + 2)?;
        Some(String::from_utf8_lossy(&bytes[..size]).into_owned())
    }

    fn length(&mut self, kind: u8) -> Option<usize> {
        let mut line = Vec::new();
        loop {
            let byte = self.take(1)?[0];
            if byte == b'\n' {
                break;
            }
            line.push(byte);
        }
        let text = String::from_utf8(line).ok()?;
        let digits = text.strip_prefix(kind as char)?.strip_suffix('\r')?;
        digits.parse().ok().filter(|number| *number <= MAX_COMMAND_BYTES)
    }

    fn take(&mut self, count: usize) -> Option<Vec<u8>> {
        let mut chunk = [0; 4096];
        while self.buffer.len() < count {
            match self.stream.read(&mut chunk) {
                Ok(read) if read > 0 => self.buffer.extend_from_slice(&chunk[..read]),
                _ => return None,
            }
        }
        let rest = self.buffer.split_off(count);
        Some(std::mem::replace(&mut self.buffer, rest))
    }
}
