//! Which attempts a connection writes, how it cancels them, and which outcomes it reports.

use super::connection::{ConnectionCommand, ConnectionTask};
use crate::drain_guard::DrainGuard;
use crate::engine::pool::ReadActivity;
use crate::message::{AttemptEvent, AttemptId, AttemptRequest, BrokerEvent};
use crate::metrics::Metrics;
use bytes::{Bytes, BytesMut};
use reedwalk_scheduler::{ClassId, EngineId, Outcome};
use reedwalk_settings::Sockets;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Trace id of the attempt under test.
const TESTED_ID: &str = "aaaaaaaaaaaaaaaa";
/// Trace id of an attempt behind it: once this one arrives, everything before it has been written.
const LAST_ID: &str = "bbbbbbbbbbbbbbbb";

fn attempt(id: u64, trace_id: &'static str, size: usize) -> AttemptRequest {
    let expiry = Instant::now() + Duration::from_secs(60);
    AttemptRequest {
        id: AttemptId(id),
        engine: EngineId(0),
        trace_id: Bytes::from_static(trace_id.as_bytes()),
        class: ClassId(0),
        deadline: expiry,
        write_deadline: expiry,
        cancelled: CancellationToken::new(),
        idempotency_key: None,
        memory_mb: None,
        priority: 1,
        is_update: false,
        statement: Bytes::from(vec![b'x'; size]),
    }
}

fn start(attempt: &AttemptRequest) -> ConnectionCommand {
    ConnectionCommand::Start(Box::new(attempt.clone()), DrainGuard::default())
}

struct TestConnection {
    listener: TcpListener,
    commands: mpsc::Sender<ConnectionCommand>,
    events: mpsc::Receiver<BrokerEvent>,
    task: ConnectionTask,
}

async fn connection() -> TestConnection {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (commands, command_receiver) = mpsc::channel(512);
    let (event_sender, events) = mpsc::channel(512);
    let sockets = Sockets {
        may_gossip: None,
        classes: vec!["lookup".into()],
        zones: Vec::new(),
        kinds: Vec::new(),
        connect_timeout: Duration::from_secs(5),
        idle_timeout: Duration::from_secs(15),
        max_attempts_per_connection: 32,
        max_open_requests: 10,
        allows_hedging: true,
    };
    let read_activity = Arc::new(ReadActivity::new(Instant::now()));
    let peer = listener.local_addr().unwrap();
    let task = ConnectionTask::new(
        peer,
        read_activity,
        Arc::new(sockets),
        event_sender,
        Arc::new(Metrics::default()),
        command_receiver,
    );
    TestConnection { listener, commands, events, task }
}

impl TestConnection {
    /// Starts the task, which connects and processes the commands that are queued already.
    async fn open(self) -> (TcpStream, mpsc::Sender<ConnectionCommand>, mpsc::Receiver<BrokerEvent>) {
        tokio::spawn(self.task.run(Instant::now() + Duration::from_secs(5)));
        (self.listener.accept().await.unwrap().0, self.commands, self.events)
    }
}

/// Reads on the engine's side until `id` has been received.
async fn read_until(engine: &mut TcpStream, id: &str) -> String {
    let mut bytes = BytesMut::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if text.contains(id) {
            return text;
        }
        assert!(engine.read_buf(&mut bytes).await.unwrap() > 0, "closed before {id}: {text}");
    }
}

async fn outcome(events: &mut mpsc::Receiver<BrokerEvent>) -> (AttemptId, Outcome) {
    loop {
        if let BrokerEvent::Attempt { id, event: AttemptEvent::Ended(end) } =
            events.recv().await.expect("the connection has ended")
        {
            return (id, end.outcome);
        }
    }
}

#[tokio::test]
async fn attempt_cancelled_while_connecting_is_never_written() {
    let connection = connection().await;
    connection.commands.try_send(start(&attempt(1, TESTED_ID, 10))).unwrap();
    connection.commands.try_send(ConnectionCommand::SetPriority(AttemptId(1), 2)).unwrap();
    connection.commands.try_send(ConnectionCommand::Cancel(AttemptId(1))).unwrap();
    connection.commands.try_send(start(&attempt(2, LAST_ID, 10))).unwrap();
    let (mut engine, _commands, _events) = connection.open().await;
    let text = read_until(&mut engine, LAST_ID).await;
    assert!(!text.contains(TESTED_ID), "written after its cancellation: {text}");
}

