//! The endpoint registry: the endpoint list from service discovery with the operators' overrides applied on top. One
//! mutex protects both and the drain guards. It is never held across an await, so operators' commands are answered
//! regardless of the broker's state.

pub mod list_exchange;
pub mod list_file;
pub mod override_file;

use crate::discovery::dns;
use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::list_record::{ListRecord, ListVersion};
use crate::drain_guard::DrainGuards;
use crate::message::{Endpoint, EndpointMailbox, EndpointUpdate};
use crate::metrics::Metrics;
use crate::unix_clock::unix_micros;
use override_file::{OverrideFile, OverrideFileError};
use reedwalk_operations::{Override, Overrides, TooManyOverrides};
use reedwalk_scheduler::{EngineEntry, EngineId, EngineState, Time};
use slog::{Logger, info, warn};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Interval at which the override file is checked for overrides that the other process has accepted. They must take
/// effect here within 1 s of the operator's command.
const FILE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a command waits for the other process to release the lock of the override file.
const LOCK_TIMEOUT: Duration = Duration::from_millis(600);

/// Why an operator's override was rejected.
#[derive(Debug)]
pub enum OverrideError {
    /// No engine with this id has ever been listed.
    UnknownEngine,
    /// Too many engines are out of service already.
    TooMany(TooManyOverrides),
    /// The override could not be stored for the next process.
    File(OverrideFileError),
}

impl fmt::Display for OverrideError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownEngine => write!(f, "no engine of this id was ever listed"),
            Self::TooMany(error) => write!(f, "{error}"),
            Self::File(error) => write!(f, "the override could not be stored: {error}"),
        }
    }
}

impl std::error::Error for OverrideError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::UnknownEngine => None,
            Self::TooMany(error) => Some(error),
            Self::File(error) => Some(error),
        }
    }
}

/// An engine's entry with the operators' override applied.
struct EffectiveEntry {
    entry: EngineEntry,
    is_offline: bool,
}

#[derive(Debug)]
struct Inner {
    list: EndpointList,
    drain_guards: DrainGuards,
    overrides: Overrides,
}

impl Inner {
    fn effective_entry(&self, endpoint: &Endpoint) -> EffectiveEntry {
        let mut entry = endpoint.entry.clone();
        let is_for_engine = |name: &str| self.list.find(name) == Some(entry.engine);
        let Some((_, timed)) = self.overrides.iter().find(|(name, _)| is_for_engine(name)) else {
            return EffectiveEntry { entry, is_offline: false };
        };
        match timed.value {
            Override::Out if entry.state != EngineState::Removed => entry.state = EngineState::Draining,
            Override::Out => {}
            // The engine may have been restarted without a change in the list, so it goes through slow start.
            Override::Returned => entry.started = entry.started.max(Some(Time(timed.at))),
        }
        EffectiveEntry { entry, is_offline: timed.value == Override::Out }
    }
}

/// Handle to the endpoint list and its overrides; cheap to clone.
#[derive(Clone, Debug)]
pub struct EndpointRegistry {
    inner: Arc<Mutex<Inner>>,
    endpoints: EndpointMailbox,
    metrics: Arc<Metrics>,
    override_file: Option<Arc<OverrideFile>>,
    list_version: watch::Sender<ListVersion>,
    log: Logger,
}

