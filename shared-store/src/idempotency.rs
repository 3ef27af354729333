//! Protocol by which gateways coordinate idempotency keys through the shared store.
//!
//! A gateway claims a key as a unique [`ClaimHolder`], which serves as the fencing token of the claim. If engines
//! deduplicate only within a group, the gateway records the group in the store before it sends an attempt. The store
//! accepts that write only from the current holder of the key, so a gateway that was suspended while another one took
//! over the key can't send any more, whatever its clock says. The lease of a claim decides only how soon other gateways
//! can claim the key, never whether a send is safe. While the store can't be reached, only the rules of the class
//! apply, and nothing is sent beyond them.
//!
//! The store may return old data. What gateways act on without further checks must therefore never change once written:
//! a key stays bound to its recorded group even if nothing ran there, and a stored answer is never replaced. Only a
//! stage that says that nothing was sent can become outdated; it is trusted only while the store is known to have lost
//! no writes.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Time after which a claim that is not renewed expires. Holders renew their claims three times as often. The lease
/// decides only how soon others can claim the key, never whether a send is safe.
pub const CLAIM_LEASE: Duration = Duration::from_secs(1);
/// Shortest retry delay for a request whose key another gateway holds: shorter ones would only make clients poll.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Longest retry delay for such a request. A claim that is not renewed has expired by then ([`CLAIM_LEASE`]).
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Identifies the holder of a key by its claim: the gateway process and a claim number in that process. It is never
/// reused, so it serves as the fencing token of the claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClaimHolder {
    /// Random number that the process generated at its start.
    pub process: u64,
    /// Sequence number of the claim in that process.
    pub claim: u64,
}

impl fmt::Display for ClaimHolder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}", self.process, self.claim)
    }
}

/// Set of engines that deduplicate a key together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationDomain {
    /// All engines.
    All,
    /// Only the engines of one group, which is a zone or a cell.
    Group,
}

/// The group that the attempts of a request are sent to, and the time of the first attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SendRecord {
    /// Deduplication group; 0 if all engines deduplicate together.
    pub group: u64,
    /// Time of the first attempt in milliseconds, by the sender's Unix clock.
    pub at_ms: u64,
}

/// Progress of the request of a key, as recorded in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The key is claimed, and nothing was sent.
    Claimed,
    /// The key was claimed by a gateway that could not know whether an attempt had been sent before.
    Unknown,
    /// The request is bound to a group and may have run there.
    Sent,
    /// The request was served, and its answer is stored.
    Done,
    /// The request has ended and certainly never ran.
    NeverRan,
}

impl Stage {
    /// Returns the letter that encodes the stage in the store. These letters are stored and must not change.
    pub fn code(self) -> &'static str {
        match self {
            Self::Claimed => "c",
            Self::Unknown => "u",
            Self::Sent => "s",
            Self::Done => "d",
            Self::NeverRan => "n",
        }
    }

    /// Parses the letter of a stage.
    pub fn from_code(code: &[u8]) -> Option<Self> {
        let all = [Self::Claimed, Self::Unknown, Self::Sent, Self::Done, Self::NeverRan];
        all.into_iter().find(|stage| stage.code().as_bytes() == code)
    }
}

/// State of a key in the store, as found by a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoredState {
    /// The store has no entry for the key.
    Absent,
    /// The entry has a stage and no value.
    Stage(Stage),
    /// An attempt was sent and may have run.
    Sent(SendRecord),
    /// The request was served with this encoded answer.
    Done(Vec<u8>),
    /// The entry can't be decoded.
    Unreadable,
}

/// Reply of the store to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimReply {
    /// Whether this claim now holds the key.
    pub is_claimed: bool,
    /// Remaining lease of another claim, if one holds the key.
    pub lease_left: Duration,
    /// State of the key before the claim.
    pub stored: StoredState,
}

/// Attempt of an earlier request with the same key, sent by another gateway or by this one before a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EarlierAttempt {
    /// Deduplication group that the attempt was sent to.
    pub group: u64,
    /// Upper bound of the time since the attempt was sent.
    pub age: Duration,
}

/// Next step of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestStep {
    /// Claim the key in the store.
    Claim,
    /// Send attempts; if there was an earlier attempt, only to its group.
    Proceed(Option<EarlierAttempt>),
    /// Respond with this stored answer.
    Respond(Vec<u8>),
    /// Reject the request. A retry after this delay is safe.
    Reject(Duration),
    /// Fail the request. Whether it had an effect is unknown.
    Fail,
}

