//! A request's id that comes again: an engine runs it once, also if its first client has left or the second request reaches
//! the gateway's other process.

use crate::shared_site::SharedSite;
use crate::support::mysql::Client;
use crate::support::process::{Process, ProcessConfig};
use crate::support::{Outcome, TestBed, flight, resp_engines, until};
use std::time::Duration;
use tokio::time::sleep;

/// The id that comes twice.
const TRACE: &str = "5eed00000000c0de";
/// A statement of a class that runs at most once, which its engine runs until it is cancelled.
const STATEMENT: &str = "HANG on";

/// The text of the statement with its fields.
fn request(class: &str, statement: &str) -> String {
    format!("/* route={class},trace={TRACE},patience=2500 */ {statement}")
}

/// A gateway that serves both protocols.
struct Site {
    test_bed: TestBed,
    processes: SharedSite,
}

impl Site {
    async fn new() -> Self {
        let test_bed = TestBed::default();
        let engines = resp_engines(&test_bed).await;
        Self { test_bed, processes: SharedSite::with_config(ProcessConfig::new(&engines)) }
    }

    fn start(&self) -> Process {
        self.processes.start_with_flight()
    }

    async fn wait_until_running(&self) {
        until("the engine runs it", || self.test_bed.attempts(STATEMENT) == 1).await;
    }
}

/// A client of the Flight SQL front whose calls have the id.
async fn flight_client(process: &Process) -> flight::Client {
    let client = flight::Client::connect(process.flight.unwrap()).await.with_class("adjust", None);
    client.with_header("reedwalk-trace", TRACE).with_header("grpc-timeout", "2500m")
}

/// Guards against a second run of an id that came again after its client had left and its attempt had been cancelled.
#[tokio::test]
async fn id_of_a_departed_client_runs_once() {
    let site = Site::new().await;
    let process = site.start();
    let mut first = Client::connect(process.mysql).await;
    first.send_query(&request("adjust", STATEMENT)).await;
    site.wait_until_running().await;
    drop(first);
    until("its attempt was cancelled", || site.test_bed.was_cancelled(STATEMENT)).await;
    let mut second = Client::connect(process.mysql).await;
    let outcome = second.outcome(&request("adjust", STATEMENT)).await;
    assert_eq!(site.test_bed.attempts(STATEMENT), 1, "the id ran twice; {outcome:?}");
    assert_eq!(outcome, Outcome::Failed("ENGINE"));
    let flight = flight_client(&process).await;
    assert!(flight.update(STATEMENT).await.is_err());
    assert_eq!(site.test_bed.attempts(STATEMENT), 1, "the id ran twice, from a Flight client");
}

/// Guards against the same between clients of the Flight SQL front.
#[tokio::test]
async fn id_of_a_departed_flight_client_runs_once() {
    let site = Site::new().await;
    let process = site.start();
    let first = flight_client(&process).await;
    let call = tokio::spawn(async move { first.update(STATEMENT).await });
    site.wait_until_running().await;
    call.abort();
    until("its attempt was cancelled", || site.test_bed.was_cancelled(STATEMENT)).await;
    let second = flight_client(&process).await.update(STATEMENT).await;
    assert_eq!(site.test_bed.attempts(STATEMENT), 1, "the id ran twice; {second:?}");
}

/// Guards against a second run of an id whose answer its client never got: it was served, and came again.
#[tokio::test]
async fn served_id_of_a_class_that_runs_once_does_not_run_again() {
    let site = Site::new().await;
    let process = site.start();
    let mut client = Client::connect(process.mysql).await;
    assert_eq!(client.outcome(&request("adjust", "UPDATE 1")).await, Outcome::Served);
    assert_eq!(client.outcome(&request("adjust", "UPDATE 1")).await, Outcome::Failed("ENGINE"));
    assert_eq!(site.test_bed.attempts("UPDATE 1"), 1, "the id ran twice");
}

/// An id of a repeatable class that was served, or that never ran, may come again.
#[tokio::test]
async fn ids_that_are_safe_to_repeat_are_accepted_again() {
    let site = Site::new().await;
    let process = site.start();
    let mut client = Client::connect(process.mysql).await;
    for _ in 0..2 {
        assert_eq!(client.outcome(&request("lookup", "SELECT 1")).await, Outcome::Served);
    }
}

/// Guards against a second run at the other process of an upgrade, while the first one runs or after its client has left.
#[tokio::test]
async fn id_runs_once_in_both_processes_of_an_upgrade() {
    for first_client_leaves in [false, true] {
        let site = Site::new().await;
        let old = site.start();
        let mut first = Client::connect(old.mysql).await;
        first.send_query(&request("adjust", STATEMENT)).await;
        site.wait_until_running().await;
        let new = site.start();
        if first_client_leaves {
            drop(first);
            until("its attempt was cancelled", || site.test_bed.was_cancelled(STATEMENT)).await;
        }
        let second = flight_client(&new).await.update(STATEMENT).await;
        assert_eq!(site.test_bed.attempts(STATEMENT), 1, "the id ran twice; {second:?}");
        old.signal("-TERM");
        let mut third = site.processes.connect_to_only_listener().await;
        let outcome = third.outcome(&request("adjust", STATEMENT)).await;
        assert_eq!(site.test_bed.attempts(STATEMENT), 1, "the id ran twice; {outcome:?}");
    }
}

/// Guards against a second run when both processes get the id at the same time.
#[tokio::test]
async fn id_that_reaches_both_processes_at_once_runs_once_at_most() {
    let site = Site::new().await;
    let (old, new) = (site.start(), site.start());
    for round in 0..20 {
        let statement = format!("UPDATE {round}");
        let trace = format!("{:016x}", 0xabc0_0000_u64 + round);
        let call = |process: &Process| {
            let address = process.flight.unwrap();
            let (statement, trace) = (statement.clone(), trace.clone());
            async move {
                let client = flight::Client::connect(address).await.with_class("adjust", None);
                client.with_header("reedwalk-trace", &trace).update(&statement).await.is_ok()
            }
        };
        let (at_old, at_new) = tokio::join!(call(&old), call(&new));
        assert!(site.test_bed.attempts(&statement) <= 1, "the id ran twice: {at_old} {at_new}");
    }
}

/// Other requests are served beside an upgrade as before: an id that never ran is free again in both processes.
#[tokio::test]
async fn rejected_id_is_free_for_the_other_process() {
    let site = Site::new().await;
    let (old, new) = (site.start(), site.start());
    let bad = flight::Client::connect(old.flight.unwrap()).await.with_class("adjust", None);
    let bad = bad.with_header("reedwalk-trace", TRACE).with_header("grpc-timeout", "0m");
    assert!(bad.update("UPDATE 1").await.is_err(), "it had no time");
    sleep(Duration::from_millis(50)).await;
    assert!(flight_client(&new).await.update("UPDATE 1").await.is_ok());
    assert_eq!(site.test_bed.attempts("UPDATE 1"), 1);
}
