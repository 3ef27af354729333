//! What the owner of the list writes for the broker. Nobody waits for anybody: of an engine the latest holds, so
//! that no more is ever kept here than one entry an engine.

use super::Listed;
use crate::engine::Gate;
use reedwalk_core::EngineId;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::Notify;

#[derive(Debug, Default)]
struct Inner {
    changes: Mutex<BTreeMap<EngineId, (Listed, Gate)>>,
    written: Notify,
    heard: AtomicBool,
}

/// Changes of the list that the broker has not read yet; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Roll(Arc<Inner>);

impl Roll {
    /// Writes down changed entries, each with the gate for what is sent there from here on.
    pub fn write(&self, changes: impl IntoIterator<Item = (Listed, Gate)>) {
        let mut kept = self.0.changes.lock().unwrap_or_else(PoisonError::into_inner);
        kept.extend(changes.into_iter().map(|c| (c.0.entry.engine, c)));
        drop(kept);
        self.0.written.notify_one();
    }

    /// Takes what has been written since the last time.
    pub fn read(&self) -> Vec<(Listed, Gate)> {
        std::mem::take(&mut *self.0.changes.lock().unwrap_or_else(PoisonError::into_inner))
            .into_values()
            .collect()
    }

    /// The name server has answered in this process's life.
    pub fn hear(&self) {
        if !self.0.heard.swap(true, Ordering::AcqRel) {
            self.0.written.notify_one();
        }
    }

    /// Has it?
    pub fn heard(&self) -> bool {
        self.0.heard.load(Ordering::Acquire)
    }

    /// Returns once something has been written.
    pub async fn changed(&self) {
        self.0.written.notified().await;
    }
}