/// Whether an attempt that the scheduler has chosen may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendDecision {
    /// Send the attempt now.
    SendNow,
    /// Write this record to the store first, as the holder of the key.
    RecordFirst(SendRecord),
    /// Do not send the attempt.
    DoNotSend,
}

/// What the holder of a key writes to the store when its request ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEnd {
    /// The encoded answer, for retries of the request.
    Done(Vec<u8>),
    /// Release the key and set this stage.
    ReleaseWith(Stage),
    /// Release the key and keep the stored stage.
    Release,
}

/// Result of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The request was served, with its encoded answer if that is small enough to be stored.
    Served(Option<Vec<u8>>),
    /// The request was rejected or failed, or its client disconnected.
    Unserved,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No claim is held; only the rules of the class apply.
    WithoutStore,
    /// The claim was sent to the store.
    Claiming,
    /// The key is held. `recorded` is the send record in the store; `in_doubt` if an earlier request with the key may
    /// have sent an attempt.
    Held { in_doubt: bool, recorded: Option<SendRecord> },
    /// No more attempts may be sent.
    Ended,
}

/// State machine of one request with an idempotency key, from its arrival to its end.
#[derive(Clone, Debug)]
pub struct KeyedRequest {
    domain: DeduplicationDomain,
    is_retry: bool,
    /// How long engines deduplicate a key after an attempt is sent.
    window: Duration,
    /// Largest difference allowed between the clocks of two gateways.
    max_clock_skew: Duration,
    phase: Phase,
    in_flight: u32,
    may_have_run: bool,
}

impl KeyedRequest {
    /// Creates the state of a request that has just arrived. `is_retry` is true if its client marks it as a retry.
    pub fn new(
        domain: DeduplicationDomain,
        is_retry: bool,
        window: Duration,
        max_clock_skew: Duration,
    ) -> Self {
        Self {
            domain,
            is_retry,
            window,
            max_clock_skew,
            phase: Phase::WithoutStore,
            in_flight: 0,
            may_have_run: false,
        }
    }

    /// Returns the first step of the request, which depends on whether the store may be called.
    pub fn on_arrival(&mut self, is_store_usable: bool) -> RequestStep {
        if is_store_usable {
            self.phase = Phase::Claiming;
            return RequestStep::Claim;
        }
        if self.domain == DeduplicationDomain::Group && self.is_retry {
            // The earlier request may have been sent to another group.
            return self.reject(MAX_RETRY_AFTER);
        }
        RequestStep::Proceed(None)
    }

