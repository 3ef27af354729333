//! Storage of snapshots and their write-ahead logs in a directory. Each snapshot is a new generation: it is written
//! to a temporary file, synced and renamed, and then the directory is synced. The previous generation is kept as a
//! fallback until the next snapshot. Recovery loads the newest valid snapshot and replays every log in the directory:
//! a log is bound to its owner and generation by its checksums, so it is usable even if its snapshot is damaged.

use crate::snapshot::{KeyRecord, Snapshot};
use crate::snapshot_codec::{self, MAX_SNAPSHOT_BYTES, SnapshotError, SnapshotOwner, StoredSnapshot};
use crate::{Millis, write_ahead_log};
use std::error::Error;
use std::fmt;

/// Access to the directory that holds snapshots and logs.
pub trait SnapshotFiles {
    /// Error of a file operation.
    type Error: Error + 'static;
    /// Lists the names of all files.
    ///
    /// # Errors
    /// If the directory cannot be read.
    fn names(&self) -> Result<Vec<String>, Self::Error>;
    /// Reads at most `max_bytes` of a file, plus one byte if it is longer.
    ///
    /// # Errors
    /// If the file cannot be read.
    fn read(&self, name: &str, max_bytes: usize) -> Result<Vec<u8>, Self::Error>;
    /// Creates a file or replaces its content.
    ///
    /// # Errors
    /// If the write failed; part of the content may have been written.
    fn write(&mut self, name: &str, bytes: &[u8]) -> Result<(), Self::Error>;
    /// Appends to a file.
    ///
    /// # Errors
    /// If the write failed; part of the bytes may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), Self::Error>;
    /// Syncs a file: on return, its content survives a power loss.
    ///
    /// # Errors
    /// If durability is not certain.
    fn sync(&mut self, name: &str) -> Result<(), Self::Error>;
    /// Renames a file, replacing any file with the new name.
    ///
    /// # Errors
    /// If the rename failed.
    fn rename(&mut self, from: &str, to: &str) -> Result<(), Self::Error>;
    /// Syncs the directory: on return, the file names in it survive a power loss.
    ///
    /// # Errors
    /// If durability is not certain.
    fn sync_directory(&mut self) -> Result<(), Self::Error>;
    /// Removes a file.
    ///
    /// # Errors
    /// If the removal failed.
    fn remove(&mut self, name: &str) -> Result<(), Self::Error>;
}

/// Name of the temporary file that a new snapshot is written to.
pub const TEMPORARY_FILE: &str = "beside";
/// Prefix of snapshot file names, followed by the generation.
pub const SNAPSHOT_PREFIX: &str = "record-";
/// Prefix of log file names, followed by the generation.
pub const LOG_PREFIX: &str = "log-";
/// Name of the directory itself in [`UnusedFile::name`].
pub const DIRECTORY: &str = ".";

fn snapshot_name(generation: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{generation}")
}

fn log_name(generation: u64) -> String {
    format!("{LOG_PREFIX}{generation}")
}

/// The generations of the files with this prefix, in ascending order.
fn generations(names: &[String], prefix: &str) -> Vec<u64> {
    let numbers = names.iter().filter_map(|name| name.strip_prefix(prefix)?.parse().ok());
    let mut generations: Vec<_> = numbers.collect();
    generations.sort_unstable();
    generations
}

/// Why recovery did not use a file.
#[derive(Debug, PartialEq, Eq)]
pub enum UnusedReason<E> {
    /// The file could not be read.
    Unreadable(E),
    /// The content is not a valid snapshot of this gateway.
    Invalid(SnapshotError),
}

impl<E: fmt::Display> fmt::Display for UnusedReason<E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(error) => write!(f, "cannot be read: {error}"),
            Self::Invalid(error) => write!(f, "{error}"),
        }
    }
}

impl<E: Error + 'static> Error for UnusedReason<E> {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Unreadable(error) => Some(error),
            Self::Invalid(error) => Some(error),
        }
    }
}

/// A file that recovery did not use.
#[derive(Debug, PartialEq, Eq)]
pub struct UnusedFile<E> {
    /// Name of the file; [`DIRECTORY`] if the directory could not be listed.
    pub name: String,
    /// Why the file was not used.
    pub reason: UnusedReason<E>,
}

/// The state that was recovered from a directory; `E` is the error type of its files.
#[derive(Debug)]
pub struct RecoveredState<E> {
    /// The snapshot, merged with the log entries.
    pub snapshot: Snapshot,
    /// Generation of the snapshot; `None` if there was no valid one and only logs were replayed, if any.
    pub generation: Option<u64>,
    /// Files that were not used, with the reason.
    pub unused: Vec<UnusedFile<E>>,
    /// Number of log entries that were replayed.
    pub replayed_entries: usize,
    /// Total size of what follows the last valid entry in each log, in bytes.
    pub torn_bytes: usize,
}

