//! A keyed request runs in two cells: while the shared store is gone, a gateway ignores what it has persisted about the
//! key. `claim.txt` of the case has the details.

use reedwalk_review_cases_2::case::{self, Verdict};
use reedwalk_review_cases_2::client::{Answer, Client, Fields};
use reedwalk_review_cases_2::config::{self, Deployment, Listed};
use reedwalk_review_cases_2::engine::{Engine, KeyMemory, Plan, Pull, RunLog};
use reedwalk_review_cases_2::gateway::{Gateway, Start, TemporaryFolder, free_address};
use reedwalk_review_cases_2::record::Record;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// How long the engines of a cell drop a repeat of a key.
const KEY_WINDOW: Duration = Duration::from_secs(25);
/// How long the client waits for a try: 80% of the give-up time of 25 s.
const PATIENCE: Duration = Duration::from_secs(20);
/// How long the batch runs.
const RUN_TIME: Duration = Duration::from_millis(2500);
/// When the gateway is killed, after the batch has begun to run.
const KILLED_AFTER: Duration = Duration::from_millis(1000);
/// How long the client waits before a retry, within the 100 to 600 ms of the site file.
const BACKOFF: Duration = Duration::from_millis(200);
/// How long the run is awaited.
const RUN_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a client waits past its patience for an answer.
const MARGIN: Duration = Duration::from_secs(1);
/// The idempotency key of the batch.
const KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

/// The settings of the second deployment, but that its engines share their keys within a cell.
const SETTINGS: &str = r#"{
 "Balancers": 1, "Ordinal": 0, "Zone": 0, "TickUs": 5000, "Discovery": "push",
 "Localities": ["hall-a", "hall-b"], "HostTypes": ["std-8c"],
 "Clients": {"MarksRetry": false},
 "Limits": {"Cancel": false, "SecondCopies": false, "ConnectTimeoutUs": 250000, "KeepaliveUs": 30000000,
  "MaxAttempts": 5, "MaxRetryAfterUs": 2000000, "Multiplex": 32, "OpenCap": 1000, "RetryAfter": true},
 "RequestClasses": [
  {"Name": "lookup", "Effect": "repeatable", "DedupScope": "all", "MemorySpanUs": 5000000, "SloUs": 1000000,
   "GiveUpUs": 5000000, "Value": 1.0, "LateValue": 0.1, "AimStretch": 1.5},
  {"Name": "load", "Effect": "by_key", "DedupScope": "cell", "MemorySpanUs": 25000000, "SloUs": 3000000,
   "GiveUpUs": 25000000, "Value": 5.0, "LateValue": 0.5, "AimStretch": 2.5, "InOrder": true}],
 "Rules": {"AnswerSlackUs": 20000, "ColdFrom": 0.32, "DrainGraceUs": 500000, "FallUs": 1000000,
  "RampTimeUs": 14000000, "TipMultiple": 2.0, "OrderSettleUs": 0},
 "Specifics": {"ClassWaits": [true, false], "Grants": true, "IsLoad": [false, true], "MaxGrantShare": 0.4,
  "Priorities": false, "ProgressUs": 0, "RamOfKindMb": [16384.0], "SizeCores": [8], "WidthByClass": [1, 2]}}"#;

