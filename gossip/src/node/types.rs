//! Configuration of a gossip node, the actions it returns to its caller, and its counters.

use crate::codec::SigningKeys;
use crate::observations::AgreedObservation;
use crate::outliers::GossipEjection;
use crate::{Millis, PeerId};

/// Configuration of a [`GossipNode`](crate::GossipNode).
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Id of this gateway.
    pub local_id: PeerId,
    /// Number of configured gateways, including this one.
    pub gateway_count: usize,
    /// Bandwidth limit for sending, in bytes per second.
    pub max_bytes_per_second: u32,
    /// Signing keys; if empty, datagrams are not signed.
    pub signing_keys: SigningKeys,
    /// Whether heartbeats and observations are sent. If not, only outlier reports are sent, and no gateway is ever
    /// declared dead.
    pub heartbeats_enabled: bool,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Fleet-independent part of [`dead_after`].
const MIN_DEAD_AFTER_MS: Millis = 5_000;
/// Increase of [`dead_after`] per gateway, sized so that no live gateway is declared dead at 300 gateways and 30%
/// datagram loss (`docs/design/gossip.md`).
const DEAD_AFTER_PER_GATEWAY_MS: Millis = 15;

/// Failure detection timeout, in milliseconds: a gateway is declared dead after this long without a new heartbeat. It
/// grows with the fleet, because heartbeats take longer to spread and each datagram carries a smaller part of them.
pub fn dead_after(gateway_count: usize) -> Millis {
    MIN_DEAD_AFTER_MS + DEAD_AFTER_PER_GATEWAY_MS * gateway_count as Millis
}

/// Action that the caller must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum GossipAction {
    /// Send these bytes to this gateway.
    Send(PeerId, Vec<u8>),
    /// Eject an engine: enough other gateways report it as an outlier.
    Eject(GossipEjection),
    /// Apply an observation that other gateways agree on.
    ApplyObservation(AgreedObservation),
    /// Use this as the number of live gateways.
    SetLiveGateways(f64),
}

/// Counters since the node was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GossipCounters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub bytes: u64,
    /// Times a datagram was not sent, or was sent later, because the bandwidth limit was reached.
    pub rate_limited_sends: u64,
    /// Datagrams accepted.
    pub accepted: u64,
    /// Datagrams rejected because no gateway of the fleet sent them.
    pub unknown_sender: u64,
    /// Datagrams rejected because their sender exceeded its rate limit.
    pub rate_limited: u64,
    /// Datagrams rejected because none of the keys verifies their signature.
    pub bad_signature: u64,
    /// Datagrams rejected because they could not be decoded.
    pub malformed: u64,
    /// Datagrams rejected because they are too old, repeated or from the future.
    pub stale: u64,
    /// Outlier reports made by this gateway.
    pub own_reports: u64,
    /// Outlier reports of this gateway that were suppressed because the process had just been suspended.
    pub suppressed_reports: u64,
    /// Ejections made because of reports from other gateways.
    pub ejections: u64,
    /// Observations that enough other gateways agreed on.
    pub agreed_observations: u64,
}
