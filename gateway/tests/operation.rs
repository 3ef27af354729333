//! Day-to-day operation: the console, the figures, engines taken out by hand, and two processes at one address.

mod support;

use reedwalk_gateway::config::Config;
use reedwalk_gateway::limits::Limits;
use reedwalk_gateway::operator::{EngineWire, Operator};
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::console::{call, figures, send, shows, yes};
use support::mysql::{Client, fields};
use support::process::Process;
use support::{
    Ended, World, both_fronts, config, discovery_server, flight, folder, gateway, known, resp, settings,
    until,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const ANY: &str = "127.0.0.1:0";

/// A configuration with a console, in a folder of its own.
fn with_console(engines: &[SocketAddr]) -> Config {
    Config { console: Some(ANY.parse().unwrap()), ..config(engines) }
}

fn lookup(n: usize) -> String {
    fields("lookup", 3000, None, &format!("SELECT {n}"))
}

/// A front end whose processes share a folder and a clients' address.
struct Site {
    folder: PathBuf,
    config: PathBuf,
    listen: SocketAddr,
    /// Keeps the address from others; it never listens.
    _held: tokio::net::TcpSocket,
}

impl Site {
    fn new(engines: &[SocketAddr], names: Option<SocketAddr>, sockets: usize) -> Self {
        let held = tokio::net::TcpSocket::new_v4().unwrap();
        held.set_reuseport(true).unwrap();
        held.set_reuseaddr(true).unwrap();
        held.bind(ANY.parse().unwrap()).unwrap();
        let (folder, listen) = (folder(), held.local_addr().unwrap());
        let config = folder.with_extension("json");
        let text = json!({"name": "n0", "listen": listen, "console": ANY, "seed": "8c1f30d27a5be964", "names": names,
            "limits": {"cores": 1.0, "memory_mb": 48, "sockets": sockets}, "known": known(engines), "settings": settings()});
        std::fs::write(&config, text.to_string()).unwrap();
        Self { folder, config, listen, _held: held }
    }

    fn start(&self) -> Process {
        Process::start(&self.config, &self.folder, None)
    }

    /// The file in which the operators' words are kept.
    fn record(&self) -> PathBuf {
        self.folder.join(format!("reedwalk-n0-127.0.0.1-{}.words", self.listen.port()))
    }
}

async fn engines(world: &World) -> [SocketAddr; 2] {
    [resp::engine("a", world.clone()).await, resp::engine("b", world.clone()).await]
}

// ---- Console

#[tokio::test]
async fn each_line_gets_one_answer_with_a_reason_if_it_fails() {
    let world = World::default();
    let running = gateway(with_console(&engines(&world).await), Operator::default()).await;
    let console = running.console.unwrap();
    assert_eq!(call(console, "HEALTH").await, "SUCCESS\n");
    assert_eq!(send(console, b"HEALTH\n").await.unwrap(), "SUCCESS\n");
    let long = [b'A'; 400];
    let bad: [&[u8]; 11] = [
        b"\n",
        b"  \r\n",
        b"health\n",
        b"HEALTH now\n",
        b"OFFLINE\n",
        b"OFFLINE s-0 s-1\n",
        b"OFFLINE s-9\n",
        b"ONLINE s-9\n",
        b"OFFLINE \xff\n",
        b"HEA\rLTH\n",
        &long,
    ];
    for line in bad {
        let answer = send(console, line).await.unwrap();
        assert!(answer.starts_with("FAILURE ") && answer.matches('\n').count() == 1, "{line:?}: {answer:?}");
    }
    // What ends with the connection may be the beginning of something else.
    let mut cut = TcpStream::connect(console).await.unwrap();
    cut.write_all(b"OFFLINE s-0").await.unwrap();
    cut.shutdown().await.unwrap();
    let mut answer = String::new();
    tokio::io::AsyncReadExt::read_to_string(&mut cut, &mut answer).await.unwrap();
    assert!(answer.starts_with("FAILURE"), "{answer}");
    assert_eq!(figures(console).await["members_unavailable"], 0);
}

#[tokio::test]
async fn incomplete_console_lines_block_nobody() {
    let world = World::default();
    let running = gateway(with_console(&engines(&world).await), Operator::default()).await;
    let console = running.console.unwrap();
    let mut slow = Vec::new();
    for n in 0..300 {
        let mut stream = TcpStream::connect(console).await.unwrap();
        stream.write_all(if n % 2 == 0 { b"HEAL" } else { b"" }).await.unwrap();
        slow.push(stream);
        if n % 20 == 0 {
            let asked = Instant::now();
            assert!(yes(console, "HEALTH").await);
            assert!(asked.elapsed() < Duration::from_secs(1), "an operator waited {:?}", asked.elapsed());
        }
    }
    let most = reedwalk_gateway::console::MAX_CONNECTIONS;
    let mut open = slow.len();
    let by = Instant::now() + Duration::from_secs(2);
    while open > most && Instant::now() < by {
        tokio::time::sleep(Duration::from_millis(10)).await;
        let mut byte = [0; 1];
        open = slow.iter().filter(|s| !matches!(s.try_read(&mut byte), Ok(0))).count();
    }
    assert!(open <= most, "{open} callers hold places");
}

#[tokio::test]
async fn waiting_console_command_is_answered_despite_newer_connections() {
    let world = World::default();
    let config = with_console(&engines(&world).await);
    let folder = config.folder.clone();
    let running = gateway(config, Operator::default()).await;
    let console = running.console.unwrap();
    // Makes the files of the record; then another process holds its lock.
    assert!(yes(console, "OFFLINE s-0").await);
    let mut files = std::fs::read_dir(folder).unwrap().map(|f| f.unwrap().path());
    let lock = files.find(|f| f.extension().is_some_and(|e| e == "words-lock")).unwrap();
    let lock = std::fs::File::open(lock).unwrap();
    lock.lock().unwrap();
    let mut waits = TcpStream::connect(console).await.unwrap();
    waits.write_all(b"ONLINE s-0\n").await.unwrap();
    let mut newcomers = Vec::new();
    for _ in 0..3 * reedwalk_gateway::console::MAX_CONNECTIONS {
        newcomers.push(TcpStream::connect(console).await.unwrap());
    }
    // An answer to a later call says that all who came before it have been let in.
    assert!(yes(console, "HEALTH").await);
    drop(lock);
    let mut answer = String::new();
    tokio::io::AsyncReadExt::read_to_string(&mut waits, &mut answer).await.unwrap();
    assert_eq!(answer, "SUCCESS\n");
    shows(console, "the call back", |f| f["members_unavailable"] == 0).await;
}

// ---- Figures

#[tokio::test]
async fn metrics_match_what_clients_and_engines_counted() {
    let world = World::default();
    let engines = [flight::engine("a", world.clone()).await, flight::engine("b", world.clone()).await];
    for wire in [EngineWire::FlightSql, EngineWire::Resp] {
        let engines = match wire {
            EngineWire::FlightSql => engines,
            EngineWire::Resp => self::engines(&world).await,
        };
        let before = world.sends("a") + world.sends("b");
        let running = gateway(with_console(&engines), both_fronts(wire)).await;
        let console = running.console.unwrap();
        let start = figures(console).await;
        assert_eq!(start["completed.lookup"] + start["failed.adjust"] + start["pending"], 0);
        assert_eq!((start["members"], start["members_unavailable"]), (2, 0));
        let (mut client, other) =
            (Client::connect(running.mysql).await, flight::Client::connect(running.flight.unwrap()).await);
        let (mut served, mut failed, mut refused) = (0, 0, 0);
        for n in 0..12 {
            let text = ["SELECT", "ERROR", "BUSY", "SELECT"][n % 4];
            let statement = format!("{text} {wire:?} {n}");
            let ends = [
                client.ended(&fields("lookup", 2000, None, &statement)).await,
                flight::ended(other.of("lookup", None).ask(&format!("{statement} too")).await),
            ];
            for end in ends {
                match end {
                    Ended::Served => served += 1,
                    Ended::Refused(..) => refused += 1,
                    Ended::Failed(_) => failed += 1,
                    Ended::BadInput => panic!("bad input"),
                }
            }
        }
        // A keyed class without its key is answered by the front itself.
        assert_eq!(client.ended(&fields("batch-post", 2000, None, "INSERT 1")).await, Ended::BadInput);
        // One whose client leaves, and one that is cut: under no count, and not pending.
        let mut leaves = Client::connect(running.mysql).await;
        leaves.stream_query(&fields("lookup", 2000, None, &format!("HANG {wire:?}"))).await;
        shows(console, "the request that waits", |f| f["pending"] == 1).await;
        drop(leaves);
        let sends = || (world.sends("a") + world.sends("b") - before) as u64;
        let want = |f: &std::collections::HashMap<String, u64>| {
            f["completed.lookup"] == served
                && f["rejected.lookup"] == refused
                && f["failed.lookup"] == failed
                && f["failed.batch-post"] == 1
                && f["completed.statement"] == 0
                && f["pending"] == 0
                && f["upstream_requests"].abs_diff(sends()) <= 3
        };
        let asked = Instant::now();
        shows(console, &format!("{served} {refused} {failed}, {} sends", sends()), want).await;
        assert!(asked.elapsed() < Duration::from_millis(500), "figures came late");
        assert!(served > 0 && failed + refused > 0);
    }
}

// ---- Engines out by hand

#[tokio::test]
async fn engine_out_of_service_gets_nothing_new_and_finishes_its_work() {
    let world = World::default();
    let mut settings = settings();
    settings["RequestClasses"][0]["SloUs"] = json!(6_000_000);
    let engines = engines(&world).await;
    let deployment = reedwalk_settings::read(&settings).unwrap();
    let config = Config { deployment, ..with_console(&engines) };
    let running = gateway(config, Operator { cores: 4, ..Operator::default() }).await;
    let console = running.console.unwrap();
    let stop = Arc::new(AtomicBool::new(false));
    let ended: Arc<Mutex<Vec<Ended>>> = Arc::default();
    let load = (0..24).map(|n| {
        let (stop, ended) = (stop.clone(), ended.clone());
        tokio::spawn(async move {
            let mut client = Client::connect(running.mysql).await;
            for turn in 0.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let end = client.ended(&fields("lookup", 5000, None, &format!("SELECT {n} {turn}"))).await;
                ended.lock().unwrap().push(end);
            }
        })
    });
    let load: Vec<_> = load.collect();
    until("both engines are used", || world.sends("a") > 20 && world.sends("b") > 20).await;
    assert!(yes(console, "OFFLINE s-0").await);
    let answered = tokio::time::Instant::now();
    let count = ended.lock().unwrap().len();
    until("others are served meanwhile", || ended.lock().unwrap().len() > count + 500).await;
    // A little was on the wire when the yes was written; nothing was written after it.
    let late = |world: &World| {
        let script = world.0.lock().unwrap();
        script.sends.iter().filter(|s| s.0 == "a" && s.1 > answered + Duration::from_millis(50)).count()
    };
    assert_eq!(late(&world), 0, "sent to an engine that is out");
    assert!(yes(console, "OFFLINE s-0").await, "a second call out is a yes");
    shows(console, "the engine that is out", |f| f["members"] == 2 && f["members_unavailable"] == 1).await;
    assert!(yes(console, "ONLINE s-0").await, "one call back undoes both");
    until("it is used again", || late(&world) > 0).await;
    stop.store(true, Ordering::Relaxed);
    for one in load {
        one.await.unwrap();
    }
    assert!(ended.lock().unwrap().iter().all(|e| *e == Ended::Served), "a request was lost to the call");
}

