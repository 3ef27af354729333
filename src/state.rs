//! What a gateway remembers: plain fields and what can be read off them. All decisions are in `policy`.
//! Times are in microseconds on the controller's clock.

use crate::interface::*;
use crate::mean::Mean;
use std::collections::VecDeque;
use std::time::Duration;

/// How long an own look at an engine stands against what others see, in microseconds.
const LOOKED_FOR: i64 = 1_000_000;

/// Where a held request stands in its class's line: target, number of its arrival, id.
pub(crate) type HeldKey = (i64, u64, RequestId);

/// What is known of a class, over all engines.
#[derive(Default)]
pub(crate) struct Class {
    /// Execution time of the served, clipped: the design's T.
    pub(crate) exec: Mean,
    /// The same at its best: what it takes on an engine at ease. Falls at once, rises slowly.
    pub(crate) best: Option<f64>,
    /// When there first was a mean.
    pub(crate) first: Option<i64>,
    /// Work as told on arrival.
    pub(crate) told: Mean,
    /// Work over threads as billed.
    pub(crate) width_time: Mean,
    /// Log of memory needed over memory estimated (or of memory needed), and its square.
    pub(crate) memory: (Mean, Mean),
    /// Did a fresh attempt after a suspected bad plan do better?
    pub(crate) repeat_helps: Mean,
}

/// What the attempts that are still out tell of their engine.
#[derive(Clone, Default)]
pub(crate) struct Watch {
    /// Age over the class's best, clipped, all classes together.
    pub(crate) age: Mean,
    /// For each class: ages past the stretched aim, over it.
    pub(crate) over_aim: Vec<Mean>,
    /// Attempts out far too long, and the least time after which one is.
    pub(crate) overdue: usize,
    pub(crate) patience: i64,
}

/// What answers, and attempts that are out, tell of an engine, or of all engines together.
#[derive(Default)]
pub(crate) struct Evidence {
    /// For each class: latency over the stretched aim since the last cut.
    pub(crate) over_aim: Vec<Mean>,
    /// Latency over best, all classes together.
    pub(crate) slowdown: Mean,
    pub(crate) slowdown_since_cut: Mean,
    /// Reported share of the scarcest resource in use.
    pub(crate) busy: Mean,
    pub(crate) watch: Watch,
}

#[derive(Default)]
pub(crate) struct Engine {
    pub(crate) entry: EngineEntry,
    pub(crate) gone: bool,
    pub(crate) cold_since: Option<i64>,
    /// Own attempts out and the threads that they run on.
    pub(crate) count: usize,
    pub(crate) threads: f64,
    pub(crate) bound: f64,
    pub(crate) reached: bool,
    pub(crate) pressed: bool,
    pub(crate) evidence: Evidence,
    /// How slow it looked when last heard of, and when that was.
    pub(crate) seen: (f64, i64),
    pub(crate) full_until: i64,
    pub(crate) shut_until: i64,
    pub(crate) failures: Mean,
    /// Others have found it to fail, and that holds until then; when it last served a query of ours.
    pub(crate) hearsay_until: i64,
    pub(crate) served: i64,
    pub(crate) last_send: i64,
    /// Last sign of life, or the send that broke the quiet.
    pub(crate) heard: i64,
    pub(crate) quarantined_until: i64,
    pub(crate) backoff: i64,
    /// On trial: one query at a time until it has served some.
    pub(crate) trial: u32,
    /// Attempts given up that may still run: until when, and their threads.
    pub(crate) abandoned: Vec<(i64, f64)>,
    /// Loads of ours that are out there.
    pub(crate) loads: Vec<RequestId>,
    /// Work sent while it is cold, for the budget of a cold engine.
    pub(crate) cold_sends: VecDeque<(i64, f64)>,
}

pub(crate) struct Attempt {
    pub(crate) engine: EngineId,
    pub(crate) sent: i64,
    pub(crate) number: u32,
    /// When it was sent, or its last note came.
    pub(crate) heard: i64,
    pub(crate) cancelled: bool,
}

#[derive(Default)]
pub(crate) struct Request {
    pub(crate) arrival: Arrival,
    pub(crate) arrived: i64,
    pub(crate) deadline: i64,
    pub(crate) target: i64,
    pub(crate) seq: u64,
    pub(crate) attempts: u32,
    pub(crate) out: Option<Attempt>,
    pub(crate) streaming: bool,
    /// Group, where it is known, and time of the first attempt that may have run.
    pub(crate) may_have_run: Option<(Option<u64>, i64)>,
    pub(crate) last_engine: Option<EngineId>,
    /// Projected time of an attempt that was given up as a bad plan.
    pub(crate) given_up_at: Option<f64>,
    pub(crate) priority: u8,
    /// An engine has answered it with an error.
    pub(crate) erred: bool,
}

