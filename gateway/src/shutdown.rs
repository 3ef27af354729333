//! What the platform says to the running program: SIGTERM announces a planned restart, SIGHUP a new configuration.

use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// New connections and requests keep coming for this long after SIGTERM.
pub const OVERLAP: Duration = Duration::from_millis(750);

/// How far the end has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Serving.
    Open,
    /// Nothing new is accepted; what is taken is finished, and idle sessions close.
    Closing,
}

/// The signals that the program listens to. From the moment this is made none of them ends it.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asked {
    /// End, after the overlap.
    End,
    /// Read the configuration again.
    Reload,
}

impl Signals {
    /// Listens from now on.
    ///
    /// # Errors
    /// Where the signals can't be watched.
    pub fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next one. Several of a kind that came meanwhile count as one.
    pub async fn next(&mut self) -> Asked {
        tokio::select! {
            _ = self.terminate.recv() => Asked::End,
            _ = self.interrupt.recv() => Asked::End,
            _ = self.hangup.recv() => Asked::Reload,
        }
    }
}

/// Returns when the fronts are to close, and not before this instant.
pub async fn closed_to(phase: &mut watch::Receiver<Phase>, not_before: Instant) {
    closing(phase).await;
    sleep_until(not_before).await;
}

/// Returns when the fronts are to close.
pub async fn closing(phase: &mut watch::Receiver<Phase>) {
    let _ = phase.wait_for(|p| *p == Phase::Closing).await;
}
