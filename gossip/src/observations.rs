//! Collects what gateways observe of engines apart from outliers: restarts, slowness, and the threads that each
//! gateway uses. No observation ejects an engine. A restart that is not listed yet protects the engine, so two
//! reports suffice; slowness breaks ties at gateways that have no observation of their own; thread use is only
//! exported as a metric. Each gateway reports only its own observations and forwards none.

use crate::codec::{Fact, FactKind};
use crate::{EngineKey, Millis, PeerId};
use std::collections::BTreeMap;

/// Minimum number of gateways that must report the same, so that a single byzantine gateway has no effect.
pub const MIN_OBSERVERS: usize = 2;
/// Maximum number of reports stored per engine and kind; a new one replaces the one that expires first.
const MAX_REPORTS: usize = 8;
/// Maximum lifetime of an observation: the load of an engine changes within seconds.
const OBSERVATION_TTL_MS: Millis = 3_000;
/// Minimum ratio of an engine's slowdown to the average at which it is reported as slow. Reports of fast engines
/// would send all gateways to the same ones.
const MIN_SLOWDOWN_RATIO: f64 = 1.5;
/// Resolution of encoded values, so that values below 16 fit into a byte.
const VALUE_STEP: f64 = 1.0 / 16.0;
/// How long a restart is reported; afterwards every endpoint list contains it.
const RESTART_TTL_MS: Millis = 20_000;
/// Maximum share of the engines that count as restarted without being listed so: more would put the whole pool into
/// slow start because of a few gateways' reports.
const MAX_RESTARTED_SHARE: f64 = 0.5;
/// Minimum interval between slowdowns returned for an engine.
const SLOWDOWN_INTERVAL_MS: Millis = 1_000;
/// Of the facts in a datagram, one in this many is reserved for thread use.
const FACTS_PER_THREAD_USE: usize = 4;
/// Maximum time by which a restart may be ahead of the local clock.
const MAX_CLOCK_SKEW_MS: Millis = crate::membership::MAX_CLOCK_SKEW_MS;

/// This gateway's observation of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnObservation {
    /// The engine.
    pub engine: EngineKey,
    /// Latency as a multiple of that of an idle engine; `None` without a recent observation.
    pub slowdown: Option<f64>,
    /// Mean number of threads that this gateway's queries use at the engine.
    pub threads: f64,
}

/// An observation that several other gateways agree on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AgreedObservation {
    /// The engine restarted at this Unix time in seconds, which the endpoint list does not contain yet.
    Restarted(EngineKey, u32),
    /// Latency at the engine as a multiple of that of an idle engine.
    Slow(EngineKey, f64),
}

#[derive(Clone, Copy, Debug)]
struct Report {
    peer: PeerId,
    /// Encoded value, or the Unix time of a restart in seconds.
    value: u32,
    expires_at: Millis,
}

/// The latest reports of a few gateways on one engine and kind.
#[derive(Clone, Debug, Default)]
struct Reports(Vec<Report>);

impl Reports {
    fn insert(&mut self, report: Report, now: Millis) {
        self.0.retain(|known| known.peer != report.peer && known.expires_at > now);
        if self.0.len() >= MAX_REPORTS {
            let oldest = (0..self.0.len()).min_by_key(|index| self.0[*index].expires_at);
            if let Some(oldest) = oldest {
                self.0.swap_remove(oldest);
            }
        }
        self.0.push(report);
    }

    /// The unexpired values in ascending order; `None` if there are fewer than [`MIN_OBSERVERS`].
    fn agreed_values(&self, now: Millis) -> Option<Vec<u32>> {
        let active = self.0.iter().filter(|report| report.expires_at > now);
        let mut values: Vec<_> = active.map(|report| report.value).collect();
        values.sort_unstable();
        (values.len() >= MIN_OBSERVERS).then_some(values)
    }

    fn remove_reports_from(&mut self, peer: PeerId) {
        self.0.retain(|report| report.peer != peer);
    }
}

/// A restart that other gateways reported and the endpoint list does not contain.
#[derive(Clone, Copy, Debug, Default)]
struct ReportedRestart {
    /// Start time in Unix seconds.
    started: u32,
    expires_at: Millis,
}

/// State kept for one engine.
#[derive(Clone, Debug, Default)]
struct EngineObservations {
    /// Start time by the endpoint list, in Unix seconds.
    started: u32,
    /// Until when that restart is reported to other gateways.
    report_restart_until: Millis,
    restarts: Reports,
    accepted_restart: ReportedRestart,
    slowdowns: Reports,
    slowdown_returned_at: Millis,
    thread_use: Reports,
}

