//! The thread that persists state. No other thread waits for a slow or full disk: when the queue is full, events are
//! not persisted. That may delay a retry, but never lets it take effect twice.

use super::folder::Folder;
use crate::lock::FileLock;
use crate::message::PersistedEvent;
use crate::metrics::{Metric, Metrics};
use crate::registry::EndpointRegistry;
use crate::unix_clock::unix_ms;
use reedwalk_recovery::snapshot::{ClassRecord, EngineRecord, KeyRecord, Snapshot};
use reedwalk_recovery::snapshot_codec::SnapshotOwner;
use reedwalk_recovery::snapshot_store::{SnapshotStore, SnapshotStoreError};
use reedwalk_scheduler::{ClassLatencyStats, EngineObservation};
use slog::{Logger, error, info, warn};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Capacity of the queue of events to be written.
pub const QUEUE_CAPACITY: usize = 1024;
/// Interval between attempts to take a lock that another process holds.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The persistence thread.
pub struct PersistenceThread {
    /// The folder that snapshots are written to.
    pub folder: Folder,
    /// Identifies the gateway that may use the snapshots.
    pub owner: SnapshotOwner,
    /// Names of the classes, in the order of their ids.
    pub classes: Vec<String>,
    /// Supplies the names and start times of the engines.
    pub registry: EndpointRegistry,
    /// Where the counters are published.
    pub metrics: Arc<Metrics>,
    /// The logger.
    pub log: Logger,
}

#[derive(Default)]
struct Counters {
    snapshots: u64,
    keys: u64,
    errors: u64,
    dropped: u64,
}

/// A snapshot store in a folder whose lock this process holds.
struct LockedStore {
    store: SnapshotStore,
    _lock: FileLock,
}

/// The fields of [`PersistedEvent::Snapshot`].
struct SnapshotParts {
    classes: Vec<ClassLatencyStats>,
    engines: Vec<EngineObservation>,
    keys: Vec<KeyRecord>,
}

impl PersistenceThread {
    /// Starts the thread, which ends when all senders of the queue are dropped.
    ///
    /// # Errors
    /// If the system can't start a thread.
    pub fn start(self, events: mpsc::Receiver<PersistedEvent>) -> std::io::Result<()> {
        let thread = std::thread::Builder::new().name("state".into());
        thread.spawn(move || self.run(events)).map(|_| ())
    }

    fn run(mut self, mut events: mpsc::Receiver<PersistedEvent>) {
        let mut counters = Counters::default();
        let (mut last_write_ok, mut wait_logged) = (true, false);
        let mut store = None;
        let mut batch = Vec::new();
        while let Some(first) = events.blocking_recv() {
            batch.push(first);
            while let Ok(more) = events.try_recv() {
                batch.push(more);
            }
            if store.is_none() {
                store = self.open_store();
            }
            let Some(LockedStore { store, .. }) = &mut store else {
                // In a hot restart the other process ends soon. Any other process took the lock first and keeps it.
                if !std::mem::replace(&mut wait_logged, true) {
                    warn!(self.log, "persistence folder in use by another process, waiting for it");
                }
                counters.dropped += batch.drain(..).len() as u64;
                self.update_metrics(&counters);
                std::thread::sleep(LOCK_RETRY_INTERVAL);
                continue;
            };
            let written = self.write(store, &mut batch, &mut counters);
            match (&written, last_write_ok) {
                (Err(error), true) => error!(self.log, "persistence failed"; "error" => %error),
                (Ok(()), false) => info!(self.log, "persistence resumed"),
                _ => {}
            }
            counters.errors += u64::from(written.is_err());
            last_write_ok = written.is_ok();
            self.update_metrics(&counters);
        }
    }

    fn open_store(&self) -> Option<LockedStore> {
        let lock = self.folder.lock().ok().flatten()?;
        info!(self.log, "persistence started");
        Some(LockedStore { store: SnapshotStore::new(&self.folder, self.owner), _lock: lock })
    }

    /// Writes a batch as a new snapshot if it contains one, otherwise appends it to the log of the last snapshot.
    fn write(
        &mut self,
        store: &mut SnapshotStore,
        batch: &mut Vec<PersistedEvent>,
        counters: &mut Counters,
    ) -> Result<(), SnapshotStoreError<std::io::Error>> {
        let (mut keys, mut snapshot_parts) = (Vec::new(), None);
        for event in batch.drain(..) {
            match event {
                PersistedEvent::IdempotencyKey(key) => keys.push(key),
                PersistedEvent::Snapshot { classes, engines, keys } => {
                    snapshot_parts = Some(SnapshotParts { classes, engines, keys });
                }
            }
        }
        if let Some(parts) = snapshot_parts {
            let mut snapshot = self.snapshot(parts);
            // Keys of requests that were sent after the snapshot was taken.
            for key in &keys {
                snapshot.merge_key(*key);
            }
            store.save(&mut self.folder, &snapshot.sanitized())?;
            counters.snapshots += 1;
        } else if !keys.is_empty() {
            store.append(&mut self.folder, &keys)?;
        }
        counters.keys += keys.len() as u64;
        Ok(())
    }

    fn snapshot(&self, parts: SnapshotParts) -> Snapshot {
        let mut engines = Vec::new();
        self.registry.for_each_engine(|name, engine, started| {
            let observation = parts.engines.iter().find(|observed| observed.engine == engine);
            let Some(observation) = observation else { return };
            engines.push(EngineRecord {
                id: name.to_owned(),
                started: started.map_or(0, |time| time.0 / 1000),
                slowdown: observation.slowdown,
                ejected_until: observation.ejected_until.map_or(0, |time| time.0 / 1000),
            });
        });
        let class = |(name, stats): (&String, &ClassLatencyStats)| ClassRecord {
            name: name.clone(),
            exec: (stats.execution_time.mean, stats.execution_time.samples),
            best: None,
            width: (stats.work_per_thread.mean, stats.work_per_thread.samples),
        };
        let classes = self.classes.iter().zip(&parts.classes).map(class).collect();
        let (written, serial) = (unix_ms(), self.registry.serial());
        Snapshot { written, serial, live_gateways: 0, engines, classes, keys: parts.keys }
    }

    fn update_metrics(&self, counters: &Counters) {
        self.metrics.set_persistence(vec![
            Metric::counter("records", counters.snapshots),
            Metric::counter("keys_kept", counters.keys),
            Metric::counter("errors", counters.errors),
            Metric::counter("dropped", counters.dropped),
        ]);
    }
}
