//! Engines: what the endpoint list says of each, and what this gateway has observed and sent there.

use super::evidence::Evidence;
use super::instant;
use super::mean::Mean;
use crate::interface::{
    EndpointScope, EngineEntry, EngineId, EngineObservation, EngineState, RequestId, Time,
};
use crate::policy::RECENT;
use std::collections::{BTreeMap, VecDeque};

/// How long an own observation of an engine takes precedence over what other gateways see, in microseconds.
const OBSERVATION_TTL: i64 = 1_000_000;

/// The latest observation of how slow an engine is, and when it was made; 0 for never.
#[derive(Clone, Copy, Default)]
pub(crate) struct SlowdownSample {
    pub(crate) slowdown: f64,
    pub(crate) at: i64,
}

/// A cancelled attempt that may still run.
struct AbandonedAttempt {
    until: i64,
    threads: f64,
}

/// Work that was sent to an engine in slow start.
struct SentWork {
    at: i64,
    work: f64,
}

/// What is known of an engine.
#[derive(Default)]
pub(crate) struct EngineRecord {
    pub(crate) entry: EngineEntry,
    /// It is not in service.
    pub(crate) gone: bool,
    /// When it began its slow start.
    pub(crate) started_at: Option<i64>,
    /// Own attempts in flight there, and the threads that they run on.
    pub(crate) in_flight: usize,
    pub(crate) threads: f64,
    /// Threads that this gateway may use there while it is under pressure.
    pub(crate) bound: f64,
    pub(crate) bound_reached: bool,
    /// It shows pressure now, or has since the bound was reached in this period.
    pub(crate) shows_pressure: bool,
    pub(crate) under_pressure: bool,
    pub(crate) evidence: Evidence,
    pub(crate) observed: SlowdownSample,
    /// It has rejected an attempt: pressure until then.
    pub(crate) full_until: i64,
    /// It has just rejected an attempt: nothing is sent until then.
    pub(crate) paused_until: i64,
    pub(crate) failures: Mean,
    /// Other gateways have ejected it, and that holds until then.
    pub(crate) gossip_ejected_until: i64,
    /// When it last served a query of this gateway.
    pub(crate) last_served: i64,
    pub(crate) last_sent: i64,
    /// Last response, or the first send after it had nothing in flight.
    pub(crate) last_response: i64,
    pub(crate) ejected_until: i64,
    pub(crate) backoff: i64,
    /// Queries that it must serve, one at a time, until it is trusted again.
    pub(crate) probation: u32,
    abandoned: Vec<AbandonedAttempt>,
    /// Bulk loads of this gateway that run there.
    pub(crate) loads: Vec<RequestId>,
    /// Work sent during its slow start, for its budget.
    slow_start_sends: VecDeque<SentWork>,
}

impl EngineRecord {
    /// An engine of which nothing is known yet.
    pub(crate) fn new(evidence: Evidence, bound: f64, backoff: i64, now: i64) -> Self {
        Self { evidence, bound, backoff, last_response: now, ..Self::default() }
    }

    /// An attempt is sent to it.
    pub(crate) fn add_attempt(&mut self, request: RequestId, threads: f64, is_load: bool, now: i64) {
        if self.in_flight == 0 {
            self.last_response = now;
        }
        self.in_flight += 1;
        self.threads += threads;
        self.last_sent = now;
        if is_load {
            self.loads.push(request);
        }
    }

    /// An attempt has ended there.
    pub(crate) fn remove_attempt(&mut self, request: RequestId, threads: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.threads = (self.threads - threads).max(0.0);
        self.loads.retain(|load| *load != request);
    }

    /// It has served a query. Trusted again, it is ejected for the shortest time first.
    pub(crate) fn record_success(&mut self, now: i64, min_ejection: i64) {
        self.failures.add(0.0, RECENT);
        self.last_served = now;
        self.probation = self.probation.saturating_sub(1);
        if self.probation == 0 {
            self.backoff = min_ejection;
        }
    }

    /// An attempt was given up there and may go on running until then.
    pub(crate) fn add_abandoned(&mut self, until: i64, threads: f64) {
        self.abandoned.push(AbandonedAttempt { until, threads });
        self.threads += threads;
    }

