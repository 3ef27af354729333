//! Failure detection. Each gateway sends heartbeats with its own time; others forward the latest one they have
//! received of each gateway, and a later heartbeat always replaces an earlier one. So no gateway can declare another
//! one dead; a forged heartbeat can only make a dead gateway count as live, as it would without gossip.

use crate::{Millis, PeerId};

/// Maximum growth per second of a gateway's capacity share as others are declared dead, so that a false detection has
/// little effect until the next heartbeat corrects it.
const MAX_GROWTH_PER_SECOND: f64 = 0.1;
/// Minimum share of the configured gateways that is assumed to be alive, so that no gateway uses more than five times
/// its configured capacity share.
pub const MIN_LIVE_SHARE: f64 = 0.2;
/// Maximum time by which a timestamp may be ahead of the local clock; beyond it one of the clocks is wrong.
pub(crate) const MAX_CLOCK_SKEW_MS: Millis = 2_000;

#[derive(Clone, Copy, Debug)]
struct PeerLiveness {
    /// Latest heartbeat, in tenths of a second of the peer's own clock; 0 if none was received.
    heartbeat: u64,
    /// When it was received, by the local clock.
    received_at: Millis,
}

/// Liveness of all gateways, as seen by this one.
#[derive(Clone, Debug)]
pub struct Membership {
    local_id: PeerId,
    /// A gateway is dead after this long without a new heartbeat.
    dead_after: Millis,
    peers: Vec<PeerLiveness>,
    /// The assumed number of live gateways.
    assumed_live_count: f64,
    assumed_updated_at: Millis,
}

impl Membership {
    /// Creates a membership without any received heartbeat: all gateways are live until `dead_after` has passed.
    pub fn new(local_id: PeerId, gateway_count: usize, dead_after: Millis, now: Millis) -> Self {
        Self {
            local_id,
            dead_after,
            peers: vec![PeerLiveness { heartbeat: 0, received_at: now }; gateway_count],
            assumed_live_count: gateway_count as f64,
            assumed_updated_at: now,
        }
    }

    /// Records a heartbeat, in tenths of a second; returns whether it is later than the previous ones.
    pub(crate) fn record_heartbeat(&mut self, peer: PeerId, heartbeat: u64, now: Millis) -> bool {
        // A time this far ahead is wrong, and would cause later, correct ones to be ignored.
        if heartbeat > (now + MAX_CLOCK_SKEW_MS) / 100 || peer == self.local_id {
            return false;
        }
        match self.peers.get_mut(usize::from(peer)) {
            Some(liveness) if heartbeat > liveness.heartbeat => {
                *liveness = PeerLiveness { heartbeat, received_at: now };
                true
            }
            _ => false,
        }
    }

    /// Extends the deadlines of all gateways by the time for which this process was suspended and could not receive
    /// heartbeats.
    pub fn extend_deadlines(&mut self, duration: Millis) {
        for liveness in &mut self.peers {
            liveness.received_at += duration;
        }
    }

    /// Whether this gateway considers another one alive.
    pub fn is_live(&self, peer: PeerId, now: Millis) -> bool {
        let liveness = self.peers.get(usize::from(peer));
        let is_recent = |liveness: &PeerLiveness| now.saturating_sub(liveness.received_at) < self.dead_after;
        peer == self.local_id || liveness.is_some_and(is_recent)
    }

    /// The latest heartbeat of a gateway, if any was received.
    pub(crate) fn latest_heartbeat(&self, peer: PeerId) -> Option<u64> {
        let liveness = self.peers.get(usize::from(peer));
        liveness.map(|liveness| liveness.heartbeat).filter(|heartbeat| *heartbeat > 0)
    }

    /// Number of live gateways, including this one.
    pub fn live_count(&self, now: Millis) -> usize {
        (0..self.peers.len()).filter(|peer| self.is_live(*peer as PeerId, now)).count()
    }

    /// The assumed number of live gateways: it rises at once when gateways return, and falls slowly when gateways are
    /// declared dead.
    pub fn assumed_live(&mut self, now: Millis) -> f64 {
        let configured = self.peers.len() as f64;
        let live = (self.live_count(now) as f64).max(configured * MIN_LIVE_SHARE);
        let elapsed_seconds = now.saturating_sub(self.assumed_updated_at) as f64 / 1000.0;
        let max_fall = (1.0 - MAX_GROWTH_PER_SECOND).powf(elapsed_seconds);
        self.assumed_updated_at = self.assumed_updated_at.max(now);
        self.assumed_live_count = live.max(self.assumed_live_count * max_fall);
        self.assumed_live_count
    }
}

#[cfg(test)]
mod tests;
