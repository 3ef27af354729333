//! Measures the CPU time of a gateway per request while other requests are queued: `make measure-held`. Each session sends
//! its next query as soon as the last is answered. Engines take 50 ms per query and have concurrency limits, so that nearly
//! all requests are queued. The settings limit a gateway to 1,000 open requests, so at most 900 are queued here; the
//! scheduler alone is measured with up to 1,000. `REEDWALK` selects another build to measure.

use reedwalk_benchmarks::{Gateway, GatewaySetup, core_count, run_on_own_thread};
use reedwalk_testkit::config::initial_endpoints;
use reedwalk_testkit::load_generator::{self, LoadPlan, LoadResult, RequestClass};
use reedwalk_testkit::model::Shape;
use reedwalk_testkit::request_log::RequestLog;
use reedwalk_testkit::resp::start_modelled_engine;
use std::net::SocketAddr;
use std::time::Duration;

const REQUESTS_PER_ROW: f64 = 4000.0;
/// Requests sent before each row, which are not measured.
const WARM_UP_REQUESTS: f64 = 1000.0;
/// Time for the sessions to open before requests arrive.
const SESSION_SETUP_TIME: Duration = Duration::from_millis(1500);
/// The CPU time is read this long before requests arrive: all sessions are open by then, so that the cost of opening them
/// is not measured.
const CPU_READ_MARGIN: Duration = Duration::from_millis(50);
/// Sum of the concurrency limits of both engines.
const ENGINE_CONCURRENCY: usize = 24;
/// Number of queued requests in each row.
const QUEUE_LENGTHS: [usize; 3] = [10, 100, 900];
/// Requests per second; high enough that every session always has its next request ready.
const ARRIVAL_RATE: f64 = 1e6;
/// Minimum share of the requests that must be served.
const MIN_SERVED_SHARE: f64 = 0.99;

async fn start_engines() -> Vec<SocketAddr> {
    let mut engines = Vec::new();
    for _ in 0..2 {
        let shape = Shape { cores: 64.0, ..Shape::default() };
        engines.push(start_modelled_engine("e", Some(shape), RequestLog::default()).await.address);
    }
    engines
}

fn load_plan(requests: f64, sessions: usize) -> LoadPlan {
    let class = RequestClass {
        route: "lookup",
        share: 1.0,
        work_ms: 50.0,
        work_spread: 0.01,
        threads: 1.0,
        timeout_ms: 6000,
        is_keyed: false,
        objective_ms: 1000.0,
        objective_stretch: 1.5,
        weight: 1.0,
        late_weight: 1.0,
    };
    LoadPlan {
        rate: ARRIVAL_RATE,
        duration: Duration::from_secs_f64(requests / ARRIVAL_RATE),
        sessions,
        threads: 2,
        seed: 3,
        classes: vec![class],
    }
}

/// CPU time for 1,000 requests while `queued` others wait, in milliseconds.
fn measure(queued: usize) -> f64 {
    let engines = run_on_own_thread(start_engines);
    let gateway = Gateway::start(&GatewaySetup {
        endpoints: initial_endpoints(&engines),
        max_descriptors: 4096,
        // With full weight for late answers, the gateway sheds no queued request.
        late_weight: Some(1.0),
        ..GatewaySetup::default()
    });
    let sessions = queued + ENGINE_CONCURRENCY;
    load_generator::run(&[gateway.address], &load_plan(WARM_UP_REQUESTS, sessions), SESSION_SETUP_TIME);
    let (result, cpu_before) = run_measured(&gateway, &load_plan(REQUESTS_PER_ROW, sessions));
    let LoadResult { served, offered, .. } = result;
    assert!(
        served as f64 > MIN_SERVED_SHARE * offered as f64,
        "{queued} queued: only {served} of {offered} requests were served"
    );
    (gateway.cpu_ms() - cpu_before) * 1000.0 / served as f64
}

/// Runs a load; returns its result, and the gateway's CPU time after all sessions had opened.
fn run_measured(gateway: &Gateway, load_plan: &LoadPlan) -> (LoadResult, f64) {
    std::thread::scope(|scope| {
        let cpu_before = scope.spawn(|| {
            std::thread::sleep(SESSION_SETUP_TIME - CPU_READ_MARGIN);
            gateway.cpu_ms()
        });
        let result = load_generator::run(&[gateway.address], load_plan, SESSION_SETUP_TIME);
        (result, cpu_before.join().unwrap())
    })
}

fn main() {
    println!("machine: {} cores; one gateway on one core, {REQUESTS_PER_ROW} requests a row", core_count());
    println!("{:>6} {:>14}", "queued", "CPU ms/1000");
    let rows = QUEUE_LENGTHS.map(|queued| {
        let cpu_per_1000 = measure(queued);
        println!("{queued:>6} {cpu_per_1000:>14.1}");
        cpu_per_1000
    });
    println!("queued: CPU a request at 900 over that at 10 = {:.2}", rows[2] / rows[0]);
}
