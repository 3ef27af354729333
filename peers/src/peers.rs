//! One front end's side of it: what it takes in, when it speaks, to whom and of what.

use crate::alive::{AHEAD, Alive};
use crate::news::{Belief, EngineKey, News};
use crate::pace::Pace;
use crate::views::{Seen, View, Views};
use crate::wire::{BadDatagram, Datagram, Fact, Keys, Kind, LENGTH_MOST};
use crate::{Millis, PeerId};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// A sign of life goes to one other so often, drawn evenly between half and one and a half of this.
const EVERY: Millis = 125;
/// News goes to so many others at a time, so often, until all that live were told three times: of ten
/// datagrams three may be lost.
const PUSH: usize = 8;
const PUSH_EVERY: Millis = 50;
const PASSES: u32 = 3;
/// Facts in a datagram at most.
const FACTS: usize = 8;
/// Views of engines go to one other so often, drawn as signs of life are, in datagrams of their own: signs of life keep
/// their room. Each hears so many of them a second whatever the size of the fleet.
const VIEWS_EVERY: Millis = 250;
/// And so often while there is more to tell than what is usual.
const NEWS_EVERY: Millis = 80;
/// A front end that was not run for so long has slept: what it finds in the next moments is of its own making.
const SLEPT: Millis = 1_000;
/// What is older than this on our clock is not taken.
const STALE: Millis = 5_000;
/// Datagrams of one origin that are looked at a second: more than all that the cap lets it send.
const FLOOD: f64 = 200.0;
/// Shares of a second's bytes that the bucket holds and that it is filled with: together less than all, so that no
/// second has more, not even one in which a few come late.
const BURST: f64 = 0.25;
const RATE: f64 = 0.7;
/// Share of the bucket that is left for signs of life by those who tell news.
const LEFT: f64 = 0.25;

/// What a front end is told of its tier.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Its own number.
    pub me: PeerId,
    /// How many front ends there are by the deployment, this one included.
    pub count: usize,
    /// Bytes that it sends a second at most.
    pub bytes_most: u32,
    /// Keys; with none, datagrams are not signed.
    pub keys: Keys,
    /// Signs of life and views of engines are told. Without them only news is, and nobody is ever taken for dead.
    pub beats: bool,
    /// For random numbers.
    pub seed: u64,
}

/// Without a sign of life for so long, a front end of a tier of so many is taken for dead: rumours take longer to get
/// round the more there are, and each of them is told less often.
pub fn dead_after(count: usize) -> Millis {
    5_000 + 15 * count as Millis
}

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Send these bytes to this front end.
    Send(PeerId, Vec<u8>),
    /// Enough others speak against an engine.
    Hear(Belief),
    /// How an engine looks to others.
    Look(View),
    /// So many front ends are to be reckoned with.
    Living(f64),
}

/// Counts, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Datagrams sent, and their bytes.
    pub sent: u64,
    /// Bytes sent.
    pub bytes: u64,
    /// Not sent, or later, since the cap was reached.
    pub held_back: u64,
    /// Datagrams taken.
    pub taken: u64,
    /// Not taken: no peer's.
    pub stranger: u64,
    /// Not taken: its origin sends more than any may.
    pub flood: u64,
    /// Not taken: signed by none of our keys.
    pub forged: u64,
    /// Not taken: unreadable.
    pub garbled: u64,
    /// Not taken: old, repeated, or of a time to come.
    pub stale: u64,
    /// Findings of this front end's own that it told.
    pub found: u64,
    /// Findings kept back, since it had just slept.
    pub kept_back: u64,
    /// Engines set aside on what others said.
    pub believed: u64,
    /// Times that enough others said of an engine how it looks.
    pub views: u64,
}

/// What is remembered of one other front end.
#[derive(Clone, Copy, Debug)]
struct Other {
    born: Millis,
    sent: u64,
    pace: Pace,
}

/// What a datagram is for.
enum Telling {
    /// Signs of life, with the news that there is.
    Beats,
    /// News alone.
    News,
    /// How engines look.
    Views(Vec<Fact>),
}