#[derive(Default)]
pub(crate) struct Key {
    pub(crate) line: VecDeque<RequestId>,
    pub(crate) rests_until: i64,
}

impl Class {
    /// Memory needed over memory estimated, or needed.
    pub(crate) fn needed(&mut self, ratio: f64, memory: f64) {
        if ratio > 0.0 && ratio.is_finite() {
            self.memory.0.add(ratio.ln(), memory);
            self.memory.1.add(ratio.ln() * ratio.ln(), memory);
        }
    }
}

impl Evidence {
    pub(crate) fn new(classes: usize) -> Self {
        let over_aim = vec![Mean::default(); classes];
        let watch = Watch { over_aim: over_aim.clone(), ..Watch::default() };
        Self { over_aim, watch, ..Self::default() }
    }

    /// Takes in a latency over best.
    pub(crate) fn slow(&mut self, slowdown: f64, recent: f64, memory: f64) {
        self.slowdown.add(slowdown, recent);
        self.slowdown_since_cut.add(slowdown, memory);
    }

    /// Each period judges its own completions; classes with fewer than these gather theirs over a few.
    pub(crate) fn fade(&mut self, least: f64) {
        self.slowdown.n *= 0.75;
        self.busy.n *= 0.75;
        self.slowdown_since_cut.n *= 0.25;
        self.over_aim.iter_mut().for_each(|m| m.n *= if m.n < least { 0.75 } else { 0.25 });
    }

    /// A class's latency over its aim here, what is out and past it included.
    pub(crate) fn over_aim_now(&self, class: usize) -> Mean {
        let (done, out) = (self.over_aim[class], self.watch.over_aim.get(class).copied().unwrap_or_default());
        let n = done.n + out.n;
        Mean { n, value: (done.value * done.n + out.value * out.n) / n.max(1.0) }
    }
}

impl Request {
    pub(crate) fn is_out(&self, attempt: AttemptNo) -> bool {
        self.out.as_ref().is_some_and(|o| o.number == attempt.0)
    }

    pub(crate) fn stuck_on(&self, engine: EngineId) -> bool {
        !self.streaming && self.out.as_ref().is_some_and(|o| o.engine == engine)
    }
}

pub(crate) fn us(d: Duration) -> i64 {
    d.as_micros().min(i64::MAX as u128 / 8) as i64
}

/// Spreads seeds and numbers over all values.
pub(crate) fn mix(x: u64) -> u64 {
    let x = (x ^ x >> 30).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    (x ^ x >> 27).wrapping_mul(0x94D0_49BB_1331_11EB) ^ x >> 31
}

pub(crate) fn span(us: i64) -> Duration {
    Duration::from_micros(us.max(0) as u64)
}

impl Engine {
    /// An attempt leaves for it.
    pub(crate) fn put(&mut self, request: RequestId, threads: f64, load: bool, now: i64) {
        if self.count == 0 {
            self.heard = now;
        }
        self.count += 1;
        self.threads += threads;
        self.last_send = now;
        if load {
            self.loads.push(request);
        }
    }

    /// Set aside on what others say. Who has been served there a moment ago knows better.
    pub(crate) fn aside(&self, now: i64, moment: i64) -> bool {
        self.hearsay_until > now && now - self.served >= moment
    }

    /// Others know of a later start of it. Its cold budget holds from then on; what was learned of the process before
    /// is let go once the list says so.
    pub(crate) fn anew(&mut self, at: Time, now: i64) {
        self.cold_since = self.cold_since.max(Some((at.0.min(i64::MAX as u64 / 8) as i64).min(now)));
    }

    /// An own sign of how slow it is came a moment ago: who has looked knows better than who hears of it.
    pub(crate) fn looked(&self, now: i64) -> bool {
        self.seen.1 > 0 && now - self.seen.1 < LOOKED_FOR
    }

    /// What others may hear of it.
    pub(crate) fn view(&self, slowdown: Option<f64>) -> Look {
        let away_until = (self.quarantined_until > 0).then_some(Time(self.quarantined_until as u64));
        Look { engine: self.entry.engine, slowdown, threads: self.threads, away_until }
    }

    /// An attempt has ended there.
    pub(crate) fn lift(&mut self, request: RequestId, threads: f64) {
        self.count = self.count.saturating_sub(1);
        self.threads = (self.threads - threads).max(0.0);
        self.loads.retain(|l| *l != request);
    }

    /// Forgets abandoned attempts that have had their time, and sends older than the window.
    pub(crate) fn expire(&mut self, now: i64, window: i64) {
        self.cold_sends.retain(|s| s.0 > now - window);
        let over: f64 = self.abandoned.iter().filter(|a| a.0 <= now).map(|a| a.1).sum();
        self.abandoned.retain(|a| a.0 > now);
        self.threads = (self.threads - over).max(0.0);
    }
}
