//! State that a gateway keeps about engines and requests. All decisions are made in [`crate::policy`]; an
//! engine's record holds the state of each policy component that concerns single engines.

mod attempts;
mod engine;
mod mean;
mod request;
mod window;

#[cfg(test)]
pub(crate) use attempts::EngineAttempts;
pub(crate) use engine::{EngineDefaults, EngineRecord, EngineTable};
pub(crate) use mean::Mean;
pub(crate) use request::{FinishedAttempt, InFlightAttempt, PossibleRun, RequestRecord, RequestTable};
pub(crate) use window::EventWindow;

/// Finalizer of SplitMix64: maps similar seeds and numbers to evenly distributed values.
pub(crate) fn mix64(x: u64) -> u64 {
    let x = (x ^ x >> 30).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    (x ^ x >> 27).wrapping_mul(0x94D0_49BB_1331_11EB) ^ x >> 31
}
