//! What is to be written on one connection, in order. Until its first byte is out an attempt may be taken back: it never
//! ran, and whoever has given it up, or may not have it run any more, is spared that it does.

use super::wire;
use crate::drain_guard::DrainGuard;
use crate::message::{AttemptId, AttemptRequest};
use bytes::{Buf, Bytes, BytesMut};
use std::collections::VecDeque;
use std::io::IoSlice;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Commands that one write takes at most.
const SLICES_MOST: usize = 64;

/// What an attempt needs in order to go out.
struct Terms {
    drain_guard: DrainGuard,
    cancelled: CancellationToken,
    write_by: Instant,
}

impl Terms {
    fn hold(&self, now: Instant) -> bool {
        now < self.write_by && self.drain_guard.is_open(now) && !self.cancelled.is_cancelled()
    }
}

/// What a command does to its attempt.
enum Does {
    Starts(Terms),
    Stops,
    Other,
}

struct Command {
    bytes: Bytes,
    /// The attempt that it is about.
    key: AttemptId,
    does: Does,
}

impl Command {
    fn starts(&self) -> bool {
        matches!(self.does, Does::Starts(_))
    }

    /// It starts its attempt and may not any more.
    fn void(&self, now: Instant) -> bool {
        matches!(&self.does, Does::Starts(terms) if !terms.hold(now))
    }
}

/// What is whole on the wire now.
pub enum Written {
    /// The start of an attempt.
    Start(AttemptId),
    /// The word that it is given up.
    Stop(AttemptId),
}

/// Commands in the order in which they are written.
#[derive(Default)]
pub struct Outgoing {
    commands: VecDeque<Command>,
    /// Part of the first has been written.
    begun: bool,
}

impl Outgoing {
    /// Is nothing left to be written?
    pub fn is_empty(&self) -> bool {
        self.commands.is_empty()
    }

    /// A command that starts an attempt.
    pub fn start(&mut self, attempt: &AttemptRequest, drain_guard: DrainGuard, lane: &str, now: Instant) {
        let mut bytes = BytesMut::new();
        wire::put_attempt(&mut bytes, attempt, lane, now);
        let terms =
            Terms { drain_guard, cancelled: attempt.cancelled.clone(), write_by: attempt.write_deadline };
        self.commands.push_back(Command {
            bytes: bytes.freeze(),
            key: attempt.id,
            does: Does::Starts(terms),
        });
    }

    /// A command about an attempt that was started before.
    pub fn put(&mut self, key: AttemptId, words: &[&[u8]]) {
        let mut bytes = BytesMut::new();
        wire::put_array(&mut bytes, words);
        self.commands.push_back(Command { bytes: bytes.freeze(), key, does: Does::Other });
    }

    /// The command that gives an attempt up which was started before.
    pub fn stop(&mut self, key: AttemptId, words: &[&[u8]]) {
        self.put(key, words);
        self.commands.back_mut().into_iter().for_each(|c| c.does = Does::Stops);
    }

    /// Takes an attempt's commands out, if the one that starts it is here and has not begun to be written. What has
    /// begun is another's: none of an attempt's commands stands before the one that starts it.
    pub fn withdraw(&mut self, key: AttemptId) -> bool {
        let begun = usize::from(self.begun);
        let waits = self.commands.iter().skip(begun).any(|c| c.key == key && c.starts());
        if waits {
            self.commands.retain(|c| c.key != key);
        }
        waits
    }

    /// Takes the commands of all attempts out that have not begun to be written and may not be any more.
    pub fn withdraw_void(&mut self, now: Instant) -> Vec<AttemptId> {
        let begun = usize::from(self.begun);
        let void: Vec<_> = self.commands.iter().skip(begun).filter(|c| c.void(now)).map(|c| c.key).collect();
        if !void.is_empty() {
            self.commands.retain(|c| !void.contains(&c.key));
        }
        void
    }

    /// What is to be written next.
    pub fn slices(&self) -> Vec<IoSlice<'_>> {
        self.commands.iter().take(SLICES_MOST).map(|c| IoSlice::new(&c.bytes)).collect()
    }

    /// So many bytes were written; what is now whole on the wire.
    pub fn written(&mut self, mut count: usize) -> Vec<Written> {
        let mut written = Vec::new();
        while let Some(first) = self.commands.front_mut() {
            if count < first.bytes.len() {
                first.bytes.advance(count);
                self.begun |= count > 0;
                break;
            }
            count -= first.bytes.len();
            self.begun = false;
            let Some(first) = self.commands.pop_front() else { break };
            match first.does {
                Does::Starts(_) => written.push(Written::Start(first.key)),
                Does::Stops => written.push(Written::Stop(first.key)),
                Does::Other => {}
            }
        }
        written
    }
}
