//! Several processes at one address: hot restart, shared capacity, and shutdown of the last process.

use crate::lookup;
use crate::shared_site::{Load, SharedSite};
use crate::support::console::{call, metrics, succeeds, wait_for_metrics};
use crate::support::mysql::{Client, fields};
use crate::support::process::Process;
use crate::support::{Outcome, TestBed, config, discard_log, gateway, resp_engines, until};
use reedwalk_gateway::config::Config;
use reedwalk_gateway::limits::Limits;
use reedwalk_gateway::operator::OperatorConfig;
use reedwalk_testkit::model::Shape;
use reedwalk_testkit::request_log::RequestLog;
use reedwalk_testkit::resp::start_modelled_engine;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

#[tokio::test]
async fn hot_restart_under_load_rejects_nobody() {
    let test_bed = TestBed::default();
    let site = SharedSite::new(&resp_engines(&test_bed).await, 256);
    let mut old = site.start();
    let load = Load::start(site.listen);
    load.wait_for_served(100).await;
    let new = site.start();
    assert!(succeeds(new.console(), "HEALTH").await && succeeds(old.console(), "HEALTH").await);
    load.wait_for_served(100).await;
    old.signal("-TERM");
    assert_eq!(old.exit_code().await, Some(0));
    load.wait_for_served(100).await;
    let unanswered = load.end().await;
    assert!(unanswered <= 2, "{unanswered} requests got no answer");
    let metrics = metrics(new.console()).await;
    assert!(metrics["completed.lookup"] >= 100 && metrics["pending"] == 0, "{metrics:?}");
}

#[tokio::test]
async fn connections_in_the_old_listener_queue_are_served() {
    let test_bed = TestBed::default();
    let site = SharedSite::new(&resp_engines(&test_bed).await, 1024);
    let mut old = site.start();
    let new = site.start();
    // The suspended process accepts nothing: new connections wait in its listener queue.
    old.signal("-STOP");
    let mut queued = Vec::new();
    // Fewer than the slots that a closing process has for unauthenticated connections.
    for _ in 0..36 {
        queued.push(TcpStream::connect(site.listen).await.unwrap());
    }
    old.signal("-TERM");
    old.signal("-CONT");
    for (n, stream) in queued.into_iter().enumerate() {
        let mut client = Client::login(stream, "app").await.expect("rejected during the shutdown");
        assert_eq!(client.outcome(&lookup(n)).await, Outcome::Served);
    }
    assert_eq!(old.exit_code().await, Some(0));
    assert!(succeeds(new.console(), "HEALTH").await);
}

#[tokio::test]
async fn lone_process_accepts_after_sigterm_then_reports_unhealthy() {
    let test_bed = TestBed::default();
    let site = SharedSite::new(&resp_engines(&test_bed).await, 256);
    let mut process = site.start();
    // The process serves this request until its deadline, past the overlap.
    let mut pending = Client::connect(site.listen).await;
    pending.send_query(&fields("lookup", 2000, None, "HANG on")).await;
    wait_for_metrics(process.console(), "the pending request", |m| m["pending"] == 1).await;
    process.signal("-TERM");
    until("the shutdown has started", || process.logged("shutdown started") > 0).await;
    let mut late = Client::connect(site.listen).await;
    assert_eq!(late.outcome(&lookup(1)).await, Outcome::Served);
    drop(late);
    let console = process.console();
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        let answer = call(console, "HEALTH").await;
        if answer == "FAILURE this process does not accept clients\n" {
            break;
        }
        assert_eq!(answer, "SUCCESS\n", "it exited without reporting unhealthy");
        assert!(Instant::now() < deadline, "it never reported unhealthy");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(process.exit_code().await, Some(0));
}

#[tokio::test]
async fn processes_share_capacity_and_an_excess_process_is_logged() {
    let test_bed = TestBed::default();
    let site = SharedSite::new(&resp_engines(&test_bed).await, 256);
    let first = site.start();
    let mut more: Vec<_> = (0..2).map(|_| site.start()).collect();
    until("the first process has a third of the capacity", || first.logged("capacity_share: 0.3333") > 0)
        .await;
    assert!(succeeds(more[1].console(), "OFFLINE s-0").await);
    wait_for_metrics(first.console(), "the override of the third process", |m| m["members_unavailable"] == 1)
        .await;
    // There is a slot for a fourth process but none for a fifth, which assumes that it is the only process.
    more.extend((0..2).map(|_| site.start()));
    assert_eq!(more[2].logged("no process slot free"), 0);
    assert_eq!(more[3].logged("no process slot free"), 1);
    wait_for_metrics(more[3].console(), "the override in the excess process", |m| {
        m["members_unavailable"] == 1
    })
    .await;
    drop(more);
    until("one process is left", || first.logged("capacity_share: 1") > 0).await;
}

