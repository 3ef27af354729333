//! What a gossip node sends: heartbeats, outlier reports and observations, to whom and when.

use super::types::GossipAction;
use super::{BURST, GossipNode, HEARTBEAT_INTERVAL};
use crate::codec::{Datagram, Fact, MAX_DATAGRAM_BYTES};
use crate::{Millis, PeerId};
use rand::RngExt;
use rand::seq::SliceRandom;

/// Gateways that outlier reports go to at a time, and how often.
const PUSH_FANOUT: usize = 8;
const PUSH_INTERVAL: Millis = 50;
/// One heartbeat in this many goes to any gateway, alive or not.
const HEARTBEATS_PER_ANY: u32 = 4;
/// Random draws for a live gateway before the next live one in order is taken.
const RANDOM_DRAWS: usize = 4;
/// A change of the assumed number of live gateways is announced from this share on.
const MIN_LIVE_CHANGE: f64 = 0.02;
/// Facts in a datagram at most.
const MAX_FACTS: usize = 8;
/// Observations of engines go to one other gateway at this interval, drawn as heartbeats are, in datagrams of their own:
/// heartbeats keep their space. Each gateway receives as many a second whatever the size of the fleet.
const OBSERVATION_INTERVAL: Millis = 250;
/// The interval while there is a restart or a slow engine to report.
const URGENT_OBSERVATION_INTERVAL: Millis = 80;
/// Share of the bucket that datagrams of other kinds leave for heartbeats.
const HEARTBEAT_RESERVE: f64 = 0.25;

/// What a datagram is for.
enum Purpose {
    /// Heartbeats, with the outlier reports that there are.
    Heartbeats,
    /// Outlier reports alone.
    Outliers,
    /// Observations of engines.
    Observations(Vec<Fact>),
}

impl GossipNode {
    /// When [`GossipNode::act`] is wanted next, if nothing happens before.
    pub fn next_due(&self) -> Millis {
        let due = self.next_heartbeat.min(self.next_observations);
        if self.push_rounds_left > 0 { due.min(self.next_push) } else { due }
    }

    /// Appends what is to be done now.
    pub fn act(&mut self, now: Millis, actions: &mut Vec<GossipAction>) {
        self.check_sleep(now);
        if now >= self.next_heartbeat {
            self.next_heartbeat = now
                + self.rng.random_range(HEARTBEAT_INTERVAL / 2..=HEARTBEAT_INTERVAL + HEARTBEAT_INTERVAL / 2);
            // One in four goes to any gateway, so that one taken for dead hears of the others again.
            let must_live = self.rng.random_range(0..HEARTBEATS_PER_ANY) > 0;
            let to = self.draw_peer(must_live, now);
            if let Some(to) = to {
                self.send(to, Purpose::Heartbeats, now, actions);
            }
        }
        if now >= self.next_observations {
            let interval = if self.observations.has_urgent(now) {
                URGENT_OBSERVATION_INTERVAL
            } else {
                OBSERVATION_INTERVAL
            };
            self.next_observations = now + self.rng.random_range(interval / 2..=interval + interval / 2);
            let facts = if now >= self.suppress_until {
                self.observations.next_facts(MAX_FACTS, now)
            } else {
                Vec::new()
            };
            if let Some(to) = self.draw_peer(true, now).filter(|_| !facts.is_empty()) {
                self.send(to, Purpose::Observations(facts), now, actions);
            }
        }
        if self.push_rounds_left > 0 && now >= self.next_push {
            self.next_push = now + PUSH_INTERVAL;
            self.push(now, actions);
        }
        for mut ejection in self.outliers.new_ejections(now) {
            self.counters.ejections += 1;
            // All learn of it in the same moment, and must not return to the engine in the same moment.
            ejection.until -= self.rng.random_range(0..=(ejection.until - now) / 2);
            actions.push(GossipAction::Ejected(ejection));
        }
        let shared = self.observations.new_shared(now);
        self.counters.shared_observations += shared.len() as u64;
        actions.extend(shared.into_iter().map(GossipAction::Observed));
        let live = self.membership.assumed_live(now);
        if (live - self.announced_live).abs() > MIN_LIVE_CHANGE * self.announced_live
            || live == self.others.len() as f64 && self.announced_live < live
        {
            self.announced_live = live;
            actions.push(GossipAction::LiveGateways(live));
        }
    }

