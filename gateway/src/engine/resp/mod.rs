//! Links to engines over RESP: which connection an attempt goes on. Connections are tasks of their own.

mod connection;
pub mod wire;

use crate::broker::{AttemptKey, EngineLinks, Input, Order};
use bytes::Bytes;
use connection::{Command, Heard};
use reedwalk_core::EngineId;
use reedwalk_settings::Sockets;
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Connections to one engine at most.
const CONNECTIONS_MOST: usize = 12;
/// Commands that wait for a connection's task at most.
const COMMANDS: usize = 512;
/// Ids of attempts that were given up are not used again on their connection for so long: an answer that
/// crossed the KILL would be taken for the new attempt's.
const SPENT_FOR: Duration = Duration::from_secs(5);
/// With work out and nothing heard for so long, a connection takes no further attempts: notes come every
/// half second, and a machine that vanished says nothing on open connections, also after it is back.
const SILENT_AFTER: Duration = Duration::from_millis(1600);
/// Closed by us this long before the engine would, so that no request crosses its close.
const CLOSE_EARLY: Duration = Duration::from_secs(1);

struct Connection {
    commands: mpsc::Sender<Command>,
    open: HashMap<AttemptKey, Bytes>,
    spent: VecDeque<(Instant, Bytes)>,
    heard: Arc<Heard>,
    used: Instant,
}

#[derive(Default)]
struct Engine {
    address: Option<SocketAddr>,
    connections: HashMap<u64, Connection>,
}

/// All links of this front end to its engines.
pub struct Links {
    engines: HashMap<EngineId, Engine>,
    attempts: HashMap<AttemptKey, (EngineId, u64)>,
    next: u64,
    sockets: Arc<Sockets>,
    queue: mpsc::Sender<Input>,
}

impl Links {
    /// Links that report to the broker's queue.
    pub fn new(sockets: Arc<Sockets>, queue: mpsc::Sender<Input>) -> Self {
        Self { engines: HashMap::new(), attempts: HashMap::new(), next: 0, sockets, queue }
    }

    fn command(&mut self, key: AttemptKey, command: Command) {
        let found = self
            .attempts
            .get(&key)
            .and_then(|(engine, number)| self.engines.get(engine).and_then(|e| e.connections.get(number)));
        // A full line of commands belongs to a connection that stands still; nothing said there would arrive.
        found.into_iter().for_each(|c| drop(c.commands.try_send(command.clone())));
    }

    fn release(&mut self, key: AttemptKey, given_up: bool) {
        let Some((engine, number)) = self.attempts.remove(&key) else { return };
        let Some(engine) = self.engines.get_mut(&engine) else { return };
        if let Some(connection) = engine.connections.get_mut(&number)
            && let Some(trace) = connection.open.remove(&key)
        {
            let now = Instant::now();
            connection.used = now;
            if given_up {
                connection.spent.push_back((now, trace));
            }
        }
    }
}

impl Connection {
    fn silent(&self, now: Instant) -> bool {
        // Idle connections say nothing either: only work that is out and unheard of counts.
        let quiet = now.saturating_duration_since(self.heard.last(self.used));
        quiet > SILENT_AFTER && (!self.open.is_empty() || self.heard.suspect())
    }

    fn takes(&mut self, trace: &Bytes, sockets: &Sockets, now: Instant) -> bool {
        while self.spent.front().is_some_and(|s| now.saturating_duration_since(s.0) > SPENT_FOR) {
            self.spent.pop_front();
        }
        let idle = self.open.is_empty()
            && now.saturating_duration_since(self.used) + CLOSE_EARLY >= sockets.keepalive;
        !self.commands.is_closed()
            && !idle
            && !self.silent(now)
            && self.open.len() < sockets.multiplex
            && self.open.values().chain(self.spent.iter().map(|s| &s.1)).all(|t| t != trace)
    }
}

impl EngineLinks for Links {
    fn place(&mut self, engine: EngineId, address: Option<SocketAddr>) {
        let known = self.engines.entry(engine).or_default();
        if known.address != address {
            // What is out on the old connections may still be answered there; new attempts go elsewhere.
            known.address = address;
            known.connections.retain(|_, c| !c.open.is_empty());
        }
        if address.is_none() && known.connections.is_empty() {
            self.engines.remove(&engine);
        }
    }

    fn start(&mut self, order: Order, now: Instant) -> bool {
        let Some(engine) = self.engines.get_mut(&order.engine) else { return false };
        let Some(address) = engine.address else { return false };
        let sockets = &self.sockets;
        // Idle and silent connections with nothing out are let go here; dropping the sender closes them.
        engine.connections.retain(|_, c| {
            let idle = now.saturating_duration_since(c.used) + CLOSE_EARLY >= sockets.keepalive;
            !c.open.is_empty() || !c.commands.is_closed() && !idle && !c.silent(now)
        });
        let free = engine.connections.iter_mut().filter(|c| c.1.heard.peer() == address);
        let mut free: Vec<_> = free
            .filter_map(|(n, c)| c.takes(&order.trace, sockets, now).then_some((c.open.len(), *n)))
            .collect();
        free.sort_unstable();
        let number = match free.last() {
            Some(&(_, number)) => number,
            None if engine.connections.len() < CONNECTIONS_MOST => {
                let number = self.next;
                self.next += 1;
                let (commands, orders) = mpsc::channel(COMMANDS);
                let heard = Arc::new(Heard::new(address, now));
                let by = now + sockets.connect_within;
                let task = connection::Task::new(heard.clone(), self.sockets.clone(), self.queue.clone());
                tokio::spawn(task.run(orders, by));
                let (open, spent) = (HashMap::new(), VecDeque::new());
                engine.connections.insert(number, Connection { commands, open, spent, heard, used: now });
                number
            }
            None => return false,
        };
        let Some(connection) = engine.connections.get_mut(&number) else { return false };
        let (key, trace, id) = (order.key, order.trace.clone(), order.engine);
        if connection.commands.try_send(Command::Start(Box::new(order))).is_err() {
            return false;
        }
        if connection.open.is_empty() {
            connection.used = now;
        }
        connection.open.insert(key, trace);
        self.attempts.insert(key, (id, number));
        true
    }

    fn stop(&mut self, key: AttemptKey) {
        if let Some((engine, number)) = self.attempts.get(&key)
            && let Some(c) = self.engines.get(engine).and_then(|e| e.connections.get(number))
        {
            c.heard.doubt();
        }
        self.command(key, Command::Stop(key));
        self.release(key, true);
    }

    fn boost(&mut self, key: AttemptKey, priority: u8) {
        self.command(key, Command::Boost(key, priority));
    }

    fn over(&mut self, key: AttemptKey) {
        self.release(key, false);
    }
}

/// Engines that are still known, for tests that nothing is kept for ever.
impl Links {
    /// Number of engines and attempts remembered.
    pub fn held_state(&self) -> (usize, usize) {
        (self.engines.len(), self.attempts.len())
    }

    /// Engines in the list, by id.
    pub fn known(&self) -> HashSet<EngineId> {
        self.engines.iter().filter(|e| e.1.address.is_some()).map(|e| *e.0).collect()
    }
}
