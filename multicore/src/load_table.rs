//! The number of connections on each core and whether it accepts more. All cores update the table; it is read to place new
//! connections.

use crate::placement::{self, CoreLoad};
use crate::sync::{Arc, AtomicBool, AtomicUsize, Ordering};

/// The entry of one core. No other memory is published through these values, so relaxed accesses are enough.
#[derive(Debug)]
struct CoreEntry {
    connections: AtomicUsize,
    accepts: AtomicBool,
}

impl CoreEntry {
    fn load(&self) -> CoreLoad {
        CoreLoad {
            connections: self.connections.load(Ordering::Relaxed),
            accepts: self.accepts.load(Ordering::Relaxed),
        }
    }
}

/// The entries of all cores. Clones share the same table.
#[derive(Clone, Debug)]
pub struct LoadTable {
    entries: Arc<Vec<CoreEntry>>,
    shares: Arc<Vec<f64>>,
}

/// Counts one connection on a core until it is dropped.
#[derive(Debug)]
pub struct ConnectionGuard {
    load_table: LoadTable,
    core: usize,
}

impl LoadTable {
    /// Creates a table without connections. `shares` holds each core's target share of all connections
    /// ([`connection_shares`](crate::connection_shares)).
    pub fn new(shares: Vec<f64>) -> Self {
        let entry = |_| CoreEntry { connections: AtomicUsize::new(0), accepts: AtomicBool::new(true) };
        Self { entries: Arc::new((0..shares.len()).map(entry).collect()), shares: Arc::new(shares) }
    }

    /// Places a connection on the core that is furthest below its share. Concurrent calls may select the same core, since each
    /// counts its connection only after the selection.
    pub fn place(&self) -> ConnectionGuard {
        let loads: Vec<_> = self.entries.iter().map(CoreEntry::load).collect();
        let core = placement::select_core(&self.shares, &loads);
        self.entries[core].connections.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard { load_table: self.clone(), core }
    }

    /// Sets whether a core accepts connections.
    pub fn set_accepting(&self, core: usize, accepts: bool) {
        if let Some(entry) = self.entries.get(core) {
            entry.accepts.store(accepts, Ordering::Relaxed);
        }
    }

    /// Whether a core accepts connections.
    pub fn is_accepting(&self, core: usize) -> bool {
        self.entries.get(core).is_some_and(|entry| entry.accepts.load(Ordering::Relaxed))
    }

    /// The number of connections of a core.
    pub fn connections(&self, core: usize) -> usize {
        self.entries.get(core).map_or(0, |entry| entry.connections.load(Ordering::Relaxed))
    }
}

impl ConnectionGuard {
    /// The core that the connection was placed on.
    pub fn core(&self) -> usize {
        self.core
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.load_table.entries[self.core].connections.fetch_sub(1, Ordering::Relaxed);
    }
}

#[cfg(all(test, not(feature = "loom")))]
mod tests;