    /// Sends the outlier reports to the next few gateways.
    fn push(&mut self, now: Millis, actions: &mut Vec<GossipAction>) {
        if !self.outliers.has_own(now) {
            self.push_rounds_left = 0;
            return;
        }
        if self.push_targets.is_empty() {
            let all = 0..self.others.len() as PeerId;
            self.push_targets =
                all.filter(|p| *p != self.setup.me && self.membership.is_alive(*p, now)).collect();
            self.push_targets.shuffle(&mut self.rng);
        }
        for _ in 0..PUSH_FANOUT {
            let Some(&to) = self.push_targets.last() else { break };
            if !self.send(to, Purpose::Outliers, now, actions) {
                return;
            }
            self.push_targets.pop();
        }
        if self.push_targets.is_empty() {
            self.push_rounds_left -= 1;
        }
    }

    /// Another gateway, drawn at random; a live one, if there is one and `must_live`.
    fn draw_peer(&mut self, must_live: bool, now: Millis) -> Option<PeerId> {
        let count = self.others.len();
        if count < 2 {
            return None;
        }
        let begin = self.rng.random_range(0..count);
        let from_there = (0..count).map(|n| ((begin + n) % count) as PeerId).filter(|p| *p != self.setup.me);
        // A live gateway behind a row of dead ones would be drawn too often, so a few are drawn first.
        if must_live {
            for _ in 0..RANDOM_DRAWS {
                let one = self.rng.random_range(0..count) as PeerId;
                if one != self.setup.me && self.membership.is_alive(one, now) {
                    return Some(one);
                }
            }
            return from_there
                .clone()
                .find(|p| self.membership.is_alive(*p, now))
                .or_else(|| from_there.clone().next());
        }
        from_there.clone().next()
    }

    fn send(&mut self, to: PeerId, purpose: Purpose, now: Millis, actions: &mut Vec<GossipAction>) -> bool {
        self.last_sent = (self.last_sent + 1).max(now * 1000);
        let mut datagram = Datagram {
            from: self.setup.me,
            incarnation: self.started,
            sent: self.last_sent,
            ..Datagram::default()
        };
        // Other datagrams leave a part of the bucket for heartbeats.
        let bucket = f64::from(self.setup.max_bytes_per_second) * BURST;
        let reserve = if matches!(purpose, Purpose::Heartbeats) { 0.0 } else { bucket * HEARTBEAT_RESERVE };
        datagram.facts = match purpose {
            Purpose::Observations(facts) => facts,
            _ if now >= self.suppress_until => self.outliers.next_facts(MAX_FACTS, now),
            _ => Vec::new(),
        };
        if reserve == 0.0 {
            self.add_heartbeats(to, &mut datagram, now);
        }
        let bytes = self.setup.keys.seal(&datagram);
        if !self.bandwidth.take_with_reserve(bytes.len() as f64, reserve, now) {
            self.counters.rate_limited_sends += 1;
            return false;
        }
        self.counters.sent += 1;
        self.counters.bytes += bytes.len() as u64;
        actions.push(GossipAction::Send(to, bytes));
        true
    }

    /// Adds the heartbeats of other live gateways, from a random one on, as many as fit.
    fn add_heartbeats(&mut self, to: PeerId, datagram: &mut Datagram, now: Millis) {
        // Each heartbeat takes two bytes, and their count may take one byte more than that of an empty list.
        let fixed = postcard::to_allocvec(&*datagram).map_or(MAX_DATAGRAM_BYTES, |b| b.len()) + 1;
        let free_bytes = self.setup.keys.max_content_bytes().saturating_sub(fixed);
        let count = self.others.len();
        let begin = self.rng.random_range(0..count.max(1));
        let mut last = usize::from(self.setup.me);
        for peer in (0..count).map(|n| (begin + n) % count) {
            let id = peer as PeerId;
            if id == to || id == self.setup.me || !self.membership.is_alive(id, now) {
                continue;
            }
            let heartbeat = self
                .membership
                .latest_heartbeat(id)
                .and_then(|latest| datagram.heartbeat((peer + count - last) % count, latest));
            let Some(heartbeat) = heartbeat else { continue };
            if datagram.heartbeats.len() >= free_bytes / 2 {
                return;
            }
            last = peer;
            datagram.heartbeats.push(heartbeat);
        }
    }
}
