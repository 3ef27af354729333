//! Shutdown: its deadlines, the requests that cross it, and its exit code.

mod support;

use reedwalk_gateway::shutdown::{Phase, ShutdownDeadlines};
use std::time::Duration;
use support::mysql::{Client, fields};
use support::process::{Process, ProcessConfig};
use support::{Outcome, TestBed, folder, resp, settings, until, with_engines};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::Instant;

/// Time from the longest request deadline, capped at 3 s, until the platform kills the process.
const KILL_DELAY: Duration = Duration::from_millis(700);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn shutdown_deadlines_precede_the_kill() {
    let sigterm_at = Instant::now();
    for (longest_ms, capped_ms) in [(0, 0), (200, 200), (2_000, 2_000), (3_000, 3_000), (16_000, 3_000)] {
        let deadlines = ShutdownDeadlines::new(sigterm_at, ms(longest_ms));
        assert!(
            deadlines.answer_by < deadlines.exit_by
                && deadlines.exit_by < sigterm_at + ms(capped_ms) + KILL_DELAY,
            "{longest_ms}"
        );
        // A request that arrives during the overlap and keeps its deadline is not cut short.
        assert!(deadlines.answer_by >= sigterm_at + ms(capped_ms) + ms(600), "{longest_ms}");
        assert_eq!(
            (Phase::ShuttingDown(deadlines).deadlines(), Phase::Closing(deadlines).deadlines()),
            (Some(deadlines), Some(deadlines))
        );
    }
    assert_eq!(Phase::Serving.deadlines(), None);
}

#[tokio::test]
async fn long_request_is_answered_before_the_exit() {
    let test_bed = TestBed::default();
    let gateway = with_engines(&test_bed).await;
    let (mut early, mut late) = (Client::connect(gateway.mysql).await, Client::connect(gateway.mysql).await);
    early.send_query(&fields("statement", 9000, None, "HANG 1")).await;
    until("the attempt is in flight", || test_bed.attempts("HANG 1") == 1).await;
    // SIGTERM was sent three seconds ago, so 600 ms are left for answers.
    let sigterm_at = Instant::now() - ms(3_000);
    gateway.begin_shutdown(sigterm_at).await;
    late.send_query(&fields("statement", 9000, None, "HANG 2")).await;
    until("the second attempt is in flight", || test_bed.attempts("HANG 2") == 1).await;
    let closed = tokio::spawn(gateway.close(sigterm_at));
    for client in [&mut early, &mut late] {
        // The scheduler takes the short remaining time into account and may shed the later request before its deadline.
        let (code, text) = client.answer().await.unwrap_err();
        assert!([1203, 3024].contains(&code), "{code} {text}");
        assert!(sigterm_at.elapsed() < ms(3_000) + KILL_DELAY, "{:?}", sigterm_at.elapsed());
    }
    until("both attempts are cancelled", || {
        test_bed.was_cancelled("HANG 1") && test_bed.was_cancelled("HANG 2")
    })
    .await;
    closed.await.unwrap();
}

#[tokio::test]
async fn hung_engines_and_slow_clients_do_not_delay_the_exit() {
    let test_bed = TestBed::default();
    let engines = [resp::start_engine("a", test_bed.clone()).await];
    let folder = folder();
    let mut settings = settings();
    // Progress reports are off, so that a hung engine is not detected before the deadline.
    settings["Specifics"]["ProgressUs"] = 0.into();
    let config = ProcessConfig { memory_mb: 192, sockets: 1024, settings, ..ProcessConfig::new(&engines) };
    std::fs::write(folder.join("config.json"), config.text()).unwrap();
    let mut process = Process::start(&folder.join("config.json"), &folder, None);
    let mut hung = Client::connect(process.mysql).await;
    hung.send_query(&fields("statement", 9000, None, "HANG 1")).await;
    until("the attempt is in flight", || test_bed.attempts("HANG 1") == 1).await;
    // This client stays idle and leaves it to the gateway to close the connection.
    let mut idle = Client::connect(process.mysql).await;
    assert_eq!(idle.outcome(&fields("lookup", 3000, None, "SELECT 1")).await, Outcome::Served);
    // One client never reads its answer; another never completes its request.
    let mut slow = Client::connect(process.mysql).await;
    slow.send_query(&fields("lookup", 3000, None, "SELECT 2")).await;
    let mut incomplete = Client::connect(process.mysql).await;
    incomplete.stream.write_all(&[40, 0, 0, 0, 3]).await.unwrap();
    let sigterm_at = Instant::now();
    process.signal("-TERM");
    // A client that connects during the overlap is served; a second SIGTERM and a SIGHUP do not end the process early.
    let mut late = Client::connect(process.mysql).await;
    process.signal("-TERM");
    process.signal("-HUP");
    assert_eq!(late.outcome(&fields("lookup", 3000, None, "SELECT 3")).await, Outcome::Served);
    assert_eq!(hung.answer().await.unwrap_err().0, 3024, "answered, not closed without an answer");
    assert_eq!(process.exit_code().await, Some(0));
    assert!(sigterm_at.elapsed() < ms(3_000) + KILL_DELAY, "{:?}", sigterm_at.elapsed());
    // The idle connection was closed without further bytes after its last answer.
    let mut rest = Vec::new();
    assert_eq!(idle.stream.read_to_end(&mut rest).await.unwrap(), 0);
    assert_eq!(test_bed.attempts("SELECT 2"), 1);
}
