//! An exclusive file lock. The kernel releases it when the process that holds it ends, even after a crash or SIGKILL.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::Error;
use std::path::Path;

/// A file lock that this process holds. Dropping it closes the file, which releases the lock.
#[derive(Debug)]
pub struct FileLock {
    _file: File,
}

impl FileLock {
    /// Locks this file, creating it if it is missing. Returns `None` if another process holds the lock.
    ///
    /// # Errors
    /// The file can't be created or locked.
    pub fn try_acquire(path: &Path) -> Result<Option<Self>, Error> {
        let file = OpenOptions::new().create(true).truncate(false).write(true).open(path)?;
        match file.try_lock() {
            Ok(()) => Ok(Some(Self { _file: file })),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }
}
