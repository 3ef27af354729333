//! The file through which a process gives its endpoint list to the gateway's other processes. It is replaced atomically by
//! renaming a temporary file.

use crate::discovery::list_record::ListRecord;
use std::fs::File;
use std::io::{Error, ErrorKind, Read};
use std::path::Path;
use std::time::SystemTime;

/// Maximum size of a list that is read, in bytes. It is several times that of the largest pool.
const MAX_FILE_BYTES: u64 = 4 << 20;

/// Replaces the file.
///
/// # Errors
/// If the list can't be encoded or a file operation fails; the previous file is kept.
pub fn write(path: &Path, record: &ListRecord) -> Result<(), Error> {
    let temporary_path = path.with_added_extension("new");
    std::fs::write(&temporary_path, serde_json::to_vec(record)?)?;
    std::fs::rename(&temporary_path, path)
}

/// Reads the file.
///
/// # Errors
/// If the file can't be read, is too large, or is not a list.
pub fn read(path: &Path) -> Result<ListRecord, Error> {
    let mut bytes = Vec::new();
    let bytes_read = File::open(path)?.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes)?;
    if bytes_read as u64 > MAX_FILE_BYTES {
        return Err(Error::from(ErrorKind::FileTooLarge));
    }
    Ok(serde_json::from_slice(&bytes)?)
}

/// When the file was last replaced; `None` if there is none.
pub fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).ok()?.modified().ok()
}
