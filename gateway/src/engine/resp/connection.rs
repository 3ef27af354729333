//! One connection to an engine: a task that writes commands and reads answers, many attempts at a time.

use super::outgoing::{Outgoing, Written};
use super::wire::{self, BadAnswer, PAGES_MOST, Reply, Word};
use crate::drain_guard::DrainGuard;
use crate::engine::RESULT_MOST;
use crate::engine::pool::Heard;
use crate::message::{AttemptEvent, AttemptId, AttemptRequest, AttemptResult, BrokerEvent, Rows};
use crate::metrics::Metrics;
use bytes::{Bytes, BytesMut};
use reedwalk_scheduler::Outcome;
use reedwalk_settings::Sockets;
use socket2::SockRef;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout_at};

/// An answer is short, and whole this long after its first byte; else its rest will never come, and nothing
/// behind it can be read.
const WHOLE_BY: Duration = Duration::from_millis(300);

/// What a connection's task is told.
#[derive(Clone, Debug)]
pub enum Command {
    /// Start an attempt, if its engine's drain guard is open when its turn to be written comes.
    Start(Box<AttemptRequest>, DrainGuard),
    /// Give it up.
    Stop(AttemptId),
    /// Change its priority.
    Boost(AttemptId, u8),
}

struct Attempt {
    key: AttemptId,
    /// Its command is whole on the wire.
    sent: bool,
    /// The first answer, and the pages that have come.
    served: Option<Box<(Reply, BTreeMap<u32, Bytes>)>>,
}

/// How a connection that was up has ended.
enum Over {
    /// The engine closed or reset it, or nobody wants it any more.
    Broken,
    /// It brought what can't be read, or half of an answer and no more. Whether one attempt has been told.
    Spoilt { told: bool },
}

pub struct Task {
    start: Instant,
    peer: SocketAddr,
    heard: Arc<Heard>,
    sockets: Arc<Sockets>,
    queue: mpsc::Sender<BrokerEvent>,
    metrics: Arc<Metrics>,
    commands: mpsc::Receiver<Command>,
    by_id: HashMap<Bytes, Attempt>,
    ids: HashMap<AttemptId, Bytes>,
    out: Outgoing,
    /// Given up, and the engine has not been told so yet.
    stopping: HashSet<AttemptId>,
}

impl Task {
    pub fn new(
        peer: SocketAddr,
        heard: Arc<Heard>,
        sockets: Arc<Sockets>,
        queue: mpsc::Sender<BrokerEvent>,
        metrics: Arc<Metrics>,
        commands: mpsc::Receiver<Command>,
    ) -> Self {
        Self {
            start: Instant::now(),
            peer,
            heard,
            sockets,
            queue,
            metrics,
            commands,
            by_id: HashMap::new(),
            ids: HashMap::new(),
            out: Outgoing::default(),
            stopping: HashSet::new(),
        }
    }

    async fn tell(&self, key: AttemptId, news: AttemptEvent) {
        // The broker never waits for a connection, so waiting for it here can't lock up.
        let _ = self.queue.send(BrokerEvent::Attempt { id: key, event: news }).await;
    }

    async fn end(&mut self, id: &Bytes, end: AttemptResult) {
        if let Some(attempt) = self.by_id.remove(id) {
            self.ids.remove(&attempt.key);
            self.tell(attempt.key, AttemptEvent::Ended(end)).await;
        }
    }

    /// Connects by `by`, then serves until the links drop it or the connection breaks.
    pub async fn run(mut self, by: Instant) {
        let over = match self.connect(by).await {
            Some(mut stream) => {
                let _ = stream.set_nodelay(true);
                self.heard.now();
                Some(self.serve(&mut stream).await)
            }
            None => None,
        };
        // Nothing that was not written whole has run. That the engine was not there is told only where it was
        // not: a connection that broke before a command went out says nothing against it.
        let unsent = if over.is_some() { Outcome::NeverSent } else { Outcome::ConnectFailed };
        self.commands.close();
        while let Some(command) = self.commands.recv().await {
            match command {
                Command::Start(attempt, _) => self.tell(attempt.id, AttemptEvent::Ended(unsent.into())).await,
                // It is told of below, if it was sent at all.
                Command::Stop(key) => _ = self.stopping.insert(key),
                Command::Boost(..) => {}
            }
        }
        // The connection has ended, and with it all that was open there.
        for key in std::mem::take(&mut self.stopping) {
            self.forget(key);
            self.tell(key, AttemptEvent::CancelConfirmed).await;
        }
        // What else was out where one answer could not be read is withdrawn with the connection: the engine
        // answers for one of them, not for all.
        let mut answered_for = matches!(over, Some(Over::Spoilt { told: true }));
        let mut left: Vec<_> = std::mem::take(&mut self.by_id).into_values().collect();
        left.sort_by_key(|a| a.key);
        for attempt in left {
            let outcome = match over {
                _ if !attempt.sent => unsent,
                Some(Over::Spoilt { .. }) if std::mem::replace(&mut answered_for, true) => Outcome::Cancelled,
                _ => Outcome::Reset,
            };
            self.tell(attempt.key, AttemptEvent::Ended(outcome.into())).await;
        }
    }

