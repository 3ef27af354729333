//! Endpoint updates on their way from the endpoint registry to the broker. The mailbox holds the latest update of each
//! engine, so it is bounded by the number of engines and neither side waits for the other.

use super::endpoint::EndpointUpdate;
use reedwalk_scheduler::EngineId;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

#[derive(Debug, Default)]
struct Inner {
    updates: Mutex<BTreeMap<EngineId, EndpointUpdate>>,
    written: Notify,
    discovery_answered: AtomicBool,
}

/// Endpoint updates that the broker has not read yet; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct EndpointMailbox(Arc<Inner>);

impl EndpointMailbox {
    fn updates(&self) -> MutexGuard<'_, BTreeMap<EngineId, EndpointUpdate>> {
        self.0.updates.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds updates; one of an engine replaces the one before it.
    pub fn write(&self, updates: impl IntoIterator<Item = EndpointUpdate>) {
        let by_engine = updates.into_iter().map(|update| (update.endpoint.entry.engine, update));
        self.updates().extend(by_engine);
        self.0.written.notify_one();
    }

    /// Takes all updates written since the last call.
    pub fn read(&self) -> Vec<EndpointUpdate> {
        std::mem::take(&mut *self.updates()).into_values().collect()
    }

    /// Records that the name server has answered this process.
    pub fn set_discovery_answered(&self) {
        if !self.0.discovery_answered.swap(true, Ordering::AcqRel) {
            self.0.written.notify_one();
        }
    }

    /// Whether the name server has answered this process.
    pub fn discovery_answered(&self) -> bool {
        self.0.discovery_answered.load(Ordering::Acquire)
    }

    /// Returns once something has been written.
    pub async fn changed(&self) {
        self.0.written.notified().await;
    }
}
