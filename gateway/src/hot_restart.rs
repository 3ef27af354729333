//! Hot restart: two processes of the same gateway listen at one address while the new one takes over. Each process locks
//! a file of its own and writes its stage into it; the kernel releases the lock when the process ends, even after a
//! crash. Each process reads the files of the others to determine its share of the gateway's capacity. A second file
//! holds the address of a process's console, through which the others reach it; others hold what the processes exchange.

use reedwalk_operations::{CapacityShare, ProcessStage, capacity_share};
use slog::{Logger, info, warn};
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{Read, Seek, SeekFrom, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Maximum number of processes at a time. There are more than two only if an earlier one failed to exit.
pub const MAX_PROCESSES: usize = 4;
/// Interval between reads of the other processes' files.
const SCAN_INTERVAL: Duration = Duration::from_millis(50);
/// Delay before a process that found another one running accepts clients. By then the other process has released half of
/// the capacity.
pub const HANDOVER_DELAY: Duration = Duration::from_millis(200);
/// Length of the stage in a process file, in bytes.
const STAGE_BYTES: usize = 8;

/// The locked file of this process.
#[derive(Debug)]
struct OwnFile {
    slot: usize,
    file: File,
}

/// The files of one process slot.
#[derive(Debug)]
struct SlotPaths {
    /// Locked by the process that holds the slot; contains its stage.
    process: PathBuf,
    /// Contains the address of that process's console.
    console: PathBuf,
    /// What that process gives to the others.
    exchanged: ProcessFiles,
}

/// The files through which a process gives its state to the gateway's other processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessFiles {
    /// Its endpoint list.
    pub endpoint_list: PathBuf,
    /// The ids of its requests that must not run twice.
    pub request_ids: PathBuf,
}

impl SlotPaths {
    fn new(folder: &Path, stem: &str, slot: usize) -> Self {
        let path = |kind| folder.join(format!("{stem}.{kind}-{slot}"));
        let exchanged = ProcessFiles { endpoint_list: path("endpoints"), request_ids: path("requests") };
        Self { process: path("process"), console: path("console"), exchanged }
    }
}

/// This process's view of the processes of its gateway.
#[derive(Debug)]
pub struct HotRestart {
    slots: Vec<SlotPaths>,
    own: Option<OwnFile>,
    stage: ProcessStage,
    /// Stages of the other live processes.
    others: Vec<ProcessStage>,
    share: watch::Sender<CapacityShare>,
    /// Console addresses of the other live processes.
    other_consoles: watch::Sender<Vec<SocketAddr>>,
    /// Files of the other live processes.
    other_files: watch::Sender<Vec<ProcessFiles>>,
    log: Logger,
}

/// The encoding of a stage in a process file.
fn encode_stage(stage: ProcessStage) -> &'static [u8; STAGE_BYTES] {
    match stage {
        ProcessStage::Starting => b"starting",
        ProcessStage::Serving => b"serving ",
        ProcessStage::Closing => b"closing ",
    }
}

/// Decodes the stage in a process file. A file with no valid stage is being written for the first time.
fn decode_stage(bytes: &[u8]) -> ProcessStage {
    let stages = [ProcessStage::Serving, ProcessStage::Closing];
    stages.into_iter().find(|stage| encode_stage(*stage) == bytes).unwrap_or(ProcessStage::Starting)
}

/// Opens and locks a process file; `None` if another process holds it.
fn lock_process_file(path: &Path) -> Option<File> {
    let file = OpenOptions::new().create(true).truncate(false).read(true).write(true).open(path).ok()?;
    file.try_lock().ok()?;
    Some(file)
}

/// The stage of the process that holds the lock on this file; `None` if no process does.
fn stage_of_lock_holder(path: &Path) -> Option<ProcessStage> {
    let mut file = File::open(path).ok()?;
    // A lock that can be acquired belonged to a process that has ended.
    let Err(TryLockError::WouldBlock) = file.try_lock_shared() else { return None };
    let mut bytes = [0; STAGE_BYTES];
    let length = file.read(&mut bytes).unwrap_or_default();
    Some(decode_stage(&bytes[..length]))
}

/// The console address of the process that holds a slot; `None` if it has not written one.
fn read_console_address(path: &Path) -> Option<SocketAddr> {
    std::fs::read_to_string(path).ok()?.trim_end().parse().ok()
}

