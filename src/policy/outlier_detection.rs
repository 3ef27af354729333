//! Outlier detection: ejection of engines that fail or no longer respond, on own evidence and on gossip, and
//! their way back. The design leaves engine health to this program.

use super::{CONTROL_PERIOD, RECENT_SAMPLES};
use crate::interface::{EngineId, ExclusionReason, Outcome};
use crate::state::{EngineRecord, EngineTable, Mean};
use crate::time::{TimeSpan, Timestamp};

/// Share of failures among an engine's recent outcomes above which it is ejected.
const MAX_FAILURE_SHARE: f64 = 0.25;
/// Faded number of failures above which an engine is ejected: two, the first up to five control periods old.
/// Older outcomes fade, or a gateway that meets an engine every few seconds would set last minute's successes
/// against what fails now.
const MIN_FAILURES: f64 = 1.23;
/// Share of an engine's outcomes that counts on in the next control period: with the limit on the number of
/// failures it makes two within five periods enough.
const FAILURE_DECAY: f64 = 0.75;
/// First duration of an ejection; it doubles with each that follows.
const MIN_EJECTION: TimeSpan = CONTROL_PERIOD;
/// Longest duration of an ejection.
const MAX_EJECTION: TimeSpan = TimeSpan::from_millis(8000);
/// Queries that an engine has to serve after an ejection, one at a time, until it is trusted again: several,
/// as an engine that fails part of its queries serves one by chance.
const PROBATION_QUERIES: u32 = 3;
/// The same after an ejection on gossip, which is weaker evidence.
const GOSSIP_PROBATION_QUERIES: u32 = 1;
/// At most this share of the engines in service is ejected: beyond it the cause is elsewhere.
const MAX_EJECTED_SHARE: f64 = 0.5;
/// At most this share of the engines in service is ejected on gossip, or one engine: gossip may be forged or
/// outdated.
const MAX_GOSSIP_EJECTED_SHARE: f64 = 0.2;
/// How long nothing is sent to an engine that has rejected an attempt, as another at once would be rejected
/// too: a tenth of a control period.
const REJECTION_PAUSE: TimeSpan = TimeSpan::from_millis(100);
/// How long an own success at an engine outweighs gossip about it.
const SUCCESS_TTL: TimeSpan = CONTROL_PERIOD;
/// Stalled attempts that are sure to be no chance. With fewer, an engine must be silent this many times as
/// long.
const SURE_STALLED_ATTEMPTS: usize = 3;
/// An engine must be silent for at least this long.
const MIN_SILENCE: TimeSpan = TimeSpan::from_millis(250);

/// The health of one engine as this gateway sees it.
pub(crate) struct EngineHealth {
    /// Share of failures among the recent outcomes.
    failures: Mean,
    /// When it last served a query of this gateway; zero for never.
    last_served: Timestamp,
    /// It is ejected until then; zero for never.
    ejected_until: Timestamp,
    /// It is ejected on gossip until then.
    gossip_ejected_until: Timestamp,
    /// It has rejected an attempt: nothing is sent until then.
    paused_until: Timestamp,
    /// Duration of its next ejection.
    next_ejection: TimeSpan,
    /// Queries that it must serve, one at a time, until it is trusted again.
    probation_queries: u32,
}

/// What an outcome says of the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutlierVerdict {
    /// Nothing: the request or this gateway ended the attempt, or it served.
    Sound,
    /// It is full.
    Full,
    /// It failed.
    Failed {
        /// It refused the connection: what comes back may be in slow start, though the endpoint list does not
        /// say so yet.
        refused_connection: bool,
        /// It should be ejected.
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
            next_ejection: MIN_EJECTION,
            probation_queries: 0,
        }
    }
}

impl EngineHealth {
    /// Why nothing is sent to the engine while so many attempts are in flight there; `None` if it is healthy.
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

