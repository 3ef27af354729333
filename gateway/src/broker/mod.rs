//! The core that knows no wire. One task owns the decision module: it takes events from a bounded queue,
//! steps the module in batches, carries out its actions through the engine links, and owns the tables of
//! requests and attempts. A request's reply channel is taken out of its table to answer it, so there is one
//! final answer and never a second.

mod groups;
mod intake;
pub mod kept;
mod keys;
mod message;
mod roll;

pub use intake::{Intake, Ticket};
pub use message::*;
pub use roll::Roll;

use crate::contracts::{Contracts, Paid, Verdict};
use crate::figures::Figures;
use crate::shutdown::Phase;
use crate::store::link::Link;
use bytes::Bytes;
use kept::{Entry, Kept};
use keys::Keys;
use reedwalk_core::{
    Action, Arrival, AttemptNo, Effect, Ended, EngineId, EngineState, Event, Gateway, GroupId, ListScope,
    Outcome, RequestId, Time,
};
use reedwalk_membership::Part;
use reedwalk_settings::Deployment;
use reedwalk_store::keyed::{Claimed, Earlier, Sent, Step};
use slog::{Logger, debug, info, warn};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

/// Inputs that wait for the broker at most.
pub const QUEUE: usize = 4096;
/// Inputs that one step takes in at most.
const BATCH: usize = 256;
/// Requests that the tables hold at most: what the memory limit leaves room for, results included.
const OPEN_MOST: usize = 1024;
/// The module answers at the deadline; where it has not by then, the broker does, still inside the slack.
const OVERDUE: Duration = Duration::from_millis(8);
/// How often it is looked who has left without a word in the queue, while anything is open: well inside the 0.3 s
/// after which nothing more may be done for them.
const LOOK_EVERY: Duration = Duration::from_millis(50);

struct Open {
    ask: Ask,
    reply: Option<oneshot::Sender<Answer>>,
    /// Cancelled when its client leaves.
    left: CancellationToken,
    /// When the first attempt was sent that may have run, here or before.
    ran_at: Option<Instant>,
    /// What its team has paid for it.
    paid: Option<Paid>,
    /// An attempt that has ended may have run.
    ran: bool,
    /// An engine has answered it with an error; it may be at fault itself.
    erred: bool,
    attempts: u32,
    out: Vec<(AttemptNo, AttemptKey)>,
    memory_mb: Option<f64>,
    priority: u8,
}

struct Out {
    request: RequestId,
    number: AttemptNo,
    engine: EngineId,
    sent: Instant,
    deadline: Instant,
    cancelled: CancellationToken,
    /// It is being given up, and counts as ended so once its engine has been told.
    stopping: Option<Outcome>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Attempt(AttemptKey),
    Request(RequestId),
}

/// Counts of what the broker has done, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests taken.
    pub taken: u64,
    /// Answered with rows.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Left by their clients.
    pub left: u64,
    /// Attempts sent.
    pub sent: u64,
}

/// What the broker shares with the rest of the program.
#[derive(Clone, Debug)]
pub struct Shared {
    /// Where the list's owner writes.
    pub roll: Roll,
    /// What is reported.
    pub figures: Arc<Figures>,
    /// This process's part of the front end.
    pub part: watch::Receiver<Part>,
    /// How far the end of this process has come.
    pub phase: watch::Receiver<Phase>,
    /// The store in which front ends share the keys of requests, if they do.
    pub keys: Option<Arc<Link>>,
    /// Where other front ends hear of what is found and seen here, if they do.
    pub others: Option<Others>,
}

/// What a broker has beside the module and the links.
#[derive(Default)]
pub struct Beside {
    /// Contracts of teams, if there are any.
    pub contracts: Option<Arc<Contracts>>,
    /// The memory that is kept for the next process, if one is.
    pub keeping: Option<kept::Keeping>,
}

