//! A program that has started, and its shutdown.

use super::reload::Reloads;
use crate::health::Health;
use crate::multicore::Multicore;
use crate::shutdown::{OVERLAP, Phase, ShutdownDeadlines};
use reedwalk_operations::{CapacityShare, ProcessStage};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, timeout_at};

/// A program that has started.
#[derive(Debug)]
pub struct Running {
    /// Where MySQL clients connect.
    pub mysql: SocketAddr,
    /// Where operators connect, if the console is on.
    pub console: Option<SocketAddr>,
    /// Where Flight SQL clients connect, if that front is on.
    pub flight: Option<SocketAddr>,
    /// Longest deadline of any class.
    pub(super) longest_deadline: Duration,
    pub(super) phase: watch::Sender<Phase>,
    pub(super) health: Health,
    pub(super) stage: watch::Sender<ProcessStage>,
    pub(super) share: watch::Receiver<CapacityShare>,
    pub(super) reloads: Reloads,
    /// Tells the gossip task that this process shuts down.
    pub(super) gossip_closing: watch::Sender<bool>,
    /// Ends once every session has ended.
    pub(super) sessions: mpsc::Receiver<()>,
    pub(super) multicore: Multicore,
    /// True once the broker's task has ended.
    pub(super) broker_ended: watch::Receiver<bool>,
    /// Dropping it ends the watch over the cores.
    pub(super) lost_cores: mpsc::Receiver<usize>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.multicore.stop_all();
    }
}

impl Running {
    /// The cores that it runs on.
    pub fn multicore(&self) -> Multicore {
        self.multicore.clone()
    }

    /// Waits until the next core has ended, and returns its number.
    pub async fn next_lost_core(&mut self) -> Option<usize> {
        self.lost_cores.recv().await
    }

    /// Returns once the broker's task has ended: no request is processed any more.
    pub fn broker_ended(&self) -> impl Future<Output = ()> + use<> {
        let mut broker_ended = self.broker_ended.clone();
        async move {
            let _ = broker_ended.wait_for(|ended| *ended).await;
        }
    }

    /// Where a new configuration goes.
    pub fn reloads(&self) -> Reloads {
        self.reloads.clone()
    }

    /// Announces the shutdown, and returns once another process of this gateway accepts clients at the same address,
    /// or after the overlap: until then new clients have nowhere else to connect. SIGTERM came at `terminated_at`.
    pub async fn overlap(&self, terminated_at: Instant) {
        let deadlines = ShutdownDeadlines::new(terminated_at, self.longest_deadline);
        self.phase.send_replace(Phase::Ending(deadlines));
        self.stage.send_replace(ProcessStage::Closing);
        self.gossip_closing.send_replace(true);
        let mut share = self.share.clone();
        let other_process_serves = async {
            if share.wait_for(|share| share.other_process_serves).await.is_err() {
                // Without a console there is no hot restart, and no other process to wait for.
                std::future::pending::<()>().await;
            }
        };
        let _ = timeout_at(terminated_at + OVERLAP, other_process_serves).await;
    }

    /// Closes the fronts to new clients and waits until every accepted request is answered. SIGTERM came at `terminated_at`.
    pub async fn close(mut self, terminated_at: Instant) {
        let deadlines = ShutdownDeadlines::new(terminated_at, self.longest_deadline);
        self.phase.send_replace(Phase::Closing(deadlines));
        self.health.set_serving(false);
        // Each session holds a sender: when all are dropped, every accepted request has been answered.
        let _ = timeout_at(deadlines.gone, self.sessions.recv()).await;
    }
}
