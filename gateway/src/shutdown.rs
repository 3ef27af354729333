//! Signal handling and shutdown. SIGTERM announces a planned restart, SIGHUP a new configuration.

use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Maximum time after SIGTERM during which new connections and requests are still accepted: until another process of the
/// gateway accepts clients, they have nowhere else to connect.
pub const SHUTDOWN_OVERLAP: Duration = Duration::from_millis(750);

/// Upper limit of the longest request deadline, as the platform applies it: it kills the process no earlier than 0.7 s
/// after the longest deadline, which counts as at most 3 s.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// Time after the longest deadline at which all requests that are still open get an answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(600);
/// Time after the longest deadline at which the process exits, even if some clients have not read their answers. This is
/// before the platform kills the process, 0.7 s after the longest deadline.
const EXIT_MARGIN: Duration = Duration::from_millis(660);

/// The phase of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Serving, with no shutdown requested.
    Serving,
    /// SIGTERM was received; new connections and requests are still accepted.
    ShuttingDown(ShutdownDeadlines),
    /// No new connections or requests are accepted; accepted requests are completed, and idle sessions are closed.
    Closing(ShutdownDeadlines),
}

/// The deadlines of a shutdown. Requests without an answer when the platform sends SIGKILL are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownDeadlines {
    /// When every request must have its answer, regardless of its own deadline.
    pub answer_by: Instant,
    /// When the process must exit.
    pub exit_by: Instant,
}

impl ShutdownDeadlines {
    /// The deadlines of a process that received SIGTERM at `terminated_at`. `max_deadline` is the longest deadline of any
    /// class; it is capped at `MAX_DEADLINE`.
    pub fn new(terminated_at: Instant, max_deadline: Duration) -> Self {
        let last_deadline = terminated_at + max_deadline.min(MAX_DEADLINE);
        Self { answer_by: last_deadline + ANSWER_MARGIN, exit_by: last_deadline + EXIT_MARGIN }
    }
}

impl Phase {
    /// The shutdown deadlines, if the process is shutting down.
    pub fn deadlines(self) -> Option<ShutdownDeadlines> {
        match self {
            Self::Serving => None,
            Self::ShuttingDown(deadlines) | Self::Closing(deadlines) => Some(deadlines),
        }
    }
}

/// The signals that the process handles. Once this exists, none of them terminates the process by its default action.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalRequest {
    /// Shut down, after [`SHUTDOWN_OVERLAP`].
    Shutdown,
    /// Read the configuration again.
    Reload,
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    /// A signal handler can't be installed.
    pub fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal. Several signals of one kind that arrived since the last call count as one.
    pub async fn next(&mut self) -> SignalRequest {
        tokio::select! {
            _ = self.terminate.recv() => SignalRequest::Shutdown,
            _ = self.interrupt.recv() => SignalRequest::Shutdown,
            _ = self.hangup.recv() => SignalRequest::Reload,
        }
    }
}

/// Waits until the fronts must close, and at least until `not_before`.
pub async fn wait_until_closing_after(phase: &mut watch::Receiver<Phase>, not_before: Instant) {
    wait_until_closing(phase).await;
    sleep_until(not_before).await;
}

/// Waits until the fronts must close.
pub async fn wait_until_closing(phase: &mut watch::Receiver<Phase>) {
    let _ = phase.wait_for(|phase| matches!(phase, Phase::Closing(_))).await;
}
