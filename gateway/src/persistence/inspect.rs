//! The sub-commands `reedwalk state show`, `verify` and `forget`.

use super::folder::Folder;
use crate::unix_clock::unix_ms;
use reedwalk_recovery::snapshot_codec::{self, MAX_SNAPSHOT_BYTES, SnapshotError, StoredSnapshot};
use reedwalk_recovery::snapshot_store::SnapshotFiles;
use reedwalk_recovery::snapshot_store::{LOG_PREFIX, SNAPSHOT_PREFIX, TEMPORARY_FILE};
use reedwalk_recovery::write_ahead_log::{self, MAX_LOG_BYTES, Replay};
use std::fmt::{self, Write as _};
use std::path::{Path, PathBuf};

/// How closely a folder is looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckMode {
    /// Lists what it holds.
    Show,
    /// Checks that all of it can be read.
    Verify,
}

/// Why a folder could not be shown, verified or emptied.
#[derive(Debug)]
pub enum PersistenceError {
    /// The folder could not be read or changed.
    Io(PathBuf, std::io::Error),
    /// Something in it can't be read; the text says what.
    Unreadable(String),
    /// Another process writes there.
    InUse(PathBuf),
}

impl fmt::Display for PersistenceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Unreadable(text) => write!(f, "{text}"),
            Self::InUse(path) => write!(f, "{}: a front end writes there; end it first", path.display()),
        }
    }
}

impl std::error::Error for PersistenceError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Io(_, error) => Some(error),
            Self::Unreadable(_) | Self::InUse(_) => None,
        }
    }
}

fn open(path: &Path) -> Result<Folder, PersistenceError> {
    let io_error = |error| PersistenceError::Io(path.to_owned(), error);
    std::fs::read_dir(path).map_err(io_error)?;
    Folder::open(path).map_err(io_error)
}

/// What is stored in a folder, as text.
///
/// # Errors
/// Where the folder can't be read, or on [`CheckMode::Verify`] where something in it can't.
pub fn show(path: &Path, mode: CheckMode) -> Result<String, PersistenceError> {
    let folder = open(path)?;
    let mut names = folder.names().map_err(|error| PersistenceError::Io(path.to_owned(), error))?;
    names.sort();
    let (mut text, mut all_readable) = (String::new(), true);
    for name in names.iter().filter(|name| name.starts_with(SNAPSHOT_PREFIX)) {
        match read_snapshot(&folder, name) {
            Ok(stored) => text.push_str(&describe(&folder, name, &stored, mode)),
            Err(reason) => {
                all_readable = false;
                let _ = writeln!(text, "{name}: NOT SOUND: {reason}");
            }
        }
    }
    if text.is_empty() {
        text.push_str("no record\n");
    }
    if mode == CheckMode::Verify && !all_readable {
        return Err(PersistenceError::Unreadable(text));
    }
    Ok(text)
}

/// Why one snapshot can't be read.
enum ReadError {
    Io(std::io::Error),
    Snapshot(SnapshotError),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "{error}"),
            Self::Snapshot(error) => write!(f, "{error}"),
        }
    }
}

fn read_snapshot(folder: &Folder, name: &str) -> Result<StoredSnapshot, ReadError> {
    let bytes = folder.read(name, MAX_SNAPSHOT_BYTES).map_err(ReadError::Io)?;
    snapshot_codec::decode(&bytes).map_err(ReadError::Snapshot)
}

fn describe(folder: &Folder, name: &str, stored: &StoredSnapshot, mode: CheckMode) -> String {
    let (owner, snapshot) = (stored.owner, &stored.snapshot);
    let age = unix_ms().saturating_sub(snapshot.written) / 1000;
    let mut text = format!(
        "{name}: sound, written {age} s ago, host {:016x}, front end {:016x}, settings {:016x}\n",
        owner.host, owner.gateway, owner.settings
    );
    if mode == CheckMode::Show {
        for class in &snapshot.classes {
            let _ = writeln!(text, "  class {}: {:.1} ms", class.name, class.exec.0 / 1000.0);
        }
        for engine in &snapshot.engines {
            let slowdown =
                engine.slowdown.map_or("not seen".into(), |slowdown| format!("{slowdown:.2} times"));
            let _ = writeln!(text, "  engine {}: {slowdown}", engine.id);
        }
    }
    let log_name = name.replacen(SNAPSHOT_PREFIX, LOG_PREFIX, 1);
    let bytes = folder.read(&log_name, MAX_LOG_BYTES).unwrap_or_default();
    let Replay { entries, whole_bytes: readable } = write_ahead_log::replay(owner, stored.generation, &bytes);
    let (keys, logged, torn) = (snapshot.keys.len(), entries.len(), bytes.len() - readable);
    let _ = writeln!(text, "  keys: {keys} in the record, {logged} in its log, {torn} bytes torn");
    text
}

/// Deletes everything that is stored in a folder. Returns a line that says so.
///
/// # Errors
/// Where another process writes there, or the folder refuses.
pub fn forget(path: &Path) -> Result<String, PersistenceError> {
    let io_error = |error| PersistenceError::Io(path.to_owned(), error);
    let mut folder = open(path)?;
    let Some(_locked) = folder.lock().map_err(io_error)? else {
        return Err(PersistenceError::InUse(path.to_owned()));
    };
    let is_ours = |name: &&String| {
        name.starts_with(SNAPSHOT_PREFIX) || name.starts_with(LOG_PREFIX) || *name == TEMPORARY_FILE
    };
    let names = folder.names().map_err(io_error)?;
    let ours: Vec<_> = names.iter().filter(is_ours).collect();
    for name in &ours {
        folder.remove(name).map_err(io_error)?;
    }
    Ok(format!("{} files forgotten\n", ours.len()))
}
