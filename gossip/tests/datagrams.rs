//! Which datagrams a node accepts: old, repeated, forged and excess ones, and those after a restart or a suspension.

mod support;

use reedwalk_gossip::{
    Datagram, DatagramError, EngineKey, Fact, FactKind, GossipAction, GossipNode, SigningKey, SigningKeys,
};
use support::{START_MS, node_config, started_node, unsigned_node};

/// A datagram and its send time.
struct SentDatagram {
    bytes: Vec<u8>,
    at_ms: u64,
}

/// The next datagram that a node sends to gateway 1, beginning at `from_ms`.
fn next_datagram(node: &mut GossipNode, from_ms: u64) -> SentDatagram {
    let mut actions = Vec::new();
    for at_ms in from_ms..from_ms + 2_000 {
        node.tick(at_ms, &mut actions);
        let to_gateway_1 = |action| match action {
            GossipAction::Send(1, bytes) => Some(bytes),
            _ => None,
        };
        if let Some(bytes) = actions.drain(..).find_map(to_gateway_1) {
            return SentDatagram { bytes, at_ms };
        }
    }
    panic!("no datagram was sent to gateway 1");
}

#[test]
fn datagrams_of_an_earlier_incarnation_are_refused() {
    let mut old = unsigned_node(0, 3, START_MS);
    let mut receiver = unsigned_node(1, 3, START_MS);
    old.report_outlier(EngineKey(1), FactKind::Failing, START_MS + 9_000, START_MS);
    let first = next_datagram(&mut old, START_MS);
    let second = next_datagram(&mut old, first.at_ms + 1);
    let now_ms = first.at_ms + 600;
    assert_eq!(receiver.on_datagram(Some(0), &second.bytes, now_ms), Ok(()));
    assert_eq!(receiver.on_datagram(Some(0), &second.bytes, now_ms), Err(DatagramError::Stale), "repeated");
    assert_eq!(
        receiver.on_datagram(Some(0), &first.bytes, now_ms),
        Err(DatagramError::Stale),
        "overtaken by a later datagram"
    );
    assert_eq!(
        receiver.on_datagram(Some(2), &first.bytes, now_ms),
        Err(DatagramError::UnknownSender),
        "from the address of another gateway"
    );
    assert_eq!(receiver.on_datagram(None, &first.bytes, now_ms), Err(DatagramError::UnknownSender));
    assert_eq!(
        receiver.on_datagram(Some(1), &first.bytes, now_ms),
        Err(DatagramError::UnknownSender),
        "from the node itself"
    );
    let mut restarted = unsigned_node(0, 3, now_ms);
    let new = next_datagram(&mut restarted, now_ms);
    assert_eq!(receiver.on_datagram(Some(0), &new.bytes, new.at_ms), Ok(()));
    let late = next_datagram(&mut old, new.at_ms + 100);
    assert_eq!(
        receiver.on_datagram(Some(0), &late.bytes, new.at_ms + 200),
        Err(DatagramError::Stale),
        "of the earlier incarnation"
    );
    // Delayed for longer than any fact is valid, or sent by a clock that is far ahead.
    let mut late_node = unsigned_node(2, 3, new.at_ms + 60_000);
    assert_eq!(late_node.on_datagram(Some(0), &new.bytes, new.at_ms + 60_000), Err(DatagramError::Stale));
    let mut node_behind = unsigned_node(2, 3, START_MS - 60_000);
    assert_eq!(node_behind.on_datagram(Some(0), &new.bytes, START_MS - 60_000), Err(DatagramError::Future));
    let counters = receiver.counters();
    assert_eq!((counters.accepted, counters.stale, counters.unknown_sender), (2, 3, 3));
}

/// Passes facts from another gateway, sent now, to a node of a fleet of four.
fn receive_facts(
    node: &mut GossipNode,
    from: u16,
    incarnation: u64,
    at_ms: u64,
    facts: Vec<Fact>,
) -> Result<(), DatagramError> {
    let datagram = Datagram { from, incarnation, sent: at_ms * 1000, facts, heartbeats: Vec::new() };
    node.on_datagram(Some(from), &SigningKeys::default().encode(&datagram), at_ms)
}

