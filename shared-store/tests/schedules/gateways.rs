//! Simulated gateways, which send heartbeats and renew their claims.

use crate::events::{Event, GatewayProcess, StoreCall};
use crate::store_calls::CALL_TIMEOUT_MS;
use crate::store_model::StoreOperation;
use crate::test_bed::{TestBed, WINDOW_MS};
use reedwalk_shared_store::circuit_breaker::CircuitBreaker;
use reedwalk_shared_store::freshness::{self, FreshnessCheck};
use std::time::{Duration, Instant};

/// Interval at which a gateway renews its claims.
const RENEWAL_INTERVAL_MS: u64 = 300;

/// State of a simulated gateway.
pub struct SimulatedGateway {
    /// Number of the current process.
    pub process: u64,
    /// The gateway handles no events before this time.
    pub suspended_until_ms: u64,
    /// Calls of the gateway do not reach the store before this time.
    pub partitioned_until_ms: u64,
    pub breaker: CircuitBreaker,
    pub freshness: FreshnessCheck,
    /// Number of claims made by the current process.
    pub claim_count: u64,
    /// Offset of the gateway's clock from virtual time.
    clock_skew_ms: u64,
}

impl SimulatedGateway {
    /// Creates a gateway that starts at `now`.
    pub fn new(process: u64, breaker_seed: u64, clock_skew_ms: u64, now: Instant) -> Self {
        Self {
            process,
            suspended_until_ms: 0,
            partitioned_until_ms: 0,
            breaker: CircuitBreaker::new(breaker_seed),
            freshness: FreshnessCheck::new(Duration::from_millis(WINDOW_MS), now),
            claim_count: 0,
            clock_skew_ms,
        }
    }

    /// Replaces a killed process with a new one.
    pub fn replace_process(&mut self, breaker_seed: u64, now: Instant) {
        self.process += 10;
        self.suspended_until_ms = 0;
        self.claim_count = 0;
        self.breaker = CircuitBreaker::new(breaker_seed);
        self.freshness = FreshnessCheck::new(Duration::from_millis(WINDOW_MS), now);
    }
}

impl TestBed {
    /// Returns the Unix time by the gateway's own clock.
    pub fn unix_ms(&self, gateway: usize) -> u64 {
        1_000_000 + self.now_ms + self.gateways[gateway].clock_skew_ms
    }

    /// Starts the heartbeat and renewal timers of a gateway process.
    pub fn start_gateway(&mut self, gateway: usize) {
        let at = self.current_process(gateway);
        self.schedule(self.now_ms, Event::HeartbeatDue { at });
        self.schedule(self.now_ms + RENEWAL_INTERVAL_MS, Event::RenewalDue { at });
    }

    pub fn send_heartbeat(&mut self, at: GatewayProcess) {
        let now = self.now();
        let gateway = &mut self.gateways[at.gateway];
        if gateway.breaker.allows_call(now, now + Duration::from_millis(CALL_TIMEOUT_MS)) {
            let count = gateway.freshness.next_counter();
            let operation = StoreOperation::Heartbeat { process: at.process, count };
            self.call_store(at.gateway, operation, StoreCall::Heartbeat { count });
        }
        let interval_ms = freshness::HEARTBEAT_INTERVAL.as_millis() as u64;
        self.schedule(self.now_ms + interval_ms, Event::HeartbeatDue { at });
    }

    pub fn renew_claims(&mut self, at: GatewayProcess) {
        for request in 0..self.requests.len() {
            let request = &self.requests[request];
            if request.is_handled_by(at) && !request.is_finished {
                let operation = StoreOperation::Renew { key: request.key, holder: request.holder };
                self.call_store(at.gateway, operation, StoreCall::WithoutReply);
            }
        }
        self.schedule(self.now_ms + RENEWAL_INTERVAL_MS, Event::RenewalDue { at });
    }
}
