//! The console: one answer to each line regardless of other connections, and the `call` command.

use crate::shared_site::SharedSite;
use crate::support::console::{call, metrics, send, succeeds, wait_for_metrics};
use crate::support::{TestBed, gateway, resp_engines};
use crate::with_console;
use reedwalk_gateway::console::MAX_CONNECTIONS;
use reedwalk_gateway::operator::OperatorConfig;
use std::process::Command;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

#[tokio::test]
async fn each_console_line_gets_one_answer() {
    let test_bed = TestBed::default();
    let running = gateway(with_console(&resp_engines(&test_bed).await), OperatorConfig::default()).await;
    let console = running.console.unwrap();
    assert_eq!(call(console, "HEALTH").await, "SUCCESS\n");
    assert_eq!(send(console, b"HEALTH\n").await.unwrap(), "SUCCESS\n");
    let too_long = [b'A'; 400];
    let invalid_lines: [&[u8]; 11] = [
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
        &too_long,
    ];
    for line in invalid_lines {
        let answer = send(console, line).await.unwrap();
        assert!(answer.starts_with("FAILURE ") && answer.matches('\n').count() == 1, "{line:?}: {answer:?}");
    }
    // An unterminated line may be the start of a longer one, so it is not executed.
    let mut truncated = TcpStream::connect(console).await.unwrap();
    truncated.write_all(b"OFFLINE s-0").await.unwrap();
    truncated.shutdown().await.unwrap();
    let mut answer = String::new();
    truncated.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("FAILURE"), "{answer}");
    assert_eq!(metrics(console).await["members_unavailable"], 0);
}

#[tokio::test]
async fn incomplete_console_lines_block_nobody() {
    let test_bed = TestBed::default();
    let running = gateway(with_console(&resp_engines(&test_bed).await), OperatorConfig::default()).await;
    let console = running.console.unwrap();
    let mut incomplete = Vec::new();
    for n in 0..300 {
        let mut stream = TcpStream::connect(console).await.unwrap();
        stream.write_all(if n % 2 == 0 { b"HEAL" } else { b"" }).await.unwrap();
        incomplete.push(stream);
        if n % 20 == 0 {
            let started = Instant::now();
            assert!(succeeds(console, "HEALTH").await);
            let elapsed = started.elapsed();
            assert!(elapsed < Duration::from_secs(1), "HEALTH was answered after {elapsed:?}");
        }
    }
    let mut open_connections = incomplete.len();
    let deadline = Instant::now() + Duration::from_secs(2);
    while open_connections > MAX_CONNECTIONS && Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(10)).await;
        let mut byte = [0; 1];
        open_connections = incomplete.iter().filter(|s| !matches!(s.try_read(&mut byte), Ok(0))).count();
    }
    assert!(open_connections <= MAX_CONNECTIONS, "{open_connections} connections are open");
}

#[tokio::test]
async fn waiting_console_command_is_answered_despite_newer_connections() {
    let test_bed = TestBed::default();
    let config = with_console(&resp_engines(&test_bed).await);
    let folder = config.temp_dir.clone();
    let running = gateway(config, OperatorConfig::default()).await;
    let console = running.console.unwrap();
    // This creates the override file; then the test holds its lock, as another process would.
    assert!(succeeds(console, "OFFLINE s-0").await);
    let mut files = std::fs::read_dir(folder).unwrap().map(|f| f.unwrap().path());
    let lock = files.find(|f| f.extension().is_some_and(|e| e == "words-lock")).unwrap();
    let lock = std::fs::File::open(lock).unwrap();
    lock.lock().unwrap();
    let mut waiting = TcpStream::connect(console).await.unwrap();
    waiting.write_all(b"ONLINE s-0\n").await.unwrap();
    let mut newer = Vec::new();
    for _ in 0..3 * MAX_CONNECTIONS {
        newer.push(TcpStream::connect(console).await.unwrap());
    }
    // An answer to a later call shows that all earlier connections have been accepted.
    assert!(succeeds(console, "HEALTH").await);
    drop(lock);
    let mut answer = String::new();
    waiting.read_to_string(&mut answer).await.unwrap();
    assert_eq!(answer, "SUCCESS\n");
    wait_for_metrics(console, "the engine in service", |m| m["members_unavailable"] == 0).await;
}

#[tokio::test]
async fn call_command_runs_the_commands_of_the_on_call_page() {
    let test_bed = TestBed::default();
    let site = SharedSite::new(&resp_engines(&test_bed).await, 256);
    let process = site.start();
    let console = process.console().to_string();
    let call_command = |arguments: &[&str]| {
        let out = Command::new(env!("CARGO_BIN_EXE_reedwalk")).arg("call").args(arguments).output().unwrap();
        (out.status.code(), String::from_utf8(out.stdout).unwrap())
    };
    let success = (Some(0), "SUCCESS\n".to_owned());
    assert_eq!(call_command(&[&console, "HEALTH"]), success);
    assert_eq!(call_command(&[&console, "OFFLINE", "s-0"]), success);
    wait_for_metrics(process.console(), "the engine out of service", |m| m["members_unavailable"] == 1).await;
    let (code, dump) = call_command(&[&console, "DUMP"]);
    assert!(code == Some(0) && dump.contains("svc.members:2|g\n") && dump.ends_with("EOT\n"), "{dump}");
    assert_eq!(call_command(&[&console, "ONLINE", "s-0"]), success);
    let (code, reason) = call_command(&[&console, "OFFLINE", "s-7"]);
    assert_eq!((code, reason.as_str()), (Some(1), "FAILURE no engine of this id was ever listed\n"));
    // The command fails when nothing listens at the address, and when no address is given.
    drop(process);
    assert_eq!(call_command(&[&console, "HEALTH"]), (Some(1), String::new()));
    assert_eq!(call_command(&["HEALTH"]), (Some(1), String::new()));
}
