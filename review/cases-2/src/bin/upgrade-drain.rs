//! A draining engine gets new work after an upgrade: the new process begins with the list of the first start, and
//! nothing tells it what the old process had been told. `claim.txt` of the case has the details.

use reedwalk_review_cases_2::case::{self, Verdict};
use reedwalk_review_cases_2::client::{Answer, Client, Fields};
use reedwalk_review_cases_2::config::{self, Deployment, Listed};
use reedwalk_review_cases_2::engine::{Engine, KeyMemory, Plan, RunLog};
use reedwalk_review_cases_2::gateway::{Gateway, Start, TemporaryFolder, free_address};
use reedwalk_review_cases_2::name_server::{NameServer, NamedEngine};
use reedwalk_review_cases_2::record::Record;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The engine that drains.
const DRAINING: &str = "s-00000001";
/// All engines of the list.
const IDS: [&str; 4] = [DRAINING, "s-00000002", "s-00000003", "s-00000004"];
/// When the engine begins to drain.
const DRAIN_AT: Duration = Duration::from_secs(1);
/// When the name server stops answering.
const SILENT_AT: Duration = Duration::from_secs(7);
/// How long it does not answer.
const SILENCE: Duration = Duration::from_secs(8);
/// When the platform starts the second process.
const UPGRADE_AT: Duration = Duration::from_millis(7_500);
/// How long the drain rule allows new work after the word of a drain.
const DRAIN_GRACE: Duration = Duration::from_secs(2);
/// From then on, counted from the new process's yes, the news of the name server binds.
const NEWS_BINDS_AFTER: Duration = Duration::from_secs(2);
/// By how much each time limit is longer on sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// How long the old process may go on after SIGTERM: the longest deadline, at most 5 s, and 0.7 s.
const OLD_PROCESS_TIME: Duration = Duration::from_millis(5_700);
/// Clients that send queries.
const CLIENTS: usize = 12;
/// Time between two queries of a client.
const QUERY_INTERVAL: Duration = Duration::from_millis(50);
/// How long an engine works on a query: shorter than the time to its first note of progress.
const QUERY_TIME: Duration = Duration::from_millis(100);
/// How long a client waits.
const PATIENCE: Duration = Duration::from_secs(6);
/// How long a client waits past its patience.
const MARGIN: Duration = Duration::from_secs(1);

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
  "Priorities": true, "ProgressUs": 500000, "RamOfKindMb": [16384.0], "SizeCores": [8], "WidthByClass": [1]}}"#;

fn run(record: &Record, has_trouble: bool) -> std::io::Result<Verdict> {
    let folder = TemporaryFolder::create()?;
    let (memory, runs) = (KeyMemory::new(PATIENCE), RunLog::default());
    let pages = vec!["a\tb\tc\n".to_owned()];
    let plan = |_: &_| Plan::Run(QUERY_TIME);
    let engines = IDS.map(|id| Engine::start_with(id, &memory, &runs, record, pages.clone(), false, plan));
    let engines = engines.into_iter().collect::<std::io::Result<Vec<_>>>()?;
    let named = IDS.iter().zip(&engines).map(|(id, engine)| {
        let port = engine.address.port();
        NamedEngine { id: (*id).to_owned(), port, is_draining: false }
    });
    let name_server = NameServer::start(named.collect(), record)?;
    let listed = IDS.iter().zip(&engines).map(|(id, engine)| Listed { id, address: engine.address, cell: 0 });
    let listed: Vec<Listed> = listed.collect();
    let path = folder.path().join("config.json");
    let names = Some(name_server.address);
    config::write(
        &path,
        &Deployment { engines: &listed, names, console: None, memory_mb: 192, settings: SETTINGS },
    )?;
    let (address, log) = (free_address()?, folder.path().join("gateway.log"));
    // The second process has another console; everything else is the same, and TMPDIR is as left.
    let start = |console: SocketAddr| {
        let console = Some(console);
        Gateway::start(&Start {
            address,
            config: &path,
            console,
            operator: None,
            temp_dir: folder.path(),
            log: &log,
        })
    };
    let mut old = start(free_address()?)?;
    let began = Instant::now();
    let sleep_until = |at: Duration| thread::sleep(at.saturating_sub(began.elapsed()));

    let traffic = Arc::new(Traffic::default());
    let clients = (0..CLIENTS).map(|_| {
        let traffic = traffic.clone();
        thread::spawn(move || send_queries(&traffic, address))
    });
    let clients: Vec<_> = clients.collect();
    sleep_until(DRAIN_AT);
    name_server.drain(DRAINING);
    sleep_until(SILENT_AT);
    if !name_server.has_told() {
        return Ok(Verdict::Inconclusive("the gateway was not told of the drain".into()));
    }
    let before = runs.runs_at(DRAINING).len();
    record.line(&format!(
        "{DRAINING}: {before} queries so far, the drain was told; served {}",
        traffic.served()
    ));
    if has_trouble {
        name_server.set_silent(true);
    }
    sleep_until(UPGRADE_AT);
    record.line("the platform starts the second process");
    let _new = start(free_address()?)?;
    let ready_at = record.seconds();
    record.line("the new process says yes; SIGTERM to the old one");
    old.terminate()?;
    let killer = thread::spawn(move || {
        thread::sleep(OLD_PROCESS_TIME);
        old.kill();
    });
    sleep_until(SILENT_AT + SILENCE);
    if has_trouble {
        name_server.set_silent(false);
    }
    sleep_until(SILENT_AT + SILENCE + DRAIN_GRACE);
    traffic.has_ended.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| _ = client.join());
    let _ = killer.join();

    let allowed_until = ready_at + (NEWS_BINDS_AFTER + DRAIN_GRACE + SOCKET_SLACK).as_secs_f64();
    let late: Vec<_> = runs.runs_at(DRAINING).into_iter().filter(|run| run.at > allowed_until).collect();
    let all = runs.runs_at(DRAINING).len() - before;
    record.line(&format!("{DRAINING}: {all} queries after the upgrade; served {} in all", traffic.served()));
    let text = format!(
        "{} queries reached the draining engine later than {allowed_until:.2} s, the last at {:.2} s",
        late.len(),
        late.last().map_or(0.0, |run| run.at)
    );
    Ok(if late.is_empty() { Verdict::Held(text) } else { Verdict::Broken(text) })
}

/// What the client and the test share.
#[derive(Default)]
struct Traffic {
    has_ended: AtomicBool,
    next_trace: AtomicU64,
    served: AtomicU64,
}

impl Traffic {
    fn served(&self) -> u64 {
        self.served.load(Ordering::Relaxed)
    }
}

/// Sends one query after the other, each on a new connection.
fn send_queries(traffic: &Traffic, address: SocketAddr) {
    while !traffic.has_ended.load(Ordering::Relaxed) {
        let trace = traffic.next_trace.fetch_add(1, Ordering::Relaxed);
        let fields = Fields { route: "lookup", trace, patience: PATIENCE, nonce: None, redo: false };
        let answer = Client::connect(address)
            .map(|mut client| client.query(&fields, "SELECT a, b, c FROM sales_1.orders", MARGIN));
        if matches!(answer, Ok(Answer::Served(_))) {
            traffic.served.fetch_add(1, Ordering::Relaxed);
        }
        thread::sleep(QUERY_INTERVAL);
    }
}

fn main() -> ExitCode {
    case::run(run)
}
