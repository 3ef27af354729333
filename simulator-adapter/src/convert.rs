//! From the simulator's numbers to the scheduler's types.

use crate::wire;
use reedwalk_scheduler::{EngineState, LoadReport, Outcome, ProgressReport, ResourceUsage};
use std::time::Duration;

/// A bill packs milliseconds of work and memory into one number: the memory counts in units of 4 MB below this.
const BILL_BASE: u64 = 4096;
const BILL_MEMORY_UNIT_MB: u64 = 4;

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

pub fn load(report: &wire::Report) -> LoadReport {
    reedwalk_settings::load_report(|name| report.get(name).copied())
}

pub fn usage(bill: Option<u64>) -> Option<ResourceUsage> {
    let bill = bill.filter(|bill| *bill > 0)?;
    Some(ResourceUsage {
        work: Duration::from_millis(bill / BILL_BASE),
        memory_mb: (bill % BILL_BASE * BILL_MEMORY_UNIT_MB) as f64,
    })
}

pub fn progress(sort: u32, value: f64) -> Option<ProgressReport> {
    match (sort, value) {
        (1, _) => Some(ProgressReport::Done(value)),
        (2, _) => Some(ProgressReport::Spilling(value)),
        (3, 2.0) => Some(ProgressReport::WaitingForLoad),
        (3, _) => Some(ProgressReport::WaitingForMemory),
        _ => None,
    }
}

pub fn engine_state(state: &str) -> EngineState {
    match state {
        "in_service" => EngineState::InService,
        "terminating" => EngineState::Draining,
        _ => EngineState::Removed,
    }
}