#[tokio::test]
async fn override_takes_precedence_over_the_endpoint_list() {
    let world = World::default();
    let [a, b] = engines(&world).await;
    let engine = |id: &'static str, address, draining, started_ms| discovery_server::Engine {
        id: id.into(),
        address,
        draining,
        started_ms,
    };
    let list: discovery_server::List =
        Arc::new(Mutex::new((2, vec![engine("s-0", a, false, 0), engine("s-1", b, false, 0)])));
    let (server, told) = discovery_server::server(list.clone()).await;
    let running = gateway(Config { names: Some(server), ..with_console(&[a, b]) }, Operator::default()).await;
    let console = running.console.unwrap();
    let mut client = Client::connect(running.mysql).await;
    assert!(yes(console, "OFFLINE s-0").await);
    let before = world.sends("a");
    let news = [
        vec![engine("s-0", a, true, 0), engine("s-1", b, false, 0)],
        vec![engine("s-1", b, false, 0)],
        vec![engine("s-0", a, false, 1_764_612_345_678), engine("s-1", b, false, 0)],
        vec![engine("s-0", a, false, 1_764_612_345_999), engine("s-1", b, false, 7)],
    ];
    for (serial, engines) in (3..).zip(news) {
        let members = engines.len() as u64;
        let asked = *told.lock().unwrap();
        *list.lock().unwrap() = (serial, engines);
        until("the list was read", || *told.lock().unwrap() > asked + 1).await;
        shows(console, "the list", |f| f["members"] == members && f["members_unavailable"] == members - 1)
            .await;
        for n in 0..6 {
            assert_eq!(client.ended(&lookup(n)).await, Ended::Served);
        }
    }
    assert_eq!(world.sends("a"), before, "the list has overruled the operator");
    let connections = world.connections("a");
    assert!(yes(console, "ONLINE s-0").await);
    let by = Instant::now() + Duration::from_secs(5);
    for n in 0.. {
        assert_eq!(client.ended(&lookup(100 + n)).await, Ended::Served);
        if world.sends("a") > before {
            break;
        }
        assert!(Instant::now() < by, "it was not used again");
    }
    assert!(world.connections("a") > connections || before == 0, "a connection of its earlier stay was used");
}

