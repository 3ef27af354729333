//! Engines as listed by service discovery, and their addresses.

use crate::drain_guard::DrainGuard;
use reedwalk_scheduler::EngineEntry;
use std::net::SocketAddr;

/// One engine as listed by service discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The engine's entry for the scheduler.
    pub entry: EngineEntry,
    /// The address on which the engine listens.
    pub address: SocketAddr,
}

/// A changed endpoint, with the drain guard that applies to everything sent to it from now on.
#[derive(Clone, Debug)]
pub struct EndpointUpdate {
    /// The new state of the endpoint.
    pub endpoint: Endpoint,
    /// Tells connections whether they may still write to the engine.
    pub drain_guard: DrainGuard,
}

/// The address at which a transport reaches an engine.
#[derive(Clone, Debug)]
pub struct EngineAddress {
    /// The address on which the engine listens.
    pub address: SocketAddr,
    /// Tells connections whether they may still write to the engine.
    pub drain_guard: DrainGuard,
}
