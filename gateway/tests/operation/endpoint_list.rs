//! What the name server has told to one process of a gateway binds the gateway's other processes.

use crate::lookup;
use crate::shared_site::SharedSite;
use crate::support::mysql::Client;
use crate::support::process::{Process, ProcessConfig};
use crate::support::{
    Outcome, TestBed, discovery_server, draining, endpoint_list, listed, resp_engines, until,
};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::sleep;

/// Requests that would reach a draining engine if it were chosen.
const REQUESTS: usize = 20;

/// A gateway whose discovery server can fall silent, and which knows the engines `a` and `b` from its configuration.
struct Site {
    test_bed: TestBed,
    engines: [std::net::SocketAddr; 2],
    list: discovery_server::EngineList,
    name_server_is_silent: Arc<AtomicBool>,
    processes: SharedSite,
}

impl Site {
    async fn start() -> Self {
        let test_bed = TestBed::default();
        let engines = resp_engines(&test_bed).await;
        let list = endpoint_list(1, vec![listed("s-0", engines[0]), listed("s-1", engines[1])]);
        let (server, name_server_is_silent) = discovery_server::start_silenceable_server(list.clone()).await;
        let config = ProcessConfig { discovery: Some(server), ..ProcessConfig::new(&engines) };
        let processes = SharedSite::with_config(config);
        Self { test_bed, engines, list, name_server_is_silent, processes }
    }

    /// Lists the engine `a` as draining.
    fn drain_first(&self) {
        let mut list = self.list.lock().unwrap();
        *list = (list.0 + 1, vec![draining("s-0", self.engines[0]), listed("s-1", self.engines[1])]);
    }

    fn silence_name_server(&self) {
        self.name_server_is_silent.store(true, Ordering::Relaxed);
    }

    /// Sends requests to the only process, and returns how many reached the engine `a`.
    async fn requests_at_first(&self) -> usize {
        let mut client = self.processes.connect_to_only_listener().await;
        let before = self.test_bed.attempts_at("a");
        for n in 0..REQUESTS {
            assert_eq!(client.outcome(&lookup(n)).await, Outcome::Served);
        }
        self.test_bed.attempts_at("a") - before
    }
}

async fn end(mut process: Process) {
    process.signal("-TERM");
    assert_eq!(process.exit_code().await, Some(0));
}

/// Waits until a process has applied a change of the list after its start.
async fn wait_for_change(process: &Process) {
    until("the change was read", || process.logged("endpoint list changed") >= 2).await;
}

/// Guards against work for an engine whose drain only the old process of an upgrade was told: the new one began with the
/// list of the configuration and heard nothing else while the name server was silent.
#[tokio::test]
async fn new_process_knows_the_drains_that_the_old_one_was_told() {
    let site = Site::start().await;
    let old = site.processes.start();
    assert!(site.requests_at_first().await > 0);
    site.drain_first();
    wait_for_change(&old).await;
    site.silence_name_server();
    let _new = site.processes.start();
    end(old).await;
    assert_eq!(site.requests_at_first().await, 0, "requests reached the draining engine");
}

/// Guards against the same gap in the other direction: a change that only one process hears while both run.
#[tokio::test]
async fn process_takes_over_a_change_that_only_the_other_one_heard() {
    let site = Site::start().await;
    let old = site.processes.start();
    let new = site.processes.start();
    // Only the old process can hear the change: the new one is suspended until the name server is silent.
    new.signal("-STOP");
    site.drain_first();
    wait_for_change(&old).await;
    site.silence_name_server();
    sleep(Duration::from_millis(100)).await;
    new.signal("-CONT");
    until("the list was taken over", || new.logged("endpoint list taken over") > 0).await;
    end(old).await;
    assert_eq!(site.requests_at_first().await, 0, "requests reached the draining engine");
}

/// Guards against a list that an ended process left behind: after a new start the name server counts from 1 again.
#[tokio::test]
async fn list_of_an_ended_process_is_not_taken_over() {
    let site = Site::start().await;
    site.list.lock().unwrap().0 = 40;
    let old = site.processes.start();
    site.drain_first();
    wait_for_change(&old).await;
    sleep(Duration::from_millis(250)).await;
    drop(old);
    site.list.lock().unwrap().0 = 1;
    site.silence_name_server();
    let next = site.processes.start();
    assert_eq!(next.logged("endpoint list taken over"), 0);
    let mut client = Client::connect(next.mysql).await;
    for n in 0..REQUESTS {
        client.outcome(&lookup(n)).await;
    }
    assert!(site.test_bed.attempts_at("a") > 0, "the draining of an earlier numbering is still in force");
}