impl EngineObservations {
    fn new(started: u32) -> Self {
        let report_restart_until = Millis::from(started) * 1000 + RESTART_TTL_MS;
        Self { started, report_restart_until, ..Self::default() }
    }

    /// Start time that enough gateways report and that is later than the one accepted before.
    fn agreed_restart(&self, now: Millis) -> Option<u32> {
        let starts = self.restarts.agreed_values(now)?;
        // [`MIN_OBSERVERS`] gateways report this start or a later one, so no single gateway determines it.
        let started = starts[starts.len() - MIN_OBSERVERS];
        (started > self.accepted_restart.started).then_some(started)
    }

    fn accept_restart(&mut self, started: u32) {
        let expires_at = Millis::from(started) * 1000 + RESTART_TTL_MS;
        self.accepted_restart = ReportedRestart { started, expires_at };
    }

    /// Slowdown that enough gateways report, unless one was returned less than [`SLOWDOWN_INTERVAL_MS`] ago. It is
    /// the lower median, so that one exaggerated report has no effect.
    fn take_agreed_slowdown(&mut self, now: Millis) -> Option<f64> {
        if now < self.slowdown_returned_at + SLOWDOWN_INTERVAL_MS {
            return None;
        }
        let slowdowns = self.slowdowns.agreed_values(now)?;
        self.slowdown_returned_at = now;
        let lower_median = slowdowns[(slowdowns.len() - 1) / 2];
        Some(f64::from(lower_median) * VALUE_STEP)
    }

    fn reports_mut(&mut self) -> [&mut Reports; 3] {
        [&mut self.restarts, &mut self.slowdowns, &mut self.thread_use]
    }

    fn entry_count(&self) -> usize {
        1 + self.restarts.0.len() + self.slowdowns.0.len() + self.thread_use.0.len()
    }
}

/// An own observation, ready to be sent.
#[derive(Clone, Copy, Debug)]
struct OwnFact {
    engine: EngineKey,
    kind: FactKind,
    /// Encoded value, in units of [`VALUE_STEP`].
    value: u8,
}

/// Observations of all gateways, including this one.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    engines: BTreeMap<EngineKey, EngineObservations>,
    own: Vec<OwnFact>,
    own_expires_at: Millis,
    /// Number of batches of facts returned; each one begins where the previous one ended.
    rotation: usize,
}

/// Encodes a value in units of [`VALUE_STEP`].
fn to_steps(value: f64) -> u8 {
    (value / VALUE_STEP).round().clamp(0.0, 255.0) as u8
}

impl Observations {
    /// Sets the listed engines, with their start times in Unix seconds (0: long ago).
    pub fn set_engines(&mut self, listed: &BTreeMap<EngineKey, u32>, now: Millis) {
        self.engines.retain(|key, engine| listed.get(key) == Some(&engine.started));
        for (key, &started) in listed {
            self.engines.entry(*key).or_insert_with(|| EngineObservations::new(started));
        }
        for engine in self.engines.values_mut() {
            // A start time in the future is not reported.
            if Millis::from(engine.started) * 1000 > now + MAX_CLOCK_SKEW_MS {
                engine.report_restart_until = 0;
            }
        }
    }

    /// Sets this gateway's current observations.
    pub fn set_own_observations(&mut self, observed: &[OwnObservation], now: Millis) {
        let slowdowns: Vec<_> = observed.iter().filter_map(|engine| engine.slowdown).collect();
        let average = slowdowns.iter().sum::<f64>() / slowdowns.len().max(1) as f64;
        let threshold = MIN_SLOWDOWN_RATIO * average.max(1.0);
        self.own.clear();
        for &OwnObservation { engine, slowdown, threads } in observed {
            if let Some(slowdown) = slowdown.filter(|slowdown| *slowdown >= threshold) {
                self.own.push(OwnFact { engine, kind: FactKind::Slow, value: to_steps(slowdown) });
            }
            if to_steps(threads) > 0 {
                self.own.push(OwnFact { engine, kind: FactKind::ThreadUse, value: to_steps(threads) });
            }
        }
        self.own_expires_at = now + OBSERVATION_TTL_MS;
    }

    /// Records an observation from another gateway.
    pub fn record_fact(&mut self, peer: PeerId, fact: &Fact, now: Millis) {
        let Some(engine) = self.engines.get_mut(&fact.engine) else { return };
        let expires_at = now + fact.ttl().min(OBSERVATION_TTL_MS);
        let report = Report { peer, value: fact.value.into(), expires_at };
        match FactKind::from(fact.kind) {
            FactKind::Slow if fact.started == engine.started => engine.slowdowns.insert(report, now),
            FactKind::ThreadUse if fact.started == engine.started => engine.thread_use.insert(report, now),
            FactKind::Restarted if fact.started > engine.started => {
                let started_at = Millis::from(fact.started) * 1000;
                let expires_at = started_at + RESTART_TTL_MS;
                if started_at <= now + MAX_CLOCK_SKEW_MS && expires_at > now {
                    engine.restarts.insert(Report { peer, value: fact.started, expires_at }, now);
                }
            }
            _ => {}
        }
    }

