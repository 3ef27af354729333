//! The cost of gossip for a gateway in small and in large clusters: bytes sent, memory and CPU time.

use crate::EJECTED;
use crate::cluster::{SECOND, exclusive_machine, setup};
use reedwalk_fault_injection::Load;
use reedwalk_fault_injection::cluster::Cluster;
use reedwalk_fault_injection::fault::DatagramFault;
use reedwalk_testkit::resp::EngineBehavior;
use std::time::{Duration, Instant};

/// The cost of gossip while two of ten engines fail and all gateways report it.
struct GossipCost {
    /// The most bytes that a gateway sent in a second.
    bytes_per_second: usize,
    /// The largest memory use of a gateway.
    memory_mb: f64,
    /// Time until all gateways had ejected engine 0.
    ejected_by_all: Duration,
}

/// Runs a cluster of this size with delayed and lost datagrams while two engines fail.
fn measure_gossip_cost(gateways: usize, seed: u64) -> GossipCost {
    let mut cluster = Cluster::start(setup(gateways, 10, seed));
    let delayed_and_lossy = DatagramFault { loss: 0.1, ..DatagramFault::delayed(SECOND / 50, SECOND / 50) };
    cluster.gossip_network.set_default_fault(delayed_and_lossy);
    cluster.start_load(&Load::lookups(gateways, 240.0 / gateways as f64, 50.0, seed));
    cluster.run_for(2 * SECOND);
    let (failed_at, cpu_ms_before) =
        (Instant::now(), cluster.all_gateways().map(|g| g.cpu_ms()).sum::<f64>());
    (0..2).for_each(|engine| cluster.set_engine_behavior(engine, EngineBehavior::Failing));
    cluster.run_for(4 * SECOND);
    let lists_all_members = |n: &usize| cluster.metrics(*n)["peers_living"] == gateways as u64;
    assert!((0..gateways).step_by(7).all(|n| lists_all_members(&n)), "a live member was removed from a list");
    let last_ejected = cluster.all_gateways().map(|g| g.first_logged(&EJECTED, failed_at)).max().flatten();
    let ejected_by_all = last_ejected.expect("no gateway has ejected engine 0") - failed_at;
    let processes = cluster.all_gateways().enumerate();
    let not_ejected = processes.filter(|(_, g)| g.first_logged(&EJECTED, failed_at).is_none());
    let not_ejected: Vec<_> = not_ejected.map(|(n, _)| n).collect();
    for n in &not_ejected {
        println!("gateway {n} of {gateways} has not ejected engine 0: {:?}", cluster.metrics(*n));
    }
    assert!(not_ejected.is_empty(), "gateways {not_ejected:?} have not ejected engine 0");
    cluster.end_load();
    let bytes_per_second =
        (0..gateways).map(|g| cluster.gossip_network.max_bytes_per_second(g)).max().unwrap();
    let memory_mb = cluster.all_gateways().map(|g| g.memory_mb()).fold(0.0, f64::max);
    let cpu_percent =
        (cluster.all_gateways().map(|g| g.cpu_ms()).sum::<f64>() - cpu_ms_before) / gateways as f64 / 40.0;
    let (largest, faults) = (cluster.gossip_network.largest_datagram_bytes(), cluster.applied_faults());
    println!(
        "{gateways} gateways: at most {bytes_per_second} B a second, {memory_mb:.1} MB, {cpu_percent:.2}% of a core, \
         ejected by all in {ejected_by_all:.2?}, largest datagram {largest} B; {faults}"
    );
    assert!(faults.lost > 100 && faults.delayed > 1000 && faults.engine_changes == 2);
    assert!(largest <= 256);
    GossipCost { bytes_per_second, memory_mb, ejected_by_all }
}

#[test]
fn two_hundred_gateways_keep_to_the_bandwidth_limit() {
    let _machine = exclusive_machine();
    let (small, large) = (measure_gossip_cost(20, 51), measure_gossip_cost(200, 52));
    for cost in [&small, &large] {
        assert!(cost.bytes_per_second <= 8192, "{} bytes a second", cost.bytes_per_second);
        assert!(cost.ejected_by_all < 4 * SECOND);
    }
    assert!(large.memory_mb < small.memory_mb + 4.0, "memory {} and {} MB", small.memory_mb, large.memory_mb);
}
