//! What a shared store adds to a request, and what it costs when it fails: `make measure-store`.
//!
//! Keyed requests go through one front end beside a stand-in for Redis that is well, slow, frozen, gone or flapping;
//! the times are set against the same load without a store. Then a budget is drawn on by three front ends at three
//! times its rate, and the engines' record says how much was granted in a window.

use reedwalk_benchmarks::{Front, Setup, apart, machine};
use reedwalk_testkit::config::known;
use reedwalk_testkit::load_generator::{self, Kind, Plan, Result};
use reedwalk_testkit::model::Shape;
use reedwalk_testkit::redis::{Redis, Trouble};
use reedwalk_testkit::request_log::{Record, What};
use reedwalk_testkit::resp::modelled;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const RATE: f64 = 400.0;
const SPAN: Duration = Duration::from_secs(5);
const LEAD: Duration = Duration::from_millis(1500);
const SEEDS: [u64; 3] = [11, 23, 47];
/// A budget, its window, and the front ends that share it.
const BUDGET: u64 = 600;
const WINDOW: Duration = Duration::from_secs(2);
const FRONTS: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    NoStore,
    Well,
    Slow(u64),
    Frozen,
    Gone,
    Flapping,
}

impl State {
    fn trouble(self) -> Option<Trouble> {
        match self {
            Self::NoStore | Self::Well | Self::Flapping => None,
            Self::Slow(ms) => Some(Trouble::Slow(Duration::from_millis(ms))),
            Self::Frozen => Some(Trouble::Frozen),
            Self::Gone => Some(Trouble::DropBefore),
        }
    }
}

/// Sets the store's state after a while, and keeps it flapping until told to stop.
fn trouble(
    redis: &Redis,
    state: State,
    after: Duration,
    stop: &Arc<AtomicBool>,
) -> std::thread::JoinHandle<()> {
    let (redis, stop) = (redis.clone(), stop.clone());
    std::thread::spawn(move || {
        std::thread::sleep(after);
        redis.trouble(state.trouble());
        let mut well = true;
        while state == State::Flapping && !stop.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(300));
            well = !well;
            redis.trouble((!well).then_some(Trouble::DropBefore));
        }
    })
}

fn kind(route: &'static str, keyed: bool) -> Kind {
    Kind {
        route,
        share: 1.0,
        work_ms: 1.0,
        spread: 0.1,
        threads: 1.0,
        patience_ms: 2000,
        keyed,
        aim_ms: 1000.0,
        stretch: 1.5,
        worth: 1.0,
        late_worth: 0.3,
    }
}

/// One load beside a store in this state: what became of it, commands a request, posts of one key beyond the first.
fn load(state: State, fronts: usize, contract: u64, rate: f64, seed: u64) -> (Result, f64, usize, f64) {
    let record = Record::default();
    let engines: Vec<_> = (0..2)
        .map(|_| {
            let record = record.clone();
            // Engines that answer at once keep no record.
            let shape = Shape { cores: 64.0, ..Shape::default() };
            apart(|| async { modelled("e", Some(shape), record).await.address })
        })
        .collect();
    let redis = Redis::default();
    let address: SocketAddr = {
        let redis = redis.clone();
        apart(|| async move { redis.start().await })
    };
    let window = WINDOW.as_secs();
    let contract = format!(
        "contract \"app\" {{\n classes \"batch-post\"\n budget {contract} window=\"{window}s\"\n}}\n"
    );
    let operator = match state {
        State::NoStore => contract,
        _ => format!("{contract}store redis=\"redis://{address}\" {{\n share-keys\n}}\n"),
    };
    let front = |ordinal| {
        let (gateways, known, operator) = (fronts, known(&engines), Some(operator.as_str()));
        Front::start(&Setup { gateways, ordinal, known, operator, seed, ..Setup::default() })
    };
    let running: Vec<_> = (0..fronts).map(front).collect();
    let addresses: Vec<_> = running.iter().map(|f| f.address).collect();
    let stop = Arc::<AtomicBool>::default();
    let before = redis.seen().len();
    let (start, unix) = (Instant::now(), SystemTime::now().duration_since(UNIX_EPOCH).unwrap());
    // In the middle of a load, so that it is found out under load.
    let troubled = trouble(&redis, state, LEAD + SPAN / 2, &stop);
    let kinds = vec![kind("batch-post", true)];
    let plan = Plan { rate, span: SPAN, sessions: 64, threads: fronts.max(2), seed, kinds };
    let result = load_generator::play(&addresses, &plan, LEAD);
    stop.store(true, Ordering::Relaxed);
    troubled.join().unwrap();
    let commands = (redis.seen().len() - before) as f64 / result.asked.max(1) as f64;
    let (mut keys, mut windows) = (HashMap::<String, usize>::new(), HashMap::<u64, u64>::new());
    for seen in record.all() {
        if let What::Began { key, .. } = seen.what {
            let at = unix + seen.at.saturating_duration_since(start);
            *windows.entry(at.as_millis() as u64 / WINDOW.as_millis() as u64).or_default() += 1;
            key.into_iter().for_each(|key| *keys.entry(key).or_default() += 1);
        }
    }
    assert!(!keys.is_empty(), "no attempt reached an engine's record");
    let duplicates = keys.values().map(|n| n - 1).sum();
    let most = windows.values().max().copied().unwrap_or(0) as f64;
    (result, commands, duplicates, most)
}

