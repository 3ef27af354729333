//! The settings of the shared store in an operator's file, apart from its address.

use std::time::Duration;

/// Options of the shared store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedStoreOptions {
    /// The first part of all keys.
    pub namespace: String,
    /// By how much the clocks of gateways may differ.
    pub clocks_differ: Duration,
    /// How long a request waits for one answer of the store.
    pub wait: Duration,
    /// Idempotency keys are shared there as well.
    pub share_keys: bool,
}

impl Default for SharedStoreOptions {
    fn default() -> Self {
        Self {
            namespace: "reedwalk".into(),
            clocks_differ: Duration::from_millis(500),
            wait: Duration::from_millis(25),
            share_keys: false,
        }
    }
}
