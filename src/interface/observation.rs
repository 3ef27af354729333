//! Observations of a gateway, for other gateways and for its own next process.

use super::ids::{EngineId, Time};

/// One gateway's observation of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineObservation {
    /// Id of the engine.
    pub engine: EngineId,
    /// Ratio of the execution time to that on an unloaded engine; `None` without recent samples.
    pub slowdown: Option<f64>,
    /// Threads that this gateway's own queries use on the engine.
    pub threads: f64,
    /// End of the ejection on this gateway's own evidence, if the engine is ejected.
    pub ejected_until: Option<Time>,
}

/// A mean and the number of samples behind it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SampledMean {
    /// Mean in microseconds.
    pub mean: f64,
    /// Number of samples, decayed over time.
    pub samples: f64,
}

/// Latency statistics of a class's queries, as measured by one gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassLatencyStats {
    /// Execution time of served queries.
    pub execution_time: SampledMean,
    /// Work divided by threads.
    pub work_per_thread: SampledMean,
}
