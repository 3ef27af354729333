//! Policies: which requests are sent, when and to which engine, and which are rejected. Nothing here does I/O
//! or reads a clock. Each module has its own state, receives its inputs and the time, and returns its
//! decision as a value; only [`Scheduler::step`](crate::Scheduler::step) knows all modules and carries the
//! decisions out.
//!
//! | question | module |
//! | --- | --- |
//! | which request is considered next? | [`dispatch_queue`] |
//! | which engine does it go to, and why not to the others? | [`engine_selection`] |
//! | what does a query of a class typically need, and what is its value density? | [`class_estimates`] |
//! | how loaded does an engine appear? | [`load_evidence`] |
//! | how many threads may this gateway use there? | [`concurrency_limits`], [`gateway_counts`] |
//! | how much may an engine get that has just started? | [`slow_start`] |
//! | is an engine failing or unresponsive? | [`outlier_detection`] |
//! | may another attempt be sent? | [`retry_policy`] |
//! | has a request waited too long, and may it be rejected? | [`load_shedding`] |
//! | what memory and priority does an attempt get? | [`resource_grants`] |
//! | when is the next round of periodic work? | [`housekeeping`] |
//!
//! In the comments, "the design" is the design page of the product, and "the paper" is "Achieving class-based
//! QoS for transactional workloads", on which the design is based.

pub(crate) mod class_estimates;
pub(crate) mod concurrency_limits;
pub(crate) mod dispatch_queue;
pub(crate) mod engine_selection;
pub(crate) mod gateway_counts;
pub(crate) mod housekeeping;
pub(crate) mod load_evidence;
pub(crate) mod load_shedding;
pub(crate) mod outlier_detection;
pub(crate) mod resource_grants;
pub(crate) mod retry_policy;
pub(crate) mod slow_start;

#[cfg(test)]
mod tests;

use crate::time::TimeSpan;

/// Period of the control loop: the design raises a limit once a second. Cuts have the same period, so that
/// both act on the same evidence.
pub(crate) const CONTROL_PERIOD: TimeSpan = TimeSpan::from_millis(1000);
/// Minimum number of samples for a mean to be used in decisions; with fewer, the variation of the work
/// dominates.
pub(crate) const MIN_SAMPLES: f64 = 6.0;
/// Samples are clipped at this multiple of the running mean, so that bad plans do not dominate the estimates.
pub(crate) const SAMPLE_CLIP: f64 = 4.0;
/// Window, in samples, of a running mean of a lasting property.
pub(crate) const LONG_TERM_SAMPLES: f64 = 100.0;
/// Window, in samples, of a running mean of an engine's current state.
pub(crate) const RECENT_SAMPLES: f64 = 25.0;
/// Execution time over that on an unloaded engine above which an engine is under pressure: the design's
/// "latency far above best", the condition for a limit to bind.
pub(crate) const PRESSURE_SLOWDOWN: f64 = 2.0;
/// Upper bound of a slowdown; also the slowdown recorded for an engine that failed or rejected an attempt.
pub(crate) const MAX_SLOWDOWN: f64 = SAMPLE_CLIP * PRESSURE_SLOWDOWN;