#[tokio::test]
async fn shared_capacity_evicts_no_active_session() {
    let test_bed = TestBed::default();
    let site = SharedSite::new(&resp_engines(&test_bed).await, 128);
    let old = site.start();
    let load = Load::start(site.listen);
    let mut unauthenticated = Vec::new();
    for n in 0..600 {
        let mut stream = TcpStream::connect(site.listen).await.unwrap();
        // Half of them send the start of a login packet, the others nothing.
        let _ = stream.write_all(if n % 2 == 0 { &[60, 0, 0, 1, 0x0d] } else { &[] }).await;
        unauthenticated.push(stream);
    }
    load.wait_for_served(50).await;
    let new = site.start();
    load.wait_for_served(50).await;
    // Clients that send one request to either process and then stay idle.
    let mut idle = Vec::new();
    for n in 0..110 {
        if let Some(mut client) = Client::try_connect_as(site.listen, "app").await {
            assert!(client.try_query(&lookup(n)).await.is_some_and(|end| end.is_ok()));
            idle.push(client);
        }
    }
    let descriptors = |p: &Process| {
        std::fs::read_dir(Path::new("/proc").join(p.child.id().to_string()).join("fd")).unwrap().count()
    };
    let total = descriptors(&old) + descriptors(&new);
    assert!(total <= 128, "{total} descriptors in both processes");
    drop(old);
    load.wait_for_served(50).await;
    // Only the requests of the killed process are lost.
    load.end().await;
    drop((unauthenticated, idle));
    assert!(succeeds(new.console(), "HEALTH").await);
}

/// Guards against a KILL QUERY that reaches the other process of a hot restart, is answered with OK, and cancels nothing:
/// the old process then sent the cancelled batch to an engine.
#[tokio::test]
async fn kill_query_cancels_a_queued_batch_of_the_other_process() {
    let record = RequestLog::default();
    let shape = Shape { cores: 8.0, ..Shape::default() };
    let engine = start_modelled_engine("a", Some(shape), record.clone()).await;
    let site = SharedSite::new(&[engine.address], 256);
    let mut old = site.start();
    let mut first = Client::connect(site.listen).await;
    let mut second = Client::connect(site.listen).await;
    let _new = site.start();
    // The second batch waits in the old process until the first has released its tables.
    let batch = |key: &str, work: &str| {
        fields("batch-post", 6000, Some(key), &format!("INSERT INTO sales_17.orders VALUES (1) WORK {work}"))
    };
    first.send_query(&batch("key-1", "1500")).await;
    until("the first batch is in flight", || record.attempts_at("a") == 1).await;
    second.send_query(&batch("key-2", "10")).await;
    wait_for_metrics(old.console(), "both batches", |m| m["pending"] == 2).await;
    old.signal("-TERM");
    until("the old process is shutting down", || old.logged("shutdown started") > 0).await;
    let kill = format!("KILL QUERY {}", second.id);
    let mut killer = site.connect_to_only_listener().await;
    assert_eq!(killer.query(&kill).await, Ok(Vec::new()));
    let answered = tokio::time::timeout(Duration::from_millis(100), second.answer()).await;
    assert_eq!(answered.expect("the batch was not cancelled").unwrap_err().0, 1317);
    assert!(first.answer().await.is_ok());
    drop((first, second));
    assert_eq!(old.exit_code().await, Some(0));
    assert_eq!(record.attempts_at("a"), 1, "the cancelled batch was sent to the engine");
}

/// As above, in the other direction: the query runs in the new process and the command reaches the old one.
#[tokio::test]
async fn kill_query_that_reaches_the_old_process_cancels_a_query_of_the_new_one() {
    let test_bed = TestBed::default();
    let site = SharedSite::new(&resp_engines(&test_bed).await, 256);
    let old = site.start();
    let mut killer = Client::connect(site.listen).await;
    let _new = site.start();
    old.signal("-TERM");
    let mut client = site.connect_to_only_listener().await;
    client.send_query(&fields("statement", 9000, None, "HANG 1")).await;
    until("the attempt is in flight", || test_bed.attempts("HANG 1") == 1).await;
    assert_eq!(killer.query(&format!("KILL QUERY {}", client.id)).await, Ok(Vec::new()));
    assert_eq!(client.answer().await.unwrap_err().0, 1317);
    until("the attempt is cancelled at the engine", || test_bed.was_cancelled("HANG 1")).await;
}

#[tokio::test]
async fn without_a_console_nothing_is_stored_and_the_address_is_not_shared() {
    let test_bed = TestBed::default();
    let config = config(&resp_engines(&test_bed).await);
    let (folder, limits) = (config.temp_dir.clone(), Limits::default());
    let running = gateway(Config { limits, ..config.clone() }, OperatorConfig::default()).await;
    assert_eq!(running.console, None);
    assert_eq!(std::fs::read_dir(folder).unwrap().count(), 0);
    let second = Config { listen: running.mysql, ..config };
    assert!(reedwalk_gateway::serve::start(second, OperatorConfig::default(), &discard_log()).await.is_err());
}
