//! Outcomes of attempts, and the resource usage and load that engines report with them.

use std::time::Duration;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The query was served.
    Ok,
    /// The engine answered with an error; the query may have run.
    Error,
    /// The engine rejected the query before it ran: the engine is full or draining, or the deadline passed in
    /// its queue.
    Rejected,
    /// No answer arrived in time; the query may have run, or may still run.
    TimedOut,
    /// No connection could be opened; the query never ran.
    ConnectFailed,
    /// The connection broke; the query may have run.
    Reset,
    /// The attempt was cancelled; the query may have run.
    Cancelled,
    /// The attempt was never sent.
    NeverSent,
}

impl Outcome {
    /// Whether it is certain that the query never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NeverSent)
    }

    /// Whether the query may still be running.
    pub fn may_still_run(self) -> bool {
        matches!(self, Self::TimedOut | Self::Reset | Self::Cancelled)
    }
}

/// Resources that a served query used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceUsage {
    /// Work, as execution time on a single thread.
    pub work: Duration,
    /// Memory in MB.
    pub memory_mb: f64,
}

/// An engine's report of its own load; the values are delayed and noisy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of queries that wait for memory.
    pub queue: Option<f64>,
    /// Fraction of the cores in use.
    pub cpu: Option<f64>,
    /// Fraction of the memory that is granted to queries.
    pub memory: Option<f64>,
    /// Fraction of the disk bandwidth in use.
    pub disk: Option<f64>,
    /// Number of queries in flight.
    pub in_flight: Option<f64>,
}
