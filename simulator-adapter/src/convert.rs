//! From the simulator's numbers to the scheduler's types.

use crate::wire;
use reedwalk_scheduler::{EngineState, LoadReport, Outcome, ProgressReport, ResourceUsage};
use std::time::Duration;

/// Usage is packed into one number: milliseconds of work times this, plus memory in units ...
const USAGE_WORK_FACTOR: u64 = 4096;
/// ... of so many MB.
const USAGE_MEMORY_UNIT_MB: u64 = 4;

/// The outcome of an attempt, from the number of a system error.
pub fn outcome(code: u32) -> Outcome {
    match code {
        0 => Outcome::Ok,
        11 => Outcome::Rejected,
        110 => Outcome::TimedOut,
        111 => Outcome::ConnectFailed,
        104 => Outcome::Reset,
        125 => Outcome::Cancelled,
        114 => Outcome::NeverSent,
        _ => Outcome::Error,
    }
}

/// The load report of an engine.
pub fn load(report: &wire::LoadValues) -> LoadReport {
    reedwalk_settings::load_report(|name| report.get(name).copied())
}

/// The resources that a served query used; `None` where nothing or 0 is reported.
pub fn usage(packed: Option<u64>) -> Option<ResourceUsage> {
    let packed = packed.filter(|packed| *packed > 0)?;
    Some(ResourceUsage {
        work: Duration::from_millis(packed / USAGE_WORK_FACTOR),
        memory_mb: (packed % USAGE_WORK_FACTOR * USAGE_MEMORY_UNIT_MB) as f64,
    })
}

/// An engine's report on an attempt; `None` for a kind that is not known.
pub fn progress(kind: u32, value: f64) -> Option<ProgressReport> {
    match (kind, value) {
        (1, _) => Some(ProgressReport::FractionDone(value)),
        (2, _) => Some(ProgressReport::Spilling(value)),
        (3, 2.0) => Some(ProgressReport::WaitingForLoad),
        (3, _) => Some(ProgressReport::WaitingForMemory),
        _ => None,
    }
}

/// The state of an engine; one that is not known counts as removed.
pub fn engine_state(state: &str) -> EngineState {
    match state {
        "in_service" => EngineState::InService,
        "terminating" => EngineState::Draining,
        _ => EngineState::Removed,
    }
}
