//! One connection to an engine: a task that writes commands and reads answers, many attempts at a time.

use super::wire::{self, PAGES_MOST, Reply, Word};
use crate::broker::{AttemptKey, End, Input, News, Order, Rows};
use crate::engine::RESULT_MOST;
use crate::engine::pool::Heard;
use bytes::{Buf, Bytes, BytesMut};
use reedwalk_core::Outcome;
use reedwalk_settings::Sockets;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

/// What a connection's task is told.
#[derive(Clone, Debug)]
pub enum Command {
    /// Start an attempt.
    Start(Box<Order>),
    /// Give it up.
    Stop(AttemptKey),
    /// Change its priority.
    Boost(AttemptKey, u8),
}

struct Attempt {
    key: AttemptKey,
    /// Bytes written in all once its command is whole on the wire.
    whole_at: u64,
    /// The first answer, and the pages that have come.
    served: Option<Box<(Reply, BTreeMap<u32, Bytes>)>>,
}

pub struct Task {
    peer: SocketAddr,
    heard: Arc<Heard>,
    sockets: Arc<Sockets>,
    queue: mpsc::Sender<Input>,
    by_id: HashMap<Bytes, Attempt>,
    ids: HashMap<AttemptKey, Bytes>,
    out: BytesMut,
    queued: u64,
    written: u64,
}

impl Task {
    pub fn new(
        peer: SocketAddr,
        heard: Arc<Heard>,
        sockets: Arc<Sockets>,
        queue: mpsc::Sender<Input>,
    ) -> Self {
        Self {
            peer,
            heard,
            sockets,
            queue,
            by_id: HashMap::new(),
            ids: HashMap::new(),
            out: BytesMut::new(),
            queued: 0,
            written: 0,
        }
    }

    async fn tell(&self, key: AttemptKey, news: News) {
        // The broker never waits for a connection, so waiting for it here can't lock up.
        let _ = self.queue.send(Input::News(key, news)).await;
    }

    async fn end(&mut self, id: &Bytes, end: End) {
        if let Some(attempt) = self.by_id.remove(id) {
            self.ids.remove(&attempt.key);
            self.tell(attempt.key, News::Ended(end)).await;
        }
    }

    /// Connects by `by`, then serves until the links let go of it or the connection breaks.
    pub async fn run(mut self, mut commands: mpsc::Receiver<Command>, by: Instant) {
        let stream = match timeout_at(by, TcpStream::connect(self.peer)).await {
            Ok(Ok(stream)) => Some(stream),
            _ => None,
        };
        if let Some(mut stream) = stream {
            let _ = stream.set_nodelay(true);
            self.heard.now();
            self.serve(&mut stream, &mut commands).await;
        }
        // Whatever is left never ran if its command had not been written whole, and may have run otherwise.
        commands.close();
        while let Some(command) = commands.recv().await {
            if let Command::Start(order) = command {
                self.tell(order.key, News::Ended(Outcome::ConnectFailed.into())).await;
            }
        }
        for (_, attempt) in std::mem::take(&mut self.by_id) {
            let sent = attempt.whole_at <= self.written;
            let outcome = if sent { Outcome::Reset } else { Outcome::ConnectFailed };
            self.tell(attempt.key, News::Ended(outcome.into())).await;
        }
    }

