//! Health of the engines: ejection of those that fail or no longer respond, on own evidence and on gossip,
//! and their way back.

use super::{CLIP, MEMORY, PERIOD, PRESSURE, RECENT, SECOND};
use crate::interface::{Action, EngineId, Outcome};
use crate::scheduler::Scheduler;
use crate::state::{EngineRecord, InFlightEvidence, Mean, duration};

/// Share of failures from which on an engine is ejected.
const BAD_SHARE: f64 = 0.25;
/// Two failures, the first up to five periods old: what came before fades, or a gateway that meets an engine
/// every few seconds would set last minute's successes against what fails now.
const TWO_FAILURES: f64 = 1.23;
/// First and longest duration of an ejection.
pub(crate) const MIN_EJECTION: i64 = SECOND;
const MAX_EJECTION: i64 = 8 * SECOND;
/// Queries that an engine has to serve after an ejection, one at a time.
const PROBATION: u32 = 3;
/// At most this share of the engines in service is ejected: beyond it the cause is elsewhere.
const MAX_EJECTED_SHARE: f64 = 0.5;
/// And this share on gossip.
const MAX_GOSSIP_SHARE: f64 = 0.2;
/// How long an engine that has rejected an attempt counts as full, and how long nothing is sent to it.
const FULL_FOR: i64 = PERIOD;
const PAUSED_FOR: i64 = PERIOD / 10;
/// With fewer stalled attempts than this an engine must be silent for as many times as long.
const STALLED_FOR_SURE: usize = 3;
/// An engine must be silent for this long in any case.
const MIN_SILENCE: i64 = SECOND / 4;

impl Scheduler {
    /// Not ejected; on probation one query at a time.
    pub(crate) fn is_healthy(&self, engine: &EngineRecord) -> bool {
        engine.ejected_until.max(engine.paused_until) <= self.now
            && !engine.is_gossip_ejected(self.now, PERIOD)
            && (engine.probation == 0 || engine.in_flight == 0)
    }

    /// Several others have ejected an engine. One more sign: it is ejected here for a while, but only where
    /// few are already; then it is on probation.
    pub(crate) fn eject_on_gossip(&mut self, id: EngineId, lasts: i64) {
        let now = self.now;
        let all = self.engines.in_service().count() as f64;
        let others = self.engines.iter().filter(|(other, engine)| !engine.gone && *other != id);
        let ejected = others.filter(|(_, engine)| engine.gossip_ejected_until > now).count() as f64;
        let are_few = ejected + 1.0 <= (all * MAX_GOSSIP_SHARE).max(1.0) && all > 1.0;
        let Some(engine) = self.engines.get_mut(id).filter(|_| are_few) else { return };
        engine.gossip_ejected_until = engine.gossip_ejected_until.max(now + lasts.min(MAX_EJECTION));
        engine.probation = engine.probation.max(1);
    }

    /// Ejects an engine for a while, longer each time, unless too many are ejected already.
    pub(crate) fn eject(&mut self, id: EngineId, unresponsive: bool, actions: &mut Vec<Action>) -> bool {
        let now = self.now;
        let all = self.engines.in_service().count() as f64;
        let ejected = self.engines.in_service().filter(|engine| engine.ejected_until > now).count() + 1;
        let Some(engine) = self.engines.get_mut(id) else { return false };
        if engine.ejected_until > now || ejected as f64 > all * MAX_EJECTED_SHARE {
            return false;
        }
        engine.ejected_until = now + engine.backoff;
        actions.push(Action::EngineEjected { engine: id, unresponsive, duration: duration(engine.backoff) });
        engine.backoff = (engine.backoff * 2).min(MAX_EJECTION);
        engine.probation = PROBATION;
        engine.failures = Mean::default();
        true
    }

    /// Judges an engine by an outcome. Guards against engines that fail fast and so look least busy; holds
    /// against any engine whose answers are mostly errors or resets. Hurts if requests themselves are at
    /// fault.
    pub(super) fn evaluate_outlier(&mut self, id: EngineId, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        match outcome {
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NeverSent => return,
            Outcome::Ok => {
                engine.record_success(self.now, MIN_EJECTION);
                return;
            }
            Outcome::Rejected => {
                // Full is pressure, and another attempt at once would be rejected too.
                engine.full_until = self.now + FULL_FOR;
                engine.paused_until = self.now + PAUSED_FOR;
                for evidence in [&mut engine.evidence, &mut self.pool] {
                    evidence.add_slowdown(CLIP * PRESSURE, RECENT, MEMORY);
                }
            }
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed => {
                engine.failures.add(1.0, RECENT);
                let is_refused = outcome == Outcome::ConnectFailed;
                if is_refused {
                    // What comes back after refused connections may be in slow start, though the list does
                    // not say so yet.
                    engine.started_at = Some(self.now);
                }
                // A refused connection tells of the engine, whatever was asked; an answer may be the
                // request's fault.
                let Mean { value: share, samples } = engine.failures;
                let is_shown = is_refused || share * samples > TWO_FAILURES;
                if engine.probation > 0 || is_shown && share > BAD_SHARE {
                    self.eject(id, false, actions);
                }
            }
        }
        self.observe_slowdown(id, CLIP * PRESSURE);
    }

    /// Finds engines that have gone silent: attempts there have stalled, and nothing is heard. Guards against
    /// engines that take work and answer nothing; holds against cut links. Hurts if all that is in flight at
    /// an engine is truly long and progress reports are lost.
    pub(super) fn eject_silent(&mut self, actions: &mut Vec<Action>) {
        let is_silent = |engine: &EngineRecord| {
            let InFlightEvidence { stalled, stall_threshold, .. } = engine.evidence.in_flight;
            let few = if stalled >= STALLED_FOR_SURE { 1 } else { STALLED_FOR_SURE as i64 };
            stalled > 0 && self.now - engine.last_response > (few * stall_threshold).max(MIN_SILENCE)
        };
        let silent = self.engines.iter().filter(|(_, engine)| is_silent(engine)).map(|(id, _)| id);
        for engine in silent.collect::<Vec<_>>() {
            if self.eject(engine, true, actions) && self.settings.limits.cancel {
                let stuck = self.requests.iter().filter(|(_, request)| request.waits_for(engine));
                for request in stuck.map(|(id, _)| id).collect::<Vec<_>>() {
                    self.cancel_for_retry(request, actions);
                }
            }
        }
    }
}
