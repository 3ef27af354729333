//! Shutdown: its deadlines, the requests that cross it, and its exit code.

mod support;

use reedwalk_gateway::shutdown::{Phase, ShutdownDeadlines};
use std::time::Duration;
use support::mysql::{Client, fields};
use support::process::{Process, ProcessConfig};
use support::{Outcome, TestBed, folder, resp, settings, until, with_engines};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::Instant;

/// The platform kills the process so long after the longest deadline, which counts as 3 s where it is longer.
const KILL_DELAY: Duration = Duration::from_millis(700);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn shutdown_deadlines_precede_the_kill() {
    let terminated = Instant::now();
    for (longest, counted) in [(0, 0), (200, 200), (2_000, 2_000), (3_000, 3_000), (16_000, 3_000)] {
        let end = ShutdownDeadlines::new(terminated, ms(longest));
        assert!(
            end.answer_by < end.exit_by && end.exit_by < terminated + ms(counted) + KILL_DELAY,
            "{longest}"
        );
        // A request of the overlap that keeps to its deadline is not cut short.
        assert!(end.answer_by >= terminated + ms(counted) + ms(600), "{longest}");
        assert_eq!(
            (Phase::ShuttingDown(end).deadlines(), Phase::Closing(end).deadlines()),
            (Some(end), Some(end))
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
    // SIGTERM was three seconds ago: 600 ms are left.
    let terminated = Instant::now() - ms(3_000);
    gateway.begin_shutdown(terminated).await;
    late.send_query(&fields("statement", 9000, None, "HANG 2")).await;
    until("the second attempt is in flight", || test_bed.attempts("HANG 2") == 1).await;
    let closed = tokio::spawn(gateway.close(terminated));
    for client in [&mut early, &mut late] {
        // The scheduler knows how little time the later request has, and may shed it earlier.
        let (code, text) = client.answer().await.unwrap_err();
        assert!([1203, 3024].contains(&code), "{code} {text}");
        assert!(terminated.elapsed() < ms(3_000) + KILL_DELAY, "{:?}", terminated.elapsed());
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
    // Without progress reports a hung engine is not detected before the deadline.
    settings["Specifics"]["ProgressUs"] = 0.into();
    let config = ProcessConfig { memory_mb: 192, sockets: 1024, settings, ..ProcessConfig::new(&engines) };
    std::fs::write(folder.join("config.json"), config.text()).unwrap();
    let mut process = Process::start(&folder.join("config.json"), &folder, None);
    let mut hung = Client::connect(process.mysql).await;
    hung.send_query(&fields("statement", 9000, None, "HANG 1")).await;
    until("the attempt is in flight", || test_bed.attempts("HANG 1") == 1).await;
    // It is idle until the gateway closes the connection, and does not close its side.
    let mut idle = Client::connect(process.mysql).await;
    assert_eq!(idle.outcome(&fields("lookup", 3000, None, "SELECT 1")).await, Outcome::Served);
    // One client never reads its answer; another never completes its request.
    let mut slow = Client::connect(process.mysql).await;
    slow.send_query(&fields("lookup", 3000, None, "SELECT 2")).await;
    let mut half = Client::connect(process.mysql).await;
    half.stream.write_all(&[40, 0, 0, 0, 3]).await.unwrap();
    let terminated = Instant::now();
    process.signal("-TERM");
    // A client of the overlap is served; neither signal below ends the process at once.
    let mut late = Client::connect(process.mysql).await;
    process.signal("-TERM");
    process.signal("-HUP");
    assert_eq!(late.outcome(&fields("lookup", 3000, None, "SELECT 3")).await, Outcome::Served);
    assert_eq!(hung.answer().await.unwrap_err().0, 3024, "answered, not closed without an answer");
    assert_eq!(process.exit_code().await, Some(0));
    assert!(terminated.elapsed() < ms(3_000) + KILL_DELAY, "{:?}", terminated.elapsed());
    // The idle connection was closed, with no bytes after its last answer.
    let mut rest = Vec::new();
    assert_eq!(idle.stream.read_to_end(&mut rest).await.unwrap(), 0);
    assert_eq!(test_bed.attempts("SELECT 2"), 1);
}
