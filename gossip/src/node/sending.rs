//! Sending of heartbeats, outlier reports and observations: to which gateways and when.

use super::types::GossipAction;
use super::{BURST_SHARE, GossipNode, HEARTBEAT_INTERVAL_MS};
use crate::codec::{Datagram, Fact, MAX_DATAGRAM_BYTES};
use crate::{Millis, PeerId};
use rand::RngExt;
use rand::seq::SliceRandom;

/// Gateways that are sent outlier reports at a time. Each reporter uses its own random order, so that a few reporters
/// quickly reach many gateways.
const PUSH_FANOUT: usize = 8;
/// Interval between sending outlier reports to the next [`PUSH_FANOUT`] gateways.
const PUSH_INTERVAL_MS: Millis = 50;
/// One heartbeat in this many goes to any gateway, alive or dead, so that a gateway declared dead receives heartbeats
/// again.
const HEARTBEATS_PER_ANY_PEER: u32 = 4;
/// Random choices before falling back to the next live gateway by id. The fallback alone would choose a gateway that
/// follows a run of dead ones too often.
const MAX_RANDOM_CHOICES: usize = 4;
/// Minimum relative change of the assumed number of live gateways that is passed to the caller, because each change
/// adjusts all limits.
const MIN_LIVE_CHANGE_SHARE: f64 = 0.02;
/// Maximum number of facts in a datagram, which leaves space for heartbeats.
const MAX_FACTS: usize = 8;
/// Mean interval between datagrams with observations, each sent to one randomly chosen gateway. They are separate
/// datagrams, so that heartbeats keep their space. Each gateway receives the same number per second at any fleet
/// size.
const OBSERVATION_INTERVAL_MS: Millis = 250;
/// Shorter interval, used while there is a restart or a slow engine to report.
const URGENT_OBSERVATION_INTERVAL_MS: Millis = 80;
/// Share of the bandwidth bucket that other datagrams leave for heartbeats.
const HEARTBEAT_RESERVE_SHARE: f64 = 0.25;

/// Content of a datagram.
enum Payload {
    /// Heartbeats, and the outlier reports of this gateway.
    Heartbeats,
    /// Outlier reports only.
    OutlierReports,
    /// Observations of engines.
    Observations(Vec<Fact>),
}

impl GossipNode {
    /// When [`GossipNode::tick`] must be called next, unless another event occurs before.
    pub fn next_tick_at(&self) -> Millis {
        let due = self.next_heartbeat_at.min(self.next_observations_at);
        if self.push_rounds_left > 0 { due.min(self.next_push_at) } else { due }
    }

    /// Does everything that is due, and appends the resulting actions.
    pub fn tick(&mut self, now: Millis, actions: &mut Vec<GossipAction>) {
        self.detect_suspension(now);
        if now >= self.next_heartbeat_at {
            self.next_heartbeat_at = now + self.jittered_interval(HEARTBEAT_INTERVAL_MS);
            self.send_heartbeat(now, actions);
        }
        if now >= self.next_observations_at {
            self.send_observations(now, actions);
        }
        if self.push_rounds_left > 0 && now >= self.next_push_at {
            self.next_push_at = now + PUSH_INTERVAL_MS;
            self.push_outlier_reports(now, actions);
        }
        self.announce_ejections(now, actions);
        let agreed = self.observations.take_agreed(now);
        self.counters.agreed_observations += agreed.len() as u64;
        actions.extend(agreed.into_iter().map(GossipAction::ApplyObservation));
        self.announce_live_gateways(now, actions);
    }

    /// Random interval, uniformly distributed between half and one and a half times the mean.
    fn jittered_interval(&mut self, mean: Millis) -> Millis {
        self.rng.random_range(mean / 2..=mean + mean / 2)
    }

    fn send_heartbeat(&mut self, now: Millis, actions: &mut Vec<GossipAction>) {
        let must_be_live = self.rng.random_range(0..HEARTBEATS_PER_ANY_PEER) > 0;
        if let Some(to) = self.choose_peer(must_be_live, now) {
            self.send(to, Payload::Heartbeats, now, actions);
        }
    }

    fn send_observations(&mut self, now: Millis, actions: &mut Vec<GossipAction>) {
        let is_urgent = self.observations.has_urgent_facts(now);
        let interval = if is_urgent { URGENT_OBSERVATION_INTERVAL_MS } else { OBSERVATION_INTERVAL_MS };
        self.next_observations_at = now + self.jittered_interval(interval);
        let is_suppressed = now < self.suppress_until;
        let facts = if is_suppressed { Vec::new() } else { self.observations.next_facts(MAX_FACTS, now) };
        // A peer is also chosen if there is nothing to send, so that the sequence of random numbers does not depend
        // on it.
        let to = self.choose_peer(true, now);
        if let Some(to) = to.filter(|_| !facts.is_empty()) {
            self.send(to, Payload::Observations(facts), now, actions);
        }
    }

    fn announce_ejections(&mut self, now: Millis, actions: &mut Vec<GossipAction>) {
        for mut ejection in self.outliers.new_ejections(now) {
            self.counters.ejections += 1;
            // All gateways eject the engine at the same moment; jitter keeps them from returning to it at the same
            // moment.
            let half = (ejection.until - now) / 2;
            ejection.until -= self.rng.random_range(0..=half);
            actions.push(GossipAction::Eject(ejection));
        }
    }

