//! The program itself: started as a process, ended by SIGTERM.

mod support;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::mysql::{Client, expected, fields};
use support::{Ended, World, discovery_server, known, resp, settings, until};

/// Ends the process by its id when a test fails halfway.
struct Ending(Child);

impl Drop for Ending {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn reedwalk() -> Command {
    Command::new(env!("CARGO_BIN_EXE_reedwalk"))
}

fn configuration(engines: &[SocketAddr], names: Option<SocketAddr>) -> String {
    let config = serde_json::json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "names": names,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known(engines), "settings": settings()});
    config.to_string()
}

/// Starts the program on any port and reads where it listens from its log. Its configuration stands in a file.
fn started(config: &str, operator: Option<&str>) -> (Ending, PathBuf, Log, SocketAddr, Option<SocketAddr>) {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let file = |name: &str| {
        std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("reedwalk-{}-{number}-{name}", std::process::id()))
    };
    std::fs::write(file("config"), config).unwrap();
    let mut command = reedwalk();
    command.arg("serve").arg("--config").arg(file("config"));
    if let Some(operator) = operator {
        std::fs::write(file("operator"), operator).unwrap();
        command.arg("--operator").arg(file("operator"));
    }
    let mut child = Ending(command.env_remove("GW_LISTEN").stderr(Stdio::piped()).spawn().unwrap());
    let mut lines = BufReader::new(child.0.stderr.take().unwrap()).lines();
    let line = lines.by_ref().map(Result::unwrap).find(|l| l.contains("serving")).expect("it did not start");
    // Its log is read on, so that it never waits for room in the pipe.
    let log = Log::default();
    let said = log.clone();
    std::thread::spawn(move || lines.for_each(|l| said.0.lock().unwrap().push(l.unwrap())));
    let after = |name: &str| {
        line.find(name).and_then(|at| {
            line[at + name.len()..].split([',', ')']).next()?.trim().trim_start_matches("Some(").parse().ok()
        })
    };
    (child, file("config"), log, after("mysql:").expect("no address"), after("flight:"))
}

/// What it has said since it serves.
#[derive(Clone, Default)]
struct Log(Arc<Mutex<Vec<String>>>);

impl Log {
    fn count(&self, what: &str) -> usize {
        self.0.lock().unwrap().iter().filter(|l| l.contains(what)).count()
    }
}

fn signal(child: &Child, name: &str) {
    let status = Command::new("kill").arg(name).arg(child.id().to_string()).status().unwrap();
    assert!(status.success());
}