#[tokio::test]
async fn attempt_cancelled_after_it_was_written_is_killed() {
    let connection = connection().await;
    connection.commands.try_send(start(&attempt(1, TESTED_ID, 10))).unwrap();
    let (mut engine, commands, _events) = connection.open().await;
    read_until(&mut engine, TESTED_ID).await;
    commands.try_send(ConnectionCommand::Cancel(AttemptId(1))).unwrap();
    let text = read_until(&mut engine, TESTED_ID).await;
    assert!(text.contains("KILL"), "{text}");
}

#[tokio::test]
async fn attempt_of_disconnected_client_is_never_written() {
    let connection = connection().await;
    let disconnected = attempt(1, TESTED_ID, 10);
    connection.commands.try_send(start(&disconnected)).unwrap();
    connection.commands.try_send(start(&attempt(2, LAST_ID, 10))).unwrap();
    disconnected.cancelled.cancel();
    let (mut engine, _commands, mut events) = connection.open().await;
    let text = read_until(&mut engine, LAST_ID).await;
    assert!(!text.contains(TESTED_ID), "written for a client that has disconnected: {text}");
    assert_eq!(outcome(&mut events).await, (AttemptId(1), Outcome::NeverSent), "reported as possibly run");
}

#[tokio::test]
async fn attempt_past_its_write_deadline_is_never_written() {
    let connection = connection().await;
    let late = AttemptRequest { write_deadline: Instant::now(), ..attempt(1, TESTED_ID, 10) };
    connection.commands.try_send(start(&late)).unwrap();
    connection.commands.try_send(start(&attempt(2, LAST_ID, 10))).unwrap();
    let (mut engine, _commands, mut events) = connection.open().await;
    let text = read_until(&mut engine, LAST_ID).await;
    assert!(!text.contains(TESTED_ID), "written after its write deadline: {text}");
    assert_eq!(outcome(&mut events).await, (AttemptId(1), Outcome::NeverSent));
}

/// Waits for the next confirmed cancellation, and returns its attempt.
async fn confirmed_cancellation(events: &mut mpsc::Receiver<BrokerEvent>) -> AttemptId {
    loop {
        if let BrokerEvent::Attempt { id, event: AttemptEvent::CancelConfirmed } =
            events.recv().await.expect("the connection has ended")
        {
            return id;
        }
    }
}

#[tokio::test]
async fn cancel_is_confirmed_once_it_is_written_to_the_engine() {
    const LARGE: usize = 64 << 20;
    let connection = connection().await;
    connection.commands.try_send(start(&attempt(1, TESTED_ID, 10))).unwrap();
    connection.commands.try_send(start(&attempt(2, LAST_ID, LARGE))).unwrap();
    let (mut engine, commands, mut events) = connection.open().await;
    // The first attempt is completely written; the second is too large for the socket buffers.
    read_until(&mut engine, TESTED_ID).await;
    commands.try_send(ConnectionCommand::Cancel(AttemptId(1))).unwrap();
    let early = tokio::time::timeout_at(
        Instant::now() + Duration::from_millis(200),
        confirmed_cancellation(&mut events),
    )
    .await;
    assert!(early.is_err(), "confirmed while its KILL still waits behind the second attempt");
    read_until(&mut engine, "KILL").await;
    assert_eq!(confirmed_cancellation(&mut events).await, AttemptId(1));
}

#[tokio::test]
async fn cancel_is_confirmed_at_once_if_never_sent_or_the_connection_ends() {
    let connection = connection().await;
    connection.commands.try_send(start(&attempt(1, TESTED_ID, 10))).unwrap();
    connection.commands.try_send(ConnectionCommand::Cancel(AttemptId(1))).unwrap();
    connection.commands.try_send(start(&attempt(2, LAST_ID, 64 << 20))).unwrap();
    let (mut engine, commands, mut events) = connection.open().await;
    assert_eq!(confirmed_cancellation(&mut events).await, AttemptId(1));
    read_until(&mut engine, LAST_ID).await;
    commands.try_send(ConnectionCommand::Cancel(AttemptId(2))).unwrap();
    drop(engine);
    assert_eq!(confirmed_cancellation(&mut events).await, AttemptId(2));
}

