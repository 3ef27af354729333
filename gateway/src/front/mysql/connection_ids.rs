//! Connection ids, which the greeting announces and `KILL QUERY` refers to.

use crate::hot_restart::MAX_PROCESSES;

/// Number of low bits that count the connections of a process; the bits above them hold its slot.
const COUNTER_BITS: u32 = u32::BITS - MAX_PROCESSES.next_power_of_two().trailing_zeros();
const COUNTER_MASK: u32 = (1 << COUNTER_BITS) - 1;
/// Increment between two ids. It is odd, so that the sequence visits every id before it repeats one, and large, so that
/// consecutive ids are far apart.
const STEP: u32 = 0x9E37_79B9;

/// A sequence of connection ids. Two processes may serve the same address, so that a `KILL QUERY` can reach the one that
/// does not have the connection. Each therefore has ids of its own, those with its process slot in the highest bits. The
/// sequence starts at random, so that a command for a connection of an earlier process in the slot is unlikely to find
/// another one under its id.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionIds {
    slot: u32,
    counter: u32,
}

impl ConnectionIds {
    /// Creates the sequence of the process in this slot. A process without one shares no files, and gets a random slot.
    pub fn new(process_slot: Option<usize>) -> Self {
        let slot = process_slot.map_or_else(rand::random, |slot| slot as u32);
        Self { slot: slot << COUNTER_BITS, counter: rand::random() }
    }

    /// Returns the next id, which is never 0 and repeats only after all others.
    pub fn next_id(&mut self) -> u32 {
        self.counter = self.counter.wrapping_add(STEP) & COUNTER_MASK;
        let id = self.slot | self.counter;
        if id == 0 { self.next_id() } else { id }
    }
}

#[cfg(test)]
mod tests;
