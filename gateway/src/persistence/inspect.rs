//! The subcommands `reedwalk state show`, `verify` and `forget`.

use super::folder::Folder;
use crate::unix_clock::unix_ms;
use reedwalk_recovery::snapshot_codec::{self, MAX_SNAPSHOT_BYTES, SnapshotError, StoredSnapshot};
use reedwalk_recovery::snapshot_store::SnapshotFiles;
use reedwalk_recovery::snapshot_store::{LOG_PREFIX, SNAPSHOT_PREFIX, TEMPORARY_FILE};
use reedwalk_recovery::write_ahead_log::{self, MAX_LOG_BYTES, Replay};
use std::error::Error;
use std::fmt;
use std::path::{Path, PathBuf};

/// How a folder is inspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckMode {
    /// Lists its contents.
    Show,
    /// Checks that all snapshots can be read.
    Verify,
}

/// Why a folder could not be shown, verified or cleared.
#[derive(Debug)]
pub enum PersistenceError {
    /// The folder could not be read or changed.
    Io(PathBuf, std::io::Error),
    /// At least one snapshot in it can't be read.
    Unreadable(FolderReport),
    /// Another process holds the folder's lock.
    InUse(PathBuf),
}

impl fmt::Display for PersistenceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Unreadable(report) => write!(f, "{report}"),
            Self::InUse(path) => write!(f, "{}: in use by a running gateway; stop it first", path.display()),
        }
    }
}

impl Error for PersistenceError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Io(_, error) => Some(error),
            Self::Unreadable(report) => report.first_error().map(|error| error as &(dyn Error + 'static)),
            Self::InUse(_) => None,
        }
    }
}

/// Why one snapshot can't be read.
#[derive(Debug)]
pub enum SnapshotReadError {
    /// Reading the file failed.
    Io(std::io::Error),
    /// The file is not a snapshot in this format.
    Format(SnapshotError),
}

impl fmt::Display for SnapshotReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "{error}"),
            Self::Format(error) => write!(f, "{error}"),
        }
    }
}

impl Error for SnapshotReadError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Io(error) => Some(error),
            Self::Format(error) => Some(error),
        }
    }
}

/// The contents of a folder; `reedwalk state show` prints its `Display` text.
#[derive(Debug)]
pub struct FolderReport {
    mode: CheckMode,
    snapshots: Vec<SnapshotReport>,
}

/// One snapshot file and its contents.
#[derive(Debug)]
struct SnapshotReport {
    file: String,
    content: Result<SnapshotContent, SnapshotReadError>,
}

/// A readable snapshot and a summary of its log.
#[derive(Debug)]
struct SnapshotContent {
    stored: StoredSnapshot,
    age_s: u64,
    log_keys: usize,
    torn_bytes: usize,
}

impl FolderReport {
    fn first_error(&self) -> Option<&SnapshotReadError> {
        self.snapshots.iter().find_map(|snapshot| snapshot.content.as_ref().err())
    }
}

impl fmt::Display for FolderReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for SnapshotReport { file, content } in &self.snapshots {
            match content {
                Ok(content) => content.write(f, file, self.mode)?,
                Err(error) => writeln!(f, "{file}: UNREADABLE: {error}")?,
            }
        }
        if self.snapshots.is_empty() {
            writeln!(f, "no snapshots")?;
        }
        Ok(())
    }
}

impl SnapshotContent {
    fn write(&self, f: &mut fmt::Formatter<'_>, file: &str, mode: CheckMode) -> fmt::Result {
        let (owner, snapshot) = (self.stored.owner, &self.stored.snapshot);
        writeln!(
            f,
            "{file}: valid, written {} s ago, host {:016x}, gateway {:016x}, settings {:016x}",
            self.age_s, owner.host, owner.gateway, owner.settings
        )?;
        if mode == CheckMode::Show {
            for class in &snapshot.classes {
                writeln!(f, "  class {}: {:.1} ms", class.name, class.exec.0 / 1000.0)?;
            }
            for engine in &snapshot.engines {
                match engine.slowdown {
                    Some(slowdown) => writeln!(f, "  engine {}: {slowdown:.2} times", engine.id)?,
                    None => writeln!(f, "  engine {}: not observed", engine.id)?,
                }
            }
        }
        let (keys, log_keys, torn) = (snapshot.keys.len(), self.log_keys, self.torn_bytes);
        writeln!(f, "  keys: {keys} in the snapshot, {log_keys} in its log, {torn} torn bytes")
    }
}

fn open_existing(path: &Path) -> Result<Folder, PersistenceError> {
    let io_error = |error| PersistenceError::Io(path.to_owned(), error);
    std::fs::read_dir(path).map_err(io_error)?;
    Folder::open(path).map_err(io_error)
}

/// Reads the snapshots in a folder.
///
/// # Errors
/// If the folder can't be read or, with [`CheckMode::Verify`], a snapshot in it can't.
pub fn show(path: &Path, mode: CheckMode) -> Result<FolderReport, PersistenceError> {
    let folder = open_existing(path)?;
    let mut files = folder.names().map_err(|error| PersistenceError::Io(path.to_owned(), error))?;
    files.sort();
    files.retain(|file| file.starts_with(SNAPSHOT_PREFIX));
    let report = |file: String| SnapshotReport { content: read_snapshot(&folder, &file), file };
    let report = FolderReport { mode, snapshots: files.into_iter().map(report).collect() };
    if mode == CheckMode::Verify && report.first_error().is_some() {
        return Err(PersistenceError::Unreadable(report));
    }
    Ok(report)
}

/// Reads one snapshot and summarises its log. A log that can't be read counts as empty.
fn read_snapshot(folder: &Folder, file: &str) -> Result<SnapshotContent, SnapshotReadError> {
    let bytes = folder.read(file, MAX_SNAPSHOT_BYTES).map_err(SnapshotReadError::Io)?;
    let stored = snapshot_codec::decode(&bytes).map_err(SnapshotReadError::Format)?;
    let log_file = file.replacen(SNAPSHOT_PREFIX, LOG_PREFIX, 1);
    let log = folder.read(&log_file, MAX_LOG_BYTES).unwrap_or_default();
    let Replay { entries, valid_bytes } = write_ahead_log::replay(stored.owner, stored.generation, &log);
    Ok(SnapshotContent {
        age_s: unix_ms().saturating_sub(stored.snapshot.written) / 1000,
        log_keys: entries.len(),
        torn_bytes: log.len() - valid_bytes,
        stored,
    })
}

/// Deletes the stored files in a folder. Returns a line for the operator.
///
/// # Errors
/// If another process holds the folder's lock, or a file can't be deleted.
pub fn forget(path: &Path) -> Result<String, PersistenceError> {
    let io_error = |error| PersistenceError::Io(path.to_owned(), error);
    let mut folder = open_existing(path)?;
    let Some(_lock) = folder.lock().map_err(io_error)? else {
        return Err(PersistenceError::InUse(path.to_owned()));
    };
    let is_state_file = |name: &&String| {
        name.starts_with(SNAPSHOT_PREFIX) || name.starts_with(LOG_PREFIX) || *name == TEMPORARY_FILE
    };
    let names = folder.names().map_err(io_error)?;
    let state_files: Vec<_> = names.iter().filter(is_state_file).collect();
    for name in &state_files {
        folder.remove(name).map_err(io_error)?;
    }
    Ok(format!("{} files deleted\n", state_files.len()))
}
