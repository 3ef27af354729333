//! Decision logic for the shared store of the gateways. The store improves service and is never required. This crate
//! decides when the store is called, how far its contents are trusted, and what a request with an idempotency key may
//! do based on them. It does no I/O and reads no clock: callers pass the current time.
//!
//! # Example
//!
//! A request with an idempotency key, in a class whose engines deduplicate within a group. The gateway claims the key,
//! records the group of the first attempt before sending it, and stores the answer for retries at any gateway.
//!
//! ```
//! use reedwalk_shared_store::idempotency::{
//!     ClaimEnd, ClaimReply, DeduplicationDomain, KeyedRequest, RequestEnd, RequestStep, SendDecision, StoredState,
//! };
//! use std::time::Duration;
//!
//! let (window, max_clock_skew) = (Duration::from_secs(12), Duration::from_millis(500));
//! let mut request = KeyedRequest::new(DeduplicationDomain::Group, false, window, max_clock_skew);
//! assert_eq!(request.on_arrival(true), RequestStep::Claim);
//!
//! let reply = ClaimReply { is_claimed: true, lease_left: Duration::ZERO, stored: StoredState::Absent };
//! let (step, _) = request.on_claim_reply(Some(reply), true, 1_700_000_000_000);
//! assert_eq!(step, RequestStep::Proceed(None));
//!
//! let SendDecision::RecordFirst(sent) = request.before_send(3, 1_700_000_000_010) else { panic!() };
//! assert_eq!(request.on_recorded(sent, Some(true)), SendDecision::SendNow);
//! request.on_attempt_end(true);
//!
//! let end = request.on_request_end(RequestEnd::Served(Some(b"answer".to_vec())));
//! assert_eq!(end, Some(ClaimEnd::Done(b"answer".to_vec())));
//! ```

pub mod circuit_breaker;
pub mod codec;
pub mod freshness;
pub mod idempotency;
pub mod quota_lease;
pub mod write_behind;
