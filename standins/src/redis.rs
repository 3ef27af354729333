//! A stand-in for Redis, written from its public protocol (RESP2) and command pages: strings, hashes, expiry,
//! MULTI/EXEC. It can be made to fail in each way that a shared store does, its contents can be saved and old ones
//! restored, and it keeps a record of the commands that it has seen.

use crate::wire::take_array;
use bytes::{Bytes, BytesMut};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What a key holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    Text(Vec<u8>),
    Hash(BTreeMap<Vec<u8>, Vec<u8>>),
}

/// A key's value, and when it expires in milliseconds of the Unix clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub value: Value,
    pub expires_ms: Option<u64>,
}

/// All keys.
pub type Contents = BTreeMap<Vec<u8>, Entry>;

/// What goes wrong with a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Taken and not applied; no answer ever comes on this connection.
    Frozen,
    /// Applied; half of the answer comes, then nothing.
    FrozenMidway,
    /// The connection breaks; nothing was applied.
    DropBefore,
    /// Applied; the connection breaks before the answer.
    DropAfter,
    /// Applied and answered after so long.
    Slow(Duration),
    /// Not applied; this error is the answer, such as `LOADING ...` or `READONLY ...`.
    Error(&'static str),
    /// Applied; the answer can't be read.
    Garbage,
}

#[derive(Debug, Default)]
struct State {
    contents: Contents,
    /// What goes wrong with the next commands, one each; `None` is nothing.
    next: VecDeque<Option<Trouble>>,
    /// What goes wrong with all that come after those.
    always: Option<Trouble>,
    /// What goes wrong with commands that hold this word.
    with: Option<(String, Trouble)>,
    /// Without it nothing is done on a connection.
    password: Option<String>,
    seen: Vec<(Instant, Vec<String>)>,
    /// Digests of the scripts that were loaded.
    loaded: BTreeSet<String>,
}

/// The stand-in; copies share one store.
#[derive(Clone, Debug, Default)]
pub struct Redis(Arc<Mutex<State>>);

/// Milliseconds of the Unix clock.
fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// The scripts that it knows, by digest: what they do is written here anew, after what their first line names.
const SCRIPTS: [(&str, &str); 4] = [
    ("36fa610f0a28cb6e98f5589437415072c276dd5c", "-- reedwalk claim 1\n"),
    ("223f3d5a92fdb9d7d97aab17273355904d535af0", "-- reedwalk write 1\n"),
    ("5d798f4c6ae70db3c14699f8661aba01019a2b0d", "-- reedwalk renew 1\n"),
    ("301b56cdabd99929125fd14190fdb4e30ef1070c", "-- reedwalk lease 1\n"),
];

fn millis(word: &[u8]) -> u64 {
    std::str::from_utf8(word).unwrap().parse().unwrap()
}

const WRONG_TYPE: &str = "-WRONGTYPE Operation against a key holding the wrong kind of value\r\n";
const NO_NUMBER: &str = "-ERR value is not an integer or out of range\r\n";

fn bulk(value: Option<&[u8]>) -> Vec<u8> {
    match value {
        None => b"$-1\r\n".to_vec(),
        Some(v) => [format!("${}\r\n", v.len()).as_bytes(), v, b"\r\n"].concat(),
    }
}

fn number(value: i64) -> Vec<u8> {
    format!(":{value}\r\n").into_bytes()
}

fn array(items: Vec<Vec<u8>>) -> Vec<u8> {
    [format!("*{}\r\n", items.len()).into_bytes(), items.concat()].concat()
}

