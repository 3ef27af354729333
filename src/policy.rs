//! All decisions of the gateway. Its vocabulary (settings, events, actions) is in `src/interface.rs`; what it
//! remembers of classes, engines and requests is laid out in `src/state.rs`.
//!
//! A request is held until its dispatch target's turn comes and an engine has room, then sent; what comes
//! back moves the class estimates, the engines' bounds and their health. Nothing here reads a clock.

use crate::checks::check;
use crate::interface::*;
use crate::mean::Mean;
use crate::state::*;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;

// ---- Constants, each with its reason. Times are in microseconds.

const SECOND: i64 = 1_000_000;
/// Steps between two rounds of housekeeping, in ticks: well inside the slack of a final answer.
const BEAT_TICKS: i64 = 4;
/// The design's defaults: bound at start and its floor, in threads a core over all gateways.
const START_PER_CORE: f64 = 1.5;
const FLOOR_PER_CORE: f64 = 0.5;
/// The design's raise, a period; cuts have the same, so that both act on the same evidence.
const RAISE: f64 = 1.25;
const PERIOD: i64 = SECOND;
/// Completions of a class at an engine before its mean may cut: fewer are ruled by the spread of the work.
const LEAST_SAMPLES: f64 = 6.0;
/// Samples are clipped at this multiple of the running mean, so that bad plans do not carry the estimates.
const CLIP: f64 = 4.0;
/// Samples that a running mean remembers, and one of an engine's present state.
const MEMORY: f64 = 100.0;
const RECENT: f64 = 25.0;
/// Latency this far above best is pressure (the design's condition for a bound to bind).
const PRESSURE: f64 = 2.0;
/// Mean reported share of an engine's scarcest resource from which it is pressed.
const BUSY: f64 = 0.6;
/// An engine with no connection of ours is taken where the others look slower by more than this, in best
/// latencies: a front end with little traffic would otherwise keep opening some to all, in turn.
const NEW_CONNECTION: f64 = 0.25;
/// Deviations of chance that a gateway's part of the pool leaves room for: one in 40 is beyond two.
const DEVIATIONS: f64 = 2.0;
/// The same for the class that earns most for its work: as much again.
const RESERVED: f64 = 2.0 * DEVIATIONS;
/// Weight of the latest sign of how slow an engine is: one query's spread counts half.
const LOOK: f64 = 0.5;
/// Share of the wait until its target after which a held query is refused rather than served late.
const WAIT_SHARE: f64 = 0.7;
/// Our share of a cold engine's budget; the rest is for other classes and for what is sent before the news.
const COLD_SHARE: f64 = 0.5;
/// Share of that budget which is dealt out evenly, where an even part holds a query: with the rule's usual
/// figures three quarters of what the engine can do while it is cold.
const COLD_EVEN: f64 = 0.3;
/// Best rises this much a second: a pool that has truly become slower is its own best in some minutes.
const BEST_DRIFT: f64 = 1.003;
/// An attempt projected to need this many times its class's mean is taken for a bad plan.
const RUNAWAY: f64 = 4.0;
/// An attempt projected to need this many times what its client will wait is lost; notes are rough.
const DOOMED: f64 = 1.5;
/// Half spans between notes after which they are missed: of 9,741 served, none was silent for so long.
const NOTES_MISSED: i64 = 5;
/// Quarantine: share of failures that starts it, first length, longest length.
const BAD_SHARE: f64 = 0.25;
/// Two failures, the first up to five periods old: what came before fades, or a front end that meets an
/// engine every few seconds would set last minute's successes against what fails now.
const TWO_FAILURES: f64 = 1.23;
const QUARANTINE: i64 = SECOND;
const QUARANTINE_MOST: i64 = 8 * SECOND;
/// At most this share of the engines in service sits in quarantine: beyond it the cause is elsewhere.
const QUARANTINE_SHARE: f64 = 0.5;
/// And this share is set aside on hearsay.
const HEARSAY_SHARE: f64 = 0.2;

// ---- State

/// The decisions of one gateway.
pub struct Gateway {
    settings: Settings,
    /// How many share the pool; a process with half of a gateway's work is one of twice as many. Cold budgets
    /// go by those that were told, all else by those that live.
    sharers: f64,
    living: f64,
    now: i64,
    seq: u64,
    next_beat: i64,
    still: bool,
    subscribe_at: Option<i64>,
    pub(crate) classes: Vec<Class>,
    /// Evidence of all engines together: it decides for an engine that has too little of its own.
    pool: Evidence,
    last_period: i64,
    pub(crate) engines: BTreeMap<EngineId, Engine>,
    requests: BTreeMap<RequestId, Request>,
    /// For each class what waits, in rising target order.
    held: Vec<BTreeSet<HeldKey>>,
    keys: BTreeMap<KeyId, Key>,
    /// Attempts whose request has ended: they load their engine and hold their key until their outcome.
    ghosts: BTreeMap<RequestId, Request>,
    taken: VecDeque<i64>,
    extras: VecDeque<i64>,
    /// Work sent to warm engines a second, a rough mean for each of them.
    warm_rate: f64,
    warm_sent: f64,
    tie: u64,
}

