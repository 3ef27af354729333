//! Compares the heartbeats of this crate with SWIM (the crate `foca`) in virtual time, by cost and accuracy: bytes
//! per second of each gateway, time until half of the gateways and all of them have detected a dead one, and live
//! gateways declared dead.
//! `cargo run --release -p reedwalk-gossip --example membership`

use foca::{
    AccumulatingRuntime, Config, Foca, Identity, Member, NoCustomBroadcast, OwnedNotification, PostcardCodec,
    Timer,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use reedwalk_gossip::{GossipAction, GossipNode, NodeConfig, SigningKeys};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::num::{NonZeroU32, NonZeroUsize};

/// Maximum delay of a datagram; the minimum is 1 ms.
const MAX_DELAY_MS: u64 = 20;
/// Phase in which all gateways are alive, for measuring the bytes sent and the false alarms.
const ALL_LIVE_MS: u64 = 60_000;
/// Time limit for detecting the dead gateway in the phase after it.
const DETECTION_TIMEOUT_MS: u64 = 60_000;
/// Step of the virtual time.
const STEP_MS: u64 = 5;
/// Interval between checks for false alarms.
const FALSE_ALARM_CHECK_INTERVAL_MS: u64 = 500;
/// Interval between checks of how many gateways have detected the dead one.
const DETECTION_CHECK_INTERVAL_MS: u64 = 50;
/// The gateway that is killed.
const KILLED: usize = 1;
/// Time of the first call, in milliseconds of Unix time.
const START_MS: u64 = 1_700_000_000_000;

/// A datagram to be sent to gateway `to`.
struct Outgoing {
    to: usize,
    bytes: Vec<u8>,
}

/// A membership protocol, run for all gateways of a fleet; times are since the start.
trait MembershipProtocol {
    /// Runs what is due at one gateway; returns the datagrams it sends.
    fn advance(&mut self, gateway: usize, now_ms: u64) -> Vec<Outgoing>;
    /// Delivers a datagram to a gateway; returns the datagrams it sends in reply.
    fn receive(&mut self, gateway: usize, from: usize, bytes: &[u8], now_ms: u64) -> Vec<Outgoing>;
    /// Whether `observer` considers `gateway` alive.
    fn is_live(&self, observer: usize, gateway: usize, now_ms: u64) -> bool;
}

/// The heartbeats of this crate.
struct Heartbeats(Vec<GossipNode>);

impl Heartbeats {
    fn new(count: usize) -> Self {
        let config = |id| NodeConfig {
            local_id: id,
            gateway_count: count,
            max_bytes_per_second: 8192,
            signing_keys: SigningKeys::default(),
            heartbeats_enabled: true,
            seed: u64::from(id),
        };
        Self((0..count as u16).map(|id| GossipNode::new(config(id), START_MS)).collect())
    }
}

impl MembershipProtocol for Heartbeats {
    fn advance(&mut self, gateway: usize, now_ms: u64) -> Vec<Outgoing> {
        let node = &mut self.0[gateway];
        let mut actions = Vec::new();
        if now_ms >= node.next_tick_at() - START_MS {
            node.tick(START_MS + now_ms, &mut actions);
        }
        let outgoing = |action| match action {
            GossipAction::Send(to, bytes) => Some(Outgoing { to: usize::from(to), bytes }),
            _ => None,
        };
        actions.into_iter().filter_map(outgoing).collect()
    }

    fn receive(&mut self, gateway: usize, from: usize, bytes: &[u8], now_ms: u64) -> Vec<Outgoing> {
        let _ = self.0[gateway].on_datagram(Some(from as u16), bytes, START_MS + now_ms);
        Vec::new()
    }

    fn is_live(&self, observer: usize, gateway: usize, now_ms: u64) -> bool {
        self.0[observer].is_live(gateway as u16, START_MS + now_ms)
    }
}

/// Identity of a SWIM member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct MemberId {
    number: u16,
    incarnation: u16,
}

impl Identity for MemberId {
    type Addr = u16;

    fn renew(&self) -> Option<Self> {
        Some(Self { incarnation: self.incarnation + 1, ..*self })
    }

    fn addr(&self) -> u16 {
        self.number
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        self.incarnation > other.incarnation
    }
}

type SwimMember = Foca<MemberId, PostcardCodec, StdRng, NoCustomBroadcast>;

