//! One connection to an engine: a task that writes commands and reads replies for many attempts at a time. The replies
//! are processed in `answers.rs`.

use super::wire::{self, Reply};
use super::write_queue::{WriteQueue, WrittenCommand};
use crate::drain_guard::DrainGuard;
use crate::engine::pool::ReadActivity;
use crate::message::{AttemptEvent, AttemptId, AttemptRequest, AttemptResult, BrokerEvent};
use crate::metrics::Metrics;
use bytes::{Bytes, BytesMut};
use reedwalk_scheduler::Outcome;
use reedwalk_settings::Sockets;
use socket2::SockRef;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::WriteHalf;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Maximum time from the first byte of a reply to its last. Replies are short: one that takes longer will not be
/// completed, and nothing after it can be read.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);
/// Initial capacity of the read buffer.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// A command for a connection's task.
#[derive(Clone, Debug)]
pub enum ConnectionCommand {
    /// Start an attempt, unless its drain guard is closed by the time that it can be written.
    Start(Box<AttemptRequest>, DrainGuard),
    /// Cancel an attempt.
    Cancel(AttemptId),
    /// Change the priority of an attempt.
    SetPriority(AttemptId, u8),
}

/// The first reply of a successful attempt, and the pages received so far by page number.
pub(super) struct PartialResult {
    pub(super) first_reply: Reply,
    pub(super) pages: BTreeMap<u32, Bytes>,
}

/// An attempt on this connection.
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    /// Whether its command has been completely written.
    pub(super) written: bool,
    /// Whether a reply has shown that the engine began to run the query.
    pub(super) has_begun: bool,
    /// Set once the first reply has been received.
    pub(super) partial_result: Option<Box<PartialResult>>,
}

/// How an established connection ended.
enum ConnectionEnd {
    /// The engine closed or reset the connection, or the transport dropped it.
    Closed,
    /// The engine sent an invalid or an incomplete reply; `failure_reported` is set if an attempt was ended for it.
    ProtocolError { failure_reported: bool },
}

/// A removed attempt whose reply was not complete.
struct RemovedAttempt {
    trace_id: Bytes,
    /// Whether its first reply had been received.
    had_first_reply: bool,
}

/// The task of one connection.
pub struct ConnectionTask {
    created_at: Instant,
    peer: SocketAddr,
    read_activity: Arc<ReadActivity>,
    sockets: Arc<Sockets>,
    events: mpsc::Sender<BrokerEvent>,
    metrics: Arc<Metrics>,
    commands: mpsc::Receiver<ConnectionCommand>,
    /// Attempts by trace id.
    pub(super) attempts: HashMap<Bytes, Attempt>,
    /// Trace ids by attempt.
    trace_ids: HashMap<AttemptId, Bytes>,
    pub(super) write_queue: WriteQueue,
    /// Cancelled attempts whose cancellation has not been completely written yet.
    pending_cancellations: HashSet<AttemptId>,
}

impl ConnectionTask {
    /// Creates the task of a connection to `peer` that is opened by [`run`](Self::run).
    pub fn new(
        peer: SocketAddr,
        read_activity: Arc<ReadActivity>,
        sockets: Arc<Sockets>,
        events: mpsc::Sender<BrokerEvent>,
        metrics: Arc<Metrics>,
        commands: mpsc::Receiver<ConnectionCommand>,
    ) -> Self {
        Self {
            created_at: Instant::now(),
            peer,
            read_activity,
            sockets,
            events,
            metrics,
            commands,
            attempts: HashMap::new(),
            trace_ids: HashMap::new(),
            write_queue: WriteQueue::default(),
            pending_cancellations: HashSet::new(),
        }
    }

    pub(super) async fn report(&self, id: AttemptId, event: AttemptEvent) {
        // This can't deadlock: the broker never waits for a connection.
        let _ = self.events.send(BrokerEvent::Attempt { id, event }).await;
    }

    /// Removes the attempt of a trace id and reports its result.
    pub(super) async fn end_attempt(&mut self, trace_id: &Bytes, result: AttemptResult) {
        if let Some(attempt) = self.attempts.remove(trace_id) {
            self.trace_ids.remove(&attempt.id);
            self.report(attempt.id, AttemptEvent::Ended(result)).await;
        }
    }

    /// Connects before `deadline`, and serves until the transport drops the connection or it is closed.
    pub async fn run(mut self, deadline: Instant) {
        let end = match self.connect(deadline).await {
            Some(mut stream) => {
                let _ = stream.set_nodelay(true);
                self.read_activity.record_read();
                Some(self.serve(&mut stream).await)
            }
            None => None,
        };
        self.end_all_attempts(end).await;
    }

