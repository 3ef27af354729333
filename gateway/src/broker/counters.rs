//! The broker's counters and their periodic log record.

use slog::{Logger, info};
use std::time::Duration;
use tokio::time::Instant;

/// Interval at which changed counters are logged.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Counts of events since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests answered with a result.
    pub served: u64,
    /// Requests answered with a rejection.
    pub rejected: u64,
    /// Requests answered with a failure.
    pub failed: u64,
    /// Requests whose client disconnected before the response.
    pub disconnected: u64,
    /// Attempts passed to a transport or held until the shared store has recorded them.
    pub attempts_sent: u64,
}

/// Logs the counters periodically.
pub(super) struct CounterLogger {
    last: Counters,
    reported_at: Instant,
}

impl CounterLogger {
    /// Creates a logger whose first interval begins at `now`, with all counts at 0.
    pub(super) fn new(now: Instant) -> Self {
        Self { last: Counters::default(), reported_at: now }
    }

    /// At the end of each interval, logs the counts if they have changed. Returns whether an interval has ended.
    pub(super) fn tick(
        &mut self,
        counters: Counters,
        open_requests: usize,
        in_flight_attempts: usize,
        now: Instant,
        log: &Logger,
    ) -> bool {
        if now - self.reported_at < REPORT_INTERVAL {
            return false;
        }
        if self.last != counters {
            info!(log, "counters"; "arrived" => counters.arrived, "served" => counters.served,
                "rejected" => counters.rejected, "failed" => counters.failed,
                "disconnected" => counters.disconnected, "attempts_sent" => counters.attempts_sent,
                "requests_open" => open_requests, "attempts_in_flight" => in_flight_attempts);
        }
        self.last = counters;
        self.reported_at = now;
        true
    }
}
