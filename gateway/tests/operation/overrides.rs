//! Operator overrides: engines taken out of service on the console, beside the endpoint list and across processes.

use crate::shared_site::SharedSite;
use crate::support::console::{call, metrics, succeeds, wait_for_metrics};
use crate::support::mysql::{Client, fields};
use crate::support::{
    Outcome, TestBed, config_with, discovery_server, draining, endpoint_list, gateway, listed, resp_engines,
    settings, until,
};
use crate::{MetricValues, lookup, with_console};
use reedwalk_gateway::config::Config;
use reedwalk_gateway::operator::OperatorConfig;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Clients that repeat lookups until they are stopped, and the outcomes of their requests.
struct RepeatedLookups {
    stop: Arc<AtomicBool>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    clients: Vec<JoinHandle<()>>,
}

impl RepeatedLookups {
    fn start(address: SocketAddr, clients: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
        let client = |n| {
            let (stop, outcomes) = (stop.clone(), outcomes.clone());
            tokio::spawn(async move {
                let mut client = Client::connect(address).await;
                for request_number in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let statement = format!("SELECT {n} {request_number}");
                    let outcome = client.outcome(&fields("lookup", 5000, None, &statement)).await;
                    outcomes.lock().unwrap().push(outcome);
                }
            })
        };
        let clients = (0..clients).map(client).collect();
        Self { stop, outcomes, clients }
    }

    fn count(&self) -> usize {
        self.outcomes.lock().unwrap().len()
    }

    /// Stops the clients; returns the outcomes of all their requests.
    async fn end(self) -> Vec<Outcome> {
        self.stop.store(true, Ordering::Relaxed);
        for client in self.clients {
            client.await.unwrap();
        }
        std::mem::take(&mut *self.outcomes.lock().unwrap())
    }
}

/// Whether exactly one engine is out of service.
fn one_unavailable(metrics: &MetricValues) -> bool {
    metrics["members_unavailable"] == 1
}

/// Whether all engines are in service.
fn none_unavailable(metrics: &MetricValues) -> bool {
    metrics["members_unavailable"] == 0
}

#[tokio::test]
async fn offline_engine_finishes_its_requests_and_gets_no_new_ones() {
    let test_bed = TestBed::default();
    let mut settings = settings();
    settings["RequestClasses"][0]["SloUs"] = json!(6_000_000);
    let engines = resp_engines(&test_bed).await;
    let config = Config { console: with_console(&engines).console, ..config_with(&engines, &settings) };
    let running = gateway(config, OperatorConfig { cores: 4, ..OperatorConfig::default() }).await;
    let console = running.console.unwrap();
    let load = RepeatedLookups::start(running.mysql, 24);
    until("both engines are used", || test_bed.attempts_at("a") > 20 && test_bed.attempts_at("b") > 20).await;
    assert!(succeeds(console, "OFFLINE s-0").await);
    let answered_at = tokio::time::Instant::now();
    let count = load.count();
    until("requests are served meanwhile", || load.count() > count + 500).await;
    // Requests that were in transit when the console answered may arrive a little later; none is sent after the answer.
    let late_attempts = |test_bed: &TestBed| {
        let recorded = test_bed.0.lock().unwrap();
        let limit = answered_at + Duration::from_millis(50);
        recorded.received.iter().filter(|a| a.engine == "a" && a.at > limit).count()
    };
    assert_eq!(late_attempts(&test_bed), 0, "sent to an engine that is out of service");
    assert!(succeeds(console, "OFFLINE s-0").await, "a repeated OFFLINE succeeds");
    wait_for_metrics(console, "the engine out of service", |m| {
        m["members"] == 2 && m["members_unavailable"] == 1
    })
    .await;
    assert!(succeeds(console, "ONLINE s-0").await, "one ONLINE reverts both");
    until("the engine is used again", || late_attempts(&test_bed) > 0).await;
    let outcomes = load.end().await;
    assert!(outcomes.iter().all(|o| *o == Outcome::Served), "a request failed because of the override");
}

#[tokio::test]
async fn override_takes_precedence_over_the_endpoint_list() {
    let test_bed = TestBed::default();
    let [a, b] = resp_engines(&test_bed).await;
    let restarted =
        |id, address, started_ms| discovery_server::ListedEngine { started_ms, ..listed(id, address) };
    let list = endpoint_list(2, vec![listed("s-0", a), listed("s-1", b)]);
    let (server, answers) = discovery_server::start_server(list.clone()).await;
    let running =
        gateway(Config { name_server: Some(server), ..with_console(&[a, b]) }, OperatorConfig::default())
            .await;
    let console = running.console.unwrap();
    let mut client = Client::connect(running.mysql).await;
    assert!(succeeds(console, "OFFLINE s-0").await);
    let before = test_bed.attempts_at("a");
    let updates = [
        vec![draining("s-0", a), listed("s-1", b)],
        vec![listed("s-1", b)],
        vec![restarted("s-0", a, 1_764_612_345_678), listed("s-1", b)],
        vec![restarted("s-0", a, 1_764_612_345_999), restarted("s-1", b, 7)],
    ];
    for (serial, engines) in (3..).zip(updates) {
        let members = engines.len() as u64;
        let answers_before = *answers.lock().unwrap();
        *list.lock().unwrap() = (serial, engines);
        until("the list was read", || *answers.lock().unwrap() > answers_before + 1).await;
        wait_for_metrics(console, "the list", |m| {
            m["members"] == members && m["members_unavailable"] == members - 1
        })
        .await;
        for n in 0..6 {
            assert_eq!(client.outcome(&lookup(n)).await, Outcome::Served);
        }
    }
    assert_eq!(test_bed.attempts_at("a"), before, "the list took precedence over the override");
    let connections = test_bed.connections("a");
    assert!(succeeds(console, "ONLINE s-0").await);
    let deadline = Instant::now() + Duration::from_secs(5);
    for n in 0.. {
        assert_eq!(client.outcome(&lookup(100 + n)).await, Outcome::Served);
        if test_bed.attempts_at("a") > before {
            break;
        }
        assert!(Instant::now() < deadline, "the engine was not used again");
    }
    assert!(test_bed.connections("a") > connections || before == 0, "an old connection was reused");
}

