//! Drain fences: the instant from which no new attempt may be sent to an engine. The task that processes a drain closes the
//! fence; each connection checks it immediately before it writes an attempt. This holds on every core, no matter how long the
//! attempt was queued there.

use crate::Micros;
use crate::sync::{Arc, AtomicU64, Ordering};
use std::collections::BTreeMap;

/// Closing time of a fence that was never closed.
const NEVER_CLOSED: Micros = Micros::MAX;

/// The fence for one period of an engine's membership. It is never reopened: an engine that returns gets a new fence.
#[derive(Clone, Debug)]
pub struct DrainFence(Arc<AtomicU64>);

impl Default for DrainFence {
    fn default() -> Self {
        Self(Arc::new(AtomicU64::new(NEVER_CLOSED)))
    }
}

impl DrainFence {
    /// Closes the fence from `at` on. If it is closed more than once, the earliest instant holds.
    pub fn close(&self, at: Micros) {
        // Release: a thread that observes a later write of this thread also observes the closed fence.
        self.0.fetch_min(at, Ordering::AcqRel);
    }

    /// Whether a new attempt may be written at `now`.
    pub fn is_open(&self, now: Micros) -> bool {
        now < self.0.load(Ordering::Acquire)
    }

    /// Whether both are handles of the same fence.
    pub fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }

    /// Whether [`close`](Self::close) was never called.
    pub fn was_never_closed(&self) -> bool {
        self.0.load(Ordering::Acquire) == NEVER_CLOSED
    }
}

/// The state of an engine in the endpoint list, as far as it decides on new attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainState {
    /// It accepts new attempts.
    InService,
    /// It accepts no new attempts after the grace period.
    Draining,
    /// Operators have taken it out: it accepts no new attempts, without a grace period.
    Out,
    /// It is no longer listed; another engine may reuse its address.
    Removed,
}

/// The fences of all listed engines, owned by a single task.
#[derive(Debug)]
pub struct DrainFences<K> {
    by_engine: BTreeMap<K, DrainFence>,
    grace: Micros,
}

impl<K: Ord + Clone> DrainFences<K> {
    /// Creates an empty set. Attempts may still be written to a draining engine for `grace` microseconds, so that those
    /// assigned to it before the drain was known need no retry.
    pub fn new(grace: Micros) -> Self {
        Self { by_engine: BTreeMap::new(), grace }
    }

    /// Updates the state of an engine at `now` and returns the fence for attempts assigned to it from now on.
    pub fn update(&mut self, engine: &K, state: DrainState, now: Micros) -> DrainFence {
        let fence = self.by_engine.entry(engine.clone()).or_default();
        match state {
            DrainState::InService if !fence.was_never_closed() => *fence = DrainFence::default(),
            DrainState::InService => {}
            DrainState::Draining => fence.close(now.saturating_add(self.grace)),
            DrainState::Out | DrainState::Removed => fence.close(now),
        }
        let fence = fence.clone();
        if state == DrainState::Removed {
            self.by_engine.remove(engine);
        }
        fence
    }

    /// The number of fences, which is at most the number of listed engines.
    pub fn fence_count(&self) -> usize {
        self.by_engine.len()
    }
}

#[cfg(all(test, not(feature = "loom")))]
mod tests;
