//! State of one gateway in the gossip protocol and handling of received datagrams. Sending is in `node/sending.rs`.

mod sending;
mod types;

pub use types::{GossipAction, GossipCounters, NodeConfig, dead_after};

use crate::codec::{Datagram, DatagramError, FactKind, MAX_DATAGRAM_BYTES, SigningKeys};
use crate::membership::{MAX_CLOCK_SKEW_MS, Membership};
use crate::observations::{Observations, OwnObservation};
use crate::outliers::{EngineKey, OutlierReports};
use crate::token_bucket::TokenBucket;
use crate::{Millis, PeerId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// Mean interval between heartbeats, each sent to one other gateway; jittered by up to half. Short enough that no
/// live gateway is declared dead at 300 gateways and 30% datagram loss (`docs/design/gossip.md`).
const HEARTBEAT_INTERVAL_MS: Millis = 125;
/// How many times outlier reports are sent to every live gateway, because three in ten datagrams may be lost.
const PUSH_ROUNDS: u32 = 3;
/// A process that did not run for this long was suspended. Its own reports are suppressed for the same time
/// afterwards: they would show the effects of the suspension, not a fault of an engine.
const SUSPENSION_THRESHOLD_MS: Millis = 1_000;
/// Maximum age of an accepted datagram, by the local clock.
const MAX_DATAGRAM_AGE_MS: Millis = 5_000;
/// Datagrams decoded per second and sender; higher than the sender's own bandwidth limit allows.
const MAX_DATAGRAMS_PER_SECOND: f64 = 200.0;
/// Capacity of the bandwidth bucket, as a share of the bytes allowed per second.
const BURST_SHARE: f64 = 0.25;
/// Refill rate of the bandwidth bucket, as a share of the bytes allowed per second. The sum with [`BURST_SHARE`] is
/// below one, so that the limit holds in every second, even if some datagrams are sent late.
const SUSTAINED_SHARE: f64 = 0.7;

/// State kept for one other gateway.
#[derive(Clone, Copy, Debug)]
struct PeerState {
    /// Start time of its process.
    incarnation: Millis,
    /// Send time of its last accepted datagram, in microseconds of its own clock.
    last_sent_us: u64,
    /// Limits how many of its datagrams are decoded.
    datagram_limit: TokenBucket,
}

impl PeerState {
    /// Rejects a datagram from this gateway that is old, repeated or from the future.
    fn check_freshness(&self, datagram: &Datagram, now: Millis) -> Result<(), DatagramError> {
        let sent_ms = datagram.sent / 1000;
        if datagram.incarnation > sent_ms {
            return Err(DatagramError::Malformed);
        }
        if sent_ms > now + MAX_CLOCK_SKEW_MS {
            return Err(DatagramError::Future);
        }
        let is_repeated = datagram.incarnation == self.incarnation && datagram.sent <= self.last_sent_us;
        let is_old = sent_ms + MAX_DATAGRAM_AGE_MS < now;
        if is_old || is_repeated || datagram.incarnation < self.incarnation {
            return Err(DatagramError::Stale);
        }
        Ok(())
    }
}

/// State of one gateway in the gossip protocol.
#[derive(Debug)]
pub struct GossipNode {
    config: NodeConfig,
    /// Start time of this process; the incarnation in its datagrams.
    started_at: Millis,
    peers: Vec<PeerState>,
    membership: Membership,
    outliers: OutlierReports,
    observations: Observations,
    /// Limits the bytes sent.
    bandwidth_limit: TokenBucket,
    rng: StdRng,
    /// Send time of the last datagram, in microseconds; the next one must be later.
    last_sent_us: u64,
    next_heartbeat_at: Millis,
    next_push_at: Millis,
    next_observations_at: Millis,
    /// Gateways that have not yet been sent the outlier reports in the current round.
    push_targets: Vec<PeerId>,
    /// Rounds left, including the current one.
    push_rounds_left: u32,
    /// Time of the latest call, for detecting a suspension.
    last_called_at: Millis,
    /// End of the time in which this gateway's own reports are suppressed after a suspension.
    suppress_until: Millis,
    /// Number of live gateways in the last [`GossipAction::SetLiveGateways`].
    announced_live: f64,
    counters: GossipCounters,
}

impl GossipNode {
    /// Creates a node that starts now and has received nothing yet.
    pub fn new(config: NodeConfig, now: Millis) -> Self {
        let bytes_per_second = f64::from(config.max_bytes_per_second);
        let burst = (bytes_per_second * BURST_SHARE).max(MAX_DATAGRAM_BYTES as f64);
        let peer = PeerState {
            incarnation: 0,
            last_sent_us: 0,
            datagram_limit: TokenBucket::new(MAX_DATAGRAMS_PER_SECOND, MAX_DATAGRAMS_PER_SECOND, now),
        };
        let mut rng = StdRng::seed_from_u64(config.seed);
        // Spreads the first heartbeats of gateways that start at the same moment.
        let next_heartbeat_at = if config.heartbeats_enabled {
            now + rng.random_range(0..=HEARTBEAT_INTERVAL_MS)
        } else {
            Millis::MAX
        };
        let dead_after =
            if config.heartbeats_enabled { dead_after(config.gateway_count) } else { Millis::MAX };
        Self {
            started_at: now,
            peers: vec![peer; config.gateway_count],
            membership: Membership::new(config.local_id, config.gateway_count, dead_after, now),
            outliers: OutlierReports::default(),
            observations: Observations::default(),
            bandwidth_limit: TokenBucket::new(bytes_per_second * SUSTAINED_SHARE, burst, now),
            rng,
            last_sent_us: now * 1000,
            next_heartbeat_at,
            next_push_at: now,
            next_observations_at: next_heartbeat_at,
            push_targets: Vec::new(),
            push_rounds_left: 0,
            last_called_at: now,
            suppress_until: now,
            announced_live: config.gateway_count as f64,
            counters: GossipCounters::default(),
            config,
        }
    }

    /// Counters since the node was created.
    pub fn counters(&self) -> GossipCounters {
        self.counters
    }

    /// Number of live gateways, including this one.
    pub fn live_count(&self, now: Millis) -> usize {
        self.membership.live_count(now)
    }

    /// Replaces the signing keys; earlier keys that are not among the new ones are no longer accepted.
    pub fn set_signing_keys(&mut self, keys: SigningKeys) {
        self.config.signing_keys = keys;
    }

    /// Whether this gateway considers another one alive.
    pub fn is_live(&self, peer: PeerId, now: Millis) -> bool {
        self.membership.is_live(peer, now)
    }

    /// Number of engines that currently have enough outlier reports for an ejection.
    pub fn ejected_count(&self, now: Millis) -> usize {
        self.outliers.ejected_count(now)
    }

    /// Number of stored entries, for checking that memory use stays bounded.
    pub fn entry_count(&self) -> usize {
        self.peers.len()
            + self.push_targets.len()
            + self.outliers.entry_count()
            + self.observations.entry_count()
    }

    /// Sets the listed engines, with their start times in Unix seconds (0: long ago).
    pub fn set_engines(&mut self, listed: &BTreeMap<EngineKey, u32>, now: Millis) {
        self.outliers.set_engines(listed);
        self.observations.set_engines(listed, now);
    }

    /// Sets this gateway's current observations of the engines.
    pub fn set_observations(&mut self, observed: &[OwnObservation], now: Millis) {
        self.detect_suspension(now);
        if now >= self.suppress_until {
            self.observations.set_own_observations(observed, now);
        }
    }

    /// Estimate of the threads that all other gateways use at an engine, from the reports of a few of them.
    pub fn threads_in_use(&self, engine: EngineKey, now: Millis) -> Option<f64> {
        self.observations.threads_in_use(engine, self.live_count(now) - 1, now)
    }

    /// Reports that this gateway has ejected an engine until `until`, or, with [`FactKind::AttemptFailed`], that one
    /// attempt has failed there.
    pub fn report_outlier(&mut self, engine: EngineKey, kind: FactKind, until: Millis, now: Millis) {
        self.detect_suspension(now);
        if now < self.suppress_until {
            self.counters.suppressed_reports += 1;
        } else if self.outliers.record_own_report(engine, kind, until, now) {
            self.counters.own_reports += 1;
            self.push_rounds_left = PUSH_ROUNDS;
            if kind != FactKind::AttemptFailed {
                self.push_targets.clear();
            }
        }
    }

    /// Handles a datagram received from the address of gateway `from`, or from an unknown address if `None`.
    ///
    /// # Errors
    /// Returns why the datagram was rejected; the rejection is counted under that reason.
    pub fn on_datagram(
        &mut self,
        from: Option<PeerId>,
        bytes: &[u8],
        now: Millis,
    ) -> Result<(), DatagramError> {
        self.detect_suspension(now);
        let accepted = self.accept(from, bytes, now);
        let counter = match accepted {
            Ok(()) => &mut self.counters.accepted,
            Err(DatagramError::UnknownSender) => &mut self.counters.unknown_sender,
            Err(DatagramError::RateLimited) => &mut self.counters.rate_limited,
            Err(DatagramError::BadSignature) => &mut self.counters.bad_signature,
            Err(DatagramError::Malformed) => &mut self.counters.malformed,
            Err(DatagramError::Stale | DatagramError::Future) => &mut self.counters.stale,
        };
        *counter += 1;
        accepted
    }

    fn accept(&mut self, from: Option<PeerId>, bytes: &[u8], now: Millis) -> Result<(), DatagramError> {
        let from = from.filter(|peer| *peer != self.config.local_id).ok_or(DatagramError::UnknownSender)?;
        let sender = self.peers.get_mut(usize::from(from)).ok_or(DatagramError::UnknownSender)?;
        // Checked before the signature, which is more expensive.
        if !sender.datagram_limit.take(1.0, now) {
            return Err(DatagramError::RateLimited);
        }
        let datagram = self.config.signing_keys.decode(bytes)?;
        if datagram.from != from {
            return Err(DatagramError::UnknownSender);
        }
        sender.check_freshness(&datagram, now)?;
        let has_restarted = datagram.incarnation > sender.incarnation;
        sender.incarnation = datagram.incarnation;
        sender.last_sent_us = datagram.sent;
        if has_restarted {
            // The restarted gateway no longer holds the reports of its earlier incarnation.
            self.outliers.remove_reports_from(from);
            self.observations.remove_reports_from(from);
        }
        self.apply_datagram(&datagram, now);
        Ok(())
    }

    /// Applies the content of an accepted datagram.
    fn apply_datagram(&mut self, datagram: &Datagram, now: Millis) {
        let from = datagram.from;
        let sent_ms = datagram.sent / 1000;
        self.membership.record_heartbeat(from, Datagram::heartbeat_time(sent_ms), now);
        for (peer, heartbeat) in datagram.heartbeat_times(self.peers.len()) {
            self.membership.record_heartbeat(peer, heartbeat, now);
        }
        for fact in &datagram.facts {
            self.outliers.record_fact(from, fact, now);
            self.observations.record_fact(from, fact, now);
        }
    }

    /// Detects that this process did not run for a while.
    fn detect_suspension(&mut self, now: Millis) {
        let gap = now.saturating_sub(self.last_called_at);
        if gap > SUSPENSION_THRESHOLD_MS {
            self.membership.extend_deadlines(gap);
            self.suppress_until = now + SUSPENSION_THRESHOLD_MS;
        }
        self.last_called_at = self.last_called_at.max(now);
    }
}
