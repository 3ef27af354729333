//! One connection: what is written on it, and what never is.

use super::connection::{Command, ConnectionTask};
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

/// The first of them must not arrive, the second is the sign that all before it was written.
const STOPPED: &str = "aaaaaaaaaaaaaaaa";
const WANTED: &str = "bbbbbbbbbbbbbbbb";

fn attempt(key: u64, trace: &'static str, size: usize) -> AttemptRequest {
    let by = Instant::now() + Duration::from_secs(60);
    AttemptRequest {
        id: AttemptId(key),
        engine: EngineId(0),
        trace_id: Bytes::from_static(trace.as_bytes()),
        class: ClassId(0),
        deadline: by,
        write_deadline: by,
        cancelled: CancellationToken::new(),
        idempotency_key: None,
        memory_mb: None,
        priority: 1,
        is_update: false,
        statement: Bytes::from(vec![b'x'; size]),
    }
}

fn start(attempt: &AttemptRequest) -> Command {
    Command::Start(Box::new(attempt.clone()), DrainGuard::default())
}

struct Link {
    listener: TcpListener,
    commands: mpsc::Sender<Command>,
    events: mpsc::Receiver<BrokerEvent>,
    task: ConnectionTask,
}

async fn link() -> Link {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (commands, orders) = mpsc::channel(512);
    let (queue, events) = mpsc::channel(512);
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
        queue,
        Arc::new(Metrics::default()),
        orders,
    );
    Link { listener, commands, events, task }
}

impl Link {
    /// Lets the task connect, now that its commands have been given.
    async fn up(self) -> (TcpStream, mpsc::Sender<Command>, mpsc::Receiver<BrokerEvent>) {
        tokio::spawn(self.task.run(Instant::now() + Duration::from_secs(5)));
        (self.listener.accept().await.unwrap().0, self.commands, self.events)
    }
}

/// Reads at the engine until this id has come.
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
        if let BrokerEvent::Attempt { id: key, event: AttemptEvent::Ended(end) } =
            events.recv().await.expect("the connection has ended")
        {
            return (key, end.outcome);
        }
    }
}

#[tokio::test]
async fn attempt_cancelled_while_connecting_is_never_written() {
    let link = link().await;
    link.commands.try_send(start(&attempt(1, STOPPED, 10))).unwrap();
    link.commands.try_send(Command::SetPriority(AttemptId(1), 2)).unwrap();
    link.commands.try_send(Command::Cancel(AttemptId(1))).unwrap();
    link.commands.try_send(start(&attempt(2, WANTED, 10))).unwrap();
    let (mut engine, _commands, _news) = link.up().await;
    let text = read_until(&mut engine, WANTED).await;
    assert!(!text.contains(STOPPED), "written after its end: {text}");
}

#[tokio::test]
async fn attempt_cancelled_after_it_was_written_is_killed() {
    let link = link().await;
    link.commands.try_send(start(&attempt(1, STOPPED, 10))).unwrap();
    let (mut engine, commands, _news) = link.up().await;
    read_until(&mut engine, STOPPED).await;
    commands.try_send(Command::Cancel(AttemptId(1))).unwrap();
    let text = read_until(&mut engine, STOPPED).await;
    assert!(text.contains("KILL"), "{text}");
}

#[tokio::test]
async fn attempt_of_disconnected_client_is_never_written() {
    let link = link().await;
    let left = attempt(1, STOPPED, 10);
    link.commands.try_send(start(&left)).unwrap();
    link.commands.try_send(start(&attempt(2, WANTED, 10))).unwrap();
    left.cancelled.cancel();
    let (mut engine, _commands, mut events) = link.up().await;
    let text = read_until(&mut engine, WANTED).await;
    assert!(!text.contains(STOPPED), "written for a client that has left: {text}");
    assert_eq!(outcome(&mut events).await, (AttemptId(1), Outcome::NeverSent), "it surely never ran");
}

#[tokio::test]
async fn attempt_past_its_write_deadline_is_never_written() {
    let link = link().await;
    let late = AttemptRequest { write_deadline: Instant::now(), ..attempt(1, STOPPED, 10) };
    link.commands.try_send(start(&late)).unwrap();
    link.commands.try_send(start(&attempt(2, WANTED, 10))).unwrap();
    let (mut engine, _commands, mut events) = link.up().await;
    let text = read_until(&mut engine, WANTED).await;
    assert!(!text.contains(STOPPED), "written after its window: {text}");
    assert_eq!(outcome(&mut events).await, (AttemptId(1), Outcome::NeverSent));
}

