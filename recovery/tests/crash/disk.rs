//! A simulated disk that loses power or returns an I/O error at a chosen operation.

use reedwalk_recovery::snapshot_store::SnapshotFiles;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::fmt;

/// What remains after a power loss of data that was written but not synced.
#[derive(Clone, Copy, Debug)]
pub enum UnsyncedData {
    /// None of it.
    Lost,
    /// The first half of it.
    Partial,
    /// All of it.
    Written,
}

/// All outcomes for unsynced data.
pub const UNSYNCED_OUTCOMES: [UnsyncedData; 3] =
    [UnsyncedData::Lost, UnsyncedData::Partial, UnsyncedData::Written];

/// Why an operation on the simulated disk failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskError {
    /// The injected I/O error.
    Io,
    /// The disk has lost power.
    PowerLoss,
    /// No file has this name.
    NoSuchFile,
}

impl fmt::Display for DiskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Io => "I/O error",
            Self::PowerLoss => "power loss",
            Self::NoSuchFile => "no such file",
        })
    }
}

impl std::error::Error for DiskError {}

/// The content of a file.
#[derive(Clone, Debug, Default)]
pub struct FileContent {
    /// The bytes that survive a power loss.
    pub synced: Vec<u8>,
    /// The bytes that are read while the power is on.
    pub current: Vec<u8>,
}

/// How much of an operation is carried out; the last one before a power loss may be partial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Extent {
    Complete,
    Partial,
}

/// A directory on a simulated disk. File contents and names survive a power loss only after they were synced.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk {
    /// File contents by file number.
    pub files: BTreeMap<u32, FileContent>,
    /// File numbers by name, as they survive a power loss.
    synced_names: BTreeMap<String, u32>,
    /// File numbers by name, as seen while the power is on.
    pub names: BTreeMap<String, u32>,
    last_file_number: u32,
    /// Number of operations until the power loss; the last one may be partial.
    operations_left: Cell<Option<u32>>,
    /// Number of the operation that fails without a power loss.
    failing_operation: Option<u32>,
    /// Number of operations so far.
    pub operations: u32,
}

impl SimulatedDisk {
    /// An empty disk that loses power at the given operation, counted from 1.
    pub fn losing_power_at(operation: u32) -> Self {
        Self { operations_left: Cell::new(Some(operation)), ..Self::default() }
    }

    /// An empty disk on which the given operation fails, counted from 1.
    pub fn failing_at(operation: u32) -> Self {
        Self { failing_operation: Some(operation), ..Self::default() }
    }

    /// A copy of the disk that loses power at the given operation from now on, counted from 1.
    pub fn with_power_loss_at(&self, operation: u32) -> Self {
        let disk = self.clone();
        disk.operations_left.set(Some(operation));
        disk
    }

    /// Counts an operation and returns how much of it is carried out. After a partial operation, all others fail.
    fn begin_operation(&mut self) -> Result<Extent, DiskError> {
        self.operations += 1;
        if self.failing_operation == Some(self.operations) {
            return Err(DiskError::Io);
        }
        match self.operations_left.get() {
            Some(0) => Err(DiskError::PowerLoss),
            Some(left) => {
                self.operations_left.set(Some(left - 1));
                Ok(if left > 1 { Extent::Complete } else { Extent::Partial })
            }
            None => Ok(Extent::Complete),
        }
    }

    /// Counts an operation that is carried out completely or not at all.
    fn begin_atomic_operation(&mut self) -> Result<(), DiskError> {
        match self.begin_operation()? {
            Extent::Complete => Ok(()),
            Extent::Partial => Err(DiskError::PowerLoss),
        }
    }

    fn file_number(&self, name: &str) -> Result<u32, DiskError> {
        self.names.get(name).copied().ok_or(DiskError::NoSuchFile)
    }

    /// The disk after a power loss, with power restored.
    pub fn after_power_loss(&self, unsynced: UnsyncedData) -> Self {
        let surviving = |file: &FileContent| match unsynced {
            UnsyncedData::Lost => file.synced.clone(),
            UnsyncedData::Written => file.current.clone(),
            UnsyncedData::Partial => {
                let pairs = file.synced.iter().zip(&file.current);
                let common = pairs.take_while(|(synced, current)| synced == current).count();
                file.current[..common + (file.current.len() - common) / 2].to_vec()
            }
        };
        let content = |file: &FileContent| {
            let bytes = surviving(file);
            FileContent { synced: bytes.clone(), current: bytes }
        };
        let names = if matches!(unsynced, UnsyncedData::Lost) { &self.synced_names } else { &self.names };
        let files = self.files.iter().map(|(number, file)| (*number, content(file))).collect();
        Self {
            files,
            synced_names: names.clone(),
            names: names.clone(),
            last_file_number: self.last_file_number,
            ..Self::default()
        }
    }
}

impl SnapshotFiles for SimulatedDisk {
    type Error = DiskError;

    fn names(&self) -> Result<Vec<String>, DiskError> {
        Ok(self.names.keys().cloned().collect())
    }

    fn read(&self, name: &str, max_bytes: usize) -> Result<Vec<u8>, DiskError> {
        let current = &self.files[&self.file_number(name)?].current;
        Ok(current[..current.len().min(max_bytes + 1)].to_vec())
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        let extent = self.begin_operation()?;
        let number = match self.names.get(name) {
            Some(number) => *number,
            None => {
                self.last_file_number += 1;
                self.names.insert(name.into(), self.last_file_number);
                self.last_file_number
            }
        };
        let written = if extent == Extent::Complete { bytes.len() } else { bytes.len() / 2 };
        self.files.entry(number).or_default().current = bytes[..written].to_vec();
        if extent == Extent::Complete { Ok(()) } else { Err(DiskError::PowerLoss) }
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        let number = self.file_number(name)?;
        let is_failing = self.failing_operation == Some(self.operations + 1);
        let extent = self.begin_operation();
        let written = if extent == Ok(Extent::Complete) { bytes.len() } else { bytes.len() / 2 };
        // A failing append writes half of its bytes, as in a power loss.
        if extent.is_ok() || is_failing {
            self.files.entry(number).or_default().current.extend_from_slice(&bytes[..written]);
        }
        if extent? == Extent::Complete { Ok(()) } else { Err(DiskError::PowerLoss) }
    }

    fn sync(&mut self, name: &str) -> Result<(), DiskError> {
        self.begin_atomic_operation()?;
        let number = self.file_number(name)?;
        let file = self.files.entry(number).or_default();
        file.synced = file.current.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), DiskError> {
        self.begin_atomic_operation()?;
        let number = self.names.remove(from).ok_or(DiskError::NoSuchFile)?;
        self.names.insert(to.into(), number);
        Ok(())
    }

    fn sync_directory(&mut self) -> Result<(), DiskError> {
        self.begin_atomic_operation()?;
        self.synced_names = self.names.clone();
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<(), DiskError> {
        self.begin_atomic_operation()?;
        self.names.remove(name).map(|_| ()).ok_or(DiskError::NoSuchFile)
    }
}
