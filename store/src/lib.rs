//! What a front end makes of a store that it shares with others: a help, and never a requirement. Here is decided
//! when the store is asked and when it is left alone, what its facts are worth, and what a keyed request may do by
//! them. Nothing here reads a clock or a socket.

pub mod beat;
pub mod breaker;
pub mod codec;
pub mod keyed;
pub mod lease;
pub mod outbox;
