//! Files of signing keys.

use super::KeyFile;
use crate::operator::error::OperatorFileError;
use reedwalk_gossip::{KeyTooShort, SigningKey, SigningKeys};
use std::fmt;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

/// Permissions of the group and of others.
const OTHERS_MODE: u32 = 0o077;
const MODE: u32 = 0o777;

/// Why a key file can't be used.
enum KeyFileError {
    Io(std::io::Error),
    /// Others may read or write it; its mode.
    Exposed(u32),
    Short(KeyTooShort),
}

impl fmt::Display for KeyFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "{error}"),
            Self::Exposed(mode) => {
                write!(f, "others may read or write it (mode {mode:03o}); expected 600 or 400")
            }
            Self::Short(error) => write!(f, "{error}"),
        }
    }
}

impl From<std::io::Error> for KeyFileError {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

/// Reads all keys.
pub(super) fn read_keys(files: &[KeyFile]) -> Result<SigningKeys, OperatorFileError> {
    let mut keys = Vec::with_capacity(files.len());
    for KeyFile { path, line } in files {
        let key = read_key(path).map_err(|error| OperatorFileError {
            line: *line,
            what: format!("key {}: {error}", path.display()),
        })?;
        keys.push(key);
    }
    Ok(SigningKeys(keys))
}

/// A key is the whole file but for white space at its end. Nobody else may read it.
fn read_key(path: &Path) -> Result<SigningKey, KeyFileError> {
    let mode = std::fs::metadata(path)?.permissions().mode();
    if mode & OTHERS_MODE != 0 {
        return Err(KeyFileError::Exposed(mode & MODE));
    }
    let bytes = std::fs::read(path)?;
    SigningKey::new(bytes.trim_ascii_end()).map_err(KeyFileError::Short)
}
