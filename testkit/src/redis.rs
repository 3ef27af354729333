//! A test double of Redis, written from its public documentation of the protocol (RESP2) and commands: strings, hashes,
//! expiry, MULTI/EXEC. It injects the faults of a shared store, saves and restores its contents (to simulate data loss),
//! and logs the commands that it receives.

mod commands;
mod reply;
mod scripts;
mod store;

pub use store::{Contents, Entry, Value};

use crate::wire::take_array;
use bytes::{Bytes, BytesMut};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use store::Store;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A fault that is injected into a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Received and not applied; no reply is ever sent on this connection.
    Frozen,
    /// Applied; half of the reply is sent, then nothing.
    FrozenMidway,
    /// The connection breaks; nothing was applied.
    DropBefore,
    /// Applied; the connection breaks before the reply.
    DropAfter,
    /// Applied; the reply is sent after this delay.
    Slow(Duration),
    /// Not applied; this error is the reply, such as `LOADING ...` or `READONLY ...`.
    Error(&'static str),
    /// Applied; the reply cannot be parsed.
    Garbage,
}

/// A command that the test double has received. A transaction counts as one, its `EXEC`.
#[derive(Clone, Debug)]
pub struct ReceivedCommand {
    /// When it arrived.
    pub at: Instant,
    /// Its name and arguments.
    pub words: Vec<String>,
}

/// A fault of all commands that contain a word.
#[derive(Debug)]
struct KeywordFault {
    word: String,
    fault: Fault,
}

#[derive(Debug, Default)]
struct State {
    store: Store,
    /// Faults of the next commands, one each; `None` is no fault.
    next_faults: VecDeque<Option<Fault>>,
    /// Fault of all commands after those.
    lasting_fault: Option<Fault>,
    /// Fault of the commands that contain a word; it takes precedence.
    keyword_fault: Option<KeywordFault>,
    /// Password that new connections must authenticate with first.
    password: Option<String>,
    commands: Vec<ReceivedCommand>,
}

impl State {
    /// Logs a command, and returns the fault to inject.
    fn receive(&mut self, words: &[Bytes]) -> Option<Fault> {
        let text = words.iter().map(|word| String::from_utf8_lossy(word).into_owned()).collect();
        self.commands.push(ReceivedCommand { at: Instant::now(), words: text });
        if let Some(KeywordFault { word, fault }) = &self.keyword_fault
            && words.iter().any(|received| received == word.as_bytes())
        {
            return Some(*fault);
        }
        self.next_faults.pop_front().unwrap_or(self.lasting_fault)
    }
}

/// The test double; clones share one store. Its methods panic if a holder of the state has panicked.
#[derive(Clone, Debug, Default)]
pub struct Redis(Arc<Mutex<State>>);

/// The commands of a transaction that were queued so far; `None` outside a transaction.
type Transaction = Option<Vec<Vec<Bytes>>>;

impl Redis {
    /// Starts to accept connections; returns its address.
    ///
    /// # Panics
    ///
    /// If no socket can be bound.
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

    /// Injects this fault into all commands from now on; `None` ends it.
    pub fn set_fault(&self, fault: Option<Fault>) {
        self.state().lasting_fault = fault;
    }

    /// Injects this fault into all commands that contain this word from now on.
    pub fn set_fault_for(&self, word: &str, fault: Fault) {
        self.state().keyword_fault = Some(KeywordFault { word: word.to_owned(), fault });
    }

    /// Injects these faults into the next commands, one each; `None` is no fault.
    pub fn queue_faults(&self, faults: impl IntoIterator<Item = Option<Fault>>) {
        self.state().next_faults.extend(faults);
    }

    /// Requires this password from new connections from now on.
    pub fn require_password(&self, password: &str) {
        self.state().password = Some(password.to_owned());
    }

    /// Returns a copy of its contents, to be restored later.
    pub fn save(&self) -> Contents {
        self.state().store.contents.clone()
    }

