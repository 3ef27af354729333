//! One client session: greeting, login, then commands one at a time.

use super::Front;
use super::close::close;
use super::packet::{self, BadFraming, Command, Writer};
use super::places::{Place, Room, Stage};
use super::statement::{self, BadFields};
use crate::broker::PendingResponse;
use crate::message::{Failure, Rejection, Request, Response};
use crate::metrics::RequestOutcome;
use crate::shutdown::{Phase, closed_to};
use bytes::{Bytes, BytesMut};
use reedwalk_scheduler::{ClassId, Idempotency};
use socket2::SockRef;
use std::mem::MaybeUninit;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout_at};

/// A client must have logged in, and what it has begun to send at first must be whole, this long after it
/// connected: some write for 2 s, and one that never comes to an end is owed a close within 3 s.
const LOGIN_BY: Duration = Duration::from_millis(2800);
/// A login is no larger.
const LOGIN_MOST: usize = 4 * 1024;
/// A later message must be whole this long after its first byte.
const WHOLE_BY: Duration = Duration::from_millis(2700);
/// A client that does not read its answer is closed this long after its deadline.
const READ_BY: Duration = Duration::from_secs(2);
/// Who judges does so on another core, and may stand still: so long after the deadline, past what the broker
/// needs to say the same, the session says it itself.
const UNJUDGED: Duration = Duration::from_millis(15);
/// Bytes that a client may send ahead while its query runs. Behind more, it could not be seen that it has left: who
/// sends more gets its query failed, and is closed.
const AHEAD_MOST: usize = 16 * 1024;
/// A client that was closed may take so long to close as well, before unread bytes of it may reset the connection.
const CLOSE_BY: Duration = Duration::from_millis(500);
/// A buffer that has grown beyond this is not kept while its session is idle.
const KEPT_MOST: usize = 1024;

/// Why a session ended.
enum Closed {
    /// The client closed, or its connection broke.
    ByClient,
    /// Bytes that can't be read.
    Framing(BadFraming),
    /// We close: no login in time, answer not read, or the program ends.
    ByUs,
    /// Others need its place, at once.
    MakesRoom,
}

pub struct Session<'a> {
    front: &'a Front,
    stream: TcpStream,
    id: u32,
    place: Place,
    since: Instant,
    /// It has asked for something that made sense.
    asked: bool,
    team: Arc<str>,
    input: BytesMut,
    out: BytesMut,
}

impl<'a> Session<'a> {
    pub fn new(front: &'a Front, stream: TcpStream, id: u32, place: Place, since: Instant) -> Self {
        let (input, out) = (BytesMut::new(), BytesMut::new());
        Self { front, stream, id, place, since, asked: false, team: Arc::from(""), input, out }
    }

    pub async fn run(mut self, mut phase: watch::Receiver<Phase>) {
        let ended = self.converse(&mut phase).await;
        if let Err(Closed::Framing(bad)) = &ended {
            Writer::new(&mut self.out, 1).error(1156, b"08S01", &bad.to_string());
            let by = Instant::now() + READ_BY;
            let _ = self.flush(by).await;
        }
        let by = match ended {
            Err(Closed::ByClient) => return,
            // Whose place it is waits for it. It has been silent for long: no answer is on its way.
            Err(Closed::MakesRoom) => Instant::now(),
            Ok(()) | Err(Closed::Framing(_) | Closed::ByUs) => Instant::now() + CLOSE_BY,
        };
        tokio::select! {
            biased;
            () = close(&mut self.stream, by) => {}
            () = self.place.leave.notified() => {}
        }
    }

    async fn converse(&mut self, phase: &mut watch::Receiver<Phase>) -> Result<(), Closed> {
        let by = self.since + LOGIN_BY;
        let scramble = scramble(self.front.seed, self.id);
        Writer::new(&mut self.out, 0).greeting(self.id, scramble);
        self.flush(by).await?;
        let login = loop {
            if packet::size(&self.input, 1).map_err(Closed::Framing)? > LOGIN_MOST {
                return Err(Closed::Framing(BadFraming("login too large")));
            }
            if let Some(packet) = packet::take_packet(&mut self.input, 1).map_err(Closed::Framing)? {
                break packet::read_login(packet).map_err(Closed::Framing)?;
            }
            let leave = self.place.leave.clone();
            tokio::select! {
                biased;
                filled = timeout_at(by, self.fill()) => filled.map_err(|_| Closed::ByUs)??,
                () = leave.notified() => return Err(Closed::MakesRoom),
            }
        };
        // The platform's one user, or a team that has a contract here.
        let team = std::str::from_utf8(&login.user).unwrap_or_default();
        let known = team == "app" || self.front.contracts.as_ref().is_some_and(|c| c.has_contract(team));
        self.team = Arc::from(team);
        if !login.empty_password || !known {
            Writer::new(&mut self.out, 2).error(1045, b"28000", "access denied");
            return self.flush(by).await;
        }
        Writer::new(&mut self.out, 2).ok(0);
        self.flush(by).await?;
        loop {
            let (packet, room) = self.next(phase).await?;
            match packet::read_command(packet).map_err(Closed::Framing)? {
                Command::Query(text) => self.query(text).await?,
                Command::Quit => return Ok(()),
                Command::Ping | Command::UseDatabase => {
                    self.asked = true;
                    Writer::new(&mut self.out, 1).ok(0);
                }
                Command::Unknown(number) => {
                    let text = format!("unknown command {number}");
                    Writer::new(&mut self.out, 1).error(1047, b"08S01", &text);
                }
            }
            self.flush(Instant::now() + READ_BY).await?;
            drop(room);
        }
    }

