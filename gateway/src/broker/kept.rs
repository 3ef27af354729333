//! Keyed requests and stages of a front end that keeps a memory. What one may do is decided in `reedwalk-recovery`; here
//! stands which class has keys, which group an engine is in, and when there is something to write. Nothing is waited for.

use super::groups::Groups;
use super::message::Ask;
use crate::console::Health;
use crate::figures::Figures;
use crate::state::Note;
use crate::store::unix_ms;
use reedwalk_core::{Effect, EngineEntry, EngineId, Gateway, KeyScope};
use reedwalk_recovery::Millis;
use reedwalk_recovery::keys::{Keyed, Keys, Step};
use reedwalk_recovery::memory::KeyMemory;
use reedwalk_recovery::stages::{May, Return, Setup, Stage};
use reedwalk_settings::Deployment;
use slog::{Logger, info};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// How often all that was learned is written down.
const SAVE_EVERY: Duration = Duration::from_secs(5);
/// How often figures are renewed.
const REPORT_EVERY: Duration = Duration::from_millis(200);

/// What a broker needs to keep a memory.
#[derive(Debug)]
pub struct Keeping {
    /// Where it is written.
    pub notes: mpsc::Sender<Note>,
    /// Keys of the life before.
    pub keys: Vec<KeyMemory>,
    /// There is a name server to be waited for.
    pub names: bool,
    /// Says whether clients are served.
    pub health: Health,
}

/// What a request may do.
pub(super) enum Entry {
    /// Go on, bound to what may have run before: the group, and how long ago.
    Go(Option<(u64, Duration)>),
    /// Come back after that.
    Later(Duration),
}

pub(super) struct Kept {
    notes: mpsc::Sender<Note>,
    health: Health,
    figures: Arc<Figures>,
    back: Return,
    keys: Keys,
    classes: Vec<Option<(KeyScope, Keyed)>>,
    groups: Groups,
    save_at: Instant,
    report_at: Instant,
    epoch: (Millis, Instant),
    refused: u64,
    bound: u64,
    unkept: u64,
    draw: u64,
    log: Logger,
}

impl Kept {
    pub(super) fn new(keeping: Keeping, deployment: &Deployment, figures: Arc<Figures>, log: Logger) -> Self {
        let classes = deployment.core.classes.iter().map(|c| match c.effect {
            Effect::Keyed { scope, memory } => {
                let keyed = Keyed { all: scope == KeyScope::All, window: memory.as_millis() as Millis };
                Some((scope, keyed))
            }
            _ => None,
        });
        let classes: Vec<_> = classes.collect();
        let window = classes.iter().flatten().map(|c| c.1.window).max().unwrap_or(0);
        let (started, now) = (unix_ms(), Instant::now());
        let setup = Setup { started, window, peers: false, names: keeping.names };
        let back = Return::new(setup);
        keeping.health.hold(back.stage() < Stage::Letting);
        Self {
            notes: keeping.notes,
            health: keeping.health,
            figures,
            back,
            keys: Keys::new(&keeping.keys, window, started),
            classes,
            groups: Groups::default(),
            save_at: now,
            report_at: now,
            epoch: (started, now),
            refused: 0,
            bound: 0,
            unkept: 0,
            draw: started,
            log,
        }
    }

    fn ms(&self, now: Instant) -> Millis {
        self.epoch.0 + now.saturating_duration_since(self.epoch.1).as_millis() as Millis
    }

    pub(super) fn engines(&mut self, entries: &[EngineEntry]) {
        self.groups.take(entries);
    }

    /// What may a request that comes in do?
    pub(super) fn arrive(&mut self, ask: &Ask, now: Instant) -> Entry {
        let ms = self.ms(now);
        // A draw that needs no more than to differ from one request to the next.
        self.draw = self.draw.wrapping_mul(0x5851_F42D_4C95_7F2D).wrapping_add(0x1405_7B7E_F767_814F);
        let later = |when: Millis| Entry::Later(Duration::from_millis(when.saturating_sub(ms).max(1)));
        if let May::NotBefore(when) = self.back.admits((self.draw >> 32) as f64 / f64::from(u32::MAX)) {
            self.refused += 1;
            return later(when);
        }
        let keyed = self.classes.get(ask.class.0).copied().flatten();
        let Some(((_, keyed), nonce)) = keyed.zip(ask.nonce.as_deref()) else { return Entry::Go(None) };
        match self.keys.arrive(reedwalk_settings::key(nonce).0, keyed, ask.repeated, &self.back, ms) {
            Step::First => Entry::Go(None),
            Step::Again { group, ago } => {
                self.bound += 1;
                Entry::Go(Some((group, Duration::from_millis(ago))))
            }
            Step::NotBefore(when) => {
                self.refused += 1;
                later(when)
            }
        }
    }

    /// An attempt is about to be sent there.
    pub(super) fn send(&mut self, ask: &Ask, engine: EngineId, now: Instant) {
        let class = self.classes.get(ask.class.0).copied().flatten();
        let Some(((scope, _), nonce)) = class.zip(ask.nonce.as_deref()) else { return };
        let group = self.groups.of(engine, scope);
        let written = self.keys.send(reedwalk_settings::key(nonce).0, group, self.ms(now));
        if let Some(key) = written {
            self.unkept += u64::from(self.notes.try_send(Note::Key(key)).is_err());
        }
    }

    /// Goes on to the next stage, and writes down what was learned, when it is time.
    pub(super) fn act(&mut self, gateway: &Gateway, heard: bool, now: Instant) {
        let (ms, before) = (self.ms(now), self.back.left().len());
        if heard {
            self.back.listed(ms);
        }
        if self.back.stage() == Stage::Letting {
            self.back.pool(gateway.warmth(), ms);
        }
        self.back.go_on(ms);
        for (stage, at, because) in &self.back.left()[before..] {
            info!(self.log, "stage over"; "stage" => stage.name(), "because" => because.name(),
                "ms" => at - self.epoch.0, "next" => self.back.stage().name());
        }
        if self.back.left().len() > before {
            self.health.hold(self.back.stage() < Stage::Letting);
        }
        if now >= self.save_at {
            self.save_at = now + SAVE_EVERY;
            let keys = self.keys.all(ms);
            let all = Note::All(gateway.paces(), gateway.views().collect(), keys);
            self.unkept += u64::from(self.notes.try_send(all).is_err());
        }
        if now >= self.report_at {
            self.report_at = now + REPORT_EVERY;
            self.figures.set_return(vec![
                ("stage", self.back.stage() as u64, 'g'),
                ("refused", self.refused, 'c'),
                ("bound", self.bound, 'c'),
                ("unkept", self.unkept, 'c'),
            ]);
        }
    }
}
