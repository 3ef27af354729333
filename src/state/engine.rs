//! Engine records: the entry in the endpoint list and the state of each policy component for the engine.

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

/// State kept for one engine.
pub(crate) struct EngineRecord {
    /// Latest entry in the endpoint list.
    pub(crate) entry: EngineEntry,
    /// The engine is draining or removed from the endpoint list.
    pub(crate) out_of_service: bool,
    /// Number of cores, by the kind in the entry.
    pub(crate) cores: f64,
    /// This gateway's attempts at the engine.
    pub(crate) attempts: EngineAttempts,
    /// Limits the threads that this gateway may use on the engine.
    pub(crate) limit: ConcurrencyLimit,
    /// Samples from which the engine's load is estimated.
    pub(crate) load: LoadEvidence,
    /// Latest observed slowdown.
    pub(crate) slowdown: ObservedSlowdown,
    /// Whether the engine is ejected, paused or on probation.
    pub(crate) health: EngineHealth,
    /// Progress of the slow start.
    pub(crate) slow_start: SlowStartState,
}

/// Inputs for the initial state of an engine record.
pub(crate) struct EngineDefaults<'a> {
    /// Number of classes.
    pub(crate) classes: usize,
    /// Numbers of gateways that share the pool.
    pub(crate) gateways: &'a GatewayCounts,
    /// Current time.
    pub(crate) now: Timestamp,
}

impl EngineRecord {
    /// Creates the record of a newly listed engine.
    pub(crate) fn new(entry: EngineEntry, cores: f64, defaults: &EngineDefaults) -> Self {
        Self {
            entry,
            out_of_service: false,
            cores,
            attempts: EngineAttempts::new(defaults.now),
            limit: ConcurrencyLimit::initial(cores, defaults.gateways),
            load: LoadEvidence::new(defaults.classes),
            slowdown: ObservedSlowdown::default(),
            health: EngineHealth::default(),
            slow_start: SlowStartState::default(),
        }
    }

    /// Resets the record after a restart of the engine; only the attempts in flight are kept.
    fn restart(&mut self, entry: &EngineEntry, cores: f64, defaults: &EngineDefaults) {
        let attempts = std::mem::take(&mut self.attempts).restarted(defaults.now);
        *self = Self { attempts, ..Self::new(entry.clone(), cores, defaults) };
    }
}

/// All engines, by id.
#[derive(Default)]
pub(crate) struct EngineTable(BTreeMap<EngineId, EngineRecord>);

impl EngineTable {
    /// Begins to apply a message of the endpoint list.
    pub(crate) fn begin_update(&mut self, scope: EndpointScope) {
        if scope != EndpointScope::Changes {
            self.0.values_mut().for_each(|engine| engine.out_of_service = true);
        }
    }

    /// Applies an entry of the endpoint list; `cores` is the engine's number of cores.
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
        engine.out_of_service = entry.state != EngineState::InService;
    }

    /// Deletes the records of removed engines without attempts in flight.
    pub(crate) fn end_update(&mut self) {
        self.0.retain(|_, engine| {
            let is_draining = engine.entry.state == EngineState::Draining;
            engine.attempts.in_flight() > 0 || !engine.out_of_service || is_draining
        });
    }

    pub(crate) fn get(&self, id: EngineId) -> Option<&EngineRecord> {
        self.0.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: EngineId) -> Option<&mut EngineRecord> {
        self.0.get_mut(&id)
    }

    /// Iterates over the engines in the order of their ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (EngineId, &EngineRecord)> {
        self.0.iter().map(|(id, engine)| (*id, engine))
    }

    /// Iterates over the engines in the order of their ids.
    pub(crate) fn values(&self) -> impl Iterator<Item = &EngineRecord> + Clone {
        self.0.values()
    }

    /// Iterates over the engines in the order of their ids.
    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut EngineRecord> {
        self.0.values_mut()
    }

    /// Iterates over the engines in service.
    pub(crate) fn in_service(&self) -> impl Iterator<Item = &EngineRecord> + Clone {
        self.values().filter(|engine| !engine.out_of_service)
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}
