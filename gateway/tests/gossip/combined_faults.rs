//! Many faults at the same time: lost, duplicated, corrupted and delayed datagrams, faulty engines and connections,
//! crashes and a partition.

use crate::check_request_rules;
use crate::cluster::{SECOND, exclusive_machine, setup};
use reedwalk_fault_injection::cluster::{Cluster, ClusterConfig, engine_id};
use reedwalk_fault_injection::fault::DatagramFault;
use reedwalk_fault_injection::load::RequestRecord;
use reedwalk_fault_injection::tcp_relay::ConnectionFault;
use reedwalk_fault_injection::{AppliedFaults, Load};
use reedwalk_testkit::load_generator::RequestOutcome;
use reedwalk_testkit::request_log::LogEntry;
use reedwalk_testkit::resp::EngineBehavior;
use std::time::{Duration, Instant};

/// How long a draining engine may still be sent attempts: the 2 s of the rule, and the time of one answer.
const DRAIN_GRACE: Duration = Duration::from_millis(2_050);
/// How long engines drop repeats of a key.
const DEDUPLICATION_WINDOW: Duration = Duration::from_secs(12);

/// Applies all faults for four seconds and then reverts them. Returns when engine 4 began to drain.
fn apply_and_revert_faults(cluster: &mut Cluster) -> Instant {
    cluster.set_engine_behavior(1, EngineBehavior::Failing);
    cluster.set_engine_behavior(2, EngineBehavior::Dead);
    cluster.set_engine_behavior(3, EngineBehavior::Silent);
    let drained_at = cluster.drain_engine(4);
    let relays = cluster.client_relays.clone();
    let relay = |n: usize| relays[n].as_ref().unwrap();
    let slow = || ConnectionFault {
        delay: SECOND / 50,
        bytes_per_second: Some(200_000.0),
        ..ConnectionFault::default()
    };
    (0..3).for_each(|n| relay(n).set_fault(slow()));
    relay(3).set_fault(ConnectionFault { stall_responses: true, ..ConnectionFault::default() });
    cluster.run_for(2 * SECOND);
    relay(3).set_fault(ConnectionFault::default());
    relay(4).set_fault(ConnectionFault::reset());
    cluster.kill(&[7, 8]);
    cluster.pause(&[9]);
    cluster.gossip_network.partition((0..20).map(|n| n / 10).collect());
    cluster.run_for(2 * SECOND);
    relay(4).set_fault(ConnectionFault::default());
    cluster.restart(&[7, 8]);
    cluster.resume(&[9]);
    cluster.gossip_network.heal();
    (1..4).for_each(|engine| cluster.set_engine_behavior(engine, EngineBehavior::Healthy));
    drained_at
}

/// Checks that every kind of fault was applied.
fn check_applied(faults: &AppliedFaults) {
    let all = [
        faults.lost,
        faults.duplicated,
        faults.corrupted,
        faults.delayed,
        faults.blocked,
        faults.connections_stalled,
    ];
    assert!(
        all.iter().all(|n| *n > 0) && faults.connections_reset > 0 && faults.engine_changes == 6,
        "{faults}"
    );
    assert_eq!((faults.killed, faults.restarted, faults.paused, faults.resumed), (2, 2, 1, 1));
}

/// Prints the attempts that the draining engine received too late.
fn print_late_attempts(cluster: &Cluster, drained_at: Instant, records: &[RequestRecord]) {
    for attempt in cluster.request_log.entries().iter().filter(|entry| is_late(entry, drained_at)) {
        let request = records
            .iter()
            .find(|r| r.trace == attempt.trace)
            .map(|r| (r.gateway, r.sent_at - drained_at, r.outcome, r.latency));
        println!("after the drain: {:?} {:?}, request {request:?}", attempt.at - drained_at, attempt.event);
    }
}

/// Whether engine 4 received this attempt after its drain grace.
fn is_late(entry: &LogEntry, drained_at: Instant) -> bool {
    entry.engine == engine_id(4) && entry.at > drained_at + DRAIN_GRACE
}

#[test]
fn combined_faults_break_no_rule() {
    let _machine = exclusive_machine();
    let mut cluster =
        Cluster::start(ClusterConfig { discovery_relays: 1, client_relays: true, ..setup(20, 10, 81) });
    let mut load = Load::lookups(20, 12.0, 50.0, 81);
    load.class_shares = [0.6, 0.2, 0.2];
    cluster.start_load(&load);
    let delayed = DatagramFault::delayed(SECOND / 50, SECOND / 20);
    cluster.gossip_network.set_default_fault(DatagramFault {
        loss: 0.2,
        duplication: 0.1,
        corruption: 0.05,
        ..delayed
    });
    cluster.discovery_relays[0]
        .set_faults(DatagramFault::lossy(0.2), DatagramFault::delayed(SECOND / 50, SECOND / 20));
    cluster.run_for(2 * SECOND);
    let drained_at = apply_and_revert_faults(&mut cluster);
    cluster.run_for(4 * SECOND);
    let records = cluster.end_load();
    let faults = cluster.applied_faults();
    println!("{} requests; {faults}", records.len());
    check_applied(&faults);
    check_request_rules(&cluster, &records);
    print_late_attempts(&cluster, drained_at, &records);
    assert_eq!(
        cluster.request_log.attempts_after_drain(&engine_id(4), drained_at, DRAIN_GRACE),
        0,
        "attempts at a draining engine after its grace"
    );
    assert_eq!(
        cluster.request_log.attempts_after_window(DEDUPLICATION_WINDOW),
        0,
        "repeats of a key after its deduplication window"
    );
    let since = Instant::now() - SECOND * 2;
    let last: Vec<_> = records.iter().filter(|r| r.sent_at > since).collect();
    assert!(
        last.iter().filter(|r| r.outcome == RequestOutcome::Served).count() * 10 > last.len() * 9,
        "the cluster has not recovered"
    );
}
