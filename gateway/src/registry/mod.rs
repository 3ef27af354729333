//! The endpoint registry: the list of service discovery, with the operators' overrides applied on top. One lock owns both,
//! with the drain guards, and is never held across a wait, so that an operator's call is answered whatever the broker
//! does.

pub mod override_file;

use crate::discovery::dns;
use crate::discovery::endpoint_list::EndpointList;
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
use tokio::time::{Instant, sleep_until};

/// Interval at which the override file is checked for overrides that the other process was given. They must be in force
/// here within 1 s of the operator's call.
const FILE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a call waits for the other process to release the override file.
const LOCK_TIMEOUT: Duration = Duration::from_millis(600);

/// Why an operator's override was not accepted.
#[derive(Debug)]
pub enum OverrideError {
    /// No list has ever named this engine.
    UnknownEngine,
    /// Too many engines are taken out already.
    TooMany(TooManyOverrides),
    /// It could not be stored for the next process.
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
    taken_out: bool,
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
        let applies = |name: &str| self.list.find(name) == Some(entry.engine);
        let Some((_, timed)) = self.overrides.iter().find(|(name, _)| applies(name)) else {
            return EffectiveEntry { entry, taken_out: false };
        };
        match timed.value {
            Override::Out if entry.state != EngineState::Removed => entry.state = EngineState::Draining,
            Override::Out => {}
            // It was restarted meanwhile and is in slow start, whatever the list knows of that.
            Override::Returned => entry.started = entry.started.max(Some(Time(timed.at))),
        }
        EffectiveEntry { entry, taken_out: timed.value == Override::Out }
    }
}

/// The owner of the endpoint list; cheap to clone.
#[derive(Clone, Debug)]
pub struct EndpointRegistry {
    inner: Arc<Mutex<Inner>>,
    endpoints: EndpointMailbox,
    metrics: Arc<Metrics>,
    override_file: Option<Arc<OverrideFile>>,
    log: Logger,
}

impl EndpointRegistry {
    /// The owner of this list. Changes are written to `endpoints`; overrides are stored in `override_file`, if there is
    /// one.
    pub fn new(
        list: EndpointList,
        drain_guards: DrainGuards,
        endpoints: EndpointMailbox,
        metrics: Arc<Metrics>,
        override_file: Option<OverrideFile>,
        log: Logger,
    ) -> Self {
        let overrides = override_file.as_ref().map(|file| file.read(&log)).unwrap_or_default();
        let taken_out = overrides.iter().filter(|(_, timed)| timed.value == Override::Out).count();
        if taken_out > 0 {
            info!(log, "engines out of service by stored overrides"; "engines" => taken_out);
        }
        let inner = Arc::new(Mutex::new(Inner { list, drain_guards, overrides }));
        Self { inner, endpoints, metrics, override_file: override_file.map(Arc::new), log }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serial of the last change of the list.
    pub fn serial(&self) -> Option<u32> {
        self.inner().list.serial()
    }

    /// Calls `visit` for each listed engine with its name, its id in this process, and when it started.
    pub fn for_each_engine(&self, mut visit: impl FnMut(&str, EngineId, Option<Time>)) {
        let inner = self.inner();
        for (name, endpoint) in inner.list.named() {
            visit(name, endpoint.entry.engine, endpoint.entry.started);
        }
    }

    /// Takes in the events of the configuration. Returns how many engines they name.
    ///
    /// # Errors
    /// Where they are not of the expected form.
    pub fn start(&self, known: &serde_json::Value) -> Result<usize, serde_json::Error> {
        let mut inner = self.inner();
        let changes = inner.list.start(known)?;
        Ok(self.publish(&mut inner, changes))
    }

    /// Takes in the events of a new configuration, if they are later. Returns how many engines have changed.
    ///
    /// # Errors
    /// Where they are not of the expected form.
    pub fn refresh(&self, known: &serde_json::Value) -> Result<usize, serde_json::Error> {
        let mut inner = self.inner();
        let changes = inner.list.refresh(known)?;
        Ok(self.publish(&mut inner, changes))
    }

    /// Takes in an answer of the name server. Returns how many engines have changed.
    pub fn take(&self, answer: dns::Answer) -> usize {
        let mut inner = self.inner();
        let changes = inner.list.take(answer);
        let changed = self.publish(&mut inner, changes);
        self.endpoints.set_discovery_answered();
        changed
    }

    /// Opens and closes drain guards immediately; the broker reads the changes from its mailbox later.
    fn publish(&self, inner: &mut Inner, changes: Vec<Endpoint>) -> usize {
        if changes.is_empty() {
            return 0;
        }
        let (now, count) = (Instant::now(), changes.len());
        info!(self.log, "endpoint list changed"; "serial" => ?inner.list.serial(), "changed" => ?changes);
        let mut updates = Vec::with_capacity(count);
        for endpoint in changes {
            let EffectiveEntry { entry, taken_out } = inner.effective_entry(&endpoint);
            let drain_guard = inner.drain_guards.update(&entry, taken_out, now);
            updates.push(EndpointUpdate { endpoint: Endpoint { entry, ..endpoint }, drain_guard });
        }
        self.metrics.set_members(inner.list.listed().count());
        self.endpoints.put(updates);
        count
    }

    /// Publishes these engines again, with their overrides.
    fn publish_engines(&self, inner: &mut Inner, names: &[String]) {
        let ids: Vec<EngineId> = names.iter().filter_map(|name| inner.list.find(name)).collect();
        let is_named = |endpoint: &&Endpoint| ids.contains(&endpoint.entry.engine);
        let endpoints: Vec<_> = inner.list.listed().filter(is_named).cloned().collect();
        self.publish(inner, endpoints);
    }

    /// Takes over the overrides that the other process was given.
    fn merge_overrides(&self, inner: &mut Inner, stored: &Overrides) {
        let changed = inner.overrides.merge(stored);
        if !changed.is_empty() {
            info!(self.log, "overrides taken over from the other process"; "engines" => ?changed);
        }
        self.publish_engines(inner, &changed);
    }

    /// Sets an operator's override of an engine. It is stored, and in force here, before this returns.
    ///
    /// # Errors
    /// Where it is rejected; nothing has changed then.
    pub async fn set_override(&self, engine: &str, value: Override) -> Result<(), OverrideError> {
        let deadline = Instant::now() + LOCK_TIMEOUT;
        // While the lock is held, neither the other process nor another call here writes the file.
        let locked = match &self.override_file {
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
        drop(locked);
        Ok(())
    }

    /// Checks the override file for as long as the program runs.
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

    /// Takes over what has been stored since the file was last read.
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
