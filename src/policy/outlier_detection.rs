//! Outlier detection: ejects engines that fail or stop responding, on this gateway's own evidence and on
//! gossip, and readmits them on probation. The product's design leaves engine health to the implementation.

use super::{CONTROL_PERIOD, RECENT_SAMPLES};
use crate::interface::{EngineId, ExclusionReason, Outcome};
use crate::state::{EngineRecord, EngineTable, Mean};
use crate::time::{TimeSpan, Timestamp};

/// Share of failures among the recent outcomes of an engine above which it is ejected.
const MAX_FAILURE_SHARE: f64 = 0.25;
/// Decayed number of failures above which an engine is ejected: two failures, the first at most five control
/// periods old. Without decay, a gateway that sends to an engine every few seconds would weigh successes of
/// the last minute against current failures.
const MIN_DECAYED_FAILURES: f64 = 1.23;
/// Factor by which the weight of recorded outcomes decays per control period. Together with
/// `MIN_DECAYED_FAILURES` it makes two failures within five periods enough for an ejection.
const FAILURE_DECAY: f64 = 0.75;
/// Duration of the first ejection; it doubles with each consecutive one.
const BASE_EJECTION_DURATION: TimeSpan = CONTROL_PERIOD;
/// Upper bound on the duration of an ejection.
const MAX_EJECTION_DURATION: TimeSpan = TimeSpan::from_millis(8000);
/// Queries that an engine must serve one at a time after an ejection before it is trusted again. One is not
/// enough, because an engine that fails some of its queries can serve one by chance.
const PROBATION_QUERIES: u32 = 3;
/// Probation queries after an ejection on gossip, which is weaker evidence.
const GOSSIP_PROBATION_QUERIES: u32 = 1;
/// Largest share of the engines in service that may be ejected; above it, the cause lies elsewhere.
const MAX_EJECTED_SHARE: f64 = 0.5;
/// Largest share of the engines in service that may be ejected on gossip, but always at least one engine.
/// Gossip may be forged or outdated.
const MAX_GOSSIP_EJECTED_SHARE: f64 = 0.2;
/// How long nothing is sent to an engine that rejected an attempt, because an immediate retry would be
/// rejected too: a tenth of a control period.
const REJECTION_PAUSE: TimeSpan = TimeSpan::from_millis(100);
/// How long a success of this gateway at an engine overrides gossip about it.
const SUCCESS_TTL: TimeSpan = CONTROL_PERIOD;
/// Number of stalled attempts that rules out chance. With fewer, an engine must be silent this many times as
/// long.
const CONCLUSIVE_STALLED_ATTEMPTS: usize = 3;
/// Shortest time without a response after which an engine counts as silent.
const MIN_SILENT_TIME: TimeSpan = TimeSpan::from_millis(250);

/// Health of one engine as seen by this gateway.
pub(crate) struct EngineHealth {
    /// Share of failures among the recent outcomes.
    failures: Mean,
    /// When the engine last served a query of this gateway; zero for never.
    last_served: Timestamp,
    /// End of the ejection on this gateway's own evidence; zero for never ejected.
    ejected_until: Timestamp,
    /// End of the ejection on gossip; zero for never ejected.
    gossip_ejected_until: Timestamp,
    /// End of the pause after a rejected attempt; zero for never paused.
    paused_until: Timestamp,
    /// Duration of the next ejection.
    next_ejection_duration: TimeSpan,
    /// Queries that the engine must still serve, one at a time, before it is trusted again.
    probation_queries: u32,
}

/// What the outcome of an attempt says about its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutlierVerdict {
    /// No fault of the engine: it served the query, or the request or this gateway ended the attempt.
    NoFault,
    /// The engine is at capacity.
    AtCapacity,
    /// The engine failed.
    Failed {
        /// The engine refused the connection. It may come back in slow start before the endpoint list reports
        /// a restart.
        refused_connection: bool,
        /// The engine should be ejected.
        is_outlier: bool,
    },
}

impl Default for EngineHealth {
    fn default() -> Self {
        Self {
            failures: Mean::default(),
            last_served: Timestamp::ZERO,
            ejected_until: Timestamp::ZERO,
            gossip_ejected_until: Timestamp::ZERO,
            paused_until: Timestamp::ZERO,
            next_ejection_duration: BASE_EJECTION_DURATION,
            probation_queries: 0,
        }
    }
}

impl EngineHealth {
    /// Why nothing may be sent to the engine with this many attempts in flight; `None` if it is healthy.
    pub(crate) fn exclusion(&self, in_flight: usize, now: Timestamp) -> Option<ExclusionReason> {
        if self.ejected_until > now {
            Some(ExclusionReason::Ejected)
        } else if self.paused_until > now {
            Some(ExclusionReason::Paused)
        } else if self.is_gossip_ejected(now) {
            Some(ExclusionReason::EjectedByGossip)
        } else if self.probation_queries > 0 && in_flight > 0 {
            Some(ExclusionReason::OnProbation)
        } else {
            None
        }
    }