#[tokio::test]
async fn partly_written_attempt_is_completed_and_then_killed() {
    const LARGE: usize = 64 << 20;
    let connection = connection().await;
    connection.commands.try_send(start(&attempt(1, TESTED_ID, LARGE))).unwrap();
    connection.commands.try_send(start(&attempt(2, "cccccccccccccccc", 10))).unwrap();
    let (mut engine, commands, _events) = connection.open().await;
    // Its first byte has arrived, and it is too large for the socket buffers.
    assert!(engine.read_u8().await.unwrap() == b'*');
    commands.try_send(ConnectionCommand::Cancel(AttemptId(1))).unwrap();
    commands.try_send(ConnectionCommand::Cancel(AttemptId(2))).unwrap();
    commands.try_send(start(&attempt(3, LAST_ID, 10))).unwrap();
    let text = read_until(&mut engine, LAST_ID).await;
    assert!(text.contains("KILL") && text.len() > LARGE, "{} bytes", text.len());
    assert!(
        !text.contains("cccccccccccccccc"),
        "the attempt queued behind it was written after its cancellation"
    );
}

#[tokio::test]
async fn attempt_on_a_connection_closed_by_its_engine_never_ran() {
    let connection = connection().await;
    let (engine, commands, mut events) = connection.open().await;
    let closed = engine.into_std().unwrap();
    // The task does not run between these lines, so it finds both the close and the command at once.
    drop(closed);
    commands.try_send(start(&attempt(1, TESTED_ID, 10))).unwrap();
    assert_eq!(outcome(&mut events).await, (AttemptId(1), Outcome::NeverSent));
}

#[tokio::test]
async fn complete_answer_is_read_under_a_stream_of_commands() {
    let connection = connection().await;
    connection.commands.try_send(start(&attempt(1, LAST_ID, 10))).unwrap();
    let (mut engine, commands, mut events) = connection.open().await;
    read_until(&mut engine, LAST_ID).await;
    let flood = commands.clone();
    let flood = tokio::spawn(async move {
        while flood.send(ConnectionCommand::SetPriority(AttemptId(1), 1)).await.is_ok() {
            tokio::task::yield_now().await;
        }
    });
    engine.set_nodelay(true).unwrap();
    let (mut reader, mut writer) = engine.into_split();
    tokio::spawn(async move {
        let mut discarded = BytesMut::new();
        while matches!(reader.read_buf(&mut discarded).await, Ok(n) if n > 0) {
            discarded.clear();
        }
    });
    let reply = format!("*4\r\n$16\r\n{LAST_ID}\r\n$3\r\n200\r\n$7\r\ntotal=1\r\n$6\r\na\tb\tc\n\r\n");
    writer.write_all(reply.as_bytes()).await.unwrap();
    assert_eq!(outcome(&mut events).await, (AttemptId(1), Outcome::Ok));
    flood.abort();
}

/// Sends one attempt, answers it with these kinds and fields, and returns how it ended.
async fn outcome_of_replies(replies: &[(&str, &str)]) -> Outcome {
    let connection = connection().await;
    connection.commands.try_send(start(&attempt(1, TESTED_ID, 10))).unwrap();
    let (mut engine, _commands, mut events) = connection.open().await;
    read_until(&mut engine, TESTED_ID).await;
    for (kind, fields) in replies {
        let mut reply = BytesMut::new();
        super::wire::put_array(&mut reply, &[TESTED_ID.as_bytes(), kind.as_bytes(), fields.as_bytes(), b""]);
        engine.write_all(&reply).await.unwrap();
    }
    outcome(&mut events).await.1
}

/// Guards against a second run of a query: an engine that had begun or finished it sent 503 or 504 afterwards, which
/// counted as proof that nothing had run.
#[tokio::test]
async fn refusal_after_a_sign_of_the_run_does_not_prove_that_nothing_ran() {
    for refusal in ["503", "504"] {
        for (kind, fields) in
            [("200", "total=2"), ("status", "why=pct,datum=0.4"), ("status", "why=overflow,datum=12")]
        {
            let outcome = outcome_of_replies(&[(kind, fields), (refusal, "-")]).await;
            assert_eq!(outcome, Outcome::Error, "{kind} {fields}, then {refusal}");
        }
    }
    // A query that waits for memory or for a load has not begun.
    assert_eq!(
        outcome_of_replies(&[("status", "why=queued,datum=1"), ("503", "-")]).await,
        Outcome::Rejected
    );
    assert_eq!(outcome_of_replies(&[("504", "-")]).await, Outcome::NeverSent);
}