fn run(record: &Record, has_trouble: bool) -> std::io::Result<Verdict> {
    let folder = TemporaryFolder::create()?;
    let runs = RunLog::default();
    // An engine that has taken a batch is full until the batch has ended.
    let plan = || {
        let batches = AtomicUsize::new(0);
        move |_: &Pull| {
            let is_idle = batches.fetch_add(1, Ordering::SeqCst) == 0;
            if is_idle { Plan::Run(RUN_TIME) } else { Plan::Full }
        }
    };
    // Each engine is a cell of its own, with its own memory of keys.
    let engines = [
        Engine::start("e0", &KeyMemory::new(KEY_WINDOW), &runs, record, plan())?,
        Engine::start("e1", &KeyMemory::new(KEY_WINDOW), &runs, record, plan())?,
    ];
    let listed = [
        Listed { id: "s-00000001", address: engines[0].address, cell: 0 },
        Listed { id: "s-00000002", address: engines[1].address, cell: 1 },
    ];
    let path = folder.path().join("config.json");
    let deployment =
        Deployment { engines: &listed, names: None, console: None, memory_mb: 192, settings: SETTINGS };
    config::write(&path, &deployment)?;
    let operator = folder.path().join("operator.kdl");
    // Nothing listens at the address of the store.
    let store = format!("store redis=\"redis://{}/0\" {{\n  share-keys\n}}\n", free_address()?);
    let state = format!("state \"{}\"\n", folder.path().join("state").display());
    std::fs::write(&operator, store + &state)?;
    let log = folder.path().join("gateway.log");
    let address = free_address()?;
    // `TMPDIR` is empty at each start.
    let temp_dirs = [folder.path().join("tmp-1"), folder.path().join("tmp-2")];
    temp_dirs.iter().try_for_each(std::fs::create_dir)?;
    let start = |process: usize| {
        let temp_dir = &temp_dirs[process];
        Gateway::start(&Start {
            address,
            config: &path,
            console: None,
            operator: Some(&operator),
            temp_dir,
            log: &log,
        })
    };
    let mut gateway = start(0)?;

    let first = thread::spawn({
        let record = record.clone();
        move || send_batch(&record, address, 1)
    });
    if !wait_until(RUN_TIMEOUT, || !runs.runs_of_key(KEY).is_empty()) {
        return Ok(Verdict::Inconclusive("the batch did not reach an engine".into()));
    }
    thread::sleep(KILLED_AFTER);
    let _next_gateway = if has_trouble {
        record.line("the gateway is killed outright and started again");
        gateway.kill();
        Some(start(1)?)
    } else {
        None
    };
    let mut answer = first.join().unwrap_or(Ok(Answer::Lost("the client failed".into())))?;
    let mut trace = 1;
    // The client repeats what the gateway held when it died, and what is refused, inside the window.
    while matches!(answer, Answer::Lost(_) | Answer::Refused(..)) && trace < 3 {
        trace += 1;
        thread::sleep(BACKOFF);
        answer = send_batch(record, address, trace)?;
    }
    // Whatever is still running at an engine comes to its end.
    thread::sleep(RUN_TIME);
    let batches = runs.runs_of_key(KEY);
    let times: Vec<String> = batches.iter().map(|run| format!("{} at {:.1} s", run.engine, run.at)).collect();
    let text =
        format!("the batch ran {} times ({}), last answer {answer:?}", batches.len(), times.join(", "));
    Ok(if batches.len() > 1 { Verdict::Broken(text) } else { Verdict::Held(text) })
}

/// Waits until a condition holds; returns whether it did in time.
fn wait_until(timeout: Duration, condition: impl Fn() -> bool) -> bool {
    let deadline = Instant::now() + timeout;
    while !condition() {
        if Instant::now() > deadline {
            return false;
        }
        thread::sleep(Duration::from_millis(10));
    }
    true
}

/// Sends one try of the batch. At this site clients do not mark their retries.
fn send_batch(record: &Record, address: SocketAddr, trace: u64) -> std::io::Result<Answer> {
    let mut client = Client::connect(address)?;
    let fields = Fields { route: "load", trace, patience: PATIENCE, nonce: Some(KEY), redo: false };
    record.line(&format!("client: load, trace {trace:016x}, key {KEY}"));
    let answer = client.query(&fields, "INSERT INTO bank_4.batches VALUES (1)", MARGIN);
    record.line(&format!("client: answer to trace {trace:016x}: {answer:?}"));
    Ok(answer)
}

fn main() -> ExitCode {
    case::run(run)
}
