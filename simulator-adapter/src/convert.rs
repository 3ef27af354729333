//! Conversions from the simulator's values to the scheduler's types.

use crate::wire;
use reedwalk_scheduler::{EngineState, LoadReport, Outcome, ProgressReport, ResourceUsage};
use std::time::Duration;

/// Resource usage is packed into one number: the work in milliseconds times this factor, plus the memory in units of
/// [`USAGE_MEMORY_UNIT_MB`].
const USAGE_WORK_FACTOR: u64 = 4096;
/// Unit of the memory in packed usage, in MB.
const USAGE_MEMORY_UNIT_MB: u64 = 4;

/// Converts the outcome of an attempt, which the simulator reports as a Linux error number (`errno`).
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

/// Converts an engine's load report.
pub fn load_report(report: &wire::LoadValues) -> LoadReport {
    reedwalk_settings::load_report(|name| report.get(name).copied())
}

/// Unpacks the resources that a query used; `None` if nothing or 0 is reported.
pub fn usage(packed: Option<u64>) -> Option<ResourceUsage> {
    let packed = packed.filter(|packed| *packed > 0)?;
    Some(ResourceUsage {
        work: Duration::from_millis(packed / USAGE_WORK_FACTOR),
        memory_mb: (packed % USAGE_WORK_FACTOR * USAGE_MEMORY_UNIT_MB) as f64,
    })
}

/// Converts an engine's progress report on an attempt; `None` if its kind is unknown.
pub fn progress(kind: u32, value: f64) -> Option<ProgressReport> {
    match (kind, value) {
        (1, _) => Some(ProgressReport::FractionDone(value)),
        (2, _) => Some(ProgressReport::Spilling(value)),
        (3, 2.0) => Some(ProgressReport::WaitingForLoad),
        (3, _) => Some(ProgressReport::WaitingForMemory),
        _ => None,
    }
}

/// Converts the state of an engine; an unknown one counts as removed.
pub fn engine_state(state: &str) -> EngineState {
    match state {
        "in_service" => EngineState::InService,
        "terminating" => EngineState::Draining,
        _ => EngineState::Removed,
    }
}