    /// Drops all reports of a gateway, after it has restarted.
    pub fn remove_reports_from(&mut self, peer: PeerId) {
        for engine in self.engines.values_mut() {
            for reports in engine.reports_mut() {
                reports.remove_reports_from(peer);
            }
        }
    }

    /// Observations that other gateways agree on and that were not returned before.
    pub fn take_agreed(&mut self, now: Millis) -> Vec<AgreedObservation> {
        let max_restarted = (self.engines.len() as f64 * MAX_RESTARTED_SHARE).max(1.0);
        let is_restarted = |engine: &&EngineObservations| engine.accepted_restart.expires_at > now;
        let mut restarted = self.engines.values().filter(is_restarted).count();
        let mut agreed = Vec::new();
        for (&key, engine) in &mut self.engines {
            if let Some(started) = engine.agreed_restart(now) {
                let is_new = engine.accepted_restart.expires_at <= now;
                if !is_new || restarted as f64 + 1.0 <= max_restarted {
                    restarted += usize::from(is_new);
                    engine.accept_restart(started);
                    agreed.push(AgreedObservation::Restarted(key, started));
                }
            }
            if let Some(slowdown) = engine.take_agreed_slowdown(now) {
                agreed.push(AgreedObservation::Slow(key, slowdown));
            }
        }
        agreed
    }

    /// Estimate of the threads that the other gateways use at an engine, from the mean of a few reports.
    pub fn threads_in_use(&self, engine: EngineKey, other_gateways: usize, now: Millis) -> Option<f64> {
        let values = self.engines.get(&engine)?.thread_use.agreed_values(now)?;
        let mean = values.iter().sum::<u32>() as f64 * VALUE_STEP / values.len() as f64;
        Some(mean * other_gateways as f64)
    }

    /// Whether there is a restart or a slow engine to report.
    pub fn has_urgent_facts(&self, now: Millis) -> bool {
        let has_slow = self.own_expires_at > now && self.own.iter().any(|fact| fact.kind == FactKind::Slow);
        has_slow || self.engines.values().any(|engine| engine.report_restart_until > now)
    }

    /// At most `max` of this gateway's own facts, in rotation: restarts and slow engines first, with some space
    /// reserved for thread use.
    pub fn next_facts(&mut self, max: usize, now: Millis) -> Vec<Fact> {
        let restarted = self.engines.iter().filter(|(_, engine)| engine.report_restart_until > now);
        let restarts = restarted
            .map(|(key, engine)| self.fact(*key, FactKind::Restarted, 0, engine.report_restart_until - now));
        let is_valid = |fact: &&OwnFact| self.own_expires_at > now && self.engines.contains_key(&fact.engine);
        let (slow, thread_use): (Vec<_>, Vec<_>) =
            self.own.iter().filter(is_valid).partition(|fact| fact.kind == FactKind::Slow);
        let own = |own: &&OwnFact| self.fact(own.engine, own.kind, own.value, self.own_expires_at - now);
        let urgent: Vec<_> = restarts.chain(slow.iter().map(own)).collect();
        let thread_use: Vec<_> = thread_use.iter().map(own).collect();
        let urgent_count = urgent.len().min(max - max / FACTS_PER_THREAD_USE);
        let rest = (max - urgent_count).min(thread_use.len());
        let rotation = self.rotation;
        self.rotation += 1;
        let rotated = |facts: Vec<Fact>, count: usize| {
            let begin = (rotation * count) % facts.len().max(1);
            (0..count).map(move |index| facts[(begin + index) % facts.len()])
        };
        rotated(urgent, urgent_count).chain(rotated(thread_use, rest)).collect()
    }

    fn fact(&self, engine: EngineKey, kind: FactKind, value: u8, ttl: Millis) -> Fact {
        let started = self.engines.get(&engine).map_or(0, |known| known.started);
        Fact { engine, started, kind: kind.into(), ttl_centis: Fact::to_ttl_centis(ttl), value }
    }

    /// Number of stored entries, for checking that memory use stays bounded.
    pub fn entry_count(&self) -> usize {
        self.own.len() + self.engines.values().map(EngineObservations::entry_count).sum::<usize>()
    }
}

#[cfg(test)]
mod tests;