    /// Whether the engine is ejected on this gateway's own evidence.
    pub(crate) fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until > now
    }

    /// Whether the engine is ejected on gossip. A recent success of this gateway overrides gossip.
    pub(crate) fn is_gossip_ejected(&self, now: Timestamp) -> bool {
        self.gossip_ejected_until > now && now - self.last_served >= SUCCESS_TTL
    }

    /// End of the current or last ejection on this gateway's own evidence.
    pub(crate) fn ejected_until(&self) -> Option<Timestamp> {
        (self.ejected_until > Timestamp::ZERO).then_some(self.ejected_until)
    }

    /// Evaluates the engine by the outcome of an attempt. Guards against engines that fail quickly and
    /// therefore look least busy. An engine is an outlier if more than a quarter of its recent outcomes are
    /// failures and at least two of them, if it refuses a connection, or if it fails on probation. The
    /// drawback is fewer answered requests if the requests themselves cause the failures.
    pub(crate) fn evaluate(&mut self, outcome: Outcome, now: Timestamp) -> OutlierVerdict {
        match outcome {
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NeverSent => OutlierVerdict::NoFault,
            Outcome::Ok => {
                self.record_success(now);
                OutlierVerdict::NoFault
            }
            Outcome::Rejected => {
                self.paused_until = now + REJECTION_PAUSE;
                OutlierVerdict::AtCapacity
            }
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed => {
                self.record_failure(outcome == Outcome::ConnectFailed)
            }
        }
    }

    /// The end of probation resets the duration of the next ejection.
    fn record_success(&mut self, now: Timestamp) {
        self.failures.add(0.0, RECENT_SAMPLES);
        self.last_served = now;
        self.probation_queries = self.probation_queries.saturating_sub(1);
        if self.probation_queries == 0 {
            self.next_ejection_duration = BASE_EJECTION_DURATION;
        }
    }

    /// A refused connection counts as evidence at once, because it does not depend on the request. An error
    /// may be caused by the request.
    fn record_failure(&mut self, refused_connection: bool) -> OutlierVerdict {
        self.failures.add(1.0, RECENT_SAMPLES);
        let Mean { value: share, samples } = self.failures;
        let has_enough_evidence = refused_connection || share * samples > MIN_DECAYED_FAILURES;
        let is_outlier = self.probation_queries > 0 || has_enough_evidence && share > MAX_FAILURE_SHARE;
        OutlierVerdict::Failed { refused_connection, is_outlier }
    }

    fn eject(&mut self, now: Timestamp) -> TimeSpan {
        let duration = self.next_ejection_duration;
        self.ejected_until = now + duration;
        self.next_ejection_duration = (duration * 2).min(MAX_EJECTION_DURATION);
        self.probation_queries = PROBATION_QUERIES;
        self.failures = Mean::default();
        duration
    }

    fn eject_on_gossip(&mut self, until: Timestamp) {
        self.gossip_ejected_until = self.gossip_ejected_until.max(until);
        self.probation_queries = self.probation_queries.max(GOSSIP_PROBATION_QUERIES);
    }

    /// Ends a control period: recorded outcomes decay.
    pub(crate) fn end_period(&mut self) {
        self.failures.samples *= FAILURE_DECAY;
    }
}

/// Ejects an engine for a duration that doubles with each consecutive ejection. Returns the duration, or
/// `None` if the engine is already ejected or more than half of the engines in service would be.
pub(crate) fn eject(engines: &mut EngineTable, id: EngineId, now: Timestamp) -> Option<TimeSpan> {
    let in_service = engines.in_service().count() as f64;
    let ejected = engines.in_service().filter(|engine| engine.health.is_ejected(now)).count() + 1;
    let engine = engines.get_mut(id)?;
    if engine.health.is_ejected(now) || ejected as f64 > in_service * MAX_EJECTED_SHARE {
        return None;
    }
    Some(engine.health.eject(now))
}

/// Ejects an engine that several other gateways have ejected; it is on probation afterwards. At most a fifth
/// of the engines in service (but at least one) may be ejected on gossip, and never the only engine in
/// service.
pub(crate) fn eject_on_gossip(engines: &mut EngineTable, id: EngineId, duration: TimeSpan, now: Timestamp) {
    let in_service = engines.in_service().count() as f64;
    let others = engines.iter().filter(|(other, engine)| !engine.out_of_service && *other != id);
    let ejected = others.filter(|(_, engine)| engine.health.gossip_ejected_until > now).count() as f64;
    let is_permitted = ejected + 1.0 <= (in_service * MAX_GOSSIP_EJECTED_SHARE).max(1.0) && in_service > 1.0;
    if let Some(engine) = engines.get_mut(id).filter(|_| is_permitted) {
        engine.health.eject_on_gossip(now + duration.min(MAX_EJECTION_DURATION));
    }
}

/// Engines with stalled attempts that send no responses at all. Guards against engines that accept requests
/// and never answer, and against network partitions. The drawback is fewer answered requests if every attempt
/// in flight at an engine takes long legitimately and its progress reports are lost.
pub(crate) fn silent_engines(engines: &EngineTable, now: Timestamp) -> Vec<EngineId> {
    engines.iter().filter(|(_, engine)| is_silent(engine, now)).map(|(id, _)| id).collect()
}

/// An engine with three stalled attempts is silent once it has not responded for the shortest age at which
/// one of them counts as stalled; with fewer stalled attempts, for three times as long.
fn is_silent(engine: &EngineRecord, now: Timestamp) -> bool {
    let Some(stalled) = engine.load.stalled() else { return false };
    let multiple =
        if stalled.count >= CONCLUSIVE_STALLED_ATTEMPTS { 1 } else { CONCLUSIVE_STALLED_ATTEMPTS as i64 };
    now - engine.attempts.last_response() > (stalled.threshold * multiple).max(MIN_SILENT_TIME)
}

#[cfg(test)]
mod tests;