/// The one owner of the decision module.
pub struct Broker<L> {
    shared: Shared,
    share: f64,
    gateway: Gateway,
    links: L,
    contracts: Option<Arc<Contracts>>,
    queue: mpsc::Sender<Input>,
    keys: Option<Keys>,
    kept: Option<Kept>,
    log: Logger,
    open: HashMap<RequestId, Open>,
    /// Ids of what is open: an engine would take a second request of that id for the first.
    traces: HashSet<Bytes>,
    attempts: HashMap<AttemptKey, Out>,
    due: BTreeSet<(Instant, Due)>,
    next_key: u64,
    open_cap: usize,
    max_attempts: u32,
    retry_after: Option<Duration>,
    wake: Option<Instant>,
    /// When all is to be answered, once this process is told to end.
    end: Option<Instant>,
    /// When it is next looked who has left.
    look_at: Instant,
    /// How long engines remember the keys of each class that has any.
    windows: Vec<Option<Duration>>,
    /// A request may have two attempts out.
    second_copies: bool,
    /// The module's clock: microseconds of the Unix clock at the start, and the instant of that.
    epoch: (u64, Instant),
    pending: Vec<Event>,
    tally: Tally,
    told: (Instant, Tally),
}

impl<L: EngineLinks> Broker<L> {
    /// A broker around a module, the links to its engines and the contracts, if there are any. `queue` is
    /// the way to itself, for what it must wait for elsewhere.
    pub fn new(
        gateway: Gateway,
        links: L,
        deployment: &Deployment,
        beside: Beside,
        shared: Shared,
        queue: mpsc::Sender<Input>,
        log: Logger,
    ) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let now = Instant::now();
        let keys = shared.keys.clone().map(|link| Keys::new(link, deployment, queue.clone()));
        let Beside { contracts, keeping } = beside;
        let window = |effect| if let Effect::Keyed { memory, .. } = effect { Some(memory) } else { None };
        let windows = deployment.core.classes.iter().map(|c| window(c.effect)).collect();
        let kept = keeping.map(|k| Kept::new(k, deployment, shared.figures.clone(), log.clone()));
        Self {
            kept,
            gateway,
            links,
            keys,
            shared,
            share: 1.0,
            log,
            open: HashMap::new(),
            traces: HashSet::new(),
            attempts: HashMap::new(),
            due: BTreeSet::new(),
            next_key: 0,
            contracts,
            queue,
            open_cap: deployment.sockets.open_cap.min(OPEN_MOST),
            max_attempts: deployment.core.limits.max_attempts,
            retry_after: deployment.core.limits.max_retry_after,
            wake: Some(now),
            end: None,
            look_at: now,
            windows,
            second_copies: deployment.sockets.second_copies,
            epoch: (unix.as_micros() as u64, now),
            pending: Vec::new(),
            tally: Tally::default(),
            told: (now, Tally::default()),
        }
    }

    /// Runs for as long as the program does.
    pub async fn run(mut self, mut queue: mpsc::Receiver<Input>) {
        let mut batch = Vec::with_capacity(BATCH);
        loop {
            let look_at = (!self.open.is_empty()).then_some(self.look_at);
            let next = self.due.first().map(|d| d.0).into_iter().chain(self.wake).chain(look_at).min();
            let idle = Instant::now() + Duration::from_secs(1);
            tokio::select! {
                taken = queue.recv_many(&mut batch, BATCH) => if taken == 0 { return },
                () = self.shared.roll.changed() => {}
                Ok(()) = self.shared.part.changed() => {}
                Ok(()) = self.shared.phase.changed() => {}
                () = sleep_until(next.unwrap_or(idle)) => {}
            }
            let now = Instant::now();
            // What holds of the engines is known before anything is decided.
            self.engines();
            self.take_part();
            self.take_phase();
            for input in batch.drain(..) {
                self.take(input, now);
            }
            self.expire(now);
            self.step(now);
            let heard = self.shared.roll.heard();
            self.kept.iter_mut().for_each(|k| k.act(&self.gateway, heard, now));
        }
    }

    /// Reads what the list's owner has written.
    fn engines(&mut self) {
        let listed = self.shared.roll.read();
        if listed.is_empty() {
            return;
        }
        let mut entries = Vec::with_capacity(listed.len());
        for (one, gate) in listed {
            let gone = one.entry.state == EngineState::Gone;
            self.links.place(one.entry.engine, (!gone).then_some((one.address, gate)));
            entries.push(one.entry);
        }
        self.keys.iter_mut().for_each(|k| k.engines(&entries));
        self.kept.iter_mut().for_each(|k| k.engines(&entries));
        self.pending.push(Event::Engines { scope: ListScope::Changes, entries });
    }

    /// Keeps to this process's part where that has changed.
    fn take_part(&mut self) {
        let share = self.shared.part.borrow_and_update().share;
        if share != self.share {
            self.share = share;
            self.links.share(share);
            self.pending.push(Event::Part(share));
        }
    }

    /// Once this process is told to end, nothing open outlasts it.
    fn take_phase(&mut self) {
        let end = self.shared.phase.borrow_and_update().end().map(|end| end.answered);
        if end == self.end {
            return;
        }
        self.end = end;
        let Some(end) = end else { return };
        for (id, open) in self.open.iter_mut().filter(|o| o.1.ask.deadline > end) {
            self.due.remove(&(open.ask.deadline + OVERDUE, Due::Request(*id)));
            open.ask.deadline = end;
            self.due.insert((end + OVERDUE, Due::Request(*id)));
        }
    }

    fn time(&self, now: Instant) -> Time {
        Time(self.epoch.0 + now.saturating_duration_since(self.epoch.1).as_micros() as u64)
    }

    fn take(&mut self, input: Input, now: Instant) {
        match input {
            Input::Arrival(id, ask, reply) => self.arrive(id, *ask, reply, now),
            Input::Left(id) => self.left(id),
            Input::Verdict(id, Verdict::Admitted(paid)) => {
                match self.open.get_mut(&id).filter(|o| o.reply.is_some()) {
                    Some(open) => open.paid = Some(paid),
                    None => self.refund(paid),
                }
                self.look_up(id, now);
            }
            Input::Claimed(id, found) => self.claimed(id, found, now),
            Input::Marked(key, sent, written) => self.marked(key, sent, written, now),
            Input::Verdict(id, Verdict::Spent(after)) => {
                self.answer(id, Answer::Refused { why: Refusal::Budget, retry_after: Some(after) });
                self.settle(id);
            }
            Input::Hearsay(engine, until) => {
                let lasts = until.saturating_duration_since(now);
                self.pending.push(Event::Hearsay { engine, lasts });
            }
            Input::Living(count) => self.pending.push(Event::Living(count)),
            Input::Restarted(engine, at) => self.pending.push(Event::Started { engine, at }),
            Input::Looks(engine, slowdown) => self.pending.push(Event::Looks { engine, slowdown }),
            Input::News(key, News::Noted(note)) => {
                if let Some(out) = self.attempts.get(&key) {
                    self.pending.push(Event::Noted { request: out.request, attempt: out.number, note });
                }
            }
            Input::News(key, News::GivenUp) => {
                if let Some(outcome) = self.attempts.get(&key).and_then(|o| o.stopping) {
                    self.ended(key, outcome.into());
                }
            }
            Input::News(key, News::Ended(end)) => {
                // Late answers of attempts that were given up find no entry, and are dropped.
                if self.attempts.contains_key(&key) {
                    self.links.over(key);
                    self.ended(key, end);
                }
            }
        }
    }

    fn arrive(&mut self, id: RequestId, mut ask: Ask, reply: Reply, now: Instant) {
        ask.deadline = self.end.map_or(ask.deadline, |end| end.min(ask.deadline));
        let Reply { answer: reply, left } = reply;
        self.tally.taken += 1;
        if self.open.len() as f64 >= self.open_cap as f64 * self.share {
            self.tally.refused += 1;
            let _ = reply.send(Answer::Refused { why: Refusal::Shed, retry_after: self.retry_after });
            return;
        }
        if self.traces.contains(&ask.trace) {
            self.tally.failed += 1;
            let _ = reply.send(Answer::Failed(Failure::IdInUse));
            return;
        }
        let due = match self.contracts.as_ref().map(|c| c.cover(ask.team.as_deref(), ask.class)).transpose() {
            Ok(due) => due,
            Err(why) => {
                self.tally.refused += 1;
                let _ = reply.send(Answer::Refused { why, retry_after: None });
                return;
            }
        };
        self.due.insert((ask.deadline + OVERDUE, Due::Request(id)));
        let reply = Some(reply);
        self.traces.insert(ask.trace.clone());
        let open = Open {
            ask,
            reply,
            left,
            ran_at: None,
            paid: None,
            ran: false,
            erred: false,
            attempts: 0,
            out: Vec::new(),
            memory_mb: None,
            priority: 1,
        };
        self.open.insert(id, open);
        match (due, self.contracts.clone()) {
            (Some(due), Some(contracts)) => {
                let queue = self.queue.clone();
                // A shared store may take a while; the module hears of the request when it has been paid for.
                tokio::spawn(async move {
                    let verdict = contracts.spend(&due).await;
                    let _ = queue.send(Input::Verdict(id, verdict)).await;
                });
            }
            _ => self.look_up(id, now),
        }
    }

    /// A request that may go on, as far as its team is concerned: what does the shared store know of its key?
    fn look_up(&mut self, id: RequestId, now: Instant) {
        let Some(ask) = self.open.get(&id).filter(|o| o.reply.is_some()).map(|o| &o.ask) else { return };
        let mut earlier = None;
        match self.kept.as_mut().map(|k| k.arrive(ask, now)) {
            Some(Entry::Later(after)) => return self.go(id, Step::Refuse(after), now),
            Some(Entry::Go(Some((group, ago)))) => earlier = Some(Earlier { group, ago }),
            Some(Entry::Go(None)) | None => {}
        }
        // A store knows what all front ends have sent, and goes before what this one remembers.
        let step = self.keys.as_mut().map_or(Step::Go(earlier), |k| k.arrive(id, ask, now));
        self.go(id, step, now);
    }

    fn claimed(&mut self, id: RequestId, found: Option<(Claimed, bool)>, now: Instant) {
        let step = self.keys.as_mut().and_then(|k| k.claimed(id, found));
        step.into_iter().for_each(|step| self.go(id, step, now));
    }

    fn go(&mut self, id: RequestId, step: Step, now: Instant) {
        let answer = match step {
            Step::Claim => return,
            Step::Go(earlier) => return self.admit(id, earlier, now),
            Step::Answer(kept) => keys::unpack(&kept).map_or(Answer::Failed(Failure::Engine), Answer::Served),
            Step::Refuse(after) => Answer::Refused { why: Refusal::Busy, retry_after: Some(after) },
            Step::Fail => Answer::Failed(Failure::Engine),
        };
        self.answer(id, answer);
        self.settle(id);
    }

    /// An attempt's mark was written in the shared store, or not.
    fn marked(&mut self, key: AttemptKey, sent: Sent, written: Option<bool>, now: Instant) {
        let Some(request) = self.attempts.get(&key).map(|o| o.request) else { return };
        let order = self.keys.as_mut().and_then(|k| k.marked(request, key, sent, written));
        match order {
            Some(order) => {
                if written == Some(true) {
                    self.pending.push(Event::Bound(request));
                }
                if !self.links.start(order, now) {
                    self.ended(key, Outcome::Moot.into());
                }
            }
            None => {
                self.ended(key, Outcome::Moot.into());
                self.stop(request);
            }
        }
    }

    /// Ends a request that may send nothing more: refused where nothing of it can have run.
    fn stop(&mut self, id: RequestId) {
        let harmless = self.keys.as_ref().is_some_and(|k| k.harmless(id));
        let refused = Answer::Refused { why: Refusal::Busy, retry_after: self.retry_after };
        self.answer(id, if harmless { refused } else { Answer::Failed(Failure::Engine) });
        self.pending.push(Event::Left(id));
        self.settle(id);
    }

    /// Tells the module of a request that may go on.
    fn admit(&mut self, id: RequestId, earlier: Option<Earlier>, now: Instant) {
        let Some(open) = self.open.get_mut(&id).filter(|o| o.reply.is_some()) else { return };
        open.ran_at = earlier.as_ref().and_then(|e| now.checked_sub(e.ago));
        let ask = &open.ask;
        self.pending.push(Event::Arrival(Arrival {
            request: id,
            class: ask.class,
            tenant: Default::default(),
            key: ask.nonce.as_deref().map(reedwalk_settings::key),
            group: ask.group.map(GroupId),
            patience: ask.deadline.saturating_duration_since(now),
            work: ask.work,
            memory_mb: ask.memory_mb,
            repeated: ask.repeated,
            earlier: earlier.map(|e| reedwalk_core::Earlier { group: e.group, ago: e.ago }),
        }));
    }

    fn left(&mut self, id: RequestId) {
        if self.open.get_mut(&id).is_some_and(|o| o.reply.take().is_some()) {
            self.tally.left += 1;
            debug!(self.log, "left"; "trace" => self.trace(id));
            // Where nothing that runs may be cancelled, what has not been written still may.
            let out = self.open.get(&id).into_iter().flat_map(|o| &o.out);
            out.filter_map(|o| self.attempts.get(&o.1)).for_each(|o| o.cancelled.cancel());
            self.keys.iter_mut().for_each(|k| k.over(id, None));
            self.pending.push(Event::Left(id));
            self.settle(id);
        }
    }

    /// An attempt's end: answers its client where it was served, and tells the module.
    fn ended(&mut self, key: AttemptKey, end: End) {
        let Some(out) = self.attempts.remove(&key) else { return };
        self.due.remove(&(out.deadline, Due::Attempt(key)));
        out.cancelled.cancel();
        let mut closed = true;
        if let Some(open) = self.open.get_mut(&out.request) {
            open.out.retain(|o| o.1 != key);
            if !end.outcome.never_ran() {
                open.ran = true;
                open.ran_at.get_or_insert(out.sent);
            }
            closed = open.reply.is_none();
            let again = end.outcome == Outcome::Error && std::mem::replace(&mut open.erred, true);
            let failed = matches!(end.outcome, Outcome::Error | Outcome::Reset | Outcome::ConnectFailed);
            if failed && !again {
                self.tell(Finding { engine: out.engine, what: Found::Erred, until: Instant::now() });
            }
        }
        self.keys.iter_mut().for_each(|k| k.ended(out.request, key, !end.outcome.never_ran()));
        if let (Outcome::Ok, Some(rows)) = (end.outcome, end.rows) {
            self.answer(out.request, Answer::Served(rows));
            closed = true;
        }
        self.pending.push(Event::Ended(Ended {
            request: out.request,
            attempt: out.number,
            outcome: end.outcome,
            closed,
            bill: end.bill,
            load: end.load,
        }));
        debug!(self.log, "ended"; "trace" => self.trace(out.request), "attempt" => out.number.0,
            "engine" => out.engine.0, "outcome" => ?end.outcome, "closed" => closed);
        self.settle(out.request);
    }

    /// Gives an attempt up. Where a request may not have two out, it counts as out until its engine has been told: the
    /// word for the next one could overtake the word that ends this one.
    fn give_up(&mut self, key: AttemptKey, outcome: Outcome) {
        let Some(out) = self.attempts.get_mut(&key).filter(|o| o.stopping.is_none()) else { return };
        out.cancelled.cancel();
        let told_later = self.links.stop(key);
        let again = self.open.get(&out.request).is_some_and(|o| o.reply.is_some());
        if told_later && again && !self.second_copies {
            out.stopping = Some(outcome);
            self.due.remove(&(out.deadline, Due::Attempt(key)));
        } else {
            self.ended(key, outcome.into());
        }
    }

    /// A request's id, for the log.
    fn trace(&self, id: RequestId) -> Option<String> {
        self.open.get(&id).map(|o| String::from_utf8_lossy(&o.ask.trace).into_owned())
    }

    /// Gives a request its final answer, if it has had none.
    fn answer(&mut self, id: RequestId, answer: Answer) {
        let Some(reply) = self.open.get_mut(&id).and_then(|o| o.reply.take()) else { return };
        debug!(self.log, "answered"; "trace" => self.trace(id), "refused" => matches!(answer, Answer::Refused { .. }),
            "served" => matches!(answer, Answer::Served(_)));
        match &answer {
            Answer::Served(_) => self.tally.served += 1,
            Answer::Refused { .. } => self.tally.refused += 1,
            Answer::Failed(_) => self.tally.failed += 1,
        }
        // A refusal promises that a further try is harmless, not that no engine has worked for this one.
        if let Answer::Refused { .. } = &answer
            && let Some(open) = self.open.get_mut(&id).filter(|o| !o.ran && o.out.is_empty())
            && let Some(paid) = open.paid.take()
        {
            self.refund(paid);
        }
        let rows = if let Answer::Served(rows) = &answer { Some(rows) } else { None };
        self.keys.iter_mut().for_each(|k| k.over(id, rows));
        // A client that has just left takes no answer; nothing is owed to it.
        let _ = reply.send(answer);
    }

    /// What was paid for and never ran.
    fn refund(&self, paid: Paid) {
        self.contracts.iter().for_each(|c| c.refund(&paid));
    }

    /// Forgets a request that is answered and has nothing out.
    fn settle(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(|o| o.reply.is_none() && o.out.is_empty())
            && let Some(open) = self.open.remove(&id)
        {
            self.due.remove(&(open.ask.deadline + OVERDUE, Due::Request(id)));
            self.traces.remove(&open.ask.trace);
        }
    }

    /// Attempts and requests whose time is over, and clients that have gone without a word.
    fn expire(&mut self, now: Instant) {
        if self.look_at <= now {
            self.look_at = now + LOOK_EVERY;
            let gone = |o: &Open| o.reply.is_some() && o.left.is_cancelled();
            let gone: Vec<_> = self.open.iter().filter(|o| gone(o.1)).map(|o| *o.0).collect();
            gone.into_iter().for_each(|id| self.left(id));
        }
        while let Some(&(at, due)) = self.due.first().filter(|d| d.0 <= now) {
            self.due.remove(&(at, due));
            match due {
                Due::Attempt(key) => self.give_up(key, Outcome::TimedOut),
                Due::Request(id) => {
                    if self.open.get(&id).is_some_and(|o| o.reply.is_some()) {
                        self.answer(id, Answer::Failed(Failure::Deadline));
                        self.pending.push(Event::Left(id));
                        self.settle(id);
                    }
                    // No further attempt can follow now: nothing waits for their engines any more.
                    let out = self.open.get(&id).into_iter().flat_map(|o| &o.out).map(|o| o.1);
                    let stopping = |key| Some((key, self.attempts.get(&key)?.stopping?));
                    let stopping: Vec<_> = out.filter_map(stopping).collect();
                    stopping.into_iter().for_each(|(key, outcome)| self.ended(key, outcome.into()));
                }
            }
        }
        if self.wake.is_some_and(|w| w <= now) {
            self.wake = None;
            self.pending.push(Event::Woken);
            self.shared.figures.set_unavailable(self.gateway.avoided());
            self.report(now);
        }
    }

    /// Steps the module until nothing follows from its actions any more.
    fn step(&mut self, now: Instant) {
        let mut actions = Vec::new();
        loop {
            let events = std::mem::take(&mut self.pending);
            self.gateway.step(self.time(now), &events, &mut actions);
            let mut moot = Vec::new();
            for action in actions.drain(..) {
                self.carry_out(action, now, &mut moot);
            }
            for (request, attempt) in moot {
                let closed = self.open.get(&request).is_none_or(|o| o.reply.is_none());
                let (outcome, bill, load) = (Outcome::Moot, None, None);
                self.pending.push(Event::Ended(Ended { request, attempt, outcome, closed, bill, load }));
            }
            if self.pending.is_empty() {
                return;
            }
        }
    }

    fn carry_out(&mut self, action: Action, now: Instant, moot: &mut Vec<(RequestId, AttemptNo)>) {
        match action {
            Action::Send { request, engine, timeout } => {
                // The one place where a duration of the module becomes an instant.
                let until = timeout.map(|t| now + t);
                if let Err(number) = self.send(request, engine, until, now) {
                    moot.push((request, number));
                }
            }
            Action::Cancel { request, attempt } => {
                let out = self.open.get(&request).and_then(|o| o.out.iter().find(|o| o.0 == attempt));
                if let Some(&(_, key)) = out {
                    self.give_up(key, Outcome::Cancelled);
                }
            }
            Action::Refuse { request, retry_after } => {
                self.answer(request, Answer::Refused { why: Refusal::Busy, retry_after });
                self.settle(request);
            }
            Action::Fail { request } => {
                let late = self.open.get(&request).is_some_and(|o| o.ask.deadline <= now);
                let why = if late { Failure::Deadline } else { Failure::Engine };
                // The module holds what is bound for what may have run.
                let harmless = !late && self.keys.as_ref().is_some_and(|k| k.harmless(request));
                let refused = Answer::Refused { why: Refusal::Busy, retry_after: self.retry_after };
                self.answer(request, if harmless { refused } else { Answer::Failed(why) });
                self.settle(request);
            }
            Action::Terms { request, memory_mb, priority } => {
                let Some(open) = self.open.get_mut(&request) else { return };
                let changed = open.priority != priority;
                (open.memory_mb, open.priority) = (memory_mb, priority);
                for (_, key) in open.out.iter().filter(|_| changed) {
                    self.links.boost(*key, priority);
                }
            }
            Action::Wake(after) => self.wake = Some(now + after),
            Action::Suspect { engine, silent, lasts } => {
                let (word, what) = if silent { ("silent", Found::Silent) } else { ("fails", Found::Fails) };
                info!(self.log, "module"; "says" => format!("quarantine engine {} {word}", engine.0));
                self.tell(Finding { engine, what, until: now + lasts });
            }
            Action::Log(line) => info!(self.log, "module"; "says" => line),
            // Engines may not be probed here, and the names are asked for whether the module does or not.
            Action::Probe(engine) => warn!(self.log, "probe not allowed"; "engine" => engine.0),
            Action::Subscribe => {}
        }
    }

    fn send(
        &mut self,
        id: RequestId,
        engine: EngineId,
        until: Option<Instant>,
        now: Instant,
    ) -> Result<(), AttemptNo> {
        let Some(open) = self.open.get_mut(&id) else { return Err(AttemptNo(0)) };
        let number = AttemptNo(open.attempts);
        open.attempts += 1;
        if open.left.is_cancelled() {
            // Its word is still in the queue, or found no room there.
            self.left(id);
            return Err(number);
        }
        if open.reply.is_none() || open.ask.deadline <= now || number.0 >= self.max_attempts {
            return Err(number);
        }
        self.kept.iter_mut().for_each(|k| k.send(&open.ask, engine, now));
        let key = AttemptKey(self.next_key);
        self.next_key += 1;
        let deadline = until.map_or(open.ask.deadline, |u| u.min(open.ask.deadline));
        let window = self.windows.get(open.ask.class.0).copied().flatten();
        let forgotten = open.ran_at.zip(window).and_then(|(at, window)| at.checked_add(window));
        let cancelled = open.left.child_token();
        let order = Order {
            key,
            engine,
            trace: open.ask.trace.clone(),
            class: open.ask.class,
            deadline,
            write_by: forgotten.map_or(deadline, |f| f.min(deadline)),
            cancelled: cancelled.clone(),
            nonce: open.ask.nonce.clone(),
            memory_mb: open.memory_mb,
            priority: open.priority,
            update: open.ask.update,
            statement: open.ask.statement.clone(),
        };
        let order = match &mut self.keys {
            Some(keys) => match keys.send(id, order, now) {
                Some(order) => order,
                None => {
                    self.stop(id);
                    return Err(number);
                }
            },
            None => Some(order),
        };
        if order.is_some_and(|order| !self.links.start(order, now)) {
            self.keys.iter_mut().for_each(|k| k.ended(id, key, false));
            return Err(number);
        }
        let Some(open) = self.open.get_mut(&id) else { return Err(number) };
        open.out.push((number, key));
        self.attempts
            .insert(key, Out { request: id, number, engine, sent: now, deadline, cancelled, stopping: None });
        self.due.insert((deadline, Due::Attempt(key)));
        self.tally.sent += 1;
        debug!(self.log, "sent"; "trace" => self.trace(id), "attempt" => number.0, "engine" => engine.0);
        Ok(())
    }

    /// Lets other front ends hear of it. Where the line is full, they do when it is found again.
    fn tell(&self, finding: Finding) {
        self.shared.others.iter().for_each(|o| _ = o.findings.try_send(finding));
    }

    /// A line of counts, every second in which something was taken or answered, and how engines look for the others.
    fn report(&mut self, now: Instant) {
        if now - self.told.0 >= Duration::from_secs(1) {
            if self.told.1 != self.tally {
                let t = self.tally;
                info!(self.log, "tally"; "taken" => t.taken, "served" => t.served, "refused" => t.refused,
                    "failed" => t.failed, "left" => t.left, "sent" => t.sent, "open" => self.open.len(),
                    "out" => self.attempts.len());
            }
            self.told = (now, self.tally);
            let looks = || self.gateway.views().collect();
            self.shared.others.iter().for_each(|o| _ = o.views.send_replace(looks()));
        }
    }
}
