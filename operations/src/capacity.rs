//! Capacity shares during a hot restart: the processes of one gateway count as one gateway for all rules and limits.
//! Each process computes its share only from its own stage and the stages of the others; the shares sum to at most 1.

/// Stage of a process in a hot restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProcessStage {
    /// It does not accept clients yet.
    Starting,
    /// It accepts clients.
    Serving,
    /// It accepts no clients and completes the requests it has accepted.
    Closing,
}

/// A process's share of its gateway's capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityShare {
    /// Greater than 0 and at most 1.
    pub share: f64,
    /// Whether another process accepts clients, so that this one may stop accepting them when it shuts down.
    pub other_process_serves: bool,
}

impl Default for CapacityShare {
    fn default() -> Self {
        Self { share: 1.0, other_process_serves: false }
    }
}

/// Weight of a process that accepts clients or is about to: all new requests go to such processes.
const ACCEPTING_WEIGHT: f64 = 3.0;
/// Weight of a process that only completes the requests it has accepted.
const CLOSING_WEIGHT: f64 = 1.0;

fn weight(stage: ProcessStage) -> f64 {
    match stage {
        ProcessStage::Starting | ProcessStage::Serving => ACCEPTING_WEIGHT,
        ProcessStage::Closing => CLOSING_WEIGHT,
    }
}

/// The share of a process, given the stages of the other live processes: its weight divided by the sum of all weights.
pub fn capacity_share(own: ProcessStage, others: &[ProcessStage]) -> CapacityShare {
    let weight_of_others: f64 = others.iter().map(|stage| weight(*stage)).sum();
    let share = weight(own) / (weight_of_others + weight(own));
    CapacityShare { share, other_process_serves: others.contains(&ProcessStage::Serving) }
}

#[cfg(test)]
mod tests;