    /// Reports the end of all attempts that remain on this connection.
    async fn end_all_attempts(&mut self, end: Option<ConnectionEnd>) {
        // An attempt that was not completely written has not run. ConnectFailed is reported only if the connection was
        // never established: one that closed before a command was written is no evidence against the engine.
        let unwritten = if end.is_some() { Outcome::NeverSent } else { Outcome::ConnectFailed };
        self.commands.close();
        while let Some(command) = self.commands.recv().await {
            match command {
                ConnectionCommand::Start(attempt, _) => {
                    self.report(attempt.id, AttemptEvent::Ended(unwritten.into())).await;
                }
                // Confirmed below.
                ConnectionCommand::Cancel(id) => _ = self.pending_cancellations.insert(id),
                ConnectionCommand::SetPriority(..) => {}
            }
        }
        // Closing the connection also cancels its attempts at the engine.
        for id in std::mem::take(&mut self.pending_cancellations) {
            self.remove_attempt(id);
            self.report(id, AttemptEvent::CancelConfirmed).await;
        }
        // A protocol error counts as a failure of one attempt only; the others are reported as cancelled with the
        // connection.
        let mut one_failed = matches!(end, Some(ConnectionEnd::ProtocolError { failure_reported: true }));
        let mut remaining: Vec<_> = std::mem::take(&mut self.attempts).into_values().collect();
        remaining.sort_by_key(|attempt| attempt.id);
        for attempt in remaining {
            let outcome = match end {
                _ if !attempt.written => unwritten,
                Some(ConnectionEnd::ProtocolError { .. }) if std::mem::replace(&mut one_failed, true) => {
                    Outcome::Cancelled
                }
                _ => Outcome::Reset,
            };
            self.report(attempt.id, AttemptEvent::Ended(outcome.into())).await;
        }
    }

    /// Connects before `deadline`. An attempt that is cancelled meanwhile is withdrawn and never sent.
    async fn connect(&mut self, deadline: Instant) -> Option<TcpStream> {
        let connecting = timeout_at(deadline, TcpStream::connect(self.peer));
        let mut connecting = pin!(connecting);
        loop {
            tokio::select! {
                biased;
                connected = &mut connecting => return connected.ok()?.ok(),
                Some(command) = self.commands.recv() => self.on_command(command).await,
            }
        }
    }

    async fn serve(&mut self, stream: &mut TcpStream) -> ConnectionEnd {
        let (mut reader, writer) = stream.split();
        let mut buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
        // When a partly received reply must be complete.
        let mut reply_deadline = None;
        loop {
            let step = tokio::select! {
                biased;
                command = self.commands.recv() => match command {
                    None => return ConnectionEnd::Closed,
                    Some(command) => {
                        self.on_commands(command).await;
                        Ok(())
                    }
                },
                ready = writer.writable(), if !self.write_queue.is_empty() => match ready {
                    Ok(()) => self.write(&writer).await,
                    Err(_) => Err(ConnectionEnd::Closed),
                },
                read = reader.read_buf(&mut buffer) => match read {
                    Ok(length) if length > 0 => self.read_replies(&mut buffer, &mut reply_deadline).await,
                    _ => Err(ConnectionEnd::Closed),
                },
                () = sleep_until(reply_deadline.unwrap_or(self.created_at)), if reply_deadline.is_some() => {
                    Err(ConnectionEnd::ProtocolError { failure_reported: false })
                }
            };
            if let Err(end) = step {
                return end;
            }
        }
    }

    /// Processes a command and those queued after it.
    async fn on_commands(&mut self, first: ConnectionCommand) {
        self.on_command(first).await;
        while let Ok(command) = self.commands.try_recv() {
            self.on_command(command).await;
        }
    }

