//! One day: engines that fail, drain and start cold under a load.

use super::{DAY, Mode, fronts, kind};
use reedwalk_benchmarks::apart;
use reedwalk_testkit::config::known;
use reedwalk_testkit::discovery_server::{self, Engine, List};
use reedwalk_testkit::load_generator::{self, Plan, Result};
use reedwalk_testkit::model::Shape;
use reedwalk_testkit::request_log::{Record, SlowStart};
use reedwalk_testkit::resp::{EngineBehavior, Modelled, modelled};
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What a day brought.
pub struct Day {
    pub result: Result,
    pub late_sends: usize,
    pub overruns: usize,
    pub peak: f64,
}

const ENGINES: [&str; 8] = ["s-0", "s-1", "s-2", "s-3", "s-4", "s-5", "s-6", "s-7"];

/// The engines of a day, its discovery server, and what they saw.
struct Surroundings {
    record: Record,
    addresses: Vec<SocketAddr>,
    /// The engine that dies.
    dying: Modelled,
    list: List,
    server: SocketAddr,
}

impl Surroundings {
    fn start() -> Self {
        let (record, list) = (Record::default(), List::default());
        let (engines_record, served_list) = (record.clone(), list.clone());
        let (addresses, dying, server) = apart(move || async move {
            let (mut addresses, mut dying) = (Vec::new(), None);
            for number in 0..ENGINES.len() {
                let engine = start_engine(number, engines_record.clone()).await;
                addresses.push(engine.address);
                if number == 2 {
                    dying = Some(engine);
                }
            }
            let (server, _) = discovery_server::server(served_list).await;
            (addresses, dying.unwrap(), server)
        });
        Self { record, addresses, dying, list, server }
    }

    fn entry(&self, number: usize) -> Engine {
        Engine { id: ENGINES[number].into(), address: self.addresses[number], draining: false, started_ms: 0 }
    }

    fn announce(&self, engines: &[Engine]) {
        let mut list = self.list.lock().unwrap();
        *list = (list.0 + 1, engines.to_vec());
    }
}

/// Starts an engine of a day: the second is slow, and the last two start cold when they are listed.
async fn start_engine(number: usize, record: Record) -> Modelled {
    let is_late = number >= 6;
    let slow = if number == 1 { 3.0 } else { 1.0 };
    let cold = is_late.then_some((0.33, 15.0));
    let shape = Shape { cores: 8.0, slow, cold, ..Shape::default() };
    if is_late {
        let starts_after = if number == 6 { 3 } else { 8 };
        modelled_late(ENGINES[number], shape, record, starts_after).await
    } else {
        modelled(ENGINES[number], Some(shape), record).await
    }
}

fn slow_start(number: usize) -> SlowStart {
    SlowStart {
        engine: ENGINES[number].into(),
        at: Instant::now(),
        cores: 8.0,
        from: 0.33,
        ramp: Duration::from_secs(15),
        window: Duration::from_secs(1),
        multiple: 2.5,
    }
}

fn day_plan(seed: u64) -> Plan {
    Plan {
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
    }
}

/// Six engines of eight cores at the start: one of them works at a third of its speed, one dies at 5 s, one drains at
/// 9 s. One more starts cold at 3 s and another at 8 s.
pub fn day(mode: Mode, cores: usize, seed: u64) -> Day {
    let around = Surroundings::start();
    let mut engines: Vec<_> = (0..6).map(|number| around.entry(number)).collect();
    *around.list.lock().unwrap() = (2, engines.clone());
    let running = fronts(mode, cores, &known(&around.addresses[..6]), Some(around.server), seed);
    let addresses: Vec<_> = running.iter().map(|front| front.address).collect();
    let plan = day_plan(seed);
    let start = Instant::now();
    let load =
        std::thread::spawn(move || load_generator::play(&addresses, &plan, Duration::from_millis(500)));
    let sleep_until = |second: u64| {
        std::thread::sleep((start + Duration::from_secs(second)).saturating_duration_since(Instant::now()))
    };
    let unix_ms = || SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let mut slow_starts = Vec::new();
    sleep_until(3);
    slow_starts.push(slow_start(6));
    engines.push(Engine { started_ms: unix_ms(), ..around.entry(6) });
    around.announce(&engines);
    sleep_until(5);
    around.dying.set_behavior(EngineBehavior::Dead);
    sleep_until(6);
    engines.retain(|engine| engine.id != ENGINES[2]);
    around.announce(&engines);
    sleep_until(8);
    slow_starts.push(slow_start(7));
    engines.push(Engine { started_ms: unix_ms(), ..around.entry(7) });
    around.announce(&engines);
    sleep_until(9);
    engines.iter_mut().find(|engine| engine.id == ENGINES[3]).unwrap().draining = true;
    let drained = Instant::now();
    around.announce(&engines);
    let result = load.join().unwrap();
    let record = &around.record;
    Day {
        result,
        late_sends: record.late_sends(ENGINES[3], drained, Duration::from_secs(2)),
        overruns: slow_starts.iter().map(|start| record.slow_start_overruns(start)).sum(),
        peak: slow_starts.iter().map(|start| record.slow_start_peak(start)).fold(0.0, f64::max),
    }
}

/// A modelled engine whose time begins so many seconds from now.
async fn modelled_late(name: &'static str, shape: Shape, record: Record, seconds: u64) -> Modelled {
    let late = Shape { starts_at: seconds as f64, ..shape };
    modelled(name, Some(late), record).await
}
