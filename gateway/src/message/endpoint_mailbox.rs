//! Passes endpoint updates from the endpoint registry to the broker. The mailbox holds only the latest update of each
//! engine, so its size is bounded by the number of engines and neither side has to wait for the other.

use super::endpoint::EndpointUpdate;
use reedwalk_scheduler::EngineId;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

#[derive(Debug, Default)]
struct Inner {
    updates: Mutex<BTreeMap<EngineId, EndpointUpdate>>,
    notify: Notify,
    discovery_answered: AtomicBool,
}

/// Endpoint updates that the broker has not taken yet. Clones share the updates.
#[derive(Clone, Debug, Default)]
pub struct EndpointMailbox(Arc<Inner>);

impl EndpointMailbox {
    fn updates(&self) -> MutexGuard<'_, BTreeMap<EngineId, EndpointUpdate>> {
        self.0.updates.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds updates. An update of an engine replaces an earlier one that has not been taken yet.
    pub fn put(&self, updates: impl IntoIterator<Item = EndpointUpdate>) {
        let by_engine = updates.into_iter().map(|update| (update.endpoint.entry.engine, update));
        self.updates().extend(by_engine);
        self.0.notify.notify_one();
    }

    /// Removes and returns all updates that were put in since the last call.
    pub fn take(&self) -> Vec<EndpointUpdate> {
        std::mem::take(&mut *self.updates()).into_values().collect()
    }

    /// Records that the name server has answered this process.
    pub fn set_discovery_answered(&self) {
        if !self.0.discovery_answered.swap(true, Ordering::AcqRel) {
            self.0.notify.notify_one();
        }
    }

    /// Whether the name server has answered this process.
    pub fn discovery_answered(&self) -> bool {
        self.0.discovery_answered.load(Ordering::Acquire)
    }

    /// Waits until an update is put in or the name server's first answer is recorded.
    pub async fn changed(&self) {
        self.0.notify.notified().await;
    }
}
