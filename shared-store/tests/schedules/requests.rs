//! Requests at a gateway, from arrival to answer, handled by the protocol under test.

use crate::events::{AttemptOutcome, Event, GatewayProcess, StoreCall};
use crate::store_calls::CALL_TIMEOUT_MS;
use crate::store_model::{StoreOperation, StoreReply};
use crate::test_bed::{TestBed, WINDOW_MS};
use reedwalk_shared_store::circuit_breaker::FailureKind;
use reedwalk_shared_store::idempotency::{
    ClaimEnd, ClaimHolder, DeduplicationDomain, KeyedRequest, RequestEnd, RequestStep, SendDecision,
    SendRecord,
};
use std::time::{Duration, Instant};

/// Clock skew between gateways that the protocol is configured to tolerate.
const MAX_CLOCK_SKEW: Duration = Duration::from_millis(500);
/// Time after the arrival by which a gateway must answer.
pub const DEADLINE_MS: u64 = 5_000;
/// Maximum number of attempts per request.
const MAX_ATTEMPTS: usize = 3;

/// Answer that a client receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientAnswer {
    Served,
    Rejected,
    Failed,
}

/// Engine group that a request is bound to.
#[derive(Clone, Copy, Debug)]
pub struct GroupBinding {
    pub group: u64,
    /// Time at which the first attempt was sent to the group.
    pub sent_ms: u64,
}

/// A request of a client at a gateway.
pub struct Request {
    pub key: usize,
    /// Number of the retry; 0 for the first request of the key.
    pub retry: usize,
    pub at: GatewayProcess,
    pub arrived_ms: u64,
    pub keyed: KeyedRequest,
    pub holder: ClaimHolder,
    binding: Option<GroupBinding>,
    attempts: usize,
    /// Number of finished store calls. Late replies to them are dropped.
    pub finished_store_calls: usize,
    /// Send record that must be written to the store before the attempt is sent.
    pending_record: Option<SendRecord>,
    first_sent_ms: Option<u64>,
    /// Answers that the client has received.
    pub answers: Vec<ClientAnswer>,
    /// Whether the client has disconnected.
    pub is_disconnected: bool,
    /// Whether the gateway has answered or has detected the client's disconnect.
    pub is_finished: bool,
}

impl Request {
    /// Returns whether the request is handled by this gateway process.
    pub fn is_handled_by(&self, at: GatewayProcess) -> bool {
        self.at.gateway == at.gateway && self.at.process == at.process
    }
}

impl TestBed {
    pub fn on_arrival(&mut self, key: usize, retry: usize, gateway: usize) {
        if self.served[key] {
            return;
        }
        self.counts.requests += 1;
        let at = self.current_process(gateway);
        let now = self.now();
        let NewClaim { holder, is_store_usable } = self.new_claim(gateway, now);
        let mut keyed = KeyedRequest::new(
            DeduplicationDomain::Group,
            retry > 0,
            Duration::from_millis(WINDOW_MS),
            MAX_CLOCK_SKEW,
        );
        let step = keyed.on_arrival(is_store_usable);
        let request = self.requests.len();
        self.requests.push(Request {
            key,
            retry,
            at,
            arrived_ms: self.now_ms,
            keyed,
            holder,
            binding: None,
            attempts: 0,
            finished_store_calls: 0,
            pending_record: None,
            first_sent_ms: None,
            answers: Vec::new(),
            is_disconnected: false,
            is_finished: false,
        });
        self.schedule(self.now_ms + DEADLINE_MS, Event::Deadline { request, at });
        self.schedule_disconnect(request);
        self.execute_step(request, step);
    }

    fn new_claim(&mut self, gateway: usize, now: Instant) -> NewClaim {
        let gateway = &mut self.gateways[gateway];
        gateway.claim_count += 1;
        let holder = ClaimHolder { process: gateway.process, claim: gateway.claim_count };
        let deadline = now + Duration::from_millis(CALL_TIMEOUT_MS);
        NewClaim { holder, is_store_usable: gateway.breaker.allows_call(now, deadline) }
    }

