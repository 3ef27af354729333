//! A client session: handshake, login, then one command at a time.

mod login;

use super::Front;
use super::close::close;
use super::fields::{self, FieldsError};
use super::packet::{self, Command, ProtocolError, Writer};
use super::response::write_response;
use super::session_slots::{SMALL_STATEMENT_BYTES, SessionSlot, SessionState, StatementMemory};
use crate::broker::PendingResponse;
use crate::front::sql;
use crate::message::{Failure, Request, Response};
use crate::metrics::RequestOutcome;
use crate::session_registry::{KillResult, RegisteredSession};
use crate::shutdown::{Phase, wait_until_closing_after};
use bytes::{Bytes, BytesMut};
use reedwalk_settings::duration_from_ms;
use socket2::SockRef;
use std::mem::MaybeUninit;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Time from the start of the connection in which a client must log in and complete the first message that it starts.
/// Slow clients take 2 s to write a message, and a client that never completes one must be disconnected within 3 s.
const LOGIN_TIMEOUT: Duration = Duration::from_millis(2800);
/// Time from the first byte of any later message in which it must be complete.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2700);
/// A client that does not read a response is disconnected this long after the query's deadline.
const RESPONSE_WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after a query's deadline in which the broker can still respond. The broker may run on another core and stall;
/// after this time the session itself responds that the deadline has passed.
const BROKER_STALL_GRACE: Duration = Duration::from_millis(15);
/// Bytes that a client may send while its query runs. Unread bytes would hide a disconnect, so a client that sends more
/// has its query failed and its connection closed.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;
/// Step in which memory is reserved for bytes sent ahead.
const READ_AHEAD_STEP_BYTES: usize = 4 * 1024;
/// How long the session waits for the client to close its side. After that, unread bytes may cause a connection reset.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// An input buffer with more capacity than this is released while its session is idle.
const MAX_IDLE_BUFFER_BYTES: usize = 1024;

/// The reason for the end of a session.
enum SessionEnd {
    /// The client closed the connection, or the connection failed.
    ClosedByClient,
    /// The client violated the protocol.
    ProtocolError(ProtocolError),
    /// The gateway closes the connection, after a timeout or during shutdown.
    ClosedByGateway,
    /// The session has to release its slot immediately.
    Evicted,
}

impl From<ProtocolError> for SessionEnd {
    fn from(error: ProtocolError) -> Self {
        Self::ProtocolError(error)
    }
}

/// A complete command packet and the memory reserved for it.
struct ReceivedCommand {
    packet: Bytes,
    memory: Option<StatementMemory>,
}

/// A client connection and its state.
pub struct Session<'a> {
    front: &'a Front,
    stream: TcpStream,
    id: u32,
    slot: SessionSlot,
    registration: RegisteredSession,
    /// Whether the command that the client is sending was cancelled before it was read.
    next_is_killed: bool,
    connected_at: Instant,
    /// Whether the client has sent a valid query, ping or database selection.
    has_sent_command: bool,
    team: Arc<str>,
    input: BytesMut,
    /// Memory reserved for the input that was sent ahead of an answer.
    read_ahead_memory: Option<StatementMemory>,
    output: BytesMut,
}

impl<'a> Session<'a> {
    /// Creates the session for a client that connected at `connected_at`.
    pub fn new(
        front: &'a Front,
        stream: TcpStream,
        id: u32,
        slot: SessionSlot,
        connected_at: Instant,
    ) -> Self {
        Self {
            front,
            stream,
            id,
            slot,
            registration: front.query_killer.register(id),
            next_is_killed: false,
            connected_at,
            has_sent_command: false,
            team: Arc::from(""),
            input: BytesMut::new(),
            read_ahead_memory: None,
            output: BytesMut::new(),
        }
    }

    /// Serves the client until either side closes the connection or the process shuts down.
    pub async fn run(mut self, mut phase: watch::Receiver<Phase>) {
        let end = self.serve(&mut phase).await;
        // Nothing of it is processed any more, and the connection may take some time to close.
        self.input = BytesMut::new();
        self.read_ahead_memory = None;
        if let Err(SessionEnd::ProtocolError(error)) = &end {
            Writer::new(&mut self.output, 1).error(1156, b"08S01", &error.to_string());
            let _ = self.flush(Instant::now() + RESPONSE_WRITE_TIMEOUT).await;
        }
        let close_deadline = match end {
            Err(SessionEnd::ClosedByClient) => return,
            // A new session needs the slot now. This one is not busy, so closing it at once loses no response.
            Err(SessionEnd::Evicted) => Instant::now(),
            Ok(()) | Err(SessionEnd::ProtocolError(_) | SessionEnd::ClosedByGateway) => {
                Instant::now() + CLOSE_TIMEOUT
            }
        };
        tokio::select! {
            biased;
            () = close(&mut self.stream, close_deadline) => {}
            () = self.slot.evicted.notified() => {}
        }
    }

