//! The program itself: started as a process, ended by SIGTERM.

mod support;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use support::mysql::{Client, expected, fields};
use support::{Ended, World, known, resp, settings, until};

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

/// Starts the program on any port and reads where it listens from its log.
fn started(engines: &[SocketAddr], operator: Option<&str>) -> (Ending, SocketAddr, Option<SocketAddr>) {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let file = |name: &str| {
        std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("reedwalk-{}-{number}-{name}", std::process::id()))
    };
    let config = serde_json::json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known(engines), "settings": settings()});
    std::fs::write(file("config"), config.to_string()).unwrap();
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
    std::thread::spawn(move || lines.for_each(drop));
    let after = |name: &str| {
        line.find(name).and_then(|at| {
            line[at + name.len()..].split([',', ')']).next()?.trim().trim_start_matches("Some(").parse().ok()
        })
    };
    (child, after("mysql:").expect("no address"), after("flight:"))
}

fn terminate(child: &Child) {
    let status = Command::new("kill").arg("-TERM").arg(child.id().to_string()).status().unwrap();
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
    let (mut child, address, _) = started(&engines, None);
    let mut slow = Client::connect(address).await;
    slow.stream_query(&fields("adjust", 1500, None, "HANG 1")).await;
    until("the engine has it", || world.attempts("HANG 1") == 1).await;
    terminate(&child.0);
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
async fn an_operators_file_turns_the_flight_front_on() {
    let world = World::default();
    let engines = [support::flight::engine("a", world.clone()).await];
    let operator = r#"{"flight": {"listen": "127.0.0.1:0"}, "engines": "flight-sql"}"#;
    let (mut child, mysql, flight) = started(&engines, Some(operator));
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
    terminate(&child.0);
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
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../deploy/flight.json");
    let read = reedwalk_gateway::config::read_operator(std::path::Path::new(example)).unwrap();
    let deployment = reedwalk_settings::read(&settings()).unwrap();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    assert!(reedwalk_gateway::serve::contracts(&read, &deployment, &log).unwrap().is_some());
}