/// The attempt of the next confirmed cancellation.
async fn confirmed_cancellation(events: &mut mpsc::Receiver<BrokerEvent>) -> AttemptId {
    loop {
        if let BrokerEvent::Attempt { id: key, event: AttemptEvent::CancelConfirmed } =
            events.recv().await.expect("the connection has ended")
        {
            return key;
        }
    }
}

#[tokio::test]
async fn cancel_is_confirmed_once_it_is_written_to_the_engine() {
    const LARGE: usize = 64 << 20;
    let link = link().await;
    link.commands.try_send(start(&attempt(1, STOPPED, 10))).unwrap();
    link.commands.try_send(start(&attempt(2, WANTED, LARGE))).unwrap();
    let (mut engine, commands, mut events) = link.up().await;
    // The first is whole on the wire; of the second, behind it, no socket holds all.
    read_until(&mut engine, STOPPED).await;
    commands.try_send(Command::Cancel(AttemptId(1))).unwrap();
    let quiet = tokio::time::timeout_at(
        Instant::now() + Duration::from_millis(200),
        confirmed_cancellation(&mut events),
    )
    .await;
    assert!(quiet.is_err(), "its KILL still waits for room");
    read_until(&mut engine, "KILL").await;
    assert_eq!(confirmed_cancellation(&mut events).await, AttemptId(1));
}

#[tokio::test]
async fn cancel_is_confirmed_at_once_if_never_sent_or_the_connection_ends() {
    let link = link().await;
    link.commands.try_send(start(&attempt(1, STOPPED, 10))).unwrap();
    link.commands.try_send(Command::Cancel(AttemptId(1))).unwrap();
    link.commands.try_send(start(&attempt(2, WANTED, 64 << 20))).unwrap();
    let (mut engine, commands, mut events) = link.up().await;
    assert_eq!(confirmed_cancellation(&mut events).await, AttemptId(1));
    read_until(&mut engine, WANTED).await;
    commands.try_send(Command::Cancel(AttemptId(2))).unwrap();
    drop(engine);
    assert_eq!(confirmed_cancellation(&mut events).await, AttemptId(2));
}

#[tokio::test]
async fn partly_written_attempt_is_completed_and_then_killed() {
    const LARGE: usize = 64 << 20;
    let link = link().await;
    link.commands.try_send(start(&attempt(1, STOPPED, LARGE))).unwrap();
    link.commands.try_send(start(&attempt(2, "cccccccccccccccc", 10))).unwrap();
    let (mut engine, commands, _news) = link.up().await;
    // Its first bytes are here, and no socket holds all of it.
    assert!(engine.read_u8().await.unwrap() == b'*');
    commands.try_send(Command::Cancel(AttemptId(1))).unwrap();
    commands.try_send(Command::Cancel(AttemptId(2))).unwrap();
    commands.try_send(start(&attempt(3, WANTED, 10))).unwrap();
    let text = read_until(&mut engine, WANTED).await;
    assert!(text.contains("KILL") && text.len() > LARGE, "{} bytes", text.len());
    assert!(!text.contains("cccccccccccccccc"), "what stood behind it had not begun");
}

#[tokio::test]
async fn attempt_on_a_connection_closed_by_its_engine_never_ran() {
    let link = link().await;
    let (engine, commands, mut events) = link.up().await;
    let closed = engine.into_std().unwrap();
    // Both lie there when the task next runs: it has no turn between these lines.
    drop(closed);
    commands.try_send(start(&attempt(1, STOPPED, 10))).unwrap();
    assert_eq!(outcome(&mut events).await, (AttemptId(1), Outcome::NeverSent));
}

#[tokio::test]
async fn complete_answer_is_read_under_a_stream_of_commands() {
    let link = link().await;
    link.commands.try_send(start(&attempt(1, WANTED, 10))).unwrap();
    let (mut engine, commands, mut events) = link.up().await;
    read_until(&mut engine, WANTED).await;
    let flood = commands.clone();
    let flood = tokio::spawn(async move {
        while flood.send(Command::SetPriority(AttemptId(1), 1)).await.is_ok() {
            tokio::task::yield_now().await;
        }
    });
    engine.set_nodelay(true).unwrap();
    let (mut reader, mut writer) = engine.into_split();
    tokio::spawn(async move {
        let mut sink = BytesMut::new();
        while matches!(reader.read_buf(&mut sink).await, Ok(n) if n > 0) {
            sink.clear();
        }
    });
    let answer = format!("*4\r\n$16\r\n{WANTED}\r\n$3\r\n200\r\n$7\r\ntotal=1\r\n$6\r\na\tb\tc\n\r\n");
    writer.write_all(answer.as_bytes()).await.unwrap();
    assert_eq!(outcome(&mut events).await, (AttemptId(1), Outcome::Ok));
    flood.abort();
}