    async fn serve(&mut self, phase: &mut watch::Receiver<Phase>) -> Result<(), SessionEnd> {
        if !self.login().await? {
            return Ok(());
        }
        loop {
            let ReceivedCommand { packet, memory } = self.next_command(phase).await?;
            let is_killed = std::mem::take(&mut self.next_is_killed);
            match packet::read_command(packet)? {
                Command::Query(text) => self.handle_query(text, is_killed).await?,
                Command::Quit => return Ok(()),
                Command::Ping | Command::UseDatabase => {
                    self.has_sent_command = true;
                    Writer::new(&mut self.output, 1).ok(0);
                }
                Command::Unknown(command) => {
                    let message = format!("unknown command {command}");
                    Writer::new(&mut self.output, 1).error(1047, b"08S01", &message);
                }
            }
            self.flush(Instant::now() + RESPONSE_WRITE_TIMEOUT).await?;
            drop(memory);
        }
    }

    /// Waits for the next command. The session may be evicted until the command is complete, and counts as unproven
    /// before its first command and while a message is incomplete.
    async fn next_command(
        &mut self,
        phase: &mut watch::Receiver<Phase>,
    ) -> Result<ReceivedCommand, SessionEnd> {
        let connected_at = self.connected_at;
        self.slot.set_state(if self.has_sent_command {
            SessionState::Idle(Instant::now())
        } else {
            SessionState::Unproven(connected_at)
        });
        if self.input.is_empty() {
            self.read_ahead_memory = None;
            if self.input.capacity() > MAX_IDLE_BUFFER_BYTES {
                self.input = BytesMut::new();
            }
        }
        // A client that connects during the shutdown gets time to send its first request.
        let open_until = if self.has_sent_command { connected_at } else { connected_at + LOGIN_TIMEOUT };
        let evicted = self.slot.evicted.clone();
        let kill_requests = self.registration.kill_requests.clone();
        let (mut memory, mut message_deadline) = (None, None);
        loop {
            let size = packet::payload_size(&self.input, 0)?;
            if size > 0 && memory.is_none() {
                let out_of_memory = ProtocolError("no room for so large a statement");
                memory = Some(self.slot.reserve(size).ok_or(out_of_memory)?);
            }
            if let Some(packet) = packet::take_packet(&mut self.input, 0)? {
                self.slot.set_state(SessionState::Busy);
                return Ok(ReceivedCommand { packet, memory });
            }
            let is_idle = self.input.is_empty();
            if !is_idle && message_deadline.is_none() {
                let now = Instant::now();
                message_deadline = Some((connected_at + LOGIN_TIMEOUT).max(now + MESSAGE_TIMEOUT));
                self.slot.set_state(SessionState::Unproven(now));
            }
            tokio::select! {
                biased;
                read = self.read_input() => read?,
                () = kill_requests.arrived() => self.kill_next_command(),
                () = evicted.notified() => return Err(SessionEnd::Evicted),
                () = wait_until_closing_after(phase, open_until), if is_idle => {
                    if !self.has_unread_bytes() {
                        return Err(SessionEnd::ClosedByGateway);
                    }
                    tokio::task::yield_now().await;
                }
                () = sleep_until(message_deadline.unwrap_or(connected_at)), if message_deadline.is_some() => {
                    return Err(SessionEnd::ClosedByGateway);
                }
            }
        }
    }

    /// Handles a KILL QUERY while no query runs. It was meant for the command that the client is sending, if there is one.
    fn kill_next_command(&mut self) {
        let is_sending = !self.input.is_empty() || self.has_unread_bytes();
        self.next_is_killed |= is_sending;
        let result = if is_sending { KillResult::Killed } else { KillResult::Idle };
        self.registration.kill_requests.finish(result);
    }

    /// Returns whether the socket has unread bytes. It asks the kernel, because the readiness cached by the runtime may
    /// be out of date, and closing the connection would then lose a request that has just arrived.
    fn has_unread_bytes(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        matches!(SockRef::from(&self.stream).peek(&mut byte), Ok(length) if length > 0)
    }

    /// Answers a statement. `is_killed` is set if it was cancelled before it was read.
    async fn handle_query(&mut self, text: Bytes, is_killed: bool) -> Result<(), SessionEnd> {
        let now = Instant::now();
        if let Some(connection_id) = sql::kill_query(&text) {
            self.handle_kill_query(connection_id).await;
            return Ok(());
        }
        let request = match self.read_request(&text, now) {
            Ok(request) => request,
            Err(error) => {
                Writer::new(&mut self.output, 1).error(1064, b"42000", &error.to_string());
                return Ok(());
            }
        };
        self.has_sent_command = true;
        if is_killed {
            self.front.request_queue.count_unqueued(request.class, RequestOutcome::Failed);
            self.write_interrupted();
            return Ok(());
        }
        let deadline = request.deadline;
        let mut pending = match self.front.request_queue.submit(request) {
            Ok(pending) => pending,
            Err(rejected) => {
                write_response(&mut self.output, rejected);
                return Ok(());
            }
        };
        let response = self.wait_for_response(&mut pending, deadline + BROKER_STALL_GRACE).await;
        if let Err(SessionEnd::ProtocolError(_)) = &response {
            pending.fail(Failure::Engine);
        }
        match response? {
            Some(response) => write_response(&mut self.output, response),
            None => self.write_interrupted(),
        }
        self.flush(deadline.max(now) + RESPONSE_WRITE_TIMEOUT).await
    }

