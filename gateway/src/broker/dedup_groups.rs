//! Deduplication groups: sets of engines that detect repeated requests with the same idempotency key together.

use reedwalk_scheduler::{DeduplicationScope, EngineEntry, EngineId, EngineState};
use std::collections::HashMap;

/// The endpoint list's entries by engine, from which the groups follow. Removed engines are dropped.
#[derive(Default)]
pub(super) struct DeduplicationGroups(HashMap<EngineId, EngineEntry>);

impl DeduplicationGroups {
    /// Applies changes of the endpoint list.
    pub(super) fn update(&mut self, entries: &[EngineEntry]) {
        for entry in entries {
            if entry.state == EngineState::Removed {
                self.0.remove(&entry.engine);
            } else {
                self.0.insert(entry.engine, entry.clone());
            }
        }
    }

    /// Returns an engine's group; `None` if it is in no group or not listed.
    pub(super) fn group_of(&self, engine: EngineId, scope: DeduplicationScope) -> Option<u64> {
        self.0.get(&engine).and_then(|entry| scope.group(entry))
    }
}

#[cfg(test)]
mod tests;