#[tokio::test]
async fn override_that_cannot_be_stored_is_reported_as_failed() {
    let test_bed = TestBed::default();
    let site = SharedSite::new(&resp_engines(&test_bed).await, 256);
    // No file can be renamed over a folder that is not empty.
    std::fs::create_dir_all(site.override_file().join("not-empty")).unwrap();
    let process = site.start();
    let answer = call(process.console(), "OFFLINE s-0").await;
    assert!(answer.starts_with("FAILURE"), "{answer}");
    assert_eq!(metrics(process.console()).await["members_unavailable"], 0);
    assert_eq!(process.logged("override file ignored"), 1, "logged once");
}

#[tokio::test]
async fn override_holds_in_both_processes_and_survives_them() {
    let test_bed = TestBed::default();
    let site = SharedSite::new(&resp_engines(&test_bed).await, 256);
    let old = site.start();
    assert!(succeeds(old.console(), "OFFLINE s-0").await);
    let new = site.start();
    wait_for_metrics(new.console(), "the stored override", one_unavailable).await;
    assert!(succeeds(new.console(), "ONLINE s-0").await);
    wait_for_metrics(old.console(), "the engine in service", none_unavailable).await;
    assert!(succeeds(old.console(), "OFFLINE s-1").await);
    wait_for_metrics(new.console(), "the override of the other process", one_unavailable).await;
    let before = test_bed.attempts_at("b");
    for n in 0..10 {
        let mut client = Client::connect(site.listen).await;
        assert_eq!(client.outcome(&lookup(n)).await, Outcome::Served);
    }
    assert_eq!(test_bed.attempts_at("b"), before);
    // The override outlives both processes, and the capacity share of a killed process is released.
    drop(old);
    until("one process is left", || {
        new.logged("capacity_share: 1,") > 0 || new.logged("capacity_share: 1") > 0
    })
    .await;
    assert!(metrics(new.console()).await["members_unavailable"] == 1);
    drop(new);
    let third = site.start();
    wait_for_metrics(third.console(), "the stored override", one_unavailable).await;
    assert!(succeeds(third.console(), "ONLINE s-1").await);
    wait_for_metrics(third.console(), "the engine in service", none_unavailable).await;
}

#[tokio::test]
async fn stored_but_unanswered_override_holds_in_the_next_process() {
    let test_bed = TestBed::default();
    let site = SharedSite::new(&resp_engines(&test_bed).await, 256);
    let process = site.start();
    let mut caller = TcpStream::connect(process.console()).await.unwrap();
    caller.write_all(b"OFFLINE s-0\n").await.unwrap();
    until("the override is stored", || site.override_file().exists()).await;
    drop(process);
    let next = site.start();
    wait_for_metrics(next.console(), "the stored override", one_unavailable).await;
    assert!(!succeeds(next.console(), "OFFLINE s-7").await);
}

#[tokio::test]
async fn corrupted_override_file_is_logged_once_and_serving_continues() {
    let test_bed = TestBed::default();
    let site = SharedSite::new(&resp_engines(&test_bed).await, 256);
    {
        let process = site.start();
        assert!(succeeds(process.console(), "OFFLINE s-0").await);
    }
    let valid = std::fs::read(site.override_file()).unwrap();
    let mut corrupted = valid.clone();
    corrupted[20] ^= 1;
    let unknown_version = b"reedwalk words 9\nend 0 00000000\n".to_vec();
    let truncated = valid[..valid.len() - 3].to_vec();
    for invalid in [corrupted, truncated, unknown_version, Vec::new()] {
        std::fs::write(site.override_file(), &invalid).unwrap();
        let process = site.start();
        wait_for_metrics(process.console(), "no override", none_unavailable).await;
        assert_eq!(process.logged("override file ignored"), 1);
        let mut client = Client::connect(site.listen).await;
        assert_eq!(client.outcome(&lookup(1)).await, Outcome::Served);
        assert!(succeeds(process.console(), "OFFLINE s-0").await, "a new override is stored");
        assert_eq!(process.logged("override file ignored"), 1);
    }
}
