//! The file that stores the operators' overrides beyond the process. It is written to a temporary file and renamed; a
//! lock that the kernel releases with its process excludes a second writer.

use crate::lock::Locked;
use reedwalk_operations::{MAX_RECORD_BYTES, OverrideRecordError, Overrides, decode_record, encode_record};
use slog::{Logger, error};
use std::fmt;
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime};
use tokio::time::{Instant, sleep_until};

/// How often a lock that another process holds is tried again.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Why overrides could not be stored.
#[derive(Debug)]
pub enum OverrideFileError {
    /// The other process did not release the lock in time.
    Busy,
    /// An operation on the files failed.
    Io(std::io::Error),
}

impl fmt::Display for OverrideFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Busy => write!(f, "another process holds the lock of the override file"),
            Self::Io(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for OverrideFileError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Busy => None,
            Self::Io(error) => Some(error),
        }
    }
}

impl From<std::io::Error> for OverrideFileError {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

/// Time and size of the file, by which a change is noticed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Stamp {
    modified: SystemTime,
    length: u64,
}

/// What is known of the file since it was last read.
#[derive(Debug, Default)]
struct LastRead {
    stamp: Option<Stamp>,
    /// The file was damaged, and that has been logged.
    error_logged: bool,
}

/// Where the overrides are stored.
#[derive(Debug)]
pub struct OverrideFile {
    path: PathBuf,
    temporary_path: PathBuf,
    lock_path: PathBuf,
    last_read: Mutex<LastRead>,
}

impl OverrideFile {
    /// Files in this folder whose names begin with `stem`.
    pub fn new(folder: &Path, stem: &str) -> Self {
        let file = |end: &str| folder.join(format!("{stem}.{end}"));
        Self {
            path: file("words"),
            temporary_path: file("words-new"),
            lock_path: file("words-lock"),
            last_read: Mutex::default(),
        }
    }

    /// Takes the lock, until `deadline` at the latest.
    ///
    /// # Errors
    /// Where another process holds it for too long, or the lock file can't be created.
    pub async fn lock(&self, deadline: Instant) -> Result<Locked, OverrideFileError> {
        loop {
            match Locked::take(&self.lock_path)? {
                Some(locked) => return Ok(locked),
                None if Instant::now() >= deadline => return Err(OverrideFileError::Busy),
                None => sleep_until(Instant::now() + LOCK_RETRY_INTERVAL).await,
            }
        }
    }

    /// Writes the overrides as a whole or not at all.
    ///
    /// # Errors
    /// Where an operation on the files fails; the old file stays.
    pub fn write(&self, overrides: &Overrides) -> Result<(), OverrideFileError> {
        let mut file = File::create(&self.temporary_path)?;
        file.write_all(&encode_record(overrides))?;
        file.sync_data()?;
        drop(file);
        std::fs::rename(&self.temporary_path, &self.path)?;
        Ok(())
    }

    /// Whether the file has changed since it was last read.
    pub fn has_changed(&self) -> bool {
        self.stamp() != self.last_read().stamp
    }

    /// The stored overrides; none if there is no file. A damaged file is logged once, and counts as none.
    pub fn read(&self, log: &Logger) -> Overrides {
        let stamp = self.stamp();
        match self.load() {
            Ok(overrides) => {
                *self.last_read() = LastRead { stamp, error_logged: false };
                overrides
            }
            Err(error) => {
                let mut last_read = self.last_read();
                let was_logged = std::mem::replace(&mut *last_read, LastRead { stamp, error_logged: true });
                drop(last_read);
                if !was_logged.error_logged {
                    let file = self.path.display().to_string();
                    error!(log, "override file ignored"; "file" => file, "error" => %error);
                }
                Overrides::default()
            }
        }
    }

    fn load(&self) -> Result<Overrides, LoadError> {
        let file = match File::open(&self.path) {
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(Overrides::default()),
            file => file.map_err(LoadError::Io)?,
        };
        let mut bytes = Vec::new();
        file.take(MAX_RECORD_BYTES as u64 + 1).read_to_end(&mut bytes).map_err(LoadError::Io)?;
        decode_record(&bytes).map_err(LoadError::Record)
    }

    fn stamp(&self) -> Option<Stamp> {
        let metadata = std::fs::metadata(&self.path).ok()?;
        Some(Stamp { modified: metadata.modified().ok()?, length: metadata.len() })
    }

    fn last_read(&self) -> MutexGuard<'_, LastRead> {
        self.last_read.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Why the file could not be loaded.
#[derive(Debug)]
enum LoadError {
    Io(std::io::Error),
    Record(OverrideRecordError),
}

impl std::error::Error for LoadError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Io(error) => Some(error),
            Self::Record(error) => Some(error),
        }
    }
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "{error}"),
            Self::Record(error) => write!(f, "{error}"),
        }
    }
}
