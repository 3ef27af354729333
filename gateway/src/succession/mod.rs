//! Two processes in an upgrade. Each holds a lock on a file of its own, which the kernel lets go when the process
//! ends, however it ends, and writes there how far it has come; each looks at the others' and takes its part.

use reedwalk_membership::{Part, Stage, part};
use slog::{Logger, info, warn};
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Processes that may live at a time; more than two only where one could not end.
const SLOTS: usize = 4;
/// How often the others are looked at.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Who finds another waits so long before it takes clients, so that the other has made room by then.
pub const MAKES_ROOM: Duration = Duration::from_millis(200);

/// This process among those that are one front end.
#[derive(Debug)]
pub struct Succession {
    slots: Vec<PathBuf>,
    own: Option<(usize, File)>,
    stage: Stage,
    others: Vec<Stage>,
    part: watch::Sender<Part>,
    log: Logger,
}

fn word(stage: Stage) -> &'static [u8] {
    match stage {
        Stage::Starting => b"starting",
        Stage::Serving => b"serving ",
        Stage::Closing => b"closing ",
    }
}

fn read_word(bytes: &[u8]) -> Stage {
    // What can't be read was caught midway in its first writing.
    [Stage::Serving, Stage::Closing].into_iter().find(|s| word(*s) == bytes).unwrap_or(Stage::Starting)
}

impl Succession {
    /// Takes a place in this folder, under file names that begin so. Without one the process counts as alone.
    pub fn enter(folder: &Path, stem: &str, log: Logger) -> Self {
        let slots: Vec<_> = (0..SLOTS).map(|n| folder.join(format!("{stem}.process-{n}"))).collect();
        let take = |path: &PathBuf| {
            let file =
                OpenOptions::new().create(true).truncate(false).read(true).write(true).open(path).ok()?;
            file.try_lock().ok().map(|()| file)
        };
        let own = slots.iter().enumerate().find_map(|(n, path)| Some((n, take(path)?)));
        if own.is_none() {
            warn!(log, "no place among the processes of this front end, counts as alone");
        }
        let (part, _) = watch::channel(Part::default());
        let mut entered = Self { slots, own, stage: Stage::Starting, others: Vec::new(), part, log };
        entered.say(Stage::Starting);
        entered
    }

    /// This process's part, as it changes.
    pub fn part(&self) -> watch::Receiver<Part> {
        self.part.subscribe()
    }

    /// Does another live?
    pub fn is_second(&self) -> bool {
        !self.others.is_empty()
    }

    /// Says how far this process has come.
    pub fn say(&mut self, stage: Stage) {
        self.stage = stage;
        if let Some((_, file)) = &mut self.own {
            let written = file.seek(SeekFrom::Start(0)).and_then(|_| file.write_all(word(stage)));
            if let Err(error) = written {
                warn!(self.log, "stage not written"; "error" => %error);
            }
        }
        self.look();
    }

    /// Looks who else lives.
    pub fn look(&mut self) {
        let Some(own) = self.own.as_ref().map(|o| o.0) else { return };
        let alive = |path: &PathBuf| {
            let mut file = File::open(path).ok()?;
            // A lock that can be had belongs to a process that has ended.
            let Err(TryLockError::WouldBlock) = file.try_lock_shared() else { return None };
            let mut bytes = [0; 8];
            let read = file.read(&mut bytes).unwrap_or_default();
            Some(read_word(&bytes[..read]))
        };
        let others = self.slots.iter().enumerate().filter(|s| s.0 != own).filter_map(|s| alive(s.1));
        let others: Vec<_> = others.collect();
        let part = part(self.stage, &others);
        if self.others != others {
            info!(self.log, "processes of this front end"; "others" => ?others, "part" => part.share);
            self.others = others;
        }
        self.part.send_if_modified(|p| std::mem::replace(p, part) != part);
    }

    /// Looks again and again, and says what it is told to, for as long as anybody wants to know.
    pub async fn watch(mut self, mut stages: watch::Receiver<Stage>) {
        let mut next = Instant::now();
        loop {
            tokio::select! {
                changed = stages.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let stage = *stages.borrow_and_update();
                    self.say(stage);
                }
                () = sleep_until(next) => {
                    next = Instant::now() + LOOK_EVERY;
                    self.look();
                }
            }
        }
    }
}
