//! Collects outlier reports from other gateways and decides when they suffice to eject an engine. Each gateway
//! reports only its own findings and forwards none, so that the reporters are independent observers. A single
//! reporter has no effect; reports of one gateway on more engines than any gateway ejects by itself are ignored;
//! every report expires.

use crate::codec::{Fact, FactKind};
use crate::{Millis, PeerId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Total weight of reports needed to eject an engine: two gateways that have ejected it themselves, or four at which
/// one attempt has failed there.
pub const MIN_EJECTION_WEIGHT: f64 = 2.0;
/// Maximum number of reporters stored per engine: more than needed, so that one expiring report leaves no gap.
const MAX_REPORTERS: usize = 8;
/// Minimum ratio of an engine's report weight to the average of all engines: if all engines fail, the requests or the
/// network are the cause.
const MIN_WEIGHT_RATIO: f64 = 1.5;
/// Maximum lifetime of a report that is not repeated.
const MAX_REPORT_TTL_MS: Millis = 10_000;
/// How long a report is still sent after the reporter's own ejection has ended: a first ejection is short, and would
/// end before many gateways have received the report.
const REPORT_GRACE_MS: Millis = 3_000;
/// Maximum share of the engines on which the reports of one gateway count; a gateway by itself ejects no more.
const MAX_REPORTED_SHARE: f64 = 0.5;
/// An ejection is returned again if its end has moved by more than this.
const MIN_EJECTION_EXTENSION_MS: Millis = 100;

/// FNV-1a hash of an engine's id, the same at every gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EngineKey(pub u64);

impl From<&str> for EngineKey {
    fn from(id: &str) -> Self {
        let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        Self(id.as_bytes().iter().fold(0xcbf2_9ce4_8422_2325, step))
    }
}

#[derive(Clone, Copy, Debug)]
struct Report {
    peer: PeerId,
    weight: f64,
    expires_at: Millis,
}

/// Reports of other gateways on one engine.
#[derive(Clone, Debug, Default)]
struct EngineReports {
    /// Start time of the engine in Unix seconds; facts about other incarnations are ignored.
    started: u32,
    reports: Vec<Report>,
    /// End of the ejection returned last.
    announced_until: Millis,
}

impl EngineReports {
    fn active(&self, now: Millis) -> impl Iterator<Item = &Report> {
        self.reports.iter().filter(move |report| report.expires_at > now)
    }

    /// Total weight of the unexpired reports.
    fn weight(&self, now: Millis) -> f64 {
        self.active(now).map(|report| report.weight).sum()
    }

    /// Until when the total weight reaches [`MIN_EJECTION_WEIGHT`]; 0 if it does not.
    fn ejected_until(&self, now: Millis) -> Millis {
        let mut latest_first: Vec<_> = self.active(now).collect();
        latest_first.sort_unstable_by_key(|report| std::cmp::Reverse(report.expires_at));
        let mut weight = 0.0;
        for report in latest_first {
            weight += report.weight;
            if weight >= MIN_EJECTION_WEIGHT {
                return report.expires_at;
            }
        }
        0
    }

    fn is_reported_by(&self, peer: PeerId, now: Millis) -> bool {
        self.active(now).any(|report| report.peer == peer)
    }
}

/// A temporary ejection of an engine that several other gateways report as an outlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GossipEjection {
    /// The engine.
    pub engine: EngineKey,
    /// End of the ejection, unless further reports extend it.
    pub until: Millis,
}

/// Outlier report made by this gateway.
#[derive(Clone, Copy, Debug)]
struct OwnReport {
    /// Start time of the engine in Unix seconds.
    started: u32,
    kind: FactKind,
    expires_at: Millis,
}

/// Outlier reports of all gateways, including this one.
#[derive(Clone, Debug, Default)]
pub struct OutlierReports {
    engines: BTreeMap<EngineKey, EngineReports>,
    own: BTreeMap<EngineKey, OwnReport>,
    /// Index of the first own report in the next datagram.
    next_fact_index: usize,
}

impl OutlierReports {
    /// Sets the listed engines, with their start times in Unix seconds (0: long ago). Reports on unlisted engines,
    /// and on earlier incarnations of listed ones, are dropped.
    pub fn set_engines(&mut self, listed: &BTreeMap<EngineKey, u32>) {
        let is_listed = |key: &EngineKey, started: u32| listed.get(key) == Some(&started);
        self.engines.retain(|key, reports| is_listed(key, reports.started));
        self.own.retain(|key, report| is_listed(key, report.started));
        for (key, started) in listed {
            self.engines.entry(*key).or_default().started = *started;
        }
    }

