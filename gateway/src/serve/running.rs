//! Handle to a running gateway, and its shutdown.

use super::reload::ConfigReloader;
use crate::health::Health;
use crate::multicore::Multicore;
use crate::shutdown::{Phase, SHUTDOWN_OVERLAP, ShutdownDeadlines};
use reedwalk_operations::{CapacityShare, ProcessStage};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, timeout_at};

/// A running gateway process.
#[derive(Debug)]
pub struct Running {
    /// Address of the MySQL front.
    pub mysql: SocketAddr,
    /// Address of the console, if it is on.
    pub console: Option<SocketAddr>,
    /// Address of the Flight SQL front, if it is on.
    pub flight: Option<SocketAddr>,
    /// Longest deadline of all classes.
    pub(super) longest_deadline: Duration,
    pub(super) phase: watch::Sender<Phase>,
    pub(super) health: Health,
    pub(super) stage: watch::Sender<ProcessStage>,
    pub(super) capacity_share: watch::Receiver<CapacityShare>,
    pub(super) reloader: ConfigReloader,
    /// Notifies the gossip task of the shutdown.
    pub(super) gossip_closing: watch::Sender<bool>,
    /// Closed once every session has ended.
    pub(super) sessions_closed: mpsc::Receiver<()>,
    pub(super) multicore: Multicore,
    /// True once the broker task has ended.
    pub(super) broker_ended: watch::Receiver<bool>,
    /// Receives the index of each core whose thread has ended; dropping it ends the monitoring of the cores.
    pub(super) lost_cores: mpsc::Receiver<usize>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.multicore.stop_all();
    }
}

impl Running {
    /// The threads that the gateway runs on, one for each core.
    pub fn multicore(&self) -> Multicore {
        self.multicore.clone()
    }

    /// Waits until the thread of a core ends, and returns the index of that core.
    pub async fn next_lost_core(&mut self) -> Option<usize> {
        self.lost_cores.recv().await
    }

    /// Waits until the broker task has ended; no requests are processed from then on.
    pub fn broker_ended(&self) -> impl Future<Output = ()> + use<> {
        let mut broker_ended = self.broker_ended.clone();
        async move {
            let _ = broker_ended.wait_for(|ended| *ended).await;
        }
    }

    /// A handle that applies a new configuration.
    pub fn reloader(&self) -> ConfigReloader {
        self.reloader.clone()
    }

    /// Announces the shutdown and waits until another process of this gateway accepts clients at the same address, for at
    /// most [`SHUTDOWN_OVERLAP`] after SIGTERM, received at `terminated_at`. Clients are still accepted during this time, because
    /// they may have nowhere else to connect.
    pub async fn begin_shutdown(&self, terminated_at: Instant) {
        let deadlines = ShutdownDeadlines::new(terminated_at, self.longest_deadline);
        self.phase.send_replace(Phase::ShuttingDown(deadlines));
        self.stage.send_replace(ProcessStage::Closing);
        self.gossip_closing.send_replace(true);
        let mut share = self.capacity_share.clone();
        let other_process_serves = async {
            if share.wait_for(|share| share.other_process_serves).await.is_err() {
                // The sender is dropped without a console: no other process can take over, so wait for the timeout.
                std::future::pending::<()>().await;
            }
        };
        let _ = timeout_at(terminated_at + SHUTDOWN_OVERLAP, other_process_serves).await;
    }

    /// Closes the fronts to new clients and waits until every accepted request is answered. SIGTERM was received at
    /// `terminated_at`.
    pub async fn close(mut self, terminated_at: Instant) {
        let deadlines = ShutdownDeadlines::new(terminated_at, self.longest_deadline);
        self.phase.send_replace(Phase::Closing(deadlines));
        self.health.set_serving(false);
        // Each session holds a sender. Once all are dropped, every accepted request has been answered.
        let _ = timeout_at(deadlines.exit_by, self.sessions_closed.recv()).await;
    }
}