fn main() {
    let states = [
        State::NoStore,
        State::Well,
        State::Slow(20),
        State::Slow(200),
        State::Frozen,
        State::Gone,
        State::Flapping,
    ];
    println!(
        "{RATE} keyed requests/s for {SPAN:?}, the state begins halfway; {} seeds, {} cores",
        SEEDS.len(),
        machine()
    );
    println!(
        "{:<12} {:>8} {:>8} {:>9} {:>9} {:>8} {:>8} {:>10} {:>6}",
        "store", "p50 ms", "p99 ms", "+p50", "+p99", "served", "refused", "commands", "twice"
    );
    let (mut base, mut added) = ((0.0, 0.0), HashMap::new());
    let (mut twice, mut lost) = (0, 0);
    for state in states {
        // Of several seeds the middle one.
        let mut runs: Vec<_> = SEEDS.iter().map(|seed| load(state, 1, 1_000_000, RATE, *seed)).collect();
        twice += runs.iter().map(|r| r.2).sum::<usize>();
        lost += runs.iter().map(|r| r.0.lost).sum::<u64>();
        runs.sort_by(|a, b| a.0.ms(0.99).total_cmp(&b.0.ms(0.99)));
        let (result, commands, duplicates, _) = &runs[SEEDS.len() / 2];
        let (p50, p99) = (result.ms(0.5), result.ms(0.99));
        if state == State::NoStore {
            base = (p50, p99);
        }
        added.insert(format!("{state:?}"), p99 - base.1);
        println!(
            "{:<12} {p50:>8.2} {p99:>8.2} {:>9.2} {:>9.2} {:>8.4} {:>8} {commands:>10.2} {duplicates:>6}",
            format!("{state:?}"),
            p50 - base.0,
            p99 - base.1,
            result.served as f64 / result.asked as f64,
            result.refused
        );
    }
    println!("budget {BUDGET} in {WINDOW:?}, {FRONTS} front ends, drawn on at three times its rate");
    println!("{:<12} {:>10} {:>10}", "store", "in a window", "of budget");
    let mut worst: f64 = 0.0;
    for state in &states[1..] {
        let rate = 3.0 * BUDGET as f64 / WINDOW.as_secs_f64();
        let most = SEEDS.iter().map(|seed| load(*state, FRONTS, BUDGET, rate, *seed).3).fold(0.0, f64::max);
        worst = worst.max(most / BUDGET as f64);
        println!("{:<12} {most:>10} {:>10.2}", format!("{state:?}"), most / BUDGET as f64);
    }
    println!(
        "store: duplicates = {twice}, lost = {lost}, p99 added well = {:.2} ms, frozen = {:.2} ms, overshoot worst = {worst:.2}",
        added["Well"], added["Frozen"]
    );
}
