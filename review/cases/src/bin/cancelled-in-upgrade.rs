//! Case: in an upgrade, a client's cancellation is answered with OK by the new process, and the old process then sends the
//! cancelled batch to an engine.

use reedwalk_review::engine::{EngineLog, start_engine, with_engines};
use reedwalk_review::process::Start;
use reedwalk_review::site::{ReservedAddress, example_config, temporary_folder, write_file};
use reedwalk_review::{Record, Verdict, run_case, with_trouble};
use reedwalk_testkit::mysql::{Client, fields};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// The engine's time for the batch that holds the tables, in milliseconds.
const FIRST_BATCH_MS: u64 = 1000;
/// From the first batch to the second, which has to wait for its tables.
const SECOND_BATCH_AFTER: Duration = Duration::from_millis(100);
/// From the first batch to SIGTERM.
const TERMINATE_AFTER: Duration = Duration::from_millis(200);
/// From the first batch to the cancellation of the second.
const CANCEL_AFTER: Duration = Duration::from_millis(700);
/// A client closes its own session this long after its cancellation.
const CLOSE_AFTER_CANCEL: Duration = Duration::from_millis(500);
/// An attempt that begins later than this after the cancellation breaks the rule.
const ALLOWED: Duration = Duration::from_millis(100);
/// Every time limit is this much longer on sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// How long clients wait; shorter than the class's limit of 20 s.
const PATIENCE_MS: u64 = 6000;
/// How long the case goes on after the client has closed its session.
const SETTLE: Duration = Duration::from_secs(2);
/// The idempotency keys of the two batches.
const FIRST_KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
const SECOND_KEY: &str = "7d1a6e1a2b3d4c59a8b7c6d5e4f30999";

/// Cancels the query of a session, as clients do: on a new session, with the connection id of the greeting. Returns when
/// the cancellation was answered with OK.
async fn cancel(address: SocketAddr, session: u32, record: &Record) -> Instant {
    let mut other = Client::connect(address).await;
    let answer = other.query(&format!("KILL QUERY {session}")).await;
    let answered_at = Instant::now();
    record.line(&format!("second client: KILL QUERY {session} on a new session: {answer:?}"));
    answer.expect("the cancellation was not answered with OK");
    answered_at
}

async fn case(record: &Record) -> Verdict {
    let log = EngineLog::new(record);
    let engines = [("s-0", start_engine("s-0", &log).await)];
    let mysql = ReservedAddress::new();
    let config = write_file("config.json", &example_config(mysql.address, &engines).to_string());
    let folder = temporary_folder("tmp");
    let start = Start {
        name: "old process",
        config: &config,
        operator: None,
        temporary_folder: &folder,
        has_console: true,
    };
    let old = start.run(record).await;
    old.wait_for_health(record).await;
    let mut first = Client::connect(mysql.address).await;
    let mut second = Client::connect(mysql.address).await;
    record.line(&format!("two clients are connected; connection ids {} and {}", first.id, second.id));
    let new = if with_trouble() {
        let new = Start { name: "new process", ..start }.run(record).await;
        new.wait_for_health(record).await;
        Some(new)
    } else {
        None
    };

    // Two batches for the same tables: the second waits in the gateway until the first has ended.
    let began = Instant::now();
    let batch = |mark: &str| format!("INSERT INTO sales_17.orders SELECT * FROM staging.upload /* {mark} */");
    let first_batch = batch(&format!("first RUN_MS={FIRST_BATCH_MS}"));
    first.send_query(&fields("batch-post", PATIENCE_MS, Some(FIRST_KEY), &first_batch)).await;
    record.line("first client: sends a batch-post for sales_17");
    sleep_until(began + SECOND_BATCH_AFTER).await;
    second.send_query(&fields("batch-post", PATIENCE_MS, Some(SECOND_KEY), &batch("second"))).await;
    record.line("second client: sends a batch-post for sales_17");
    sleep_until(began + TERMINATE_AFTER).await;
    if new.is_some() {
        old.signal("-TERM", record);
    }
    sleep_until(began + CANCEL_AFTER).await;
    assert!(log.attempts_of("second").is_empty(), "the second batch did not wait");
    let cancelled_at = cancel(mysql.address, second.id, record).await;
    sleep(CLOSE_AFTER_CANCEL).await;
    drop(second);
    record.line("second client: closes its own session");
    record.line(&format!("first client: answer: {:?}", first.answer().await));
    sleep(SETTLE).await;

    let mut verdict = Verdict::Held;
    for attempt in log.attempts_of("second") {
        let after = attempt.at.saturating_duration_since(cancelled_at);
        record.line(&format!("the cancelled batch began at {} {after:?} after the OK", attempt.engine));
        if after > ALLOWED + SOCKET_SLACK {
            verdict = Verdict::Broken;
        }
    }
    drop((old, new));
    verdict
}

fn main() {
    run_case(async |record| with_engines(case(record)).await)
}
