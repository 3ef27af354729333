//! The gateway's Lua scripts, which the test double runs by their digests. Each is reimplemented here in Rust, from the
//! comments in the script.

use super::reply::{array, bulk, error, integer};
use super::store::{Entry, Store, Value};
use bytes::Bytes;

/// A script that the test double supports.
#[derive(Clone, Copy)]
enum Script {
    Claim,
    Write,
    Renew,
    LeaseQuota,
}

/// The scripts: the digest of each, and its first line.
const SCRIPTS: [(Script, &str, &str); 4] = [
    (Script::Claim, "36fa610f0a28cb6e98f5589437415072c276dd5c", "-- reedwalk claim 1\n"),
    (Script::Write, "223f3d5a92fdb9d7d97aab17273355904d535af0", "-- reedwalk write 1\n"),
    (Script::Renew, "5d798f4c6ae70db3c14699f8661aba01019a2b0d", "-- reedwalk renew 1\n"),
    (Script::LeaseQuota, "301b56cdabd99929125fd14190fdb4e30ef1070c", "-- reedwalk lease 1\n"),
];

/// Field of a record that names its stage.
const STAGE: &str = "s";
/// Field of a record that names its holder; empty if it has none.
const HOLDER: &str = "h";
/// Field of a record that contains its value.
const VALUE: &str = "v";
/// Stage of a record that is complete.
const STAGE_DONE: &[u8] = b"d";
/// Stage of a record whose request never ran.
const STAGE_NEVER_RAN: &[u8] = b"n";
/// Stage of a record that is claimed.
const STAGE_CLAIMED: &[u8] = b"c";
/// Stage of a record whose request was sent to an engine.
const STAGE_SENT: &[u8] = b"s";

/// An argument as an unsigned integer.
fn unsigned(word: &[u8]) -> u64 {
    std::str::from_utf8(word).unwrap().parse().unwrap()
}

impl Store {
    /// `SCRIPT LOAD`: returns the digest of a supported script.
    pub(super) fn load_script(&mut self, text: &[u8]) -> Vec<u8> {
        let known = SCRIPTS.iter().find(|(_, _, first_line)| text.starts_with(first_line.as_bytes()));
        let Some((_, digest, _)) = known else {
            return error("ERR not a script that is known here");
        };
        self.loaded_scripts.insert((*digest).to_owned());
        bulk(Some(digest.as_bytes()))
    }

    /// `EVALSHA`: runs a loaded script with `key_count` keys; the other words are its arguments.
    pub(super) fn run_script(&mut self, words: &[Bytes], key_count: Option<i64>, now_ms: u64) -> Vec<u8> {
        let digest = String::from_utf8_lossy(&words[1]).into_owned();
        if !self.loaded_scripts.contains(&digest) {
            return error("NOSCRIPT No matching script. Please use EVAL.");
        }
        let key_count = key_count.unwrap_or_default().clamp(0, words.len() as i64 - 3) as usize;
        let (keys, arguments) = words[3..].split_at(key_count);
        let script = SCRIPTS.iter().find(|(_, known, _)| *known == digest).map(|(script, _, _)| *script);
        match script.expect("only known scripts are loaded") {
            Script::Claim => self.claim(keys, arguments, now_ms),
            Script::Write => self.write(keys, arguments, now_ms),
            Script::Renew => self.renew(keys, arguments, now_ms),
            Script::LeaseQuota => self.lease_quota(keys, arguments),
        }
    }

    /// The entry of a record, which is a hash.
    fn record(&mut self, key: &Bytes) -> Option<&mut Entry> {
        self.contents.get_mut(&key[..]).filter(|entry| matches!(entry.value, Value::Hash(_)))
    }

    fn field(&mut self, key: &Bytes, field: &str) -> Option<Vec<u8>> {
        match &self.record(key)?.value {
            Value::Hash(fields) => fields.get(field.as_bytes()).cloned(),
            Value::Text(_) => None,
        }
    }

    fn put_field(&mut self, key: &Bytes, field: &str, value: &[u8]) {
        if let Some(Entry { value: Value::Hash(fields), .. }) = self.record(key) {
            fields.insert(field.into(), value.into());
        }
    }

    fn set_record_expiry(&mut self, key: &Bytes, expires_ms: u64) {
        if let Some(entry) = self.record(key) {
            entry.expires_ms = Some(expires_ms);
        }
    }

