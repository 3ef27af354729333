//! Random schedules of faults around keyed requests: front ends that sleep or die, a store that freezes, breaks, loses
//! what it was told, tells old truths or is heard by some only, clients that ask again elsewhere. A checker counts
//! effects that happened twice inside the window, and tries that got no final answer or two.
//!
//! All of it runs in a virtual time, from seeds. Engines of two groups drop repeats in their own group only, so that
//! nothing but the store's part keeps a key in one group.

use proptest::test_runner::{RngAlgorithm, TestRng};
use reedwalk_shared_store::circuit_breaker::{CircuitBreaker, Fault};
use reedwalk_shared_store::freshness::{self, FreshnessCheck};
use reedwalk_shared_store::idempotency::{
    CLAIM_LEASE, ClaimEnd, ClaimHolder, ClaimReply, KeyedRequest, RequestEnd, RequestStep, Scope,
    SendDecision, SendRecord, Stage, StoredState,
};
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

const WINDOW: u64 = 12_000;
/// By how much front ends' clocks differ here, and by how much they are told to.
const SKEW: u64 = 400;
const CLOCKS: Duration = Duration::from_millis(500);
const FRONTS: usize = 3;
const KEYS: usize = 6;
const END: u64 = 60_000;
/// How long an answer of the store is waited for.
const WAIT: u64 = 25;
const PATIENCE: u64 = 5_000;
/// A front end answers by then, past the client's patience.
const SLACK: u64 = 20;

/// Draws from a seed.
struct Draw(TestRng);

impl Draw {
    fn new(seed: u64) -> Self {
        let mut bytes = [0; 32];
        bytes[..8].copy_from_slice(&seed.to_le_bytes());
        Self(TestRng::from_seed(RngAlgorithm::ChaCha, &bytes))
    }

