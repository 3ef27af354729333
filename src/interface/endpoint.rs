//! Entries of the endpoint list.

use super::ids::{CellId, EngineId, KindId, Time, ZoneId};

/// State of an engine in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineState {
    /// Takes requests.
    #[default]
    InService,
    /// Finishes its requests and takes no new ones.
    Draining,
    /// Removed.
    Removed,
}

/// One engine in the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineEntry {
    /// Which engine.
    pub engine: EngineId,
    /// Its zone, if known.
    pub zone: Option<ZoneId>,
    /// Its kind of machine, if known.
    pub kind: Option<KindId>,
    /// Its cell, if known.
    pub cell: Option<CellId>,
    /// Its state.
    pub state: EngineState,
    /// When it last started; `None` for long ago.
    pub started: Option<Time>,
}

impl EngineEntry {
    /// An engine that has long been in service, of the first kind, in no known zone.
    pub fn new(engine: EngineId) -> Self {
        let state = EngineState::InService;
        Self { engine, zone: None, kind: Some(KindId(0)), cell: None, state, started: None }
    }
}

/// What a message of the endpoint list covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointScope {
    /// All engines; those not named were removed.
    Complete,
    /// All engines as known before this gateway restarted; possibly outdated.
    Cached,
    /// Changed entries only.
    Changes,
}