#[tokio::test]
async fn override_that_cannot_be_stored_is_reported_as_failed() {
    let world = World::default();
    let engines = engines(&world).await;
    let site = Site::new(&engines, None, 256);
    // Nothing can be renamed over a folder that holds something.
    std::fs::create_dir_all(site.record().join("in-the-way")).unwrap();
    let process = site.start();
    let answer = call(process.console, "OFFLINE s-0").await;
    assert!(answer.starts_with("FAILURE"), "{answer}");
    assert_eq!(figures(process.console).await["members_unavailable"], 0);
    assert_eq!(process.said("record of operators' words not used"), 1, "said once");
}

#[tokio::test]
async fn call_command_runs_the_commands_of_the_on_call_page() {
    let world = World::default();
    let site = Site::new(&engines(&world).await, None, 256);
    let process = site.start();
    let console = process.console.to_string();
    let called = |words: &[&str]| {
        let out = Command::new(env!("CARGO_BIN_EXE_reedwalk")).arg("call").args(words).output().unwrap();
        (out.status.code(), String::from_utf8(out.stdout).unwrap())
    };
    let yes = (Some(0), "SUCCESS\n".to_owned());
    assert_eq!(called(&[&console, "HEALTH"]), yes);
    assert_eq!(called(&[&console, "OFFLINE", "s-0"]), yes);
    shows(process.console, "the call out", |f| f["members_unavailable"] == 1).await;
    let (code, dump) = called(&[&console, "DUMP"]);
    assert!(code == Some(0) && dump.contains("svc.members:2|g\n") && dump.ends_with("EOT\n"), "{dump}");
    assert_eq!(called(&[&console, "ONLINE", "s-0"]), yes);
    let (code, why) = called(&[&console, "OFFLINE", "s-7"]);
    assert_eq!((code, why.as_str()), (Some(1), "FAILURE no engine of this id was ever listed\n"));
    // Nobody there, and no address at all.
    drop(process);
    assert_eq!(called(&[&console, "HEALTH"]), (Some(1), String::new()));
    assert_eq!(called(&["HEALTH"]), (Some(1), String::new()));
}

