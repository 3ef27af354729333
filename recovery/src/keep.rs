//! Records and their logs in a folder: each record is a generation of its own, written beside, synced, renamed, the folder
//! synced; the one before stays until the next. The newest that is sound is taken, with every log that is there: a log
//! is bound to its owner and generation, so it counts also where its record is bad.

use crate::memory::{KeyMemory, Memory};
use crate::record::{self, Owner, RECORD_MOST, Unsound};
use crate::{Millis, log};
use std::fmt;

/// What a folder can do; each call is done, or says why not.
pub trait Files {
    /// Why something could not be done.
    type Error: fmt::Display;
    /// Names of all files.
    ///
    /// # Errors
    /// Where the folder can't be read.
    fn names(&self) -> Result<Vec<String>, Self::Error>;
    /// At most so many bytes of a file, and one more where it has more.
    ///
    /// # Errors
    /// Where it can't be read.
    fn read(&self, name: &str, most: usize) -> Result<Vec<u8>, Self::Error>;
    /// Writes a file anew.
    ///
    /// # Errors
    /// Where that is not done whole; some of it may stand there.
    fn write(&mut self, name: &str, bytes: &[u8]) -> Result<(), Self::Error>;
    /// Writes behind the end of a file.
    ///
    /// # Errors
    /// Where that is not done whole; some of it may stand there.
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), Self::Error>;
    /// Returns once what was written to a file outlives a loss of power.
    ///
    /// # Errors
    /// Where that is not known.
    fn sync(&mut self, name: &str) -> Result<(), Self::Error>;
    /// Gives a file another name, in place of one that has it.
    ///
    /// # Errors
    /// Where that is not done.
    fn rename(&mut self, from: &str, to: &str) -> Result<(), Self::Error>;
    /// Returns once the names in the folder outlive a loss of power.
    ///
    /// # Errors
    /// Where that is not known.
    fn sync_folder(&mut self) -> Result<(), Self::Error>;
    /// Takes a file away.
    ///
    /// # Errors
    /// Where that is not done.
    fn remove(&mut self, name: &str) -> Result<(), Self::Error>;
}

const BESIDE: &str = "beside";

fn record_name(generation: u64) -> String {
    format!("record-{generation}")
}

fn log_name(generation: u64) -> String {
    format!("log-{generation}")
}

fn numbered(names: &[String], kind: &str) -> Vec<u64> {
    let mut found: Vec<_> = names.iter().filter_map(|n| n.strip_prefix(kind)?.parse().ok()).collect();
    found.sort_unstable();
    found
}

/// What was found in a folder.
#[derive(Debug, Default)]
pub struct Found {
    /// All that is sound of it.
    pub memory: Memory,
    /// The record that was taken; none, and only logs count, if those.
    pub generation: Option<u64>,
    /// Files that were not used, and why.
    pub unused: Vec<(String, String)>,
    /// Entries of logs that were taken, and bytes behind the last whole one.
    pub entries: usize,
    /// Bytes behind the last whole entry.
    pub torn: usize,
}

/// Looks through a folder for what a front end of this owner had kept. Nothing that it finds makes it fail.
pub fn look<F: Files>(files: &F, owner: Owner, now: Millis) -> Found {
    let mut found = Found::default();
    let names = files.names().unwrap_or_else(|error| {
        found.unused.push((String::from("."), error.to_string()));
        Vec::new()
    });
    let newest_first = numbered(&names, "record-").into_iter().rev();
    for generation in newest_first {
        let name = record_name(generation);
        let read = files.read(&name, RECORD_MOST).map_err(|e| e.to_string());
        let ours = |bytes: Vec<u8>| {
            let record = record::read(&bytes).and_then(|r| record::ours(r, owner, now));
            // A file under another's name is a copy.
            record.and_then(|r| if r.generation == generation { Ok(r) } else { Err(Unsound::Garbled) })
        };
        match read.and_then(|bytes| ours(bytes).map_err(|e| e.to_string())) {
            Ok(record) => {
                (found.generation, found.memory) = (Some(generation), record.memory);
                break;
            }
            Err(why) => found.unused.push((name, why)),
        }
    }
    // Also those before it: where the folder's sync failed behind a rename, the log before went on beside the record.
    for generation in numbered(&names, "log-") {
        match files.read(&log_name(generation), log::LOG_MOST) {
            Ok(bytes) => {
                let (entries, whole) = log::read(owner, generation, &bytes);
                found.entries += entries.len();
                found.torn += bytes.len() - whole;
                entries.into_iter().for_each(|key| found.memory.add(key));
            }
            Err(error) => found.unused.push((log_name(generation), error.to_string())),
        }
    }
    found.memory = std::mem::take(&mut found.memory).checked();
    found
}

