//! Gossip between gateways: clusters of real processes with injected faults. Each test prints the faults that were
//! actually applied.

#[path = "../support/cluster.rs"]
mod cluster;

mod bandwidth;
mod combined_faults;
mod ejection;
mod membership;
mod rogue;

use cluster::SECOND;
use reedwalk_fault_injection::cluster::{Cluster, engine_id};
use reedwalk_fault_injection::load::RequestRecord;
use reedwalk_testkit::request_log::SlowStart;
use std::time::{Duration, Instant};

/// What a gateway logs when it ejects engine 0, on its own observations or on gossip.
const EJECTED: [&str; 2] = ["engine ejected, engine: 0,", "engine ejected on gossip, ejected_ms"];
/// What a gateway logs when gossip reports the restart of an engine.
const RESTART_REPORTED: &str = "engine restart reported by gossip";

/// How long gossip may take to make all members known.
const JOIN_TIMEOUT: Duration = Duration::from_secs(10);
/// How long gossip may take to remove members that have ended or are unreachable.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(12);

/// Whether each of these gateways lists `live` live members.
fn see_live_members(cluster: &Cluster, mut gateways: impl Iterator<Item = usize>, live: u64) -> bool {
    gateways.all(|n| cluster.metrics(n)["peers_living"] == live)
}

/// Whether all gateways have ejected engine 0 since this moment.
fn all_ejected(cluster: &Cluster, since: Instant) -> bool {
    cluster.all_gateways().all(|g| g.first_logged(&EJECTED, since).is_some())
}

/// The smallest share of attempts that an engine got since this moment, as a fraction of an even share.
fn min_share(cluster: &Cluster, since: Instant) -> f64 {
    let attempts: Vec<_> =
        (0..cluster.engines.len()).map(|e| cluster.attempts_since(e, since) as f64).collect();
    let even = attempts.iter().sum::<f64>() / attempts.len() as f64;
    attempts.into_iter().fold(f64::MAX, f64::min) / even.max(1.0)
}

/// The share of attempts that engine 0 of ten got since this moment, as a fraction of an even share.
fn share_of_first_engine(cluster: &Cluster, since: Instant) -> f64 {
    let all = (0..10).map(|e| cluster.attempts_since(e, since)).sum::<usize>();
    cluster.attempts_since(0, since) as f64 * 10.0 / all as f64
}

/// The slow-start rule for an engine of the cluster that started at this moment.
fn slow_start(engine: usize, started_at: Instant) -> SlowStart {
    SlowStart {
        engine: engine_id(engine),
        started_at,
        cores: 8.0,
        initial_share: 0.33,
        ramp: 15 * SECOND,
        window: SECOND,
        multiple: 2.5,
    }
}

/// A metric summed over the running gateways.
fn sum_of_metric(cluster: &Cluster, name: &str) -> u64 {
    (0..cluster.gateways.len())
        .filter(|n| cluster.gateways[*n].is_some())
        .map(|n| cluster.metrics(n)[name])
        .sum()
}

/// Checks that no request had more than three attempts, more than one outcome, or a second answer.
fn check_request_rules(cluster: &Cluster, records: &[RequestRecord]) {
    let mut traces: Vec<_> = records.iter().map(|r| r.trace.as_str()).collect();
    let requests = traces.len();
    traces.sort_unstable();
    traces.dedup();
    assert_eq!(traces.len(), requests, "a request has more than one outcome");
    assert_eq!(cluster.unsolicited_responses, 0, "second answers");
    assert!(
        cluster.request_log.max_attempts() <= 3,
        "{} attempts of one request",
        cluster.request_log.max_attempts()
    );
}