    /// Records that this gateway has ejected an engine until `until`, or that an attempt has failed there; returns
    /// whether this is new to the other gateways.
    pub fn record_own_report(
        &mut self,
        engine: EngineKey,
        kind: FactKind,
        until: Millis,
        now: Millis,
    ) -> bool {
        let Some(reports) = self.engines.get(&engine) else { return false };
        let previous = self.own.get(&engine).filter(|report| report.expires_at > now);
        let previous_weight = previous.map_or(0.0, |report| report.kind.weight());
        if kind.weight() < previous_weight {
            return false;
        }
        let expires_at = until + REPORT_GRACE_MS;
        self.own.insert(engine, OwnReport { started: reports.started, kind, expires_at });
        kind != FactKind::AttemptFailed || previous_weight == 0.0
    }

    /// Records a report from another gateway; returns whether it counts.
    pub fn record_fact(&mut self, peer: PeerId, fact: &Fact, now: Millis) -> bool {
        let weight = FactKind::from(fact.kind).weight();
        if weight == 0.0 {
            return false;
        }
        let reported = self.engines.values().filter(|reports| reports.is_reported_by(peer, now)).count();
        let max_reported = (self.engines.len() as f64 * MAX_REPORTED_SHARE).max(1.0);
        let engine = self.engines.get_mut(&fact.engine).filter(|reports| reports.started == fact.started);
        let Some(engine) = engine else { return false };
        let expires_at = now + fact.ttl().min(MAX_REPORT_TTL_MS);
        let mut active = engine.reports.iter_mut().filter(|report| report.expires_at > now);
        if let Some(existing) = active.find(|report| report.peer == peer) {
            *existing = Report { peer, weight, expires_at };
            return true;
        }
        if reported as f64 + 1.0 > max_reported {
            return false;
        }
        engine.reports.retain(|report| report.expires_at > now && report.peer != peer);
        if engine.reports.len() >= MAX_REPORTERS {
            let lower = engine.reports.iter().position(|report| report.weight < weight);
            let Some(lower) = lower else { return false };
            engine.reports.swap_remove(lower);
        }
        engine.reports.push(Report { peer, weight, expires_at });
        true
    }

    /// Drops all reports of a gateway, after it has restarted.
    pub fn remove_reports_from(&mut self, peer: PeerId) {
        for engine in self.engines.values_mut() {
            engine.reports.retain(|report| report.peer != peer);
        }
    }

    /// Ejections that are new or were extended since the last call.
    pub fn new_ejections(&mut self, now: Millis) -> Vec<GossipEjection> {
        let total: f64 = self.engines.values().map(|reports| reports.weight(now)).sum();
        let average = total / self.engines.len().max(1) as f64;
        let mut ejections = Vec::new();
        for (&engine, reports) in &mut self.engines {
            let until = reports.ejected_until(now);
            let exceeds_average = reports.weight(now) >= MIN_WEIGHT_RATIO * average;
            if exceeds_average && until > reports.announced_until.max(now) + MIN_EJECTION_EXTENSION_MS {
                reports.announced_until = until;
                ejections.push(GossipEjection { engine, until });
            }
        }
        ejections
    }

    /// Number of engines that currently have enough reports for an ejection.
    pub fn ejected_count(&self, now: Millis) -> usize {
        self.engines.values().filter(|reports| reports.ejected_until(now) > now).count()
    }

    /// Whether this gateway has unexpired reports of its own.
    pub fn has_own_reports(&self, now: Millis) -> bool {
        self.own.values().any(|report| report.expires_at > now)
    }

    /// At most `max` of this gateway's own reports as facts, in rotation.
    pub fn next_facts(&mut self, max: usize, now: Millis) -> Vec<Fact> {
        self.own.retain(|_, report| report.expires_at > now);
        let fact = |(engine, report): (&EngineKey, &OwnReport)| Fact {
            engine: *engine,
            started: report.started,
            kind: report.kind.into(),
            ttl_centis: Fact::to_ttl_centis(report.expires_at - now),
            value: 0,
        };
        let begin = self.next_fact_index % self.own.len().max(1);
        self.next_fact_index = begin + max;
        self.own.iter().cycle().skip(begin).take(max.min(self.own.len())).map(fact).collect()
    }

    /// Number of stored entries, for checking that memory use stays bounded.
    pub fn entry_count(&self) -> usize {
        self.own.len() + self.engines.values().map(|engine| 1 + engine.reports.len()).sum::<usize>()
    }
}

#[cfg(test)]
mod tests;
