//! The gain of several cores, and what is lost in judgement: `make measure-cores`.
//!
//! Two modes are compared: one judge on core 0 with connections on all cores (`cores N`), and N front ends on one
//! core each that share nothing, each told that there are N (what N judges would be). Throughput is the highest rate
//! of an open-loop load that is held with p99 under a bound; service comes from a day with a slow engine, a death, a
//! cold start and a drain, the same for all rows of a seed.

use reedwalk_measures::{Front, Setup, apart, machine};
use reedwalk_standins::config::known;
use reedwalk_standins::driver::{self, Kind, Plan, Result};
use reedwalk_standins::model::Shape;
use reedwalk_standins::names;
use reedwalk_standins::record::{ColdStart, Record};
use reedwalk_standins::resp::{Mood, modelled};
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A rate is held if, in one try of several, p99 stays under this and all but one in a thousand is served.
const P99_MS: f64 = 20.0;
/// The rates that are tried, a second: from, to, and the factor between two.
const LOWEST: f64 = 10_000.0;
const HIGHEST: f64 = 150_000.0;
const STEP: f64 = 1.25;
const SEEDS: [u64; 3] = [11, 23, 47];
const DAY: Duration = Duration::from_secs(16);

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Mode {
    OneJudge,
    Judges,
}

impl Mode {
    fn name(self) -> &'static str {
        match self {
            Self::OneJudge => "one judge",
            Self::Judges => "N judges",
        }
    }
}

const ROWS: [(Mode, usize); 7] = [
    (Mode::OneJudge, 1),
    (Mode::OneJudge, 2),
    (Mode::OneJudge, 4),
    (Mode::OneJudge, 8),
    (Mode::Judges, 2),
    (Mode::Judges, 4),
    (Mode::Judges, 8),
];

fn fronts(
    mode: Mode,
    cores: usize,
    known: &serde_json::Value,
    names: Option<SocketAddr>,
    seed: u64,
) -> Vec<Front> {
    let operator = format!("cores {cores}");
    let several = mode == Mode::Judges;
    let count = if several { cores } else { 1 };
    (0..count)
        .map(|ordinal| {
            let operator = (!several && cores > 1).then_some(operator.as_str());
            let seed = seed + ordinal as u64;
            Front::start(&Setup {
                gateways: count,
                ordinal,
                known: known.clone(),
                names,
                operator,
                seed,
                ..Setup::default()
            })
        })
        .collect()
}

fn kind(route: &'static str, share: f64, work_ms: f64, threads: f64, patience_ms: u64, worth: f64) -> Kind {
    Kind {
        route,
        share,
        work_ms,
        spread: 0.4,
        threads,
        patience_ms,
        keyed: route == "batch-post",
        aim_ms: 1000.0,
        stretch: 1.5,
        worth,
        late_worth: 0.3,
    }
}

/// A rate that was held, and how.
struct Held {
    rate: f64,
    result: Result,
    cpu_ms: f64,
    /// Part of the CPU that the judge's thread took, where it does nothing else.
    judging: Option<f64>,
    memory_mb: f64,
}

/// The highest rate that is held against engines that answer at once.
fn throughput(mode: Mode, cores: usize) -> Held {
    let engines: Vec<_> = (0..2)
        .flat_map(|_| {
            apart(|| async {
                let mut engines = Vec::new();
                for _ in 0..2 {
                    engines.push(modelled("e", None, Record::default()).await.address);
                }
                engines
            })
        })
        .collect();
    let running = fronts(mode, cores, &known(&engines), None, 7);
    let addresses: Vec<_> = running.iter().map(|f| f.address).collect();
    let plan = |rate| Plan {
        rate,
        span: Duration::from_millis(1200),
        sessions: 128,
        threads: running.len().max(4),
        seed: 5,
        kinds: vec![kind("lookup", 1.0, 1.0, 1.0, 6000, 1.0)],
    };
    let cpu = || running.iter().map(Front::cpu_ms).sum::<f64>();
    // What a front end learns first is not measured.
    driver::play(&addresses, &plan(1000.0), Duration::from_millis(300));
    let try_rate = |rate: f64| {
        let (before, judge_before) = (cpu(), running[0].thread_ms("core-0"));
        let result = driver::play(&addresses, &plan(rate), Duration::from_millis(200));
        let memory_mb = running.iter().map(Front::memory_mb).sum();
        let cpu_ms = cpu() - before;
        let alone = mode == Mode::OneJudge && cores >= 4;
        let judging = alone.then(|| (running[0].thread_ms("core-0") - judge_before) / cpu_ms);
        let held = result.ms(0.99) <= P99_MS && result.served as f64 >= 0.999 * result.asked as f64;
        if std::env::var_os("TRIALS").is_some() {
            let r = &result;
            eprintln!(
                "{} {cores}: {rate:.0}/s p99 {:.1} ms, asked {} served {} refused {} failed {} lost {}",
                mode.name(),
                r.ms(0.99),
                r.asked,
                r.served,
                r.refused,
                r.failed,
                r.lost
            );
        }
        (held, Held { rate, result, cpu_ms, judging, memory_mb })
    };
    let (mut best, mut missed, mut rate) = (None, 0, LOWEST);
    while missed < 2 && rate < HIGHEST {
        // The machine is not ours alone: a rate is held if one try of three holds it, and one that was not may
        // have met a bad moment.
        match (0..3).map(|_| try_rate(rate)).find(|t| t.0) {
            Some((_, row)) => (best, missed) = (Some(row), 0),
            None => missed += 1,
        }
        rate *= STEP;
    }
    best.expect("no rate was held")
}

