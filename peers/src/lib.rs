//! What front ends of one tier know of each other and of the engines by each other: who lives, what was heard, from
//! whom, how old, what it is worth. It makes no input or output and reads no clock: datagrams come in and go out as
//! bytes, and every call is told the time.
//!
//! Times are milliseconds on the caller's clock, which starts at the Unix time and goes forward only.

mod alive;
mod news;
mod pace;
mod peers;
mod views;
mod wire;

pub use alive::{Alive, LEAST_SHARE};
pub use news::{Belief, EngineKey, News, WITNESSES};
pub use pace::Pace;
pub use peers::{Act, Peers, Setup, Tally, dead_after};
pub use views::{Seen, VIEWERS, View, Views};
pub use wire::{BadDatagram, Beat, Datagram, Fact, Key, Keys, Kind, LENGTH_MOST, ShortKey};

/// Number of a front end in its tier, from 0; its place in the list of peers.
pub type PeerId = u16;
/// Milliseconds on the caller's clock.
pub type Millis = u64;
