//! Clients, which disconnect and retry.

use crate::events::Event;
use crate::requests::{ClientAnswer, DEADLINE_MS};
use crate::test_bed::{TestBed, WINDOW_MS};
use reedwalk_shared_store::idempotency::RequestEnd;

/// Maximum number of retries per key.
const MAX_RETRIES: usize = 8;

impl TestBed {
    /// Schedules the time at which the client disconnects if it has no answer: shortly after the deadline, since the
    /// gateway may be suspended or killed. One in five clients disconnects earlier.
    pub fn schedule_disconnect(&mut self, request: usize) {
        let timeout_ms =
            if self.random.chance(20) { 300 + self.random.below(2_000) } else { DEADLINE_MS + 200 };
        self.schedule(self.now_ms + timeout_ms, Event::Disconnect { request });
    }

    /// Delivers an answer to the client. Some answers are lost on the way, so that the client can't know that it was
    /// served.
    pub fn deliver(&mut self, request: usize, answer: ClientAnswer) {
        let state = &self.requests[request];
        if state.is_disconnected {
            return;
        }
        let (key, retry) = (state.key, state.retry);
        if answer == ClientAnswer::Served && !self.random.chance(15) {
            self.counts.served += 1;
            self.served[key] = true;
        } else {
            self.schedule_retry(key, retry);
        }
    }

    pub fn on_disconnect(&mut self, request: usize) {
        let state = &mut self.requests[request];
        if !state.answers.is_empty() || state.is_disconnected {
            return;
        }
        state.is_disconnected = true;
        let (key, retry, at) = (state.key, state.retry, state.at);
        // The gateway detects the disconnect unless it is suspended or its process was replaced.
        if self.is_running(at) && self.gateways[at.gateway].suspended_until_ms <= self.now_ms {
            let state = &mut self.requests[request];
            state.is_finished = true;
            let end = state.keyed.on_request_end(RequestEnd::Unserved);
            self.end_claim(request, end);
        }
        self.schedule_retry(key, retry);
    }

    /// Schedules a retry at a random gateway, within the window of the key.
    pub fn schedule_retry(&mut self, key: usize, retry: usize) {
        let at_ms = self.now_ms + 20 + self.random.below(1_500);
        if at_ms < self.first_arrivals_ms[key] + WINDOW_MS && retry < MAX_RETRIES {
            let gateway = self.random_gateway();
            self.schedule(at_ms, Event::Arrival { key, retry: retry + 1, gateway });
        }
    }
}