impl EndpointRegistry {
    /// Creates a registry with this list. Changes are written to `endpoints`; overrides are stored in `override_file`,
    /// if there is one.
    pub fn new(
        list: EndpointList,
        drain_guards: DrainGuards,
        endpoints: EndpointMailbox,
        metrics: Arc<Metrics>,
        override_file: Option<OverrideFile>,
        log: Logger,
    ) -> Self {
        let overrides = override_file.as_ref().map(|file| file.read(&log)).unwrap_or_default();
        let offline = overrides.iter().filter(|(_, timed)| timed.value == Override::Out).count();
        if offline > 0 {
            info!(log, "engines out of service by stored overrides"; "engines" => offline);
        }
        let (list_version, _) = watch::channel(list.version());
        let inner = Arc::new(Mutex::new(Inner { list, drain_guards, overrides }));
        Self { inner, endpoints, metrics, override_file: override_file.map(Arc::new), list_version, log }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serial of the last complete update of the list.
    pub fn serial(&self) -> Option<u32> {
        self.inner().list.serial()
    }

    /// Calls `visit` with the name, the id in this process and the start time of each listed engine.
    pub fn for_each_engine(&self, mut visit: impl FnMut(&str, EngineId, Option<Time>)) {
        let inner = self.inner();
        for (name, endpoint) in inner.list.named_endpoints() {
            visit(name, endpoint.entry.engine, endpoint.entry.started);
        }
    }

    /// Applies the events of the configuration. Returns the number of changed engines.
    ///
    /// # Errors
    /// If the events can't be deserialised.
    pub fn apply_events(&self, events: &serde_json::Value) -> Result<usize, serde_json::Error> {
        let mut inner = self.inner();
        let changes = inner.list.apply_events(events)?;
        Ok(self.publish(&mut inner, changes))
    }

    /// Applies the events of a new configuration if they are newer than the list. Returns the number of changed
    /// engines.
    ///
    /// # Errors
    /// If the events can't be deserialised.
    pub fn apply_newer_events(&self, events: &serde_json::Value) -> Result<usize, serde_json::Error> {
        let mut inner = self.inner();
        let changes = inner.list.apply_newer_events(events)?;
        Ok(self.publish(&mut inner, changes))
    }

    /// Applies an answer of the name server. Returns the number of changed engines.
    pub fn apply_answer(&self, answer: dns::Answer) -> usize {
        let mut inner = self.inner();
        let changes = inner.list.apply_answer(answer);
        let changed = self.publish(&mut inner, changes);
        self.endpoints.set_discovery_answered();
        changed
    }

    /// A receiver of the version of the list, which changes with each update that is applied.
    pub fn list_version(&self) -> watch::Receiver<ListVersion> {
        self.list_version.subscribe()
    }

    /// The list without the operators' overrides, for the gateway's other processes.
    pub fn list_record(&self) -> ListRecord {
        self.inner().list.record()
    }

    /// Takes over the list of another process of this gateway if it is newer.
    pub fn apply_record(&self, record: &ListRecord) {
        let mut inner = self.inner();
        let version = inner.list.version();
        let changes = inner.list.apply_record(record);
        let changed = self.publish(&mut inner, changes);
        if inner.list.version() != version {
            info!(self.log, "endpoint list taken over from another process";
                "serial" => ?inner.list.serial(), "engines" => changed);
        }
    }

    /// Updates the drain guards immediately and writes the changes to the broker's mailbox, which is read later.
    fn publish(&self, inner: &mut Inner, changes: Vec<Endpoint>) -> usize {
        let version = inner.list.version();
        self.list_version.send_if_modified(|current| std::mem::replace(current, version) != version);
        if changes.is_empty() {
            return 0;
        }
        let (now, count) = (Instant::now(), changes.len());
        info!(self.log, "endpoint list changed"; "serial" => ?inner.list.serial(), "changed" => ?changes);
        let mut updates = Vec::with_capacity(count);
        for endpoint in changes {
            let EffectiveEntry { entry, is_offline } = inner.effective_entry(&endpoint);
            let drain_guard = inner.drain_guards.update(&entry, is_offline, now);
            updates.push(EndpointUpdate { endpoint: Endpoint { entry, ..endpoint }, drain_guard });
        }
        self.metrics.set_members(inner.list.endpoints().count());
        self.endpoints.put(updates);
        count
    }

    /// Publishes these engines again with their current overrides applied.
    fn publish_engines(&self, inner: &mut Inner, names: &[String]) {
        let ids: Vec<EngineId> = names.iter().filter_map(|name| inner.list.find(name)).collect();
        let is_selected = |endpoint: &&Endpoint| ids.contains(&endpoint.entry.engine);
        let endpoints: Vec<_> = inner.list.endpoints().filter(is_selected).cloned().collect();
        self.publish(inner, endpoints);
    }

    /// Merges the overrides that the other process has stored, and publishes the engines that they change.
    fn merge_overrides(&self, inner: &mut Inner, stored: &Overrides) {
        let changed = inner.overrides.merge(stored);
        if !changed.is_empty() {
            info!(self.log, "overrides taken over from the other process"; "engines" => ?changed);
        }
        self.publish_engines(inner, &changed);
    }

    /// Sets an operator's override for an engine. On return it is stored and in effect in this process.
    ///
    /// # Errors
    /// If the override is rejected; it has no effect then.
    pub async fn set_override(&self, engine: &str, value: Override) -> Result<(), OverrideError> {
        let deadline = Instant::now() + LOCK_TIMEOUT;
        // The lock excludes writes by the other process and by other commands in this one.
        let file_lock = match &self.override_file {
            Some(file) => Some(file.lock(deadline).await.map_err(OverrideError::File)?),
            None => None,
        };
        let mut inner = self.inner();
        if let Some(file) = &self.override_file {
            self.merge_overrides(&mut inner, &file.read(&self.log));
        }
        if inner.list.find(engine).is_none() && !inner.overrides.contains(engine) {
            return Err(OverrideError::UnknownEngine);
        }
        let mut overrides = inner.overrides.clone();
        if overrides.set(engine, value, unix_micros()).map_err(OverrideError::TooMany)? {
            if let Some(file) = &self.override_file {
                file.write(&overrides).map_err(OverrideError::File)?;
            }
            inner.overrides = overrides;
            self.publish_engines(&mut inner, &[engine.to_owned()]);
        }
        drop(file_lock);
        Ok(())
    }

    /// Checks the override file periodically; returns only if there is none.
    pub async fn watch_override_file(self) {
        if self.override_file.is_none() {
            return;
        }
        let mut next = Instant::now();
        loop {
            next += FILE_CHECK_INTERVAL;
            sleep_until(next).await;
            next = next.max(Instant::now());
            self.reload_overrides();
        }
    }

    /// Reloads the override file if it has changed since it was last read.
    pub fn reload_overrides(&self) {
        let Some(file) = self.override_file.as_ref().filter(|file| file.has_changed()) else { return };
        let stored = file.read(&self.log);
        let mut inner = self.inner();
        self.merge_overrides(&mut inner, &stored);
        if inner.overrides != stored {
            warn!(self.log, "override file lacks overrides in force");
        }
    }
}