/// All that one front end knows of the others, and by them.
#[derive(Debug)]
pub struct Peers {
    setup: Setup,
    born: Millis,
    others: Vec<Other>,
    alive: Alive,
    news: News,
    views: Views,
    pace: Pace,
    rng: StdRng,
    /// Microseconds of the last datagram: the next one is later.
    sent: u64,
    next_beat: Millis,
    next_push: Millis,
    next_views: Millis,
    /// Who is still to be told the news, and how often all of them after that.
    to_tell: Vec<PeerId>,
    passes: u32,
    acted: Millis,
    deaf_until: Millis,
    counted: f64,
    tally: Tally,
}

impl Peers {
    /// A front end that starts now and has heard nothing yet.
    pub fn new(setup: Setup, now: Millis) -> Self {
        let most = f64::from(setup.bytes_most);
        let burst = (most * BURST).max(LENGTH_MOST as f64);
        let other = Other { born: 0, sent: 0, pace: Pace::new(FLOOD, FLOOD, now) };
        let mut rng = StdRng::seed_from_u64(setup.seed);
        // All may have started in the same moment.
        let next_beat = if setup.beats { now + rng.random_range(0..=EVERY) } else { Millis::MAX };
        let dead_after = if setup.beats { dead_after(setup.count) } else { Millis::MAX };
        Self {
            born: now,
            others: vec![other; setup.count],
            alive: Alive::new(setup.me, setup.count, dead_after, now),
            news: News::default(),
            views: Views::default(),
            pace: Pace::new(most * RATE, burst, now),
            rng,
            sent: now * 1000,
            next_beat,
            next_push: now,
            next_views: next_beat,
            to_tell: Vec::new(),
            passes: 0,
            acted: now,
            deaf_until: now,
            counted: setup.count as f64,
            tally: Tally::default(),
            setup,
        }
    }

    /// Counts since the start.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// Front ends that live, this one included.
    pub fn living(&self, now: Millis) -> usize {
        self.alive.living(now)
    }

    /// Other keys from now on; what was signed with the ones before counts only where they are among these.
    pub fn rekey(&mut self, keys: Keys) {
        self.setup.keys = keys;
    }

    /// Does this one live, as far as is known?
    pub fn lives(&self, peer: PeerId, now: Millis) -> bool {
        self.alive.lives(peer, now)
    }

    /// Engines that enough others speak against now.
    pub fn believed(&self, now: Millis) -> usize {
        self.news.believed(now)
    }

    /// Things remembered, for watching that they stay bounded.
    pub fn held(&self) -> usize {
        self.others.len() + self.to_tell.len() + self.news.held() + self.views.held()
    }

    /// The engines that there are, with the second of their start (0: long ago).
    pub fn engines(&mut self, listed: &BTreeMap<EngineKey, u32>, now: Millis) {
        self.news.engines(listed);
        self.views.engines(listed, now);
    }

    /// How engines look to this front end.
    pub fn see(&mut self, seen: &[Seen], now: Millis) {
        self.wake(now);
        if now >= self.deaf_until {
            self.views.see(seen, now);
        }
    }

    /// Threads that all the others use at an engine, by what a few of them say.
    pub fn used(&self, engine: EngineKey, now: Millis) -> Option<f64> {
        self.views.used(engine, self.living(now) - 1, now)
    }

    /// This front end has found by its own traffic that an engine is to be left alone until then, or has seen one attempt
    /// fail there ([`Kind::Erred`]).
    pub fn find(&mut self, engine: EngineKey, kind: Kind, until: Millis, now: Millis) {
        self.wake(now);
        if now < self.deaf_until {
            self.tally.kept_back += 1;
        } else if self.news.find(engine, kind, until, now) {
            self.tally.found += 1;
            if kind == Kind::Erred {
                self.passes = self.passes.max(1);
            } else {
                self.passes = PASSES;
                self.to_tell.clear();
            }
        }
    }

