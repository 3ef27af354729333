//! Stand-in engines on RESP, written from the protocol page: one that follows a script, and one after the model.

use crate::model::{Model, Shape, Taken};
use crate::record::{Record, What};
use crate::wire::{put_array, take_array};
use crate::{Act, World, rows};
use bytes::{Bytes, BytesMut};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

pub async fn engine(name: &'static str, world: World) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            world.connected(name);
            tokio::spawn(serve(stream, name, world.clone()));
        }
    });
    address
}

fn pages() -> Vec<String> {
    rows().chunks(200).map(|c| c.iter().map(|r| r.join("\t") + "\n").collect()).collect()
}

async fn serve(mut stream: TcpStream, name: &'static str, world: World) {
    let (mut buffer, mut open) = (BytesMut::new(), HashMap::<Bytes, String>::new());
    loop {
        let mut out = BytesMut::new();
        let (mut cut, mut half) = (false, false);
        while let Some(words) = take_array(&mut buffer) {
            let id = words[1].clone();
            match &words[0][..] {
                b"PULL" => {
                    let fields = String::from_utf8(words[2].to_vec()).unwrap();
                    let statement = String::from_utf8(words[3].to_vec()).unwrap();
                    assert!(!statement.contains("route="), "the fields comment was passed on");
                    let key = fields.split(',').find_map(|f| f.strip_prefix("dedupe="));
                    let act = world.act(name, &statement, key);
                    let late_copy = statement.starts_with("TWICE") && open.contains_key(&id);
                    open.insert(id.clone(), statement);
                    let total = pages().len();
                    let ok = format!("total={total},elapsed=120.0,rss=64,rep=util:0.2;x0:0.1;queue:0;x1:0.1");
                    let first = pages()[0].clone();
                    let mut answer = |word: &str, fields: &str, body: &str| {
                        put_array(&mut out, &[&id, word.as_bytes(), fields.as_bytes(), body.as_bytes()])
                    };
                    if late_copy {
                        // The error of the attempt before, once more, after the next one has come in.
                        answer("500", "-", "");
                    }
                    match act {
                        Act::Serve => answer("200", &ok, &first),
                        Act::Busy => answer("503", "-", ""),
                        Act::Error => answer("500", "-", ""),
                        Act::Hang => {}
                        Act::Cut => {
                            answer("200", &ok, &first);
                            cut = true;
                        }
                        Act::LoseAck => cut = true,
                        Act::Spoil(with) => match with.strip_prefix("ID ").and_then(|w| w.split_once(' ')) {
                            Some((word, fields)) => {
                                if word == "chunk" {
                                    answer("200", &ok, &first);
                                }
                                answer(word, fields, &first);
                            }
                            None => out.extend_from_slice(with.as_bytes()),
                        },
                        Act::Half => {
                            answer("200", &ok, &first);
                            out.truncate(out.len() / 2);
                            half = true;
                        }
                        Act::Copy => {
                            put_array(&mut out, &[b"ffffffffffffffff", b"200", b"-", b"x\ty\tz\n"]);
                            put_array(&mut out, &[&id, b"200", ok.as_bytes(), first.as_bytes()]);
                            put_array(&mut out, &[&id, b"200", ok.as_bytes(), first.as_bytes()]);
                        }
                    }
                }
                b"SCROLL" => {
                    let page: usize = std::str::from_utf8(&words[2]).unwrap().parse().unwrap();
                    let index = format!("index={page}");
                    put_array(&mut out, &[&id, b"chunk", index.as_bytes(), pages()[page].as_bytes()]);
                }
                b"KILL" => {
                    let statement = open.remove(&id).unwrap_or_default();
                    world.gave_up(&statement);
                }
                b"DISCARD" | b"BOOST" => {}
                other => panic!("unknown command {other:?}"),
            }
        }
        if stream.write_all(&out).await.is_err() || cut {
            return;
        }
        if half {
            // The connection stays open, and nothing more comes on it.
            while matches!(stream.read_buf(&mut buffer).await, Ok(n) if n > 0) {
                buffer.clear();
            }
            return;
        }
        if !matches!(stream.read_buf(&mut buffer).await, Ok(n) if n > 0) {
            return;
        }
    }
}

// ---- Engines after the model