    /// Ejected on gossip. A gateway that has just been served there knows better.
    pub(crate) fn is_gossip_ejected(&self, now: i64, served_within: i64) -> bool {
        self.gossip_ejected_until > now && now - self.last_served >= served_within
    }

    /// Other gateways know of a later start. Its slow start counts from then; what was learned of the process before it
    /// is dropped once the endpoint list has the restart.
    pub(crate) fn set_restarted(&mut self, started: Time, now: i64) {
        self.started_at = self.started_at.max(Some(instant(started).min(now)));
    }

    /// Whether this gateway has just observed for itself how slow the engine is.
    pub(crate) fn is_observed(&self, now: i64) -> bool {
        self.observed.at > 0 && now - self.observed.at < OBSERVATION_TTL
    }

    /// What other gateways may learn of it.
    pub(crate) fn observation(&self, slowdown: Option<f64>) -> EngineObservation {
        let ejected_until = (self.ejected_until > 0).then_some(Time(self.ejected_until as u64));
        EngineObservation { engine: self.entry.engine, slowdown, threads: self.threads, ejected_until }
    }

    /// Work is sent to it during its slow start.
    pub(crate) fn add_slow_start_work(&mut self, at: i64, work: f64) {
        self.slow_start_sends.push_back(SentWork { at, work });
    }

    /// Work sent to it after an instant of its slow start.
    pub(crate) fn slow_start_work_after(&self, since: i64) -> f64 {
        self.slow_start_sends.iter().filter(|sent| sent.at > since).map(|sent| sent.work).sum()
    }

    /// Forgets abandoned attempts that have had their time, and work sent before the slow-start window.
    pub(crate) fn expire(&mut self, now: i64, window: i64) {
        self.slow_start_sends.retain(|sent| sent.at > now - window);
        let ended = self.abandoned.iter().filter(|attempt| attempt.until <= now);
        let threads: f64 = ended.map(|attempt| attempt.threads).sum();
        self.abandoned.retain(|attempt| attempt.until > now);
        self.threads = (self.threads - threads).max(0.0);
    }
}

/// All engines, by id.
#[derive(Default)]
pub(crate) struct EngineTable(BTreeMap<EngineId, EngineRecord>);

impl EngineTable {
    /// A message of the endpoint list begins.
    pub(crate) fn begin_update(&mut self, scope: EndpointScope) {
        if scope != EndpointScope::Changes {
            self.0.values_mut().for_each(|engine| engine.gone = true);
        }
    }

    /// Takes in an entry of the endpoint list. A new or restarted engine gets `fresh` in place of what was known of it;
    /// only its attempts in flight stay.
    pub(crate) fn update(&mut self, entry: &EngineEntry, fresh: EngineRecord) {
        let started = entry.started.map(instant);
        let is_new = !self.0.contains_key(&entry.engine);
        let engine = self.0.entry(entry.engine).or_default();
        if is_new || engine.entry.started != entry.started && started.is_some() {
            let (in_flight, threads) = (engine.in_flight, engine.threads);
            *engine = EngineRecord { in_flight, threads, ..fresh };
        }
        engine.started_at = started.or(engine.started_at);
        engine.entry = entry.clone();
        engine.gone = entry.state != EngineState::InService;
    }

    /// Forgets removed engines with nothing in flight.
    pub(crate) fn end_update(&mut self) {
        self.0.retain(|_, engine| {
            engine.in_flight > 0 || !engine.gone || engine.entry.state == EngineState::Draining
        });
    }

    pub(crate) fn get(&self, id: EngineId) -> Option<&EngineRecord> {
        self.0.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: EngineId) -> Option<&mut EngineRecord> {
        self.0.get_mut(&id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (EngineId, &EngineRecord)> {
        self.0.iter().map(|(id, engine)| (*id, engine))
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &EngineRecord> + Clone {
        self.0.values()
    }

    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut EngineRecord> {
        self.0.values_mut()
    }

    /// Engines in service.
    pub(crate) fn in_service(&self) -> impl Iterator<Item = &EngineRecord> + Clone {
        self.values().filter(|engine| !engine.gone)
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}