    /// Comes up by `by`, or not at all; what is given up meanwhile was never sent.
    async fn connect(&mut self, by: Instant) -> Option<TcpStream> {
        let connecting = timeout_at(by, TcpStream::connect(self.peer));
        let mut connecting = pin!(connecting);
        loop {
            tokio::select! {
                biased;
                connected = &mut connecting => return connected.ok()?.ok(),
                Some(command) = self.commands.recv() => self.command(command).await,
            }
        }
    }

    async fn serve(&mut self, stream: &mut TcpStream) -> Over {
        let (mut reader, writer) = stream.split();
        let mut buffer = BytesMut::with_capacity(16 * 1024);
        // When the rest of an answer that has begun must have come.
        let mut whole_by = None;
        loop {
            tokio::select! {
                biased;
                command = self.commands.recv() => match command {
                    None => return Over::Broken,
                    Some(command) => {
                        self.command(command).await;
                        while let Ok(command) = self.commands.try_recv() {
                            self.command(command).await;
                        }
                    }
                },
                ready = writer.writable(), if !self.out.is_empty() => {
                    if ready.is_err() {
                        return Over::Broken;
                    }
                    // Looked at last before the bytes go: they may have lain here while the socket was not up or full.
                    // Telling of what was withdrawn may take long; then it is looked at anew.
                    let void = self.out.withdraw_void(Instant::now());
                    if !void.is_empty() {
                        for key in void {
                            self.unsent(key).await;
                        }
                        continue;
                    }
                    // A request that crosses the close of an idle connection may have run, for all we know; one that
                    // is kept back may go elsewhere. The runtime goes by what it was last told of a socket, so the
                    // system itself is asked.
                    if !self.by_id.values().any(|a| a.sent) && closed(writer.as_ref()) {
                        return Over::Broken;
                    }
                    match writer.try_write_vectored(&self.out.slices()) {
                        Ok(n) if n > 0 => self.written(n).await,
                        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                        _ => return Over::Broken,
                    }
                }
                read = reader.read_buf(&mut buffer) => {
                    if !matches!(read, Ok(n) if n > 0) {
                        return Over::Broken;
                    }
                    self.heard.now();
                    loop {
                        match wire::take_array(&mut buffer) {
                            Ok(Some(words)) => {
                                whole_by = None;
                                if self.answer(words).await.is_err() {
                                    return Over::Spoilt { told: true };
                                }
                            }
                            Ok(None) => break,
                            Err(_) => return Over::Spoilt { told: false },
                        }
                    }
                    if buffer.is_empty() {
                        whole_by = None;
                    } else if whole_by.is_none() {
                        whole_by = Some(Instant::now() + WHOLE_BY);
                    }
                }
                () = sleep_until(whole_by.unwrap_or(self.start)), if whole_by.is_some() => {
                    return Over::Spoilt { told: false };
                }
            }
        }
    }

    /// An attempt was withdrawn before it was written; it never ran.
    async fn unsent(&mut self, key: AttemptId) {
        if let Some(id) = self.ids.get(&key).cloned() {
            self.end(&id, Outcome::NeverSent.into()).await;
        }
    }

    async fn written(&mut self, count: usize) {
        for written in self.out.written(count) {
            match written {
                Written::Start(key) => {
                    self.metrics.upstream();
                    let attempt = self.ids.get(&key).and_then(|id| self.by_id.get_mut(id));
                    attempt.into_iter().for_each(|a| a.sent = true);
                }
                Written::Stop(key) => {
                    self.stopping.remove(&key);
                    self.tell(key, AttemptEvent::CancelConfirmed).await;
                }
            }
        }
    }

    /// Nothing of an attempt is wanted any more; its id, and whether its first answer had come.
    fn forget(&mut self, key: AttemptId) -> Option<(Bytes, bool)> {
        let id = self.ids.remove(&key)?;
        let served = self.by_id.remove(&id).is_some_and(|a| a.served.is_some());
        Some((id, served))
    }

    async fn command(&mut self, command: Command) {
        match command {
            Command::Start(attempt, drain_guard) => {
                let lane = self.sockets.classes.get(attempt.class.0).map_or("", String::as_str);
                self.out.start(&attempt, drain_guard, lane, Instant::now());
                self.ids.insert(attempt.id, attempt.trace_id.clone());
                self.by_id.insert(attempt.trace_id, Attempt { key: attempt.id, sent: false, served: None });
            }
            Command::Stop(key) => {
                let Some((id, served)) = self.forget(key) else { return };
                // What the engine has not been sent it is not sent just to be told to give it up.
                if self.out.withdraw(key) {
                    self.tell(key, AttemptEvent::CancelConfirmed).await;
                } else {
                    self.stopping.insert(key);
                    self.out.stop(key, &[if served { b"DISCARD" } else { b"KILL" }, &id]);
                }
            }
            Command::Boost(key, priority) => {
                if let Some(id) = self.ids.get(&key).cloned() {
                    self.out.put(key, &[b"BOOST", &id, priority.to_string().as_bytes()]);
                }
            }
        }
    }

