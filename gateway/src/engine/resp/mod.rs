//! Links to engines over RESP. Connections are tasks of their own.

mod connection;
mod outgoing;
pub mod wire;

use super::Gate;
use super::pool::{Handle, Pool};
use crate::broker::{AttemptKey, EngineLinks, Input, Order};
use crate::cores::Cores;
use crate::figures::Figures;
use connection::{Command, Task};
use reedwalk_core::EngineId;
use reedwalk_settings::Sockets;
use std::net::SocketAddr;
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
pub struct Links {
    pool: Pool<mpsc::Sender<Command>>,
    sockets: Arc<Sockets>,
    queue: mpsc::Sender<Input>,
    figures: Arc<Figures>,
    cores: Cores,
}

impl Links {
    /// Links that report to the broker's queue, on at most so many connections; `notes` is the span between two
    /// notes, if there are any.
    pub fn new(
        sockets: Arc<Sockets>,
        connections_most: usize,
        notes: Option<Duration>,
        queue: mpsc::Sender<Input>,
        figures: Arc<Figures>,
        cores: Cores,
    ) -> Self {
        Self { pool: Pool::new(sockets.clone(), connections_most, notes), sockets, queue, figures, cores }
    }

    fn command(&mut self, key: AttemptKey, command: Command) {
        if let Some(commands) = self.pool.find(key) {
            // A full line of commands belongs to a connection that stands still; nothing would arrive there.
            let _ = commands.try_send(command);
        }
    }
}

impl EngineLinks for Links {
    fn place(&mut self, engine: EngineId, place: Option<(SocketAddr, Gate)>) {
        self.pool.place(engine, place);
    }

    fn start(&mut self, order: Order, now: Instant) -> bool {
        let (sockets, queue, figures, cores) = (&self.sockets, &self.queue, &self.figures, &self.cores);
        let picked = self.pool.pick(&order, now, |address, heard, _| {
            let (commands, orders) = mpsc::channel(COMMANDS);
            let task = Task::new(address, heard, sockets.clone(), queue.clone(), figures.clone(), orders);
            cores.seat().spawn(task.run(now + sockets.connect_within));
            commands
        });
        let key = order.key;
        let sent = picked
            .is_some_and(|(c, _, gate)| c.try_send(Command::Start(Box::new(order), gate.clone())).is_ok());
        if !sent {
            self.pool.release(key, false);
        }
        sent
    }

    fn stop(&mut self, key: AttemptKey) -> bool {
        // What its connection can't be told it hears of at its end.
        let open = self.pool.find(key).is_some_and(|c| !c.is_closed());
        self.command(key, Command::Stop(key));
        self.pool.release(key, true);
        open
    }

    fn boost(&mut self, key: AttemptKey, priority: u8) {
        self.command(key, Command::Boost(key, priority));
    }

    fn over(&mut self, key: AttemptKey) {
        self.pool.release(key, false);
    }

    fn share(&mut self, share: f64) {
        self.pool.share(share);
    }
}

#[cfg(test)]
mod tests;
