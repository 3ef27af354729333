//! The end of a process, and what crosses it.

mod support;

use reedwalk_gateway::shutdown::{Phase, ShutdownDeadlines};
use std::time::Duration;
use support::mysql::{Client, fields};
use support::process::Process;
use support::{Ended, World, folder, known, resp, settings, until, with_engines};
use tokio::io::AsyncReadExt;
use tokio::time::Instant;

/// What the platform gives past the longest deadline, counted as 3 s where it is longer.
const KILLED_AFTER: Duration = Duration::from_millis(700);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn everything_is_answered_before_the_platform_kills_the_process() {
    let told = Instant::now();
    for (longest, counted) in [(0, 0), (200, 200), (2_000, 2_000), (3_000, 3_000), (16_000, 3_000)] {
        let end = ShutdownDeadlines::new(told, ms(longest));
        assert!(end.answered < end.gone && end.gone < told + ms(counted) + KILLED_AFTER, "{longest}");
        // What came in the overlap and keeps to its deadline is not cut short.
        assert!(end.answered >= told + ms(counted) + ms(600), "{longest}");
        assert_eq!((Phase::Ending(end).end(), Phase::Closing(end).end()), (Some(end), Some(end)));
    }
    assert_eq!(Phase::Open.end(), None);
}

#[tokio::test]
async fn request_that_would_outlive_the_process_is_answered_before_its_end() {
    let world = World::default();
    let gateway = with_engines(&world).await;
    let (mut early, mut late) = (Client::connect(gateway.mysql).await, Client::connect(gateway.mysql).await);
    early.stream_query(&fields("statement", 9000, None, "HANG 1")).await;
    until("the engine has it", || world.attempts("HANG 1") == 1).await;
    // Told to end a while ago, it has 600 ms left.
    let told = Instant::now() - ms(3_000);
    gateway.overlap(told).await;
    late.stream_query(&fields("statement", 9000, None, "HANG 2")).await;
    until("the engine has that too", || world.attempts("HANG 2") == 1).await;
    let closed = tokio::spawn(gateway.close(told));
    for client in [&mut early, &mut late] {
        // The module knows of the later one's time, and may refuse it before.
        let (code, text) = client.answer().await.unwrap_err();
        assert!([1203, 3024].contains(&code), "{code} {text}");
        assert!(told.elapsed() < ms(3_000) + KILLED_AFTER, "{:?}", told.elapsed());
    }
    until("both are given up", || world.was_given_up("HANG 1") && world.was_given_up("HANG 2")).await;
    closed.await.unwrap();
}

#[tokio::test]
async fn hung_engines_and_slow_clients_do_not_delay_the_exit() {
    let world = World::default();
    let engines = [resp::engine("a", world.clone()).await];
    let folder = folder();
    let mut settings = settings();
    // Without notes nobody finds out before its deadline that an engine hangs.
    settings["Specifics"]["ProgressUs"] = 0.into();
    let config = serde_json::json!({"name": "n0", "listen": "127.0.0.1:0", "console": "127.0.0.1:0",
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known(&engines), "settings": settings});
    std::fs::write(folder.join("config.json"), config.to_string()).unwrap();
    let mut process = Process::start(&folder.join("config.json"), &folder, None);
    let mut hung = Client::connect(process.mysql).await;
    hung.stream_query(&fields("statement", 9000, None, "HANG 1")).await;
    until("the engine has it", || world.attempts("HANG 1") == 1).await;
    // It rests until we close, and does not close then.
    let mut quiet = Client::connect(process.mysql).await;
    assert_eq!(quiet.ended(&fields("lookup", 3000, None, "SELECT 1")).await, Ended::Served);
    // It never reads what it asks for; half a request from another never comes to its end.
    let mut slow = Client::connect(process.mysql).await;
    slow.stream_query(&fields("lookup", 3000, None, "SELECT 2")).await;
    let mut half = Client::connect(process.mysql).await;
    tokio::io::AsyncWriteExt::write_all(&mut half.stream, &[40, 0, 0, 0, 3]).await.unwrap();
    let told = Instant::now();
    process.signal("-TERM");
    // What comes in the overlap is served; neither signal below ends it at once.
    let mut newcomer = Client::connect(process.mysql).await;
    process.signal("-TERM");
    process.signal("-HUP");
    assert_eq!(newcomer.ended(&fields("lookup", 3000, None, "SELECT 3")).await, Ended::Served);
    assert_eq!(hung.answer().await.unwrap_err().0, 3024, "answered, not cut");
    assert_eq!(process.exit_code().await, Some(0));
    assert!(told.elapsed() < ms(3_000) + KILLED_AFTER, "{:?}", told.elapsed());
    // It was closed, with nothing behind its last answer.
    let mut rest = Vec::new();
    assert_eq!(quiet.stream.read_to_end(&mut rest).await.unwrap(), 0);
    assert_eq!(world.attempts("SELECT 2"), 1);
}
