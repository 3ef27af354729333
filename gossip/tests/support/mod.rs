//! Gossip nodes for the integration tests.

use reedwalk_gossip::{EngineKey, GossipNode, NodeConfig, SigningKeys};
use std::collections::BTreeMap;

/// Bandwidth limit of each node, in bytes per second.
pub const MAX_BYTES_PER_SECOND: u32 = 8192;
/// Time of the first call, in milliseconds of Unix time.
pub const START_MS: u64 = 1_700_000_000_000;

/// An endpoint list of 20 engines that started long ago.
pub fn engine_list() -> BTreeMap<EngineKey, u32> {
    (0..20).map(|engine| (EngineKey(engine), 0)).collect()
}

/// Configuration of a node in a fleet of `gateway_count`.
pub fn node_config(local_id: u16, gateway_count: usize, signing_keys: SigningKeys) -> NodeConfig {
    NodeConfig {
        local_id,
        gateway_count,
        max_bytes_per_second: MAX_BYTES_PER_SECOND,
        signing_keys,
        heartbeats_enabled: true,
        seed: u64::from(local_id) + 1,
    }
}

/// Creates a node that starts now and has the endpoint list.
pub fn started_node(config: NodeConfig, now_ms: u64) -> GossipNode {
    let mut node = GossipNode::new(config, now_ms);
    node.set_engines(&engine_list(), now_ms);
    node
}

/// Creates a node in a fleet of `gateway_count` without signing keys.
pub fn unsigned_node(local_id: u16, gateway_count: usize, now_ms: u64) -> GossipNode {
    started_node(node_config(local_id, gateway_count, SigningKeys::default()), now_ms)
}
