//! Simulates whole fleets of gossip nodes in virtual time with datagram loss: detection of dead gateways, and
//! dissemination of outlier reports and observations.

mod support;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use reedwalk_gossip::{
    AgreedObservation, EngineKey, FactKind, GossipAction, GossipNode, NodeConfig, OwnObservation,
    SigningKeys, dead_after,
};
use std::collections::{BTreeMap, BTreeSet};
use support::{MAX_BYTES_PER_SECOND, START_MS, engine_list, node_config, started_node, unsigned_node};

/// Interval between two ticks of every node.
const STEP_MS: u64 = 10;

/// A datagram in flight.
struct Delivery {
    from: u16,
    to: u16,
    bytes: Vec<u8>,
}

/// What a node has learned from the other nodes.
#[derive(Clone, Debug, Default)]
struct LearnedFacts {
    /// Engines ejected because of their reports.
    ejected: BTreeSet<EngineKey>,
    restarted: BTreeSet<EngineKey>,
    slow: BTreeSet<EngineKey>,
}

/// A fleet simulated in steps of [`STEP_MS`]. Datagrams take 1 to 60 ms; a share of them is lost.
struct Fleet {
    now_ms: u64,
    /// The nodes; `None` for a killed one.
    nodes: Vec<Option<GossipNode>>,
    /// Datagrams by delivery time and sequence number.
    in_flight: BTreeMap<(u64, u64), Delivery>,
    last_sequence: u64,
    loss: f64,
    rng: StdRng,
    learned: Vec<LearnedFacts>,
    sent_bytes: Vec<u64>,
}

