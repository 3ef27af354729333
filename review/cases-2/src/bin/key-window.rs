//! A keyed request is run again although its key was sent before: the client's retry is kept at an engine until the
//! engines have forgotten the key, and the gateway then sends it on. `claim.txt` of the case has the details.

use reedwalk_review_cases_2::case::{self, Verdict};
use reedwalk_review_cases_2::client::{Answer, Client, Fields};
use reedwalk_review_cases_2::config::{self, Deployment, Listed};
use reedwalk_review_cases_2::engine::{Engine, KeyMemory, Plan, Pull, RunLog};
use reedwalk_review_cases_2::gateway::{Gateway, Start, TemporaryFolder, free_address};
use reedwalk_review_cases_2::record::Record;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

/// How long engines drop a repeat of a key. The site has 25 s; some days have a shorter window.
const KEY_WINDOW: Duration = Duration::from_secs(15);
/// How long the client waits for a try: 80% of the give-up time of 12.5 s.
const PATIENCE: Duration = Duration::from_secs(10);
/// How long the client waits before its retry: the `pause` of the refusal, or as long after a failure.
const BACKOFF: Duration = Duration::from_secs(2);
/// When the engine begins to hang, after the first try.
const ENGINE_HANGS_AFTER: Duration = Duration::from_millis(500);
/// When the engine that hangs dies, after the first try: it hangs for less than the 16 s of the pages.
const ENGINE_DIES_AFTER: Duration = Duration::from_millis(16_000);
/// How long the load takes.
const LOAD_TIME: Duration = Duration::from_millis(1500);
/// How long the report takes that keeps the other engine busy meanwhile.
const REPORT_TIME: Duration = Duration::from_secs(15);
/// How long the client of the report waits: its give-up time.
const REPORT_PATIENCE: Duration = Duration::from_secs(25);
/// How much earlier than the load the report is sent.
const REPORT_LEAD: Duration = Duration::from_millis(200);
/// How long a client waits past its patience for an answer.
const MARGIN: Duration = Duration::from_secs(1);
/// The idempotency key of the load.
const KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

/// The settings, with the figures of the second deployment; only the load's deadline and window are shorter.
const SETTINGS: &str = r#"{
 "Balancers": 1, "Ordinal": 0, "Zone": 0, "TickUs": 5000, "Discovery": "push",
 "Localities": ["hall-a", "hall-b"], "HostTypes": ["std-8c"],
 "Clients": {"MarksRetry": false},
 "Limits": {"Cancel": false, "SecondCopies": false, "ConnectTimeoutUs": 250000, "KeepaliveUs": 30000000,
  "MaxAttempts": 5, "MaxRetryAfterUs": 2000000, "Multiplex": 32, "OpenCap": 1000, "RetryAfter": true},
 "RequestClasses": [
  {"Name": "lookup", "Effect": "repeatable", "DedupScope": "all", "MemorySpanUs": 5000000, "SloUs": 1000000,
   "GiveUpUs": 5000000, "Value": 1.0, "LateValue": 0.1, "AimStretch": 1.5},
  {"Name": "report", "Effect": "repeatable", "DedupScope": "all", "MemorySpanUs": 5000000, "SloUs": 3000000,
   "GiveUpUs": 25000000, "Value": 7.5, "LateValue": 0.3, "AimStretch": 2.5},
  {"Name": "load", "Effect": "by_key", "DedupScope": "all", "MemorySpanUs": 15000000, "SloUs": 3000000,
   "GiveUpUs": 12500000, "Value": 5.0, "LateValue": 0.5, "AimStretch": 2.5, "InOrder": true}],
 "Rules": {"AnswerSlackUs": 20000, "ColdFrom": 0.32, "DrainGraceUs": 500000, "FallUs": 1000000,
  "RampTimeUs": 14000000, "TipMultiple": 2.0, "OrderSettleUs": 0},
 "Specifics": {"ClassWaits": [true, false, false], "Grants": true, "IsLoad": [false, false, true],
  "MaxGrantShare": 0.4, "Priorities": false, "ProgressUs": 0, "RamOfKindMb": [16384.0], "SizeCores": [8],
  "WidthByClass": [1, 3, 2]}}"#;