    /// The next command, and the room that it takes. Who asks for nothing, or does not come to an end, may be told
    /// to make room for others; who has never asked for anything counts as a stranger.
    async fn next(&mut self, phase: &mut watch::Receiver<Phase>) -> Result<(Bytes, Option<Room>), Closed> {
        let since = self.since;
        self.place.stage(if self.asked { Stage::Idle(Instant::now()) } else { Stage::Stranger(since) });
        if self.input.is_empty() && self.input.capacity() > KEPT_MOST {
            self.input = BytesMut::new();
        }
        // Whoever was still let in has its first request on the way.
        let stays = if self.asked { since } else { since + LOGIN_BY };
        let leave = self.place.leave.clone();
        let (mut room, mut by) = (None, None);
        loop {
            let size = packet::size(&self.input, 0).map_err(Closed::Framing)?;
            if size > 0 && room.is_none() {
                let no_room = || Closed::Framing(BadFraming("no room for so large a statement"));
                room = Some(self.place.room(size).ok_or_else(no_room)?);
            }
            if let Some(packet) = packet::take_packet(&mut self.input, 0).map_err(Closed::Framing)? {
                self.place.stage(Stage::Busy);
                return Ok((packet, room));
            }
            let idle = self.input.is_empty();
            if !idle && by.is_none() {
                let now = Instant::now();
                by = Some((since + LOGIN_BY).max(now + WHOLE_BY));
                self.place.stage(Stage::Stranger(now));
            }
            tokio::select! {
                biased;
                filled = self.fill() => filled?,
                () = leave.notified() => return Err(Closed::MakesRoom),
                () = closed_to(phase, stays), if idle => {
                    // The runtime goes by what it was last told of a socket, so the system itself is asked: a
                    // request that has come would be lost with the close.
                    let mut byte = [MaybeUninit::uninit()];
                    if !matches!(SockRef::from(&self.stream).peek(&mut byte), Ok(n) if n > 0) {
                        return Err(Closed::ByUs);
                    }
                    tokio::task::yield_now().await;
                }
                () = sleep_until(by.unwrap_or(since)), if by.is_some() => return Err(Closed::ByUs),
            }
        }
    }

    async fn query(&mut self, text: Bytes) -> Result<(), Closed> {
        let now = Instant::now();
        if let Some(target) = statement::kill_query(&text) {
            // What it is meant for was sent before it, and may lie unread: its session goes first.
            tokio::task::yield_now().await;
            // Whether it still ran or not, the client learns of it on its own session.
            if let Some(kill) = self.front.running.leave(target) {
                let _ = kill.send(());
            }
            Writer::new(&mut self.out, 1).ok(0);
            return Ok(());
        }
        let request = match self.read_request(&text, now) {
            Ok(request) => request,
            Err(bad) => {
                Writer::new(&mut self.out, 1).error(1064, b"42000", &bad.to_string());
                return Ok(());
            }
        };
        self.asked = true;
        let deadline = request.deadline;
        let mut pending = match self.front.request_queue.submit(request) {
            Ok(pending) => pending,
            Err(rejected) => {
                write_response(&mut self.out, rejected);
                return Ok(());
            }
        };
        let answer = self.wait(&mut pending, deadline + UNJUDGED).await;
        self.front.running.leave(self.id);
        if let Err(Closed::Framing(_)) = &answer {
            pending.fail(Failure::Engine);
        }
        match answer? {
            Some(answer) => write_response(&mut self.out, answer),
            None => Writer::new(&mut self.out, 1).error(1317, b"70100", "query execution was interrupted"),
        }
        self.flush(deadline.max(now) + READ_BY).await
    }