impl HotRestart {
    /// Locks a free process file in this folder, with a name that begins with `stem`. If none is free, this process
    /// behaves as if it were the only one.
    pub fn register(folder: &Path, stem: &str, log: Logger) -> Self {
        let slots: Vec<_> = (0..MAX_PROCESSES).map(|slot| SlotPaths::new(folder, stem, slot)).collect();
        let lock_slot = |(slot, paths): (usize, &SlotPaths)| {
            let file = lock_process_file(&paths.process)?;
            // Left by an earlier process of this slot: its console's address may have passed on to another gateway, and
            // its list may be of another numbering.
            for path in [&paths.console, &paths.exchanged.endpoint_list, &paths.exchanged.request_ids] {
                let _ = std::fs::remove_file(path);
            }
            Some(OwnFile { slot, file })
        };
        let own = slots.iter().enumerate().find_map(lock_slot);
        if own.is_none() {
            warn!(log, "no process slot free, running as the only process");
        }
        let (share, _) = watch::channel(CapacityShare::default());
        let (other_consoles, _) = watch::channel(Vec::new());
        let (other_files, _) = watch::channel(Vec::new());
        let (stage, others) = (ProcessStage::Starting, Vec::new());
        let mut hot_restart = Self { slots, own, stage, others, share, other_consoles, other_files, log };
        hot_restart.set_stage(stage);
        hot_restart
    }

    /// A receiver of this process's share of the capacity.
    pub fn share(&self) -> watch::Receiver<CapacityShare> {
        self.share.subscribe()
    }

    /// A receiver of the console addresses of the gateway's other live processes.
    pub fn other_consoles(&self) -> watch::Receiver<Vec<SocketAddr>> {
        self.other_consoles.subscribe()
    }

    /// The files of this process; `None` if there was no slot free.
    pub fn files(&self) -> Option<ProcessFiles> {
        self.own.as_ref().map(|own| self.slots[own.slot].exchanged.clone())
    }

    /// A receiver of the files of the gateway's other live processes.
    pub fn other_files(&self) -> watch::Receiver<Vec<ProcessFiles>> {
        self.other_files.subscribe()
    }

    /// Tells the other processes the address of this process's console.
    pub fn announce_console(&self, address: SocketAddr) {
        let Some(own) = &self.own else { return };
        if let Err(error) = std::fs::write(&self.slots[own.slot].console, format!("{address}\n")) {
            warn!(self.log, "console address not written"; "error" => %error);
        }
    }

    /// The slot of this process, which no other live process of this gateway has; `None` if there was none free.
    pub fn slot(&self) -> Option<usize> {
        self.own.as_ref().map(|own| own.slot)
    }

    /// Whether other processes of this gateway are running.
    pub fn has_other_processes(&self) -> bool {
        !self.others.is_empty()
    }

    /// Changes the stage of this process and writes it to its file.
    pub fn set_stage(&mut self, stage: ProcessStage) {
        self.stage = stage;
        if let Some(OwnFile { file, .. }) = &mut self.own {
            let written = file.seek(SeekFrom::Start(0)).and_then(|_| file.write_all(encode_stage(stage)));
            if let Err(error) = written {
                warn!(self.log, "process stage not written"; "error" => %error);
            }
        }
        self.scan();
    }

    /// Reads the files of the other processes and updates this process's share.
    pub fn scan(&mut self) {
        let Some(own) = &self.own else { return };
        let other_slots = self.slots.iter().enumerate().filter(|(slot, _)| *slot != own.slot);
        let (mut others, mut consoles, mut files) = (Vec::new(), Vec::new(), Vec::new());
        for (_, paths) in other_slots {
            if let Some(stage) = stage_of_lock_holder(&paths.process) {
                others.push(stage);
                consoles.extend(read_console_address(&paths.console));
                files.push(paths.exchanged.clone());
            }
        }
        self.other_consoles.send_replace(consoles);
        self.other_files.send_if_modified(|current| {
            let is_modified = *current != files;
            *current = files;
            is_modified
        });
        let share = capacity_share(self.stage, &others);
        if self.others != others {
            info!(self.log, "other processes changed"; "others" => ?others, "capacity_share" => share.share);
            self.others = others;
        }
        self.share.send_if_modified(|current| std::mem::replace(current, share) != share);
    }

    /// Scans the other processes' files at intervals and writes each new stage of this process, until the sender of stages
    /// is dropped.
    pub async fn watch(mut self, mut stages: watch::Receiver<ProcessStage>) {
        let mut next_scan = Instant::now();
        loop {
            tokio::select! {
                changed = stages.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let stage = *stages.borrow_and_update();
                    self.set_stage(stage);
                }
                () = sleep_until(next_scan) => {
                    next_scan = Instant::now() + SCAN_INTERVAL;
                    self.scan();
                }
            }
        }
    }
}