impl Fleet {
    fn new(count: usize, loss: f64, seed: u64) -> Self {
        Self {
            now_ms: START_MS,
            nodes: (0..count).map(|node_id| Some(unsigned_node(node_id as u16, count, START_MS))).collect(),
            in_flight: BTreeMap::new(),
            last_sequence: 0,
            loss,
            rng: StdRng::seed_from_u64(seed),
            learned: vec![LearnedFacts::default(); count],
            sent_bytes: vec![0; count],
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.deliver();
        let mut actions = Vec::new();
        for node_id in 0..self.nodes.len() {
            let Some(node) = &mut self.nodes[node_id] else { continue };
            node.tick(self.now_ms, &mut actions);
            for action in actions.drain(..) {
                self.apply_action(node_id, action);
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(first) = self.in_flight.first_entry().filter(|entry| entry.key().0 <= self.now_ms) {
            let Delivery { from, to, bytes } = first.remove();
            if let Some(node) = &mut self.nodes[usize::from(to)] {
                let _ = node.on_datagram(Some(from), &bytes, self.now_ms);
            }
        }
    }

    fn apply_action(&mut self, node_id: usize, action: GossipAction) {
        match action {
            GossipAction::Send(to, bytes) => self.send(node_id, to, bytes),
            GossipAction::Eject(ejection) => {
                assert!(ejection.until > self.now_ms && ejection.until <= self.now_ms + 10_000);
                self.learned[node_id].ejected.insert(ejection.engine);
            }
            GossipAction::ApplyObservation(AgreedObservation::Restarted(engine, _)) => {
                self.learned[node_id].restarted.insert(engine);
            }
            GossipAction::ApplyObservation(AgreedObservation::Slow(engine, _)) => {
                self.learned[node_id].slow.insert(engine);
            }
            GossipAction::SetLiveGateways(count) => assert!(count >= 0.2 * self.nodes.len() as f64),
        }
    }

    fn send(&mut self, node_id: usize, to: u16, bytes: Vec<u8>) {
        assert!(bytes.len() <= 256);
        self.sent_bytes[node_id] += bytes.len() as u64;
        if self.rng.random::<f64>() >= self.loss {
            let at_ms = self.now_ms + self.rng.random_range(1..=60);
            self.last_sequence += 1;
            self.in_flight.insert((at_ms, self.last_sequence), Delivery { from: node_id as u16, to, bytes });
        }
    }

    fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.step();
        }
    }

    fn live_nodes(&self) -> impl Iterator<Item = &GossipNode> {
        self.nodes.iter().flatten()
    }

    /// Number of ordered pairs of live nodes of which one considers the other dead.
    fn false_alarms(&self) -> usize {
        let live: Vec<_> = (0..self.nodes.len()).filter(|node| self.nodes[*node].is_some()).collect();
        let is_dead = |observer: &GossipNode, node: &usize| !observer.is_live(*node as u16, self.now_ms);
        let dead_by = |observer| live.iter().filter(|node| is_dead(observer, node)).count();
        self.live_nodes().map(dead_by).sum()
    }

    /// Kills a node and returns the milliseconds until all others have detected it.
    fn detection_time_ms(&mut self, killed: u16) -> u64 {
        let begin_ms = self.now_ms;
        self.nodes[usize::from(killed)] = None;
        while self.live_nodes().any(|node| node.is_live(killed, self.now_ms)) {
            self.step();
            assert!(self.now_ms < begin_ms + 30_000, "the killed gateway was never detected");
        }
        self.now_ms - begin_ms
    }

    /// Reports from node `node_id` that it has ejected an engine for 4 s.
    fn report_failing(&mut self, node_id: usize, engine: EngineKey) {
        let now_ms = self.now_ms;
        let node = self.nodes[node_id].as_mut().unwrap();
        node.report_outlier(engine, FactKind::Failing, now_ms + 4_000, now_ms);
    }

    /// Number of nodes that have ejected an engine because of the reports of others.
    fn ejected_count(&self, engine: EngineKey) -> usize {
        self.learned.iter().filter(|learned| learned.ejected.contains(&engine)).count()
    }
}

#[test]
fn dead_gateways_are_detected_without_false_alarms() {
    for (count, loss) in [(2, 0.0), (20, 0.0), (20, 0.3), (100, 0.3)] {
        let mut fleet = Fleet::new(count, loss, 5);
        let mut false_alarms = 0;
        for _ in 0..20 {
            fleet.run(1_000);
            false_alarms += fleet.false_alarms();
        }
        let detected_ms = fleet.detection_time_ms(1);
        let max_rate = fleet.sent_bytes.iter().max().unwrap() / 20;
        println!(
            "{count} gateways, {loss} lost: detected after {detected_ms} ms, {false_alarms} false alarms, \
             {max_rate} B/s at most"
        );
        assert_eq!(false_alarms, 0);
        let dead_after_ms = dead_after(count);
        assert!((dead_after_ms - 600..dead_after_ms + 5_000).contains(&detected_ms), "{detected_ms}");
        assert!(max_rate < u64::from(MAX_BYTES_PER_SECOND), "{max_rate}");
    }
}

#[test]
fn two_reports_reach_all_and_one_has_no_effect() {
    let (reported_twice, reported_once) = (EngineKey(7), EngineKey(8));
    for (loss, min_reached) in [(0.0, 58), (0.3, 52), (0.5, 38)] {
        let mut fleet = Fleet::new(60, loss, 7);
        fleet.run(3_000);
        fleet.report_failing(3, reported_twice);
        fleet.report_failing(9, reported_twice);
        fleet.report_failing(4, reported_once);
        fleet.run(3_000);
        // All but the two reporters, each of which receives only one other report. A report is sent three times, so
        // few nodes miss it.
        let reached = fleet.ejected_count(reported_twice);
        let by_one_report = fleet.ejected_count(reported_once);
        println!("{loss} lost: {reached} of 58 gateways reached");
        assert!(
            (min_reached..=58).contains(&reached) && by_one_report == 0,
            "{loss} lost: {reached}, {by_one_report}"
        );
    }
}

/// Guards against an ejection that a lost datagram keeps from a gateway for seconds: the failed attempts of four gateways
/// suffice to eject an engine, and once most have ejected it nobody else reports it.
#[test]
fn failed_attempts_of_few_gateways_reach_all_despite_losses() {
    const ENGINE: EngineKey = EngineKey(7);
    const REPORTERS: usize = 4;
    let mut reached = 0;
    for seed in 1..=10 {
        let mut fleet = Fleet::new(20, 0.1, seed);
        fleet.run(3_000);
        let now_ms = fleet.now_ms;
        for node in fleet.nodes.iter_mut().take(REPORTERS).flatten() {
            node.report_outlier(ENGINE, FactKind::AttemptFailed, now_ms, now_ms);
        }
        fleet.run(1_000);
        reached += fleet.ejected_count(ENGINE);
    }
    println!("{reached} of 160 gateways reached within a second");
    assert!(reached >= 158, "{reached} of 160 gateways reached");
}

/// The restarted engine in [`observations_spread_at_any_fleet_size`], and the slow one.
const RESTARTED: EngineKey = EngineKey(3);
const SLOW: EngineKey = EngineKey(5);

/// Observations of a node; every second node observes the slow engine.
fn observations(node_id: usize) -> Vec<OwnObservation> {
    let slowdown = |engine| match engine {
        SLOW if node_id % 2 == 1 => Some(6.0),
        SLOW => None,
        _ => Some(1.1),
    };
    let observation = |engine| OwnObservation { engine, slowdown: slowdown(engine), threads: 0.5 };
    (0..20).map(|engine| observation(EngineKey(engine))).collect()
}

#[test]
fn observations_spread_at_any_fleet_size() {
    for (count, loss, max_spread_ms) in [(20, 0.0, 5_000), (20, 0.3, 8_000), (100, 0.3, 8_000)] {
        let mut fleet = Fleet::new(count, loss, 9);
        fleet.run(3_000);
        let mut restarted_list = engine_list();
        restarted_list.insert(RESTARTED, (fleet.now_ms / 1000) as u32);
        let begin_ms = fleet.now_ms;
        let mut spread_ms = None;
        while spread_ms.is_none() {
            let now_ms = fleet.now_ms;
            assert!(now_ms < begin_ms + max_spread_ms, "{count}, {loss}: {:?}", fleet.learned);
            for (node_id, node) in fleet.nodes.iter_mut().enumerate() {
                let node = node.as_mut().unwrap();
                // Half of the nodes learn of the restart from their endpoint list.
                if node_id % 2 == 0 {
                    node.set_engines(&restarted_list, now_ms);
                }
                node.set_observations(&observations(node_id), now_ms);
            }
            fleet.run(200);
            let has_learned_both = |node_id: usize| {
                let learned = &fleet.learned[node_id];
                (node_id.is_multiple_of(2) || learned.restarted.contains(&RESTARTED))
                    && learned.slow.contains(&SLOW)
            };
            spread_ms = (0..count).all(has_learned_both).then_some(fleet.now_ms - begin_ms);
        }
        fleet.run(5_000);
        assert_eq!(fleet.false_alarms(), 0, "heartbeats have their share of the bandwidth");
        let has_no_other_engines = |learned: &LearnedFacts| {
            learned.restarted.iter().all(|engine| *engine == RESTARTED)
                && learned.slow.iter().all(|engine| *engine == SLOW)
        };
        assert!(fleet.learned.iter().all(has_no_other_engines), "{:?}", fleet.learned);
        println!("{count} gateways, {loss} lost: all gateways know both after {} ms", spread_ms.unwrap());
    }
}

#[test]
fn without_heartbeats_only_reports_are_sent() {
    let config = node_config(0, 3, SigningKeys::default());
    let mut node = started_node(NodeConfig { heartbeats_enabled: false, ..config }, START_MS);
    let mut actions = Vec::new();
    (0..60_000).step_by(50).for_each(|elapsed_ms| node.tick(START_MS + elapsed_ms, &mut actions));
    assert_eq!((actions.len(), node.live_count(START_MS + 60_000)), (0, 3));
    let now_ms = START_MS + 60_000;
    node.report_outlier(EngineKey(1), FactKind::Failing, now_ms + 1_000, now_ms);
    (0..1_000).for_each(|elapsed_ms| node.tick(now_ms + elapsed_ms, &mut actions));
    let receiver = |action: &GossipAction| match action {
        GossipAction::Send(to, _) => Some(*to),
        _ => None,
    };
    let receiver_ids: BTreeSet<_> = actions.iter().filter_map(receiver).collect();
    assert_eq!(receiver_ids, BTreeSet::from([1, 2]));
}