    /// Waits for the answer; `None` if the query was killed. A client that closes meanwhile has left.
    async fn wait(&mut self, pending: &mut PendingResponse, by: Instant) -> Result<Option<Response>, Closed> {
        let apart = self.front.cores.is_multicore();
        let mut killed = self.front.running.enter(self.id);
        loop {
            if self.input.len() > AHEAD_MOST {
                return Err(Closed::Framing(BadFraming("too much sent ahead of the answer")));
            }
            tokio::select! {
                biased;
                answer = pending.response() => return answer.map(Some).ok_or(Closed::ByUs),
                kill = &mut killed => if kill.is_ok() {
                    pending.fail(Failure::Engine);
                    return Ok(None);
                },
                () = sleep_until(by), if apart => return Ok(Some(pending.fail(Failure::Deadline))),
                read = self.stream.read_buf(&mut self.input) => {
                    if !matches!(read, Ok(n) if n > 0) {
                        return Err(Closed::ByClient);
                    }
                }
            }
        }
    }

    /// Reads a statement and its fields into a request, its deadline counted from `now`.
    fn read_request(&self, text: &Bytes, now: Instant) -> Result<Request, BadFields> {
        let (fields, statement) = statement::take_fields(text)?;
        let sockets = &self.front.deployment.sockets;
        let Some(class) = sockets.classes.iter().position(|c| *c == fields.route) else {
            return Err(BadFields::NoSuchClass(fields.route));
        };
        let keyed =
            matches!(self.front.deployment.core.classes[class].idempotency, Idempotency::Keyed { .. });
        if keyed && fields.nonce.is_none() {
            // Without its key a repeat would have a second effect.
            self.front.request_queue.count_rejected(ClassId(class), RequestOutcome::Failed);
            return Err(BadFields::Absent("nonce"));
        }
        let patience = Duration::from_millis(fields.patience_ms);
        Ok(Request {
            trace_id: fields.trace.into(),
            class: ClassId(class),
            team: Some(self.team.clone()),
            deadline: now + patience.min(self.front.deployment.core.classes[class].deadline),
            is_retry: fields.redo,
            idempotency_key: fields.nonce.map(Bytes::from),
            work: fields.weight_ms.map(|ms| Duration::from_micros((ms * 1000.0).min(1e15) as u64)),
            memory_mb: fields.space_mb,
            table_group: statement::group(&statement),
            update: self.front.deployment.core.classes[class].is_load,
            statement,
        })
    }

    async fn fill(&mut self) -> Result<(), Closed> {
        match self.stream.read_buf(&mut self.input).await {
            Ok(n) if n > 0 => Ok(()),
            _ => Err(Closed::ByClient),
        }
    }

    async fn flush(&mut self, by: Instant) -> Result<(), Closed> {
        if !self.out.is_empty() {
            let written = timeout_at(by, self.stream.write_all(&self.out)).await;
            self.out = BytesMut::new();
            written.map_err(|_| Closed::ByUs)?.map_err(|_| Closed::ByClient)?;
        }
        Ok(())
    }
}

/// Twenty bytes without NUL; the password is empty, so nothing rests on them.
fn scramble(seed: u64, id: u32) -> [u8; 20] {
    let mut state = seed ^ u64::from(id).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    std::array::from_fn(|_| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        33 + ((state >> 33) % 94) as u8
    })
}

/// Writes the final answer. Refusals bear codes that clients take for "try again", failures any other.
fn write_response(out: &mut BytesMut, response: Response) {
    let mut writer = Writer::new(out, 1);
    match response {
        Response::Served(rows) => match rows.changed {
            Some(changed) => writer.ok(changed.max(0) as u64),
            None => writer.rows(&rows),
        },
        Response::Rejected { reason, retry_after } => {
            let (code, state, text) = match reason {
                Rejection::Busy => (1203, b"42000", "all engines are busy"),
                Rejection::Shed => (1040, b"08004", "too many requests are open"),
                Rejection::Budget => (1226, b"42000", "the team's budget for this window is spent"),
                Rejection::Contract => (1226, b"42000", "the team's contract does not cover this class"),
            };
            let pause = retry_after.map_or(String::new(), |r| format!(", pause={}", r.as_millis()));
            writer.error(code, state, &format!("{text}{pause}"));
        }
        Response::Failed(Failure::Engine) => writer.error(1105, b"HY000", "no engine could serve the query"),
        Response::Failed(Failure::Deadline) => writer.error(3024, b"HY000", "the query's time ran out"),
        Response::Failed(Failure::IdInUse) => writer.error(1062, b"23000", "a query with this id is open"),
    }
}
