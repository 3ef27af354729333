//! Exchange of requests' ids between the processes of one gateway, which clients reach at one address during a hot restart.
//! Each process appends its claims and releases to a file and reads those of the others. Every claim is written before the
//! others' files are read, so of two simultaneous claims of one id at least one is refused. Without another process nothing
//! is written.

mod log;

use crate::hot_restart::ProcessFiles;
use log::{OtherIds, OwnLog};
use slog::{Logger, warn};
use std::path::PathBuf;
use tokio::sync::watch;

/// A client's id of a request: 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TraceId(pub u64);

impl TraceId {
    /// Reads an id from its text; `None` if it is no hexadecimal number.
    pub fn parse(text: &[u8]) -> Option<Self> {
        u64::from_str_radix(std::str::from_utf8(text).ok()?, 16).ok().map(Self)
    }
}

/// The ids that this process and the gateway's other processes have claimed.
#[derive(Debug)]
pub struct RequestIdExchange {
    own_path: PathBuf,
    own_log: Option<OwnLog>,
    processes: watch::Receiver<Vec<ProcessFiles>>,
    others: Vec<OtherIds>,
    log: Logger,
}

impl RequestIdExchange {
    /// Writes the ids of this process to `own_path` while there are other processes.
    pub fn new(own_path: PathBuf, processes: watch::Receiver<Vec<ProcessFiles>>, log: Logger) -> Self {
        let mut processes = processes;
        processes.mark_changed();
        Self { own_path, own_log: None, processes, others: Vec::new(), log }
    }

    /// Waits until other processes have started or ended.
    pub async fn processes_changed(&mut self) {
        if self.processes.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Gives the ids `held` here to the other processes, and returns those of processes that have ended.
    pub fn update_processes(&mut self, held: impl Iterator<Item = TraceId>) -> Vec<TraceId> {
        let paths: Vec<_> =
            self.processes.borrow_and_update().iter().map(|files| files.request_ids.clone()).collect();
        let (running, mut ended): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.others).into_iter().partition(|other| paths.contains(&other.path));
        self.others = running;
        for path in paths {
            if !self.others.iter().any(|other| other.path == path) {
                self.others.push(OtherIds::new(path));
            }
        }
        self.update_own_log(held);
        // What it held at its end was not necessarily read before.
        ended.iter_mut().for_each(OtherIds::read);
        ended.into_iter().flat_map(OtherIds::into_ids).collect()
    }

    /// Begins a new log while there are other processes, and ends it when there are none.
    fn update_own_log(&mut self, held: impl Iterator<Item = TraceId>) {
        self.own_log = None;
        if self.others.is_empty() {
            let _ = std::fs::remove_file(&self.own_path);
            return;
        }
        match OwnLog::create(&self.own_path, held) {
            Ok(own_log) => self.own_log = Some(own_log),
            Err(error) => self.warn_unwritten(&error),
        }
    }

    /// Claims an id for this process; `false` if another process holds it.
    pub fn claim(&mut self, id: TraceId) -> bool {
        if self.others.is_empty() {
            return true;
        }
        self.append(id, OwnLog::append_claim);
        self.others.iter_mut().for_each(OtherIds::read);
        let is_free = !self.others.iter().any(|other| other.contains(id));
        if !is_free {
            self.release(id);
        }
        is_free
    }

    /// Releases an id of this process.
    pub fn release(&mut self, id: TraceId) {
        self.append(id, OwnLog::append_release);
    }

    fn append(&mut self, id: TraceId, append: impl Fn(&mut OwnLog, TraceId) -> std::io::Result<()>) {
        let Some(own_log) = &mut self.own_log else { return };
        if let Err(error) = append(own_log, id) {
            self.own_log = None;
            self.warn_unwritten(&error);
        }
    }

    fn warn_unwritten(&self, error: &std::io::Error) {
        warn!(self.log, "request ids not written for other processes"; "error" => %error);
    }
}

#[cfg(test)]
mod tests;