/// Number of observations from other gateways that a node applies now.
fn agreed_observations(node: &mut GossipNode, now_ms: u64) -> usize {
    let mut actions = Vec::new();
    node.tick(now_ms, &mut actions);
    actions.iter().filter(|action| matches!(action, GossipAction::ApplyObservation(_))).count()
}

#[test]
fn restart_of_a_reporter_drops_its_reports() {
    let mut node = unsigned_node(0, 4, START_MS);
    let failing = Fact { engine: EngineKey(1), started: 0, kind: 0, ttl_centis: 900, value: 0 };
    assert_eq!(receive_facts(&mut node, 1, START_MS, START_MS + 10, vec![failing]), Ok(()));
    assert_eq!(receive_facts(&mut node, 2, START_MS, START_MS + 10, vec![failing]), Ok(()));
    assert_eq!(node.ejected_count(START_MS + 20), 1);
    assert_eq!(receive_facts(&mut node, 2, START_MS + 30, START_MS + 40, Vec::new()), Ok(()));
    assert_eq!(node.ejected_count(START_MS + 50), 0, "not reported in this incarnation");
    // The same for observations.
    let slow = Fact { kind: FactKind::Slow.into(), value: 80, ..failing };
    assert_eq!(receive_facts(&mut node, 1, START_MS, START_MS + 60, vec![slow]), Ok(()));
    assert_eq!(receive_facts(&mut node, 1, START_MS + 70, START_MS + 80, Vec::new()), Ok(()));
    assert_eq!(receive_facts(&mut node, 2, START_MS + 30, START_MS + 90, vec![slow]), Ok(()));
    assert_eq!(agreed_observations(&mut node, START_MS + 100), 0);
    assert_eq!(receive_facts(&mut node, 1, START_MS + 70, START_MS + 110, vec![slow]), Ok(()));
    assert_eq!(agreed_observations(&mut node, START_MS + 120), 1);
}

#[test]
fn excess_datagrams_are_not_decoded() {
    let keys = SigningKeys(vec![SigningKey::new(&[5; 32]).unwrap()]);
    let mut node = started_node(node_config(1, 3, keys.clone()), START_MS);
    for number in 0..10_000 {
        let _ = node.on_datagram(Some(2), &[1; 100], START_MS + number / 10);
    }
    let counters = node.counters();
    assert!(counters.bad_signature <= 401 && counters.rate_limited >= 9_599, "{counters:?}");
    let valid = keys.encode(&Datagram {
        from: 0,
        incarnation: START_MS,
        sent: (START_MS + 1_000) * 1000,
        ..Datagram::default()
    });
    assert_eq!(node.on_datagram(Some(0), &valid, START_MS + 1_000), Ok(()), "other senders are not limited");
}

#[test]
fn own_reports_after_a_suspension_are_suppressed() {
    let mut node = unsigned_node(1, 3, START_MS);
    let mut actions = Vec::new();
    (0..1_000).for_each(|elapsed_ms| node.tick(START_MS + elapsed_ms, &mut actions));
    let resumed_ms = START_MS + 11_000;
    node.report_outlier(EngineKey(3), FactKind::Unresponsive, resumed_ms + 4_000, resumed_ms);
    node.tick(resumed_ms + 500, &mut actions);
    node.report_outlier(EngineKey(4), FactKind::Unresponsive, resumed_ms + 4_000, resumed_ms + 900);
    assert_eq!((node.counters().suppressed_reports, node.counters().own_reports), (2, 0));
    assert_eq!(node.live_count(resumed_ms + 900), 3, "the node was suspended, the others were not dead");
    node.tick(resumed_ms + 1_000, &mut actions);
    node.report_outlier(EngineKey(3), FactKind::Unresponsive, resumed_ms + 9_000, resumed_ms + 1_100);
    assert_eq!(node.counters().own_reports, 1);
}
