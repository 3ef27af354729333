//! Loading of gossip signing keys from files.

use super::KeyFile;
use crate::operator::error::{KeyFileError, OperatorFileError, OperatorFileErrorKind};
use reedwalk_gossip::{SigningKey, SigningKeys};
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

/// Permission bits for group and others; a key file must have none of them set.
const GROUP_AND_OTHERS_BITS: u32 = 0o077;
/// All permission bits.
const PERMISSION_BITS: u32 = 0o777;

/// Reads the signing keys in the configured order.
pub(super) fn read_keys(files: &[KeyFile]) -> Result<SigningKeys, OperatorFileError> {
    let mut keys = Vec::with_capacity(files.len());
    for KeyFile { path, line } in files {
        let key = read_key(path).map_err(|error| OperatorFileError {
            line: *line,
            kind: OperatorFileErrorKind::KeyFile(path.clone(), error),
        })?;
        keys.push(key);
    }
    Ok(SigningKeys(keys))
}

/// Reads one key: the content of the file without trailing white space. Only the owner may have access to the file.
fn read_key(path: &Path) -> Result<SigningKey, KeyFileError> {
    let mode = std::fs::metadata(path)?.permissions().mode();
    if mode & GROUP_AND_OTHERS_BITS != 0 {
        return Err(KeyFileError::InsecurePermissions(mode & PERMISSION_BITS));
    }
    let bytes = std::fs::read(path)?;
    SigningKey::new(bytes.trim_ascii_end()).map_err(KeyFileError::TooShort)
}
