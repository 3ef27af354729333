//! Drain guards: whether anything new may still be written to an engine. The endpoint registry closes a guard when its
//! engine starts to drain; connections check it at the moment they write, so that an attempt which waited in a queue
//! meanwhile is not sent.

use reedwalk_multicore::{DrainFence, DrainFences, DrainState};
use reedwalk_scheduler::{EngineEntry, EngineId, EngineState};
use std::time::Duration;
use tokio::time::Instant;

/// The guard of one incarnation of an engine in service, as connections see it.
#[derive(Clone, Debug)]
pub struct DrainGuard {
    fence: DrainFence,
    epoch: Instant,
}

impl Default for DrainGuard {
    /// A guard that is never closed.
    fn default() -> Self {
        Self { fence: DrainFence::default(), epoch: Instant::now() }
    }
}

impl DrainGuard {
    /// Whether something new may be written at `now`.
    pub fn is_open(&self, now: Instant) -> bool {
        self.fence.is_open(micros_since(self.epoch, now))
    }

    /// Whether both guard the same incarnation of an engine.
    pub fn is_same(&self, other: &Self) -> bool {
        self.fence.is_same(&other.fence)
    }
}

/// The guards of all listed engines. The endpoint registry owns them.
#[derive(Debug)]
pub struct DrainGuards {
    fences: DrainFences<EngineId>,
    epoch: Instant,
}

impl DrainGuards {
    /// No engines yet. Half of `drain_grace` is used: the rest covers the time between a connection's check of the
    /// guard and the arrival at the engine.
    pub fn new(drain_grace: Duration) -> Self {
        Self { fences: DrainFences::new((drain_grace / 2).as_micros() as u64), epoch: Instant::now() }
    }

    /// Takes in an engine's entry and returns the guard for whatever is sent to it from now on. An engine that
    /// operators have taken out (`taken_out`) gets no grace period.
    pub fn update(&mut self, entry: &EngineEntry, taken_out: bool, now: Instant) -> DrainGuard {
        let state = match entry.state {
            EngineState::InService => DrainState::InService,
            EngineState::Draining if taken_out => DrainState::Out,
            EngineState::Draining => DrainState::Draining,
            EngineState::Removed => DrainState::Removed,
        };
        let fence = self.fences.update(&entry.engine, state, micros_since(self.epoch, now));
        DrainGuard { fence, epoch: self.epoch }
    }
}

fn micros_since(epoch: Instant, now: Instant) -> u64 {
    now.saturating_duration_since(epoch).as_micros() as u64
}
