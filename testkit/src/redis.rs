//! A test double of Redis, written from its public protocol (RESP2) and command pages: strings, hashes, expiry,
//! MULTI/EXEC. It can be made to fail in each way that a shared store does, its contents can be saved and old ones
//! restored, and it keeps a record of the commands that it has seen.

mod commands;
mod scripts;

use crate::wire::take_array;
use bytes::{Bytes, BytesMut};
use commands::array;
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

/// The test double; copies share one store.
#[derive(Clone, Debug, Default)]
pub struct Redis(Arc<Mutex<State>>);

/// Milliseconds of the Unix clock.
fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// The reply to a login that was accepted.
const LOGGED_IN: &str = "+OK\r\n";

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
        let (mut buffer, mut queued) = (BytesMut::new(), None);
        let mut needs_login = self.state().password.is_some();
        while matches!(stream.read_buf(&mut buffer).await, Ok(length) if length > 0) {
            while let Some(words) = take_array(&mut buffer) {
                let reply = if needs_login {
                    let reply = self.login(&words);
                    needs_login = reply != LOGGED_IN;
                    Some(reply.as_bytes().to_vec())
                } else if let Some(reply) = queue(&mut queued, &words) {
                    Some(reply.as_bytes().to_vec())
                } else {
                    self.execute(&words, queued.take(), &mut stream).await
                };
                let Some(reply) = reply else { return };
                if stream.write_all(&reply).await.is_err() {
                    return;
                }
            }
        }
    }

    /// The reply to a connection's command before it has logged in.
    fn login(&self, words: &[Bytes]) -> &'static str {
        let is_auth = words[0].eq_ignore_ascii_case(b"AUTH");
        let password = words.last().map(|word| &word[..]);
        if is_auth && password == self.state().password.as_ref().map(|password| password.as_bytes()) {
            LOGGED_IN
        } else if is_auth {
            "-WRONGPASS invalid username-password pair or user is disabled.\r\n"
        } else {
            "-NOAUTH Authentication required.\r\n"
        }
    }

    /// Executes a command, or the transaction that is queued, with the trouble that it meets. Returns its reply; `None`
    /// where the connection breaks.
    async fn execute(
        &self,
        words: &[Bytes],
        transaction: Option<Vec<Vec<Bytes>>>,
        stream: &mut TcpStream,
    ) -> Option<Vec<u8>> {
        let trouble = self.see(words);
        let is_applied = !matches!(trouble, Some(Trouble::Frozen | Trouble::DropBefore | Trouble::Error(_)));
        let reply = if is_applied { self.apply(words, transaction) } else { Vec::new() };
        match trouble {
            Some(Trouble::Frozen) => std::future::pending().await,
            Some(Trouble::FrozenMidway) => {
                let _ = stream.write_all(&reply[..reply.len() / 2]).await;
                std::future::pending().await
            }
            Some(Trouble::DropBefore | Trouble::DropAfter) => None,
            Some(Trouble::Error(text)) => Some(format!("-{text}\r\n").into_bytes()),
            Some(Trouble::Garbage) => Some(b"?what\r\n".to_vec()),
            Some(Trouble::Slow(span)) => {
                tokio::time::sleep(span).await;
                Some(reply)
            }
            None => Some(reply),
        }
    }

    fn apply(&self, words: &[Bytes], transaction: Option<Vec<Vec<Bytes>>>) -> Vec<u8> {
        let mut state = self.state();
        match transaction {
            Some(commands) => array(commands.iter().map(|command| state.run(command)).collect()),
            None => state.run(words),
        }
    }
}

/// Queues the commands of a transaction, which meets its trouble as a whole at its EXEC. Returns the reply to a command
/// that is queued or begins one.
fn queue(queued: &mut Option<Vec<Vec<Bytes>>>, words: &[Bytes]) -> Option<&'static str> {
    match (&words[0].to_ascii_uppercase()[..], queued) {
        (b"MULTI", queued) => {
            *queued = Some(Vec::new());
            Some("+OK\r\n")
        }
        (b"EXEC", _) => None,
        (_, Some(commands)) => {
            commands.push(words.to_vec());
            Some("+QUEUED\r\n")
        }
        (_, None) => None,
    }
}

#[cfg(test)]
mod tests;
