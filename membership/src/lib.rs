//! What day-to-day operation has to decide, free of input, output and clocks: which engines operators have taken
//! out, how that is kept for the next process, and what part of the front end each of two processes has.

mod hand;
mod record;
mod shares;

pub use hand::{Hand, Said, TooMany, WORDS_MOST, Word};
pub use record::{BadRecord, RECORD_MOST, read, write};
pub use shares::{Part, Stage, part};

/// Microseconds of the Unix clock.
pub type Micros = u64;