impl<E> Default for RecoveredState<E> {
    fn default() -> Self {
        Self {
            snapshot: Snapshot::default(),
            generation: None,
            unused: Vec::new(),
            replayed_entries: 0,
            torn_bytes: 0,
        }
    }
}

impl<E> RecoveredState<E> {
    fn add_unused(&mut self, name: String, reason: UnusedReason<E>) {
        self.unused.push(UnusedFile { name, reason });
    }

    fn load_newest_snapshot<F: SnapshotFiles<Error = E>>(
        &mut self,
        files: &F,
        names: &[String],
        owner: SnapshotOwner,
        now: Millis,
    ) {
        for generation in generations(names, SNAPSHOT_PREFIX).into_iter().rev() {
            let name = snapshot_name(generation);
            let bytes = match files.read(&name, MAX_SNAPSHOT_BYTES) {
                Ok(bytes) => bytes,
                Err(error) => {
                    self.add_unused(name, UnusedReason::Unreadable(error));
                    continue;
                }
            };
            match decode_generation(&bytes, generation, owner, now) {
                Ok(stored) => {
                    self.generation = Some(generation);
                    self.snapshot = stored.snapshot;
                    return;
                }
                Err(error) => self.add_unused(name, UnusedReason::Invalid(error)),
            }
        }
    }

    fn replay_log<F: SnapshotFiles<Error = E>>(&mut self, files: &F, generation: u64, owner: SnapshotOwner) {
        let name = log_name(generation);
        match files.read(&name, write_ahead_log::MAX_LOG_BYTES) {
            Ok(bytes) => {
                let replay = write_ahead_log::replay(owner, generation, &bytes);
                self.replayed_entries += replay.entries.len();
                self.torn_bytes += bytes.len() - replay.valid_bytes;
                replay.entries.into_iter().for_each(|entry| self.snapshot.merge_key(entry));
            }
            Err(error) => self.add_unused(name, UnusedReason::Unreadable(error)),
        }
    }
}

/// Decodes a snapshot and checks that it is of the generation in its file name; otherwise the file is a renamed copy.
fn decode_generation(
    bytes: &[u8],
    generation: u64,
    owner: SnapshotOwner,
    now: Millis,
) -> Result<StoredSnapshot, SnapshotError> {
    let stored = snapshot_codec::decode(bytes)?;
    let stored = snapshot_codec::check_owner(stored, owner, now)?;
    if stored.generation == generation { Ok(stored) } else { Err(SnapshotError::Corrupted) }
}

/// Recovers the persisted state of this owner. It never fails: unusable files are skipped and listed in the result.
pub fn recover<F: SnapshotFiles>(files: &F, owner: SnapshotOwner, now: Millis) -> RecoveredState<F::Error> {
    let mut recovered = RecoveredState::default();
    let names = files.names().unwrap_or_else(|error| {
        recovered.add_unused(DIRECTORY.to_owned(), UnusedReason::Unreadable(error));
        Vec::new()
    });
    recovered.load_newest_snapshot(files, &names, owner, now);
    // Replay older logs as well: if syncing the directory failed after a rename, entries still went to the previous log.
    for generation in generations(&names, LOG_PREFIX) {
        recovered.replay_log(files, generation, owner);
    }
    recovered.snapshot = std::mem::take(&mut recovered.snapshot).sanitized();
    recovered
}

/// A file operation of a [`SnapshotStore`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileOperation {
    /// Writing a new snapshot or an empty log.
    Write,
    /// Appending entries to the log.
    Append,
    /// Syncing a file.
    Sync,
    /// Renaming the new snapshot to its final name.
    Rename,
    /// Syncing the directory.
    SyncDirectory,
    /// Listing and removing files of older generations.
    RemoveOld,
}

impl fmt::Display for FileOperation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Write => "write a file",
            Self::Append => "append to the log",
            Self::Sync => "sync a file",
            Self::Rename => "rename the new snapshot",
            Self::SyncDirectory => "sync the directory",
            Self::RemoveOld => "remove old files",
        })
    }
}

/// Why a write to the store failed; `E` is the error type of the files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotStoreError<E> {
    /// A file operation failed.
    Files {
        /// The operation.
        operation: FileOperation,
        /// The error that it returned.
        source: E,
    },
    /// There is no log yet, or it is full or may be torn: a snapshot must be written first.
    NeedsSnapshot,
}

impl<E> SnapshotStoreError<E> {
    /// Returns a function that wraps an error of this operation.
    fn in_operation(operation: FileOperation) -> impl Fn(E) -> Self {
        move |source| Self::Files { operation, source }
    }
}

impl<E: fmt::Display> fmt::Display for SnapshotStoreError<E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Files { operation, source } => write!(f, "cannot {operation}: {source}"),
            Self::NeedsSnapshot => {
                write!(f, "the log is missing, full or torn: a snapshot must be written first")
            }
        }
    }
}

impl<E: Error + 'static> Error for SnapshotStoreError<E> {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Files { source, .. } => Some(source),
            Self::NeedsSnapshot => None,
        }
    }
}

