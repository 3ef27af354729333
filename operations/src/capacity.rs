//! The capacity shares of the processes of one gateway in a hot restart, which are one gateway for all rules and limits.
//! Each process knows only its own stage and those of the others, and the shares they compute add up to one at most.

/// Stage of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProcessStage {
    /// It does not accept clients yet.
    Starting,
    /// It accepts clients.
    Serving,
    /// It finishes what it has accepted.
    Closing,
}

/// A process's share of its gateway's capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityShare {
    /// Over 0 and at most 1.
    pub share: f64,
    /// Another process accepts clients: this one need not go on accepting when it shuts down.
    pub relieved: bool,
}

impl Default for CapacityShare {
    fn default() -> Self {
        Self { share: 1.0, relieved: false }
    }
}

/// Weight of a stage: a process that only finishes needs less than one that gets everything new.
fn weight(stage: ProcessStage) -> f64 {
    if stage == ProcessStage::Closing { 1.0 } else { 3.0 }
}

/// The share of a process, given the stages of the other live processes.
pub fn capacity_share(own: ProcessStage, others: &[ProcessStage]) -> CapacityShare {
    let all: f64 = others.iter().map(|s| weight(*s)).sum::<f64>() + weight(own);
    CapacityShare { share: weight(own) / all, relieved: others.contains(&ProcessStage::Serving) }
}

#[cfg(test)]
mod tests;
