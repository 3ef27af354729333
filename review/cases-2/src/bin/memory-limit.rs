//! The gateway grows past its memory limit: results whose engines answer late together are held as cells of 32 bytes
//! each, without a bound. `claim.txt` of the case has the details.

use reedwalk_review_cases_2::case::{self, Verdict};
use reedwalk_review_cases_2::client::{Answer, Client, Fields};
use reedwalk_review_cases_2::config::{self, Deployment, Listed};
use reedwalk_review_cases_2::engine::{Engine, KeyMemory, Plan, RunLog};
use reedwalk_review_cases_2::gateway::{Gateway, Start, TemporaryFolder, free_address};
use reedwalk_review_cases_2::record::Record;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The memory limit of the front end.
const MEMORY_MB: u64 = 32;
/// Engines of the pool.
const ENGINES: usize = 7;
/// Engines that stand still at a time: 43% of them.
const STALLED_ENGINES: usize = 3;
/// How long they stand still.
const STALL: Duration = Duration::from_millis(500);
/// Time between two stalls.
const STALL_INTERVAL: Duration = Duration::from_millis(2500);
/// Client sessions: less than a third of the 1,024 descriptors.
const CLIENTS: u64 = 300;
/// Requests a second of all clients together.
const REQUESTS_PER_SECOND: u64 = 520;
/// Time between the starts of two clients.
const START_INTERVAL: Duration = Duration::from_millis(4);
/// Time between two looks at the gateway's memory.
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How long the traffic lasts.
const DURATION: Duration = Duration::from_secs(80);
/// How long an engine works on a query.
const QUERY_TIME: Duration = Duration::from_millis(80);
/// How long a client waits for an answer.
const PATIENCE: Duration = Duration::from_secs(6);
/// How long a client waits past its patience.
const MARGIN: Duration = Duration::from_secs(1);
/// One row of a result: a day, a count and a note.
const ROW: &str = "31\t204\t9f\n";
/// Size of a page; eight pages hold 48,000 bytes, the most that a result may have.
const PAGE_BYTES: usize = 6000;
/// Pages of a result.
const PAGES: usize = 8;
/// Stack of a client's thread.
const STACK_BYTES: usize = 256 * 1024;

/// The settings of a small deployment.
const SETTINGS: &str = r#"{
 "Balancers": 1, "Ordinal": 0, "Zone": 0, "TickUs": 5000, "Discovery": "push",
 "Localities": ["hall-a", "hall-b"], "HostTypes": ["std-8c"],
 "Limits": {"Cancel": true, "SecondCopies": true, "ConnectTimeoutUs": 250000, "KeepaliveUs": 15000000,
  "MaxAttempts": 3, "MaxRetryAfterUs": 2000000, "Multiplex": 32, "OpenCap": 1000, "RetryAfter": true},
 "RequestClasses": [
  {"Name": "lookup", "Effect": "repeatable", "DedupScope": "all", "MemorySpanUs": 5000000, "SloUs": 1200000,
   "GiveUpUs": 6000000, "Value": 1.0, "LateValue": 0.1, "AimStretch": 1.5}],
 "Rules": {"AnswerSlackUs": 20000, "ColdFrom": 0.33, "DrainGraceUs": 2000000, "FallUs": 1000000,
  "RampTimeUs": 15000000, "TipMultiple": 2.5},
 "Specifics": {"ClassWaits": [true], "Grants": true, "IsLoad": [false], "MaxGrantShare": 0.4,
  "Priorities": true, "ProgressUs": 0, "RamOfKindMb": [16384.0], "SizeCores": [8], "WidthByClass": [1]}}"#;

/// What the clients have in common.
#[derive(Default)]
struct Traffic {
    has_ended: AtomicBool,
    next_trace: AtomicU64,
    served: AtomicU64,
    /// Refused or failed.
    not_served: AtomicU64,
    /// The connection ended without an answer.
    lost: AtomicU64,
}

impl Traffic {
    fn record(&self, record: &Record, peak_mb: u64) {
        let [served, not_served, lost] =
            [&self.served, &self.not_served, &self.lost].map(|count| count.load(Ordering::Relaxed));
        record.line(&format!(
            "gateway: at most {peak_mb} MB so far; served {served}, refused or failed {not_served}, lost {lost}"
        ));
    }
}