// ---- Two processes

/// Load from clients that connect for each request, and from such that keep their connections.
struct Load {
    stop: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
    lost: Arc<AtomicUsize>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Load {
    fn start(address: SocketAddr) -> Self {
        let (stop, served, lost) = (Arc::default(), Arc::default(), Arc::default());
        let mut load = Self { stop, served, lost, tasks: Vec::new() };
        for n in 0..12 {
            let (stop, served, lost) = (load.stop.clone(), load.served.clone(), load.lost.clone());
            load.tasks.push(tokio::spawn(async move {
                let (mut kept, keeps) = (None, n % 2 == 0);
                for turn in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let client = match kept.take() {
                        Some(client) => Some(client),
                        None => Client::try_connect_as(address, "app").await,
                    };
                    let Some(mut client) = client else {
                        lost.fetch_add(1, Ordering::Relaxed);
                        continue;
                    };
                    match client.try_ask(&lookup(n * 1_000_000 + turn)).await {
                        Some(Ok(_)) => {
                            served.fetch_add(1, Ordering::Relaxed);
                        }
                        Some(Err(refused)) => panic!("refused or failed: {refused:?}"),
                        // A request on a kept connection that crosses its close may be sent again, on a new one.
                        None if keeps && turn > 0 => continue,
                        None => {
                            lost.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                    tokio::time::sleep(Duration::from_millis(2)).await;
                    kept = keeps.then_some(client);
                }
            }));
        }
        load
    }

    async fn more(&self, requests: usize) {
        let now = self.served.load(Ordering::Relaxed);
        until("more is served", || self.served.load(Ordering::Relaxed) > now + requests).await;
    }

    async fn end(self) -> usize {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.unwrap();
        }
        self.lost.load(Ordering::Relaxed)
    }
}

#[tokio::test]
async fn hot_restart_under_load_rejects_nobody() {
    let world = World::default();
    let site = Site::new(&engines(&world).await, None, 256);
    let mut old = site.start();
    let load = Load::start(site.listen);
    load.more(100).await;
    let new = site.start();
    assert!(yes(new.console, "HEALTH").await && yes(old.console, "HEALTH").await);
    load.more(100).await;
    old.signal("-TERM");
    assert_eq!(old.exit_code().await, Some(0));
    load.more(100).await;
    let lost = load.end().await;
    assert!(lost <= 2, "{lost} requests met a closed door");
    let counted = figures(new.console).await;
    assert!(counted["completed.lookup"] >= 100 && counted["pending"] == 0, "{counted:?}");
}

#[tokio::test]
async fn connections_in_the_old_listener_queue_are_served() {
    let world = World::default();
    let site = Site::new(&engines(&world).await, None, 1024);
    let mut old = site.start();
    let new = site.start();
    // It stands still: who comes to it now waits in its queue.
    old.signal("-STOP");
    let mut queued = Vec::new();
    // Fewer than the strangers that a closing process has room for, even if all of them came to it.
    for _ in 0..36 {
        queued.push(TcpStream::connect(site.listen).await.unwrap());
    }
    old.signal("-TERM");
    old.signal("-CONT");
    for (n, stream) in queued.into_iter().enumerate() {
        let mut client = Client::login(stream, "app").await.expect("turned away at the close");
        assert_eq!(client.ended(&lookup(n)).await, Ended::Served);
    }
    assert_eq!(old.exit_code().await, Some(0));
    assert!(yes(new.console, "HEALTH").await);
}

#[tokio::test]
async fn lone_process_accepts_after_sigterm_then_reports_unhealthy() {
    let world = World::default();
    let site = Site::new(&engines(&world).await, None, 256);
    let mut process = site.start();
    // Its request keeps the process until its patience ends, past the overlap.
    let mut waits = Client::connect(site.listen).await;
    waits.stream_query(&fields("lookup", 2000, None, "HANG on")).await;
    shows(process.console, "the request that waits", |f| f["pending"] == 1).await;
    process.signal("-TERM");
    until("it closes", || process.said("closing") > 0).await;
    let mut late = Client::connect(site.listen).await;
    assert_eq!(late.ended(&lookup(1)).await, Ended::Served);
    drop(late);
    let console = process.console;
    let by = Instant::now() + Duration::from_secs(10);
    loop {
        let answer = call(console, "HEALTH").await;
        if answer == "FAILURE this process takes no clients\n" {
            break;
        }
        assert_eq!(answer, "SUCCESS\n", "it ended without a no");
        assert!(Instant::now() < by, "it never said no");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(process.exit_code().await, Some(0));
}

#[tokio::test]
async fn override_holds_in_both_processes_and_survives_them() {
    let world = World::default();
    let site = Site::new(&engines(&world).await, None, 256);
    let out = |f: &std::collections::HashMap<String, u64>| f["members_unavailable"] == 1;
    let none = |f: &std::collections::HashMap<String, u64>| f["members_unavailable"] == 0;
    let old = site.start();
    assert!(yes(old.console, "OFFLINE s-0").await);
    let new = site.start();
    shows(new.console, "the word of before", out).await;
    assert!(yes(new.console, "ONLINE s-0").await);
    shows(old.console, "the call back", none).await;
    assert!(yes(old.console, "OFFLINE s-1").await);
    shows(new.console, "the word given to the other", out).await;
    let before = world.sends("b");
    for n in 0..10 {
        let mut client = Client::connect(site.listen).await;
        assert_eq!(client.ended(&lookup(n)).await, Ended::Served);
    }
    assert_eq!(world.sends("b"), before);
    // Neither end takes the word along, nor does the part that the dead one had stay taken.
    drop(old);
    until("it is alone", || new.said("part: 1,") > 0 || new.said("part: 1") > 0).await;
    assert!(figures(new.console).await["members_unavailable"] == 1);
    drop(new);
    let third = site.start();
    shows(third.console, "the word of before", out).await;
    assert!(yes(third.console, "ONLINE s-1").await);
    shows(third.console, "the call back", none).await;
}

#[tokio::test]
async fn three_processes_share_capacity_and_one_too_many_is_reported() {
    let world = World::default();
    let site = Site::new(&engines(&world).await, None, 256);
    let first = site.start();
    let mut others: Vec<_> = (0..2).map(|_| site.start()).collect();
    until("it has a third", || first.said("part: 0.3333") > 0).await;
    assert!(yes(others[1].console, "OFFLINE s-0").await);
    shows(first.console, "a word given to the third", |f| f["members_unavailable"] == 1).await;
    // A place for a fourth, and none for a fifth, which counts as alone.
    others.extend((0..2).map(|_| site.start()));
    assert_eq!(others[2].said("no place among the processes"), 0);
    assert_eq!(others[3].said("no place among the processes"), 1);
    shows(others[3].console, "the word all the same", |f| f["members_unavailable"] == 1).await;
    drop(others);
    until("it is alone", || first.said("part: 1") > 0).await;
}

#[tokio::test]
async fn stored_but_unanswered_override_holds_in_the_next_process() {
    let world = World::default();
    let site = Site::new(&engines(&world).await, None, 256);
    let process = site.start();
    let mut caller = TcpStream::connect(process.console).await.unwrap();
    caller.write_all(b"OFFLINE s-0\n").await.unwrap();
    until("it is kept", || site.record().exists()).await;
    drop(process);
    let next = site.start();
    shows(next.console, "the word", |f| f["members_unavailable"] == 1).await;
    assert!(!yes(next.console, "OFFLINE s-7").await);
}

#[tokio::test]
async fn corrupted_override_file_is_logged_once_and_serving_continues() {
    let world = World::default();
    let site = Site::new(&engines(&world).await, None, 256);
    {
        let process = site.start();
        assert!(yes(process.console, "OFFLINE s-0").await);
    }
    let whole = std::fs::read(site.record()).unwrap();
    let mut garbled = whole.clone();
    garbled[20] ^= 1;
    let unknown = b"reedwalk words 9\nend 0 00000000\n".to_vec();
    for bad in [garbled, whole[..whole.len() - 3].to_vec(), unknown, Vec::new()] {
        std::fs::write(site.record(), &bad).unwrap();
        let process = site.start();
        shows(process.console, "no word", |f| f["members_unavailable"] == 0).await;
        assert_eq!(process.said("record of operators' words not used"), 1);
        let mut client = Client::connect(site.listen).await;
        assert_eq!(client.ended(&lookup(1)).await, Ended::Served);
        assert!(yes(process.console, "OFFLINE s-0").await, "a new word is kept all the same");
        assert_eq!(process.said("record of operators' words not used"), 1);
    }
}

#[tokio::test]
async fn shared_capacity_evicts_no_active_session() {
    let world = World::default();
    let site = Site::new(&engines(&world).await, None, 128);
    let old = site.start();
    let load = Load::start(site.listen);
    let mut crowd = Vec::new();
    for n in 0..600 {
        let mut stream = TcpStream::connect(site.listen).await.unwrap();
        // Some stop half way through their login, some say nothing.
        let _ = stream.write_all(if n % 2 == 0 { &[60, 0, 0, 1, 0x0d] } else { &[] }).await;
        crowd.push(stream);
    }
    load.more(50).await;
    let new = site.start();
    load.more(50).await;
    // Many who ask once and then say nothing more, at either process.
    let mut idle = Vec::new();
    for n in 0..110 {
        if let Some(mut client) = Client::try_connect_as(site.listen, "app").await {
            assert!(client.try_ask(&lookup(n)).await.is_some_and(|end| end.is_ok()));
            idle.push(client);
        }
    }
    let descriptors = |p: &Process| {
        std::fs::read_dir(Path::new("/proc").join(p.child.id().to_string()).join("fd")).unwrap().count()
    };
    let both = descriptors(&old) + descriptors(&new);
    assert!(both <= 128, "{both} descriptors in both");
    drop(old);
    load.more(50).await;
    // Requests of the killed process are lost with it, and no others.
    load.end().await;
    drop((crowd, idle));
    assert!(yes(new.console, "HEALTH").await);
}

#[tokio::test]
async fn without_a_console_nothing_is_stored_and_the_address_is_not_shared() {
    let world = World::default();
    let one = config(&engines(&world).await);
    let (folder, limits) = (one.folder.clone(), Limits::default());
    let running = gateway(Config { limits, ..one.clone() }, Operator::default()).await;
    assert_eq!(running.console, None);
    assert_eq!(std::fs::read_dir(folder).unwrap().count(), 0);
    let second = Config { listen: running.mysql, ..one };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    assert!(reedwalk_gateway::serve::start(second, Operator::default(), &log).await.is_err());
}
