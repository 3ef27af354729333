//! Write queue of one connection. An attempt can be withdrawn until its first byte is written, which ensures that it
//! never ran. So attempts that are cancelled while they are queued, or whose engine drains meanwhile, are not run.

use super::wire;
use crate::drain_guard::DrainGuard;
use crate::message::{AttemptId, AttemptRequest};
use bytes::{Buf, Bytes, BytesMut};
use std::collections::VecDeque;
use std::io::IoSlice;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const MAX_COMMANDS_PER_WRITE: usize = 64;

/// Conditions for starting to write an attempt.
struct SendConditions {
    drain_guard: DrainGuard,
    cancelled: CancellationToken,
    write_deadline: Instant,
}

impl SendConditions {
    fn are_met(&self, now: Instant) -> bool {
        now < self.write_deadline && self.drain_guard.is_open(now) && !self.cancelled.is_cancelled()
    }
}

/// What a command does with its attempt.
enum CommandKind {
    Start(SendConditions),
    Cancel,
    Other,
}

/// An encoded command.
struct QueuedCommand {
    bytes: Bytes,
    attempt: AttemptId,
    kind: CommandKind,
}

impl QueuedCommand {
    fn is_start(&self) -> bool {
        matches!(self.kind, CommandKind::Start(_))
    }

    /// Whether it starts an attempt that must not be sent any more.
    fn is_obsolete(&self, now: Instant) -> bool {
        matches!(&self.kind, CommandKind::Start(conditions) if !conditions.are_met(now))
    }
}

/// A completely written command that its connection keeps track of.
pub enum WrittenCommand {
    /// The start of an attempt.
    Start(AttemptId),
    /// The cancellation of an attempt.
    Cancel(AttemptId),
}

/// Commands in the order in which they are written.
#[derive(Default)]
pub struct WriteQueue {
    commands: VecDeque<QueuedCommand>,
    /// Whether a part of the first command has been written.
    first_partly_written: bool,
}

impl WriteQueue {
    /// Whether there is nothing left to write.
    pub fn is_empty(&self) -> bool {
        self.commands.is_empty()
    }

    /// Adds the command that starts an attempt in `lane`, the engine's queue for the request's class.
    pub fn push_start(
        &mut self,
        attempt: &AttemptRequest,
        drain_guard: DrainGuard,
        lane: &str,
        now: Instant,
    ) {
        let mut bytes = BytesMut::new();
        wire::put_attempt(&mut bytes, attempt, lane, now);
        let conditions = SendConditions {
            drain_guard,
            cancelled: attempt.cancelled.clone(),
            write_deadline: attempt.write_deadline,
        };
        self.push(bytes, attempt.id, CommandKind::Start(conditions));
    }

    /// Adds a command for an attempt that was added before.
    pub fn push_command(&mut self, attempt: AttemptId, strings: &[&[u8]]) {
        self.push_strings(attempt, strings, CommandKind::Other);
    }

    /// Adds the command that cancels an attempt that was added before.
    pub fn push_cancel(&mut self, attempt: AttemptId, strings: &[&[u8]]) {
        self.push_strings(attempt, strings, CommandKind::Cancel);
    }

    fn push_strings(&mut self, attempt: AttemptId, strings: &[&[u8]], kind: CommandKind) {
        let mut bytes = BytesMut::new();
        wire::put_array(&mut bytes, strings);
        self.push(bytes, attempt, kind);
    }

    fn push(&mut self, bytes: BytesMut, attempt: AttemptId, kind: CommandKind) {
        self.commands.push_back(QueuedCommand { bytes: bytes.freeze(), attempt, kind });
    }

    /// Removes an attempt's commands if nothing of the one that starts it has been written, and returns whether it did.
    /// A partly written command is never removed: an attempt's start precedes its other commands in the queue, so the
    /// partly written command belongs to another attempt.
    pub fn withdraw(&mut self, attempt: AttemptId) -> bool {
        let withdrawable = self.unwritten().any(|command| command.attempt == attempt && command.is_start());
        if withdrawable {
            self.commands.retain(|command| command.attempt != attempt);
        }
        withdrawable
    }

    /// Removes and returns the attempts that must not be sent any more and of which nothing has been written.
    pub fn withdraw_obsolete(&mut self, now: Instant) -> Vec<AttemptId> {
        let obsolete = self.unwritten().filter(|command| command.is_obsolete(now));
        let obsolete: Vec<_> = obsolete.map(|command| command.attempt).collect();
        if !obsolete.is_empty() {
            self.commands.retain(|command| !obsolete.contains(&command.attempt));
        }
        obsolete
    }

    fn unwritten(&self) -> impl Iterator<Item = &QueuedCommand> {
        self.commands.iter().skip(usize::from(self.first_partly_written))
    }

    /// Buffers for the next vectored write.
    pub fn slices(&self) -> Vec<IoSlice<'_>> {
        self.commands
            .iter()
            .take(MAX_COMMANDS_PER_WRITE)
            .map(|command| IoSlice::new(&command.bytes))
            .collect()
    }

    /// Removes `count` written bytes from the front of the queue, and returns the starts and cancellations that are
    /// completely written now.
    pub fn advance(&mut self, mut count: usize) -> Vec<WrittenCommand> {
        let mut written = Vec::new();
        while let Some(first) = self.commands.front_mut() {
            if count < first.bytes.len() {
                first.bytes.advance(count);
                self.first_partly_written |= count > 0;
                break;
            }
            count -= first.bytes.len();
            self.first_partly_written = false;
            let Some(first) = self.commands.pop_front() else { break };
            match first.kind {
                CommandKind::Start(_) => written.push(WrittenCommand::Start(first.attempt)),
                CommandKind::Cancel => written.push(WrittenCommand::Cancel(first.attempt)),
                CommandKind::Other => {}
            }
        }
        written
    }
}
