//! Decisions about a store that gateways share. The store helps and is never required: here is decided when it is called
//! and when it is not, how far its facts are relied on, and what a request with an idempotency key may do by them. Nothing
//! here reads a clock or a socket.

pub mod circuit_breaker;
pub mod codec;
pub mod freshness;
pub mod idempotency;
pub mod quota_lease;
pub mod write_behind;
