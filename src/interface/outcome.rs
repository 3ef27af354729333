//! How attempts end, and what engines report with that.

use std::time::Duration;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The engine answered with an error; the query may have run.
    Error,
    /// Rejected by the engine before it ran: full, draining, or its deadline passed in the engine's queue.
    Rejected,
    /// No answer in time; the query may have run, or still run.
    TimedOut,
    /// No connection; the query never ran.
    ConnectFailed,
    /// The connection broke; the query may have run.
    Reset,
    /// Cancelled; the query may have run.
    Cancelled,
    /// Never sent.
    NeverSent,
}

impl Outcome {
    /// Whether the attempt surely never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NeverSent)
    }

    /// Whether the attempt may still be running.
    pub fn may_still_run(self) -> bool {
        matches!(self, Self::TimedOut | Self::Reset | Self::Cancelled)
    }
}

/// Resources that a served query used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceUsage {
    /// Work, as time on one thread.
    pub work: Duration,
    /// Memory in MB.
    pub memory_mb: f64,
}

/// An engine's report of its own load; delayed and noisy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Queries that wait for memory.
    pub queue: Option<f64>,
    /// Share of the cores in use.
    pub cpu: Option<f64>,
    /// Share of the memory granted.
    pub memory: Option<f64>,
    /// Share of the disk bandwidth in use.
    pub disk: Option<f64>,
    /// Queries in flight.
    pub in_flight: Option<f64>,
}
