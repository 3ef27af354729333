//! What the platform says to the running program: SIGTERM announces a planned restart, SIGHUP a new configuration.

use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// New connections and requests keep coming for this long after SIGTERM.
pub const OVERLAP: Duration = Duration::from_millis(750);

/// The platform counts a longest deadline as no more than this, and ends the process 0.7 s after that at the soonest.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// So long after the longest deadline, counted so, what is still open is answered.
const ANSWER_MARGIN: Duration = Duration::from_millis(600);
/// So long after it the process ends, whether all clients have taken their answers or not.
const EXIT_MARGIN: Duration = Duration::from_millis(660);

/// How far the end has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Serving.
    Open,
    /// Told to end; what is new is still accepted.
    Ending(ShutdownDeadlines),
    /// Nothing new is accepted; what is taken is finished, and idle sessions close.
    Closing(ShutdownDeadlines),
}

/// When the end is to be reached: what SIGKILL finds unanswered is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownDeadlines {
    /// By then each request has its answer, its own deadline aside.
    pub answered: Instant,
    /// Then the process is gone.
    pub gone: Instant,
}

impl ShutdownDeadlines {
    /// The end of a process that was told to end at `told`, where no request's deadline is longer than `longest`.
    pub fn new(told: Instant, longest: Duration) -> Self {
        let longest = told + longest.min(MAX_DEADLINE);
        Self { answered: longest + ANSWER_MARGIN, gone: longest + EXIT_MARGIN }
    }
}

impl Phase {
    /// When the end is to be reached, if one is near.
    pub fn end(self) -> Option<ShutdownDeadlines> {
        match self {
            Self::Open => None,
            Self::Ending(end) | Self::Closing(end) => Some(end),
        }
    }
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
pub enum SignalRequest {
    /// Shut down, after the overlap.
    Shutdown,
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
    pub async fn next(&mut self) -> SignalRequest {
        tokio::select! {
            _ = self.terminate.recv() => SignalRequest::Shutdown,
            _ = self.interrupt.recv() => SignalRequest::Shutdown,
            _ = self.hangup.recv() => SignalRequest::Reload,
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
    let _ = phase.wait_for(|p| matches!(p, Phase::Closing(_))).await;
}