/// SWIM, as implemented by `foca`.
struct Swim {
    members: Vec<SwimMember>,
    /// Timers of each member, by due time and sequence number.
    timers: Vec<BTreeMap<(u64, u64), Timer<MemberId>>>,
    last_timer: u64,
    /// Whether a member is dead, by observer and member.
    is_down: HashMap<(usize, usize), bool>,
}

impl Swim {
    fn new(count: usize) -> Self {
        let mut config = Config::new_lan(NonZeroU32::new(count as u32).unwrap());
        config.max_packet_size = NonZeroUsize::new(236).unwrap();
        let id = |number| MemberId { number, incarnation: 0 };
        let member = |number| {
            let rng = StdRng::seed_from_u64(u64::from(number));
            Foca::new(id(number), config.clone(), rng, PostcardCodec)
        };
        let members = (0..count as u16).map(member).collect();
        let timers = vec![BTreeMap::new(); count];
        let mut swim = Self { members, timers, last_timer: 0, is_down: HashMap::new() };
        for gateway in 0..count {
            let mut runtime = AccumulatingRuntime::new();
            // All members are configured in advance, as they are for the heartbeats.
            let others = (0..count as u16).filter(|number| *number != gateway as u16);
            let others = others.map(|number| Member::alive(id(number)));
            swim.members[gateway].apply_many(others, false, &mut runtime).unwrap();
            swim.apply_runtime(gateway, runtime, 0);
        }
        swim
    }

    /// Schedules the timers and records the notifications of a call; returns the datagrams it sends.
    fn apply_runtime(
        &mut self,
        gateway: usize,
        mut runtime: AccumulatingRuntime<MemberId>,
        now_ms: u64,
    ) -> Vec<Outgoing> {
        while let Some((delay, timer)) = runtime.to_schedule() {
            self.last_timer += 1;
            let due_ms = now_ms + delay.as_millis() as u64;
            self.timers[gateway].insert((due_ms, self.last_timer), timer);
        }
        while let Some(notification) = runtime.to_notify() {
            let (member, is_down) = match notification {
                OwnedNotification::MemberDown(member) => (member, true),
                OwnedNotification::MemberUp(member) => (member, false),
                _ => continue,
            };
            self.is_down.insert((gateway, usize::from(member.number)), is_down);
        }
        let datagrams = std::iter::from_fn(|| runtime.to_send());
        datagrams.map(|(to, bytes)| Outgoing { to: usize::from(to.number), bytes: bytes.to_vec() }).collect()
    }
}

impl MembershipProtocol for Swim {
    fn advance(&mut self, gateway: usize, now_ms: u64) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        while let Some(first) = self.timers[gateway].first_entry().filter(|entry| entry.key().0 <= now_ms) {
            let timer = first.remove();
            let mut runtime = AccumulatingRuntime::new();
            let _ = self.members[gateway].handle_timer(timer, &mut runtime);
            outgoing.extend(self.apply_runtime(gateway, runtime, now_ms));
        }
        outgoing
    }

    fn receive(&mut self, gateway: usize, _from: usize, bytes: &[u8], now_ms: u64) -> Vec<Outgoing> {
        let mut runtime = AccumulatingRuntime::new();
        let _ = self.members[gateway].handle_data(bytes, &mut runtime);
        self.apply_runtime(gateway, runtime, now_ms)
    }

    fn is_live(&self, observer: usize, gateway: usize, _now_ms: u64) -> bool {
        !self.is_down.get(&(observer, gateway)).copied().unwrap_or(false)
    }
}

/// A datagram in flight.
struct Delivery {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// Simulation of a fleet: first all gateways are alive, then one of them is killed.
struct Simulation<P> {
    protocol: P,
    count: usize,
    loss: f64,
    rng: StdRng,
    /// Datagrams by delivery time and sequence number.
    in_flight: BTreeMap<(u64, u64), Delivery>,
    last_sequence: u64,
    /// Bytes sent while all gateways are alive.
    bytes: usize,
    /// Whether an observer considered a gateway alive at the last check, for each pair.
    was_live: Vec<bool>,
    false_alarms: usize,
    /// Seconds until half of the other gateways, and all of them, have detected the killed one.
    half_detected: Option<f64>,
    all_detected: Option<f64>,
}

impl<P: MembershipProtocol> Simulation<P> {
    fn new(protocol: P, count: usize, loss: f64, seed: u64) -> Self {
        Self {
            protocol,
            count,
            loss,
            rng: StdRng::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            last_sequence: 0,
            bytes: 0,
            was_live: vec![true; count * count],
            false_alarms: 0,
            half_detected: None,
            all_detected: None,
        }
    }

