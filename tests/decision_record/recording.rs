//! Hash of a stream's actions and the times of their steps, with counts and intermediate checkpoints.

use crate::encoding;
use reedwalk_scheduler::*;
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// Number of steps between checkpoints.
const CHECKPOINT_STEPS: u64 = 500;

/// Hash, counts and checkpoints of a stream so far.
pub struct Recording {
    hasher: blake3::Hasher,
    steps: u64,
    events: u64,
    actions: u64,
    counts: BTreeMap<String, u64>,
    checkpoints: Vec<String>,
}

impl Recording {
    pub fn new() -> Self {
        Self {
            hasher: blake3::Hasher::new(),
            steps: 0,
            events: 0,
            actions: 0,
            counts: BTreeMap::new(),
            checkpoints: Vec::new(),
        }
    }

    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// Adds a step: hashes its time and its actions in order, and counts its events and actions by kind.
    pub fn add_step(&mut self, now: u64, events: &[Event], actions: &[Action]) {
        self.hash_line(&format!("step {now}"));
        for event in events {
            self.events += u64::from(*event != Event::WakeUp);
            self.count(format!("event {}", encoding::event_kind(event)));
            encoding::event_detail(event).into_iter().for_each(|detail| self.count(detail.to_owned()));
        }
        for action in actions {
            self.actions += 1;
            self.count(format!("action {}", encoding::action_kind(action)));
            self.hash_line(&encoding::action(action));
        }
        self.steps += 1;
        if self.steps.is_multiple_of(CHECKPOINT_STEPS) {
            let hash = self.hasher.finalize().to_hex();
            self.checkpoints.push(format!("checkpoint {} at {now}: {}", self.steps, &hash[..16]));
        }
    }

    /// Hashes the values of the scheduler's public read methods.
    pub fn add_readout(&mut self, scheduler: &Scheduler) {
        self.hash_line(&encoding::readout(scheduler));
    }

    fn hash_line(&mut self, line: &str) {
        self.hasher.update(line.as_bytes());
        self.hasher.update(b"\n");
    }

    fn count(&mut self, kind: String) {
        *self.counts.entry(kind).or_default() += 1;
    }

    /// The text of the golden file.
    pub fn text(&self) -> String {
        let Self { steps, events, actions, .. } = self;
        let counts = self.counts.iter().map(|(kind, count)| format!("{kind}: {count}"));
        let mut text = format!("steps: {steps}\nevents: {events}\nactions: {actions}\n");
        for line in counts.chain(self.checkpoints.iter().cloned()) {
            writeln!(text, "{line}").expect("writing to a string cannot fail");
        }
        writeln!(text, "hash: {}", self.hasher.finalize().to_hex()).expect("writing to a string cannot fail");
        text
    }
}
