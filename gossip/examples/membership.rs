//! Beats against SWIM (the crate `foca`) in virtual time, by what each costs and how well it tells the living from the
//! dead: bytes a second each, time until half and all have noticed a death, living ones taken for dead.
//! `cargo run --release -p reedwalk-gossip --example membership`

use foca::{
    AccumulatingRuntime, Config, Foca, Identity, Member, NoCustomBroadcast, OwnedNotification, PostcardCodec,
    Timer,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use reedwalk_gossip::{GossipAction, GossipNode, NodeSetup, SigningKeys};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::num::{NonZeroU32, NonZeroUsize};

/// Datagrams take 1 to 20 ms.
const SLOWEST: u64 = 20;
/// Time in which nobody dies, and the most that a death may take to be noticed.
const CALM: u64 = 60_000;
const NOTICED_BY: u64 = 60_000;

/// What a way of knowing each other is measured by.
trait Way {
    /// Lets a moment pass for one; gives what it sends.
    fn act(&mut self, one: usize, now: u64) -> Vec<(usize, Vec<u8>)>;
    fn receive(&mut self, one: usize, from: usize, bytes: &[u8], now: u64) -> Vec<(usize, Vec<u8>)>;
    fn lives(&self, one: usize, other: usize, now: u64) -> bool;
}

struct Beats(Vec<GossipNode>);

const START: u64 = 1_700_000_000_000;

impl Beats {
    fn new(count: usize) -> Self {
        let setup = |me| NodeSetup {
            me,
            count,
            max_bytes_per_second: 8192,
            keys: SigningKeys::default(),
            heartbeats: true,
            seed: u64::from(me),
        };
        Self((0..count as u16).map(|me| GossipNode::new(setup(me), START)).collect())
    }
}

impl Way for Beats {
    fn act(&mut self, one: usize, now: u64) -> Vec<(usize, Vec<u8>)> {
        let mut acts = Vec::new();
        if now >= self.0[one].next_due() - START {
            self.0[one].act(START + now, &mut acts);
        }
        acts.into_iter()
            .filter_map(|a| if let GossipAction::Send(to, b) = a { Some((usize::from(to), b)) } else { None })
            .collect()
    }

    fn receive(&mut self, one: usize, from: usize, bytes: &[u8], now: u64) -> Vec<(usize, Vec<u8>)> {
        let _ = self.0[one].on_datagram(Some(from as u16), bytes, START + now);
        Vec::new()
    }

    fn lives(&self, one: usize, other: usize, now: u64) -> bool {
        self.0[one].is_alive(other as u16, START + now)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Id {
    number: u16,
    life: u16,
}

impl Identity for Id {
    type Addr = u16;
    fn renew(&self) -> Option<Self> {
        Some(Self { life: self.life + 1, ..*self })
    }
    fn addr(&self) -> u16 {
        self.number
    }
    fn win_addr_conflict(&self, other: &Self) -> bool {
        self.life > other.life
    }
}

type One = Foca<Id, PostcardCodec, StdRng, NoCustomBroadcast>;

struct Swim {
    all: Vec<One>,
    timers: Vec<BTreeMap<(u64, u64), Timer<Id>>>,
    down: HashMap<(usize, usize), bool>,
    number: u64,
}

impl Swim {
    fn new(count: usize) -> Self {
        let mut config = Config::new_lan(NonZeroU32::new(count as u32).unwrap());
        config.max_packet_size = NonZeroUsize::new(236).unwrap();
        let id = |number| Id { number, life: 0 };
        let new = |n| Foca::new(id(n), config.clone(), StdRng::seed_from_u64(u64::from(n)), PostcardCodec);
        let all = (0..count as u16).map(new).collect();
        let mut swim = Self { all, timers: vec![BTreeMap::new(); count], down: HashMap::new(), number: 0 };
        for one in 0..count {
            let mut runtime = AccumulatingRuntime::new();
            // All are known by the deployment, as to ours.
            let others = (0..count as u16).filter(|n| *n != one as u16).map(|n| Member::alive(id(n)));
            swim.all[one].apply_many(others, false, &mut runtime).unwrap();
            swim.settle(one, runtime, 0);
        }
        swim
    }

    fn settle(
        &mut self,
        one: usize,
        mut runtime: AccumulatingRuntime<Id>,
        now: u64,
    ) -> Vec<(usize, Vec<u8>)> {
        while let Some((after, timer)) = runtime.to_schedule() {
            self.number += 1;
            self.timers[one].insert((now + after.as_millis() as u64, self.number), timer);
        }
        while let Some(notice) = runtime.to_notify() {
            match notice {
                OwnedNotification::MemberDown(id) => {
                    _ = self.down.insert((one, usize::from(id.number)), true)
                }
                OwnedNotification::MemberUp(id) => _ = self.down.insert((one, usize::from(id.number)), false),
                _ => {}
            }
        }
        std::iter::from_fn(|| runtime.to_send()).map(|(to, b)| (usize::from(to.number), b.to_vec())).collect()
    }
}

impl Way for Swim {
    fn act(&mut self, one: usize, now: u64) -> Vec<(usize, Vec<u8>)> {
        let mut sent = Vec::new();
        while let Some(first) = self.timers[one].first_entry().filter(|e| e.key().0 <= now) {
            let (timer, mut runtime) = (first.remove(), AccumulatingRuntime::new());
            let _ = self.all[one].handle_timer(timer, &mut runtime);
            sent.extend(self.settle(one, runtime, now));
        }
        sent
    }

    fn receive(&mut self, one: usize, _from: usize, bytes: &[u8], now: u64) -> Vec<(usize, Vec<u8>)> {
        let mut runtime = AccumulatingRuntime::new();
        let _ = self.all[one].handle_data(bytes, &mut runtime);
        self.settle(one, runtime, now)
    }

    fn lives(&self, one: usize, other: usize, _now: u64) -> bool {
        !self.down.get(&(one, other)).copied().unwrap_or(false)
    }
}

/// Plays a calm time, then a death.
fn play(name: &str, mut way: impl Way, count: usize, loss: f64, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut under_way: BTreeMap<(u64, u64), (usize, usize, Vec<u8>)> = BTreeMap::new();
    let (mut number, mut bytes, mut alarms, mut was) = (0, 0, 0, vec![true; count * count]);
    let (mut half, mut all, dead) = (None, None, 1);
    for now in (0..CALM + NOTICED_BY).step_by(5) {
        let mut sent = Vec::new();
        while let Some(first) = under_way.first_entry().filter(|e| e.key().0 <= now) {
            let (from, to, bytes) = first.remove();
            if now < CALM || to != dead {
                sent.extend(way.receive(to, from, &bytes, now).into_iter().map(|(other, b)| (to, other, b)));
            }
        }
        for one in (0..count).filter(|n| now < CALM || *n != dead) {
            sent.extend(way.act(one, now).into_iter().map(|(to, b)| (one, to, b)));
        }
        for (from, to, content) in sent {
            bytes += if now < CALM { content.len() } else { 0 };
            if rng.random::<f64>() >= loss {
                number += 1;
                under_way.insert((now + rng.random_range(1..=SLOWEST), number), (from, to, content));
            }
        }
        if now < CALM && now % 500 == 0 {
            for (pair, was) in was.iter_mut().enumerate() {
                let lives = way.lives(pair / count, pair % count, now) || pair / count == pair % count;
                alarms += usize::from(*was && !lives);
                *was = lives;
            }
        } else if now >= CALM && now % 50 == 0 {
            let noticed = (0..count).filter(|n| *n != dead && !way.lives(*n, dead, now)).count();
            let after = (now - CALM) as f64 / 1000.0;
            half = half.or((noticed * 2 >= count - 1).then_some(after));
            all = all.or((noticed == count - 1).then_some(after));
            if all.is_some() {
                break;
            }
        }
    }
    let each = bytes as f64 / count as f64 / (CALM as f64 / 1000.0);
    let time = |t: Option<f64>| t.map_or("never".to_owned(), |t| format!("{t:.2}"));
    println!("| {name} | {count} | {loss:.1} | {each:.0} | {} | {} | {alarms} |", time(half), time(all));
}

fn main() {
    println!(
        "| way | front ends | lost | bytes/s each | half noticed (s) | all noticed (s) | false alarms in 60 s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for count in [20, 100, 300] {
        for loss in [0.0, 0.3] {
            play("beats", Beats::new(count), count, loss, 1);
            play("foca", Swim::new(count), count, loss, 1);
        }
    }
}
