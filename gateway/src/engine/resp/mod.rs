//! Transport to engines over RESP. Each connection is a separate task.

mod answers;
mod connection;
pub mod wire;
mod write_queue;

use super::pool::{ConnectionHandle, Pool};
use crate::message::{AttemptId, AttemptRequest, BrokerEvent, EngineAddress, EngineTransport};
use crate::metrics::Metrics;
use crate::multicore::Multicore;
use connection::{ConnectionCommand, ConnectionTask};
use reedwalk_scheduler::EngineId;
use reedwalk_settings::Sockets;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Capacity of the command queue of a connection's task.
const COMMAND_QUEUE_CAPACITY: usize = 512;

impl ConnectionHandle for mpsc::Sender<ConnectionCommand> {
    fn is_closed(&self) -> bool {
        self.is_closed()
    }
}

/// RESP connections of this gateway to its engines.
pub struct Transport {
    pool: Pool<mpsc::Sender<ConnectionCommand>>,
    sockets: Arc<Sockets>,
    events: mpsc::Sender<BrokerEvent>,
    metrics: Arc<Metrics>,
    multicore: Multicore,
}

impl Transport {
    /// Creates a transport with at most `max_connections` that reports to the broker's queue. `report_interval` is the
    /// interval of the engines' progress reports, if they send any.
    pub fn new(
        sockets: Arc<Sockets>,
        max_connections: usize,
        report_interval: Option<Duration>,
        events: mpsc::Sender<BrokerEvent>,
        metrics: Arc<Metrics>,
        multicore: Multicore,
    ) -> Self {
        Self {
            pool: Pool::new(sockets.clone(), max_connections, report_interval),
            sockets,
            events,
            metrics,
            multicore,
        }
    }

    fn send_command(&mut self, id: AttemptId, command: ConnectionCommand) {
        if let Some(commands) = self.pool.find(id) {
            // The queue is full only if the connection makes no progress; the command would not be sent.
            let _ = commands.try_send(command);
        }
    }
}

impl EngineTransport for Transport {
    fn set_endpoint(&mut self, engine: EngineId, address: Option<EngineAddress>) {
        self.pool.set_endpoint(engine, address);
    }

    fn start(&mut self, attempt: AttemptRequest, now: Instant) -> bool {
        let (sockets, events, metrics, multicore) =
            (&self.sockets, &self.events, &self.metrics, &self.multicore);
        let acquired = self.pool.acquire(&attempt, now, |address, read_activity, _| {
            let (commands, command_receiver) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
            let task = ConnectionTask::new(
                address,
                read_activity,
                sockets.clone(),
                events.clone(),
                metrics.clone(),
                command_receiver,
            );
            multicore.place_connection().spawn(task.run(now + sockets.connect_timeout));
            commands
        });
        let id = attempt.id;
        let sent = acquired.is_some_and(|(commands, _, drain_guard)| {
            commands.try_send(ConnectionCommand::Start(Box::new(attempt), drain_guard.clone())).is_ok()
        });
        if !sent {
            self.pool.release(id, false);
        }
        sent
    }

    fn cancel(&mut self, id: AttemptId) -> bool {
        // A connection whose queue is full reports the end of the attempt when the connection ends.
        let is_open = self.pool.find(id).is_some_and(|commands| !commands.is_closed());
        self.send_command(id, ConnectionCommand::Cancel(id));
        self.pool.release(id, true);
        is_open
    }

    fn set_priority(&mut self, id: AttemptId, priority: u8) {
        self.send_command(id, ConnectionCommand::SetPriority(id, priority));
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