    async fn serve(&mut self, stream: &mut TcpStream, commands: &mut mpsc::Receiver<Command>) {
        let (mut reader, mut writer) = stream.split();
        let mut buffer = BytesMut::with_capacity(16 * 1024);
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    None => return,
                    Some(command) => {
                        self.command(command);
                        while let Ok(command) = commands.try_recv() {
                            self.command(command);
                        }
                    }
                },
                read = reader.read_buf(&mut buffer) => {
                    if !matches!(read, Ok(n) if n > 0) {
                        return;
                    }
                    self.heard.now();
                    loop {
                        match wire::take_array(&mut buffer).and_then(|a| a.map(wire::read_reply).transpose()) {
                            Ok(Some(reply)) => self.reply(reply).await,
                            Ok(None) => break,
                            Err(_) => return,
                        }
                    }
                }
                sent = writer.write(&self.out), if !self.out.is_empty() => match sent {
                    Ok(n) if n > 0 => {
                        self.out.advance(n);
                        self.written += n as u64;
                    }
                    _ => return,
                },
            }
        }
    }

    fn put(&mut self, words: &[&[u8]]) {
        let before = self.out.len();
        wire::put_array(&mut self.out, words);
        self.queued += (self.out.len() - before) as u64;
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Start(order) => {
                let before = self.out.len();
                let lane = self.sockets.classes.get(order.class.0).map_or("", String::as_str);
                wire::put_order(&mut self.out, &order, lane, Instant::now());
                self.queued += (self.out.len() - before) as u64;
                self.ids.insert(order.key, order.trace.clone());
                let attempt = Attempt { key: order.key, whole_at: self.queued, served: None };
                self.by_id.insert(order.trace, attempt);
            }
            Command::Stop(key) => {
                let Some(id) = self.ids.remove(&key) else { return };
                let served = self.by_id.remove(&id).is_some_and(|a| a.served.is_some());
                self.put(&[if served { b"DISCARD" } else { b"KILL" }, &id]);
            }
            Command::Boost(key, priority) => {
                if let Some(id) = self.ids.get(&key).cloned() {
                    self.put(&[b"BOOST", &id, priority.to_string().as_bytes()]);
                }
            }
        }
    }

    async fn reply(&mut self, reply: Reply) {
        let id = reply.id.clone();
        let Some(attempt) = self.by_id.get_mut(&id) else { return };
        let load = reply.load;
        let failed = |outcome: Outcome| End { outcome, bill: None, load, rows: None };
        match reply.word {
            Word::Status => {
                if let Some(note) = reply.note {
                    let key = attempt.key;
                    self.tell(key, News::Noted(note)).await;
                }
            }
            Word::Full => self.end(&id, failed(Outcome::Full)).await,
            Word::Over => self.end(&id, failed(Outcome::Moot)).await,
            Word::Error => self.end(&id, failed(Outcome::Error)).await,
            Word::Alive => {}
            Word::Ok if attempt.served.is_none() => {
                if reply.pages > PAGES_MOST {
                    return self.end(&id, failed(Outcome::Error)).await;
                }
                let pages = reply.pages;
                let first = BTreeMap::from([(0, reply.body.clone())]);
                attempt.served = Some(Box::new((reply, first)));
                for page in 1..pages {
                    self.put(&[b"SCROLL", &id, page.to_string().as_bytes()]);
                }
                self.whole(&id).await;
            }
            Word::Chunk => {
                if let Some(served) = &mut attempt.served {
                    if (1..served.0.pages).contains(&reply.page) {
                        served.1.insert(reply.page, reply.body);
                    }
                    self.whole(&id).await;
                }
            }
            Word::Ok => {}
        }
    }

    /// Ends an attempt whose pages are all in.
    async fn whole(&mut self, id: &Bytes) {
        let Some(served) = self.by_id.get(id).and_then(|a| a.served.as_ref()) else { return };
        let (first, pages) = (&served.0, &served.1);
        if pages.len() < first.pages as usize {
            return;
        }
        let mut rows = Rows::default();
        let fits = pages.values().map(Bytes::len).sum::<usize>() <= RESULT_MOST;
        let sound = fits && pages.values().all(|page| wire::read_page(page, &mut rows).is_ok());
        let end = if sound {
            End { outcome: Outcome::Ok, bill: first.bill, load: first.load, rows: Some(rows) }
        } else {
            End { outcome: Outcome::Error, bill: None, load: first.load, rows: None }
        };
        if first.pages > 1 {
            self.put(&[b"DISCARD", id]);
        }
        self.end(id, end).await;
    }
}
