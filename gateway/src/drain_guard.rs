//! Drain guards stop new attempts from being written to a draining engine. The endpoint registry closes an engine's
//! guard when the engine drains. Connections check the guard immediately before they write, so that attempts which were
//! queued meanwhile are not sent.

use reedwalk_multicore::{DrainFence, DrainFences, DrainState};
use reedwalk_scheduler::{EngineEntry, EngineId, EngineState};
use std::time::Duration;
use tokio::time::Instant;

/// The drain guard of one incarnation of an engine, as its connections use it.
#[derive(Clone, Debug)]
pub struct DrainGuard {
    fence: DrainFence,
    epoch: Instant,
}

impl Default for DrainGuard {
    /// Creates a guard that is never closed.
    fn default() -> Self {
        Self { fence: DrainFence::default(), epoch: Instant::now() }
    }
}

impl DrainGuard {
    /// Whether new attempts may be written at `now`.
    pub fn is_open(&self, now: Instant) -> bool {
        self.fence.is_open(micros_since(self.epoch, now))
    }

    /// Whether both belong to the same incarnation of an engine.
    pub fn is_same(&self, other: &Self) -> bool {
        self.fence.is_same(&other.fence)
    }
}

/// The drain guards of all listed engines, owned by the endpoint registry.
#[derive(Debug)]
pub struct DrainGuards {
    fences: DrainFences<EngineId>,
    epoch: Instant,
}

impl DrainGuards {
    /// Creates a set without engines. The guard of a draining engine stays open for half of `drain_grace`; the other
    /// half covers the time from a connection's check of the guard to the arrival of the attempt at the engine.
    pub fn new(drain_grace: Duration) -> Self {
        Self { fences: DrainFences::new((drain_grace / 2).as_micros() as u64), epoch: Instant::now() }
    }

    /// Applies an engine's entry and returns the guard for all attempts sent to it from now on. An engine that
    /// operators have taken `offline` gets no grace period.
    pub fn update(&mut self, entry: &EngineEntry, offline: bool, now: Instant) -> DrainGuard {
        let state = match entry.state {
            EngineState::InService => DrainState::InService,
            EngineState::Draining if offline => DrainState::Out,
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
