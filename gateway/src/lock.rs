//! A lock on a file, which the kernel lets go with its process, however that ends.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::Error;
use std::path::Path;

/// Held until it is dropped.
#[derive(Debug)]
pub struct Locked(#[expect(dead_code, reason = "its drop lets go of the lock")] File);

impl Locked {
    /// The lock on this file, made where it is missing; none where another has it.
    ///
    /// # Errors
    /// Where the file can't be made.
    pub fn take(path: &Path) -> Result<Option<Self>, Error> {
        let file = OpenOptions::new().create(true).truncate(false).write(true).open(path)?;
        match file.try_lock() {
            Ok(()) => Ok(Some(Self(file))),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }
}