    /// Replaces its contents, for example with an earlier copy.
    pub fn restore(&self, contents: Contents) {
        self.state().store.contents = contents;
    }

    /// Removes this number of keys, chosen at random from a seed.
    pub fn evict(&self, key_count: usize, seed: u64) {
        let mut state = self.state();
        let mut rng = StdRng::seed_from_u64(seed);
        let evicted: Vec<_> = state.store.contents.keys().cloned().sample(&mut rng, key_count);
        for key in &evicted {
            state.store.contents.remove(key);
        }
    }

    /// The commands that it has received so far, in order.
    pub fn commands(&self) -> Vec<ReceivedCommand> {
        self.state().commands.clone()
    }

    /// Serves one connection until it ends or a fault breaks it.
    async fn serve(self, mut stream: TcpStream) {
        let mut input = BytesMut::new();
        let mut transaction = None;
        let mut needs_login = self.state().password.is_some();
        while matches!(stream.read_buf(&mut input).await, Ok(length) if length > 0) {
            while let Some(words) = take_array(&mut input) {
                let reply = if needs_login {
                    let reply = self.login(&words);
                    needs_login = reply != reply::OK;
                    Some(reply.as_bytes().to_vec())
                } else if let Some(reply) = queue(&mut transaction, &words) {
                    Some(reply.as_bytes().to_vec())
                } else {
                    self.execute(&words, transaction.take(), &mut stream).await
                };
                let Some(reply) = reply else { return };
                if stream.write_all(&reply).await.is_err() {
                    return;
                }
            }
        }
    }

    /// The reply to a command of a connection that has not authenticated yet.
    fn login(&self, words: &[Bytes]) -> &'static str {
        let is_auth = words[0].eq_ignore_ascii_case(b"AUTH");
        let password = words.last().map(|word| &word[..]);
        if is_auth && password == self.state().password.as_ref().map(|password| password.as_bytes()) {
            reply::OK
        } else if is_auth {
            "-WRONGPASS invalid username-password pair or user is disabled.\r\n"
        } else {
            "-NOAUTH Authentication required.\r\n"
        }
    }

    /// Executes a command, or the queued transaction, with the fault to inject. Returns its reply; `None` if the connection
    /// is to be closed.
    async fn execute(
        &self,
        words: &[Bytes],
        transaction: Transaction,
        stream: &mut TcpStream,
    ) -> Option<Vec<u8>> {
        let fault = self.state().receive(words);
        let is_applied = !matches!(fault, Some(Fault::Frozen | Fault::DropBefore | Fault::Error(_)));
        let reply = if is_applied { self.apply(words, transaction) } else { Vec::new() };
        match fault {
            Some(Fault::Frozen) => std::future::pending().await,
            Some(Fault::FrozenMidway) => {
                let _ = stream.write_all(&reply[..reply.len() / 2]).await;
                std::future::pending().await
            }
            Some(Fault::DropBefore | Fault::DropAfter) => None,
            Some(Fault::Error(text)) => Some(reply::error(text)),
            Some(Fault::Garbage) => Some(b"?what\r\n".to_vec()),
            Some(Fault::Slow(delay)) => {
                tokio::time::sleep(delay).await;
                Some(reply)
            }
            None => Some(reply),
        }
    }

    fn apply(&self, words: &[Bytes], transaction: Transaction) -> Vec<u8> {
        let store = &mut self.state().store;
        match transaction {
            Some(commands) => reply::array(commands.iter().map(|command| store.execute(command)).collect()),
            None => store.execute(words),
        }
    }
}

/// Queues the commands of a transaction; a fault is injected into the transaction as a whole, at its EXEC. Returns the
/// reply to a command that is queued or begins a transaction.
fn queue(transaction: &mut Transaction, words: &[Bytes]) -> Option<&'static str> {
    match (&words[0].to_ascii_uppercase()[..], transaction) {
        (b"MULTI", transaction) => {
            *transaction = Some(Vec::new());
            Some(reply::OK)
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