impl State {
    /// Applies one command; its answer.
    fn run(&mut self, words: &[Bytes]) -> Vec<u8> {
        let now = unix_ms();
        self.contents.retain(|_, e| e.expires_ms.is_none_or(|at| at > now));
        let name = String::from_utf8_lossy(&words[0]).to_uppercase();
        let whole = |n: usize| words.get(n).and_then(|w| std::str::from_utf8(w).ok()?.parse::<i64>().ok());
        let key = words.get(1).map(|k| k.to_vec()).unwrap_or_default();
        match (name.as_str(), words.len()) {
            ("PING", 1) => b"+PONG\r\n".to_vec(),
            ("SELECT" | "AUTH" | "CLIENT", _) => b"+OK\r\n".to_vec(),
            ("GET", 2) => match self.contents.get(&key).map(|e| &e.value) {
                Some(Value::Hash(_)) => WRONG_TYPE.into(),
                Some(Value::Text(text)) => bulk(Some(text)),
                None => bulk(None),
            },
            ("SET", 3..) => self.set(key, words, now),
            ("DEL", 2..) => {
                let gone = words[1..].iter().filter(|k| self.contents.remove(&k[..]).is_some()).count();
                number(gone as i64)
            }
            ("EXISTS", 2) => number(i64::from(self.contents.contains_key(&key))),
            ("INCRBY" | "DECRBY", 3) => {
                let Some(by) = whole(2) else { return NO_NUMBER.into() };
                let by = if name == "INCRBY" { by } else { -by };
                let fresh = || Entry { value: Value::Text(b"0".to_vec()), expires_ms: None };
                let Value::Text(text) = &mut self.contents.entry(key).or_insert_with(fresh).value else {
                    return WRONG_TYPE.into();
                };
                let sum = std::str::from_utf8(text).ok().and_then(|t| t.parse::<i64>().ok()?.checked_add(by));
                let Some(sum) = sum else { return NO_NUMBER.into() };
                *text = sum.to_string().into_bytes();
                number(sum)
            }
            ("PEXPIRE" | "PEXPIREAT", 3) => {
                let Some(at) = whole(2) else { return NO_NUMBER.into() };
                let at = if name == "PEXPIRE" { now as i64 + at } else { at };
                let Some(entry) = self.contents.get_mut(&key) else { return number(0) };
                entry.expires_ms = Some(at.max(0) as u64);
                number(1)
            }
            ("PTTL", 2) => number(match self.contents.get(&key) {
                None => -2,
                Some(entry) => entry.expires_ms.map_or(-1, |at| (at - now) as i64),
            }),
            ("HSET", 4..) if words.len().is_multiple_of(2) => {
                let fresh = || Entry { value: Value::Hash(BTreeMap::new()), expires_ms: None };
                let Value::Hash(fields) = &mut self.contents.entry(key).or_insert_with(fresh).value else {
                    return WRONG_TYPE.into();
                };
                let pairs = words[2..].chunks(2);
                number(pairs.filter(|p| fields.insert(p[0].to_vec(), p[1].to_vec()).is_none()).count() as i64)
            }
            ("HGET", 3) | ("HGETALL", 2) => match self.contents.get(&key).map(|e| &e.value) {
                Some(Value::Text(_)) => WRONG_TYPE.into(),
                Some(Value::Hash(fields)) if name == "HGET" => {
                    bulk(fields.get(&words[2][..]).map(Vec::as_slice))
                }
                Some(Value::Hash(fields)) => {
                    array(fields.iter().flat_map(|(f, v)| [bulk(Some(f)), bulk(Some(v))]).collect())
                }
                None if name == "HGET" => bulk(None),
                None => array(Vec::new()),
            },
            ("SCRIPT", 3) => {
                let known = SCRIPTS.iter().find(|s| words[2].starts_with(s.1.as_bytes()));
                let Some((digest, _)) = known else {
                    return "-ERR not a script that is known here\r\n".into();
                };
                self.loaded.insert((*digest).to_owned());
                bulk(Some(digest.as_bytes()))
            }
            ("EVALSHA", 3..) => {
                let digest = String::from_utf8_lossy(&words[1]).into_owned();
                if !self.loaded.contains(&digest) {
                    return "-NOSCRIPT No matching script. Please use EVAL.\r\n".into();
                }
                let keys = whole(2).unwrap_or_default().clamp(0, words.len() as i64 - 3) as usize;
                let (keys, args) = words[3..].split_at(keys);
                match SCRIPTS.iter().position(|s| s.0 == digest) {
                    Some(0) => self.claim(keys, args, now),
                    Some(1) => self.write(keys, args, now),
                    Some(2) => self.renew(keys, args, now),
                    _ => self.lease_units(keys, args),
                }
            }
            _ => format!("-ERR unknown command or wrong number of arguments for '{name}'\r\n").into_bytes(),
        }
    }

    fn fields(&mut self, key: &Bytes) -> Option<&mut Entry> {
        self.contents.get_mut(&key[..]).filter(|e| matches!(e.value, Value::Hash(_)))
    }

    fn field(&mut self, key: &Bytes, field: &str) -> Option<Vec<u8>> {
        match &self.fields(key)?.value {
            Value::Hash(fields) => fields.get(field.as_bytes()).cloned(),
            Value::Text(_) => None,
        }
    }

    fn put(&mut self, key: &Bytes, field: &str, value: &[u8]) {
        if let Some(Entry { value: Value::Hash(fields), .. }) = self.fields(key) {
            fields.insert(field.into(), value.into());
        }
    }

