//! Open-loop load generator of MySQL clients. Arrivals are generated in advance from a seed and never wait for a response.
//! Latency is measured from a request's intended start, so that a stalled gateway is measured as slow (no coordinated
//! omission).

mod session;

pub use session::{IdleState, RequestOutcome, Session};

use crate::mysql::query_packet;
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep_until, timeout_at};

/// A class of requests in a load.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Name of the class at the gateway.
    pub route: &'static str,
    /// Its share of all arrivals, relative to the sum over the classes.
    pub share: f64,
    /// Median of the work, in milliseconds on one core.
    pub work_ms: f64,
    /// Standard deviation of the work's natural logarithm.
    pub work_spread: f64,
    /// Threads that a query uses at its engine.
    pub threads: f64,
    /// Timeout that the client states, in milliseconds.
    pub timeout_ms: u64,
    /// Whether its requests have an idempotency key.
    pub is_keyed: bool,
    /// Latency objective of a request without work, in milliseconds.
    pub objective_ms: f64,
    /// Growth of the objective with the request's work, in milliseconds per millisecond of run time.
    pub objective_stretch: f64,
    /// Priority weight of a request.
    pub weight: f64,
    /// Fraction of the weight that a response after the objective earns.
    pub late_weight: f64,
}

/// A load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Requests per second, over all sessions.
    pub rate: f64,
    /// Time over which requests arrive.
    pub duration: Duration,
    /// Sessions, over all threads.
    pub sessions: usize,
    /// Threads of the generator.
    pub threads: usize,
    /// Seed of arrivals, classes and work.
    pub seed: u64,
    /// The classes of its requests.
    pub classes: Vec<RequestClass>,
}

/// The outcomes of a load.
#[derive(Clone, Debug)]
pub struct LoadResult {
    /// Microseconds from the intended start to the last row, of the requests that were served.
    pub latencies_us: Histogram<u64>,
    /// Requests that arrived.
    pub offered: u64,
    /// Requests that were answered with their result.
    pub served: u64,
    /// Requests that were rejected before they ran.
    pub rejected: u64,
    /// Requests that ended in another error.
    pub failed: u64,
    /// Requests without a response: the connection ended, or the client timed out.
    pub lost: u64,
    /// Weight of all requests.
    pub offered_weight: f64,
    /// Weight of the requests that were served; a late response counts only its class's late fraction.
    pub served_weight: f64,
}

/// Longest latency that is recorded exactly, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Significant digits of a latency.
const LATENCY_DIGITS: u8 = 3;
/// Lower bound of the offered weight; prevents division by zero.
const MIN_WEIGHT: f64 = 1e-9;

impl Default for LoadResult {
    fn default() -> Self {
        Self {
            latencies_us: Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS).unwrap(),
            offered: 0,
            served: 0,
            rejected: 0,
            failed: 0,
            lost: 0,
            offered_weight: 0.0,
            served_weight: 0.0,
        }
    }
}

impl LoadResult {
    fn add(&mut self, other: &Self) {
        self.latencies_us.add(&other.latencies_us).unwrap();
        self.offered += other.offered;
        self.served += other.served;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.lost += other.lost;
        self.offered_weight += other.offered_weight;
        self.served_weight += other.served_weight;
    }

    /// Counts the outcome of a request.
    fn record(&mut self, class: &RequestClass, work_ms: f64, outcome: RequestOutcome, latency: Duration) {
        match outcome {
            RequestOutcome::Served => {
                self.served += 1;
                self.latencies_us.saturating_record(latency.as_micros() as u64);
                let objective_ms = class.objective_ms + class.objective_stretch * work_ms / class.threads;
                let is_late = latency.as_secs_f64() * 1000.0 > objective_ms;
                self.served_weight += class.weight * if is_late { class.late_weight } else { 1.0 };
            }
            RequestOutcome::Rejected => self.rejected += 1,
            RequestOutcome::Failed => self.failed += 1,
            RequestOutcome::Lost => self.lost += 1,
        }
    }

    /// Service level from 0 to 1: the served weight over the offered one.
    pub fn service(&self) -> f64 {
        self.served_weight / self.offered_weight.max(MIN_WEIGHT)
    }

    /// A quantile of the latencies, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latencies_us.value_at_quantile(quantile) as f64 / 1000.0
    }
}

/// One request, generated in advance.
struct Arrival {
    /// When it arrives, counted from the start of the load.
    at: Duration,
    /// Index of its class in the plan.
    class: usize,
    work_ms: f64,
    /// Random number from which its trace id, key and schema are derived.
    number: u64,
}

/// Multiplier that decorrelates the seeds of the threads: 2^64 divided by the golden ratio (Fibonacci hashing).
const SEED_STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// All arrivals of one thread.
fn draw_arrivals(plan: &LoadPlan, thread: u64) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(plan.seed ^ thread.wrapping_mul(SEED_STEP));
    let gap_s = Exp::new(plan.rate / plan.threads as f64).unwrap();
    let mut arrivals = Vec::new();
    let mut at_s = 0.0;
    loop {
        at_s += gap_s.sample(&mut rng);
        if at_s > plan.duration.as_secs_f64() {
            return arrivals;
        }
        let class = draw_class(&plan.classes, &mut rng);
        let RequestClass { work_ms, work_spread, .. } = plan.classes[class];
        let work_ms = LogNormal::new(work_ms.ln(), work_spread).unwrap().sample(&mut rng);
        arrivals.push(Arrival { at: Duration::from_secs_f64(at_s), class, work_ms, number: rng.random() });
    }
}

/// The index of a class, drawn by the classes' shares.
fn draw_class(classes: &[RequestClass], rng: &mut StdRng) -> usize {
    let mut remaining = rng.random::<f64>() * classes.iter().map(|class| class.share).sum::<f64>();
    let drawn = classes.iter().position(|class| {
        remaining -= class.share;
        remaining <= 0.0
    });
    drawn.unwrap_or(0)
}