impl Gateway {
    /// A gateway that has seen nothing yet.
    ///
    /// # Errors
    /// Names the first field that makes no sense.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        check(&settings)?;
        let classes: Vec<_> = settings.classes.iter().map(|_| Class::default()).collect();
        Ok(Self {
            pool: Evidence::new(classes.len()),
            last_period: i64::MIN / 2,
            subscribe_at: (settings.discovery == Discovery::Asked).then_some(0),
            sharers: f64::from(settings.gateways),
            living: f64::from(settings.gateways),
            settings,
            now: 0,
            seq: 0,
            next_beat: i64::MIN,
            still: false,
            held: vec![BTreeSet::new(); classes.len()],
            classes,
            engines: BTreeMap::new(),
            requests: BTreeMap::new(),
            keys: BTreeMap::new(),
            ghosts: BTreeMap::new(),
            taken: VecDeque::new(),
            extras: VecDeque::new(),
            warm_rate: 0.0,
            warm_sent: 0.0,
            tie: seed,
        })
    }

    /// Takes in all that happened at `now`, then releases what may go.
    pub fn step(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>) {
        self.now = self.now.max(now.0.min(i64::MAX as u64 / 8) as i64);
        // Who stood still hears of all that came meanwhile at once: those latencies are its own, not learned.
        self.still = self.next_beat > i64::MIN && self.now - self.next_beat > PERIOD / 4;
        for event in events {
            self.take(event, actions);
        }
        self.beat(actions);
        self.release(actions);
    }

    /// Number of things remembered: requests, attempts, engines, keys. For watching that it stays bounded.
    pub fn held_state(&self) -> usize {
        let held: usize = self.held.iter().map(BTreeSet::len).sum();
        let requests = self.requests.len() + self.ghosts.len() + held + self.keys.len();
        requests + self.engines.len() + self.taken.len() + self.extras.len()
    }

    // ---- Intake

    fn take(&mut self, event: &Event, actions: &mut Vec<Action>) {
        let asked = self.settings.discovery == Discovery::Asked;
        match event {
            Event::Engines { scope, entries } => self.list(*scope, entries),
            Event::Part(part) => self.part(*part),
            Event::Living(count) => self.share(self.sharers * count / f64::from(self.settings.gateways)),
            Event::Hearsay { engine, lasts } => self.hearsay(*engine, us(*lasts)),
            Event::Started { engine, at } => _ = self.engines.get_mut(engine).map(|e| e.anew(*at, self.now)),
            Event::Looks { engine, .. } if self.engines.get(engine).is_some_and(|e| e.looked(self.now)) => {}
            Event::Looks { engine, slowdown: s } => {
                self.look(*engine, s.max(1.0).clamp(1.0, CLIP * PRESSURE))
            }
            Event::ListFailed => self.subscribe_at = asked.then_some(self.now + SECOND),
            Event::Arrival(arrival) => self.arrive(arrival, actions),
            Event::Bound(request) => self.bound(*request),
            Event::StreamBegan { request, attempt } => {
                let began = self.requests.get_mut(request).filter(|r| r.is_out(*attempt));
                began.into_iter().for_each(|r| r.streaming = true);
            }
            Event::Noted { request, attempt, note } => self.noted(*request, *attempt, *note, actions),
            Event::Ended(ended) => self.ended(ended, actions),
            Event::Left(id) => self.left(*id, actions),
            Event::Woken | Event::Probed { .. } => {}
        }
    }

    fn list(&mut self, scope: ListScope, entries: &[EngineEntry]) {
        if scope != ListScope::Changes {
            self.engines.values_mut().for_each(|e| e.gone = true);
        }
        for entry in entries {
            let (now, started) = (self.now, entry.started.map(|t| t.0.min(i64::MAX as u64 / 8) as i64));
            let (bound, classes) = (self.own_part(START_PER_CORE, entry.kind), self.settings.classes.len());
            let known = self.engines.entry(entry.engine);
            let fresh = matches!(known, Entry::Vacant(_));
            let engine = known.or_default();
            if fresh || engine.entry.started != entry.started && started.is_some() {
                // New, or restarted: what was known of a process that ended is void.
                let (count, threads, evidence) = (engine.count, engine.threads, Evidence::new(classes));
                *engine = Engine { count, threads, evidence, bound, heard: now, ..Engine::default() };
                engine.backoff = QUARANTINE;
            }
            engine.cold_since = started.or(engine.cold_since);
            engine.entry = entry.clone();
            engine.gone = entry.state != EngineState::InService;
        }
        // Engines that are gone are forgotten once nothing of ours is out there.
        self.engines.retain(|_, e| e.count > 0 || !e.gone || e.entry.state == EngineState::Draining);
    }

    /// Bounds and cold budgets are parts of what all gateways may do, and go with this process's part of one.
    fn part(&mut self, part: f64) {
        let sharers = f64::from(self.settings.gateways) / part.clamp(0.01, 1.0);
        let before = std::mem::replace(&mut self.sharers, sharers);
        self.warm_rate *= before / sharers;
        self.share(self.living * sharers / before);
    }

    fn share(&mut self, living: f64) {
        let living = living.max(1.0);
        self.engines.values_mut().for_each(|e| e.bound *= self.living / living);
        self.living = living;
    }

    /// Engines on the list that nothing is sent to: out, draining or in quarantine.
    pub fn avoided(&self) -> usize {
        let away = |e: &&Engine| e.gone || e.quarantined_until > self.now || e.aside(self.now, PERIOD);
        self.engines.values().filter(|e| e.entry.state != EngineState::Gone).filter(away).count()
    }

    /// How engines look to this gateway now.
    pub fn views(&self) -> impl Iterator<Item = Look> {
        let listed = self.engines.values().filter(|e| !e.gone);
        listed.map(|e| e.view(e.looked(self.now).then(|| self.looks(e))))
    }

    fn arrive(&mut self, arrival: &Arrival, actions: &mut Vec<Action>) {
        if arrival.class.0 >= self.classes.len() || self.requests.contains_key(&arrival.request) {
            return;
        }
        let patience = us(arrival.patience);
        if let Some(work) = arrival.work {
            self.classes[arrival.class.0].told.add(us(work) as f64, MEMORY);
        }
        let request = Request {
            arrived: self.now,
            deadline: self.now + patience,
            target: self.now + self.aim(arrival.class).min(patience) - self.exec(arrival),
            seq: self.seq,
            priority: 1,
            may_have_run: arrival.earlier.map(|e| (Some(e.group), self.now - us(e.ago))),
            arrival: arrival.clone(),
            ..Request::default()
        };
        self.seq += 1;
        self.taken.extend(self.settings.rules.retry_budget.as_ref().map(|_| self.now));
        if let (true, Some(key)) = (self.settings.classes[arrival.class.0].in_order, arrival.key) {
            self.keys.entry(key).or_default().line.push_back(arrival.request);
        }
        self.held[arrival.class.0].insert((request.target, request.seq, arrival.request));
        self.requests.insert(arrival.request, request);
        if patience <= 0 {
            self.answer(arrival.request, actions);
        }
    }

    fn left(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if let (Some(out), true) = (&request.out, self.settings.limits.cancel && !request.streaming) {
            actions.push(Action::Cancel { request: id, attempt: AttemptNo(out.number) });
        }
        self.fall_back(id, actions);
        self.forget(id);
    }

    /// Drops a request; an attempt still out stays as a ghost.
    fn forget(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        self.held[request.arrival.class.0].remove(&(request.target, request.seq, id));
        if request.out.is_some() {
            self.ghosts.insert(id, request);
        } else if let Some(key) = request.arrival.key.and_then(|k| self.keys.get_mut(&k)) {
            key.line.retain(|r| *r != id);
        }
    }

    // ---- Class estimates: T, the aim, best

    /// T of the design: mean execution time; before outcomes the estimate told, or half the aim.
    fn exec(&self, arrival: &Arrival) -> i64 {
        let (class, settings) = (&self.classes[arrival.class.0], &self.settings.classes[arrival.class.0]);
        let told = arrival.work.map(|w| us(w) as f64 / f64::from(settings.threads));
        class.exec.get(1.0).or(told).unwrap_or(us(settings.aim) as f64 / 2.0) as i64
    }

    /// The class's aim, stretched by its usual work: judged bare, long queries would always seem late.
    fn aim(&self, class: ClassId) -> i64 {
        let settings = &self.settings.classes[class.0];
        (us(settings.aim) + (settings.aim_stretch.clamp(0.0, 1e3) * self.width_time(class)) as i64)
            .min(us(settings.deadline))
    }

    /// Usual work over threads: as billed, else the class's best.
    fn width_time(&self, class: ClassId) -> f64 {
        let known = &self.classes[class.0];
        known.width_time.get(LEAST_SAMPLES).or(known.best).unwrap_or(0.0)
    }

    /// Learns from an answer: T, best, the engine's slowdown and its f.
    fn learn(&mut self, request: &Request, out: &Attempt, bill: Option<Bill>) {
        let (id, took) = (request.arrival.class, (self.now - out.sent).max(1) as f64);
        let settings = &self.settings.classes[id.0];
        let threads = f64::from(settings.threads);
        let class = &mut self.classes[id.0];
        let clipped = class.exec.get(LEAST_SAMPLES).map_or(took, |mean| took.min(mean * CLIP));
        class.exec.add(clipped, MEMORY);
        if let Some(bill) = bill {
            let work = us(bill.work) as f64 / threads;
            let most = class.width_time.get(LEAST_SAMPLES).map_or(f64::MAX, |w| w * CLIP);
            class.width_time.add(work.min(most), MEMORY);
            let base = request.arrival.memory_mb.filter(|m| *m > 0.0).unwrap_or(1.0);
            class.needed(bill.memory_mb / base, MEMORY);
        }
        if class.exec.n >= LEAST_SAMPLES {
            let mean = class.exec.value;
            // The first to complete are the short ones: best is the mean until the memory is full or, where
            // traffic is thin, the long ones have had their time.
            let waited = (self.now - *class.first.get_or_insert(self.now)) as f64;
            let thin = class.exec.n >= RECENT && waited > LEAST_SAMPLES * mean.max(PERIOD as f64);
            let settled = class.exec.n >= MEMORY || thin;
            class.best = Some(class.best.filter(|_| settled).map_or(mean, |b| mean.min(b)));
        }
        if let Some(first) = request.given_up_at {
            class.repeat_helps.add(f64::from(took < first / 2.0), MEMORY);
        }
        let work = bill.map_or(self.width_time(id).min(took), |b| us(b.work) as f64 / threads);
        let stretched = us(self.settings.classes[id.0].aim) as f64 + settings.aim_stretch * work;
        let ease = bill.map(|_| work).or(self.classes[id.0].best);
        let slowdown = ease.map(|ease| (clipped / ease.max(1.0)).min(CLIP * PRESSURE));
        let own = self.engines.get_mut(&out.engine).map(|e| &mut e.evidence);
        for evidence in own.into_iter().chain([&mut self.pool]) {
            evidence.over_aim[id.0].add(clipped / stretched.max(1.0), MEMORY);
            slowdown.into_iter().for_each(|s| evidence.slow(s, RECENT, MEMORY));
        }
        slowdown.into_iter().for_each(|s| self.look(out.engine, s));
    }

    // ---- Queue and release

    /// Sends what may go: late queries first, highest worth leading; then in rising target order. It looks at
    /// the heads of the classes' lines only, so that a step costs no more however much is held.
    fn release(&mut self, actions: &mut Vec<Action>) {
        let mut heads = vec![Some((i64::MIN, 0, RequestId(0))); self.classes.len()];
        loop {
            // A head stands where its class's line was looked through to; none, and the class is shut.
            let next = |(class, head): (usize, &Option<HeldKey>)| {
                let after = (Bound::Excluded((*head)?), Bound::Unbounded);
                let key = *self.held[class].range(after).next()?;
                let late = key.0 < self.now;
                Some((!late, if late { -self.settings.classes[class].worth } else { 0.0 }, key, class))
            };
            let order = |a: &(bool, f64, HeldKey, usize), b: &(bool, f64, HeldKey, usize)| {
                a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2))
            };
            let Some((.., key, class)) = heads.iter().enumerate().filter_map(next).min_by(order) else {
                return;
            };
            heads[class] = Some(key);
            let id = key.2;
            let further = self.requests[&id].attempts > 0;
            if further && !self.budget_left() || !self.in_turn(id) {
                continue;
            }
            match self.route(id) {
                Some(engine) => self.send(id, engine, actions),
                // No room for one of a class is none for its next; further attempts look for themselves, and
                // so do loads, which wait for their tables.
                None if further || self.settings.classes[class].is_load => {}
                None => heads[class] = None,
            }
        }
    }

    /// Rule of order: the first in its key's line, with nothing that may still run before it.
    fn in_turn(&self, id: RequestId) -> bool {
        let request = &self.requests[&id];
        match request.arrival.key.and_then(|k| self.keys.get(&k)) {
            Some(key) if self.settings.classes[request.arrival.class.0].in_order => {
                key.line.front() == Some(&id) && (request.attempts > 0 || key.rests_until <= self.now)
            }
            _ => true,
        }
    }

    fn send(&mut self, id: RequestId, to: EngineId, actions: &mut Vec<Action>) {
        let terms = self.terms(id);
        let class = self.requests[&id].arrival.class;
        let work = self.weight(class);
        let width = f64::from(self.settings.classes[class.0].threads);
        let (now, warm) = (self.now, self.engines.get(&to).is_some_and(|e| self.warm_at(e) >= 1.0));
        let (Some(request), Some(engine)) = (self.requests.get_mut(&id), self.engines.get_mut(&to)) else {
            return;
        };
        self.held[class.0].remove(&(request.target, request.seq, id));
        if let Some((memory_mb, priority)) = terms {
            request.priority = priority;
            actions.push(Action::Terms { request: id, memory_mb, priority });
        }
        self.extras.extend((request.attempts > 0).then_some(now));
        let number = request.attempts;
        request.out = Some(Attempt { engine: to, sent: now, number, heard: now, cancelled: false });
        request.last_engine = Some(to);
        request.attempts += 1;
        engine.put(id, width, self.settings.classes[class.0].is_load, now);
        if warm {
            self.warm_sent += work;
        } else {
            engine.cold_sends.push_back((now, work));
        }
        actions.push(Action::Send { request: id, engine: to, timeout: None });
    }

    // ---- Bounds

    fn cores(&self, kind: Option<KindId>) -> f64 {
        kind.and_then(|k| self.settings.kinds.get(k.0)).map_or(1.0, |k| f64::from(k.cores.max(1)))
    }

    /// This gateway's part of so many threads a core; at least one query is left to `route`.
    fn own_part(&self, threads: f64, kind: Option<KindId>) -> f64 {
        threads * self.cores(kind) / self.living
    }

    /// The design's condition: latency far above best, or full.
    fn signs(&self, engine: &Engine) -> bool {
        // Young attempts show no latency yet; own threads tell, between an even part and all.
        let spread = self.living.sqrt();
        let (own, pool) = (&engine.evidence, &self.pool);
        // Reports of the pool stand in for own latencies, of which a gateway with little traffic has too few.
        let busy = own.busy.get(LEAST_SAMPLES).or(pool.busy.get(LEAST_SAMPLES));
        let stands_in =
            pool.slowdown.get(LEAST_SAMPLES).map_or(busy.is_some_and(|b| b > BUSY), |s| s > PRESSURE);
        engine.full_until > self.now
            || own.slowdown.get(LEAST_SAMPLES).map_or(stands_in, |s| s > PRESSURE)
            || own.watch.age.get(3.0).or(pool.watch.age.get(3.0)).is_some_and(|a| a > 2.0 * PRESSURE)
            || engine.count > 1 && engine.threads > START_PER_CORE * self.cores(engine.entry.kind) / spread
    }

    /// The design's f for an engine, and whether all classes run under aim. Too few samples of its own, and
    /// those of all engines decide: one of many gateways never gathers enough at each.
    fn judgement(&self, engine: &Engine) -> (f64, bool) {
        let (own, pool) = (&engine.evidence, &self.pool);
        let over = |c| own.over_aim_now(c).get(LEAST_SAMPLES).or(pool.over_aim_now(c).get(LEAST_SAMPLES));
        // Stretched aims leave room past the point where engines lose throughput: far above best is a miss.
        let jam = |e: &Evidence| e.slowdown_since_cut.get(LEAST_SAMPLES / 2.0).map(|s| s / PRESSURE);
        let f = (0..self.classes.len()).filter_map(over).chain(jam(own).or(jam(pool))).fold(0.0, f64::max);
        let under = |c| over(c).unwrap_or(own.over_aim_now(c).value) <= 1.0;
        (f, (0..self.classes.len()).all(under))
    }

    /// One cut a period by the largest f; a raise by a quarter a second while reached and all are under aim.
    fn adapt(&mut self, ends: bool) {
        let seen = |e: &Engine| {
            let judged = if ends { self.judgement(e) } else { (0.0, false) };
            (self.signs(e), judged, self.own_part(FLOOR_PER_CORE, e.entry.kind))
        };
        let seen: Vec<_> = self.engines.values().map(seen).collect();
        for (engine, (signs, (f, under), floor)) in self.engines.values_mut().zip(seen) {
            // Pressure lasts while the bound is reached: let go at once, all that is held would pour in.
            engine.pressed |= signs;
            if !ends {
                continue;
            }
            if f > 1.0 {
                engine.bound = (engine.bound / f).max(floor);
            } else if engine.reached && under && !signs {
                engine.bound *= RAISE;
            }
            engine.pressed = signs || engine.reached && engine.pressed;
            engine.reached = false;
            engine.failures.n *= 0.75;
            engine.evidence.fade(LEAST_SAMPLES);
        }
        ends.then(|| self.pool.fade(LEAST_SAMPLES));
    }

    // ---- Routing

    /// The engine with the fewest own queries among those with room.
    fn route(&mut self, id: RequestId) -> Option<EngineId> {
        let request = &self.requests[&id];
        let class = request.arrival.class;
        let width = f64::from(self.settings.classes[class.0].threads);
        let holds = self.settings.classes[class.0].is_load;
        let mut found = None;
        // One query an engine is too much from many gateways: where a bound is under the width, all that is
        // out must fit in all bounds together.
        let usable = self.engines.values().filter(|e| self.healthy(e) && !e.gone);
        let (out, bounds) = usable.fold((0.0, 0.0), |(t, b), e| (t + e.threads, b + e.bound));
        let spare = out == 0.0 || out + width <= bounds + self.chance(class, bounds, width);
        let mut reached = Vec::new();
        for (&eid, engine) in &self.engines {
            let open = self.allowed(request, engine) && self.healthy(engine);
            if !open || !self.cold_room(eid, class) || self.locked(request, engine) {
                continue;
            }
            if engine.threads + width > engine.bound && (engine.count > 0 || !spare) {
                reached.push(eid);
                if engine.pressed || self.signs(engine) {
                    continue;
                }
            }
            let away = self.settings.zone.is_some() && engine.entry.zone != self.settings.zone;
            let again = request.last_engine == Some(eid);
            let opens = if self.connected(engine) { 0.0 } else { NEW_CONNECTION };
            let looks = if holds { 0.0 } else { self.looks(engine) };
            let looks = ((looks + opens) * 16.0) as u64;
            let rank = (again, engine.count, looks, away, engine.last_send, mix(u64::from(eid.0) ^ self.tie));
            found = found.into_iter().chain([(rank, eid)]).min();
        }
        reached.iter().for_each(|e| self.engines.get_mut(e).expect("just seen").reached = true);
        found.map(|f: (_, EngineId)| f.1)
    }

    /// A connection of ours to it should still be open. One that has just come needs them from all.
    fn connected(&self, engine: &Engine) -> bool {
        let lasts = self.settings.engine.idle_close.map_or(i64::MAX, us);
        engine.count > 0 || self.now - engine.last_send < lasts || self.warm_at(engine) < 1.0
    }

    /// What a gateway's traffic swings by beside an even part of so many threads. The pool bears the sum, in
    /// which the swings of many cancel out; held to its even part, each would turn away what others leave
    /// free. Hurts where all have too much at once, until the bounds are cut. The class that earns most for
    /// its work keeps a reserve of its own: one wide query that runs for seconds would shut out many of it.
    fn chance(&self, class: ClassId, threads: f64, width: f64) -> f64 {
        let first = self.earns(class.0) >= self.most_earned();
        (if first { RESERVED } else { DEVIATIONS }) * (threads * width * (1.0 - 1.0 / self.living)).sqrt()
    }

    /// How slow an engine looks: what was last heard of it, fading towards the pool's mean in the time that
    /// the longest class runs, as what loads it now will then have left.
    fn looks(&self, engine: &Engine) -> f64 {
        let usual = self.pool.slowdown.get(1.0).unwrap_or(1.0);
        let longest = self.classes.iter().map(|c| c.exec.value).fold(SECOND as f64, f64::max);
        let (seen, at) = engine.seen;
        if at == 0 { usual } else { usual + (seen - usual) * (-((self.now - at) as f64) / longest).exp() }
    }

    /// Takes in one sign of how slow an engine is now. Guards against engines loaded by others' work, which
    /// a gateway with little traffic cannot tell from its means; holds against slow ones as well.
    fn look(&mut self, id: EngineId, slowdown: f64) {
        let Some(before) = self.engines.get(&id).map(|e| self.looks(e)) else { return };
        let engine = self.engines.get_mut(&id).expect("just seen");
        engine.seen = (before + (slowdown - before) * LOOK, self.now);
    }

    /// A load of ours holds this request's tables there: it would stand still and keep its memory, so it is
    /// held here for another engine or the load's end. Holds against hot tables; blind to others' loads.
    fn locked(&self, request: &Request, engine: &Engine) -> bool {
        let class = &self.settings.classes[request.arrival.class.0];
        let group = |id: &RequestId| self.requests.get(id).or(self.ghosts.get(id)).map(|r| r.arrival.group);
        (class.is_load || class.waits_for_loads)
            && request.arrival.group.is_some()
            && engine.loads.iter().any(|l| group(l) == Some(request.arrival.group))
    }

    /// Rules of drain, placement and repeats: may this request go there at all?
    fn allowed(&self, request: &Request, engine: &Engine) -> bool {
        let class = &self.settings.classes[request.arrival.class.0];
        let placed = class.zones.as_ref().is_none_or(|z| engine.entry.zone.is_some_and(|e| z.contains(&e)))
            && class.kinds.as_ref().is_none_or(|k| engine.entry.kind.is_some_and(|e| k.contains(&e)));
        let repeat = match (class.effect, request.may_have_run) {
            (Effect::Safe, _) | (_, None) => true,
            (Effect::Once, Some(_)) => false,
            (Effect::Keyed { scope, memory }, Some((first, sent))) => {
                let same = scope == KeyScope::All || first.is_some() && first == scope.group(&engine.entry);
                self.now - sent < us(memory) && same
            }
        };
        !engine.gone && placed && repeat
    }

    // ---- Engine health

    /// Out while in quarantine; on trial one query at a time.
    fn healthy(&self, engine: &Engine) -> bool {
        engine.quarantined_until.max(engine.shut_until) <= self.now
            && !engine.aside(self.now, PERIOD)
            && (engine.trial == 0 || engine.count == 0)
    }

    /// Several others have found an engine to fail. One more sign: it is set aside for a while, but only
    /// where few are already; then it is on trial.
    fn hearsay(&mut self, id: EngineId, lasts: i64) {
        let all = self.engines.values().filter(|e| !e.gone).count() as f64;
        let aside = self.engines.iter().filter(|e| !e.1.gone && *e.0 != id && e.1.hearsay_until > self.now);
        let few = aside.count() as f64 + 1.0 <= (all * HEARSAY_SHARE).max(1.0) && all > 1.0;
        let Some(engine) = self.engines.get_mut(&id).filter(|_| few) else { return };
        engine.hearsay_until = engine.hearsay_until.max(self.now + lasts.min(QUARANTINE_MOST));
        engine.trial = engine.trial.max(1);
    }

    /// Shuts an engine out for a while, longer each time, unless too many are out already.
    fn quarantine(&mut self, id: EngineId, silent: bool, actions: &mut Vec<Action>) -> bool {
        let all = self.engines.values().filter(|e| !e.gone);
        let (all, out) = (all.clone().count(), all.filter(|e| e.quarantined_until > self.now).count() + 1);
        let Some(engine) = self.engines.get_mut(&id) else { return false };
        if engine.quarantined_until > self.now || out as f64 > all as f64 * QUARANTINE_SHARE {
            return false;
        }
        engine.quarantined_until = self.now + engine.backoff;
        actions.push(Action::Suspect { engine: id, silent, lasts: span(engine.backoff) });
        engine.backoff = (engine.backoff * 2).min(QUARANTINE_MOST);
        engine.trial = 3;
        engine.failures = Mean::default();
        true
    }

    /// Judges an outcome. Guards against engines that fail fast and so look least busy; holds against any
    /// engine whose answers are mostly errors or resets. Hurts if requests themselves are at fault.
    fn judge(&mut self, id: EngineId, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(engine) = self.engines.get_mut(&id) else { return };
        let failed = match outcome {
            Outcome::Ok => false,
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed => true,
            Outcome::Full => {
                // Full is pressure, and another try at once would be turned away too.
                engine.full_until = self.now + PERIOD;
                engine.shut_until = self.now + PERIOD / 10;
                for evidence in [&mut engine.evidence, &mut self.pool] {
                    evidence.slow(CLIP * PRESSURE, RECENT, MEMORY);
                }
                self.look(id, CLIP * PRESSURE);
                return;
            }
            Outcome::TimedOut | Outcome::Cancelled | Outcome::Moot => return,
        };
        engine.failures.add(f64::from(u8::from(failed)), RECENT);
        engine.served = if failed { engine.served } else { self.now };
        if outcome == Outcome::ConnectFailed {
            // What comes back after refused connections may be cold, though the list does not say so yet.
            engine.cold_since = Some(self.now);
        }
        // A refused connection tells of the engine, whatever was asked; an answer may be the request's fault.
        let (share, failures) = (engine.failures.value, engine.failures.value * engine.failures.n);
        let shown = outcome == Outcome::ConnectFailed || failures > TWO_FAILURES;
        let bad = engine.trial > 0 || shown && share > BAD_SHARE;
        if !failed {
            engine.trial = engine.trial.saturating_sub(1);
            engine.backoff = if engine.trial == 0 { QUARANTINE } else { engine.backoff };
            return;
        }
        if bad {
            self.quarantine(id, false, actions);
        }
        self.look(id, CLIP * PRESSURE);
    }

    /// Looks through what is out: how old, past its aim, overdue. From what jams no completions tell.
    fn watch(&mut self) {
        let fresh = Evidence::new(self.classes.len()).watch;
        self.engines.values_mut().for_each(|e| e.evidence.watch = fresh.clone());
        self.pool.watch = fresh;
        for request in self.requests.values().filter(|r| !r.streaming) {
            let Some(out) = &request.out else { continue };
            let class = request.arrival.class;
            let (age, exec) = ((self.now - out.sent) as f64, self.exec(&request.arrival) as f64);
            let (aim, best) = (self.aim(class) as f64, self.classes[class.0].best.unwrap_or(exec).max(1.0));
            let notes = self.settings.engine.notes_every;
            let missed = notes.map_or(i64::MAX, |n| us(n) * NOTES_MISSED / 2);
            let patience = ((exec as i64).max(us(self.settings.tick)) * 6).min(missed);
            let Some(own) = self.engines.get_mut(&out.engine) else { continue };
            let own = &mut own.evidence.watch;
            for watch in [&mut *own, &mut self.pool.watch] {
                watch.age.add((age / best).min(4.0 * PRESSURE), MEMORY);
                if age > aim {
                    watch.over_aim[class.0].add(age / aim.max(1.0), MEMORY);
                }
            }
            if age as i64 > patience {
                own.patience = if own.overdue == 0 { patience } else { own.patience.min(patience) };
                own.overdue += 1;
            }
        }
    }

    /// Finds engines that have gone silent: work of ours is out and overdue, and nothing is heard.
    /// Guards against engines that take work and answer nothing; holds against cut links. Hurts if all
    /// that is out at an engine is truly long and notes are lost.
    fn watch_silence(&mut self, actions: &mut Vec<Action>) {
        let quiet = |e: &Engine| {
            let (quiet, watch) = (self.now - e.heard, &e.evidence.watch);
            let overdue = if watch.overdue >= 3 { watch.patience } else { 3 * watch.patience };
            watch.overdue > 0 && quiet > overdue.max(SECOND / 4)
        };
        let silent: Vec<_> = self.engines.iter().filter(|e| quiet(e.1)).map(|e| *e.0).collect();
        for id in silent {
            if self.quarantine(id, true, actions) && self.settings.limits.cancel {
                let stuck: Vec<_> = self.requests.iter().filter(|r| r.1.stuck_on(id)).map(|r| *r.0).collect();
                for request in stuck {
                    self.call_off(request, actions);
                }
            }
        }
    }

    // ---- Cold starts

    /// How warm an engine surely is, from the rule's start to 1.
    pub(crate) fn warm_at(&self, engine: &Engine) -> f64 {
        let rules = &self.settings.rules;
        let Some(since) = engine.cold_since else { return 1.0 };
        let share = (self.now - since) as f64 / us(rules.cold_for).max(1) as f64;
        if share >= 1.0 { 1.0 } else { rules.cold_from + (1.0 - rules.cold_from) * share.max(0.0) * 0.9 }
    }

    /// A cold engine gets so little of this gateway's usual work in the rule's window that all parts together
    /// keep to the budget, chance included: a part under one query goes by a seeded draw for each window.
    /// Holds for any number of gateways and pools that come back at once; hurts where most are cold.
    fn cold_room(&self, id: EngineId, class: ClassId) -> bool {
        let (rules, engine) = (&self.settings.rules, &self.engines[&id]);
        let warm = self.warm_at(engine);
        if warm >= 1.0 {
            return true;
        }
        let window = us(rules.tip_window).max(1);
        let full = self.cores(engine.entry.kind) * window as f64;
        let even = self.cores(engine.entry.kind) / self.sharers;
        let own = if self.warm_rate > 0.0 { self.warm_rate } else { even };
        // Of the queries that fit in the budget so many are meant that three deviations of chance still fit.
        let fit = COLD_SHARE * rules.tip_multiple * warm * full / self.weight(class);
        let meant = if fit > 1.0 { (((5.0 + 4.0 * fit).sqrt() - 3.0) / 2.0).max(0.0).powi(2) } else { 0.0 };
        let part = own * window as f64 * meant * self.weight(class) / full;
        let sent: f64 = engine.cold_sends.iter().filter(|s| s.0 > self.now - window).map(|s| s.1).sum();
        let turn = ((self.now + (self.tie % window as u64) as i64) / window) as u64;
        let draw =
            mix(self.tie ^ mix(turn) ^ mix(u64::from(id.0) << 8 | class.0 as u64)) as f64 / u64::MAX as f64;
        // Few gateways need no chance: even parts of less than the budget keep to it however traffic falls.
        let even = COLD_EVEN * rules.tip_multiple * warm * even * window as f64;
        sent + self.weight(class) <= part.max(even)
            || sent == 0.0 && engine.count == 0 && draw * self.weight(class) < part
    }

    /// A query weighs the usual work of its class.
    fn weight(&self, class: ClassId) -> f64 {
        let known = &self.classes[class.0];
        let time = known.width_time.get(LEAST_SAMPLES).or(known.exec.get(1.0));
        let time = time.unwrap_or(us(self.settings.classes[class.0].aim) as f64 / 2.0);
        time * f64::from(self.settings.classes[class.0].threads)
    }

    // ---- Retries and cancels

    fn noted(&mut self, id: RequestId, attempt: AttemptNo, note: Note, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| r.is_out(attempt)) else { return };
        request.out.iter_mut().for_each(|o| o.heard = self.now);
        let request = &self.requests[&id];
        let out = request.out.as_ref().expect("is out");
        let (age, exec) = ((self.now - out.sent) as f64, self.exec(&request.arrival) as f64);
        self.engines.get_mut(&out.engine).into_iter().for_each(|e| e.heard = self.now);
        // A bad plan shows as a pace far behind its class. A fresh attempt draws a new one; a query costly in
        // itself looks the same at first, so it is called off once only, and not where that has not helped.
        let Note::Progress(done) = note else { return };
        let class = &self.classes[request.arrival.class.0];
        let (done, whole) = (done.clamp(1e-3, 1.0), age / done.clamp(1e-3, 1.0));
        let helps = class.repeat_helps.get(LEAST_SAMPLES).is_none_or(|h| h > 0.5);
        let left = (request.deadline - self.now) as f64;
        // What would end long after its client has left is called off again, or ended.
        let doomed = whole * (1.0 - done) > DOOMED * left && request.attempts > 1;
        let ready = class.exec.n >= LEAST_SAMPLES && !out.cancelled;
        let again = helps && request.given_up_at.is_none() && whole * (1.0 - done) > RUNAWAY * exec;
        if ready && left > 1.5 * exec && (again || doomed && request.attempts < 3) {
            if self.call_off(id, actions) {
                self.requests.get_mut(&id).expect("still there").given_up_at = Some(whole);
            }
        } else if ready && doomed && self.settings.limits.cancel {
            self.answer(id, actions);
        }
    }

    /// Cancels an attempt for another, where that is allowed and something may come of it.
    fn call_off(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let may = self.requests.get(&id).is_some_and(|r| r.deadline > self.now && self.may_repeat(r));
        let out = self.requests.get_mut(&id).and_then(|r| r.out.as_mut());
        let Some(out) = out.filter(|o| may && self.settings.limits.cancel && !o.cancelled) else {
            return false;
        };
        out.cancelled = true;
        actions.push(Action::Cancel { request: id, attempt: AttemptNo(out.number) });
        true
    }

    /// Could a further attempt be sent, what is out now counting as run?
    fn may_repeat(&self, request: &Request) -> bool {
        let ran = request.may_have_run.or(request.out.as_ref().map(|o| (None, o.sent)));
        let effect = match (self.settings.classes[request.arrival.class.0].effect, ran) {
            (Effect::Safe, _) | (_, None) => true,
            (Effect::Keyed { memory, .. }, Some((_, sent))) => self.now - sent < us(memory),
            (Effect::Once, Some(_)) => false,
        };
        effect && request.attempts < self.settings.limits.max_attempts && self.budget_left()
    }

    /// Rule of further attempts: the window's ration is not used up.
    fn budget_left(&self) -> bool {
        self.settings.rules.retry_budget.as_ref().is_none_or(|b| {
            let since = self.now - us(b.window);
            // Both are in the order of time.
            let extras = self.extras.len() - self.extras.partition_point(|t| *t < since);
            let taken = self.taken.len() - self.taken.partition_point(|t| *t <= since);
            let free = b.free * f64::from(self.settings.gateways) / self.sharers;
            extras as f64 + 1.0 <= free + b.ratio * taken as f64
        })
    }

    /// What an attempt that may have run binds its request to.
    fn bound_by(&self, request: &Request, out: &Attempt) -> Option<(Option<u64>, i64)> {
        let group = match self.settings.classes[request.arrival.class.0].effect {
            Effect::Keyed { scope, .. } => self.engines.get(&out.engine).and_then(|e| scope.group(&e.entry)),
            _ => None,
        };
        Some((group, out.sent))
    }

    fn bound(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let bound = request.out.as_ref().and_then(|out| self.bound_by(request, out));
        self.requests.get_mut(&id).into_iter().for_each(|r| r.may_have_run = r.may_have_run.or(bound));
    }

    fn ended(&mut self, ended: &Ended, actions: &mut Vec<Action>) {
        let Ended { request: id, attempt, outcome, closed, bill, load } = *ended;
        let living = self.requests.get(&id).is_some_and(|r| r.is_out(attempt));
        let from = if living { &mut self.requests } else { &mut self.ghosts };
        let Some(mut request) = from.remove(&id) else { return };
        if !request.is_out(attempt) {
            from.insert(id, request);
            return;
        }
        let width = f64::from(self.settings.classes[request.arrival.class.0].threads);
        let out = request.out.take().expect("is out");
        if let Some(engine) = self.engines.get_mut(&out.engine) {
            engine.lift(id, width);
            if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full | Outcome::Reset) {
                engine.heard = self.now;
            } else if outcome == Outcome::TimedOut && !self.settings.limits.cancel {
                // Given up by the client, but nothing stops it: it loads the engine for about as long again.
                // Guards against jams of abandoned work; hurts where engines do stop at a time-out.
                let until = 2 * self.now - out.sent;
                engine.abandoned.push((until, width));
                engine.threads += width;
            }
        }
        // What errs twice is itself at fault: no engine is blamed again, and a third would say the same.
        let unsound = outcome == Outcome::Error && std::mem::replace(&mut request.erred, true);
        if !unsound {
            self.judge(out.engine, outcome, actions);
        }
        // A resource that is busy to a share u slows what needs it by about 1 / (1 - u).
        let busy = load.map(|l| [l.cpu, l.disk, l.memory].into_iter().flatten().fold(f64::NAN, f64::max));
        if let Some(busy) = busy.filter(|b| b.is_finite()) {
            self.look(out.engine, 1.0 / (1.0 - busy.clamp(0.0, 0.9)));
            let engine = self.engines.get_mut(&out.engine).map(|e| &mut e.evidence);
            for evidence in engine.into_iter().chain([&mut self.pool]) {
                evidence.busy.add(busy.clamp(0.0, 2.0), RECENT);
            }
        }
        if outcome == Outcome::Ok && !self.still {
            self.learn(&request, &out, bill);
        } else if !outcome.never_ran() {
            request.may_have_run = request.may_have_run.or(self.bound_by(&request, &out));
        }
        let rests = self.now + us(self.settings.rules.order_settle);
        let key = request.arrival.key.filter(|_| outcome.may_still_run()).and_then(|k| self.keys.get_mut(&k));
        key.into_iter().for_each(|k| k.rests_until = rests);
        let (line, target) = (request.arrival.class.0, (request.target, request.seq, id));
        let again = !unsound && !request.streaming && self.now < request.deadline;
        self.requests.insert(id, request);
        // Answered before, only its engine and its key were waiting; or answered now.
        if !living || closed || outcome == Outcome::Ok {
            self.forget(id);
        } else if again && self.may_repeat(&self.requests[&id]) {
            self.held[line].insert(target);
        } else {
            self.answer(id, actions);
        }
    }

    // ---- Refusals

    /// Housekeeping: bounds, silence, hopeless and overdue requests.
    fn beat(&mut self, actions: &mut Vec<Action>) {
        actions.extend(self.subscribe_at.take_if(|t| *t <= self.now).map(|_| Action::Subscribe));
        if self.now < self.next_beat {
            return;
        }
        let beat = us(self.settings.tick).max(1000) * BEAT_TICKS;
        self.next_beat = self.now + beat;
        actions.push(Action::Wake(span(beat)));
        let ends = self.now - self.last_period >= PERIOD;
        if ends {
            let warm = self.engines.values().filter(|e| !e.gone && self.warm_at(e) >= 1.0).count();
            if warm > 0 {
                let rate = self.warm_sent / warm as f64 / SECOND as f64;
                self.warm_rate += (rate - self.warm_rate) * if self.warm_rate == 0.0 { 1.0 } else { 0.3 };
            }
            (self.warm_sent, self.last_period) = (0.0, self.now);
            self.classes.iter_mut().for_each(|c| c.best = c.best.map(|b| b * BEST_DRIFT));
            let (now, window) = (self.now, us(self.settings.rules.tip_window));
            self.engines.values_mut().for_each(|e| e.expire(now, window));
            self.keys.retain(|_, k| !k.line.is_empty() || k.rests_until > self.now);
            let since = self.settings.rules.retry_budget.as_ref().map(|b| self.now - us(b.window));
            self.taken.retain(|t| since.is_some_and(|s| *t >= s));
            self.extras.retain(|t| since.is_some_and(|s| *t >= s));
        }
        self.watch();
        self.adapt(ends);
        self.watch_silence(actions);
        // Notes tell of all that runs: the end of an attempt that misses them is lost, wherever it is.
        let notes = self.settings.engine.notes_every.filter(|_| !self.still);
        let lost = |o: &Attempt| notes.is_some_and(|n| self.now - o.heard > us(n) * NOTES_MISSED / 2);
        let most = self.most_earned();
        let (mut ending, mut closing, mut again) = (Vec::new(), Vec::new(), Vec::new());
        for (&id, request) in self.requests.iter().filter(|r| !r.1.streaming) {
            let closes = request.deadline <= self.now + 2 * beat;
            match &request.out {
                None if closes || self.hopeless(request, most) => ending.push(id),
                Some(_) if request.deadline + us(self.settings.tick) < self.now => ending.push(id),
                Some(_) if closes => closing.push(id),
                Some(out) if lost(out) => again.push(id),
                _ => {}
            }
        }
        again.into_iter().for_each(|id| _ = self.call_off(id, actions));
        closing.into_iter().for_each(|id| self.fall_back(id, actions));
        ending.into_iter().for_each(|id| self.answer(id, actions));
    }

    /// A held request that has used up most of its wait: it would be late, and those behind it as well. Acts
    /// where a late answer earns less for its work than some class's in time; who comes again has waited.
    /// Guards against overload of any cause. Hurts where a burst would have passed within the wait.
    fn hopeless(&self, request: &Request, most_earned: f64) -> bool {
        let class = &self.settings.classes[request.arrival.class.0];
        let tries = if request.arrival.repeated { 2.0 } else { 1.0 };
        // What is told to cost more than usual takes more from those in line and waits for less.
        let usual = self.classes[request.arrival.class.0].told.get(LEAST_SAMPLES);
        let dear = usual.zip(request.arrival.work).map_or(1.0, |(u, w)| us(w) as f64 / u.max(1.0));
        // Where a class's mean is near its aim its targets lie in the past; a moment without room is no
        // overload.
        let least = us(class.aim).min(request.deadline - request.arrived) / 4;
        let wait =
            (request.target - request.arrived).max(least) as f64 * WAIT_SHARE / (tries * dear.max(1.0));
        let late_earns = self.earns(request.arrival.class.0) * class.late_worth;
        late_earns < most_earned && self.may_refuse(request) && (self.now - request.arrived) as f64 > wait
    }

    // ---- Memory grants and priority

    /// Grant and priority for a request's next attempt, where engines heed them.
    fn terms(&self, id: RequestId) -> Option<(Option<f64>, u8)> {
        let (traits, request) = (&self.settings.engine, &self.requests[&id]);
        let class = &self.classes[request.arrival.class.0];
        let memory = class.memory.0.get(2.0 * LEAST_SAMPLES).filter(|_| traits.grants).map(|mean| {
            let deviation = (class.memory.1.value - mean * mean).max(0.0).sqrt();
            request.arrival.memory_mb.filter(|m| *m > 0.0).unwrap_or(1.0) * (mean + deviation).exp()
        });
        let priority = if traits.priorities { self.priority(request.arrival.class) } else { 1 };
        (memory.is_some() || priority != request.priority).then_some((memory, priority))
    }

    /// Classes that earn most for their work go first on short cores, and loads, which hold up others while
    /// they run; the rest keep the usual priority.
    fn priority(&self, class: ClassId) -> u8 {
        let shown = self.classes.iter().any(|c| c.width_time.n > 0.0);
        let holds = self.settings.classes[class.0].is_load;
        if holds || shown && self.earns(class.0) >= self.most_earned() { 2 } else { 1 }
    }

    /// What nobody waits for any more, and nothing can stop, goes on behind all else. Guards against jams of
    /// abandoned work; costs nothing where priorities are not heeded.
    fn fall_back(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let useful = self.settings.engine.priorities && !self.settings.limits.cancel;
        if let Some(request) =
            self.requests.get_mut(&id).filter(|r| useful && r.out.is_some() && r.priority > 0)
        {
            request.priority = 0;
            actions.push(Action::Terms { request: id, memory_mb: None, priority: 0 });
        }
    }

    /// Worth of a class's usual query for its usual work.
    fn earns(&self, class: usize) -> f64 {
        self.settings.classes[class].worth / self.weight(ClassId(class)).max(1.0)
    }

    fn most_earned(&self) -> f64 {
        (0..self.classes.len()).map(|c| self.earns(c)).fold(0.0, f64::max)
    }

    // ---- Answers

    /// Refusing promises that a further try is harmless: only where no effect can come of it.
    fn may_refuse(&self, request: &Request) -> bool {
        match self.settings.classes[request.arrival.class.0].effect {
            Effect::Safe | Effect::Keyed { scope: KeyScope::All, .. } => true,
            _ => request.may_have_run.is_none() && request.out.is_none(),
        }
    }

    /// Ends a request: refused where that is true, failed otherwise.
    fn answer(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if let (Some(out), true) = (&request.out, self.settings.limits.cancel) {
            actions.push(Action::Cancel { request: id, attempt: AttemptNo(out.number) });
        }
        actions.push(if self.may_refuse(request) {
            Action::Refuse { request: id, retry_after: self.settings.limits.max_retry_after }
        } else {
            Action::Fail { request: id }
        });
        self.forget(id);
    }
}
