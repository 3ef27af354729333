//! Measures the scheduler's CPU time per request while 10, 100 and 1,000 other requests wait: `make measure-held`.
//! Prints the best of several runs for each count, and the ratio of the last row to the first.

use reedwalk_scheduler::*;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

const ENGINES: u32 = 20;
/// Requests measured in a run, after the warm-up requests.
const REQUESTS: u64 = 20_000;
const WARM_UP_REQUESTS: u64 = 4 * REQUESTS;
const RUNS: u64 = 5;
/// Interval between scheduler steps, in microseconds.
const STEP_US: u64 = 100;
const DEADLINE: Duration = Duration::from_secs(3600);

/// Three classes whose late answers have full value, so that no waiting request is rejected.
fn settings() -> Settings {
    let class = |threads| ClassSettings {
        priority_weight: 1.0,
        late_weight: 1.0,
        threads,
        ..ClassSettings::new(Duration::from_secs(2), DEADLINE)
    };
    let kinds = vec![KindSettings { cores: 8, memory_mb: 16384.0 }];
    let mut settings = Settings::new(vec![class(1), class(3), class(2)], kinds);
    settings.limits.cancel = true;
    settings
}

/// A scheduler whose engines come under pressure, so that concurrency limits apply while a fixed number of requests
/// waits.
struct Run {
    scheduler: Scheduler,
    now: u64,
    last_request: u64,
    waiting: u64,
    in_flight: VecDeque<RequestId>,
    actions: Vec<Action>,
}

impl Run {
    fn new(seed: u64) -> Self {
        let scheduler = Scheduler::new(settings(), seed).expect("valid settings");
        let mut run = Self {
            scheduler,
            now: 1_000_000_000,
            last_request: 0,
            waiting: 0,
            in_flight: VecDeque::new(),
            actions: Vec::new(),
        };
        let entry = |id| EngineEntry { kind: Some(KindId(0)), ..EngineEntry::new(EngineId(id)) };
        let entries = (0..ENGINES).map(entry).collect();
        run.step(&[Event::Endpoints { scope: EndpointScope::Cached, entries }]);
        run
    }

    fn arrival(&mut self) -> Event {
        self.last_request += 1;
        let class = ClassId((self.last_request % 3) as usize);
        Event::Arrival(Arrival::new(RequestId(self.last_request), class, DEADLINE))
    }

    /// Runs a scheduler step; returns the time that it took.
    fn step(&mut self, events: &[Event]) -> Duration {
        self.actions.clear();
        let began = Instant::now();
        self.scheduler.step(Time(self.now), events, &mut self.actions);
        began.elapsed()
    }

    /// Runs a step with one answer and as many arrivals as keep `held` requests waiting; returns its time.
    fn step_with_answer(&mut self, held: u64) -> Duration {
        self.now += STEP_US;
        let mut events = Vec::new();
        while self.waiting < held {
            events.push(self.arrival());
            self.waiting += 1;
        }
        events.extend(self.in_flight.pop_front().map(served_event));
        let duration = self.step(&events);
        for action in &self.actions {
            if let Action::Send { request, .. } = action {
                self.in_flight.push_back(*request);
                self.waiting -= 1;
            }
        }
        duration
    }
}

fn served_event(request: RequestId) -> Event {
    let usage = Some(ResourceUsage { work: Duration::from_millis(40), memory_mb: 8.0 });
    let (attempt, outcome) = (AttemptNo(0), Outcome::Ok);
    Event::Ended(AttemptEnded { request, attempt, outcome, closed: false, usage, load: None })
}

/// Returns the CPU time in microseconds for an arrival and an answer while `held` requests wait, and the number of
/// items that the scheduler tracks at the end.
fn measure(held: u64, seed: u64) -> (f64, usize) {
    let mut run = Run::new(seed);
    for _ in 0..WARM_UP_REQUESTS {
        run.step_with_answer(held);
    }
    let total: Duration = (0..REQUESTS).map(|_| run.step_with_answer(held)).sum();
    (total.as_secs_f64() * 1e6 / REQUESTS as f64, run.scheduler.tracked_items())
}

fn main() {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    println!("{cores} cores; {ENGINES} engines, 3 classes, {REQUESTS} requests a run, best of {RUNS}");
    println!("{:>6} {:>12} {:>10}", "held", "us/request", "state");
    let mut rows = Vec::new();
    for held in [10, 100, 1000] {
        let runs: Vec<_> = (0..RUNS).map(|seed| measure(held, seed)).collect();
        let best = runs.iter().map(|run| run.0).fold(f64::INFINITY, f64::min);
        println!("{held:>6} {best:>12.2} {:>10}", runs[0].1);
        rows.push(best);
    }
    println!("held: cost at 1000 over cost at 10 = {:.2}", rows[2] / rows[0]);
}
