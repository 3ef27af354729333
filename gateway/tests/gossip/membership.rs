//! Membership: partitions, suspended gateways, rolling restarts and the rotation of the signing key.

use crate::cluster::{SECOND, exclusive_machine, setup};
use crate::{
    JOIN_TIMEOUT, REMOVAL_TIMEOUT, all_ejected, check_request_rules, min_share, see_live_members,
    share_of_first_engine, slow_start, sum_of_metric,
};
use reedwalk_fault_injection::Load;
use reedwalk_fault_injection::cluster::{Cluster, ClusterConfig};
use reedwalk_fault_injection::fault::DatagramFault;
use reedwalk_testkit::load_generator::RequestOutcome;
use reedwalk_testkit::resp::EngineBehavior;
use std::time::Instant;

/// Partitions the cluster into two halves while an engine recovers, then heals the partition.
fn partition_while_an_engine_recovers(cluster: &mut Cluster) {
    cluster.gossip_network.partition((0..20).map(|n| n % 2).collect());
    cluster.set_engine_behavior(0, EngineBehavior::Healthy);
    let removed = cluster
        .wait_until("each half has removed the other", REMOVAL_TIMEOUT, |c| see_live_members(c, 0..20, 10));
    cluster.run_for(2 * SECOND);
    cluster.gossip_network.heal();
    let healed =
        cluster.wait_until("all members are known again", 8 * SECOND, |c| see_live_members(c, 0..20, 20));
    println!("partition detected in {removed:.1?}, healed in {healed:.1?}");
}

#[test]
fn partition_breaks_no_rule_and_old_reports_expire() {
    let _machine = exclusive_machine();
    let started_at = Instant::now();
    let mut cluster = Cluster::start(ClusterConfig { slow_start: true, ..setup(20, 10, 31) });
    cluster.start_load(&Load::lookups(20, 16.0, 50.0, 31));
    cluster.wait_until("all members are known", JOIN_TIMEOUT, |c| see_live_members(c, 0..20, 20));
    cluster.set_engine_behavior(0, EngineBehavior::Failing);
    cluster.wait_until("engine 0 is ejected by all", 5 * SECOND, |c| all_ejected(c, started_at));
    partition_while_an_engine_recovers(&mut cluster);
    let healed_at = Instant::now();
    cluster.run_for(3 * SECOND);
    let reports: usize =
        cluster.all_gateways().map(|g| g.count_logged("engine ejected on gossip", healed_at)).sum();
    let share = share_of_first_engine(&cluster, healed_at);
    let records = cluster.end_load();
    let faults = cluster.applied_faults();
    println!("engine 0 has {share:.2} of an even share afterwards; {faults}");
    assert!(faults.blocked > 100);
    assert_eq!(reports, 0, "a report from before the partition has not expired");
    assert!(share > 0.4, "{share}");
    check_request_rules(&cluster, &records);
    for engine in 0..10 {
        let rule = slow_start(engine, started_at);
        assert_eq!(
            cluster.request_log.slow_start_overruns(&rule),
            0,
            "engine {engine}, peak {}",
            cluster.request_log.slow_start_peak(&rule)
        );
    }
    assert!(records.iter().all(|r| r.outcome != RequestOutcome::Lost));
}

#[test]
fn resumed_gateways_send_no_stale_reports() {
    let _machine = exclusive_machine();
    let mut cluster = Cluster::start(setup(20, 10, 41));
    cluster.start_load(&Load::lookups(20, 16.0, 50.0, 41));
    cluster.wait_until("all members are known", JOIN_TIMEOUT, |c| see_live_members(c, 0..20, 20));
    let failed_at = Instant::now();
    cluster.set_engine_behavior(0, EngineBehavior::Failing);
    cluster.wait_until("engine 0 is ejected by all", 5 * SECOND, |c| all_ejected(c, failed_at));
    let suspended: Vec<_> = (0..5).collect();
    cluster.pause(&suspended);
    cluster.set_engine_behavior(0, EngineBehavior::Healthy);
    cluster.wait_until("the suspended gateways are removed", REMOVAL_TIMEOUT, |c| {
        see_live_members(c, 5..20, 15)
    });
    std::thread::sleep(3 * SECOND);
    let resumed_at = Instant::now();
    cluster.resume(&suspended);
    let rejoined =
        cluster.wait_until("all members are known again", 5 * SECOND, |c| see_live_members(c, 0..20, 20));
    std::thread::sleep((3 * SECOND).saturating_sub(resumed_at.elapsed()));
    cluster.check_crashes();
    let reports: usize =
        (5..20).map(|n| cluster.gateway(n).count_logged("engine ejected on gossip", resumed_at)).sum();
    let share = min_share(&cluster, resumed_at);
    let withheld: u64 = sum_of_metric(&cluster, "peers_kept_back");
    let records = cluster.end_load();
    println!(
        "five gateways resumed: rejoined in {rejoined:.1?}, reports withheld {withheld}, smallest share {share:.2}; {}",
        cluster.applied_faults()
    );
    assert_eq!((cluster.applied_faults().paused, cluster.applied_faults().resumed), (5, 5));
    assert_eq!(reports, 0, "a gateway ejected an engine on a stale report");
    assert!(share > 0.4, "{share}");
    check_request_rules(&cluster, &records);
}

