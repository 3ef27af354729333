//! Transport to engines over RESP. Connections are tasks of their own.

mod connection;
mod outgoing;
pub mod wire;

use super::pool::{Handle, Pool};
use crate::message::{AttemptId, AttemptRequest, BrokerEvent, EngineAddress, EngineTransport};
use crate::metrics::Metrics;
use crate::multicore::Multicore;
use connection::{Command, Task};
use reedwalk_scheduler::EngineId;
use reedwalk_settings::Sockets;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Commands that wait for a connection's task at most.
const COMMANDS: usize = 512;

impl Handle for mpsc::Sender<Command> {
    fn closed(&self) -> bool {
        self.is_closed()
    }
}

/// All links of this front end to its engines.
pub struct Transport {
    pool: Pool<mpsc::Sender<Command>>,
    sockets: Arc<Sockets>,
    queue: mpsc::Sender<BrokerEvent>,
    metrics: Arc<Metrics>,
    cores: Multicore,
}

impl Transport {
    /// Transport that report to the broker's queue, on at most so many connections; `notes` is the span between two
    /// notes, if there are any.
    pub fn new(
        sockets: Arc<Sockets>,
        connections_most: usize,
        notes: Option<Duration>,
        queue: mpsc::Sender<BrokerEvent>,
        metrics: Arc<Metrics>,
        cores: Multicore,
    ) -> Self {
        Self { pool: Pool::new(sockets.clone(), connections_most, notes), sockets, queue, metrics, cores }
    }

    fn command(&mut self, id: AttemptId, command: Command) {
        if let Some(commands) = self.pool.find(id) {
            // A full line of commands belongs to a connection that stands still; nothing would arrive there.
            let _ = commands.try_send(command);
        }
    }
}

impl EngineTransport for Transport {
    fn set_endpoint(&mut self, engine: EngineId, address: Option<EngineAddress>) {
        self.pool.set_endpoint(engine, address);
    }

    fn start(&mut self, attempt: AttemptRequest, now: Instant) -> bool {
        let (sockets, queue, metrics, cores) = (&self.sockets, &self.queue, &self.metrics, &self.cores);
        let picked = self.pool.pick(&attempt, now, |address, heard, _| {
            let (commands, orders) = mpsc::channel(COMMANDS);
            let task = Task::new(address, heard, sockets.clone(), queue.clone(), metrics.clone(), orders);
            cores.place_connection().spawn(task.run(now + sockets.connect_within));
            commands
        });
        let id = attempt.id;
        let sent = picked.is_some_and(|(c, _, drain_guard)| {
            c.try_send(Command::Start(Box::new(attempt), drain_guard.clone())).is_ok()
        });
        if !sent {
            self.pool.release(id, false);
        }
        sent
    }

    fn cancel(&mut self, id: AttemptId) -> bool {
        // What its connection can't be told it hears of at its end.
        let open = self.pool.find(id).is_some_and(|c| !c.is_closed());
        self.command(id, Command::Stop(id));
        self.pool.release(id, true);
        open
    }

    fn set_priority(&mut self, id: AttemptId, priority: u8) {
        self.command(id, Command::Boost(id, priority));
    }

    fn release(&mut self, id: AttemptId) {
        self.pool.release(id, false);
    }

    fn set_capacity_share(&mut self, share: f64) {
        self.pool.set_capacity_share(share);
    }
}

#[cfg(test)]
mod tests;