    /// As the program's script says: takes a key that nobody works on.
    fn claim(&mut self, keys: &[Bytes], args: &[Bytes], now: u64) -> Vec<u8> {
        let [stage, holder, value] = ["s", "h", "v"].map(|f| self.field(&keys[0], f));
        let lease = self.contents.get(&keys[1][..]).and_then(|e| e.expires_ms).map_or(0, |at| at - now);
        let count = match self.contents.get(&keys[2][..]).map(|e| &e.value) {
            Some(Value::Text(text)) => Some(text.clone()),
            _ => None,
        };
        let free = stage.as_deref() != Some(b"d") && (holder.is_none_or(|h| h.is_empty()) || lease == 0);
        if free {
            let next = match stage.as_deref() {
                None => args[4].to_vec(),
                Some(b"n") => b"c".to_vec(),
                Some(stage) => stage.to_vec(),
            };
            let empty = || Entry { value: Value::Hash(BTreeMap::new()), expires_ms: None };
            self.contents.entry(keys[0].to_vec()).or_insert_with(empty);
            self.put(&keys[0], "h", &args[0]);
            self.put(&keys[0], "s", &next);
            let kept = millis(&args[if next == b"s" { 3 } else { 2 }]);
            self.fields(&keys[0]).into_iter().for_each(|e| e.expires_ms = Some(now + kept));
            self.lease(keys, args, now);
        }
        let (taken, left) = if free { (1, 0) } else { (0, lease as i64) };
        let found = [stage, value, count].map(|v| bulk(v.as_deref()));
        array([vec![number(taken), number(left)], found.to_vec()].concat())
    }

    fn lease(&mut self, keys: &[Bytes], args: &[Bytes], now: u64) {
        let expires_ms = Some(now + millis(&args[1]));
        let entry = Entry { value: Value::Text(args[0].to_vec()), expires_ms };
        self.contents.insert(keys[1].to_vec(), entry);
    }

    /// Writes a stage and a value as the key's holder.
    fn write(&mut self, keys: &[Bytes], args: &[Bytes], now: u64) -> Vec<u8> {
        if self.field(&keys[0], "h").as_deref() != Some(&args[0][..]) {
            return number(0);
        }
        for (field, value) in [("s", &args[1]), ("v", &args[2])] {
            if !value.is_empty() {
                self.put(&keys[0], field, value);
            }
        }
        if millis(&args[3]) > 0 {
            let expires_ms = Some(now + millis(&args[3]));
            self.fields(&keys[0]).into_iter().for_each(|e| e.expires_ms = expires_ms);
        }
        if &args[4][..] == b"1" {
            self.put(&keys[0], "h", b"");
            self.contents.remove(&keys[1][..]);
        }
        number(1)
    }

    /// As many of the wanted units as are left.
    fn lease_units(&mut self, keys: &[Bytes], args: &[Bytes]) -> Vec<u8> {
        let spent = match self.contents.get(&keys[0][..]).map(|e| &e.value) {
            Some(Value::Text(text)) => millis(text),
            _ => 0,
        };
        let units = millis(&args[0]).min(millis(&args[1]).saturating_sub(spent));
        if units > 0 {
            let (value, expires_ms) =
                (Value::Text((spent + units).to_string().into_bytes()), Some(millis(&args[2])));
            self.contents.insert(keys[0].to_vec(), Entry { value, expires_ms });
        }
        number(units as i64)
    }

    /// Renews the lease as the key's holder.
    fn renew(&mut self, keys: &[Bytes], args: &[Bytes], now: u64) -> Vec<u8> {
        let held = self.field(&keys[0], "h").as_deref() == Some(&args[0][..]);
        if held {
            self.lease(keys, args, now);
        }
        number(i64::from(held))
    }

    /// SET with NX or XX, and PX or PXAT.
    fn set(&mut self, key: Vec<u8>, words: &[Bytes], now: u64) -> Vec<u8> {
        let (mut expires_ms, mut may) = (None, true);
        let mut options = words[3..].iter();
        while let Some(option) = options.next() {
            let mut time = || std::str::from_utf8(options.next()?).ok()?.parse::<u64>().ok();
            match &option.to_ascii_uppercase()[..] {
                b"NX" => may = !self.contents.contains_key(&key),
                b"XX" => may = self.contents.contains_key(&key),
                b"PX" => expires_ms = time().map(|t| now + t),
                b"PXAT" => expires_ms = time(),
                _ => return b"-ERR syntax error\r\n".to_vec(),
            }
        }
        if !may {
            return bulk(None);
        }
        self.contents.insert(key, Entry { value: Value::Text(words[2].to_vec()), expires_ms });
        b"+OK\r\n".to_vec()
    }
}

