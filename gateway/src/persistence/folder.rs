//! A folder on disk as the storage of `reedwalk-recovery`, and the lock that excludes a second process.

use crate::lock::FileLock;
use reedwalk_recovery::snapshot_store::SnapshotFiles;
use std::fs::{File, OpenOptions};
use std::io::{Error, Read, Write};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

/// Maximum number of files that are listed in a folder; the gateway writes up to five.
const MAX_LISTED_FILES: usize = 256;

/// A folder that exists and is readable.
#[derive(Clone, Debug)]
pub struct Folder(PathBuf);

impl Folder {
    /// Opens a folder, and creates it if it is missing. Only its owner may read its contents.
    ///
    /// # Errors
    /// If it can't be created or read.
    pub fn open(path: &Path) -> Result<Self, Error> {
        std::fs::DirBuilder::new().recursive(true).mode(0o700).create(path)?;
        std::fs::read_dir(path)?;
        Ok(Self(path.to_owned()))
    }

    /// Takes the folder's lock; `None` if another process holds it.
    ///
    /// # Errors
    /// If the lock file can't be created or locked.
    pub fn lock(&self) -> Result<Option<FileLock>, Error> {
        FileLock::try_acquire(&self.0.join("lock"))
    }

    fn write_with(&self, name: &str, bytes: &[u8], options: &mut OpenOptions) -> Result<(), Error> {
        options.mode(0o600).open(self.0.join(name))?.write_all(bytes)
    }
}

impl SnapshotFiles for Folder {
    type Error = Error;

    fn names(&self) -> Result<Vec<String>, Error> {
        let names = std::fs::read_dir(&self.0)?.take(MAX_LISTED_FILES);
        names.map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned())).collect()
    }

    fn read(&self, name: &str, max_bytes: usize) -> Result<Vec<u8>, Error> {
        let mut bytes = Vec::new();
        File::open(self.0.join(name))?.take(max_bytes as u64 + 1).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> Result<(), Error> {
        self.write_with(name, bytes, OpenOptions::new().create(true).truncate(true).write(true))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), Error> {
        self.write_with(name, bytes, OpenOptions::new().append(true))
    }

    fn sync(&mut self, name: &str) -> Result<(), Error> {
        File::open(self.0.join(name))?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), Error> {
        std::fs::rename(self.0.join(from), self.0.join(to))
    }

    fn sync_directory(&mut self) -> Result<(), Error> {
        File::open(&self.0)?.sync_all()
    }

    fn remove(&mut self, name: &str) -> Result<(), Error> {
        std::fs::remove_file(self.0.join(name))
    }
}
