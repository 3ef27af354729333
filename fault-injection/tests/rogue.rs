//! Tests that each checker detects a gateway that breaks the rule it checks. Here a rogue gateway sends requests to the engines
//! or responses to the clients.

use bytes::BytesMut;
use reedwalk_fault_injection::Load;
use reedwalk_testkit::model::{RampShape, Shape};
use reedwalk_testkit::mysql::packet;
use reedwalk_testkit::request_log::{RequestLog, SlowStart};
use reedwalk_testkit::resp::{ModelledEngine, start_modelled_engine};
use reedwalk_testkit::wire::put_array;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const SECOND: Duration = Duration::from_secs(1);

/// A connection of a rogue gateway to an engine, on which a test sends arbitrary requests.
struct RogueConnection(TcpStream);

impl RogueConnection {
    async fn open(engine: &ModelledEngine) -> Self {
        Self(TcpStream::connect(engine.address).await.unwrap())
    }

    async fn send(&mut self, trace: &str, key: Option<&str>, work_ms: f64) {
        let fields = key.map_or("patience=4000".into(), |key| format!("patience=4000,dedupe={key}"));
        let statement = format!("SELECT a WHERE WORK {work_ms} THREADS 1 ");
        let mut command = BytesMut::new();
        put_array(&mut command, &[b"PULL", trace.as_bytes(), fields.as_bytes(), statement.as_bytes()]);
        self.0.write_all(&command).await.unwrap();
    }

    async fn read_response(&mut self) {
        let mut buffer = [0; 4096];
        assert!(self.0.read(&mut buffer).await.unwrap() > 0);
    }
}

async fn start_engines() -> (RequestLog, [ModelledEngine; 2]) {
    let request_log = RequestLog::default();
    let shape = || Some(Shape { cores: 8.0, ..Shape::default() });
    let first = start_modelled_engine("s-0", shape(), request_log.clone()).await;
    let second = start_modelled_engine("s-1", shape(), request_log.clone()).await;
    (request_log, [first, second])
}

#[tokio::test]
async fn sends_after_drain_and_excess_attempts_are_detected() {
    let (request_log, [engine, other_engine]) = start_engines().await;
    let mut connection = RogueConnection::open(&engine).await;
    let mut other_connection = RogueConnection::open(&other_engine).await;
    let drained_at = Instant::now();
    for _ in 0..3 {
        connection.send("r1", None, 0.1).await;
        connection.read_response().await;
    }
    assert_eq!(request_log.max_attempts(), 3, "the maximum number of attempts");
    other_connection.send("r1", None, 0.1).await;
    other_connection.read_response().await;
    assert_eq!(request_log.max_attempts(), 4);
    assert_eq!(request_log.attempts_after_drain("s-0", drained_at, Duration::ZERO), 3);
    assert_eq!(request_log.attempts_after_drain("s-0", Instant::now(), Duration::ZERO), 0);
}

#[tokio::test]
async fn duplicate_and_expired_keys_are_detected() {
    let (request_log, [engine, other_engine]) = start_engines().await;
    let mut connection = RogueConnection::open(&engine).await;
    let mut other_connection = RogueConnection::open(&other_engine).await;
    connection.send("r1", Some("k"), 0.1).await;
    connection.read_response().await;
    connection.send("r1", Some("k"), 200.0).await;
    other_connection.send("r2", Some("k"), 0.1).await;
    other_connection.read_response().await;
    connection.read_response().await;
    assert_eq!(request_log.max_in_flight_per_key(), 2);
    assert_eq!(request_log.attempts_after_window(12 * SECOND), 0);
    assert_eq!(request_log.attempts_after_window(Duration::ZERO), 2, "both repeats");
}

#[tokio::test]
async fn slow_start_overload_is_detected() {
    let (request_log, at) = (RequestLog::default(), Instant::now());
    let shape = Shape {
        cores: 1.0,
        slow_start: Some(RampShape { initial_share: 0.33, ramp_s: 15.0 }),
        ..Shape::default()
    };
    let engine = start_modelled_engine("s-0", Some(shape), request_log.clone()).await;
    let mut connection = RogueConnection::open(&engine).await;
    let (engine, initial_share, ramp) = ("s-0".into(), 0.33, 15 * SECOND);
    let start =
        SlowStart { engine, started_at: at, cores: 1.0, initial_share, ramp, window: SECOND, multiple: 2.5 };
    for trace in ["r1", "r2", "r3"] {
        connection.send(trace, None, 400.0).await;
    }
    connection.read_response().await;
    assert_eq!(request_log.slow_start_overruns(&start), 1);
    assert!(request_log.slow_start_peak(&start) > 1.0);
}

/// Starts a gateway that sends this many responses to each query.
async fn start_gateway(responses_per_query: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let ok = packet(1, &[0, 0, 0, 2, 0, 0, 0]);
                let mut buffer = [0; 4096];
                stream.write_all(&packet(0, b"\x0arogue")).await.ok()?;
                // The login and the ping may arrive in one read.
                let mut packets = 0;
                while packets < 2 {
                    let size = stream.read(&mut buffer).await.ok().filter(|n| *n > 0)?;
                    let mut rest = &buffer[..size];
                    while rest.len() >= 4 {
                        let length = 4 + u32::from_le_bytes([rest[0], rest[1], rest[2], 0]) as usize;
                        rest = rest.get(length..)?;
                        packets += 1;
                        stream.write_all(&ok).await.ok()?;
                    }
                }
                while stream.read(&mut buffer).await.is_ok_and(|n| n > 0) {
                    stream.write_all(&ok.repeat(responses_per_query)).await.ok()?;
                }
                Some(())
            });
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn duplicate_responses_are_detected() {
    for (responses_per_query, is_detected) in [(1, false), (2, true)] {
        let address = start_gateway(responses_per_query).await;
        let load = Load::lookups(1, 100.0, 1.0, 7).start(&[address], &tokio::runtime::Handle::current());
        tokio::time::sleep(SECOND / 2).await;
        let ended = tokio::task::spawn_blocking(move || {
            load.end();
            load
        });
        assert_eq!(
            ended.await.unwrap().unsolicited_responses() > 0,
            is_detected,
            "{responses_per_query} responses"
        );
    }
}