fn run(record: &Record, has_trouble: bool) -> std::io::Result<Verdict> {
    let folder = TemporaryFolder::create()?;
    let engines = start_engines(record)?;
    let ids: Vec<String> = (0..ENGINES).map(|number| format!("s-{number:08x}")).collect();
    let listed = engines.iter().zip(&ids).map(|(engine, id)| Listed { id, address: engine.address, cell: 0 });
    let listed: Vec<Listed> = listed.collect();
    let path = folder.path().join("config.json");
    let deployment =
        Deployment { engines: &listed, names: None, console: None, memory_mb: MEMORY_MB, settings: SETTINGS };
    config::write(&path, &deployment)?;
    let (address, log) = (free_address()?, folder.path().join("gateway.log"));
    let start =
        Start { address, config: &path, console: None, operator: None, temp_dir: folder.path(), log: &log };
    let mut gateway = Gateway::start(&start)?;

    let traffic = Arc::new(Traffic::default());
    let clients = (0..CLIENTS).map(|number| {
        let traffic = traffic.clone();
        let client = thread::Builder::new().stack_size(STACK_BYTES);
        client.spawn(move || {
            thread::sleep(START_INTERVAL * number as u32);
            send_queries(&traffic, address)
        })
    });
    let clients: Vec<_> = clients.collect::<Result<_, _>>()?;
    let peak_mb = watch(record, &mut gateway, &engines, &traffic, has_trouble)?;
    traffic.has_ended.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| _ = client.join());
    traffic.record(record, peak_mb);
    if traffic.served.load(Ordering::Relaxed) == 0 {
        return Ok(Verdict::Inconclusive("nothing was served".into()));
    }
    let lost = traffic.lost.load(Ordering::Relaxed);
    let text = format!(
        "the gateway held {peak_mb} MB at its peak, of {MEMORY_MB} MB; {lost} requests got no answer"
    );
    Ok(if peak_mb > MEMORY_MB { Verdict::Broken(text) } else { Verdict::Held(text) })
}

/// Lets the traffic run, with the stalls. As the platform does, kills the gateway once it is over its limit. Returns the
/// most memory that it has held, in MB.
fn watch(
    record: &Record,
    gateway: &mut Gateway,
    engines: &[Engine],
    traffic: &Traffic,
    has_trouble: bool,
) -> std::io::Result<u64> {
    let end = Instant::now() + DURATION;
    let mut next_stall = Instant::now() + STALL_INTERVAL;
    let mut peak_mb = 0;
    while Instant::now() < end {
        thread::sleep(MEMORY_CHECK_INTERVAL);
        peak_mb = peak_memory_kb(gateway)? / 1024;
        if peak_mb > MEMORY_MB {
            gateway.kill();
            record.line(&format!("the platform kills the gateway, which has held {peak_mb} MB"));
            return Ok(peak_mb);
        }
        if Instant::now() >= next_stall {
            next_stall += STALL_INTERVAL;
            traffic.record(record, peak_mb);
            if has_trouble {
                engines[..STALLED_ENGINES].iter().for_each(|engine| engine.stall(STALL));
            }
        }
    }
    Ok(peak_mb)
}

fn start_engines(record: &Record) -> std::io::Result<Vec<Engine>> {
    let (memory, runs) = (KeyMemory::new(PATIENCE), RunLog::default());
    let pages = vec![ROW.repeat(PAGE_BYTES / ROW.len()); PAGES];
    let start = |number| {
        let plan = |_: &_| Plan::Run(QUERY_TIME);
        Engine::start_with(&format!("e{number}"), &memory, &runs, record, pages.clone(), false, plan)
    };
    (0..ENGINES).map(start).collect()
}

/// Sends one query after the other, at its share of the rate.
fn send_queries(traffic: &Traffic, address: SocketAddr) -> std::io::Result<()> {
    let interval = Duration::from_secs_f64(CLIENTS as f64 / REQUESTS_PER_SECOND as f64);
    let mut client = Client::connect(address)?;
    let mut next = Instant::now();
    while !traffic.has_ended.load(Ordering::Relaxed) {
        let trace = traffic.next_trace.fetch_add(1, Ordering::Relaxed);
        let fields = Fields { route: "lookup", trace, patience: PATIENCE, nonce: None, redo: false };
        let answer = client.query(&fields, "SELECT day, count(*), max(note) FROM sales_1.orders", MARGIN);
        let count = match answer {
            Answer::Served(_) => &traffic.served,
            Answer::Lost(_) => &traffic.lost,
            Answer::Refused(..) | Answer::Failed(..) => &traffic.not_served,
        };
        count.fetch_add(1, Ordering::Relaxed);
        if matches!(answer, Answer::Lost(_)) {
            client = Client::connect(address)?;
        }
        next = (next + interval).max(Instant::now());
        thread::sleep(next - Instant::now().min(next));
    }
    Ok(())
}

/// The most memory that the process has held so far.
fn peak_memory_kb(gateway: &Gateway) -> std::io::Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.process_id()))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kb = line.and_then(|line| line.trim().strip_suffix(" kB")).and_then(|kb| kb.trim().parse().ok());
    kb.ok_or_else(|| std::io::Error::other("the gateway's memory is not known"))
}

fn main() -> ExitCode {
    case::run(run)
}