fn run(record: &Record, has_trouble: bool) -> std::io::Result<Verdict> {
    let folder = TemporaryFolder::create()?;
    let (memory, runs) = (KeyMemory::new(KEY_WINDOW), RunLog::default());
    let plan = |pull: &Pull| {
        let lane = pull.fields.get("lane").map_or("", String::as_str);
        Plan::Run(if lane == "load" { LOAD_TIME } else { REPORT_TIME })
    };
    let engines = [
        Engine::start("e1", &memory, &runs, record, plan)?,
        Engine::start("e2", &memory, &runs, record, plan)?,
    ];
    let listed = [
        Listed { id: "s-00000001", address: engines[0].address, cell: 0 },
        Listed { id: "s-00000002", address: engines[1].address, cell: 0 },
    ];
    let path = folder.path().join("config.json");
    let deployment =
        Deployment { engines: &listed, names: None, console: None, memory_mb: 192, settings: SETTINGS };
    config::write(&path, &deployment)?;
    let log = folder.path().join("gateway.log");
    let address = free_address()?;
    let start =
        Start { address, config: &path, console: None, operator: None, temp_dir: folder.path(), log: &log };
    let _gateway = Gateway::start(&start)?;

    let report = thread::spawn({
        let record = record.clone();
        move || send_report(&record, address, 1)
    });
    thread::sleep(REPORT_LEAD);
    let first_sent = Instant::now();
    let first = thread::spawn({
        let record = record.clone();
        move || send_load(&record, address, 1)
    });
    thread::sleep(ENGINE_HANGS_AFTER);
    let Some(first_run) = runs.runs_of_key(KEY).first().cloned() else {
        return Ok(Verdict::Inconclusive("the load did not reach an engine".into()));
    };
    let hanging = &engines[if first_run.engine == "e1" { 0 } else { 1 }];
    if has_trouble {
        // It has run the load by then, but its answer has not been sent.
        hanging.hang();
    }
    let mut answer = first.join().unwrap_or(Ok(Answer::Lost("the client failed".into())))?;
    if !matches!(answer, Answer::Served(_)) {
        thread::sleep(BACKOFF);
        let since = first_sent.elapsed();
        if since >= KEY_WINDOW {
            return Ok(Verdict::Inconclusive("the client may not retry any more".into()));
        }
        record.line(&format!("client: retries after {:.1} s, inside the window", since.as_secs_f64()));
        let retry = thread::spawn({
            let record = record.clone();
            move || send_load(&record, address, 2)
        });
        thread::sleep(ENGINE_DIES_AFTER.saturating_sub(first_sent.elapsed()));
        hanging.die();
        answer = retry.join().unwrap_or(Ok(Answer::Lost("the client failed".into())))?;
    }
    let _ = report.join();
    let loads = runs.runs_of_key(KEY);
    let times: Vec<String> = loads.iter().map(|run| format!("{} at {:.1} s", run.engine, run.at)).collect();
    let text = format!("the load ran {} times ({}), last answer {answer:?}", loads.len(), times.join(", "));
    Ok(if loads.len() > 1 { Verdict::Broken(text) } else { Verdict::Held(text) })
}

/// Sends one try of the load. At this site clients do not mark their retries.
fn send_load(record: &Record, address: SocketAddr, trace: u64) -> std::io::Result<Answer> {
    let mut client = Client::connect(address)?;
    let fields = Fields { route: "load", trace, patience: PATIENCE, nonce: Some(KEY), redo: false };
    record.line(&format!("client: load, trace {trace:016x}, key {KEY}"));
    let answer = client.query(&fields, "INSERT INTO bank_4.batches VALUES (1)", MARGIN);
    record.line(&format!("client: answer to trace {trace:016x}: {answer:?}"));
    Ok(answer)
}

/// Sends a report of the ordinary traffic.
fn send_report(record: &Record, address: SocketAddr, number: u64) -> std::io::Result<Answer> {
    let mut client = Client::connect(address)?;
    let fields =
        Fields { route: "report", trace: 100 + number, patience: REPORT_PATIENCE, nonce: None, redo: false };
    let statement =
        format!("SELECT day, count(*), max(note) FROM bank_{}.payments GROUP BY day", 10 + number);
    let answer = client.query(&fields, &statement, MARGIN);
    record.line(&format!("client: answer to report {number}: {answer:?}"));
    Ok(answer)
}

fn main() -> ExitCode {
    case::run(run)
}
