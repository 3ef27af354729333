//! The commands of the double: what each does to the contents, and its reply.

use super::scripts::SCRIPTS;
use super::{Entry, State, Value, unix_ms};
use bytes::Bytes;
use std::collections::BTreeMap;

pub(super) const WRONG_TYPE: &str = "-WRONGTYPE Operation against a key holding the wrong kind of value\r\n";
const NO_NUMBER: &str = "-ERR value is not an integer or out of range\r\n";

/// A bulk string, or the null reply.
pub(super) fn bulk(value: Option<&[u8]>) -> Vec<u8> {
    match value {
        None => b"$-1\r\n".to_vec(),
        Some(v) => [format!("${}\r\n", v.len()).as_bytes(), v, b"\r\n"].concat(),
    }
}

/// An integer reply.
pub(super) fn number(value: i64) -> Vec<u8> {
    format!(":{value}\r\n").into_bytes()
}

/// An array of replies.
pub(super) fn array(items: Vec<Vec<u8>>) -> Vec<u8> {
    [format!("*{}\r\n", items.len()).into_bytes(), items.concat()].concat()
}

/// An argument as a whole number.
fn whole(words: &[Bytes], index: usize) -> Option<i64> {
    std::str::from_utf8(words.get(index)?).ok()?.parse().ok()
}

impl State {
    /// Applies one command and returns its reply.
    pub(super) fn run(&mut self, words: &[Bytes]) -> Vec<u8> {
        let now = unix_ms();
        self.contents.retain(|_, entry| entry.expires_ms.is_none_or(|at| at > now));
        let name = String::from_utf8_lossy(&words[0]).to_uppercase();
        let key = words.get(1).map(|key| key.to_vec()).unwrap_or_default();
        match (name.as_str(), words.len()) {
            ("PING", 1) => b"+PONG\r\n".to_vec(),
            ("SELECT" | "AUTH" | "CLIENT", _) => b"+OK\r\n".to_vec(),
            ("GET", 2) => self.get(&key),
            ("SET", 3..) => self.set(key, words, now),
            ("DEL", 2..) => {
                let removed = words[1..].iter().filter(|key| self.contents.remove(&key[..]).is_some());
                number(removed.count() as i64)
            }
            ("EXISTS", 2) => number(i64::from(self.contents.contains_key(&key))),
            ("INCRBY", 3) => self.add(key, whole(words, 2)),
            ("DECRBY", 3) => self.add(key, whole(words, 2).map(|amount| -amount)),
            ("PEXPIRE", 3) => self.expire_at(&key, whole(words, 2).map(|after| now as i64 + after)),
            ("PEXPIREAT", 3) => self.expire_at(&key, whole(words, 2)),
            ("PTTL", 2) => number(match self.contents.get(&key) {
                None => -2,
                Some(entry) => entry.expires_ms.map_or(-1, |at| (at - now) as i64),
            }),
            ("HSET", 4..) if words.len().is_multiple_of(2) => self.set_fields(key, &words[2..]),
            ("HGET", 3) => self.get_field(&key, &words[2]),
            ("HGETALL", 2) => self.get_fields(&key),
            ("SCRIPT", 3) => self.load_script(&words[2]),
            ("EVALSHA", 3..) => self.run_script(words, now),
            _ => format!("-ERR unknown command or wrong number of arguments for '{name}'\r\n").into_bytes(),
        }
    }

    fn get(&self, key: &[u8]) -> Vec<u8> {
        match self.contents.get(key).map(|entry| &entry.value) {
            Some(Value::Hash(_)) => WRONG_TYPE.into(),
            Some(Value::Text(text)) => bulk(Some(text)),
            None => bulk(None),
        }
    }

    fn add(&mut self, key: Vec<u8>, amount: Option<i64>) -> Vec<u8> {
        let Some(amount) = amount else { return NO_NUMBER.into() };
        let zero = || Entry { value: Value::Text(b"0".to_vec()), expires_ms: None };
        let Value::Text(text) = &mut self.contents.entry(key).or_insert_with(zero).value else {
            return WRONG_TYPE.into();
        };
        let before = std::str::from_utf8(text).ok().and_then(|text| text.parse::<i64>().ok());
        let Some(sum) = before.and_then(|before| before.checked_add(amount)) else { return NO_NUMBER.into() };
        *text = sum.to_string().into_bytes();
        number(sum)
    }

