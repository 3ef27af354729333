//! The file in which the operators' words outlive the process. It is written whole beside and then renamed over; a
//! lock that the kernel lets go with its process keeps two writers apart.

use crate::lock::Locked;
use reedwalk_membership::{BadRecord, Hand, RECORD_MOST, read, write};
use slog::{Logger, error};
use std::fmt;
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, SystemTime};
use tokio::time::{Instant, sleep_until};

/// How often a lock that another holds is tried again.
const TRY_EVERY: Duration = Duration::from_millis(10);

/// Why a word could not be kept.
#[derive(Debug)]
pub enum KeepError {
    /// The other process was not done with the record in time.
    Busy,
    /// The file system refused.
    Io(std::io::Error),
}

impl fmt::Display for KeepError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Busy => write!(f, "another process holds the record"),
            Self::Io(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for KeepError {}

impl From<std::io::Error> for KeepError {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

/// Where the words are kept.
#[derive(Debug)]
pub struct Keep {
    record: PathBuf,
    beside: PathBuf,
    lock: PathBuf,
    /// What the file was when last looked at: its time and size, and whether it was said to be bad.
    seen: Mutex<(Option<(SystemTime, u64)>, bool)>,
}

impl Keep {
    /// Files in this folder whose names begin so.
    pub fn new(folder: &Path, stem: &str) -> Self {
        let file = |end: &str| folder.join(format!("{stem}.{end}"));
        Self {
            record: file("words"),
            beside: file("words-new"),
            lock: file("words-lock"),
            seen: Mutex::default(),
        }
    }

    /// The lock, had by `by` or not at all.
    ///
    /// # Errors
    /// Where another holds it for too long, or it can't be made.
    pub async fn lock(&self, by: Instant) -> Result<Locked, KeepError> {
        loop {
            match Locked::take(&self.lock)? {
                Some(locked) => return Ok(locked),
                None if Instant::now() >= by => return Err(KeepError::Busy),
                None => sleep_until(Instant::now() + TRY_EVERY).await,
            }
        }
    }

    /// Writes the record whole or not at all.
    ///
    /// # Errors
    /// Where the file system refuses; the old record stays.
    pub fn write(&self, hand: &Hand) -> Result<(), KeepError> {
        let mut file = File::create(&self.beside)?;
        file.write_all(&write(hand))?;
        file.sync_data()?;
        drop(file);
        std::fs::rename(&self.beside, &self.record)?;
        Ok(())
    }

    /// Has the file changed since it was last read?
    pub fn changed(&self) -> bool {
        self.stamp() != self.seen().0
    }

    /// The words kept; none where there is no record. What is no record is said once, and counts as none.
    pub fn read(&self, log: &Logger) -> Hand {
        let stamp = self.stamp();
        let bad = match self.load() {
            Ok(hand) => {
                *self.seen() = (stamp, false);
                return hand;
            }
            Err(bad) => bad,
        };
        let said = std::mem::replace(&mut *self.seen(), (stamp, true)).1;
        if !said {
            error!(log, "record of operators' words not used"; "file" => %self.record.display(), "error" => %bad);
        }
        Hand::default()
    }

    fn load(&self) -> Result<Hand, Unread> {
        let file = match File::open(&self.record) {
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(Hand::default()),
            file => file.map_err(Unread::Io)?,
        };
        let mut bytes = Vec::new();
        file.take(RECORD_MOST as u64 + 1).read_to_end(&mut bytes).map_err(Unread::Io)?;
        read(&bytes).map_err(Unread::Bad)
    }

    fn stamp(&self) -> Option<(SystemTime, u64)> {
        let data = std::fs::metadata(&self.record).ok()?;
        Some((data.modified().ok()?, data.len()))
    }

    fn seen(&self) -> std::sync::MutexGuard<'_, (Option<(SystemTime, u64)>, bool)> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

enum Unread {
    Io(std::io::Error),
    Bad(BadRecord),
}

impl fmt::Display for Unread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "{error}"),
            Self::Bad(bad) => write!(f, "{bad}"),
        }
    }
}
