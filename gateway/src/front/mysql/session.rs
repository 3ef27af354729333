//! One client session: greeting, login, then commands one at a time.

use super::Front;
use super::close::close;
use super::fields::{self, BadFields};
use super::packet::{self, BadFraming, Command, Writer};
use super::response::write_response;
use super::session_slots::{SessionSlot, SessionState, StatementMemory};
use crate::broker::PendingResponse;
use crate::front::sql;
use crate::message::{Failure, Request, Response};
use crate::metrics::RequestOutcome;
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

/// A client must have logged in, and finished the first message that it has begun, this long after it connected: some
/// clients write for 2 s, and one that never comes to an end must be closed within 3 s.
const LOGIN_TIMEOUT: Duration = Duration::from_millis(2800);
/// Bytes of a login at most.
const MAX_LOGIN_BYTES: usize = 4 * 1024;
/// A later message must be whole this long after its first byte.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2700);
/// A client that does not read its answer is closed this long after its deadline.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// The broker runs on another core, and may stall: this long after a query's deadline, which leaves it the time to answer,
/// the session answers itself.
const BROKER_STALL_GRACE: Duration = Duration::from_millis(15);
/// Bytes that a client may send ahead while its query runs. Behind more, its disconnect would not be seen: the query of a
/// client that sends more fails, and the client is closed.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;
/// A client that was closed may take this long to close as well, before unread bytes of it may reset the connection.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// A buffer that has grown beyond this is released while its session is idle.
const MAX_IDLE_BUFFER_BYTES: usize = 1024;
/// The user of clients that belong to no team.
const DEFAULT_USER: &str = "app";

/// Why a session ended.
enum SessionEnd {
    /// The client closed, or its connection broke.
    ClosedByClient,
    /// The client sent bytes that can't be read.
    BadFraming(BadFraming),
    /// The gateway closes it: no login in time, an answer that is not read, or a shutdown.
    ClosedByGateway,
    /// Its slot is needed for another, at once.
    Evicted,
}

impl From<BadFraming> for SessionEnd {
    fn from(error: BadFraming) -> Self {
        Self::BadFraming(error)
    }
}

/// A whole command, and the memory reserved for it.
struct ReceivedCommand {
    packet: Bytes,
    memory: Option<StatementMemory>,
}

/// A client's connection and its state.
pub struct Session<'a> {
    front: &'a Front,
    stream: TcpStream,
    id: u32,
    slot: SessionSlot,
    connected_at: Instant,
    /// It has sent a command that could be read.
    has_sent_command: bool,
    team: Arc<str>,
    input: BytesMut,
    output: BytesMut,
}

