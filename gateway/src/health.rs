//! Health state of this process, as the console reports it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

#[derive(Debug, Default)]
struct Flags {
    serving: AtomicBool,
    recovering: AtomicBool,
}

/// Health state of this process, shared by its clones.
#[derive(Clone, Debug, Default)]
pub struct Health(Arc<Flags>);

impl Health {
    /// Sets whether the fronts accept clients.
    pub fn set_serving(&self, serving: bool) {
        self.0.serving.store(serving, Ordering::Release);
    }

    /// Sets whether requests are still rejected because recovery is not complete.
    pub fn set_recovering(&self, recovering: bool) {
        self.0.recovering.store(recovering, Ordering::Release);
    }

    /// Whether the fronts accept clients and recovery admits their requests.
    pub fn is_serving(&self) -> bool {
        self.0.serving.load(Ordering::Acquire) && !self.0.recovering.load(Ordering::Acquire)
    }
}
