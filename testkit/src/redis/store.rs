//! Storage of the test double: keys with their values and expiry times, and the scripts that were loaded.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{SystemTime, UNIX_EPOCH};

/// The value of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// A string.
    Text(Vec<u8>),
    /// A hash: fields and their values.
    Hash(BTreeMap<Vec<u8>, Vec<u8>>),
}

/// A key's value, and when it expires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The value of the key.
    pub value: Value,
    /// Expiry in Unix time, in milliseconds; `None` if it never expires.
    pub expires_ms: Option<u64>,
}

impl Entry {
    /// A string.
    pub(super) fn text(text: impl Into<Vec<u8>>, expires_ms: Option<u64>) -> Self {
        Self { value: Value::Text(text.into()), expires_ms }
    }

    /// A hash without fields that does not expire.
    pub(super) fn empty_hash() -> Self {
        Self { value: Value::Hash(BTreeMap::new()), expires_ms: None }
    }
}

/// All keys.
pub type Contents = BTreeMap<Vec<u8>, Entry>;

/// The store; its commands are in [`super::commands`], its scripts in [`super::scripts`].
#[derive(Debug, Default)]
pub(super) struct Store {
    pub(super) contents: Contents,
    /// Digests of the scripts that were loaded.
    pub(super) loaded_scripts: BTreeSet<String>,
}

impl Store {
    /// Removes the expired keys.
    pub(super) fn expire(&mut self, now_ms: u64) {
        self.contents.retain(|_, entry| entry.expires_ms.is_none_or(|expires_ms| expires_ms > now_ms));
    }

    /// The value of a key.
    pub(super) fn value(&self, key: &[u8]) -> Option<&Value> {
        self.contents.get(key).map(|entry| &entry.value)
    }
}

/// The current Unix time in milliseconds.
pub(super) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}