    fn execute_step(&mut self, request: usize, step: RequestStep) {
        let state = &mut self.requests[request];
        match step {
            RequestStep::Claim => {
                let operation = StoreOperation::Claim {
                    key: state.key,
                    holder: state.holder,
                    is_retry: state.retry > 0,
                    process: state.at.process,
                };
                self.call_store_for_request(request, operation);
            }
            RequestStep::Proceed(earlier) => {
                state.binding = earlier.map(|earlier| GroupBinding {
                    group: earlier.group,
                    sent_ms: self.now_ms.saturating_sub(earlier.age.as_millis() as u64),
                });
                let at = state.at;
                let max_wait_ms = if self.random.chance(40) { 4_000 } else { 400 };
                let wait_ms = 1 + self.random.below(max_wait_ms);
                self.schedule(self.now_ms + wait_ms, Event::SendAttempt { request, at });
            }
            RequestStep::Respond(_) => {
                self.counts.served_from_store += 1;
                self.answer(request, ClientAnswer::Served);
            }
            RequestStep::Reject(_) => self.answer(request, ClientAnswer::Rejected),
            RequestStep::Fail => self.answer(request, ClientAnswer::Failed),
        }
    }

    /// Handles the store's reply to a call of this request.
    pub fn on_request_reply(&mut self, request: usize, reply: Option<StoreReply>, called_ms: u64) {
        let now = self.now();
        // A reply that a suspended gateway reads after the timeout counts as a timeout.
        let reply = reply.filter(|_| self.now_ms <= called_ms + CALL_TIMEOUT_MS);
        let breaker = &mut self.gateways[self.requests[request].at.gateway].breaker;
        match &reply {
            Some(_) => breaker.on_success(),
            None => breaker.on_failure(FailureKind::Timeout, now),
        };
        if self.requests[request].is_finished {
            return;
        }
        match self.requests[request].pending_record.take() {
            Some(sent) => self.on_recorded(request, sent, reply),
            None => self.on_claim_reply(request, reply),
        }
    }

    fn on_recorded(&mut self, request: usize, sent: SendRecord, reply: Option<StoreReply>) {
        let written = match reply {
            Some(StoreReply::Written(written)) => Some(written),
            _ => None,
        };
        let state = &mut self.requests[request];
        if state.keyed.on_recorded(sent, written) == SendDecision::SendNow {
            // From now on the scheduler sends the request only to this group.
            state.binding = Some(GroupBinding { group: sent.group, sent_ms: self.now_ms });
            self.run_attempt(request, sent.group);
        } else {
            self.answer(request, ClientAnswer::Rejected);
        }
    }

    fn on_claim_reply(&mut self, request: usize, reply: Option<StoreReply>) {
        let (now, gateway) = (self.now(), self.requests[request].at.gateway);
        let freshness = &mut self.gateways[gateway].freshness;
        let (claim_reply, is_trusted) = match reply {
            Some(StoreReply::Claimed(claim_reply, heartbeat)) => {
                freshness.on_read(heartbeat, now);
                (Some(claim_reply), freshness.is_trusted(now))
            }
            _ => (None, false),
        };
        let unix_ms = self.unix_ms(gateway);
        let (step, end) = self.requests[request].keyed.on_claim_reply(claim_reply, is_trusted, unix_ms);
        self.end_claim(request, end);
        self.execute_step(request, step);
    }