/// Why something was not kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unkept {
    /// The folder says so.
    Files(String),
    /// The log is full, or may be torn: a record is wanted first.
    WantsRecord,
}

impl fmt::Display for Unkept {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Files(error) => write!(f, "{error}"),
            Self::WantsRecord => write!(f, "a record has to be written first"),
        }
    }
}

impl std::error::Error for Unkept {}

/// The one that writes.
#[derive(Clone, Copy, Debug)]
pub struct Keeper {
    owner: Owner,
    /// The record that stands, if this process has written one.
    stands: Option<u64>,
    next: u64,
    /// Bytes in its log.
    logged: usize,
    /// The log may not be whole.
    torn: bool,
}

impl Keeper {
    /// One that writes behind all that is there.
    pub fn new<F: Files>(files: &F, owner: Owner) -> Self {
        let names = files.names().unwrap_or_default();
        let last = ["record-", "log-"].into_iter().filter_map(|kind| numbered(&names, kind).last().copied());
        let next = last.max().map_or(1, |g| g.saturating_add(1));
        Self { owner, stands: None, next, logged: 0, torn: false }
    }

    /// Is it time for a record, whatever the clock says?
    pub fn wants_record(&self) -> bool {
        self.stands.is_none() || self.torn || self.logged >= log::LOG_FULL
    }

    /// Writes a record; the log begins anew.
    ///
    /// # Errors
    /// Where the folder refuses. What stood before stands still, and its log goes on.
    pub fn save<F: Files>(&mut self, files: &mut F, memory: &Memory) -> Result<(), Unkept> {
        // A number is used once, also where its record never came to stand.
        let generation = self.next;
        self.next = self.next.saturating_add(1);
        let said = |e: F::Error| Unkept::Files(e.to_string());
        let (record, log) = (record_name(generation), log_name(generation));
        files.write(BESIDE, &record::write(self.owner, generation, memory)).map_err(said)?;
        files.sync(BESIDE).map_err(said)?;
        // Empty, it needs no sync of its own but that of its name.
        files.write(&log, &[]).map_err(said)?;
        files.rename(BESIDE, &record).map_err(said)?;
        files.sync_folder().map_err(said)?;
        (self.stands, self.logged, self.torn) = (Some(generation), 0, false);
        // The one before stays, should this one turn bad.
        let names = files.names().map_err(said)?;
        let oldest = numbered(&names, "record-").into_iter().rev().nth(1).unwrap_or(generation);
        for (kind, name) in [("record-", record_name as fn(u64) -> String), ("log-", log_name)] {
            for old in numbered(&names, kind).into_iter().filter(|g| *g < oldest) {
                files.remove(&name(old)).map_err(said)?;
            }
        }
        Ok(())
    }

    /// Writes a key down; once this returns it outlives a loss of power.
    ///
    /// # Errors
    /// Where the folder refuses, or a record has to be written first.
    pub fn append<F: Files>(&mut self, files: &mut F, keys: &[KeyMemory]) -> Result<(), Unkept> {
        let generation = self.stands.filter(|_| !self.torn).ok_or(Unkept::WantsRecord)?;
        let bytes: Vec<_> = keys.iter().flat_map(|k| log::entry(self.owner, generation, k)).collect();
        if self.logged + bytes.len() > log::LOG_MOST {
            return Err(Unkept::WantsRecord);
        }
        let name = log_name(generation);
        let done = files.append(&name, &bytes).and_then(|()| files.sync(&name));
        // What comes behind a torn entry is never read.
        self.torn = done.is_err();
        self.logged += bytes.len();
        done.map_err(|e| Unkept::Files(e.to_string()))
    }
}
