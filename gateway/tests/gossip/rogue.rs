//! A rogue gateway: it reports every engine as failing, forges and replays datagrams, and floods.

use crate::cluster::{SECOND, exclusive_machine, setup};
use crate::{RESTART_REPORTED, min_share, sum_of_metric};
use reedwalk_fault_injection::Load;
use reedwalk_fault_injection::cluster::{Cluster, ClusterConfig, engine_id};
use reedwalk_testkit::load_generator::RequestOutcome;
use std::time::Instant;

/// Runs a cluster with a rogue gateway for five seconds. `key` signs the gossip of the cluster, `rogue_key` that of
/// the rogue gateway.
fn run_rogue_gateway(key: &[u8], rogue_key: Option<&[u8]>, seed: u64) {
    let key = Some(key.to_vec());
    let mut cluster =
        Cluster::start(ClusterConfig { rogue_gateways: vec![19], signing_key: key, ..setup(20, 10, seed) });
    cluster.start_load(&Load::lookups(20, 16.0, 50.0, seed));
    let engines: Vec<_> = (0..10).map(engine_id).collect();
    let started_at = Instant::now();
    let rogue = cluster.start_rogue_gateway(19, rogue_key);
    while started_at.elapsed() < 5 * SECOND {
        rogue.report_failing(&engines);
        rogue.report_slow_and_restarted(&engines);
        rogue.replay();
        rogue.report_failing_as_all(&engines, 20);
        rogue.flood(30);
        rogue.begin_incarnation();
        std::thread::sleep(SECOND / 10);
    }
    let share = min_share(&cluster, started_at);
    let records = cluster.end_load();
    let served =
        records.iter().filter(|r| r.outcome == RequestOutcome::Served).count() as f64 / records.len() as f64;
    let counts = ["taken", "stranger", "flood", "forged", "garbled", "stale", "believed"];
    let counts = counts.map(|c| (c, sum_of_metric(&cluster, &format!("peers_{c}"))));
    let bytes = (0..19).map(|g| cluster.gossip_network.max_bytes_per_second(g)).max().unwrap();
    println!(
        "right key {}: smallest share {share:.2}, served {served:.3}, at most {bytes} bytes a second, {counts:?}; {}",
        if rogue_key.is_some() { "held" } else { "not held" },
        cluster.applied_faults()
    );
    let count = |name: &str| counts.iter().find(|c| c.0 == name).unwrap().1;
    assert_eq!(count("believed"), 0, "an engine was ejected on the reports of one gateway");
    let restarts: usize = cluster.all_gateways().map(|g| g.count_logged(RESTART_REPORTED, started_at)).sum();
    assert_eq!(restarts, 0, "an engine is in slow start on the reports of one gateway");
    assert!(share > 0.5 && served > 0.99, "{share} {served}");
    assert!(bytes <= 8192, "{bytes}");
    if cluster.config.signing_key.is_some() && rogue_key.is_none() {
        assert!(count("forged") > 1000);
    } else {
        assert!(count("stranger") > 100 && count("stale") > 100);
    }
    cluster.check_crashes();
}

#[test]
fn rogue_gateway_ejects_no_healthy_engine() {
    let _machine = exclusive_machine();
    let key = [b'9'; 40];
    run_rogue_gateway(&key, Some(&key), 21);
    run_rogue_gateway(&key, None, 22);
}