    fn run(&mut self) {
        for now_ms in (0..ALL_LIVE_MS + DETECTION_TIMEOUT_MS).step_by(STEP_MS as usize) {
            let mut sent = self.deliver(now_ms);
            for from in (0..self.count).filter(|gateway| is_running(*gateway, now_ms)) {
                let outgoing = self.protocol.advance(from, now_ms).into_iter();
                sent.extend(outgoing.map(|Outgoing { to, bytes }| Delivery { from, to, bytes }));
            }
            sent.into_iter().for_each(|delivery| self.send(delivery, now_ms));
            if now_ms < ALL_LIVE_MS {
                if now_ms.is_multiple_of(FALSE_ALARM_CHECK_INTERVAL_MS) {
                    self.count_false_alarms(now_ms);
                }
            } else if now_ms.is_multiple_of(DETECTION_CHECK_INTERVAL_MS) {
                self.check_detection(now_ms);
                if self.all_detected.is_some() {
                    return;
                }
            }
        }
    }

    /// Delivers the datagrams that are due; returns those that the receivers send.
    fn deliver(&mut self, now_ms: u64) -> Vec<Delivery> {
        let mut sent = Vec::new();
        while let Some(first) = self.in_flight.first_entry().filter(|entry| entry.key().0 <= now_ms) {
            let Delivery { from, to, bytes } = first.remove();
            if is_running(to, now_ms) {
                let outgoing = self.protocol.receive(to, from, &bytes, now_ms).into_iter();
                sent.extend(outgoing.map(|next| Delivery { from: to, to: next.to, bytes: next.bytes }));
            }
        }
        sent
    }

    fn send(&mut self, delivery: Delivery, now_ms: u64) {
        if now_ms < ALL_LIVE_MS {
            self.bytes += delivery.bytes.len();
        }
        if self.rng.random::<f64>() >= self.loss {
            self.last_sequence += 1;
            let at_ms = now_ms + self.rng.random_range(1..=MAX_DELAY_MS);
            self.in_flight.insert((at_ms, self.last_sequence), delivery);
        }
    }

    fn count_false_alarms(&mut self, now_ms: u64) {
        for (pair, was_live) in self.was_live.iter_mut().enumerate() {
            let (observer, gateway) = (pair / self.count, pair % self.count);
            let is_live = observer == gateway || self.protocol.is_live(observer, gateway, now_ms);
            self.false_alarms += usize::from(*was_live && !is_live);
            *was_live = is_live;
        }
    }

    fn check_detection(&mut self, now_ms: u64) {
        let others = (0..self.count).filter(|gateway| *gateway != KILLED);
        let detected = others.filter(|other| !self.protocol.is_live(*other, KILLED, now_ms)).count();
        let elapsed_seconds = (now_ms - ALL_LIVE_MS) as f64 / 1000.0;
        if detected * 2 >= self.count - 1 {
            self.half_detected = self.half_detected.or(Some(elapsed_seconds));
        }
        if detected == self.count - 1 {
            self.all_detected = self.all_detected.or(Some(elapsed_seconds));
        }
    }

    fn print_row(&self, name: &str) {
        let seconds = ALL_LIVE_MS as f64 / 1000.0;
        let bytes_per_second = self.bytes as f64 / self.count as f64 / seconds;
        let time =
            |seconds: Option<f64>| seconds.map_or("never".to_owned(), |seconds| format!("{seconds:.2}"));
        println!(
            "| {name} | {} | {:.1} | {bytes_per_second:.0} | {} | {} | {} |",
            self.count,
            self.loss,
            time(self.half_detected),
            time(self.all_detected),
            self.false_alarms
        );
    }
}

fn is_running(gateway: usize, now_ms: u64) -> bool {
    now_ms < ALL_LIVE_MS || gateway != KILLED
}

fn simulate(name: &str, protocol: impl MembershipProtocol, count: usize, loss: f64, seed: u64) {
    let mut simulation = Simulation::new(protocol, count, loss, seed);
    simulation.run();
    simulation.print_row(name);
}

fn main() {
    println!(
        "| protocol | gateways | lost | bytes/s each | half detected (s) | all detected (s) | false alarms in 60 s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for count in [20, 100, 300] {
        for loss in [0.0, 0.3] {
            simulate("heartbeats", Heartbeats::new(count), count, loss, 1);
            simulate("foca", Swim::new(count), count, loss, 1);
        }
    }
}