    /// Claims a record that has no current holder. Keys: the record, its lease, a heartbeat counter. Arguments: the
    /// holder, the lease and the lifetime in milliseconds, the lifetime of a record that was sent, the stage of a new record.
    fn claim(&mut self, keys: &[Bytes], arguments: &[Bytes], now_ms: u64) -> Vec<u8> {
        let [stage, holder, value] = [STAGE, HOLDER, VALUE].map(|field| self.field(&keys[0], field));
        let lease_expires_ms = self.contents.get(&keys[1][..]).and_then(|entry| entry.expires_ms);
        let lease_ms = lease_expires_ms.map_or(0, |expires_ms| expires_ms - now_ms);
        let heartbeat = match self.value(&keys[2]) {
            Some(Value::Text(count)) => Some(count.clone()),
            _ => None,
        };
        let is_held = holder.is_some_and(|holder| !holder.is_empty()) && lease_ms > 0;
        let is_free = stage.as_deref() != Some(STAGE_DONE) && !is_held;
        if is_free {
            self.hold(stage.as_deref(), keys, arguments, now_ms);
        }
        let (claimed, remaining_ms) = if is_free { (1, 0) } else { (0, lease_ms as i64) };
        let mut reply = vec![integer(claimed), integer(remaining_ms)];
        reply.extend([stage, value, heartbeat].map(|found| bulk(found.as_deref())));
        array(reply)
    }

    /// Sets the holder of a record whose previous stage is `stage`, and acquires its lease.
    fn hold(&mut self, stage: Option<&[u8]>, keys: &[Bytes], arguments: &[Bytes], now_ms: u64) {
        let next_stage = match stage {
            None => arguments[4].to_vec(),
            Some(STAGE_NEVER_RAN) => STAGE_CLAIMED.to_vec(),
            Some(stage) => stage.to_vec(),
        };
        self.contents.entry(keys[0].to_vec()).or_insert_with(Entry::empty_hash);
        self.put_field(&keys[0], HOLDER, &arguments[0]);
        self.put_field(&keys[0], STAGE, &next_stage);
        let lifetime_ms = unsigned(if next_stage == STAGE_SENT { &arguments[3] } else { &arguments[2] });
        self.set_record_expiry(&keys[0], now_ms + lifetime_ms);
        self.lease(keys, arguments, now_ms);
    }

    /// Acquires or renews the lease, which is the second key. The first two arguments are its holder and duration.
    fn lease(&mut self, keys: &[Bytes], arguments: &[Bytes], now_ms: u64) {
        let expires_ms = now_ms + unsigned(&arguments[1]);
        self.contents.insert(keys[1].to_vec(), Entry::text(arguments[0].to_vec(), Some(expires_ms)));
    }

    /// Writes as the record's holder. Keys: the record, its lease. Arguments: the holder, stage and value (empty if
    /// unchanged), lifetime in milliseconds (0 if unchanged), and `1` to release the record.
    fn write(&mut self, keys: &[Bytes], arguments: &[Bytes], now_ms: u64) -> Vec<u8> {
        if self.field(&keys[0], HOLDER).as_deref() != Some(&arguments[0][..]) {
            return integer(0);
        }
        for (field, value) in [(STAGE, &arguments[1]), (VALUE, &arguments[2])] {
            if !value.is_empty() {
                self.put_field(&keys[0], field, value);
            }
        }
        let lifetime_ms = unsigned(&arguments[3]);
        if lifetime_ms > 0 {
            self.set_record_expiry(&keys[0], now_ms + lifetime_ms);
        }
        if &arguments[4][..] == b"1" {
            self.put_field(&keys[0], HOLDER, b"");
            self.contents.remove(&keys[1][..]);
        }
        integer(1)
    }

    /// Leases up to the requested number of units of a quota. Key: the units that are spent. Arguments: the requested units,
    /// the budget, and the key's expiry in Unix time, in milliseconds.
    fn lease_quota(&mut self, keys: &[Bytes], arguments: &[Bytes]) -> Vec<u8> {
        let spent = match self.value(&keys[0]) {
            Some(Value::Text(text)) => unsigned(text),
            _ => 0,
        };
        let wanted = unsigned(&arguments[0]);
        let remaining = unsigned(&arguments[1]).saturating_sub(spent);
        let granted = wanted.min(remaining);
        if granted > 0 {
            let spent = (spent + granted).to_string();
            let entry = Entry::text(spent, Some(unsigned(&arguments[2])));
            self.contents.insert(keys[0].to_vec(), entry);
        }
        integer(granted as i64)
    }

    /// Renews the lease as the record's holder. Keys: the record, its lease. Arguments: the holder, the lease in
    /// milliseconds.
    fn renew(&mut self, keys: &[Bytes], arguments: &[Bytes], now_ms: u64) -> Vec<u8> {
        let is_holder = self.field(&keys[0], HOLDER).as_deref() == Some(&arguments[0][..]);
        if is_holder {
            self.lease(keys, arguments, now_ms);
        }
        integer(i64::from(is_holder))
    }
}
