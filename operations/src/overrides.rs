//! Operators' overrides of the endpoint list. An override applies until operators return the engine to its listed state.
//! Two processes may receive different overrides: for each engine the latest one wins, so the result does not depend on the
//! order of merging.

use crate::Micros;
use std::collections::BTreeMap;
use std::fmt;

/// Maximum number of engines that are taken out, and of returned engines that are kept. It bounds the size of the stored
/// record and the work of a merge.
pub const MAX_OVERRIDES: usize = 256;

/// An operator's override of an engine's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Override {
    /// Returned to service; the engine counts as started at the time of the override.
    Returned,
    /// Taken out: no new attempts are sent to it.
    Out,
}

/// An override and its timestamp.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimedOverride {
    /// When it was made, adjusted to be later than every override that the process knew.
    pub at: Micros,
    /// The override.
    pub value: Override,
}

/// The limit of [`MAX_OVERRIDES`] engines that are taken out is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooManyOverrides;

impl fmt::Display for TooManyOverrides {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{MAX_OVERRIDES} engines are out already")
    }
}

impl std::error::Error for TooManyOverrides {}

/// The latest override of each engine, by the engine's id.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Overrides {
    by_engine: BTreeMap<String, TimedOverride>,
}

impl Overrides {
    /// Whether an engine is taken out.
    pub fn is_out(&self, engine: &str) -> bool {
        self.by_engine.get(engine).is_some_and(|timed| timed.value == Override::Out)
    }

    /// When an engine was returned, if that is its latest override.
    pub fn returned_at(&self, engine: &str) -> Option<Micros> {
        self.by_engine.get(engine).filter(|timed| timed.value == Override::Returned).map(|timed| timed.at)
    }

    /// Whether there is an override of an engine.
    pub fn contains(&self, engine: &str) -> bool {
        self.by_engine.contains_key(engine)
    }

    /// All overrides, ordered by engine id.
    pub fn iter(&self) -> impl Iterator<Item = (&str, TimedOverride)> {
        self.by_engine.iter().map(|(engine, timed)| (engine.as_str(), *timed))
    }

    /// Sets an override. Returns whether the engine's state changed: taking an engine out again has no effect.
    ///
    /// # Errors
    /// If [`MAX_OVERRIDES`] engines are taken out already.
    pub fn set(&mut self, engine: &str, value: Override, now: Micros) -> Result<bool, TooManyOverrides> {
        let is_unchanged = self.is_out(engine) == (value == Override::Out);
        if is_unchanged {
            return Ok(false);
        }
        if value == Override::Out && self.count(Override::Out) >= MAX_OVERRIDES {
            return Err(TooManyOverrides);
        }
        // The clocks of two processes may differ or step back, but a later call needs a later timestamp.
        let latest = self.by_engine.values().map(|timed| timed.at).max().unwrap_or_default();
        let timed = TimedOverride { at: now.max(latest.saturating_add(1)), value };
        self.by_engine.insert(engine.to_owned(), timed);
        self.remove_oldest_returned();
        Ok(true)
    }

    /// Merges the overrides of another process. Returns the engines whose override changed.
    pub fn merge(&mut self, other: &Self) -> Vec<String> {
        let mut changed = Vec::new();
        for (engine, timed) in &other.by_engine {
            if self.by_engine.get(engine).is_none_or(|own| own < timed) {
                self.by_engine.insert(engine.clone(), *timed);
                changed.push(engine.clone());
            }
        }
        self.remove_oldest_returned();
        changed
    }

    /// Inserts a stored override with its original timestamp.
    pub(crate) fn insert(&mut self, engine: String, timed: TimedOverride) {
        self.by_engine.insert(engine, timed);
    }

    fn count(&self, value: Override) -> usize {
        self.by_engine.values().filter(|timed| timed.value == value).count()
    }

    /// Removes the oldest returned engines beyond the limit. Returned engines are kept for merges with the other process and
    /// for the slow start. An engine that is taken out is never removed.
    fn remove_oldest_returned(&mut self) {
        while self.count(Override::Returned) > MAX_OVERRIDES {
            let returned = self.by_engine.iter().filter(|(_, timed)| timed.value == Override::Returned);
            let oldest = returned.min_by_key(|(_, timed)| **timed);
            let Some(engine) = oldest.map(|(engine, _)| engine.clone()) else { return };
            self.by_engine.remove(&engine);
        }
    }
}

#[cfg(test)]
mod tests;
