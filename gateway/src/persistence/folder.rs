//! A folder on the disk, for `reedwalk-recovery`, and the lock that keeps a second process out of it.

use crate::lock::Locked;
use reedwalk_recovery::snapshot_store::SnapshotFiles;
use std::fs::{File, OpenOptions};
use std::io::{Error, Read, Write};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

/// Files of a folder that are listed at most; the gateway writes up to five.
const MAX_FILES: usize = 256;

/// A folder that exists and can be read.
#[derive(Clone, Debug)]
pub struct Folder(PathBuf);

impl Folder {
    /// Opens this folder, which is created if it is missing. Only its owner may read what is in it.
    ///
    /// # Errors
    /// Where it can't be created or read.
    pub fn open(path: &Path) -> Result<Self, Error> {
        std::fs::DirBuilder::new().recursive(true).mode(0o700).create(path)?;
        std::fs::read_dir(path)?;
        Ok(Self(path.to_owned()))
    }

    /// Takes the folder's lock; `None` if another process holds it.
    ///
    /// # Errors
    /// Where the lock file can't be created.
    pub fn lock(&self) -> Result<Option<Locked>, Error> {
        Locked::take(&self.0.join("lock"))
    }

    fn put(&self, name: &str, bytes: &[u8], options: &mut OpenOptions) -> Result<(), Error> {
        options.mode(0o600).open(self.0.join(name))?.write_all(bytes)
    }
}

impl SnapshotFiles for Folder {
    type Error = Error;

    fn names(&self) -> Result<Vec<String>, Error> {
        let names = std::fs::read_dir(&self.0)?.take(MAX_FILES);
        names.map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned())).collect()
    }

    fn read(&self, name: &str, most: usize) -> Result<Vec<u8>, Error> {
        let mut bytes = Vec::new();
        File::open(self.0.join(name))?.take(most as u64 + 1).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> Result<(), Error> {
        self.put(name, bytes, OpenOptions::new().create(true).truncate(true).write(true))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), Error> {
        self.put(name, bytes, OpenOptions::new().append(true))
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
