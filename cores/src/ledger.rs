//! What every core holds now, and whether it is fit to take more: written by all cores, read where a connection
//! is placed.

use crate::placement;
use crate::sync::{Arc, AtomicBool, AtomicUsize, Ordering};

#[derive(Debug)]
struct Entry {
    held: AtomicUsize,
    fit: AtomicBool,
}

/// All cores' entries; cheap to clone.
#[derive(Clone, Debug)]
pub struct Ledger {
    entries: Arc<Vec<Entry>>,
    shares: Arc<Vec<f64>>,
}

/// One connection's place on its core, until it is dropped.
#[derive(Debug)]
pub struct Held {
    ledger: Ledger,
    core: usize,
}

impl Ledger {
    /// Cores that hold nothing, each meant for its share of what comes.
    pub fn new(shares: Vec<f64>) -> Self {
        let entry = |_| Entry { held: AtomicUsize::new(0), fit: AtomicBool::new(true) };
        Self { entries: Arc::new((0..shares.len()).map(entry).collect()), shares: Arc::new(shares) }
    }

    /// A place on the core that has most room for its share. Two that ask at once may pick the same: they count
    /// as two from then on.
    pub fn place(&self) -> Held {
        let now: Vec<_> = self
            .entries
            .iter()
            .map(|e| (e.held.load(Ordering::Relaxed), e.fit.load(Ordering::Relaxed)))
            .collect();
        let core = placement::pick(&self.shares, &now);
        self.entries[core].held.fetch_add(1, Ordering::Relaxed);
        Held { ledger: self.clone(), core }
    }

    /// Says whether a core is fit to take more.
    pub fn judge(&self, core: usize, fit: bool) {
        if let Some(entry) = self.entries.get(core) {
            entry.fit.store(fit, Ordering::Relaxed);
        }
    }

    /// Is a core fit to take more?
    pub fn fit(&self, core: usize) -> bool {
        self.entries.get(core).is_some_and(|e| e.fit.load(Ordering::Relaxed))
    }

    /// Connections that a core holds.
    pub fn held(&self, core: usize) -> usize {
        self.entries.get(core).map_or(0, |e| e.held.load(Ordering::Relaxed))
    }
}

impl Held {
    /// Which core.
    pub fn core(&self) -> usize {
        self.core
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.ledger.entries[self.core].held.fetch_sub(1, Ordering::Relaxed);
    }
}

#[cfg(all(test, not(feature = "loom")))]
mod tests;