impl<'a> Session<'a> {
    /// A session that connected at `connected_at` and holds `slot`.
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
            connected_at,
            has_sent_command: false,
            team: Arc::from(""),
            input: BytesMut::new(),
            output: BytesMut::new(),
        }
    }

    /// Serves the client until it leaves, is closed, or the process shuts down.
    pub async fn run(mut self, mut phase: watch::Receiver<Phase>) {
        let end = self.serve(&mut phase).await;
        if let Err(SessionEnd::BadFraming(error)) = &end {
            Writer::new(&mut self.output, 1).error(1156, b"08S01", &error.to_string());
            let _ = self.flush(Instant::now() + READ_TIMEOUT).await;
        }
        let close_deadline = match end {
            Err(SessionEnd::ClosedByClient) => return,
            // Another waits for the slot. This session has been silent for long: no answer is on its way.
            Err(SessionEnd::Evicted) => Instant::now(),
            Ok(()) | Err(SessionEnd::BadFraming(_) | SessionEnd::ClosedByGateway) => {
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
            match packet::read_command(packet)? {
                Command::Query(text) => self.query(text).await?,
                Command::Quit => return Ok(()),
                Command::Ping | Command::UseDatabase => {
                    self.has_sent_command = true;
                    Writer::new(&mut self.output, 1).ok(0);
                }
                Command::Unknown(number) => {
                    let text = format!("unknown command {number}");
                    Writer::new(&mut self.output, 1).error(1047, b"08S01", &text);
                }
            }
            self.flush(Instant::now() + READ_TIMEOUT).await?;
            drop(memory);
        }
    }

    /// Greets the client and checks its login; returns whether it was accepted.
    async fn login(&mut self) -> Result<bool, SessionEnd> {
        let deadline = self.connected_at + LOGIN_TIMEOUT;
        let scramble = scramble(self.front.seed, self.id);
        Writer::new(&mut self.output, 0).greeting(self.id, scramble);
        self.flush(deadline).await?;
        let login = packet::read_login(self.read_login(deadline).await?)?;
        let user = std::str::from_utf8(&login.user).unwrap_or_default();
        let quotas = self.front.quotas.as_ref();
        let is_known = user == DEFAULT_USER || quotas.is_some_and(|quotas| quotas.has_contract(user));
        self.team = Arc::from(user);
        let is_accepted = login.empty_password && is_known;
        let mut writer = Writer::new(&mut self.output, 2);
        if is_accepted {
            writer.ok(0);
        } else {
            writer.error(1045, b"28000", "access denied");
        }
        self.flush(deadline).await?;
        Ok(is_accepted)
    }

    async fn read_login(&mut self, deadline: Instant) -> Result<Bytes, SessionEnd> {
        let evicted = self.slot.evicted.clone();
        loop {
            if packet::size(&self.input, 1)? > MAX_LOGIN_BYTES {
                return Err(BadFraming("login too large").into());
            }
            if let Some(packet) = packet::take_packet(&mut self.input, 1)? {
                return Ok(packet);
            }
            tokio::select! {
                biased;
                filled = timeout_at(deadline, self.fill()) => {
                    filled.map_err(|_| SessionEnd::ClosedByGateway)??;
                }
                () = evicted.notified() => return Err(SessionEnd::Evicted),
            }
        }
    }

    /// Waits for the next command. A session that sends nothing, or does not finish a message, may be evicted meanwhile;
    /// until its first command it counts as unproven.
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
        if self.input.is_empty() && self.input.capacity() > MAX_IDLE_BUFFER_BYTES {
            self.input = BytesMut::new();
        }
        // A client that was accepted during the shutdown has its first request on the way.
        let open_until = if self.has_sent_command { connected_at } else { connected_at + LOGIN_TIMEOUT };
        let evicted = self.slot.evicted.clone();
        let (mut memory, mut message_deadline) = (None, None);
        loop {
            let size = packet::size(&self.input, 0)?;
            if size > 0 && memory.is_none() {
                let too_large = BadFraming("no room for so large a statement");
                memory = Some(self.slot.reserve(size).ok_or(too_large)?);
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
                filled = self.fill() => filled?,
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

    /// Whether the system holds bytes of the client that were not read. The runtime goes by what it was last told of a
    /// socket; a request that has arrived since would be lost with a close.
    fn has_unread_bytes(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        matches!(SockRef::from(&self.stream).peek(&mut byte), Ok(length) if length > 0)
    }

    async fn query(&mut self, text: Bytes) -> Result<(), SessionEnd> {
        let now = Instant::now();
        if let Some(target) = sql::kill_query(&text) {
            self.kill(target).await;
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
        let deadline = request.deadline;
        let mut pending = match self.front.request_queue.submit(request) {
            Ok(pending) => pending,
            Err(rejected) => {
                write_response(&mut self.output, rejected);
                return Ok(());
            }
        };
        let response = self.wait(&mut pending, deadline + BROKER_STALL_GRACE).await;
        self.front.running.remove(self.id);
        if let Err(SessionEnd::BadFraming(_)) = &response {
            pending.fail(Failure::Engine);
        }
        match response? {
            Some(response) => write_response(&mut self.output, response),
            None => {
                Writer::new(&mut self.output, 1).error(1317, b"70100", "query execution was interrupted");
            }
        }
        self.flush(deadline.max(now) + READ_TIMEOUT).await
    }

    /// Kills the query of another connection. Whether it still ran or not, its client learns of it there.
    async fn kill(&mut self, target: u32) {
        // The query that is meant was sent before this, and may lie unread: its session goes first.
        tokio::task::yield_now().await;
        if let Some(kill) = self.front.running.remove(target) {
            let _ = kill.send(());
        }
        Writer::new(&mut self.output, 1).ok(0);
    }

    /// Waits for the response until `deadline`; `None` if the query was killed. A client that closes meanwhile has
    /// disconnected.
    async fn wait(
        &mut self,
        pending: &mut PendingResponse,
        deadline: Instant,
    ) -> Result<Option<Response>, SessionEnd> {
        let broker_is_elsewhere = self.front.cores.is_multicore();
        let mut killed = self.front.running.insert(self.id);
        loop {
            if self.input.len() > MAX_READ_AHEAD_BYTES {
                return Err(BadFraming("too much sent ahead of the answer").into());
            }
            tokio::select! {
                biased;
                response = pending.response() => {
                    return response.map(Some).ok_or(SessionEnd::ClosedByGateway);
                }
                kill = &mut killed => if kill.is_ok() {
                    pending.fail(Failure::Engine);
                    return Ok(None);
                },
                () = sleep_until(deadline), if broker_is_elsewhere => {
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

    /// Reads a statement and its fields into a request, its deadline counted from `now`.
    fn read_request(&self, text: &Bytes, now: Instant) -> Result<Request, BadFields> {
        let (fields, statement) = fields::take_fields(text)?;
        let deployment = &self.front.deployment;
        let Some(class_id) = deployment.sockets.class_id(&fields.class) else {
            return Err(BadFields::NoSuchClass(fields.class));
        };
        let class = &deployment.scheduler.classes[class_id.0];
        let needs_key = class.idempotency.deduplication().is_some();
        if needs_key && fields.idempotency_key.is_none() {
            // Without its key a repeat would have a second effect.
            self.front.request_queue.count_unqueued(class_id, RequestOutcome::Failed);
            return Err(BadFields::Absent("nonce"));
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

    async fn fill(&mut self) -> Result<(), SessionEnd> {
        match self.stream.read_buf(&mut self.input).await {
            Ok(length) if length > 0 => Ok(()),
            _ => Err(SessionEnd::ClosedByClient),
        }
    }

    /// Writes what is to be sent, by `deadline`.
    async fn flush(&mut self, deadline: Instant) -> Result<(), SessionEnd> {
        if !self.output.is_empty() {
            let written = timeout_at(deadline, self.stream.write_all(&self.output)).await;
            self.output = BytesMut::new();
            written.map_err(|_| SessionEnd::ClosedByGateway)?.map_err(|_| SessionEnd::ClosedByClient)?;
        }
        Ok(())
    }
}

/// The greeting's challenge: twenty bytes without NUL. Passwords are empty, so it protects nothing.
fn scramble(seed: u64, id: u32) -> [u8; 20] {
    let mut state = seed ^ u64::from(id).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    std::array::from_fn(|_| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        33 + ((state >> 33) % 94) as u8
    })
}
