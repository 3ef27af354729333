//! What one request costs the decision module while 10, 100 and 1,000 others are held: `make measure-held`.
//! Prints a row for each count, best of several runs, and the ratio of the last to the first.

use reedwalk_scheduler::*;
use std::time::{Duration, Instant};

const ENGINES: u32 = 20;
const REQUESTS: u64 = 20_000;
const RUNS: u64 = 5;

/// Three classes whose late answers earn as much as those in time, so that nothing held is given up.
fn settings() -> Settings {
    let class = |worth, threads| ClassSettings {
        priority_weight: worth,
        late_weight: 1.0,
        threads,
        ..ClassSettings::new(Duration::from_secs(2), Duration::from_secs(3600))
    };
    let kinds = vec![KindSettings { cores: 8, memory_mb: 16384.0 }];
    let mut settings = Settings::new(vec![class(1.0, 1), class(1.0, 3), class(1.0, 2)], kinds);
    settings.limits.cancel = true;
    settings
}

/// Microseconds of one core for an arrival and an answer, while so many are held; requests held in the end.
fn run(held: u64, seed: u64) -> (f64, usize) {
    let mut gateway = Scheduler::new(settings(), seed).expect("sound settings");
    let (mut now, mut next, mut actions) = (1_000_000_000, 0, Vec::new());
    let entries = (0..ENGINES)
        .map(|e| EngineEntry { kind: Some(KindId(0)), ..EngineEntry::new(EngineId(e)) })
        .collect();
    gateway.step(Time(now), &[Event::Endpoints { scope: EndpointScope::Cached, entries }], &mut actions);
    let mut out = std::collections::VecDeque::new();
    let mut arrival = || {
        next += 1;
        let (id, class) = (RequestId(next), ClassId((next % 3) as usize));
        Event::Arrival(Arrival::new(id, class, Duration::from_secs(3600)))
    };
    // Slow answers press the engines until their bounds hold; arrivals keep as many held as are wanted.
    let mut waiting = 0;
    let mut took = Duration::ZERO;
    let (mut done, mut warm) = (0, 0);
    while done < REQUESTS {
        now += 100;
        let mut events = Vec::new();
        while waiting < held {
            events.push(arrival());
            waiting += 1;
        }
        if let Some((request, attempt)) = out.pop_front() {
            let bill = Some(ResourceUsage { work: Duration::from_millis(40), memory_mb: 8.0 });
            let outcome = Outcome::Ok;
            events.push(Event::Ended(AttemptEnded {
                request,
                attempt,
                outcome,
                closed: false,
                usage: bill,
                load: None,
            }));
        }
        actions.clear();
        let began = Instant::now();
        gateway.step(Time(now), &events, &mut actions);
        let spent = began.elapsed();
        if warm < 4 * REQUESTS {
            warm += 1;
        } else {
            took += spent;
            done += 1;
        }
        for action in actions.drain(..) {
            if let Action::Send { request, .. } = action {
                out.push_back((request, AttemptNo(0)));
                waiting -= 1;
            }
        }
    }
    (took.as_secs_f64() * 1e6 / REQUESTS as f64, gateway.tracked_items())
}

fn main() {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    println!("{cores} cores; {ENGINES} engines, 3 classes, {REQUESTS} requests a run, best of {RUNS}");
    println!("{:>6} {:>12} {:>10}", "held", "us/request", "state");
    let mut rows = Vec::new();
    for held in [10, 100, 1000] {
        let runs: Vec<_> = (0..RUNS).map(|seed| run(held, seed)).collect();
        let best = runs.iter().map(|r| r.0).fold(f64::INFINITY, f64::min);
        println!("{held:>6} {best:>12.2} {:>10}", runs[0].1);
        rows.push(best);
    }
    println!("held: cost at 1000 over cost at 10 = {:.2}", rows[2] / rows[0]);
}