    fn announce_live_gateways(&mut self, now: Millis, actions: &mut Vec<GossipAction>) {
        let live = self.membership.assumed_live(now);
        let change = (live - self.announced_live).abs();
        let all_are_back = live == self.peers.len() as f64 && self.announced_live < live;
        if change > MIN_LIVE_CHANGE_SHARE * self.announced_live || all_are_back {
            self.announced_live = live;
            actions.push(GossipAction::SetLiveGateways(live));
        }
    }

    /// Sends the outlier reports to the next gateways of the current round.
    fn push_outlier_reports(&mut self, now: Millis, actions: &mut Vec<GossipAction>) {
        if !self.outliers.has_own_reports(now) {
            self.push_rounds_left = 0;
            return;
        }
        if self.push_targets.is_empty() {
            let all = 0..self.peers.len() as PeerId;
            self.push_targets = all
                .filter(|peer| *peer != self.config.local_id && self.membership.is_live(*peer, now))
                .collect();
            self.push_targets.shuffle(&mut self.rng);
        }
        for _ in 0..PUSH_FANOUT {
            let Some(&to) = self.push_targets.last() else { break };
            if !self.send(to, Payload::OutlierReports, now, actions) {
                return;
            }
            self.push_targets.pop();
        }
        if self.push_targets.is_empty() {
            self.push_rounds_left -= 1;
        }
    }

    /// Chooses another gateway at random; a live one if `must_be_live` and there is one.
    fn choose_peer(&mut self, must_be_live: bool, now: Millis) -> Option<PeerId> {
        let gateway_count = self.peers.len();
        if gateway_count < 2 {
            return None;
        }
        let local_id = self.config.local_id;
        let first = self.rng.random_range(0..gateway_count);
        let mut in_order = (0..gateway_count)
            .map(|offset| ((first + offset) % gateway_count) as PeerId)
            .filter(|peer| *peer != local_id);
        if !must_be_live {
            return in_order.next();
        }
        for _ in 0..MAX_RANDOM_CHOICES {
            let candidate = self.rng.random_range(0..gateway_count) as PeerId;
            if candidate != local_id && self.membership.is_live(candidate, now) {
                return Some(candidate);
            }
        }
        let live = in_order.clone().find(|peer| self.membership.is_live(*peer, now));
        live.or_else(|| in_order.next())
    }

    fn send(&mut self, to: PeerId, payload: Payload, now: Millis, actions: &mut Vec<GossipAction>) -> bool {
        // Send times must be strictly increasing: receivers reject repeated ones.
        self.last_sent_us = (self.last_sent_us + 1).max(now * 1000);
        let mut datagram = Datagram {
            from: self.config.local_id,
            incarnation: self.started_at,
            sent: self.last_sent_us,
            ..Datagram::default()
        };
        // Other datagrams leave part of the bucket for heartbeats.
        let is_heartbeat = matches!(payload, Payload::Heartbeats);
        let bucket_bytes = f64::from(self.config.max_bytes_per_second) * BURST_SHARE;
        let reserve = if is_heartbeat { 0.0 } else { bucket_bytes * HEARTBEAT_RESERVE_SHARE };
        datagram.facts = match payload {
            Payload::Observations(facts) => facts,
            _ if now >= self.suppress_until => self.outliers.next_facts(MAX_FACTS, now),
            _ => Vec::new(),
        };
        if is_heartbeat {
            self.add_heartbeats(to, &mut datagram, now);
        }
        let bytes = self.config.signing_keys.encode(&datagram);
        if !self.bandwidth_limit.take_with_reserve(bytes.len() as f64, reserve, now) {
            self.counters.rate_limited_sends += 1;
            return false;
        }
        self.counters.sent += 1;
        self.counters.bytes += bytes.len() as u64;
        actions.push(GossipAction::Send(to, bytes));
        true
    }

    /// Adds as many heartbeats of other live gateways as fit, beginning at a random gateway.
    fn add_heartbeats(&mut self, to: PeerId, datagram: &mut Datagram, now: Millis) {
        // Each heartbeat takes two bytes, and the length prefix of the list may be one byte longer than that of an
        // empty list.
        let encoded = postcard::to_allocvec(&*datagram);
        let fixed_bytes = encoded.map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len()) + 1;
        let free_bytes = self.config.signing_keys.max_content_bytes().saturating_sub(fixed_bytes);
        let max_heartbeats = free_bytes / 2;
        let gateway_count = self.peers.len();
        let first = self.rng.random_range(0..gateway_count.max(1));
        let mut last = usize::from(self.config.local_id);
        for peer in (0..gateway_count).map(|offset| (first + offset) % gateway_count) {
            let id = peer as PeerId;
            if id == to || id == self.config.local_id || !self.membership.is_live(id, now) {
                continue;
            }
            let skip = (peer + gateway_count - last) % gateway_count;
            let latest = self.membership.latest_heartbeat(id);
            let Some(heartbeat) = latest.and_then(|latest| datagram.heartbeat(skip, latest)) else {
                continue;
            };
            if datagram.heartbeats.len() >= max_heartbeats {
                return;
            }
            last = peer;
            datagram.heartbeats.push(heartbeat);
        }
    }
}
