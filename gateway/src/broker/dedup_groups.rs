//! Deduplication groups: which engines drop repeated requests of one idempotency key together.

use reedwalk_scheduler::{DeduplicationScope, EngineEntry, EngineId, EngineState};
use std::collections::HashMap;

/// The group of each listed engine. Engines that are removed are forgotten.
#[derive(Default)]
pub(super) struct DeduplicationGroups(HashMap<EngineId, EngineEntry>);

impl DeduplicationGroups {
    /// Applies changed entries of the endpoint list.
    pub(super) fn update(&mut self, entries: &[EngineEntry]) {
        for entry in entries {
            if entry.state == EngineState::Removed {
                self.0.remove(&entry.engine);
            } else {
                self.0.insert(entry.engine, entry.clone());
            }
        }
    }

    /// The group of an engine; `None` where it is in none, or not known.
    pub(super) fn group_of(&self, engine: EngineId, scope: DeduplicationScope) -> Option<u64> {
        self.0.get(&engine).and_then(|entry| scope.group(entry))
    }
}

#[cfg(test)]
mod tests;
