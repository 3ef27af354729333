//! Exchange of the endpoint list between the processes of one gateway. For the rules of the platform they count as one
//! gateway: what the name server has told to one of them binds the others, also while it does not answer.

use super::{EndpointRegistry, list_file};
use crate::hot_restart::ProcessFiles;
use slog::{Logger, warn};
use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Interval at which the lists of the other processes are checked, and minimum interval between writes of the own one.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// The list files of this process and of the gateway's other live processes.
#[derive(Debug)]
pub struct ListExchange {
    own_path: PathBuf,
    other_files: watch::Receiver<Vec<ProcessFiles>>,
    /// When each file of another process was replaced, as of the last read.
    last_read: HashMap<PathBuf, SystemTime>,
    log: Logger,
}

impl ListExchange {
    /// Writes this process's list to `own_path`, and reads those of the other processes.
    pub fn new(own_path: PathBuf, other_files: watch::Receiver<Vec<ProcessFiles>>, log: Logger) -> Self {
        Self { own_path, other_files, last_read: HashMap::new(), log }
    }

    /// Exchanges lists for as long as the process runs.
    pub async fn run(mut self, registry: EndpointRegistry) {
        let mut version = registry.list_version();
        version.mark_changed();
        loop {
            if version.has_changed().is_ok_and(|has_changed| has_changed) {
                version.mark_unchanged();
                self.write_own(&registry);
            }
            self.read_others(&registry);
            sleep_until(Instant::now() + EXCHANGE_INTERVAL).await;
        }
    }

    fn write_own(&self, registry: &EndpointRegistry) {
        if let Err(error) = list_file::write(&self.own_path, &registry.list_record()) {
            warn!(self.log, "endpoint list not written for other processes"; "error" => %error);
        }
    }

    /// Takes over the lists of the other processes that are newer than this one's.
    pub fn read_others(&mut self, registry: &EndpointRegistry) {
        let files = self.other_files.borrow();
        let paths: Vec<_> = files.iter().map(|files| files.endpoint_list.clone()).collect();
        drop(files);
        self.last_read.retain(|path, _| paths.contains(path));
        for path in paths {
            self.read_other(&path, registry);
        }
    }

    fn read_other(&mut self, path: &Path, registry: &EndpointRegistry) {
        // A process that has not written its list yet has no file.
        let Some(modified) = list_file::modified(path) else { return };
        if self.last_read.insert(path.to_owned(), modified) == Some(modified) {
            return;
        }
        match list_file::read(path) {
            Ok(record) => registry.apply_record(&record),
            Err(error) => warn!(self.log, "endpoint list of another process ignored"; "error" => %error),
        }
    }
}