    /// Reads an answer. One under an id that nobody waits for is of no concern, whatever it holds.
    async fn answer(&mut self, words: Vec<Bytes>) -> Result<(), BadAnswer> {
        let Some(id) = words.first().filter(|id| self.by_id.contains_key(*id)).cloned() else {
            return Ok(());
        };
        match wire::read_reply(words) {
            Ok(reply) => self.reply(reply).await,
            Err(bad) => self.spoilt(&id, bad.0).await,
        }
    }

    /// Takes in an answer. What can't be so is an error: that attempt has been told, and the connection is of no
    /// further use.
    async fn reply(&mut self, reply: Reply) -> Result<(), BadAnswer> {
        let id = reply.id.clone();
        let Some(attempt) = self.by_id.get_mut(&id) else { return Ok(()) };
        let load = reply.load;
        let failed = |outcome: Outcome| AttemptResult { outcome, bill: None, load, rows: None };
        match reply.word {
            Word::Status => {
                if let Some(note) = reply.note {
                    let key = attempt.key;
                    self.tell(key, AttemptEvent::Progress(note)).await;
                }
            }
            Word::Full => self.end(&id, failed(Outcome::Rejected)).await,
            Word::Over => self.end(&id, failed(Outcome::NeverSent)).await,
            Word::Error => self.end(&id, failed(Outcome::Error)).await,
            Word::Alive => {}
            Word::Ok if attempt.served.is_none() => {
                let (key, pages) = (attempt.key, reply.pages);
                if pages > PAGES_MOST {
                    return self.spoilt(&id, "more pages than a result has").await;
                }
                let first = BTreeMap::from([(0, reply.body.clone())]);
                attempt.served = Some(Box::new((reply, first)));
                for page in 1..pages {
                    self.out.put(key, &[b"SCROLL", &id, page.to_string().as_bytes()]);
                }
                return self.whole(&id).await;
            }
            Word::Chunk => {
                if let Some(served) = &mut attempt.served {
                    if !(1..served.0.pages).contains(&reply.page) {
                        return self.spoilt(&id, "a page that the result does not have").await;
                    }
                    served.1.entry(reply.page).or_insert(reply.body);
                    return self.whole(&id).await;
                }
            }
            // A second copy.
            Word::Ok => {}
        }
        Ok(())
    }

    async fn spoilt(&mut self, id: &Bytes, why: &'static str) -> Result<(), BadAnswer> {
        self.end(id, Outcome::Reset.into()).await;
        Err(BadAnswer(why))
    }

    /// Ends an attempt whose pages are all in.
    async fn whole(&mut self, id: &Bytes) -> Result<(), BadAnswer> {
        let Some(attempt) = self.by_id.get(id) else { return Ok(()) };
        let (key, Some(served)) = (attempt.key, attempt.served.as_ref()) else { return Ok(()) };
        let (first, pages) = (&served.0, &served.1);
        if pages.values().map(Bytes::len).sum::<usize>() > RESULT_MOST {
            return self.spoilt(id, "a result that is too large").await;
        }
        if pages.len() < first.pages as usize {
            return Ok(());
        }
        let mut rows = Rows::default();
        if !pages.values().all(|page| wire::read_page(page, &mut rows).is_ok()) {
            return self.spoilt(id, "a page without whole rows").await;
        }
        let end =
            AttemptResult { outcome: Outcome::Ok, bill: first.bill, load: first.load, rows: Some(rows) };
        if first.pages > 1 {
            self.out.put(key, &[b"DISCARD", id]);
        }
        self.end(id, end).await;
        Ok(())
    }
}

/// Has the other side closed, with all that it sent read?
fn closed(stream: &TcpStream) -> bool {
    match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
        Ok(n) => n == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

impl Drop for Task {
    /// Where the task ends before its time, by a panic or with its core, what it had out is told all the same.
    fn drop(&mut self) {
        let tell = |key, outcome: Outcome| {
            _ = self
                .queue
                .try_send(BrokerEvent::Attempt { id: key, event: AttemptEvent::Ended(outcome.into()) })
        };
        for attempt in self.by_id.values() {
            tell(attempt.key, if attempt.sent { Outcome::Reset } else { Outcome::NeverSent });
        }
        let given_up = |key| {
            _ = self.queue.try_send(BrokerEvent::Attempt { id: key, event: AttemptEvent::CancelConfirmed })
        };
        self.stopping.iter().copied().for_each(given_up);
        self.commands.close();
        while let Ok(command) = self.commands.try_recv() {
            match command {
                Command::Start(attempt, _) => tell(attempt.id, Outcome::NeverSent),
                Command::Stop(key) => given_up(key),
                Command::Boost(..) => {}
            }
        }
    }
}
