//! Gossip about engines: outliers, slow engines and restarts.

use crate::cluster::{SECOND, exclusive_machine, setup};
use crate::{
    EJECTED, JOIN_TIMEOUT, RESTART_REPORTED, check_request_rules, share_of_first_engine, slow_start,
    sum_of_metric,
};
use reedwalk_fault_injection::cluster::{Cluster, ClusterConfig};
use reedwalk_fault_injection::fault::DatagramFault;
use reedwalk_fault_injection::process::LogLine;
use reedwalk_fault_injection::{AppliedFaults, Load};
use reedwalk_testkit::load_generator::RequestOutcome;
use reedwalk_testkit::request_log::SlowStart;
use reedwalk_testkit::resp::EngineBehavior;
use std::time::{Duration, Instant};

/// How a cluster reacted to an engine that began to fail.
#[derive(Debug)]
struct OutlierResult {
    /// Attempts sent to it from then on, all of them errors.
    errors: usize,
    /// Gateways that ejected it on gossip.
    ejected_on_gossip: usize,
    /// Time until half of the gateways had ejected it.
    ejected_by_half: Option<Duration>,
    /// Time until all gateways had ejected it.
    ejected_by_all: Option<Duration>,
    /// Requests that got no answer.
    lost_requests: usize,
    faults: AppliedFaults,
}

/// Runs twenty gateways and ten engines, one of which begins to fail. `loss` is the fraction of datagrams lost.
fn run_with_outlier(gossip: bool, loss: f64, seed: u64) -> OutlierResult {
    let mut cluster = Cluster::start(ClusterConfig { gossip, ..setup(20, 10, seed) });
    cluster.gossip_network.set_default_fault(DatagramFault::lossy(loss));
    cluster.start_load(&Load::lookups(20, 24.0, 100.0, seed));
    cluster.run_for(2 * SECOND);
    let failed_at = Instant::now();
    cluster.set_engine_behavior(0, EngineBehavior::Failing);
    cluster.run_for(8 * SECOND);
    let mut ejections: Vec<_> = cluster
        .all_gateways()
        .filter_map(|g| g.first_logged(&EJECTED, failed_at))
        .map(|at| at - failed_at)
        .collect();
    ejections.sort();
    let records = cluster.end_load();
    cluster.check_crashes();
    OutlierResult {
        errors: cluster.attempts_since(0, failed_at),
        ejected_on_gossip: cluster
            .all_gateways()
            .filter(|g| g.first_logged(&EJECTED[1..], failed_at).is_some())
            .count(),
        ejected_by_half: ejections.get(9).copied(),
        ejected_by_all: ejections.get(19).copied(),
        lost_requests: records.iter().filter(|r| r.outcome == RequestOutcome::Lost).count(),
        faults: cluster.applied_faults(),
    }
}

#[test]
fn outlier_found_by_few_is_ejected_by_all() {
    let _machine = exclusive_machine();
    let without_gossip = run_with_outlier(false, 0.0, 11);
    let with_gossip = run_with_outlier(true, 0.0, 11);
    let lossy = run_with_outlier(true, 0.3, 11);
    println!(
        "without gossip: {without_gossip:?}\nwith:           {with_gossip:?}\n30% lost:       {lossy:?}"
    );
    assert!(
        lossy.faults.lost > 100 && with_gossip.faults.lost == 0,
        "datagrams were lost in the wrong run, or too few"
    );
    for result in [&with_gossip, &lossy] {
        // Without gossip each gateway has to detect the outlier itself, which takes half of them over a second.
        assert!(
            result.ejected_by_half.is_some_and(|t| t < SECOND)
                && result.ejected_by_all.is_some_and(|t| t < 3 * SECOND),
            "{result:?}"
        );
        assert!(result.ejected_on_gossip >= 10, "{result:?}");
        assert_eq!(result.lost_requests, 0);
    }
    // How many errors gossip avoids varies with the machine: `make measure-peers` prints the figures.
    let mean = (with_gossip.errors + lossy.errors) as f64 / 2.0;
    assert!(
        without_gossip.ejected_on_gossip == 0 && mean < 0.8 * without_gossip.errors as f64,
        "{mean} of {}",
        without_gossip.errors
    );
}

/// Runs a cluster with a slow engine. Returns its share of the attempts as a fraction of an even share, and how often
/// views of other gateways were received.
fn run_with_slow_engine(gossip: bool, seed: u64) -> (f64, u64) {
    let mut cluster = Cluster::start(ClusterConfig { gossip, ..setup(20, 10, seed) });
    cluster.start_load(&Load::lookups(20, 8.0, 50.0, seed));
    cluster.run_for(2 * SECOND);
    cluster.set_engine_behavior(0, EngineBehavior::Slow);
    cluster.run_for(2 * SECOND);
    let since = Instant::now();
    cluster.run_for(8 * SECOND);
    let share = share_of_first_engine(&cluster, since);
    let views = if gossip { sum_of_metric(&cluster, "peers_views") } else { 0 };
    let records = cluster.end_load();
    cluster.check_crashes();
    check_request_rules(&cluster, &records);
    (share, views)
}

#[test]
fn slow_engine_is_detected_by_gossip() {
    let _machine = exclusive_machine();
    let (without_gossip, with_gossip) = (run_with_slow_engine(false, 101), run_with_slow_engine(true, 101));
    println!(
        "share and views of the slow engine: {without_gossip:.2?} without gossip, {with_gossip:.2?} with it"
    );
    assert!(with_gossip.1 > 20, "{with_gossip:?}");
    assert!(with_gossip.0 < without_gossip.0 + 0.1, "{with_gossip:?} {without_gossip:?}");
}

#[test]
fn restart_is_learned_by_gossip_without_discovery() {
    let _machine = exclusive_machine();
    let mut cluster = Cluster::start(ClusterConfig { discovery_relays: 2, ..setup(20, 10, 91) });
    cluster.start_load(&Load::lookups(20, 16.0, 50.0, 91));
    cluster.run_for(2 * SECOND);
    cluster.discovery_relays[1].set_faults(DatagramFault::blocked(), DatagramFault::blocked());
    let restarted_at = cluster.restart_engine(0);
    let without_discovery = || (1..20).step_by(2);
    let learned =
        cluster.wait_until("all gateways without discovery know of the restart", JOIN_TIMEOUT, |c| {
            without_discovery()
                .all(|n| c.gateway(n).first_logged(&[RESTART_REPORTED], restarted_at).is_some())
        });
    let since = Instant::now();
    cluster.run_for(3 * SECOND);
    let reports_another_engine = |line: &&LogLine| {
        line.at >= restarted_at && line.text.contains(RESTART_REPORTED) && !line.text.contains("engine: 0,")
    };
    let wrong_reports: usize =
        cluster.all_gateways().map(|g| g.log().iter().filter(reports_another_engine).count()).sum();
    let records = cluster.end_load();
    let rule = slow_start(0, restarted_at);
    println!(
        "learned in {learned:.1?}, fullest window {:.2} of the budget; {}",
        cluster.request_log.slow_start_peak(&rule),
        cluster.applied_faults()
    );
    assert!(cluster.applied_faults().blocked > 10, "discovery was cut off");
    assert_eq!(
        (wrong_reports, cluster.request_log.slow_start_overruns(&SlowStart { started_at: since, ..rule })),
        (0, 0)
    );
    check_request_rules(&cluster, &records);
    cluster.check_crashes();
}
