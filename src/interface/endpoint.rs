//! Entries of the endpoint list.

use super::ids::{CellId, EngineId, KindId, Time, ZoneId};

/// State of an engine in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineState {
    /// Accepts requests.
    #[default]
    InService,
    /// Finishes its requests and accepts no new ones.
    Draining,
    /// Removed from the list.
    Removed,
}

/// One engine in the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineEntry {
    /// Id of the engine.
    pub engine: EngineId,
    /// Zone of the engine, if known.
    pub zone: Option<ZoneId>,
    /// Kind of machine, if known.
    pub kind: Option<KindId>,
    /// Deduplication cell, if known.
    pub cell: Option<CellId>,
    /// Current state.
    pub state: EngineState,
    /// Time of the last start; `None` if it was long ago.
    pub started: Option<Time>,
}

impl EngineEntry {
    /// Creates an engine of the first kind that has long been in service, with unknown zone and cell.
    pub fn new(engine: EngineId) -> Self {
        let state = EngineState::InService;
        Self { engine, zone: None, kind: Some(KindId(0)), cell: None, state, started: None }
    }
}

/// Which engines a message of the endpoint list covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointScope {
    /// All engines; engines not listed were removed.
    Complete,
    /// All engines known before this gateway restarted; possibly outdated.
    Cached,
    /// Changed entries only.
    Changes,
}
