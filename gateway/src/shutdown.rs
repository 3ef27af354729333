//! The end of the program: a planned restart announces itself with SIGTERM.

use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// New connections and requests keep coming for this long after SIGTERM.
const OVERLAP: Duration = Duration::from_millis(750);

/// How far the end has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Serving.
    Open,
    /// Nothing new is accepted; what is taken is finished, and idle sessions close.
    Closing,
}

/// Waits for SIGTERM or SIGINT, then for the overlap. Returns when the signal came.
///
/// # Errors
/// Where the signals can't be watched.
pub async fn announced() -> std::io::Result<Instant> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    let came = Instant::now();
    sleep_until(came + OVERLAP).await;
    Ok(came)
}

/// Returns when the fronts are to close.
pub async fn closing(phase: &mut watch::Receiver<Phase>) {
    let _ = phase.wait_for(|p| *p == Phase::Closing).await;
}
