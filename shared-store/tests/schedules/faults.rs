//! Fault injection for gateways and the store.

use crate::test_bed::TestBed;
use reedwalk_shared_store::freshness;

/// Temporary fault of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// The store applies no calls and sends no replies.
    Frozen,
    /// Calls are lost before the store applies them.
    DropCalls,
    /// Replies are lost after the store has applied the calls.
    DropReplies,
    /// Replies are delayed.
    Slow { delay_ms: u64 },
}

/// Number of fault kinds to draw from. Several stand for a suspension, which makes it the most frequent fault.
const FAULT_KINDS: u64 = 12;
/// First of the fault kinds that affect only a gateway: a suspension twice, and a killed process.
const FIRST_GATEWAY_FAULT: u64 = 4;
const GATEWAY_FAULT_KINDS: u64 = 3;

impl TestBed {
    /// Starts a random fault, and then copies the store so that a later fault can restore old data.
    pub fn begin_fault(&mut self) {
        self.counts.faults += 1;
        let gateway = self.faulty_gateway();
        let duration_ms = 50 + self.random.below(4_000);
        let end_ms = self.now_ms + duration_ms;
        let kind = if self.single_gateway_faults {
            FIRST_GATEWAY_FAULT + self.random.below(GATEWAY_FAULT_KINDS)
        } else {
            self.random.below(FAULT_KINDS)
        };
        match kind {
            0 => self.store_fault = Some((StoreFault::Frozen, end_ms)),
            1 => self.store_fault = Some((StoreFault::DropCalls, end_ms)),
            2 => self.store_fault = Some((StoreFault::DropReplies, end_ms)),
            3 => {
                let delay_ms = 5 + self.random.below(60);
                self.store_fault = Some((StoreFault::Slow { delay_ms }, end_ms));
            }
            4 | 5 | 10 | 11 => self.gateways[gateway].suspended_until_ms = end_ms,
            6 => self.kill_gateway(gateway),
            7 => self.gateways[gateway].partitioned_until_ms = end_ms,
            8 => self.restore_old_store(),
            _ => self.lose_keys(),
        }
        self.store_copies.push((self.now_ms, self.store.clone()));
    }

    /// Replaces the process of a gateway with a new one and disconnects the clients of the killed process.
    fn kill_gateway(&mut self, gateway: usize) {
        let breaker_seed = self.random.below(u64::MAX);
        let now = self.now();
        self.gateways[gateway].replace_process(breaker_seed, now);
        self.start_gateway(gateway);
        for request in 0..self.requests.len() {
            let state = &mut self.requests[request];
            if state.at.gateway == gateway && state.answers.is_empty() && !state.is_disconnected {
                state.is_disconnected = true;
                let (key, retry) = (state.key, state.retry);
                self.schedule_retry(key, retry);
            }
        }
    }

    /// Restores a copy of the store that is old enough for every running gateway to have written a heartbeat since.
    fn restore_old_store(&mut self) {
        let min_age_ms = freshness::MAX_HEARTBEAT_GAP.as_millis() as u64 + 100;
        let is_old = |taken_ms: u64| taken_ms + min_age_ms <= self.now_ms;
        let old: Vec<_> = self.store_copies.iter().filter(|(taken_ms, _)| is_old(*taken_ms)).collect();
        if !old.is_empty() {
            let chosen = self.random.below(old.len() as u64) as usize;
            self.store = old[chosen].1.clone();
        }
    }

    /// Removes about half of the keys from the store.
    fn lose_keys(&mut self) {
        for key in self.store.keys() {
            if self.random.chance(50) {
                self.store.remove_key(key);
            }
        }
    }
}
