//! Engines: what the endpoint list says of each, and the state of each part of the policy about it.

use super::attempts::EngineAttempts;
use crate::interface::{EndpointScope, EngineEntry, EngineId, EngineState};
use crate::policy::concurrency_limits::ConcurrencyLimit;
use crate::policy::gateway_counts::GatewayCounts;
use crate::policy::load_evidence::{LoadEvidence, ObservedSlowdown};
use crate::policy::outlier_detection::EngineHealth;
use crate::policy::slow_start::SlowStartState;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

/// What is known of an engine.
pub(crate) struct EngineRecord {
    /// Its entry in the endpoint list.
    pub(crate) entry: EngineEntry,
    /// It is not in service.
    pub(crate) gone: bool,
    /// Its cores, by the kind in its entry.
    pub(crate) cores: f64,
    /// This gateway's attempts there.
    pub(crate) attempts: EngineAttempts,
    /// How many threads this gateway may use there.
    pub(crate) limit: ConcurrencyLimit,
    /// Evidence of its load.
    pub(crate) load: LoadEvidence,
    /// How slow it looked when it was last observed.
    pub(crate) slowdown: ObservedSlowdown,
    /// Whether it is ejected, paused or on probation.
    pub(crate) health: EngineHealth,
    /// Its slow start.
    pub(crate) slow_start: SlowStartState,
}

/// What a record of an engine starts with.
pub(crate) struct EngineDefaults<'a> {
    /// Number of classes.
    pub(crate) classes: usize,
    /// How many gateways share the pool.
    pub(crate) gateways: &'a GatewayCounts,
    /// Present time.
    pub(crate) now: Timestamp,
}

impl EngineRecord {
    /// An engine of which nothing is known but its entry.
    pub(crate) fn new(entry: EngineEntry, cores: f64, defaults: &EngineDefaults) -> Self {
        Self {
            entry,
            gone: false,
            cores,
            attempts: EngineAttempts::new(defaults.now),
            limit: ConcurrencyLimit::initial(cores, defaults.gateways),
            load: LoadEvidence::new(defaults.classes),
            slowdown: ObservedSlowdown::default(),
            health: EngineHealth::default(),
            slow_start: SlowStartState::default(),
        }
    }

    /// Drops what is known of the process before a restart; only its attempts in flight stay.
    fn restart(&mut self, entry: &EngineEntry, cores: f64, defaults: &EngineDefaults) {
        let attempts = std::mem::take(&mut self.attempts).restarted(defaults.now);
        *self = Self { attempts, ..Self::new(entry.clone(), cores, defaults) };
    }
}

/// All engines, by id.
#[derive(Default)]
pub(crate) struct EngineTable(BTreeMap<EngineId, EngineRecord>);

impl EngineTable {
    /// A message of the endpoint list begins.
    pub(crate) fn begin_update(&mut self, scope: EndpointScope) {
        if scope != EndpointScope::Changes {
            self.0.values_mut().for_each(|engine| engine.gone = true);
        }
    }

    /// Takes in an entry of the endpoint list, of an engine with so many cores.
    pub(crate) fn update(&mut self, entry: &EngineEntry, cores: f64, defaults: &EngineDefaults) {
        let engine = match self.0.entry(entry.engine) {
            Entry::Vacant(vacant) => vacant.insert(EngineRecord::new(entry.clone(), cores, defaults)),
            Entry::Occupied(occupied) => {
                let engine = occupied.into_mut();
                if entry.started.is_some() && engine.entry.started != entry.started {
                    engine.restart(entry, cores, defaults);
                }
                engine.entry = entry.clone();
                engine.cores = cores;
                engine
            }
        };
        if let Some(started) = entry.started {
            engine.slow_start.set_started(started.into());
        }
        engine.gone = entry.state != EngineState::InService;
    }

    /// Forgets removed engines with nothing in flight.
    pub(crate) fn end_update(&mut self) {
        self.0.retain(|_, engine| {
            let is_draining = engine.entry.state == EngineState::Draining;
            engine.attempts.in_flight() > 0 || !engine.gone || is_draining
        });
    }

    /// An engine.
    pub(crate) fn get(&self, id: EngineId) -> Option<&EngineRecord> {
        self.0.get(&id)
    }

    /// An engine.
    pub(crate) fn get_mut(&mut self, id: EngineId) -> Option<&mut EngineRecord> {
        self.0.get_mut(&id)
    }

    /// The engines, by id.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (EngineId, &EngineRecord)> {
        self.0.iter().map(|(id, engine)| (*id, engine))
    }

    /// The engines, in the order of their ids.
    pub(crate) fn values(&self) -> impl Iterator<Item = &EngineRecord> + Clone {
        self.0.values()
    }

    /// The engines, in the order of their ids.
    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut EngineRecord> {
        self.0.values_mut()
    }

    /// Engines in service.
    pub(crate) fn in_service(&self) -> impl Iterator<Item = &EngineRecord> + Clone {
        self.values().filter(|engine| !engine.gone)
    }

    /// Number of engines.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}
