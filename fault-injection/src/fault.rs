//! What a link does to datagrams, drawn from a seed; and the counts of what really applied.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use std::fmt;
use std::time::Duration;

/// How one direction of a link behaves. The usual one adds nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// Nothing passes.
    pub cut: bool,
    /// Shares of datagrams that are lost, come twice, come garbled.
    pub loss: f64,
    pub twice: f64,
    pub garbled: f64,
    /// All are late by this, and by an exponential draw of this mean on top, so that they overtake each other.
    pub delay: Duration,
    pub jitter: Duration,
}

impl Fault {
    pub fn lossy(loss: f64) -> Self {
        Self { loss, ..Self::default() }
    }

    pub fn cut() -> Self {
        Self { cut: true, ..Self::default() }
    }

    pub fn late(delay: Duration, jitter: Duration) -> Self {
        Self { delay, jitter, ..Self::default() }
    }
}

/// What applied, over a whole run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AppliedFaults {
    pub passed: u64,
    pub cut: u64,
    pub lost: u64,
    pub twice: u64,
    pub garbled: u64,
    pub late: u64,
    /// From nobody that the cluster knows.
    pub unknown: u64,
    pub killed: u64,
    pub stopped: u64,
    pub woken: u64,
    pub restarted: u64,
    pub connections_cut: u64,
    pub connections_reset: u64,
    pub engine_changes: u64,
}

impl AppliedFaults {
    pub fn add(&mut self, other: &Self) {
        let all = [
            (&mut self.passed, other.passed),
            (&mut self.cut, other.cut),
            (&mut self.lost, other.lost),
            (&mut self.twice, other.twice),
            (&mut self.garbled, other.garbled),
            (&mut self.late, other.late),
            (&mut self.unknown, other.unknown),
            (&mut self.killed, other.killed),
            (&mut self.stopped, other.stopped),
            (&mut self.woken, other.woken),
            (&mut self.restarted, other.restarted),
            (&mut self.connections_cut, other.connections_cut),
            (&mut self.connections_reset, other.connections_reset),
            (&mut self.engine_changes, other.engine_changes),
        ];
        all.into_iter().for_each(|(sum, more)| *sum += more);
    }
}

impl fmt::Display for AppliedFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "datagrams passed {} cut {} lost {} twice {} garbled {} late {} of strangers {}; processes killed {} \
             stopped {} woken {} restarted {}; connections held {} reset {}; engines turned {}",
            self.passed,
            self.cut,
            self.lost,
            self.twice,
            self.garbled,
            self.late,
            self.unknown,
            self.killed,
            self.stopped,
            self.woken,
            self.restarted,
            self.connections_cut,
            self.connections_reset,
            self.engine_changes
        )
    }
}

/// Draws what becomes of each datagram.
pub struct FaultSampler(StdRng);

impl FaultSampler {
    pub fn new(seed: u64) -> Self {
        Self(StdRng::seed_from_u64(seed))
    }

    fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.0.random::<f64>() < share
    }

    /// Copies of a datagram and how late each is.
    pub fn sample(
        &mut self,
        fault: &Fault,
        bytes: &[u8],
        applied: &mut AppliedFaults,
    ) -> Vec<(Duration, Vec<u8>)> {
        if fault.cut {
            applied.cut += 1;
            return Vec::new();
        }
        if self.chance(fault.loss) {
            applied.lost += 1;
            return Vec::new();
        }
        let copies = if self.chance(fault.twice) { 2 } else { 1 };
        applied.twice += copies - 1;
        let mut thrown = Vec::new();
        for _ in 0..copies {
            let mut bytes = bytes.to_vec();
            if self.chance(fault.garbled) && !bytes.is_empty() {
                let at = self.0.random_range(0..bytes.len());
                bytes[at] ^= 1 << self.0.random_range(0..8);
                applied.garbled += 1;
            }
            let mut delay = fault.delay;
            if !fault.jitter.is_zero() {
                let more = Exp::new(1.0 / fault.jitter.as_secs_f64()).unwrap().sample(&mut self.0);
                delay += Duration::from_secs_f64(more);
            }
            applied.late += u64::from(!delay.is_zero());
            applied.passed += 1;
            thrown.push((delay, bytes));
        }
        thrown
    }
}

#[cfg(test)]
mod tests;
