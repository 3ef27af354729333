//! Fences: from when on an engine takes nothing new. The task that hears of a drain closes the fence; whoever is
//! about to write to the engine looks at it last, on whatever core, however long the order lay there.

use crate::Micros;
use crate::sync::{Arc, AtomicU64, Ordering};
use std::collections::BTreeMap;

const OPEN: Micros = Micros::MAX;

/// One stay of an engine in service. It closes once: where the engine comes back, that is another fence.
#[derive(Clone, Debug)]
pub struct Fence(Arc<AtomicU64>);

impl Default for Fence {
    fn default() -> Self {
        Self(Arc::new(AtomicU64::new(OPEN)))
    }
}

impl Fence {
    /// Nothing new from `at` on. A later instant never loosens an earlier one.
    pub fn close(&self, at: Micros) {
        // Release: who sees what its writer told afterwards also sees the fence closed.
        self.0.fetch_min(at, Ordering::AcqRel);
    }

    /// May something new be begun at `now`?
    pub fn open(&self, now: Micros) -> bool {
        now < self.0.load(Ordering::Acquire)
    }

    /// Is it this very fence?
    pub fn same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }

    /// Nobody has said yet that it will close.
    pub fn untouched(&self) -> bool {
        self.0.load(Ordering::Acquire) == OPEN
    }
}

/// What the list says of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It takes what is new.
    InService,
    /// It takes nothing new once the grace is over.
    Draining,
    /// Operators have taken it out: nothing new from now on.
    Out,
    /// It is not there; another may have its address.
    Gone,
}

/// The fences of all engines that are listed; one task owns them.
#[derive(Debug)]
pub struct Fences<K> {
    by_engine: BTreeMap<K, Fence>,
    grace: Micros,
}

impl<K: Ord + Clone> Fences<K> {
    /// No engines yet. What drains may still be written to for `grace`: orders that were decided before the news
    /// need no further attempt then.
    pub fn new(grace: Micros) -> Self {
        Self { by_engine: BTreeMap::new(), grace }
    }

    /// Takes in what the list says at `now`, and gives the fence of what is sent to the engine from here on.
    pub fn take(&mut self, engine: &K, standing: Standing, now: Micros) -> Fence {
        let fence = self.by_engine.entry(engine.clone()).or_default();
        match standing {
            Standing::InService if !fence.untouched() => *fence = Fence::default(),
            Standing::InService => {}
            Standing::Draining => fence.close(now.saturating_add(self.grace)),
            Standing::Out | Standing::Gone => fence.close(now),
        }
        let fence = fence.clone();
        if standing == Standing::Gone {
            self.by_engine.remove(engine);
        }
        fence
    }

    /// Engines remembered: no more than are listed.
    pub fn held_state(&self) -> usize {
        self.by_engine.len()
    }
}

#[cfg(all(test, not(feature = "loom")))]
mod tests;
