//! Does the store tell today's truth? Each front end keeps a count of its own there and reads it back with whatever
//! it asks. A count that is lower than one that the store has confirmed, or gone, says that writes were lost: the
//! store was restored from an old copy, or is another one.

use std::time::{Duration, Instant};

/// Facts that may have been overtaken are not believed for this many windows after writes were lost, or after the
/// start, before which we know nothing: by then they have expired. The quarter is for clocks that run unevenly.
const DOUBT: f64 = 1.25;

/// How often the count is written.
pub const EVERY: Duration = Duration::from_millis(100);
/// Who has had no count confirmed for so long can't tell what was lost meanwhile: only losses that go back further
/// than this are sure to be seen.
pub const GAP: Duration = Duration::from_millis(300);

/// One front end's count, and what follows from it.
#[derive(Clone, Debug)]
pub struct Beat {
    confirmed: u64,
    confirmed_at: Instant,
    next: u64,
    doubt: Duration,
    until: Instant,
}

impl Beat {
    /// A front end that starts now; facts live as long as this window.
    pub fn new(window: Duration, now: Instant) -> Self {
        let doubt = window.mul_f64(DOUBT);
        Self { confirmed: 0, confirmed_at: now, next: 0, doubt, until: now + doubt }
    }

    /// The count to write next.
    pub fn draw(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// The store has confirmed that it wrote this count, which it was asked for at `asked`.
    pub fn confirmed(&mut self, count: u64, asked: Instant) {
        self.confirmed = self.confirmed.max(count);
        self.confirmed_at = self.confirmed_at.max(asked);
    }

    /// What stood there; `true` where that says that writes were lost since it was last looked at, or that nobody
    /// can tell.
    pub fn read(&mut self, count: Option<u64>, now: Instant) -> bool {
        let lost = count.unwrap_or(0) < self.confirmed;
        if lost {
            // From here on the store that stands there is the one that counts.
            self.confirmed = 0;
        }
        let doubtful = lost || now.saturating_duration_since(self.confirmed_at) > GAP;
        if doubtful {
            self.until = now + self.doubt;
        }
        doubtful
    }

    /// May a fact that something never ran be believed?
    pub fn trusts(&self, now: Instant) -> bool {
        now >= self.until
    }
}

#[cfg(test)]
mod tests;
