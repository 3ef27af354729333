//! Gossip protocol between the gateways of a fleet: it spreads which gateways are alive, which engines are outliers,
//! and what the gateways observe of engines. It does no I/O and reads no clock: datagrams are passed in and returned
//! as bytes, and every call is passed the current time.
//!
//! Times are in milliseconds on the caller's clock, which starts at the Unix time and is monotonic.
//!
//! # Example
//!
//! Two gateways report that they have ejected an engine; the third one ejects it because of their reports.
//!
//! ```
//! use reedwalk_gossip::{EngineKey, FactKind, GossipAction, GossipNode, NodeConfig, SigningKeys};
//! use std::collections::BTreeMap;
//!
//! let start = 1_700_000_000_000;
//! let engine = EngineKey::from("s-1");
//! let node = |id| {
//!     let config = NodeConfig {
//!         local_id: id,
//!         gateway_count: 3,
//!         max_bytes_per_second: 8192,
//!         signing_keys: SigningKeys::default(),
//!         heartbeats_enabled: true,
//!         seed: u64::from(id),
//!     };
//!     let mut node = GossipNode::new(config, start);
//!     node.set_engines(&BTreeMap::from([(engine, 0), (EngineKey::from("s-2"), 0)]), start);
//!     node
//! };
//! let mut nodes = [node(0), node(1), node(2)];
//! for reporter in [0, 1] {
//!     nodes[reporter].report_outlier(engine, FactKind::Failing, start + 4_000, start);
//! }
//!
//! let mut ejected = false;
//! for now in start..start + 500 {
//!     for id in 0..3 {
//!         let mut actions = Vec::new();
//!         nodes[id].tick(now, &mut actions);
//!         for action in actions {
//!             match action {
//!                 GossipAction::Send(to, datagram) => {
//!                     let received = nodes[usize::from(to)].on_datagram(Some(id as u16), &datagram, now);
//!                     assert_eq!(received, Ok(()));
//!                 }
//!                 GossipAction::Eject(ejection) if id == 2 => ejected |= ejection.engine == engine,
//!                 _ => {}
//!             }
//!         }
//!     }
//! }
//! assert!(ejected);
//! ```

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
pub use node::{GossipAction, GossipCounters, GossipNode, NodeConfig, dead_after};
pub use observations::{AgreedObservation, MIN_OBSERVERS, Observations, OwnObservation};
pub use outliers::{EngineKey, GossipEjection, MIN_EJECTION_WEIGHT, OutlierReports};
pub use token_bucket::TokenBucket;

/// Number of a gateway in its fleet: its zero-based index in the list of peers.
pub type PeerId = u16;
/// A time or duration in milliseconds, on the caller's clock.
pub type Millis = u64;