async fn exit_code(child: &mut Child) -> Option<i32> {
    let by = Instant::now() + Duration::from_secs(20);
    loop {
        if let Some(status) = child.try_wait().unwrap() {
            return status.code();
        }
        assert!(Instant::now() < by, "it did not end");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn at_sigterm_it_serves_on_for_the_overlap_finishes_and_exits_with_0() {
    let world = World::default();
    let engines = [resp::engine("a", world.clone()).await];
    let (mut child, _, _, address, _) = started(&configuration(&engines, None), None);
    let mut slow = Client::connect(address).await;
    slow.stream_query(&fields("adjust", 1500, None, "HANG 1")).await;
    until("the engine has it", || world.attempts("HANG 1") == 1).await;
    signal(&child.0, "-TERM");
    let came = Instant::now();
    // New sessions and requests on open ones are served for the time that the platform announces.
    while came.elapsed() < Duration::from_millis(500) {
        let mut client = Client::connect(address).await;
        assert_eq!(client.ask(&fields("lookup", 3000, None, "SELECT 1")).await.unwrap(), expected());
    }
    assert_eq!(slow.answer().await.unwrap_err().0, 3024);
    assert_eq!(exit_code(&mut child.0).await, Some(0));
}

#[tokio::test]
async fn at_sighup_the_names_move_and_what_is_open_lives_on() {
    let world = World::default();
    let (a, b) = (resp::engine("a", world.clone()).await, resp::engine("b", world.clone()).await);
    let engine = |id: &'static str, address| discovery_server::Engine {
        id: id.into(),
        address,
        draining: false,
        started_ms: 0,
    };
    let list: discovery_server::List = Arc::new(Mutex::new((2, vec![engine("s-0", a), engine("s-9", b)])));
    let (server, told) = discovery_server::server(list.clone()).await;
    let nobody = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let (mut child, file, log, address, _) =
        started(&configuration(&[a], Some(nobody.local_addr().unwrap())), None);
    let mut open = Client::connect(address).await;
    let mut idle = Client::connect(address).await;
    open.stream_query(&fields("adjust", 2500, None, "HANG 1")).await;
    until("the engine has it", || world.attempts("HANG 1") == 1).await;
    // A file that is cut short and one that makes no sense change nothing.
    for (bad, n) in
        [(r#"{"name": "n0", "listen"#, 1), (&configuration(&[a], None).replace("GiveUpUs", "X"), 2)]
    {
        std::fs::write(&file, bad).unwrap();
        signal(&child.0, "-HUP");
        until("it said so", || log.count("the old one stays") == n).await;
    }
    // Several with a sound one, and the list comes from the server that it names.
    std::fs::write(&file, configuration(&[a], Some(server))).unwrap();
    (0..3).for_each(|_| signal(&child.0, "-HUP"));
    until("the new server is asked", || *told.lock().unwrap() > 1).await;
    until("its engine is used", || log.count("engines, ") > 0).await;
    for n in 0..4 {
        assert_eq!(idle.ended(&fields("lookup", 3000, None, &format!("SELECT {n}"))).await, Ended::Served);
    }
    assert!(world.sends("b") > 0, "the engine that only the new server told of got nothing");
    // One in the overlap ends nothing either, nor does it end what is open.
    signal(&child.0, "-TERM");
    until("it is closing", || log.count("closing") == 1).await;
    let before = log.count("new configuration, names");
    signal(&child.0, "-HUP");
    until("it was read", || log.count("new configuration, names") > before).await;
    let mut late = Client::connect(address).await;
    assert_eq!(late.ended(&fields("lookup", 3000, None, "SELECT 9")).await, Ended::Served);
    assert_eq!(open.answer().await.unwrap_err().0, 3024);
    assert_eq!(exit_code(&mut child.0).await, Some(0));
}

#[tokio::test]
async fn an_operators_file_turns_the_flight_front_on() {
    let world = World::default();
    let engines = [support::flight::engine("a", world.clone()).await];
    let operator = "flight {\n  listen \"127.0.0.1:0\"\n}\nengines \"flight-sql\"";
    let (mut child, _, _, mysql, flight) = started(&configuration(&engines, None), Some(operator));
    let client = support::flight::Client::connect(flight.expect("the front is off")).await;
    assert_eq!(client.of("lookup", None).ask("SELECT 1").await.unwrap(), expected());
    // The other front reaches the same engines.
    let mut other = Client::connect(mysql).await;
    assert_eq!(other.ended(&fields("lookup", 3000, None, "SELECT 2")).await, Ended::Served);
    // A call that is out at SIGTERM is finished as well.
    let call = tokio::spawn(async move {
        support::flight::ended(client.of("adjust", None).with("grpc-timeout", "1200m").ask("HANG 1").await)
    });
    until("the engine has it", || world.attempts("HANG 1") == 1).await;
    signal(&child.0, "-TERM");
    assert_eq!(call.await.unwrap(), Ended::Failed("DEADLINE"));
    assert_eq!(exit_code(&mut child.0).await, Some(0));
}

#[test]
fn the_command_line_says_what_is_wrong() {
    let run = |args: &[&str]| {
        let out = reedwalk().args(args).env_remove("GW_CONFIG").output().unwrap();
        (out.status.success(), String::from_utf8(out.stdout).unwrap(), String::from_utf8(out.stderr).unwrap())
    };
    assert!(run(&["version"]).1.starts_with("reedwalk "));
    assert!(run(&["no-such-command"]).2.contains("usage"));
    assert!(run(&["serve"]).2.contains("GW_CONFIG"));
    assert!(!run(&["check-config", "--config", "/nowhere"]).0);
    assert!(run(&["check-config", "--config", "x", "--unheard"]).2.contains("not understood"));
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../deploy/flight.kdl");
    let read = reedwalk_gateway::operator::read_file(std::path::Path::new(example)).unwrap();
    let deployment = reedwalk_settings::read(&settings()).unwrap();
    assert!(reedwalk_gateway::serve::quotas(&read, &deployment, None).unwrap().is_some());
}