    /// A datagram came in from the address of this peer, or of none.
    ///
    /// # Errors
    /// Says why it was not taken; it is counted.
    pub fn receive(&mut self, from: Option<PeerId>, bytes: &[u8], now: Millis) -> Result<(), BadDatagram> {
        self.wake(now);
        let taken = self.take(from, bytes, now);
        let count = match taken {
            Ok(()) => &mut self.tally.taken,
            Err(BadDatagram::Stranger) => &mut self.tally.stranger,
            Err(BadDatagram::Flood) => &mut self.tally.flood,
            Err(BadDatagram::Forged) => &mut self.tally.forged,
            Err(BadDatagram::Garbled) => &mut self.tally.garbled,
            Err(BadDatagram::Stale | BadDatagram::Future) => &mut self.tally.stale,
        };
        *count += 1;
        taken
    }

    fn take(&mut self, from: Option<PeerId>, bytes: &[u8], now: Millis) -> Result<(), BadDatagram> {
        let from = from.filter(|p| *p != self.setup.me).ok_or(BadDatagram::Stranger)?;
        let other = self.others.get_mut(usize::from(from)).ok_or(BadDatagram::Stranger)?;
        // Before its signature is looked at, which costs more.
        if !other.pace.take(1.0, now) {
            return Err(BadDatagram::Flood);
        }
        let datagram = self.setup.keys.open(bytes)?;
        if datagram.from != from {
            return Err(BadDatagram::Stranger);
        }
        let sent = datagram.sent / 1000;
        if datagram.born > sent {
            return Err(BadDatagram::Garbled);
        }
        if sent > now + AHEAD {
            return Err(BadDatagram::Future);
        }
        let again = datagram.born == other.born && datagram.sent <= other.sent;
        if sent + STALE < now || datagram.born < other.born || again {
            return Err(BadDatagram::Stale);
        }
        if datagram.born > other.born {
            // It has restarted: what it found in its life before is not known to it any more.
            self.news.forget(from);
            self.views.forget(from);
        }
        (other.born, other.sent) = (datagram.born, datagram.sent);
        self.alive.beat(from, Datagram::steps(sent), now);
        for (peer, at) in datagram.beats(self.others.len()) {
            self.alive.beat(peer, at, now);
        }
        for fact in &datagram.facts {
            self.news.hear(from, fact, now);
            self.views.hear(from, fact, now);
        }
        Ok(())
    }

    /// Was this process not run for a while?
    fn wake(&mut self, now: Millis) {
        let gap = now.saturating_sub(self.acted);
        if gap > SLEPT {
            self.alive.slept(gap);
            self.deaf_until = now + SLEPT;
        }
        self.acted = self.acted.max(now);
    }

    /// When [`Peers::act`] is wanted next, if nothing happens before.
    pub fn due(&self) -> Millis {
        let due = self.next_beat.min(self.next_views);
        if self.passes > 0 { due.min(self.next_push) } else { due }
    }

    /// What is to be done now.
    pub fn act(&mut self, now: Millis, acts: &mut Vec<Act>) {
        self.wake(now);
        if now >= self.next_beat {
            self.next_beat = now + self.rng.random_range(EVERY / 2..=EVERY + EVERY / 2);
            // One in some goes to any, so that who was taken for dead hears of the others again.
            let living = self.rng.random_range(0..4) > 0;
            let to = self.draw(living, now);
            to.into_iter().for_each(|to| _ = self.send(to, Telling::Beats, now, acts));
        }
        if now >= self.next_views {
            let every = if self.views.has_news(now) { NEWS_EVERY } else { VIEWS_EVERY };
            self.next_views = now + self.rng.random_range(every / 2..=every + every / 2);
            let facts = if now >= self.deaf_until { self.views.facts(FACTS, now) } else { Vec::new() };
            if let Some(to) = self.draw(true, now).filter(|_| !facts.is_empty()) {
                self.send(to, Telling::Views(facts), now, acts);
            }
        }
        if self.passes > 0 && now >= self.next_push {
            self.next_push = now + PUSH_EVERY;
            self.push(now, acts);
        }
        for mut belief in self.news.beliefs(now) {
            self.tally.believed += 1;
            // All hear of it in the same moment; they are not to come back in the same one.
            belief.until -= self.rng.random_range(0..=(belief.until - now) / 2);
            acts.push(Act::Hear(belief));
        }
        let views = self.views.views(now);
        self.tally.views += views.len() as u64;
        acts.extend(views.into_iter().map(Act::Look));
        let counted = self.alive.counted(now);
        if (counted - self.counted).abs() > 0.02 * self.counted
            || counted == self.others.len() as f64 && self.counted < counted
        {
            self.counted = counted;
            acts.push(Act::Living(counted));
        }
    }

