//! All decisions of a gateway: which requests are sent, when and where, and which are rejected. Nothing here
//! does I/O or reads a clock; times are in microseconds.
//!
//! A request waits until its dispatch target's turn comes and an engine has capacity, then it is sent; what
//! comes back moves the class estimates, the engines' bounds and their health.

mod bounds;
mod dispatch;
mod estimates;
mod outliers;
mod retries;
mod routing;
mod shedding;
mod slow_start;

pub(crate) use outliers::MIN_EJECTION;

pub(crate) const SECOND: i64 = 1_000_000;
/// Period of the bounds: the design's raise, a second; cuts have the same, so that both act on the same
/// evidence.
pub(crate) const PERIOD: i64 = SECOND;
/// Completions of a class at an engine before its mean may cut: fewer are ruled by the spread of the work.
pub(crate) const MIN_SAMPLES: f64 = 6.0;
/// Samples are clipped at this multiple of the running mean, so that bad plans do not carry the estimates.
pub(crate) const CLIP: f64 = 4.0;
/// Samples that a running mean remembers, and one of an engine's present state.
pub(crate) const MEMORY: f64 = 100.0;
pub(crate) const RECENT: f64 = 25.0;
/// Latency this far above best is pressure (the design's condition for a bound to bind).
pub(crate) const PRESSURE: f64 = 2.0;
/// The design's default bound at the start, in threads a core over all gateways.
pub(crate) const START_PER_CORE: f64 = 1.5;
/// Half intervals between progress reports after which they are missed: of 9,741 served, none was silent so
/// long.
pub(crate) const REPORTS_MISSED: i64 = 5;
/// An attempt has stalled at this multiple of its expected time.
pub(crate) const STALLED_MULTIPLE: i64 = 6;
/// Weight of the latest sign of how slow an engine is: one query's spread counts half.
pub(crate) const OBSERVATION_WEIGHT: f64 = 0.5;
