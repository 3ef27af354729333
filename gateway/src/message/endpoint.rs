//! Engines as service discovery lists them, and where each is reached.

use crate::drain_guard::DrainGuard;
use reedwalk_scheduler::EngineEntry;
use std::net::SocketAddr;

/// One engine as service discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its entry for the scheduler.
    pub entry: EngineEntry,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A changed endpoint, with the drain guard for whatever is sent to it from now on.
#[derive(Clone, Debug)]
pub struct EndpointUpdate {
    /// The endpoint as it is now.
    pub endpoint: Endpoint,
    /// Shows connections whether they may still write to it.
    pub drain_guard: DrainGuard,
}

/// Where a transport reaches an engine.
#[derive(Clone, Debug)]
pub struct EngineAddress {
    /// Where it listens.
    pub address: SocketAddr,
    /// Shows connections whether they may still write to it.
    pub drain_guard: DrainGuard,
}