#[test]
fn no_stale_members_after_a_rolling_restart() {
    let _machine = exclusive_machine();
    let mut cluster = Cluster::start(setup(20, 10, 61));
    // A delay so long that datagrams of the old processes arrive after those of the new ones.
    cluster.gossip_network.set_default_fault(DatagramFault::delayed(SECOND / 5, SECOND / 2));
    cluster.start_load(&Load::lookups(20, 8.0, 50.0, 61));
    cluster.wait_until("all members are known", JOIN_TIMEOUT, |c| see_live_members(c, 0..20, 20));
    for batch in 0..4 {
        let gateways: Vec<_> = (0..20).filter(|n| n % 4 == batch).collect();
        cluster.kill(&gateways);
        cluster.run_for(SECOND / 2);
        cluster.restart(&gateways);
        cluster.run_for(SECOND / 2);
    }
    cluster.wait_until("all new members are known", JOIN_TIMEOUT, |c| see_live_members(c, 0..20, 20));
    let since = Instant::now();
    cluster.run_for(2 * SECOND);
    // Gossip of the other gateways must not keep an ended member on the list.
    cluster.kill(&[7]);
    let removed = cluster.wait_until("the ended member is removed", REMOVAL_TIMEOUT, |c| {
        see_live_members(c, (0..20).filter(|n| *n != 7), 19)
    });
    cluster.end_load();
    let faults = cluster.applied_faults();
    println!(
        "rolling restart: the ended member is removed after {removed:.1?}; stale {}; {faults}",
        (0..20).filter(|n| *n != 7).map(|n| cluster.metrics(n)["peers_stale"]).sum::<u64>()
    );
    assert_eq!((faults.killed, faults.restarted), (21, 20));
    assert!(faults.delayed > 1000);
    assert!(
        cluster.all_gateways().all(|g| g.count_logged("engine ejected on gossip", since) == 0),
        "a gateway ejected an engine on the report of an ended member"
    );
}

#[test]
fn signing_key_rotates_without_losing_members() {
    let _machine = exclusive_machine();
    let mut cluster = Cluster::start(ClusterConfig { signing_key: Some(vec![b'1'; 32]), ..setup(4, 2, 71) });
    cluster.wait_until("all members are known", JOIN_TIMEOUT, |c| see_live_members(c, 0..4, 4));
    let path = cluster.folder().join("peers.key");
    // With an invalid key file the old key stays in use.
    std::fs::write(&path, "short").unwrap();
    cluster.gateway(0).reload();
    cluster.wait_until("the invalid key is logged", 5 * SECOND, |c| {
        c.gateway(0).count_logged("new gossip keys rejected", c.started_at) > 0
    });
    std::fs::write(&path, [b'2'; 32]).unwrap();
    cluster.gateway(0).reload();
    cluster.wait_until("the others reject the new key", REMOVAL_TIMEOUT, |c| {
        c.metrics(1)["peers_living"] == 3 && c.metrics(1)["peers_forged"] > 0
    });
    (1..4).for_each(|n| _ = cluster.gateway(n).reload());
    cluster.wait_until("all members are known under the new key", JOIN_TIMEOUT, |c| {
        see_live_members(c, 0..4, 4)
    });
    cluster.check_crashes();
}