    /// Answers a query that was killed.
    fn write_interrupted(&mut self) {
        Writer::new(&mut self.output, 1).error(1317, b"70100", "query execution was interrupted");
    }

    /// Kills the query of another connection and reports success, also if no query is running there. The client of a
    /// killed query receives the error on its own connection.
    async fn handle_kill_query(&mut self, connection_id: u32) {
        let kill_requests = &self.registration.kill_requests;
        // On the heap, as every session would hold room for it.
        let mut kill = Box::pin(self.front.query_killer.kill(connection_id));
        loop {
            tokio::select! {
                () = &mut kill => break,
                // This session has no query. Two sessions that kill each other's must not wait for one another.
                () = kill_requests.arrived() => kill_requests.finish(KillResult::Idle),
            }
        }
        Writer::new(&mut self.output, 1).ok(0);
    }

    /// Waits for the response until `deadline`; returns `None` if the query was killed. Fails if the client disconnects
    /// meanwhile.
    async fn wait_for_response(
        &mut self,
        pending: &mut PendingResponse,
        deadline: Instant,
    ) -> Result<Option<Response>, SessionEnd> {
        let broker_on_other_core = self.front.cores.is_multicore();
        let kill_requests = self.registration.kill_requests.clone();
        loop {
            self.reserve_read_ahead()?;
            tokio::select! {
                biased;
                response = pending.response() => {
                    return response.map(Some).ok_or(SessionEnd::ClosedByGateway);
                }
                () = kill_requests.arrived() => {
                    pending.fail(Failure::Engine);
                    kill_requests.finish(KillResult::Killed);
                    return Ok(None);
                }
                () = sleep_until(deadline), if broker_on_other_core => {
                    return Ok(Some(pending.fail(Failure::Deadline)));
                }
                read = self.stream.read_buf(&mut self.input) => {
                    if !matches!(read, Ok(length) if length > 0) {
                        return Err(SessionEnd::ClosedByClient);
                    }
                }
            }
        }
    }

    /// Reserves memory for what the client has sent ahead of the answer.
    ///
    /// # Errors
    /// If it is too much, or if other sessions leave too little memory for it.
    fn reserve_read_ahead(&mut self) -> Result<(), ProtocolError> {
        const TOO_MUCH: ProtocolError = ProtocolError("too much sent ahead of the answer");
        let size = self.input.len();
        if size > MAX_READ_AHEAD_BYTES {
            return Err(TOO_MUCH);
        }
        let reserved = self.read_ahead_memory.as_ref().map_or(SMALL_STATEMENT_BYTES, StatementMemory::bytes);
        if size > reserved {
            self.read_ahead_memory = None;
            let memory = self.slot.reserve(size.next_multiple_of(READ_AHEAD_STEP_BYTES));
            self.read_ahead_memory = Some(memory.ok_or(TOO_MUCH)?);
        }
        Ok(())
    }

    /// Builds the request from a statement and its fields. Its timeout starts at `now`.
    fn read_request(&self, text: &Bytes, now: Instant) -> Result<Request, FieldsError> {
        let (fields, statement) = fields::take_fields(text)?;
        let deployment = &self.front.deployment;
        let Some(class_id) = deployment.sockets.class_id(&fields.class) else {
            return Err(FieldsError::UnknownClass(fields.class));
        };
        let class = &deployment.scheduler.classes[class_id.0];
        let needs_key = class.idempotency.deduplication().is_some();
        if needs_key && fields.idempotency_key.is_none() {
            // Without a key, a duplicate of the request would be executed again.
            self.front.request_queue.count_unqueued(class_id, RequestOutcome::Failed);
            return Err(FieldsError::MissingField("nonce"));
        }
        let timeout = Duration::from_millis(fields.timeout_ms);
        Ok(Request {
            trace_id: fields.trace.into(),
            class: class_id,
            team: Some(self.team.clone()),
            deadline: now + timeout.min(class.deadline),
            is_retry: fields.is_retry,
            idempotency_key: fields.idempotency_key.map(Bytes::from),
            work: fields.work_ms.map(duration_from_ms),
            memory_mb: fields.memory_mb,
            table_group: sql::table_group(&statement),
            is_update: class.is_load,
            statement,
        })
    }

    async fn read_input(&mut self) -> Result<(), SessionEnd> {
        match self.stream.read_buf(&mut self.input).await {
            Ok(length) if length > 0 => Ok(()),
            _ => Err(SessionEnd::ClosedByClient),
        }
    }

    /// Sends the buffered output until `deadline`.
    async fn flush(&mut self, deadline: Instant) -> Result<(), SessionEnd> {
        if !self.output.is_empty() {
            let written = timeout_at(deadline, self.stream.write_all(&self.output)).await;
            self.output = BytesMut::new();
            written.map_err(|_| SessionEnd::ClosedByGateway)?.map_err(|_| SessionEnd::ClosedByClient)?;
        }
        Ok(())
    }
}
