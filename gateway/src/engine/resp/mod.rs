//! Transport to engines over RESP. Connections are tasks of their own.

mod answers;
mod connection;
pub mod wire;
mod write_queue;

use super::pool::{Handle, Pool};
use crate::message::{AttemptId, AttemptRequest, BrokerEvent, EngineAddress, EngineTransport};
use crate::metrics::Metrics;
use crate::multicore::Multicore;
use connection::{Command, ConnectionTask};
use reedwalk_scheduler::EngineId;
use reedwalk_settings::Sockets;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Commands that are queued for a connection's task at most.
const COMMAND_QUEUE_CAPACITY: usize = 512;

impl Handle for mpsc::Sender<Command> {
    fn is_closed(&self) -> bool {
        self.is_closed()
    }
}

/// The connections of this gateway to its engines.
pub struct Transport {
    pool: Pool<mpsc::Sender<Command>>,
    sockets: Arc<Sockets>,
    queue: mpsc::Sender<BrokerEvent>,
    metrics: Arc<Metrics>,
    cores: Multicore,
}

impl Transport {
    /// A transport that reports to the broker's queue, on at most `max_connections`; `report_interval` is the time
    /// between an engine's progress reports, if it sends any.
    pub fn new(
        sockets: Arc<Sockets>,
        max_connections: usize,
        report_interval: Option<Duration>,
        queue: mpsc::Sender<BrokerEvent>,
        metrics: Arc<Metrics>,
        cores: Multicore,
    ) -> Self {
        Self {
            pool: Pool::new(sockets.clone(), max_connections, report_interval),
            sockets,
            queue,
            metrics,
            cores,
        }
    }

    fn command(&mut self, id: AttemptId, command: Command) {
        if let Some(commands) = self.pool.find(id) {
            // A full queue belongs to a connection that makes no progress: the command would not arrive.
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
        let picked = self.pool.pick(&attempt, now, |address, read_activity, _| {
            let (commands, received) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
            let task = ConnectionTask::new(
                address,
                read_activity,
                sockets.clone(),
                queue.clone(),
                metrics.clone(),
                received,
            );
            cores.place_connection().spawn(task.run(now + sockets.connect_timeout));
            commands
        });
        let id = attempt.id;
        let sent = picked.is_some_and(|(commands, _, drain_guard)| {
            commands.try_send(Command::Start(Box::new(attempt), drain_guard.clone())).is_ok()
        });
        if !sent {
            self.pool.release(id, false);
        }
        sent
    }

    fn cancel(&mut self, id: AttemptId) -> bool {
        // A connection whose queue is full reports the end of the attempt when it ends itself.
        let open = self.pool.find(id).is_some_and(|commands| !commands.is_closed());
        self.command(id, Command::Cancel(id));
        self.pool.release(id, true);
        open
    }

    fn set_priority(&mut self, id: AttemptId, priority: u8) {
        self.command(id, Command::SetPriority(id, priority));
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
