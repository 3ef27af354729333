use super::*;

const DEAD_AFTER_MS: Millis = 5_000;

#[test]
fn live_count_falls_slowly_and_rises_at_once() {
    let mut membership = Membership::new(0, 10, DEAD_AFTER_MS, 0);
    let heartbeats = |membership: &mut Membership, peers: std::ops::Range<PeerId>, now: Millis| {
        peers.for_each(|peer| _ = membership.record_heartbeat(peer, now / 100 + 1, now));
    };
    let mut previous = 10.0;
    for now in (0..60_000).step_by(100) {
        heartbeats(&mut membership, 1..3, now);
        let assumed = membership.assumed_live(now);
        assert!(assumed >= previous * 0.98, "fell too fast: {previous} to {assumed}");
        assert!(now >= DEAD_AFTER_MS || assumed == 10.0, "before any gateway can be dead");
        previous = assumed;
    }
    assert_eq!((membership.live_count(60_000), previous), (3, 3.0));
    heartbeats(&mut membership, 1..10, 60_000);
    assert_eq!(membership.assumed_live(60_000), 10.0);
}

#[test]
fn isolated_gateway_assumes_the_minimum_share_of_live_gateways() {
    let mut membership = Membership::new(4, 20, DEAD_AFTER_MS, 0);
    assert_eq!(membership.assumed_live(600_000), 4.0);
    assert_eq!(membership.live_count(600_000), 1);
}

#[test]
fn older_and_future_heartbeats_are_refused() {
    let mut membership = Membership::new(0, 3, DEAD_AFTER_MS, 0);
    assert!(!membership.record_heartbeat(1, 1_000_000, 1_000), "far ahead of the local clock");
    assert!(membership.record_heartbeat(1, 10, 1_000));
    assert!(!membership.record_heartbeat(1, 5, 5_900), "an older heartbeat changes nothing");
    assert!(membership.is_live(1, 5_999) && !membership.is_live(1, 6_000));
    assert!(
        !membership.record_heartbeat(9, 1, 1) && !membership.record_heartbeat(0, 1, 1),
        "an unknown gateway, and the local one"
    );
}

#[test]
fn suspended_process_declares_no_gateway_dead() {
    let mut membership = Membership::new(0, 2, DEAD_AFTER_MS, 0);
    membership.record_heartbeat(1, 1, 100);
    assert!(!membership.is_live(1, 10_100));
    membership.extend_deadlines(10_000);
    assert!(membership.is_live(1, 10_100) && !membership.is_live(1, 15_100));
}