    fn expire_at(&mut self, key: &[u8], at_ms: Option<i64>) -> Vec<u8> {
        let Some(at_ms) = at_ms else { return NO_NUMBER.into() };
        let Some(entry) = self.contents.get_mut(key) else { return number(0) };
        entry.expires_ms = Some(at_ms.max(0) as u64);
        number(1)
    }

    fn set_fields(&mut self, key: Vec<u8>, pairs: &[Bytes]) -> Vec<u8> {
        let empty = || Entry { value: Value::Hash(BTreeMap::new()), expires_ms: None };
        let Value::Hash(fields) = &mut self.contents.entry(key).or_insert_with(empty).value else {
            return WRONG_TYPE.into();
        };
        let pairs = pairs.chunks(2);
        number(pairs.filter(|p| fields.insert(p[0].to_vec(), p[1].to_vec()).is_none()).count() as i64)
    }

    fn get_field(&self, key: &[u8], field: &[u8]) -> Vec<u8> {
        match self.contents.get(key).map(|entry| &entry.value) {
            Some(Value::Text(_)) => WRONG_TYPE.into(),
            Some(Value::Hash(fields)) => bulk(fields.get(field).map(Vec::as_slice)),
            None => bulk(None),
        }
    }

    fn get_fields(&self, key: &[u8]) -> Vec<u8> {
        match self.contents.get(key).map(|entry| &entry.value) {
            Some(Value::Text(_)) => WRONG_TYPE.into(),
            Some(Value::Hash(fields)) => array(
                fields.iter().flat_map(|(field, value)| [bulk(Some(field)), bulk(Some(value))]).collect(),
            ),
            None => array(Vec::new()),
        }
    }

    fn load_script(&mut self, text: &[u8]) -> Vec<u8> {
        let known = SCRIPTS.iter().find(|(_, first_line)| text.starts_with(first_line.as_bytes()));
        let Some((digest, _)) = known else {
            return "-ERR not a script that is known here\r\n".into();
        };
        self.loaded.insert((*digest).to_owned());
        bulk(Some(digest.as_bytes()))
    }

    fn run_script(&mut self, words: &[Bytes], now: u64) -> Vec<u8> {
        let digest = String::from_utf8_lossy(&words[1]).into_owned();
        if !self.loaded.contains(&digest) {
            return "-NOSCRIPT No matching script. Please use EVAL.\r\n".into();
        }
        let key_count = whole(words, 2).unwrap_or_default().clamp(0, words.len() as i64 - 3) as usize;
        let (keys, args) = words[3..].split_at(key_count);
        match SCRIPTS.iter().position(|script| script.0 == digest) {
            Some(0) => self.claim(keys, args, now),
            Some(1) => self.write(keys, args, now),
            Some(2) => self.renew(keys, args, now),
            _ => self.lease_units(keys, args),
        }
    }

    /// SET with NX or XX, and PX or PXAT.
    fn set(&mut self, key: Vec<u8>, words: &[Bytes], now: u64) -> Vec<u8> {
        let (mut expires_ms, mut may) = (None, true);
        let mut options = words[3..].iter();
        while let Some(option) = options.next() {
            let mut time = || std::str::from_utf8(options.next()?).ok()?.parse::<u64>().ok();
            match &option.to_ascii_uppercase()[..] {
                b"NX" => may = !self.contents.contains_key(&key),
                b"XX" => may = self.contents.contains_key(&key),
                b"PX" => expires_ms = time().map(|t| now + t),
                b"PXAT" => expires_ms = time(),
                _ => return b"-ERR syntax error\r\n".to_vec(),
            }
        }
        if !may {
            return bulk(None);
        }
        self.contents.insert(key, Entry { value: Value::Text(words[2].to_vec()), expires_ms });
        b"+OK\r\n".to_vec()
    }
}
