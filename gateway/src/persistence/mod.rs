//! Persistence of state for the next process of a gateway, in the folder that the operator's file configures.
//! `reedwalk-recovery` decides how far each stored fact is trusted.

pub mod folder;
mod inspect;
mod restore;
mod writer;

pub use inspect::{CheckMode, FolderReport, PersistenceError, SnapshotReadError, forget, show};
pub use restore::{load_snapshot, owner, restored_class_stats, restored_observations};
pub use writer::{PersistenceThread, QUEUE_CAPACITY};

use std::path::PathBuf;

/// Settings of persistence in the operator's file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PersistenceOptions {
    /// The folder that state is stored in.
    pub folder: PathBuf,
    /// The line of the operator's file that configures the folder.
    pub line: usize,
}
