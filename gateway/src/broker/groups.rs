//! Which engines there are, for the groups in which they drop each other's repeats. One that is gone is forgotten.

use reedwalk_core::{EngineEntry, EngineId, EngineState, KeyScope};
use std::collections::HashMap;

#[derive(Default)]
pub(super) struct Groups(HashMap<EngineId, EngineEntry>);

impl Groups {
    pub(super) fn take(&mut self, entries: &[EngineEntry]) {
        for entry in entries {
            if entry.state == EngineState::Gone {
                self.0.remove(&entry.engine);
            } else {
                self.0.insert(entry.engine, entry.clone());
            }
        }
    }

    /// The group of an engine; none where it is in none, or not known.
    pub(super) fn of(&self, engine: EngineId, scope: KeyScope) -> Option<u64> {
        self.0.get(&engine).and_then(|e| scope.group(e))
    }
}

#[cfg(test)]
mod tests;