    /// Ejected on this gateway's own evidence.
    pub(crate) fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until > now
    }

    /// Ejected on gossip. A gateway that has just been served there knows better.
    pub(crate) fn is_gossip_ejected(&self, now: Timestamp) -> bool {
        self.gossip_ejected_until > now && now - self.last_served >= SUCCESS_TTL
    }

    /// Until when it is, or was, ejected on this gateway's own evidence.
    pub(crate) fn ejected_until(&self) -> Option<Timestamp> {
        (self.ejected_until > Timestamp::ZERO).then_some(self.ejected_until)
    }

    /// Evaluates the engine by an outcome. Guards against engines that fail fast and so look least busy: any
    /// engine whose answers are mostly errors or resets. It is an outlier if more than a quarter of its
    /// recent outcomes are failures and at least two of them, or if it refuses a connection, or if it fails
    /// on probation. Costs answers if the requests themselves are at fault.
    pub(crate) fn evaluate(&mut self, outcome: Outcome, now: Timestamp) -> OutlierVerdict {
        match outcome {
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NeverSent => OutlierVerdict::Sound,
            Outcome::Ok => {
                self.record_success(now);
                OutlierVerdict::Sound
            }
            Outcome::Rejected => {
                self.paused_until = now + REJECTION_PAUSE;
                OutlierVerdict::Full
            }
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed => {
                self.record_failure(outcome == Outcome::ConnectFailed)
            }
        }
    }

    /// Trusted again, it is ejected for the shortest time first.
    fn record_success(&mut self, now: Timestamp) {
        self.failures.add(0.0, RECENT_SAMPLES);
        self.last_served = now;
        self.probation_queries = self.probation_queries.saturating_sub(1);
        if self.probation_queries == 0 {
            self.next_ejection = MIN_EJECTION;
        }
    }

    /// A refused connection is evidence about the engine, whatever the request; an answer may be the
    /// request's fault.
    fn record_failure(&mut self, refused_connection: bool) -> OutlierVerdict {
        self.failures.add(1.0, RECENT_SAMPLES);
        let Mean { value: share, samples } = self.failures;
        let is_shown = refused_connection || share * samples > MIN_FAILURES;
        let is_outlier = self.probation_queries > 0 || is_shown && share > MAX_FAILURE_SHARE;
        OutlierVerdict::Failed { refused_connection, is_outlier }
    }

    fn eject(&mut self, now: Timestamp) -> TimeSpan {
        let duration = self.next_ejection;
        self.ejected_until = now + duration;
        self.next_ejection = (duration * 2).min(MAX_EJECTION);
        self.probation_queries = PROBATION_QUERIES;
        self.failures = Mean::default();
        duration
    }

    fn eject_on_gossip(&mut self, until: Timestamp) {
        self.gossip_ejected_until = self.gossip_ejected_until.max(until);
        self.probation_queries = self.probation_queries.max(GOSSIP_PROBATION_QUERIES);
    }

    /// Ends a control period: old outcomes fade.
    pub(crate) fn end_period(&mut self) {
        self.failures.samples *= FAILURE_DECAY;
    }
}

/// Ejects an engine for a while, longer each time. Returns for how long; `None` if it is ejected already, or
/// if more than half of the engines in service would be.
pub(crate) fn eject(engines: &mut EngineTable, id: EngineId, now: Timestamp) -> Option<TimeSpan> {
    let in_service = engines.in_service().count() as f64;
    let ejected = engines.in_service().filter(|engine| engine.health.is_ejected(now)).count() + 1;
    let engine = engines.get_mut(id)?;
    if engine.health.is_ejected(now) || ejected as f64 > in_service * MAX_EJECTED_SHARE {
        return None;
    }
    Some(engine.health.eject(now))
}

/// Several other gateways have ejected an engine. One more sign: it is ejected here for a while, but only
/// where at most a fifth of the engines in service (or one) is ejected on gossip; then it is on probation.
pub(crate) fn eject_on_gossip(engines: &mut EngineTable, id: EngineId, duration: TimeSpan, now: Timestamp) {
    let in_service = engines.in_service().count() as f64;
    let others = engines.iter().filter(|(other, engine)| !engine.out_of_service && *other != id);
    let ejected = others.filter(|(_, engine)| engine.health.gossip_ejected_until > now).count() as f64;
    let is_permitted = ejected + 1.0 <= (in_service * MAX_GOSSIP_EJECTED_SHARE).max(1.0) && in_service > 1.0;
    if let Some(engine) = engines.get_mut(id).filter(|_| is_permitted) {
        engine.health.eject_on_gossip(now + duration.min(MAX_EJECTION));
    }
}

/// Engines that have gone silent: attempts there have stalled, and no response comes. Guards against engines
/// that take requests and answer nothing, and against partitions. Costs answers if all that is in flight at
/// an engine is truly long and its progress reports are lost.
pub(crate) fn silent_engines(engines: &EngineTable, now: Timestamp) -> Vec<EngineId> {
    engines.iter().filter(|(_, engine)| is_silent(engine, now)).map(|(id, _)| id).collect()
}

/// With three stalled attempts an engine is silent when it has not responded for the shortest time from which
/// on one of them counts as stalled; with fewer for three times that.
fn is_silent(engine: &EngineRecord, now: Timestamp) -> bool {
    let Some(stalled) = engine.load.stalled() else { return false };
    let multiple = if stalled.count >= SURE_STALLED_ATTEMPTS { 1 } else { SURE_STALLED_ATTEMPTS as i64 };
    now - engine.attempts.last_response() > (stalled.threshold * multiple).max(MIN_SILENCE)
}

#[cfg(test)]
mod tests;