/// What a day brought.
struct Day {
    result: Result,
    late_sends: usize,
    overruns: usize,
    peak: f64,
}

const ENGINES: [&str; 8] = ["s-0", "s-1", "s-2", "s-3", "s-4", "s-5", "s-6", "s-7"];

/// Six engines of eight cores at the start: one of them works at a third of its pace, one dies at 5 s, one drains
/// at 9 s. One more starts cold at 3 s and another at 8 s.
fn day(mode: Mode, cores: usize, seed: u64) -> Day {
    let record = Record::default();
    let seen = record.clone();
    let list = names::List::default();
    let told = list.clone();
    let (addresses, dies, server) = apart(move || async move {
        let (mut addresses, mut dies) = (Vec::new(), None);
        for (n, name) in ENGINES.into_iter().enumerate() {
            let cold = (n >= 6).then_some((0.33, 15.0));
            let shape = Shape { cores: 8.0, slow: if n == 1 { 3.0 } else { 1.0 }, cold, ..Shape::default() };
            // A cold engine's clock begins when it is listed: it is started then.
            let start_at = if n >= 6 { None } else { Some(shape.clone()) };
            let engine = match start_at {
                Some(shape) => modelled(name, Some(shape), record.clone()).await,
                None => modelled_late(name, shape, record.clone(), if n == 6 { 3 } else { 8 }).await,
            };
            addresses.push(engine.address);
            if n == 2 {
                dies = Some(engine);
            }
        }
        let (server, _) = names::server(list).await;
        (addresses, dies.unwrap(), server)
    });
    let list = told;
    let entry = |n: usize, draining| names::Engine {
        id: ENGINES[n].into(),
        address: addresses[n],
        draining,
        started_ms: 0,
    };
    let mut engines: Vec<_> = (0..6).map(|n| entry(n, false)).collect();
    *list.lock().unwrap() = (2, engines.clone());
    let running = fronts(mode, cores, &known(&addresses[..6]), Some(server), seed);
    let fronts: Vec<_> = running.iter().map(|f| f.address).collect();
    let plan = Plan {
        rate: 400.0,
        span: DAY,
        sessions: 480,
        threads: 8,
        seed,
        kinds: vec![
            kind("lookup", 0.7, 30.0, 1.0, 6000, 1.0),
            kind("statement", 0.2, 250.0, 3.0, 10_000, 4.0),
            kind("batch-post", 0.1, 200.0, 2.0, 12_000, 5.0),
        ],
    };
    let start = Instant::now();
    let load = std::thread::spawn(move || driver::play(&fronts, &plan, Duration::from_millis(500)));
    let at = |s: u64| {
        std::thread::sleep((start + Duration::from_secs(s)).saturating_duration_since(Instant::now()))
    };
    let unix_ms = || SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let mut colds = Vec::new();
    let tell = |engines: &[names::Engine]| {
        let mut list = list.lock().unwrap();
        *list = (list.0 + 1, engines.to_vec());
    };
    let cold = |n: usize| ColdStart {
        engine: ENGINES[n].into(),
        at: Instant::now(),
        cores: 8.0,
        from: 0.33,
        ramp: Duration::from_secs(15),
        window: Duration::from_secs(1),
        multiple: 2.5,
    };
    at(3);
    colds.push(cold(6));
    engines.push(names::Engine { started_ms: unix_ms(), ..entry(6, false) });
    tell(&engines);
    at(5);
    dies.mood(Mood::Dead);
    at(6);
    engines.retain(|e| e.id != ENGINES[2]);
    tell(&engines);
    at(8);
    colds.push(cold(7));
    engines.push(names::Engine { started_ms: unix_ms(), ..entry(7, false) });
    tell(&engines);
    at(9);
    engines.iter_mut().find(|e| e.id == ENGINES[3]).unwrap().draining = true;
    let drained = Instant::now();
    tell(&engines);
    let result = load.join().unwrap();
    Day {
        result,
        late_sends: seen.late_sends(ENGINES[3], drained, Duration::from_secs(2)),
        overruns: colds.iter().map(|c| seen.cold_overruns(c)).sum(),
        peak: colds.iter().map(|c| seen.cold_peak(c)).fold(0.0, f64::max),
    }
}

