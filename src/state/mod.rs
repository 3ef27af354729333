//! What a gateway remembers of classes, engines and requests, and how that is kept up to date. All decisions are made in
//! [`crate::policy`]. Times are in microseconds on the controller's clock.

mod class;
mod engine;
mod evidence;
mod mean;
mod request;
mod window;

pub(crate) use class::{ClassStats, Completion};
pub(crate) use engine::{EngineRecord, EngineTable, SlowdownSample};
pub(crate) use evidence::{Evidence, InFlightEvidence};
pub(crate) use mean::Mean;
pub(crate) use request::{EndedAttempt, InFlightAttempt, PossibleRun, QueueKey, RequestRecord, RequestTable};
pub(crate) use window::EventWindow;

use crate::interface::Time;
use std::time::Duration;

/// Largest time or duration: far from overflow in any sum of a few.
const MAX_MICROS: i64 = i64::MAX / 8;

/// A duration in microseconds.
pub(crate) fn micros(duration: Duration) -> i64 {
    duration.as_micros().min(MAX_MICROS as u128) as i64
}

/// An instant in microseconds.
pub(crate) fn instant(time: Time) -> i64 {
    time.0.min(MAX_MICROS as u64) as i64
}

/// A duration in microseconds; a negative one is zero.
pub(crate) fn duration(micros: i64) -> Duration {
    Duration::from_micros(micros.max(0) as u64)
}

/// Spreads seeds and numbers over all values (the finalizer of SplitMix64).
pub(crate) fn mix(x: u64) -> u64 {
    let x = (x ^ x >> 30).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    (x ^ x >> 27).wrapping_mul(0x94D0_49BB_1331_11EB) ^ x >> 31
}
