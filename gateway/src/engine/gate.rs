//! The gate before each engine: whether anything new may still be written to it. Whoever hears of the list closes
//! it; connections look at it at the point of writing, so that an order that lay somewhere meanwhile stays unsent.

use reedwalk_core::{EngineEntry, EngineId, EngineState};
use reedwalk_cores::{Fence, Fences, Standing};
use std::time::Duration;
use tokio::time::Instant;

/// One stay of an engine in service, as connections see it.
#[derive(Clone, Debug)]
pub struct Gate {
    fence: Fence,
    epoch: Instant,
}

impl Default for Gate {
    /// A gate that nobody closes.
    fn default() -> Self {
        Self { fence: Fence::default(), epoch: Instant::now() }
    }
}

impl Gate {
    /// May something new be written at `now`?
    pub fn open(&self, now: Instant) -> bool {
        self.fence.open(now.saturating_duration_since(self.epoch).as_micros() as u64)
    }

    /// Does it stand before the same stay in service?
    pub fn same(&self, other: &Self) -> bool {
        self.fence.same(&other.fence)
    }
}

/// The gates of all engines that are listed; the task that keeps the list owns them.
#[derive(Debug)]
pub struct Gates {
    fences: Fences<EngineId>,
    epoch: Instant,
}

impl Gates {
    /// No engines yet. Of the grace that the rule gives a draining engine half is used: the rest is for what
    /// stands between the look at the gate and the engine.
    pub fn new(drain_grace: Duration) -> Self {
        Self { fences: Fences::new((drain_grace / 2).as_micros() as u64), epoch: Instant::now() }
    }

    /// Takes in what holds of an engine, and gives the gate for what is sent from here on. One that operators have
    /// taken out has no grace.
    pub fn take(&mut self, entry: &EngineEntry, out: bool, now: Instant) -> Gate {
        let standing = match entry.state {
            EngineState::InService => Standing::InService,
            EngineState::Draining if out => Standing::Out,
            EngineState::Draining => Standing::Draining,
            EngineState::Gone => Standing::Gone,
        };
        let now = now.saturating_duration_since(self.epoch).as_micros() as u64;
        Gate { fence: self.fences.take(&entry.engine, standing, now), epoch: self.epoch }
    }
}