    fn reject(&mut self, retry_delay: Duration) -> RequestStep {
        self.phase = Phase::Ended;
        RequestStep::Reject(retry_delay.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    }

    /// Handles the store's reply to the claim; `None` if there was no reply in time. `is_trusted` tells whether a
    /// stored stage that says that nothing ran may be trusted. Returns the next step, and the write that ends the
    /// claim, if any.
    pub fn on_claim_reply(
        &mut self,
        reply: Option<ClaimReply>,
        is_trusted: bool,
        now_ms: u64,
    ) -> (RequestStep, Option<ClaimEnd>) {
        let Some(ClaimReply { is_claimed, lease_left, stored }) = reply else {
            // The claim may have succeeded all the same. Others then find a claim under which nothing was sent.
            return match self.domain {
                DeduplicationDomain::All => {
                    self.phase = Phase::WithoutStore;
                    (RequestStep::Proceed(None), None)
                }
                DeduplicationDomain::Group => (self.reject(MIN_RETRY_AFTER), None),
            };
        };
        if let StoredState::Done(answer) = stored {
            self.phase = Phase::Ended;
            return (RequestStep::Respond(answer), None);
        }
        if !is_claimed && stored == StoredState::Unreadable && self.domain == DeduplicationDomain::All {
            self.phase = Phase::WithoutStore;
            return (RequestStep::Proceed(None), None);
        }
        if !is_claimed {
            return (self.reject(lease_left), None);
        }
        match stored {
            StoredState::Sent(sent) => {
                let step = self.proceed_in_group(sent, now_ms);
                // A request that does not proceed releases its key.
                let claim_end = (step == RequestStep::Fail).then_some(ClaimEnd::Release);
                (step, claim_end)
            }
            StoredState::Absent if !self.is_retry => self.proceed(false),
            StoredState::Stage(Stage::NeverRan | Stage::Claimed) if is_trusted => self.proceed(false),
            _ if self.domain == DeduplicationDomain::All => self.proceed(true),
            // An attempt may have been sent to an unknown group. The stage must not tell others that nothing was sent.
            _ => (self.reject(MAX_RETRY_AFTER), Some(ClaimEnd::ReleaseWith(Stage::Unknown))),
        }
    }

    /// Proceeds with the key held and no send record yet.
    fn proceed(&mut self, in_doubt: bool) -> (RequestStep, Option<ClaimEnd>) {
        self.phase = Phase::Held { in_doubt, recorded: None };
        (RequestStep::Proceed(None), None)
    }

    /// Proceeds bound to the group of an earlier request, unless its window is over.
    fn proceed_in_group(&mut self, sent: SendRecord, now_ms: u64) -> RequestStep {
        let skew_ms = self.max_clock_skew.as_millis() as u64;
        let is_in_future = sent.at_ms > now_ms.saturating_add(skew_ms);
        let age = Duration::from_millis(now_ms.saturating_add(skew_ms).saturating_sub(sent.at_ms));
        if age >= self.window || is_in_future && self.domain == DeduplicationDomain::Group {
            // Engines may no longer deduplicate the key, or the clocks differ by more than `max_clock_skew`.
            self.phase = Phase::Ended;
            return RequestStep::Fail;
        }
        self.phase = Phase::Held { in_doubt: false, recorded: Some(sent) };
        self.may_have_run = true;
        RequestStep::Proceed((!is_in_future).then_some(EarlierAttempt { group: sent.group, age }))
    }

    /// Decides whether an attempt may be sent to an engine of `group`.
    pub fn before_send(&mut self, group: u64, now_ms: u64) -> SendDecision {
        let group = if self.domain == DeduplicationDomain::All { 0 } else { group };
        let decision = match self.phase {
            Phase::WithoutStore => SendDecision::SendNow,
            Phase::Held { recorded: Some(sent), .. } if sent.group == group => SendDecision::SendNow,
            Phase::Held { recorded: Some(_), .. } => SendDecision::DoNotSend,
            Phase::Held { recorded: None, .. } => {
                SendDecision::RecordFirst(SendRecord { group, at_ms: now_ms })
            }
            Phase::Claiming | Phase::Ended => SendDecision::DoNotSend,
        };
        self.in_flight += u32::from(decision != SendDecision::DoNotSend);
        decision
    }

    /// Handles the result of writing the send record: `None` if the store did not reply in time.
    pub fn on_recorded(&mut self, sent: SendRecord, written: Option<bool>) -> SendDecision {
        match (written, self.domain) {
            (Some(true), _) => {
                if let Phase::Held { recorded, .. } = &mut self.phase {
                    *recorded = Some(sent);
                }
                SendDecision::SendNow
            }
            // All engines deduplicate together, so the attempt may be sent without a record.
            (_, DeduplicationDomain::All) => {
                self.phase = Phase::WithoutStore;
                SendDecision::SendNow
            }
            (_, DeduplicationDomain::Group) => {
                // If the store refused the write, this claim no longer holds the key and nothing may be sent any more.
                if written == Some(false) {
                    self.phase = Phase::Ended;
                }
                SendDecision::DoNotSend
            }
        }
    }

    /// Records the end of an attempt. `may_have_run` is false only if it certainly did not run.
    pub fn on_attempt_end(&mut self, may_have_run: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.may_have_run |= may_have_run;
    }

    /// Returns whether an attempt of this request, or of an earlier one with its key, may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run || self.in_flight > 0
    }

    /// Ends the request. Returns the write that ends its claim, if a claim is held.
    pub fn on_request_end(&mut self, end: RequestEnd) -> Option<ClaimEnd> {
        let phase = std::mem::replace(&mut self.phase, Phase::Ended);
        let Phase::Held { in_doubt, recorded } = phase else { return None };
        Some(match end {
            RequestEnd::Served(Some(answer)) => ClaimEnd::Done(answer),
            _ if recorded.is_some() => ClaimEnd::Release,
            _ if in_doubt => ClaimEnd::ReleaseWith(Stage::Unknown),
            _ => ClaimEnd::ReleaseWith(Stage::NeverRan),
        })
    }
}

#[cfg(test)]
mod tests;