/// A modelled engine whose time begins so many seconds from now.
async fn modelled_late(
    name: &'static str,
    shape: Shape,
    record: Record,
    seconds: u64,
) -> reedwalk_standins::resp::Modelled {
    let late = Shape { starts_at: seconds as f64, ..shape };
    modelled(name, Some(late), record).await
}

fn main() {
    let cores = machine();
    println!(
        "machine: {cores} cores; clients and engines run on them too, so rows beyond half of them compete for them"
    );
    println!("\nthroughput: engines that answer at once, 128 sessions, p99 <= {P99_MS} ms, 99.9% served");
    println!(
        "{:<10} {:>5} {:>10} {:>8} {:>8} {:>8} {:>12} {:>8} {:>10}",
        "mode", "cores", "req/s", "p50 ms", "p99 ms", "p99.9 ms", "CPU ms/1000", "judge", "memory MB"
    );
    let (mut rates, mut ceilings) = (Vec::new(), Vec::new());
    for (mode, n) in ROWS {
        let held = throughput(mode, n);
        let r = &held.result;
        println!(
            "{:<10} {n:>5} {:>10.0} {:>8.2} {:>8.2} {:>8.2} {:>12.1} {:>8} {:>10.1}{}",
            mode.name(),
            held.rate,
            r.ms(0.5),
            r.ms(0.99),
            r.ms(0.999),
            held.cpu_ms * 1000.0 / r.served as f64,
            held.judging.map_or("-".into(), |j| format!("{:.0}%", j * 100.0)),
            held.memory_mb,
            if n + 4 > cores { "  oversubscribed" } else { "" }
        );
        ceilings.push(1e6 * n as f64 / (held.cpu_ms * 1000.0 / r.served as f64));
        rates.push(held.rate);
    }
    println!("\nservice: days of {} s, seeds {SEEDS:?}, all rows of a seed at once", DAY.as_secs());
    println!(
        "{:<10} {:>5} {:>9} {:>20} {:>8} {:>8} {:>8} {:>8} {:>6} {:>11} {:>9}",
        "mode",
        "cores",
        "service",
        "by seed",
        "refused",
        "failed",
        "lost",
        "p99 ms",
        "late",
        "cold overrun",
        "cold peak"
    );
    let mut days: Vec<Vec<Day>> = ROWS.iter().map(|_| Vec::new()).collect();
    for seed in SEEDS {
        let runs: Vec<_> = ROWS.map(|(mode, n)| std::thread::spawn(move || day(mode, n, seed))).into();
        for (row, run) in runs.into_iter().enumerate() {
            days[row].push(run.join().unwrap());
        }
    }
    let mut services = Vec::new();
    let (mut late, mut overruns) = (0, 0);
    for ((mode, n), days) in ROWS.iter().zip(&days) {
        let service = days.iter().map(|d| d.result.service()).sum::<f64>() / days.len() as f64;
        let each: Vec<_> = days.iter().map(|d| format!("{:.3}", d.result.service())).collect();
        let sum = |f: &dyn Fn(&Day) -> u64| days.iter().map(f).sum::<u64>();
        let (l, o) = (sum(&|d| d.late_sends as u64), sum(&|d| d.overruns as u64));
        if *mode == Mode::OneJudge {
            late += l;
            overruns += o;
        }
        println!(
            "{:<10} {n:>5} {service:>9.3} {:>20} {:>8} {:>8} {:>8} {:>8.0} {l:>6} {o:>11} {:>9.2}",
            mode.name(),
            each.join(" "),
            sum(&|d| d.result.refused),
            sum(&|d| d.result.failed),
            sum(&|d| d.result.lost),
            days.iter().map(|d| d.result.ms(0.99)).fold(0.0, f64::max),
            days.iter().map(|d| d.peak).fold(0.0, f64::max)
        );
        services.push(service);
    }
    println!(
        "\nCPU alone would allow {:.0} req/s on 1 core, {:.0} on 4; the gain over the former is {:.2}",
        ceilings[0],
        ceilings[2],
        rates[2] / ceilings[0]
    );
    println!(
        "cores: gain 1->4 = {:.2}, service 1 = {:.3}, service 4 = {:.3}, late sends = {late}, cold overruns = {overruns}",
        rates[2] / rates[0],
        services[0],
        services[2]
    );
}
