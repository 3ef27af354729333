//! The file that keeps the operators' overrides across restarts. It is replaced atomically by renaming a temporary
//! file. A lock file, whose lock the kernel releases when its process ends, excludes a second writer.

use crate::lock::FileLock;
use reedwalk_operations::{MAX_RECORD_BYTES, OverrideRecordError, Overrides, decode_record, encode_record};
use slog::{Logger, error};
use std::fmt;
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime};
use tokio::time::{Instant, sleep_until};

/// Interval between attempts to take a lock that another process holds.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Why overrides could not be stored.
#[derive(Debug)]
pub enum OverrideFileError {
    /// Another process held the lock until the deadline.
    Busy,
    /// A file operation failed.
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

/// Modification time and size of the file, used to detect changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileVersion {
    modified: SystemTime,
    length: u64,
}

/// The file as it was last read.
#[derive(Debug, Default)]
struct LastRead {
    version: Option<FileVersion>,
    /// The file could not be loaded, and that has been logged.
    error_logged: bool,
}

/// The override file, with its temporary file and its lock file.
#[derive(Debug)]
pub struct OverrideFile {
    path: PathBuf,
    temporary_path: PathBuf,
    lock_path: PathBuf,
    last_read: Mutex<LastRead>,
}

impl OverrideFile {
    /// Uses files in this folder whose names begin with `stem`.
    pub fn new(folder: &Path, stem: &str) -> Self {
        let file = |extension: &str| folder.join(format!("{stem}.{extension}"));
        Self {
            path: file("words"),
            temporary_path: file("words-new"),
            lock_path: file("words-lock"),
            last_read: Mutex::default(),
        }
    }

    /// Takes the lock; waits for it until `deadline`.
    ///
    /// # Errors
    /// If another process holds the lock until `deadline`, or the lock file can't be created.
    pub async fn lock(&self, deadline: Instant) -> Result<FileLock, OverrideFileError> {
        loop {
            match FileLock::try_acquire(&self.lock_path)? {
                Some(file_lock) => return Ok(file_lock),
                None if Instant::now() >= deadline => return Err(OverrideFileError::Busy),
                None => sleep_until(Instant::now() + LOCK_RETRY_INTERVAL).await,
            }
        }
    }

    /// Replaces the stored overrides atomically.
    ///
    /// # Errors
    /// If a file operation fails; the previous file is kept.
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
        self.version() != self.last_read().version
    }

    /// Reads the stored overrides; a missing file counts as empty. A file that can't be loaded is logged once and also
    /// counts as empty.
    pub fn read(&self, log: &Logger) -> Overrides {
        let version = self.version();
        match self.load() {
            Ok(overrides) => {
                *self.last_read() = LastRead { version, error_logged: false };
                overrides
            }
            Err(error) => {
                let mut last_read = self.last_read();
                let previous = std::mem::replace(&mut *last_read, LastRead { version, error_logged: true });
                drop(last_read);
                if !previous.error_logged {
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

    fn version(&self) -> Option<FileVersion> {
        let metadata = std::fs::metadata(&self.path).ok()?;
        Some(FileVersion { modified: metadata.modified().ok()?, length: metadata.len() })
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
