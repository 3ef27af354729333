//! The commands of the test double: the change that each makes to the stored keys, and its reply.

use super::reply::{NOT_AN_INTEGER, OK, WRONG_TYPE, array, bulk, error, integer};
use super::store::{Entry, Store, Value, unix_ms};
use bytes::Bytes;

/// An argument as an integer.
fn integer_argument(words: &[Bytes], index: usize) -> Option<i64> {
    std::str::from_utf8(words.get(index)?).ok()?.parse().ok()
}

impl Store {
    /// Executes one command and returns its reply.
    pub(super) fn execute(&mut self, words: &[Bytes]) -> Vec<u8> {
        let now_ms = unix_ms();
        self.expire(now_ms);
        let name = String::from_utf8_lossy(&words[0]).to_uppercase();
        let key = words.get(1).map(|key| key.to_vec()).unwrap_or_default();
        let argument = |index| integer_argument(words, index);
        match (name.as_str(), words.len()) {
            ("PING", 1) => b"+PONG\r\n".to_vec(),
            ("SELECT" | "AUTH" | "CLIENT", _) => OK.into(),
            ("GET", 2) => self.get(&key),
            ("SET", 3..) => self.set(key, words, now_ms),
            ("DEL", 2..) => self.delete(&words[1..]),
            ("EXISTS", 2) => integer(i64::from(self.contents.contains_key(&key))),
            ("INCRBY", 3) => self.add(key, argument(2)),
            ("DECRBY", 3) => self.add(key, argument(2).map(|amount| -amount)),
            ("PEXPIRE", 3) => self.set_expiry(&key, argument(2).map(|ttl_ms| now_ms as i64 + ttl_ms)),
            ("PEXPIREAT", 3) => self.set_expiry(&key, argument(2)),
            ("PTTL", 2) => self.remaining_ttl(&key, now_ms),
            ("HSET", 4..) if words.len().is_multiple_of(2) => self.set_fields(key, &words[2..]),
            ("HGET", 3) => self.get_field(&key, &words[2]),
            ("HGETALL", 2) => self.get_fields(&key),
            ("SCRIPT", 3) => self.load_script(&words[2]),
            ("EVALSHA", 3..) => self.run_script(words, integer_argument(words, 2), now_ms),
            _ => error(&format!("ERR unknown command or wrong number of arguments for '{name}'")),
        }
    }

    fn get(&self, key: &[u8]) -> Vec<u8> {
        match self.value(key) {
            Some(Value::Hash(_)) => WRONG_TYPE.into(),
            Some(Value::Text(text)) => bulk(Some(text)),
            None => bulk(None),
        }
    }

    /// SET with NX or XX, and PX or PXAT.
    fn set(&mut self, key: Vec<u8>, words: &[Bytes], now_ms: u64) -> Vec<u8> {
        let mut expires_ms = None;
        let mut is_allowed = true;
        let mut options = words[3..].iter();
        while let Some(option) = options.next() {
            let mut time = || std::str::from_utf8(options.next()?).ok()?.parse::<u64>().ok();
            match &option.to_ascii_uppercase()[..] {
                b"NX" => is_allowed = !self.contents.contains_key(&key),
                b"XX" => is_allowed = self.contents.contains_key(&key),
                b"PX" => expires_ms = time().map(|ttl_ms| now_ms + ttl_ms),
                b"PXAT" => expires_ms = time(),
                _ => return error("ERR syntax error"),
            }
        }
        if !is_allowed {
            return bulk(None);
        }
        self.contents.insert(key, Entry::text(words[2].to_vec(), expires_ms));
        OK.into()
    }

    fn delete(&mut self, keys: &[Bytes]) -> Vec<u8> {
        let removed = keys.iter().filter(|key| self.contents.remove(&key[..]).is_some()).count();
        integer(removed as i64)
    }

    fn add(&mut self, key: Vec<u8>, amount: Option<i64>) -> Vec<u8> {
        let Some(amount) = amount else { return NOT_AN_INTEGER.into() };
        let entry = self.contents.entry(key).or_insert_with(|| Entry::text("0", None));
        let Value::Text(text) = &mut entry.value else { return WRONG_TYPE.into() };
        let before = std::str::from_utf8(text).ok().and_then(|text| text.parse::<i64>().ok());
        let Some(sum) = before.and_then(|before| before.checked_add(amount)) else {
            return NOT_AN_INTEGER.into();
        };
        *text = sum.to_string().into_bytes();
        integer(sum)
    }

    fn set_expiry(&mut self, key: &[u8], expires_ms: Option<i64>) -> Vec<u8> {
        let Some(expires_ms) = expires_ms else { return NOT_AN_INTEGER.into() };
        let Some(entry) = self.contents.get_mut(key) else { return integer(0) };
        entry.expires_ms = Some(expires_ms.max(0) as u64);
        integer(1)
    }

    /// `PTTL`: -2 if the key does not exist, -1 if it has no expiry.
    fn remaining_ttl(&self, key: &[u8], now_ms: u64) -> Vec<u8> {
        integer(match self.contents.get(key) {
            None => -2,
            Some(entry) => entry.expires_ms.map_or(-1, |expires_ms| (expires_ms - now_ms) as i64),
        })
    }

    fn set_fields(&mut self, key: Vec<u8>, pairs: &[Bytes]) -> Vec<u8> {
        let entry = self.contents.entry(key).or_insert_with(Entry::empty_hash);
        let Value::Hash(fields) = &mut entry.value else { return WRONG_TYPE.into() };
        let mut added = 0;
        for pair in pairs.chunks(2) {
            added += i64::from(fields.insert(pair[0].to_vec(), pair[1].to_vec()).is_none());
        }
        integer(added)
    }

    fn get_field(&self, key: &[u8], field: &[u8]) -> Vec<u8> {
        match self.value(key) {
            Some(Value::Text(_)) => WRONG_TYPE.into(),
            Some(Value::Hash(fields)) => bulk(fields.get(field).map(Vec::as_slice)),
            None => bulk(None),
        }
    }

    fn get_fields(&self, key: &[u8]) -> Vec<u8> {
        match self.value(key) {
            Some(Value::Text(_)) => WRONG_TYPE.into(),
            Some(Value::Hash(fields)) => {
                let pairs = fields.iter().flat_map(|(field, value)| [field, value]);
                array(pairs.map(|item| bulk(Some(item))).collect())
            }
            None => array(Vec::new()),
        }
    }
}