    /// Tells the news to the next few.
    fn push(&mut self, now: Millis, acts: &mut Vec<Act>) {
        if !self.news.has_own(now) {
            self.passes = 0;
            return;
        }
        if self.to_tell.is_empty() {
            let all = 0..self.others.len() as PeerId;
            self.to_tell = all.filter(|p| *p != self.setup.me && self.alive.lives(*p, now)).collect();
            self.to_tell.shuffle(&mut self.rng);
        }
        for _ in 0..PUSH {
            let Some(&to) = self.to_tell.last() else { break };
            if !self.send(to, Telling::News, now, acts) {
                return;
            }
            self.to_tell.pop();
        }
        if self.to_tell.is_empty() {
            self.passes -= 1;
        }
    }

    /// Another front end by lot.
    fn draw(&mut self, living: bool, now: Millis) -> Option<PeerId> {
        let count = self.others.len();
        if count < 2 {
            return None;
        }
        let begin = self.rng.random_range(0..count);
        let from_there = (0..count).map(|n| ((begin + n) % count) as PeerId).filter(|p| *p != self.setup.me);
        // A run of dead ones would make the living one behind it a favourite; so a few are drawn first.
        if living {
            for _ in 0..4 {
                let one = self.rng.random_range(0..count) as PeerId;
                if one != self.setup.me && self.alive.lives(one, now) {
                    return Some(one);
                }
            }
            return from_there
                .clone()
                .find(|p| self.alive.lives(*p, now))
                .or_else(|| from_there.clone().next());
        }
        from_there.clone().next()
    }

    fn send(&mut self, to: PeerId, what: Telling, now: Millis, acts: &mut Vec<Act>) -> bool {
        self.sent = (self.sent + 1).max(now * 1000);
        let mut datagram =
            Datagram { from: self.setup.me, born: self.born, sent: self.sent, ..Datagram::default() };
        // Of what is told beside them, a part of the bucket stays for signs of life.
        let bucket = f64::from(self.setup.bytes_most) * BURST;
        let leaves = if matches!(what, Telling::Beats) { 0.0 } else { bucket * LEFT };
        datagram.facts = match what {
            Telling::Views(facts) => facts,
            _ if now >= self.deaf_until => self.news.facts(FACTS, now),
            _ => Vec::new(),
        };
        if leaves == 0.0 {
            self.beats(to, &mut datagram, now);
        }
        let bytes = self.setup.keys.seal(&datagram);
        if !self.pace.take_leaving(bytes.len() as f64, leaves, now) {
            self.tally.held_back += 1;
            return false;
        }
        self.tally.sent += 1;
        self.tally.bytes += bytes.len() as u64;
        acts.push(Act::Send(to, bytes));
        true
    }

    /// Signs of life of others, from a drawn place on, as many as there is room for.
    fn beats(&mut self, to: PeerId, datagram: &mut Datagram, now: Millis) {
        // Two bytes a beat, and their count has one more than in an empty line of them.
        let fixed = postcard::to_allocvec(&*datagram).map_or(LENGTH_MOST, |b| b.len()) + 1;
        let room = self.setup.keys.room().saturating_sub(fixed);
        let count = self.others.len();
        let begin = self.rng.random_range(0..count.max(1));
        let mut last = usize::from(self.setup.me);
        for peer in (0..count).map(|n| (begin + n) % count) {
            let id = peer as PeerId;
            if id == to || id == self.setup.me || !self.alive.lives(id, now) {
                continue;
            }
            let beat = self.alive.latest(id).and_then(|l| datagram.beat((peer + count - last) % count, l));
            let Some(beat) = beat else { continue };
            if datagram.beats.len() >= room / 2 {
                return;
            }
            last = peer;
            datagram.beats.push(beat);
        }
    }
}