/// Writes the snapshots and logs of this process.
#[derive(Clone, Copy, Debug)]
pub struct SnapshotStore {
    owner: SnapshotOwner,
    /// Generation of the latest snapshot that this process has written completely, if any.
    current_generation: Option<u64>,
    next_generation: u64,
    /// Size of the current log in bytes.
    logged_bytes: usize,
    /// Whether the last append failed, so that the log may end in a torn entry.
    may_be_torn: bool,
}

impl SnapshotStore {
    /// Creates a store whose generations follow all those in the directory.
    pub fn new<F: SnapshotFiles>(files: &F, owner: SnapshotOwner) -> Self {
        let names = files.names().unwrap_or_default();
        let last = [SNAPSHOT_PREFIX, LOG_PREFIX].map(|prefix| generations(&names, prefix).last().copied());
        let next_generation =
            last.into_iter().flatten().max().map_or(1, |generation| generation.saturating_add(1));
        Self { owner, current_generation: None, next_generation, logged_bytes: 0, may_be_torn: false }
    }

    /// Whether a snapshot is due: required before the next entry, or because the log is half full.
    pub fn needs_snapshot(&self) -> bool {
        self.current_generation.is_none()
            || self.may_be_torn
            || self.logged_bytes >= write_ahead_log::SNAPSHOT_DUE_LOG_BYTES
    }

    /// Writes a snapshot and starts an empty log.
    ///
    /// # Errors
    /// If a file operation failed. Unless that was the removal of old files, the previous snapshot and its log stay in
    /// use.
    pub fn save<F: SnapshotFiles>(
        &mut self,
        files: &mut F,
        snapshot: &Snapshot,
    ) -> Result<(), SnapshotStoreError<F::Error>> {
        // A generation number is never reused, even if writing its snapshot fails.
        let generation = self.next_generation;
        self.next_generation = self.next_generation.saturating_add(1);
        let error_in = SnapshotStoreError::in_operation;
        let bytes = snapshot_codec::encode(self.owner, generation, snapshot);
        files.write(TEMPORARY_FILE, &bytes).map_err(error_in(FileOperation::Write))?;
        files.sync(TEMPORARY_FILE).map_err(error_in(FileOperation::Sync))?;
        // The log is empty, so only its name must be durable: syncing the directory is enough.
        files.write(&log_name(generation), &[]).map_err(error_in(FileOperation::Write))?;
        files.rename(TEMPORARY_FILE, &snapshot_name(generation)).map_err(error_in(FileOperation::Rename))?;
        files.sync_directory().map_err(error_in(FileOperation::SyncDirectory))?;
        self.current_generation = Some(generation);
        self.logged_bytes = 0;
        self.may_be_torn = false;
        Self::remove_old(files, generation).map_err(error_in(FileOperation::RemoveOld))
    }

    /// Removes all files except those of the current generation and of the one before, the fallback if this one is
    /// damaged.
    fn remove_old<F: SnapshotFiles>(files: &mut F, current: u64) -> Result<(), F::Error> {
        let names = files.names()?;
        let oldest = generations(&names, SNAPSHOT_PREFIX).into_iter().rev().nth(1).unwrap_or(current);
        for prefix in [SNAPSHOT_PREFIX, LOG_PREFIX] {
            for old in generations(&names, prefix).into_iter().filter(|generation| *generation < oldest) {
                files.remove(&format!("{prefix}{old}"))?;
            }
        }
        Ok(())
    }

    /// Appends keys to the log and syncs it: on success, they survive a power loss.
    ///
    /// # Errors
    /// If a file operation failed, or if a snapshot must be written first.
    pub fn append<F: SnapshotFiles>(
        &mut self,
        files: &mut F,
        keys: &[KeyRecord],
    ) -> Result<(), SnapshotStoreError<F::Error>> {
        let current = self.current_generation.filter(|_| !self.may_be_torn);
        let generation = current.ok_or(SnapshotStoreError::NeedsSnapshot)?;
        let entries = keys.iter().flat_map(|key| write_ahead_log::encode_entry(self.owner, generation, key));
        let bytes: Vec<_> = entries.collect();
        if self.logged_bytes + bytes.len() > write_ahead_log::MAX_LOG_BYTES {
            return Err(SnapshotStoreError::NeedsSnapshot);
        }
        let name = log_name(generation);
        let appended = Self::append_synced(files, &name, &bytes);
        // Replay stops at a torn entry, so nothing may be appended after one.
        self.may_be_torn = appended.is_err();
        self.logged_bytes += bytes.len();
        appended
    }

    fn append_synced<F: SnapshotFiles>(
        files: &mut F,
        name: &str,
        bytes: &[u8],
    ) -> Result<(), SnapshotStoreError<F::Error>> {
        files.append(name, bytes).map_err(SnapshotStoreError::in_operation(FileOperation::Append))?;
        files.sync(name).map_err(SnapshotStoreError::in_operation(FileOperation::Sync))
    }
}
