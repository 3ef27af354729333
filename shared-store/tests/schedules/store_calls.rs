//! Calls to the store, with timeouts and injected store faults.

use crate::events::{Event, GatewayProcess, StoreCall};
use crate::faults::StoreFault;
use crate::store_model::{StoreOperation, StoreReply};
use crate::test_bed::TestBed;
use reedwalk_shared_store::circuit_breaker::FailureKind;

/// Time after which a gateway stops waiting for a reply of the store.
pub const CALL_TIMEOUT_MS: u64 = 25;

impl TestBed {
    /// Sends an operation to the store. A call that expects a reply is given `None` at its timeout.
    pub fn call_store(&mut self, gateway: usize, operation: StoreOperation, call: StoreCall) {
        let at = self.current_process(gateway);
        let called_ms = self.now_ms;
        if !matches!(call, StoreCall::WithoutReply) {
            let timeout = Event::Reply { at, call, reply: None, called_ms };
            self.schedule(called_ms + CALL_TIMEOUT_MS, timeout);
        }
        if self.gateways[gateway].partitioned_until_ms <= self.now_ms {
            let delay_ms = 1 + self.random.below(3);
            self.schedule(called_ms + delay_ms, Event::Apply { operation, at, call });
        }
    }

    /// Sends an operation to the store on behalf of a request, which receives the reply.
    pub fn call_store_for_request(&mut self, request: usize, operation: StoreOperation) {
        let state = &self.requests[request];
        let call = StoreCall::Request { request, number: state.finished_store_calls };
        self.call_store(state.at.gateway, operation, call);
    }

    /// Applies an operation at the store, subject to the current store fault.
    pub fn apply_at_store(&mut self, operation: &StoreOperation, at: GatewayProcess, call: StoreCall) {
        let fault = self.store_fault.filter(|(_, end_ms)| *end_ms > self.now_ms).map(|(fault, _)| fault);
        if matches!(fault, Some(StoreFault::Frozen | StoreFault::DropCalls)) {
            return;
        }
        let called_ms = self.now_ms - 1;
        let reply = self.store.apply(operation, self.now_ms, self.writes);
        let delay_ms = match fault {
            Some(StoreFault::DropReplies) => return,
            Some(StoreFault::Slow { delay_ms }) => delay_ms,
            _ => 0,
        };
        let call = match call {
            // The reply takes the number of the request's current call at the time it is sent.
            StoreCall::Request { request, .. } => {
                StoreCall::Request { request, number: self.requests[request].finished_store_calls }
            }
            StoreCall::Heartbeat { .. } => call,
            StoreCall::WithoutReply => return,
        };
        self.schedule(self.now_ms + 1 + delay_ms, Event::Reply { at, call, reply: Some(reply), called_ms });
    }

    /// Handles the reply to a call, or its timeout (`None`).
    pub fn on_reply(
        &mut self,
        at: GatewayProcess,
        call: StoreCall,
        reply: Option<StoreReply>,
        called_ms: u64,
    ) {
        match call {
            StoreCall::Request { request, number } => {
                if self.requests[request].finished_store_calls == number {
                    self.requests[request].finished_store_calls += 1;
                    self.on_request_reply(request, reply, called_ms);
                }
            }
            StoreCall::Heartbeat { count } => self.on_heartbeat_reply(at, count, reply, called_ms),
            StoreCall::WithoutReply => {}
        }
    }

    fn on_heartbeat_reply(
        &mut self,
        at: GatewayProcess,
        count: u64,
        reply: Option<StoreReply>,
        called_ms: u64,
    ) {
        let (now, called_at) = (self.now(), self.instant_of(called_ms));
        let gateway = &mut self.gateways[at.gateway];
        if let Some(StoreReply::Heartbeat(read)) = reply {
            gateway.freshness.on_read(read, now);
            gateway.freshness.on_confirmed(count, called_at);
            gateway.breaker.on_success();
        } else {
            gateway.breaker.on_failure(FailureKind::Timeout, now);
        }
    }
}
