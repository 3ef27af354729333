//! The scripts of the program, which the double runs by their digests: what they do is written here anew, by the comments
//! in them.

use super::commands::{array, bulk, number};
use super::{Entry, State, Value};
use bytes::Bytes;
use std::collections::BTreeMap;

/// The scripts that it knows, by digest: what they do is written here anew, after what their first line names.
pub(super) const SCRIPTS: [(&str, &str); 4] = [
    ("36fa610f0a28cb6e98f5589437415072c276dd5c", "-- reedwalk claim 1\n"),
    ("223f3d5a92fdb9d7d97aab17273355904d535af0", "-- reedwalk write 1\n"),
    ("5d798f4c6ae70db3c14699f8661aba01019a2b0d", "-- reedwalk renew 1\n"),
    ("301b56cdabd99929125fd14190fdb4e30ef1070c", "-- reedwalk lease 1\n"),
];

fn millis(word: &[u8]) -> u64 {
    std::str::from_utf8(word).unwrap().parse().unwrap()
}

impl State {
    fn fields(&mut self, key: &Bytes) -> Option<&mut Entry> {
        self.contents.get_mut(&key[..]).filter(|e| matches!(e.value, Value::Hash(_)))
    }

    fn field(&mut self, key: &Bytes, field: &str) -> Option<Vec<u8>> {
        match &self.fields(key)?.value {
            Value::Hash(fields) => fields.get(field.as_bytes()).cloned(),
            Value::Text(_) => None,
        }
    }

    fn put(&mut self, key: &Bytes, field: &str, value: &[u8]) {
        if let Some(Entry { value: Value::Hash(fields), .. }) = self.fields(key) {
            fields.insert(field.into(), value.into());
        }
    }

    /// As the program's script says: takes a key that nobody works on.
    pub(super) fn claim(&mut self, keys: &[Bytes], args: &[Bytes], now: u64) -> Vec<u8> {
        let [stage, holder, value] = ["s", "h", "v"].map(|f| self.field(&keys[0], f));
        let lease = self.contents.get(&keys[1][..]).and_then(|e| e.expires_ms).map_or(0, |at| at - now);
        let count = match self.contents.get(&keys[2][..]).map(|e| &e.value) {
            Some(Value::Text(text)) => Some(text.clone()),
            _ => None,
        };
        let free = stage.as_deref() != Some(b"d") && (holder.is_none_or(|h| h.is_empty()) || lease == 0);
        if free {
            let next = match stage.as_deref() {
                None => args[4].to_vec(),
                Some(b"n") => b"c".to_vec(),
                Some(stage) => stage.to_vec(),
            };
            let empty = || Entry { value: Value::Hash(BTreeMap::new()), expires_ms: None };
            self.contents.entry(keys[0].to_vec()).or_insert_with(empty);
            self.put(&keys[0], "h", &args[0]);
            self.put(&keys[0], "s", &next);
            let kept = millis(&args[if next == b"s" { 3 } else { 2 }]);
            self.fields(&keys[0]).into_iter().for_each(|e| e.expires_ms = Some(now + kept));
            self.lease(keys, args, now);
        }
        let (taken, left) = if free { (1, 0) } else { (0, lease as i64) };
        let found = [stage, value, count].map(|v| bulk(v.as_deref()));
        array([vec![number(taken), number(left)], found.to_vec()].concat())
    }

    fn lease(&mut self, keys: &[Bytes], args: &[Bytes], now: u64) {
        let expires_ms = Some(now + millis(&args[1]));
        let entry = Entry { value: Value::Text(args[0].to_vec()), expires_ms };
        self.contents.insert(keys[1].to_vec(), entry);
    }

    /// Writes a stage and a value as the key's holder.
    pub(super) fn write(&mut self, keys: &[Bytes], args: &[Bytes], now: u64) -> Vec<u8> {
        if self.field(&keys[0], "h").as_deref() != Some(&args[0][..]) {
            return number(0);
        }
        for (field, value) in [("s", &args[1]), ("v", &args[2])] {
            if !value.is_empty() {
                self.put(&keys[0], field, value);
            }
        }
        if millis(&args[3]) > 0 {
            let expires_ms = Some(now + millis(&args[3]));
            self.fields(&keys[0]).into_iter().for_each(|e| e.expires_ms = expires_ms);
        }
        if &args[4][..] == b"1" {
            self.put(&keys[0], "h", b"");
            self.contents.remove(&keys[1][..]);
        }
        number(1)
    }

    /// As many of the wanted units as are left.
    pub(super) fn lease_units(&mut self, keys: &[Bytes], args: &[Bytes]) -> Vec<u8> {
        let spent = match self.contents.get(&keys[0][..]).map(|e| &e.value) {
            Some(Value::Text(text)) => millis(text),
            _ => 0,
        };
        let units = millis(&args[0]).min(millis(&args[1]).saturating_sub(spent));
        if units > 0 {
            let (value, expires_ms) =
                (Value::Text((spent + units).to_string().into_bytes()), Some(millis(&args[2])));
            self.contents.insert(keys[0].to_vec(), Entry { value, expires_ms });
        }
        number(units as i64)
    }

    /// Renews the lease as the key's holder.
    pub(super) fn renew(&mut self, keys: &[Bytes], args: &[Bytes], now: u64) -> Vec<u8> {
        let held = self.field(&keys[0], "h").as_deref() == Some(&args[0][..]);
        if held {
            self.lease(keys, args, now);
        }
        number(i64::from(held))
    }
}