    /// Sends an attempt to a random group that the binding of the request allows, in place of the scheduler.
    pub fn send_attempt(&mut self, request: usize) {
        let state = &self.requests[request];
        if state.is_finished {
            return;
        }
        let (at, binding) = (state.at, state.binding);
        let is_window_over = binding.is_some_and(|binding| self.now_ms >= binding.sent_ms + WINDOW_MS);
        if state.attempts >= MAX_ATTEMPTS || is_window_over {
            let may_have_run = state.keyed.may_have_run() || binding.is_some();
            let answer = if may_have_run { ClientAnswer::Failed } else { ClientAnswer::Rejected };
            return self.answer(request, answer);
        }
        let group = binding.map_or_else(|| self.random.below(2), |binding| binding.group);
        let unix_ms = self.unix_ms(at.gateway);
        let state = &mut self.requests[request];
        state.attempts += 1;
        match state.keyed.before_send(group, unix_ms) {
            SendDecision::SendNow => self.run_attempt(request, group),
            SendDecision::RecordFirst(sent) => {
                state.pending_record = Some(sent);
                let operation = StoreOperation::RecordSend { key: state.key, holder: state.holder, sent };
                self.call_store_for_request(request, operation);
            }
            SendDecision::DoNotSend => self.answer(request, ClientAnswer::Failed),
        }
    }

    /// Runs an attempt on an engine of a group, with a random outcome.
    fn run_attempt(&mut self, request: usize, group: u64) {
        let outcome = match self.random.below(100) {
            0..=44 => AttemptOutcome::Served,
            45..=69 => AttemptOutcome::Rejected,
            _ => AttemptOutcome::AnswerLost,
        };
        let state = &mut self.requests[request];
        if outcome != AttemptOutcome::Rejected {
            // Engines of a group deduplicate a key within its window.
            let first_run = self.first_runs.get(&(state.key, group));
            if first_run.is_none_or(|first_run_ms| self.now_ms >= first_run_ms + WINDOW_MS) {
                self.first_runs.insert((state.key, group), self.now_ms);
                self.effects.entry(state.key).or_default().push((self.now_ms, group));
            }
            let sent_ms = *state.first_sent_ms.get_or_insert(self.now_ms);
            state.binding = state.binding.or(Some(GroupBinding { group, sent_ms }));
        }
        let at = state.at;
        let duration_ms = 20 + self.random.below(900);
        self.schedule(self.now_ms + duration_ms, Event::AttemptEnd { request, at, outcome });
    }

    pub fn on_attempt_end(&mut self, request: usize, outcome: AttemptOutcome) {
        self.requests[request].keyed.on_attempt_end(outcome != AttemptOutcome::Rejected);
        match outcome {
            AttemptOutcome::Served => self.answer(request, ClientAnswer::Served),
            AttemptOutcome::Rejected | AttemptOutcome::AnswerLost => self.send_attempt(request),
        }
    }

    pub fn on_deadline(&mut self, request: usize) {
        self.answer(request, ClientAnswer::Failed);
    }

    fn answer(&mut self, request: usize, answer: ClientAnswer) {
        let state = &mut self.requests[request];
        if std::mem::replace(&mut state.is_finished, true) {
            return;
        }
        if !state.is_disconnected {
            state.answers.push(answer);
        }
        let end = match answer {
            ClientAnswer::Served => RequestEnd::Served(Some(b"1 row".to_vec())),
            ClientAnswer::Rejected | ClientAnswer::Failed => RequestEnd::Unserved,
        };
        let claim_end = state.keyed.on_request_end(end);
        self.end_claim(request, claim_end);
        self.deliver(request, answer);
    }

    /// Writes the end of the request's claim to the store, if `end` is given.
    pub fn end_claim(&mut self, request: usize, end: Option<ClaimEnd>) {
        let state = &self.requests[request];
        if let Some(end) = end {
            let gateway = state.at.gateway;
            let operation = StoreOperation::EndClaim { key: state.key, holder: state.holder, end };
            self.call_store(gateway, operation, StoreCall::WithoutReply);
        }
    }
}

/// Claim of a new request, and whether the store may be called for it.
struct NewClaim {
    holder: ClaimHolder,
    is_store_usable: bool,
}