impl Redis {
    pub async fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let redis = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                stream.set_nodelay(true).unwrap();
                tokio::spawn(redis.clone().serve(stream));
            }
        });
        address
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }

    /// From here on all commands meet this; `None` ends it.
    pub fn trouble(&self, trouble: Option<Trouble>) {
        self.state().always = trouble;
    }

    /// Connections must log in with this from now on.
    pub fn password(&self, password: &str) {
        self.state().password = Some(password.to_owned());
    }

    /// From here on all commands that hold this word meet this.
    pub fn trouble_with(&self, word: &str, trouble: Trouble) {
        self.state().with = Some((word.to_owned(), trouble));
    }

    /// The next commands meet these, one each.
    pub fn script(&self, next: impl IntoIterator<Item = Option<Trouble>>) {
        self.state().next.extend(next);
    }

    /// Its contents as they are, to be restored later.
    pub fn save(&self) -> Contents {
        self.state().contents.clone()
    }

    /// Other contents in place of its own, such as old ones.
    pub fn restore(&self, contents: Contents) {
        self.state().contents = contents;
    }

    /// Drops so many keys, drawn from a seed.
    pub fn evict(&self, keys: usize, seed: u64) {
        let mut state = self.state();
        let mut rng = StdRng::seed_from_u64(seed);
        let gone: Vec<_> = state.contents.keys().cloned().sample(&mut rng, keys);
        gone.iter().for_each(|key| _ = state.contents.remove(key));
    }

    /// The commands that it has seen, with the time of each.
    pub fn seen(&self) -> Vec<(Instant, Vec<String>)> {
        self.state().seen.clone()
    }

    /// Sees a command: what is to go wrong with it.
    fn see(&self, words: &[Bytes]) -> Option<Trouble> {
        let mut state = self.state();
        let text = words.iter().map(|w| String::from_utf8_lossy(w).into_owned()).collect();
        state.seen.push((Instant::now(), text));
        let with =
            state.with.as_ref().filter(|w| words.iter().any(|word| word == w.0.as_bytes())).map(|w| w.1);
        with.or_else(|| state.next.pop_front().unwrap_or(state.always))
    }

    async fn serve(self, mut stream: TcpStream) {
        let (mut buffer, mut queued) = (BytesMut::new(), None::<Vec<Vec<Bytes>>>);
        let mut stranger = self.state().password.is_some();
        while matches!(stream.read_buf(&mut buffer).await, Ok(n) if n > 0) {
            while let Some(words) = take_array(&mut buffer) {
                if stranger {
                    let right = words[0].eq_ignore_ascii_case(b"AUTH")
                        && words.last().map(|w| &w[..])
                            == self.state().password.as_ref().map(|p| p.as_bytes());
                    stranger = !right;
                    let answer = if right {
                        "+OK\r\n"
                    } else if words[0].eq_ignore_ascii_case(b"AUTH") {
                        "-WRONGPASS invalid username-password pair or user is disabled.\r\n"
                    } else {
                        "-NOAUTH Authentication required.\r\n"
                    };
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                    continue;
                }
                // A transaction is queued and meets its trouble, as a whole, at its EXEC.
                let queues = match (&words[0].to_ascii_uppercase()[..], &mut queued) {
                    (b"MULTI", _) => {
                        queued = Some(Vec::new());
                        Some("+OK\r\n")
                    }
                    (b"EXEC", _) => None,
                    (_, Some(commands)) => {
                        commands.push(words.clone());
                        Some("+QUEUED\r\n")
                    }
                    (_, None) => None,
                };
                if let Some(answer) = queues {
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                    continue;
                }
                let trouble = self.see(&words);
                let applies =
                    !matches!(trouble, Some(Trouble::Frozen | Trouble::DropBefore | Trouble::Error(_)));
                let commands = queued.take();
                let answer = match commands {
                    _ if !applies => Vec::new(),
                    Some(commands) => {
                        let mut state = self.state();
                        array(commands.iter().map(|c| state.run(c)).collect())
                    }
                    None => self.state().run(&words),
                };
                let answer = match trouble {
                    Some(Trouble::Frozen) => std::future::pending().await,
                    Some(Trouble::FrozenMidway) => {
                        let _ = stream.write_all(&answer[..answer.len() / 2]).await;
                        std::future::pending().await
                    }
                    Some(Trouble::DropBefore | Trouble::DropAfter) => return,
                    Some(Trouble::Error(text)) => format!("-{text}\r\n").into_bytes(),
                    Some(Trouble::Garbage) => b"?what\r\n".to_vec(),
                    Some(Trouble::Slow(span)) => {
                        tokio::time::sleep(span).await;
                        answer
                    }
                    None => answer,
                };
                if stream.write_all(&answer).await.is_err() {
                    return;
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