/// The packet of a request's query, with its fields comment.
fn request_packet(class: &RequestClass, arrival: &Arrival) -> Vec<u8> {
    let Arrival { number, work_ms, .. } = arrival;
    let RequestClass { route, timeout_ms, threads, .. } = class;
    let key = if class.is_keyed { format!(",nonce={number:032x}") } else { String::new() };
    let schema = number % 8;
    query_packet(&format!(
        "/* route={route},trace={number:016x},patience={timeout_ms}{key},weight={work_ms:.1},space=16 */ \
         SELECT a, b, c FROM sales_{schema}.orders WHERE WORK {work_ms:.3} THREADS {threads} "
    ))
}

/// Extra time that a client waits beyond its stated timeout.
const CLIENT_GRACE: Duration = Duration::from_millis(500);

/// State shared by the sessions of one thread.
struct ThreadState {
    plan: LoadPlan,
    address: SocketAddr,
    start: Instant,
    /// Arrivals that wait for a session.
    waiting: VecDeque<Arrival>,
    /// Sessions that wait for an arrival.
    idle: Vec<oneshot::Sender<Arrival>>,
    has_ended: bool,
    result: LoadResult,
}

impl ThreadState {
    /// Counts an arrival, and assigns it to an idle session or queues it until one is free.
    fn offer(&mut self, arrival: Arrival) {
        self.result.offered += 1;
        self.result.offered_weight += self.plan.classes[arrival.class].weight;
        match self.idle.pop() {
            Some(session) => _ = session.send(arrival),
            None => self.waiting.push_back(arrival),
        }
    }

    /// Marks the end of the arrivals: idle sessions end.
    fn end(&mut self) {
        self.has_ended = true;
        self.idle.clear();
    }
}

type SharedState = Rc<RefCell<ThreadState>>;

/// The next request of a session; `None` once the load has ended.
async fn next_arrival(state: &SharedState) -> Option<Arrival> {
    let receiver = {
        let mut state = state.borrow_mut();
        if let Some(arrival) = state.waiting.pop_front() {
            return Some(arrival);
        }
        if state.has_ended {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        state.idle.push(sender);
        receiver
    };
    receiver.await.ok()
}

/// Runs one session, which opens its connection at `opens_at`, until the load has ended.
async fn run_session(state: SharedState, opens_at: Instant) {
    let address = state.borrow().address;
    sleep_until(opens_at).await;
    let mut session = Session::open(address).await;
    while let Some(arrival) = next_arrival(&state).await {
        let (packet, intended_start, deadline) = prepare(&state.borrow(), &arrival);
        if session.as_ref().is_none_or(Session::is_unusable) {
            session = Session::open(address).await;
        }
        let outcome = match &mut session {
            Some(open) => timeout_at(deadline, open.query(&packet)).await.ok().flatten(),
            None => None,
        };
        if outcome.is_none() {
            session = None;
        }
        let latency = intended_start.elapsed();
        let ThreadState { plan, result, .. } = &mut *state.borrow_mut();
        let class = &plan.classes[arrival.class];
        result.record(class, arrival.work_ms, outcome.unwrap_or(RequestOutcome::Lost), latency);
    }
}

/// The packet of a request, its intended start, and its client's deadline.
fn prepare(state: &ThreadState, arrival: &Arrival) -> (Vec<u8>, Instant, Instant) {
    let class = &state.plan.classes[arrival.class];
    let deadline = Instant::now() + Duration::from_millis(class.timeout_ms) + CLIENT_GRACE;
    (request_packet(class, arrival), state.start + arrival.at, deadline)
}

/// Runs the part of a load that belongs to one thread.
async fn run_thread(address: SocketAddr, plan: LoadPlan, thread: u64, start: Instant) -> LoadResult {
    let arrivals = draw_arrivals(&plan, thread);
    let session_count = plan.sessions.div_ceil(plan.threads) as u32;
    let state = Rc::new(RefCell::new(ThreadState {
        plan,
        address,
        start,
        waiting: VecDeque::new(),
        idle: Vec::new(),
        has_ended: false,
        result: LoadResult::default(),
    }));
    let local = LocalSet::new();
    // The connections are opened one after the other during the first half of the lead time.
    let now = Instant::now();
    let gap = start.saturating_duration_since(now) / 2 / session_count;
    let spawn = |number| local.spawn_local(run_session(state.clone(), now + gap * number));
    let sessions: Vec<_> = (0..session_count).map(spawn).collect();
    local
        .run_until(async {
            for arrival in arrivals {
                sleep_until(start + arrival.at).await;
                state.borrow_mut().offer(arrival);
            }
            state.borrow_mut().end();
            for session in sessions {
                session.await.unwrap();
            }
        })
        .await;
    std::mem::take(&mut state.borrow_mut().result)
}

/// Runs a load against gateways, and waits until its last request has ended. The generator's threads are distributed over
/// the addresses. The load starts after `lead`, so that all sessions are open by then.
///
/// # Panics
///
/// If there is no address, or the plan's rate or work is not positive.
pub fn run(addresses: &[SocketAddr], plan: &LoadPlan, lead: Duration) -> LoadResult {
    let start = std::time::Instant::now() + lead;
    let spawn = |number: usize| {
        let (address, plan) = (addresses[number % addresses.len()], plan.clone());
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(run_thread(address, plan, number as u64, Instant::from_std(start)))
        })
    };
    let threads: Vec<_> = (0..plan.threads).map(spawn).collect();
    let mut result = LoadResult::default();
    for thread in threads {
        result.add(&thread.join().unwrap());
    }
    result
}
