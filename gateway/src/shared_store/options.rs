//! Settings of the shared store in the operator's file, except its address.

use std::time::Duration;

/// Options of the shared store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedStoreOptions {
    /// Prefix of all keys.
    pub namespace: String,
    /// Maximum difference between the clocks of gateways.
    pub clocks_differ: Duration,
    /// How long a request waits for one call to the store.
    pub wait: Duration,
    /// Whether idempotency keys are shared too, not only quotas.
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