/// How a modelled engine behaves beyond its shape. May be changed while it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mood {
    /// As its shape says.
    #[default]
    Well,
    /// Its process is dead: connections are reset, new ones closed at once.
    Dead,
    /// It accepts and never says anything more.
    Silent,
    /// It answers all with an error, at once.
    Failing,
    /// It works eight times slower than usual.
    Slow,
}

/// How much slower a slow one works.
const SLOW: f64 = 8.0;

enum Told {
    Began {
        id: u64,
        line: mpsc::UnboundedSender<Bytes>,
        trace: Bytes,
        work: f64,
        threads: f64,
        key: Option<String>,
    },
    GaveUp(u64, Bytes),
    Erred(Bytes),
    Mood(Mood),
}

/// A running engine after the model. Statements say how much work they are: `... WORK 40.0 THREADS 2 ...`, in
/// milliseconds on one core.
#[derive(Clone)]
pub struct Modelled {
    pub address: SocketAddr,
    told: mpsc::UnboundedSender<Told>,
    mood: watch::Sender<Mood>,
}

impl Modelled {
    pub fn mood(&self, mood: Mood) {
        self.mood.send_replace(mood);
        let _ = self.told.send(Told::Mood(mood));
    }
}

/// Starts an engine of this shape; with no shape it answers all at once, and records nothing.
pub async fn modelled(name: &str, shape: Option<Shape>, record: Record) -> Modelled {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (told, tells) = mpsc::unbounded_channel();
    let (mood, moods) = watch::channel(Mood::Well);
    let at_once = shape.is_none();
    tokio::spawn(run(name.to_owned(), shape.unwrap_or_default(), record, tells));
    let engine = Modelled { address, told: told.clone(), mood };
    tokio::spawn(async move {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).unwrap();
            if *moods.borrow() != Mood::Dead {
                let number = NEXT.fetch_add(1, Ordering::Relaxed) << 32;
                tokio::spawn(line(stream, number, at_once, told.clone(), moods.clone()));
            }
        }
    });
    engine
}

/// The value after a word of a statement.
pub fn after(statement: &[u8], word: &str) -> Option<f64> {
    let text = std::str::from_utf8(statement).ok()?;
    let mut words = text.split_whitespace();
    words.find(|w| *w == word)?;
    words.next()?.parse().ok()
}

const AT_ONCE: &[u8] = b"total=1,elapsed=0.1,rss=1";

/// One connection: reads commands, passes them on, writes what comes back.
async fn line(
    mut stream: TcpStream,
    number: u64,
    at_once: bool,
    told: mpsc::UnboundedSender<Told>,
    mut moods: watch::Receiver<Mood>,
) {
    let (answers, mut to_write) = mpsc::unbounded_channel::<Bytes>();
    let (mut reader, mut writer) = stream.split();
    let mut buffer = BytesMut::with_capacity(64 * 1024);
    let (mut out, mut open, mut next) = (BytesMut::new(), HashMap::<Bytes, u64>::new(), number);
    loop {
        tokio::select! {
            read = reader.read_buf(&mut buffer) => if !matches!(read, Ok(n) if n > 0) { break },
            answer = to_write.recv() => {
                out.extend_from_slice(&answer.unwrap());
                while let Ok(more) = to_write.try_recv() {
                    out.extend_from_slice(&more);
                }
            }
            _ = moods.changed() => {}
        }
        let mood = *moods.borrow_and_update();
        if mood == Mood::Dead {
            break;
        }
        while let Some(words) = take_array(&mut buffer) {
            let id = words[1].clone();
            match &words[0][..] {
                b"PULL" if mood == Mood::Silent => {}
                b"PULL" if mood == Mood::Failing => {
                    let _ = told.send(Told::Erred(id.clone()));
                    put_array(&mut out, &[&id, b"500", b"-", b""]);
                }
                b"PULL" if at_once => put_array(&mut out, &[&id, b"200", AT_ONCE, b"a\tb\tc\n"]),
                b"PULL" => {
                    next += 1;
                    let fields = std::str::from_utf8(&words[2]).unwrap();
                    let key = fields.split(',').find_map(|f| f.strip_prefix("dedupe=")).map(str::to_owned);
                    let work = after(&words[3], "WORK").unwrap_or(1.0) / 1000.0;
                    let threads = after(&words[3], "THREADS").unwrap_or(1.0);
                    open.insert(id.clone(), next);
                    let line = answers.clone();
                    let _ = told.send(Told::Began { id: next, line, trace: id, work, threads, key });
                }
                b"KILL" => {
                    if let Some(number) = open.remove(&id) {
                        let _ = told.send(Told::GaveUp(number, id));
                    }
                }
                _ => {}
            }
        }
        if mood == Mood::Silent {
            out.clear();
        }
        if !out.is_empty() {
            if writer.write_all(&out).await.is_err() {
                break;
            }
            out.clear();
        }
    }
    for (trace, number) in open {
        let _ = told.send(Told::GaveUp(number, trace));
    }
}