    /// Writes as much of the write queue as the socket takes.
    async fn write(&mut self, writer: &WriteHalf<'_>) -> Result<(), ConnectionEnd> {
        // Checked immediately before the write, since commands may have waited for the connection or for space in the
        // socket buffer. Reporting withdrawn attempts may take long, so the check is repeated afterwards.
        let obsolete = self.write_queue.withdraw_obsolete(Instant::now());
        if !obsolete.is_empty() {
            for id in obsolete {
                self.end_unwritten(id).await;
            }
            return Ok(());
        }
        // An attempt written while the engine closes an idle connection may or may not have run; one not written can be
        // retried on another connection. The socket is checked directly, as the runtime's readiness may be out of date.
        if !self.attempts.values().any(|attempt| attempt.written) && is_closed_by_peer(writer.as_ref()) {
            return Err(ConnectionEnd::Closed);
        }
        match writer.try_write_vectored(&self.write_queue.slices()) {
            Ok(length) if length > 0 => {
                self.on_written(length).await;
                Ok(())
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => Ok(()),
            _ => Err(ConnectionEnd::Closed),
        }
    }

    /// Processes the replies that are complete in the buffer.
    async fn read_replies(
        &mut self,
        buffer: &mut BytesMut,
        reply_deadline: &mut Option<Instant>,
    ) -> Result<(), ConnectionEnd> {
        self.read_activity.record_read();
        loop {
            match wire::take_array(buffer) {
                Ok(Some(strings)) => {
                    *reply_deadline = None;
                    if self.on_array(strings).await.is_err() {
                        return Err(ConnectionEnd::ProtocolError { failure_reported: true });
                    }
                }
                Ok(None) => break,
                Err(_) => return Err(ConnectionEnd::ProtocolError { failure_reported: false }),
            }
        }
        if buffer.is_empty() {
            *reply_deadline = None;
        } else if reply_deadline.is_none() {
            *reply_deadline = Some(Instant::now() + REPLY_TIMEOUT);
        }
        Ok(())
    }

    /// Ends an attempt that was withdrawn before it was written and so never ran.
    async fn end_unwritten(&mut self, id: AttemptId) {
        if let Some(trace_id) = self.trace_ids.get(&id).cloned() {
            self.end_attempt(&trace_id, Outcome::NeverSent.into()).await;
        }
    }

    async fn on_written(&mut self, length: usize) {
        for written in self.write_queue.advance(length) {
            match written {
                WrittenCommand::Start(id) => {
                    self.metrics.count_upstream_request();
                    let trace_id = self.trace_ids.get(&id);
                    if let Some(attempt) = trace_id.and_then(|trace_id| self.attempts.get_mut(trace_id)) {
                        attempt.written = true;
                    }
                }
                WrittenCommand::Cancel(id) => {
                    self.pending_cancellations.remove(&id);
                    self.report(id, AttemptEvent::CancelConfirmed).await;
                }
            }
        }
    }

    /// Removes an attempt whose result is no longer needed.
    fn remove_attempt(&mut self, id: AttemptId) -> Option<RemovedAttempt> {
        let trace_id = self.trace_ids.remove(&id)?;
        let had_first_reply =
            self.attempts.remove(&trace_id).is_some_and(|attempt| attempt.partial_result.is_some());
        Some(RemovedAttempt { trace_id, had_first_reply })
    }

    async fn on_command(&mut self, command: ConnectionCommand) {
        match command {
            ConnectionCommand::Start(attempt, drain_guard) => {
                let lane = self.sockets.classes.get(attempt.class.0).map_or("", String::as_str);
                self.write_queue.push_start(&attempt, drain_guard, lane, Instant::now());
                self.trace_ids.insert(attempt.id, attempt.trace_id.clone());
                let entry =
                    Attempt { id: attempt.id, written: false, has_begun: false, partial_result: None };
                self.attempts.insert(attempt.trace_id, entry);
            }
            ConnectionCommand::Cancel(id) => {
                let Some(RemovedAttempt { trace_id, had_first_reply }) = self.remove_attempt(id) else {
                    return;
                };
                // An attempt of which nothing was written is withdrawn, so that neither it nor a cancellation is sent.
                if self.write_queue.withdraw(id) {
                    self.report(id, AttemptEvent::CancelConfirmed).await;
                } else {
                    self.pending_cancellations.insert(id);
                    let name: &[u8] = if had_first_reply { b"DISCARD" } else { b"KILL" };
                    self.write_queue.push_cancel(id, &[name, &trace_id]);
                }
            }
            ConnectionCommand::SetPriority(id, priority) => {
                if let Some(trace_id) = self.trace_ids.get(&id).cloned() {
                    self.write_queue
                        .push_command(id, &[b"BOOST", &trace_id, priority.to_string().as_bytes()]);
                }
            }
        }
    }
}

/// Whether the connection was reset, or the peer has closed it and all data that it sent has been read.
fn is_closed_by_peer(stream: &TcpStream) -> bool {
    match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
        Ok(length) => length == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

impl Drop for ConnectionTask {
    /// Reports the end of the remaining attempts if the task is dropped early, by a panic or when its thread stops.
    fn drop(&mut self) {
        let report = |id, event| {
            let _ = self.events.try_send(BrokerEvent::Attempt { id, event });
        };
        let end = |id, outcome: Outcome| report(id, AttemptEvent::Ended(outcome.into()));
        for attempt in self.attempts.values() {
            end(attempt.id, if attempt.written { Outcome::Reset } else { Outcome::NeverSent });
        }
        for id in &self.pending_cancellations {
            report(*id, AttemptEvent::CancelConfirmed);
        }
        self.commands.close();
        while let Ok(command) = self.commands.try_recv() {
            match command {
                ConnectionCommand::Start(attempt, _) => end(attempt.id, Outcome::NeverSent),
                ConnectionCommand::Cancel(id) => report(id, AttemptEvent::CancelConfirmed),
                ConnectionCommand::SetPriority(..) => {}
            }
        }
    }
}
