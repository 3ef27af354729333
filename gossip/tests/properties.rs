//! Property tests with random datagrams: any order, loss and repetition, any bytes, any content.

mod support;

use proptest::prelude::*;
use reedwalk_gossip::{Datagram, EngineKey, Fact, SigningKey, SigningKeys};
use std::collections::BTreeMap;
use support::{START_MS, unsigned_node};

/// A report of one gateway on one engine.
#[derive(Clone, Copy)]
struct Report {
    weight: f64,
    expires_ms: u64,
}

/// Reference model: the latest report of each gateway on each engine.
#[derive(Default)]
struct ReportTable(BTreeMap<(EngineKey, u16), Report>);

impl ReportTable {
    fn is_ejected(&self, engine: EngineKey, now_ms: u64) -> bool {
        let reports =
            self.0.iter().filter(|((reported, _), _)| *reported == engine).map(|(_, report)| report);
        reports.filter(|report| report.expires_ms > now_ms).map(|report| report.weight).sum::<f64>() >= 2.0
    }
}

proptest! {
    /// With datagrams in any order, some lost and some repeated, the state stays bounded. Once the latest datagram of
    /// each sender is received, the ejections equal those of the model.
    #[test]
    fn ejections_do_not_depend_on_order_loss_and_repetition(
        facts in proptest::collection::vec((1u16..7, 0u64..4, 0u8..4, 100u16..900), 1..40),
        order in proptest::collection::vec(any::<prop::sample::Index>(), 0..120),
    ) {
        let keys = SigningKeys::default();
        let mut node = unsigned_node(0, 8, START_MS);
        // Every datagram contains the sender's latest fact on each engine.
        let mut latest_facts: BTreeMap<u16, BTreeMap<u64, Fact>> = BTreeMap::new();
        let mut datagrams = Vec::new();
        for (number, (from, engine, kind, ttl_centis)) in facts.into_iter().enumerate() {
            let sender_facts = latest_facts.entry(from).or_default();
            sender_facts.insert(
                engine,
                Fact { engine: EngineKey(engine), started: 0, kind, ttl_centis, value: 0 },
            );
            let sent = (START_MS + 10 + number as u64) * 1000;
            let facts = sender_facts.values().copied().collect();
            datagrams.push(Datagram { from, incarnation: START_MS, sent, facts, heartbeats: Vec::new() });
        }
        let now_ms = START_MS + 100;
        for index in &order {
            let datagram = index.get(&datagrams);
            let _ = node.on_datagram(Some(datagram.from), &keys.encode(datagram), now_ms);
            prop_assert!(node.entry_count() <= 8 + 8 + 20 * 9 + 20 * 25);
        }
        // Finally, the last datagram of each sender is delivered.
        let mut model = ReportTable::default();
        for (from, sender_facts) in &latest_facts {
            let last = datagrams.iter().rfind(|datagram| datagram.from == *from).unwrap();
            let _ = node.on_datagram(Some(*from), &keys.encode(last), now_ms);
            for fact in sender_facts.values().filter(|fact| fact.kind < 3) {
                let weight = if fact.kind == 2 { 0.5 } else { 1.0 };
                let expires_ms = now_ms + u64::from(fact.ttl_centis) * 10;
                model.0.insert((fact.engine, *from), Report { weight, expires_ms });
            }
        }
        // An earlier datagram may have a report on an engine where the last one has a fact of another kind.
        let all_are_reports =
            latest_facts.values().flat_map(|sender_facts| sender_facts.values()).all(|fact| fact.kind < 3);
        if all_are_reports {
            for at_ms in [now_ms + 1, now_ms + 2_000, now_ms + 5_000, now_ms + 9_000] {
                let ejected = (0..4).filter(|engine| model.is_ejected(EngineKey(*engine), at_ms)).count();
                prop_assert_eq!(node.ejected_count(at_ms), ejected, "at {}", at_ms - now_ms);
            }
        }
    }

    /// Arbitrary bytes cause no panic and no ejection.
    #[test]
    fn arbitrary_bytes_cause_no_panic_and_no_ejection(
        bytes in proptest::collection::vec(any::<u8>(), 0..300),
        from in 0u16..9,
    ) {
        let mut node = unsigned_node(0, 8, START_MS);
        let _ = node.on_datagram(Some(from), &bytes, START_MS);
        let decoded = SigningKeys::default().decode(&bytes);
        prop_assert!(decoded.is_err() || bytes.len() <= 256);
        prop_assert_eq!(node.ejected_count(START_MS), 0);
    }

    /// Every datagram that can be encoded is decoded unchanged.
    #[test]
    fn encoded_datagram_round_trips(
        from in any::<u16>(),
        incarnation in any::<u64>(),
        sent in any::<u64>(),
        facts in proptest::collection::vec((any::<u64>(), any::<u32>(), any::<u8>(), any::<u16>()), 0..6),
    ) {
        let fact = |(engine, started, kind, ttl_centis)| {
            Fact { engine: EngineKey(engine), started, kind, ttl_centis, value: 0 }
        };
        let facts = facts.into_iter().map(fact).collect();
        let datagram = Datagram { from, incarnation, sent, facts, heartbeats: Vec::new() };
        let keys = SigningKeys(vec![SigningKey::new(&[3; 32]).unwrap()]);
        prop_assert_eq!(keys.decode(&keys.encode(&datagram)), Ok(datagram));
    }
}
