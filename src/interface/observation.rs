//! What a gateway has observed, for other gateways and for its own next process.

use super::ids::{EngineId, Time};

/// How one gateway sees an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineObservation {
    /// Which engine.
    pub engine: EngineId,
    /// Execution time over that of an unloaded engine; `None` where nothing was observed lately.
    pub slowdown: Option<f64>,
    /// Threads that this gateway's own queries use there.
    pub threads: f64,
    /// Until when it is ejected on this gateway's own evidence.
    pub ejected_until: Option<Time>,
}

/// A mean and the number of samples behind it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SampledMean {
    /// The mean, in microseconds.
    pub mean: f64,
    /// Number of samples, faded with time.
    pub samples: f64,
}

/// How long a class's queries take, as one gateway has learned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassLatencyStats {
    /// Execution time of the served queries.
    pub execution_time: SampledMean,
    /// Work divided by threads.
    pub work_per_thread: SampledMean,
}
