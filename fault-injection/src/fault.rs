//! Datagram faults in one direction of a link, sampled from a seed, and counters of the applied faults.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use std::fmt;
use std::time::Duration;

/// Bits of a byte, one of which is flipped in a corrupted datagram.
const BITS_PER_BYTE: u32 = 8;

/// The faults of one direction of a link that carries datagrams. By default there are none. Shares are between 0 and 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DatagramFault {
    /// No datagram passes.
    pub blocked: bool,
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Share of datagrams that are delivered twice.
    pub duplication: f64,
    /// Share of delivered copies in which one bit is flipped.
    pub corruption: f64,
    /// Minimum delay of each delivered copy.
    pub delay: Duration,
    /// Mean of the exponentially distributed delay that is added to `delay`, so that datagrams are reordered.
    pub jitter: Duration,
}

impl DatagramFault {
    /// Loses this share of the datagrams, 0 to 1.
    pub fn lossy(loss: f64) -> Self {
        Self { loss, ..Self::default() }
    }

    /// Lets no datagram pass.
    pub fn blocked() -> Self {
        Self { blocked: true, ..Self::default() }
    }

    /// Delays all datagrams by `delay` and an exponentially distributed time with the mean `jitter`.
    pub fn delayed(delay: Duration, jitter: Duration) -> Self {
        Self { delay, jitter, ..Self::default() }
    }
}

/// How often each fault was applied in a run, counted from its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AppliedFaults {
    /// Copies of datagrams that were delivered, corrupted ones included.
    pub passed: u64,
    /// Datagrams that met a blocked link or a partition.
    pub blocked: u64,
    /// Datagrams that were lost by chance.
    pub lost: u64,
    /// Datagrams that were delivered twice.
    pub duplicated: u64,
    /// Copies that were delivered with a flipped bit.
    pub corrupted: u64,
    /// Copies that were delivered with a delay.
    pub delayed: u64,
    /// Datagrams that were dropped because their sender or receiver is not a gateway of the cluster.
    pub unknown_sender: u64,
    /// Gateway processes that were killed.
    pub killed: u64,
    /// Gateway processes that were suspended with SIGSTOP.
    pub paused: u64,
    /// Gateway processes that were continued with SIGCONT.
    pub resumed: u64,
    /// Gateway processes that were started again.
    pub restarted: u64,
    /// Relayed connections on which bytes were held back.
    pub connections_stalled: u64,
    /// Relayed connections that were reset.
    pub connections_reset: u64,
    /// Changes of an engine's behaviour, restarts included.
    pub engine_changes: u64,
}

impl AppliedFaults {
    /// Adds the counters of `other` to these.
    pub fn add(&mut self, other: &Self) {
        let counters = [
            (&mut self.passed, other.passed),
            (&mut self.blocked, other.blocked),
            (&mut self.lost, other.lost),
            (&mut self.duplicated, other.duplicated),
            (&mut self.corrupted, other.corrupted),
            (&mut self.delayed, other.delayed),
            (&mut self.unknown_sender, other.unknown_sender),
            (&mut self.killed, other.killed),
            (&mut self.paused, other.paused),
            (&mut self.resumed, other.resumed),
            (&mut self.restarted, other.restarted),
            (&mut self.connections_stalled, other.connections_stalled),
            (&mut self.connections_reset, other.connections_reset),
            (&mut self.engine_changes, other.engine_changes),
        ];
        for (sum, count) in counters {
            *sum += count;
        }
    }
}

impl fmt::Display for AppliedFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "datagrams passed {} blocked {} lost {} duplicated {} corrupted {} delayed {} from unknown senders {}; \
             processes killed {} paused {} resumed {} restarted {}; connections stalled {} reset {}; engine changes {}",
            self.passed,
            self.blocked,
            self.lost,
            self.duplicated,
            self.corrupted,
            self.delayed,
            self.unknown_sender,
            self.killed,
            self.paused,
            self.resumed,
            self.restarted,
            self.connections_stalled,
            self.connections_reset,
            self.engine_changes
        )
    }
}

/// One copy of a datagram that a link delivers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// How long after its arrival at the link the copy is delivered.
    pub delay: Duration,
    /// The bytes that are delivered.
    pub bytes: Vec<u8>,
}

/// Samples the faults of each datagram, deterministically for a given seed and sequence of datagrams.
#[derive(Debug)]
pub struct FaultSampler(StdRng);

impl FaultSampler {
    /// A sampler whose generator is seeded with `seed`.
    pub fn new(seed: u64) -> Self {
        Self(StdRng::seed_from_u64(seed))
    }

    /// Whether an event of this probability happens now.
    fn happens(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.0.random::<f64>() < probability
    }

    /// The copies of a datagram that are delivered: none, one, or two. Counts the faults in `applied`.
    pub fn sample(
        &mut self,
        fault: &DatagramFault,
        bytes: &[u8],
        applied: &mut AppliedFaults,
    ) -> Vec<Delivery> {
        if fault.blocked {
            applied.blocked += 1;
            return Vec::new();
        }
        if self.happens(fault.loss) {
            applied.lost += 1;
            return Vec::new();
        }
        let copies = if self.happens(fault.duplication) { 2 } else { 1 };
        applied.duplicated += copies - 1;
        let mut deliveries = Vec::new();
        for _ in 0..copies {
            deliveries.push(self.sample_delivery(fault, bytes, applied));
        }
        deliveries
    }

    /// One delivered copy: first its corruption is sampled, then its delay.
    fn sample_delivery(
        &mut self,
        fault: &DatagramFault,
        bytes: &[u8],
        applied: &mut AppliedFaults,
    ) -> Delivery {
        let mut bytes = bytes.to_vec();
        if self.happens(fault.corruption) && !bytes.is_empty() {
            self.flip_bit(&mut bytes);
            applied.corrupted += 1;
        }
        let delay = self.sample_delay(fault);
        applied.delayed += u64::from(!delay.is_zero());
        applied.passed += 1;
        Delivery { delay, bytes }
    }

    fn flip_bit(&mut self, bytes: &mut [u8]) {
        let index = self.0.random_range(0..bytes.len());
        bytes[index] ^= 1 << self.0.random_range(0..BITS_PER_BYTE);
    }

    fn sample_delay(&mut self, fault: &DatagramFault) -> Duration {
        if fault.jitter.is_zero() {
            return fault.delay;
        }
        let rate = 1.0 / fault.jitter.as_secs_f64();
        let jitter = Exp::new(rate).expect("a positive jitter").sample(&mut self.0);
        fault.delay + Duration::from_secs_f64(jitter)
    }
}

#[cfg(test)]
mod tests;
