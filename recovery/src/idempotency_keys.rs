//! Routing of requests with idempotency keys, based on the keys recorded before and after the restart. A repeat goes
//! to the deduplication group that received the first attempt. A retry with an unknown key is rejected until the
//! windows of all keys that the previous process may have sent have ended: a different group would not recognize the
//! repeat.

use crate::Millis;
use crate::snapshot::{KeyProgress, KeyRecord, MAX_KEYS};
use crate::startup_phases::{AdmissionDecision, StartupPhases};
use crate::trust::{Confidence, Contradictions, Fact, Source, confidence};
use std::collections::{BTreeMap, VecDeque};

/// The deduplication rules for the keys of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyRules {
    /// Whether all engines form one deduplication group.
    pub single_group: bool,
    /// How long engines recognize repeats of a key, counted from its first attempt.
    pub window: Millis,
}

/// The decision for a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyVerdict {
    /// Treat it as a first request.
    First,
    /// Treat it as a repeat of a request that was already sent to a deduplication group.
    Repeat {
        /// The group; 0 if all engines form a single group.
        group: u64,
        /// Upper bound on the time since the first attempt was sent.
        age: Millis,
    },
    /// Reject it and allow a retry from this time on; until then no group is known to be safe.
    NotBefore(Millis),
}

/// The idempotency keys that are inside their windows, bounded to [`MAX_KEYS`].
#[derive(Clone, Debug, Default)]
pub struct KnownKeys {
    records: BTreeMap<u64, KeyRecord>,
    /// Keys in insertion order, oldest first.
    insertion_order: VecDeque<u64>,
    /// The longest deduplication window of any class.
    window: Millis,
}

impl KnownKeys {
    /// Restores the stored keys that are still inside `window`. A key with a timestamp in the future is treated as
    /// sent at `now`, so that a wrong clock can extend a key's window but never cut it short.
    pub fn new(stored: &[KeyRecord], window: Millis, now: Millis) -> Self {
        let mut keys = Self { window, ..Self::default() };
        let mut stored: Vec<_> = stored.iter().copied().filter(KeyRecord::may_have_run).collect();
        stored.sort_unstable_by_key(|record| record.sent);
        for record in stored {
            let contradictions = Contradictions { clock: record.sent > now, ..Contradictions::default() };
            let age = now.saturating_sub(record.sent);
            if confidence(Fact::MayHaveRun, Source::Disk, age, window, contradictions) == Confidence::Full {
                keys.insert(KeyRecord { sent: record.sent.min(now), ..record });
            }
        }
        keys
    }

    fn insert(&mut self, record: KeyRecord) {
        if self.records.insert(record.key, record).is_none() {
            self.insertion_order.push_back(record.key);
        }
        if self.insertion_order.len() > MAX_KEYS
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.records.remove(&oldest);
        }
    }

    fn expire(&mut self, now: Millis) {
        while let Some(oldest) = self.insertion_order.front() {
            if self.records.get(oldest).is_some_and(|record| now <= record.sent + self.window) {
                return;
            }
            let oldest = *oldest;
            self.records.remove(&oldest);
            self.insertion_order.pop_front();
        }
    }

    /// Decides how to handle a request with this key. `is_retry` is set if the client marked the request as a retry.
    pub fn on_request(
        &mut self,
        key: u64,
        rules: KeyRules,
        is_retry: bool,
        phases: &StartupPhases,
        now: Millis,
    ) -> KeyVerdict {
        self.expire(now);
        let known = self.records.get(&key).filter(|record| now <= record.sent + rules.window);
        match (known, rules.single_group) {
            (Some(known), true) => KeyVerdict::Repeat { group: 0, age: now.saturating_sub(known.sent) },
            (Some(KeyRecord { group: Some(group), sent, .. }), false) => {
                KeyVerdict::Repeat { group: *group, age: now.saturating_sub(*sent) }
            }
            (Some(known), false) => KeyVerdict::NotBefore(known.sent + rules.window + 1),
            (None, false) if is_retry => match phases.admits_unknown_retry() {
                AdmissionDecision::Admit => KeyVerdict::First,
                AdmissionDecision::NotBefore(retry_at) => KeyVerdict::NotBefore(retry_at),
            },
            (None, _) => KeyVerdict::First,
        }
    }

    /// Records that an attempt is about to be sent to a group. Returns the record to persist if the key is new.
    pub fn on_send(&mut self, key: u64, group: Option<u64>, now: Millis) -> Option<KeyRecord> {
        self.expire(now);
        // The first attempt determines the group and the start of the window.
        if self.records.contains_key(&key) {
            return None;
        }
        let record = KeyRecord { key, progress: KeyProgress::Sent, group, sent: now };
        self.insert(record);
        Some(record)
    }

    /// The records of all keys that are inside their windows, oldest first.
    pub fn active_keys(&mut self, now: Millis) -> Vec<KeyRecord> {
        self.expire(now);
        self.insertion_order.iter().filter_map(|key| self.records.get(key)).copied().collect()
    }
}

#[cfg(test)]
mod tests;