    fn below(&mut self, n: u64) -> u64 {
        use proptest::prelude::Rng;
        self.0.next_u64() % n
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

// ---- The store, by its scripts' description and not by their code

#[derive(Clone, Default)]
struct Fact {
    holder: Option<ClaimHolder>,
    stage: Option<Stage>,
    sent: Option<SendRecord>,
    answer: Option<Vec<u8>>,
    expires: u64,
    lease: u64,
}

#[derive(Clone, Default)]
struct Contents {
    facts: BTreeMap<usize, Fact>,
    beats: BTreeMap<u64, u64>,
}

#[derive(Clone, Debug)]
enum Op {
    Claim { key: usize, holder: ClaimHolder, again: bool, front: u64 },
    Mark { key: usize, holder: ClaimHolder, sent: SendRecord },
    ClaimEnd { key: usize, holder: ClaimHolder, close: ClaimEnd },
    Renew { key: usize, holder: ClaimHolder },
    FreshnessCheck { front: u64, count: u64 },
}

#[derive(Clone, Debug)]
enum Reply {
    Claimed(ClaimReply, Option<u64>),
    Written(bool),
    FreshnessCheck(Option<u64>),
}

impl Contents {
    #[expect(clippy::too_many_lines, reason = "one arm for each operation of the model")]
    fn apply(&mut self, op: &Op, now: u64, fenced: bool) -> Reply {
        self.facts.retain(|_, f| f.expires > now);
        let lease = CLAIM_LEASE.as_millis() as u64;
        let held = |facts: &BTreeMap<usize, Fact>, key: &usize, holder: &ClaimHolder| {
            !fenced && facts.contains_key(key) || facts.get(key).is_some_and(|f| f.holder == Some(*holder))
        };
        match op {
            Op::Claim { key, holder, again, front } => {
                let beat = self.beats.get(front).copied();
                let fact = self.facts.entry(*key).or_default();
                let prior = match (fact.stage, &fact.sent, &fact.answer) {
                    (None, ..) => StoredState::Absent,
                    (Some(Stage::Sent), Some(sent), _) => StoredState::Sent(*sent),
                    (Some(Stage::Done), _, Some(answer)) => StoredState::Done(answer.clone()),
                    (Some(stage), ..) => StoredState::Stage(stage),
                };
                let free = fact.stage != Some(Stage::Done) && (fact.holder.is_none() || fact.lease <= now);
                if free {
                    fact.holder = Some(*holder);
                    fact.lease = now + lease;
                    fact.stage = Some(match fact.stage {
                        None if *again => Stage::Unknown,
                        None | Some(Stage::NeverRan | Stage::Claimed) => Stage::Claimed,
                        Some(stage) => stage,
                    });
                    let kept = if fact.stage == Some(Stage::Sent) { 2 * WINDOW } else { WINDOW };
                    fact.expires = fact.expires.max(now + kept);
                }
                let lease_left = Duration::from_millis(fact.lease.saturating_sub(now));
                Reply::Claimed(ClaimReply { is_claimed: free, lease_left, stored: prior }, beat)
            }
            Op::Mark { key, holder, sent } => {
                let held = held(&self.facts, key, holder);
                if let (true, Some(fact)) = (held, self.facts.get_mut(key)) {
                    (fact.stage, fact.sent, fact.expires) =
                        (Some(Stage::Sent), Some(*sent), now + 2 * WINDOW);
                }
                Reply::Written(held)
            }
            Op::ClaimEnd { key, holder, close } => {
                let held = held(&self.facts, key, holder);
                if let (true, Some(fact)) = (held, self.facts.get_mut(key)) {
                    match close {
                        ClaimEnd::Done(answer) => {
                            (fact.stage, fact.answer) = (Some(Stage::Done), Some(answer.clone()));
                            fact.expires = now + 2 * WINDOW;
                        }
                        ClaimEnd::ReleaseWith(stage) => fact.stage = Some(*stage),
                        ClaimEnd::Release => {}
                    }
                    (fact.holder, fact.lease) = (None, 0);
                }
                Reply::Written(held)
            }
            Op::Renew { key, holder } => {
                let held = held(&self.facts, key, holder);
                if let (true, Some(fact)) = (held, self.facts.get_mut(key)) {
                    fact.lease = now + lease;
                }
                Reply::Written(held)
            }
            Op::FreshnessCheck { front, count } => Reply::FreshnessCheck(self.beats.insert(*front, *count)),
        }
    }
}

// ---- The world

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StoreFault {
    Frozen,
    DropBefore,
    DropAfter,
    Slow(u64),
}

#[derive(Clone, Debug)]
enum Event {
    /// A client's try reaches a front end.
    Try {
        key: usize,
        number: usize,
        front: usize,
    },
    /// The store applies what a front end sent it.
    Apply {
        op: Op,
        front: usize,
        life: u64,
        to: Option<usize>,
    },
    /// Its answer is there, or none came in time.
    Replied {
        try_id: usize,
        front: usize,
        life: u64,
        reply: Option<Reply>,
        asked: u64,
        place: usize,
    },
    BeatReplied {
        front: usize,
        life: u64,
        count: u64,
        reply: Option<Reply>,
        asked: u64,
    },
    /// The module wants an attempt sent.
    Wants {
        try_id: usize,
        front: usize,
        life: u64,
    },
    /// An attempt's end is known.
    Ended {
        try_id: usize,
        front: usize,
        life: u64,
        outcome: Outcome,
    },
    /// The front end answers at the deadline whatever happens.
    Deadline {
        try_id: usize,
        front: usize,
        life: u64,
    },
    /// The client has waited long enough.
    Leaves {
        try_id: usize,
    },
    Beats {
        front: usize,
        life: u64,
    },
    Renews {
        front: usize,
        life: u64,
    },
    Trouble,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Ok,
    /// It never ran.
    Full,
    /// It ran, and nobody heard of it.
    Lost,
}

struct Front {
    life: u64,
    asleep_until: u64,
    /// Hears the store no more until then.
    split_until: u64,
    breaker: CircuitBreaker,
    beat: FreshnessCheck,
    claims: u64,
    skew: u64,
}

struct Try {
    key: usize,
    number: usize,
    front: usize,
    life: u64,
    came: u64,
    keyed: KeyedRequest,
    holder: ClaimHolder,
    bound: Option<(u64, u64)>,
    attempts: usize,
    /// A store's question that is out, so that a late answer finds nobody.
    place: usize,
    wants: Option<SendRecord>,
    first_sent: Option<u64>,
    answers: Vec<&'static str>,
    /// Its client waits no more.
    left: bool,
    /// Its front end is done with it: it has answered, or knows that the client has left.
    over: bool,
}

struct World {
    now: u64,
    start: Instant,
    draw: Draw,
    fenced: bool,
    /// Only one front end has trouble, so that the others have cause to trust the store.
    quiet: bool,
    queue: BinaryHeap<std::cmp::Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    next: u64,
    store: Contents,
    copies: Vec<(u64, Contents)>,
    fault: Option<(StoreFault, u64)>,
    fronts: Vec<Front>,
    tries: Vec<Try>,
    served: [bool; KEYS],
    /// Effects, by key: when and in which group.
    effects: BTreeMap<usize, Vec<(u64, u64)>>,
    /// What the engines of a group remember: when a key first ran there.
    memory: BTreeMap<(usize, u64), u64>,
    first_try: [u64; KEYS],
    counts: Counts,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    faults: usize,
    tries: usize,
    served: usize,
    from_store: usize,
    duplicates: usize,
    lost: usize,
    doubled: usize,
}

impl World {
    fn new(seed: u64, fenced: bool) -> Self {
        let (start, mut draw) = (Instant::now(), Draw::new(seed));
        let front = |n: usize, draw: &mut Draw| Front {
            life: n as u64 + 1,
            asleep_until: 0,
            split_until: 0,
            breaker: CircuitBreaker::new(draw.below(u64::MAX)),
            beat: FreshnessCheck::new(Duration::from_millis(WINDOW), start),
            claims: 0,
            skew: draw.below(SKEW),
        };
        let fronts = (0..FRONTS).map(|n| front(n, &mut draw)).collect();
        let mut world = Self {
            now: 0,
            start,
            quiet: draw.chance(50),
            draw,
            fenced,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            store: Contents::default(),
            copies: Vec::new(),
            fault: None,
            fronts,
            tries: Vec::new(),
            served: [false; KEYS],
            effects: BTreeMap::new(),
            memory: BTreeMap::new(),
            first_try: [0; KEYS],
            counts: Counts::default(),
        };
        for n in 0..FRONTS {
            world.begin(n);
        }
        for key in 0..KEYS {
            // Some come while front ends have no history of the store yet, some later.
            let at = if world.draw.chance(30) {
                world.draw.below(3_000)
            } else {
                16_000 + world.draw.below(24_000)
            };
            world.first_try[key] = at;
            let front = if world.quiet { 0 } else { world.draw.below(FRONTS as u64) as usize };
            world.at(at, Event::Try { key, number: 0, front });
        }
        for _ in 0..2 + world.draw.below(12) {
            let at = if world.quiet { 16_000 + world.draw.below(24_000) } else { world.draw.below(44_000) };
            world.at(at, Event::Trouble);
        }
        world
    }

    fn begin(&mut self, front: usize) {
        let life = self.fronts[front].life;
        self.at(self.now, Event::Beats { front, life });
        self.at(self.now + 300, Event::Renews { front, life });
    }

    fn at(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.queue.push(std::cmp::Reverse((at, self.next)));
        self.events.insert(self.next, event);
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_millis(self.now)
    }

    /// What a front end's own clock says.
    fn unix(&self, front: usize) -> u64 {
        1_000_000 + self.now + self.fronts[front].skew
    }

    fn run(mut self) -> Counts {
        while let Some(std::cmp::Reverse((at, id))) = self.queue.pop() {
            if at > END {
                break;
            }
            self.now = at;
            let event = self.events.remove(&id).unwrap();
            // What is for one that sleeps waits until it wakes.
            let of = match &event {
                Event::Replied { front, .. }
                | Event::BeatReplied { front, .. }
                | Event::Wants { front, .. } => Some(*front),
                Event::Ended { front, .. } | Event::Beats { front, .. } | Event::Renews { front, .. } => {
                    Some(*front)
                }
                Event::Try { front, .. } => Some(*front),
                Event::Deadline { front, .. } => Some(*front),
                _ => None,
            };
            if let Some(wakes) = of.map(|f| self.fronts[f].asleep_until).filter(|w| *w > self.now) {
                self.at(wakes, event);
                continue;
            }
            self.happen(event);
        }
        self.check()
    }

    fn alive(&self, front: usize, life: u64) -> bool {
        self.fronts[front].life == life
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Try { key, number, front } => self.arrive(key, number, front),
            Event::Apply { op, front, life, to } => self.apply(op, front, life, to),
            Event::Replied { try_id, front, life, reply, asked, place }
                if self.alive(front, life) && self.tries[try_id].place == place =>
            {
                self.tries[try_id].place += 1;
                self.replied(try_id, reply, asked);
            }
            Event::BeatReplied { front, life, count, reply, asked } if self.alive(front, life) => {
                let (now, asked) = (self.instant(), self.start + Duration::from_millis(asked));
                if let Some(Reply::FreshnessCheck(read)) = reply {
                    self.fronts[front].beat.on_read(read, now);
                    self.fronts[front].beat.on_confirmed(count, asked);
                    self.fronts[front].breaker.on_success();
                } else {
                    self.fronts[front].breaker.on_failure(Fault::Timeout, now);
                }
            }
            Event::Beats { front, life } if self.alive(front, life) => {
                let (now, by) = (self.instant(), self.instant() + Duration::from_millis(WAIT));
                if self.fronts[front].breaker.allows_call(now, by) {
                    let count = self.fronts[front].beat.next_count();
                    self.ask(front, Op::FreshnessCheck { front: life, count }, None);
                }
                self.at(
                    self.now + freshness::HEARTBEAT_INTERVAL.as_millis() as u64,
                    Event::Beats { front, life },
                );
            }
            Event::Renews { front, life } if self.alive(front, life) => {
                for id in 0..self.tries.len() {
                    let one = &self.tries[id];
                    if one.front == front && one.life == life && !one.over {
                        let op = Op::Renew { key: one.key, holder: one.holder };
                        self.ask(front, op, None);
                    }
                }
                self.at(self.now + 300, Event::Renews { front, life });
            }
            Event::Wants { try_id, front, life } if self.alive(front, life) => self.wants(try_id),
            Event::Ended { try_id, front, life, outcome } if self.alive(front, life) => {
                self.ended(try_id, outcome);
            }
            Event::Deadline { try_id, front, life } if self.alive(front, life) => {
                self.answer(try_id, "failed")
            }
            Event::Leaves { try_id } => self.leaves(try_id),
            Event::Trouble => self.trouble(),
            _ => {}
        }
    }

    // ---- Front ends

    fn arrive(&mut self, key: usize, number: usize, front: usize) {
        if self.served[key] {
            return;
        }
        self.counts.tries += 1;
        let life = self.fronts[front].life;
        self.fronts[front].claims += 1;
        let holder = ClaimHolder { process: life, claim: self.fronts[front].claims };
        let mut keyed = KeyedRequest::new(Scope::Group, number > 0, Duration::from_millis(WINDOW), CLOCKS);
        let (now, by) = (self.instant(), self.instant() + Duration::from_millis(WAIT));
        let usable = self.fronts[front].breaker.allows_call(now, by);
        let step = keyed.on_arrival(usable);
        let try_id = self.tries.len();
        self.tries.push(Try {
            key,
            number,
            front,
            life,
            came: self.now,
            keyed,
            holder,
            bound: None,
            attempts: 0,
            place: 0,
            wants: None,
            first_sent: None,
            answers: Vec::new(),
            left: false,
            over: false,
        });
        self.at(self.now + PATIENCE, Event::Deadline { try_id, front, life });
        // The client waits a little longer, or as long as it likes where its front end sleeps or dies.
        let patience = if self.draw.chance(20) { 300 + self.draw.below(2_000) } else { PATIENCE + 200 };
        self.at(self.now + patience, Event::Leaves { try_id });
        self.step(try_id, step);
    }

    fn step(&mut self, try_id: usize, step: RequestStep) {
        let (front, life) = (self.tries[try_id].front, self.tries[try_id].life);
        match step {
            RequestStep::Claim => {
                let one = &self.tries[try_id];
                let op = Op::Claim { key: one.key, holder: one.holder, again: one.number > 0, front: life };
                self.ask(front, op, Some(try_id));
            }
            RequestStep::Proceed(earlier) => {
                let ago = earlier.map(|e| (e.group, self.now.saturating_sub(e.age.as_millis() as u64)));
                self.tries[try_id].bound = ago;
                let most = if self.draw.chance(40) { 4_000 } else { 400 };
                let held = 1 + self.draw.below(most);
                self.at(self.now + held, Event::Wants { try_id, front, life });
            }
            RequestStep::Respond(_) => {
                self.counts.from_store += 1;
                self.answer(try_id, "served");
            }
            RequestStep::Reject(_) => self.answer(try_id, "refused"),
            RequestStep::Fail => self.answer(try_id, "failed"),
        }
    }

    /// Sends the store something; its answer goes to this try.
    fn ask(&mut self, front: usize, op: Op, to: Option<usize>) {
        let life = self.fronts[front].life;
        let asked = self.now;
        if let Some(try_id) = to {
            let place = self.tries[try_id].place;
            self.at(asked + WAIT, Event::Replied { try_id, front, life, reply: None, asked, place });
        } else if let Op::FreshnessCheck { count, .. } = op {
            self.at(asked + WAIT, Event::BeatReplied { front, life, count, reply: None, asked });
        }
        if self.fronts[front].split_until <= self.now {
            let way = 1 + self.draw.below(3);
            self.at(asked + way, Event::Apply { op, front, life, to });
        }
    }

    fn apply(&mut self, op: Op, front: usize, life: u64, to: Option<usize>) {
        let fault = self.fault.filter(|f| f.1 > self.now).map(|f| f.0);
        if matches!(fault, Some(StoreFault::Frozen | StoreFault::DropBefore)) {
            return;
        }
        let asked = self.now - 1;
        let reply = self.store.apply(&op, self.now, self.fenced);
        let late = match fault {
            Some(StoreFault::DropAfter) => return,
            Some(StoreFault::Slow(late)) => late,
            _ => 0,
        };
        let at = self.now + 1 + late;
        match (to, op) {
            (Some(try_id), _) => {
                let place = self.tries[try_id].place;
                self.at(at, Event::Replied { try_id, front, life, reply: Some(reply), asked, place });
            }
            (None, Op::FreshnessCheck { count, .. }) => {
                self.at(at, Event::BeatReplied { front, life, count, reply: Some(reply), asked });
            }
            _ => {}
        }
    }

    fn replied(&mut self, try_id: usize, reply: Option<Reply>, asked: u64) {
        let (front, now) = (self.tries[try_id].front, self.instant());
        // Who slept through the wait has had no answer in time, whatever has come since.
        let reply = reply.filter(|_| self.now <= asked + WAIT);
        match &reply {
            Some(_) => self.fronts[front].breaker.on_success(),
            None => self.fronts[front].breaker.on_failure(Fault::Timeout, now),
        };
        if self.tries[try_id].over {
            return;
        }
        if let Some(sent) = self.tries[try_id].wants.take() {
            let written = match reply {
                Some(Reply::Written(written)) => Some(written),
                _ => None,
            };
            match self.tries[try_id].keyed.on_recorded(sent, written) {
                SendDecision::SendNow => {
                    // The module hears that it is bound from now on.
                    self.tries[try_id].bound = Some((sent.group, self.now));
                    self.attempt(try_id, sent.group);
                }
                _ => self.answer(try_id, "refused"),
            }
            return;
        }
        let (claimed, trusted) = match reply {
            Some(Reply::Claimed(claimed, beat)) => {
                self.fronts[front].beat.on_read(beat, now);
                (Some(claimed), self.fronts[front].beat.is_trusted(now))
            }
            _ => (None, false),
        };
        let unix = self.unix(front);
        let (step, close) = self.tries[try_id].keyed.on_claim_reply(claimed, trusted, unix);
        self.close(try_id, close);
        self.step(try_id, step);
    }

    /// A stand-in for the module: any group that its rules allow.
    fn wants(&mut self, try_id: usize) {
        let one = &self.tries[try_id];
        if one.over {
            return;
        }
        let (front, bound) = (one.front, one.bound);
        if one.attempts >= 3 || bound.is_some_and(|b| self.now >= b.1 + WINDOW) {
            let end = if one.keyed.may_have_run() || bound.is_some() { "failed" } else { "refused" };
            return self.answer(try_id, end);
        }
        let group = bound.map_or_else(|| self.draw.below(2), |b| b.0);
        let unix = self.unix(front);
        self.tries[try_id].attempts += 1;
        match self.tries[try_id].keyed.before_send(group, unix) {
            SendDecision::SendNow => self.attempt(try_id, group),
            SendDecision::RecordFirst(sent) => {
                self.tries[try_id].wants = Some(sent);
                let one = &self.tries[try_id];
                let op = Op::Mark { key: one.key, holder: one.holder, sent };
                self.ask(front, op, Some(try_id));
            }
            SendDecision::DoNotSend => self.answer(try_id, "failed"),
        }
    }

    fn attempt(&mut self, try_id: usize, group: u64) {
        let (key, front, life) = (self.tries[try_id].key, self.tries[try_id].front, self.tries[try_id].life);
        let outcome = match self.draw.below(100) {
            0..=44 => Outcome::Ok,
            45..=69 => Outcome::Full,
            _ => Outcome::Lost,
        };
        if outcome != Outcome::Full {
            // Engines of a group drop a key that they remember.
            let remembered = self.memory.get(&(key, group)).is_some_and(|at| self.now < at + WINDOW);
            if !remembered {
                self.memory.insert((key, group), self.now);
                self.effects.entry(key).or_default().push((self.now, group));
            }
            let one = &mut self.tries[try_id];
            let first = *one.first_sent.get_or_insert(self.now);
            one.bound = one.bound.or(Some((group, first)));
        }
        let took = 20 + self.draw.below(900);
        self.at(self.now + took, Event::Ended { try_id, front, life, outcome });
    }

    fn ended(&mut self, try_id: usize, outcome: Outcome) {
        self.tries[try_id].keyed.on_attempt_end(outcome != Outcome::Full);
        match outcome {
            Outcome::Ok => self.answer(try_id, "served"),
            _ => self.wants(try_id),
        }
    }

    fn answer(&mut self, try_id: usize, end: &'static str) {
        let one = &mut self.tries[try_id];
        if std::mem::replace(&mut one.over, true) {
            return;
        }
        let (key, number, left) = (one.key, one.number, one.left);
        if !left {
            one.answers.push(end);
        }
        let ending =
            if end == "served" { RequestEnd::Served(Some(b"1 row".to_vec())) } else { RequestEnd::Unserved };
        let close = self.tries[try_id].keyed.on_request_end(ending);
        self.close(try_id, close);
        // Some answers are lost on their way: their clients can't know that they were served.
        if left {
            // Nobody reads it.
        } else if end == "served" && !self.draw.chance(15) {
            self.counts.served += 1;
            self.served[key] = true;
        } else {
            self.again(key, number);
        }
    }

    fn close(&mut self, try_id: usize, close: Option<ClaimEnd>) {
        let one = &self.tries[try_id];
        if let Some(close) = close {
            let (front, op) = (one.front, Op::ClaimEnd { key: one.key, holder: one.holder, close });
            self.ask(front, op, None);
        }
    }

    // ---- Clients

    fn leaves(&mut self, try_id: usize) {
        let one = &mut self.tries[try_id];
        if !one.answers.is_empty() || one.left {
            return;
        }
        one.left = true;
        let (key, number, front, life) = (one.key, one.number, one.front, one.life);
        // Its front end hears of it, unless it sleeps or is another by now.
        if self.alive(front, life) && self.fronts[front].asleep_until <= self.now {
            self.tries[try_id].over = true;
            let close = self.tries[try_id].keyed.on_request_end(RequestEnd::Unserved);
            self.close(try_id, close);
        }
        self.again(key, number);
    }

    /// The client asks again, at any front end, while its key's window lasts.
    fn again(&mut self, key: usize, number: usize) {
        let at = self.now + 20 + self.draw.below(1_500);
        if at < self.first_try[key] + WINDOW && number < 8 {
            let front = self.draw.below(FRONTS as u64) as usize;
            self.at(at, Event::Try { key, number: number + 1, front });
        }
    }

    // ---- Faults

    fn trouble(&mut self) {
        self.counts.faults += 1;
        let front = if self.quiet { 0 } else { self.draw.below(FRONTS as u64) as usize };
        let span = 50 + self.draw.below(4_000);
        let until = self.now + span;
        let kind = if self.quiet { 4 + self.draw.below(3) } else { self.draw.below(12) };
        match kind {
            0 => self.fault = Some((StoreFault::Frozen, until)),
            1 => self.fault = Some((StoreFault::DropBefore, until)),
            2 => self.fault = Some((StoreFault::DropAfter, until)),
            3 => self.fault = Some((StoreFault::Slow(5 + self.draw.below(60)), until)),
            4 | 5 | 10 | 11 => self.fronts[front].asleep_until = until,
            6 => {
                // Killed, and another process comes in its place. Its clients find their connections broken.
                let life = self.fronts[front].life + 10;
                let (seed, beat) = (self.draw.below(u64::MAX), Duration::from_millis(WINDOW));
                let now = self.instant();
                let one = &mut self.fronts[front];
                (one.life, one.asleep_until, one.claims) = (life, 0, 0);
                (one.breaker, one.beat) = (CircuitBreaker::new(seed), FreshnessCheck::new(beat, now));
                self.begin(front);
                for id in 0..self.tries.len() {
                    let one = &mut self.tries[id];
                    if one.front == front && one.answers.is_empty() && !one.left {
                        one.left = true;
                        let (key, number) = (one.key, one.number);
                        self.again(key, number);
                    }
                }
            }
            7 => self.fronts[front].split_until = until,
            8 => {
                // Old contents, of a moment that a beat has passed since.
                let least = freshness::MAX_HEARTBEAT_GAP.as_millis() as u64 + 100;
                let old: Vec<_> = self.copies.iter().filter(|c| c.0 + least <= self.now).cloned().collect();
                if !old.is_empty() {
                    self.store = old[self.draw.below(old.len() as u64) as usize].1.clone();
                }
            }
            _ => {
                let keys: Vec<_> = self.store.facts.keys().copied().collect();
                for key in keys {
                    if self.draw.chance(50) {
                        self.store.facts.remove(&key);
                    }
                }
            }
        }
        self.copies.push((self.now, self.store.clone()));
    }

    fn check(mut self) -> Counts {
        for effects in self.effects.values() {
            let first = effects[0].0;
            self.counts.duplicates += effects[1..].iter().filter(|e| e.0 < first + WINDOW).count();
        }
        for one in &self.tries {
            self.counts.doubled += usize::from(one.answers.len() > 1);
            // Who is neither dead nor asleep owes an answer by the deadline.
            let front = &self.fronts[one.front];
            let due = one.came + PATIENCE + SLACK < END && front.life == one.life && front.asleep_until < END;
            self.counts.lost += usize::from(due && one.answers.is_empty() && !one.left);
        }
        self.counts
    }
}

fn total(seeds: std::ops::Range<u64>, fenced: bool) -> Counts {
    let mut sum = Counts::default();
    for seed in seeds {
        let counts = World::new(seed, fenced).run();
        sum.faults += counts.faults;
        sum.tries += counts.tries;
        sum.served += counts.served;
        sum.from_store += counts.from_store;
        sum.duplicates += counts.duplicates;
        sum.lost += counts.lost;
        sum.doubled += counts.doubled;
        if fenced && counts.duplicates + counts.lost + counts.doubled > 0 {
            println!("seed {seed}: {counts:?}");
        }
    }
    sum
}

const SCHEDULES: u64 = 2_200;

#[test]
fn no_effect_happens_twice_and_no_answer_is_lost_over_all_schedules() {
    let sum = total(0..SCHEDULES, true);
    println!("{SCHEDULES} schedules: {sum:?}");
    assert_eq!((sum.duplicates, sum.lost, sum.doubled), (0, 0, 0));
    assert!(sum.faults > 10_000 && sum.served > 8_000 && sum.from_store > 0, "{sum:?}");
}

#[test]
fn without_fencing_the_checker_finds_duplicates() {
    let sum = total(0..SCHEDULES, false);
    println!("without the fence: {sum:?}");
    assert!(sum.duplicates > 0, "{sum:?}");
}