async fn run(name: String, shape: Shape, record: Record, mut tells: mpsc::UnboundedReceiver<Told>) {
    let start = Instant::now();
    let usual = shape.slow;
    let mut model = Model::new(shape);
    type Query = (mpsc::UnboundedSender<Bytes>, Bytes, f64);
    let mut queries: HashMap<u64, Query> = HashMap::new();
    let answer = |query: Query, word: &[u8], busy: f64| {
        let mut out = BytesMut::new();
        let fields = match word {
            b"200" => {
                format!("total=1,elapsed={:.1},rss=16,rep=util:{busy:.2};x0:0.1;x1:0.1", query.2 * 1000.0)
            }
            _ => "-".to_owned(),
        };
        put_array(&mut out, &[&query.1, word, fields.as_bytes(), b"a\tb\tc\n"]);
        let _ = query.0.send(out.freeze());
    };
    let mut notes = start + Duration::from_millis(500);
    loop {
        let next = model.next().map(|s| Instant::now() + Duration::from_secs_f64(s));
        let mut batch = Vec::new();
        tokio::select! {
            told = tells.recv() => match told {
                Some(told) => batch.push(told),
                None => return,
            },
            () = sleep_until(next.unwrap_or(notes).min(notes)) => {}
        }
        while let Ok(told) = tells.try_recv() {
            batch.push(told);
        }
        for id in model.advance(start.elapsed().as_secs_f64()) {
            if let Some(query) = queries.remove(&id) {
                record.see(&name, std::str::from_utf8(&query.1).unwrap(), What::Ended);
                answer(query, b"200", model.busy());
            }
        }
        for told in batch {
            match told {
                Told::Began { id, line, trace, work, threads, key } => {
                    let began = What::Began { work: Duration::from_secs_f64(work), key };
                    record.see(&name, std::str::from_utf8(&trace).unwrap(), began);
                    match model.take(id, work, threads) {
                        Taken::Runs => _ = queries.insert(id, (line, trace, work)),
                        Taken::Full => {
                            record.see(&name, std::str::from_utf8(&trace).unwrap(), What::Ended);
                            answer((line, trace, work), b"503", 1.0);
                        }
                        Taken::Fell => {
                            record.see(&name, std::str::from_utf8(&trace).unwrap(), What::Fell);
                            queries.insert(id, (line, trace, work));
                            for (_, query) in queries.drain() {
                                record.see(&name, std::str::from_utf8(&query.1).unwrap(), What::Ended);
                                answer(query, b"500", 1.0);
                            }
                        }
                    }
                }
                Told::GaveUp(id, trace) => {
                    model.give_up(id);
                    if queries.remove(&id).is_some() {
                        record.see(&name, std::str::from_utf8(&trace).unwrap(), What::Killed);
                    }
                }
                Told::Erred(trace) => {
                    let trace = std::str::from_utf8(&trace).unwrap();
                    record.see(&name, trace, What::Began { work: Duration::ZERO, key: None });
                    record.see(&name, trace, What::Ended);
                }
                Told::Mood(Mood::Slow) => model.slow(SLOW * usual),
                Told::Mood(Mood::Well | Mood::Failing) => model.slow(usual),
                Told::Mood(_) => {
                    queries.drain().for_each(|(id, query)| {
                        model.give_up(id);
                        record.see(&name, std::str::from_utf8(&query.1).unwrap(), What::Ended);
                    });
                }
            }
        }
        if Instant::now() >= notes {
            notes = Instant::now() + Duration::from_millis(500);
            for (line, trace, _) in queries.values() {
                let mut out = BytesMut::new();
                put_array(&mut out, &[trace, b"status", b"why=queued,datum=0", b""]);
                let _ = line.send(out.freeze());
            }
        }
    }
}
