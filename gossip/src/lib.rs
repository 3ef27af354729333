//! Gossip among the gateways of a fleet: which of them are alive, which engines are outliers, and what they observe of
//! engines. It does no I/O and reads no clock: datagrams come in and go out as bytes, and every call is told the time.
//!
//! Times are milliseconds on the caller's clock, which starts at the Unix time and goes forward only.

mod codec;
mod membership;
mod node;
mod observations;
mod outliers;
mod token_bucket;

pub use codec::{
    Datagram, DatagramError, Fact, FactKind, Heartbeat, KeyTooShort, MAX_DATAGRAM_BYTES, SigningKey,
    SigningKeys,
};
pub use membership::{MIN_LIVE_SHARE, Membership};
pub use node::{GossipAction, GossipCounters, GossipNode, NodeSetup, dead_after};
pub use observations::{MIN_OBSERVERS, Observations, OwnObservation, SharedObservation};
pub use outliers::{EngineKey, GossipEjection, MIN_REPORTERS, OutlierReports};
pub use token_bucket::TokenBucket;

/// Number of a gateway in its fleet, from 0: its index in the list of peers.
pub type PeerId = u16;
/// Milliseconds on the caller's clock.
pub type Millis = u64;
