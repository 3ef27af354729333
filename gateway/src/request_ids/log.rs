//! The file of one process: a random number of this log, then a record of 16 bytes for each claim and release. A log is
//! replaced as a whole by renaming a temporary file, which the readers see by its number.

use super::TraceId;
use std::collections::HashSet;
use std::fs::File;
use std::io::{Error, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Length of the log's number at the start of the file.
const HEADER_BYTES: u64 = 8;
/// Length of a record: the id and the kind of the record.
const RECORD_BYTES: usize = 16;
/// Kinds of records.
const CLAIM: u64 = 1;
const RELEASE: u64 = 2;

fn encode(id: TraceId, kind: u64) -> [u8; RECORD_BYTES] {
    let mut record = [0; RECORD_BYTES];
    let (first, second) = record.split_at_mut(RECORD_BYTES / 2);
    first.copy_from_slice(&id.0.to_le_bytes());
    second.copy_from_slice(&kind.to_le_bytes());
    record
}

fn decode(record: &[u8]) -> Option<(TraceId, u64)> {
    let (id, kind) = record.split_first_chunk::<8>()?;
    Some((TraceId(u64::from_le_bytes(*id)), u64::from_le_bytes(*kind.first_chunk()?)))
}

/// The log of this process.
#[derive(Debug)]
pub(super) struct OwnLog(File);

impl OwnLog {
    /// Replaces the log with one that holds claims of these ids.
    pub(super) fn create(path: &Path, held: impl Iterator<Item = TraceId>) -> Result<Self, Error> {
        let temporary_path = path.with_added_extension("new");
        let mut bytes = rand::random::<u64>().to_le_bytes().to_vec();
        held.for_each(|id| bytes.extend_from_slice(&encode(id, CLAIM)));
        let mut file = File::create(&temporary_path)?;
        file.write_all(&bytes)?;
        std::fs::rename(&temporary_path, path)?;
        Ok(Self(file))
    }

    pub(super) fn append_claim(&mut self, id: TraceId) -> Result<(), Error> {
        self.0.write_all(&encode(id, CLAIM))
    }

    pub(super) fn append_release(&mut self, id: TraceId) -> Result<(), Error> {
        self.0.write_all(&encode(id, RELEASE))
    }
}

/// The ids that another process holds, as of the last read of its log.
#[derive(Debug)]
pub(super) struct OtherIds {
    pub(super) path: PathBuf,
    number: [u8; HEADER_BYTES as usize],
    offset: u64,
    ids: HashSet<TraceId>,
}

impl OtherIds {
    pub(super) fn new(path: PathBuf) -> Self {
        Self { path, number: [0; HEADER_BYTES as usize], offset: HEADER_BYTES, ids: HashSet::new() }
    }

    pub(super) fn contains(&self, id: TraceId) -> bool {
        self.ids.contains(&id)
    }

    pub(super) fn into_ids(self) -> HashSet<TraceId> {
        self.ids
    }

    /// Reads what was appended since the last read. A log that can't be read changes nothing.
    pub(super) fn read(&mut self) {
        let _ = self.try_read();
    }

    fn try_read(&mut self) -> Result<(), Error> {
        let mut file = File::open(&self.path)?;
        let mut number = [0; HEADER_BYTES as usize];
        file.read_exact(&mut number)?;
        if number != self.number {
            self.number = number;
            self.offset = HEADER_BYTES;
            self.ids.clear();
        }
        file.seek(SeekFrom::Start(self.offset))?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        // The last record may be incomplete.
        for record in bytes.chunks_exact(RECORD_BYTES) {
            self.offset += RECORD_BYTES as u64;
            match decode(record) {
                Some((id, CLAIM)) => _ = self.ids.insert(id),
                Some((id, _)) => _ = self.ids.remove(&id),
                None => {}
            }
        }
        Ok(())
    }
}
