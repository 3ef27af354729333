//! What a request costs a whole front end while others are held: `make measure-held`. So many sessions ask at once,
//! each again as soon as it is answered; engines take 50 ms a query and are bound, so that nearly all wait.
//! A front end takes 1,000 open requests at most by its settings, so 900 are held; the module alone is measured to
//! 1,000. `REEDWALK` names another build to measure.

use reedwalk_benchmarks::{Front, Setup, apart, machine};
use reedwalk_testkit::config::known;
use reedwalk_testkit::load_generator::{self, Kind, Plan};
use reedwalk_testkit::model::Shape;
use reedwalk_testkit::request_log::Record;
use reedwalk_testkit::resp::modelled;
use std::time::Duration;

const REQUESTS: f64 = 4000.0;
/// The time that the sessions have to open.
const LEAD: Duration = Duration::from_millis(1500);
/// Queries that the bounds of both engines let out together.
const OUT: usize = 24;

fn row(held: usize) -> (f64, f64) {
    let engines = apart(|| async {
        let mut engines = Vec::new();
        for _ in 0..2 {
            let shape = Shape { cores: 64.0, ..Shape::default() };
            engines.push(modelled("e", Some(shape), Record::default()).await.address);
        }
        engines
    });
    let front = Front::start(&Setup {
        known: known(&engines),
        sockets: 4096,
        // Late answers earn as much as those in time: nothing held is given up.
        late_worth: Some(1.0),
        ..Setup::default()
    });
    let kind = Kind {
        route: "lookup",
        share: 1.0,
        work_ms: 50.0,
        spread: 0.01,
        threads: 1.0,
        patience_ms: 6000,
        keyed: false,
        aim_ms: 1000.0,
        stretch: 1.5,
        worth: 1.0,
        late_worth: 1.0,
    };
    // All arrive at once, so that each session has its next request at hand.
    let plan = |requests: f64| Plan {
        rate: 1e6,
        span: Duration::from_secs_f64(requests / 1e6),
        sessions: held + OUT,
        threads: 2,
        seed: 3,
        kinds: vec![kind.clone()],
    };
    load_generator::play(&[front.address], &plan(1000.0), LEAD);
    // What the sessions cost to open is no part of a request's cost: they are open shortly before the start.
    let (result, before) = std::thread::scope(|scope| {
        let opened = scope.spawn(|| {
            std::thread::sleep(LEAD - Duration::from_millis(50));
            front.cpu_ms()
        });
        let result = load_generator::play(&[front.address], &plan(REQUESTS), LEAD);
        (result, opened.join().unwrap())
    });
    assert!(
        result.served as f64 > 0.99 * result.asked as f64,
        "{held} held: {} of {}",
        result.served,
        result.asked
    );
    ((front.cpu_ms() - before) * 1000.0 / result.served as f64, result.ms(0.5))
}

fn main() {
    println!("machine: {} cores; one front end on one core, {REQUESTS} requests a row", machine());
    println!("{:>6} {:>14}", "held", "CPU ms/1000");
    let rows: Vec<_> = [10, 100, 900]
        .into_iter()
        .map(|held| {
            let (cpu, _) = row(held);
            println!("{held:>6} {cpu:>14.1}");
            cpu
        })
        .collect();
    println!("held: CPU a request at 900 over that at 10 = {:.2}", rows[2] / rows[0]);
}
