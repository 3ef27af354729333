//! A stalled core: it sends no attempt too late, is given no connections, and does not delay requests on other cores.

use crate::support::mysql::{Client, fields};
use crate::support::{
    ANY_PORT, Outcome, TestBed, both_protocols, config, config_with, discovery_server, draining,
    endpoint_list, flight, gateway, listed, resp, settings, until,
};
use crate::{
    DRAIN_GRACE, STALL_DURATION, SeparateCores, core_of_new_connection, long_objective_config,
    operator_with_cores, stall_core,
};
use reedwalk_gateway::config::Config;
use reedwalk_gateway::operator::{EngineProtocol, OperatorConfig};
use serde_json::json;
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

#[tokio::test]
async fn attempt_on_a_stalled_core_is_not_written_to_a_drained_engine() {
    let test_bed = TestBed::default();
    let (a, b) =
        (resp::start_engine("a", test_bed.clone()).await, resp::start_engine("b", test_bed.clone()).await);
    let list = endpoint_list(2, vec![listed("s-0", a)]);
    let (server, _) = discovery_server::start_server(list.clone()).await;
    let SeparateCores { running, mut client, engine_core, .. } =
        SeparateCores::start(&test_bed, server, a).await;
    stall_core(&running, engine_core, STALL_DURATION);
    let stalled_at = Instant::now();
    client.send_query(&fields("lookup", 6000, None, "SELECT 2")).await;
    // The attempt is queued at the stalled core before the engine drains.
    tokio::time::sleep(Duration::from_millis(100)).await;
    *list.lock().unwrap() = (3, vec![draining("s-0", a), listed("s-1", b)]);
    let drained_at = Instant::now();
    assert!(
        client.answer().await.is_ok(),
        "the attempt that reports no progress is retried on another engine"
    );
    assert_eq!((test_bed.attempts_at("a"), test_bed.attempts_at("b")), (1, 1));
    // Once the core sends heartbeats again, it has processed everything that was queued during the stall.
    until("the core has resumed", || {
        stalled_at.elapsed() > STALL_DURATION && running.multicore().accepts_connections(engine_core)
    })
    .await;
    assert!(drained_at.elapsed() > DRAIN_GRACE);
    assert_eq!(test_bed.attempts_at("a"), 1, "an attempt was sent after the drain grace");
}

#[tokio::test]
async fn attempt_never_reaches_a_new_engine_at_the_same_address() {
    let test_bed = TestBed::default();
    let a = resp::start_engine("a", test_bed.clone()).await;
    let list = endpoint_list(2, vec![listed("s-0", a)]);
    let (server, _) = discovery_server::start_server(list.clone()).await;
    let SeparateCores { running, mut client, engine_core, .. } =
        SeparateCores::start(&test_bed, server, a).await;
    assert_eq!(test_bed.connections("a"), 1);
    // Shorter than the progress timeout: the attempt is still wanted when the core resumes.
    stall_core(&running, engine_core, Duration::from_millis(800));
    client.send_query(&fields("lookup", 6000, None, "SELECT 2")).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    *list.lock().unwrap() = (3, vec![listed("s-9", a)]);
    assert!(client.answer().await.is_ok());
    assert_eq!(test_bed.attempts("SELECT 2"), 1);
    assert_eq!(
        test_bed.connections("a"),
        2,
        "the new engine was sent an attempt on the connection of the old one"
    );
}

#[tokio::test]
async fn attempt_behind_a_full_socket_is_not_written_to_a_drained_engine() {
    const QUERIES: usize = 30;
    // The concurrency limit of the engine admits all queries at once; the socket buffer holds only some of them.
    let mut settings = settings();
    settings["Specifics"]["SizeCores"] = json!([64]);
    let test_bed = TestBed::default();
    let b = resp::start_engine("b", test_bed.clone()).await;
    // The engine accepts connections and reads nothing yet.
    let listener = TcpListener::bind(ANY_PORT).await.unwrap();
    let a = listener.local_addr().unwrap();
    let list = endpoint_list(2, vec![listed("s-0", a)]);
    let (server, _) = discovery_server::start_server(list.clone()).await;
    let config = Config { name_server: Some(server), ..config_with(&[a], &settings) };
    let running = gateway(config, operator_with_cores(4)).await;
    let mut clients = Vec::new();
    for n in 0..QUERIES {
        let mut client = Client::connect(running.mysql).await;
        let statement = format!("SELECT {n} /* {} */", "x".repeat(250_000));
        client.send_query(&fields("lookup", 6000, None, &statement)).await;
        clients.push(client);
    }
    let (mut engine, _) = listener.accept().await.unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    *list.lock().unwrap() = (3, vec![draining("s-0", a), listed("s-1", b)]);
    let drained_at = Instant::now();
    for client in &mut clients {
        // Served by the other engine, or rejected.
        assert!(client.answer().await.is_ok_and(|rows| !rows.is_empty()) || test_bed.attempts_at("b") > 0);
    }
    until("the drain grace is over", || drained_at.elapsed() > DRAIN_GRACE).await;
    let bytes = read_available(&mut engine).await;
    let pulls = bytes.windows(10).filter(|w| w == b"$4\r\nPULL\r\n").count();
    let kills = bytes.windows(10).filter(|w| w == b"$4\r\nKILL\r\n").count();
    assert!((1..QUERIES).contains(&pulls), "{pulls} of {QUERIES} attempts were written");
    assert!(kills <= pulls, "{pulls} attempts written before the drain, {kills} cancelled");
}

/// Reads until no bytes arrive for 300 ms, or the stream ends.
async fn read_available(stream: &mut TcpStream) -> Vec<u8> {
    let pause = Duration::from_millis(300);
    let mut bytes = Vec::new();
    while let Ok(Ok(n)) = tokio::time::timeout(pause, stream.read_buf(&mut bytes)).await {
        if n == 0 {
            break;
        }
    }
    bytes
}

#[tokio::test]
async fn stalled_core_gets_no_connections_until_it_recovers() {
    let test_bed = TestBed::default();
    let running =
        gateway(config(&[resp::start_engine("a", test_bed.clone()).await]), operator_with_cores(4)).await;
    let cores = running.multicore();
    stall_core(&running, 1, STALL_DURATION);
    until("the stall is detected", || !cores.accepts_connections(1)).await;
    let started = Instant::now();
    let mut clients = Vec::new();
    for n in 0..6 {
        let mut client = Client::connect(running.mysql).await;
        let query = fields("lookup", 5000, None, &format!("SELECT {n}"));
        assert_eq!(client.outcome(&query).await, Outcome::Served);
        clients.push(client);
    }
    assert!(
        !cores.accepts_connections(1) && started.elapsed() < STALL_DURATION,
        "the stall ended before all requests were served"
    );
    assert_eq!(cores.connections_per_core()[1], 0);
    until("the core has resumed", || cores.accepts_connections(1)).await;
    let client = Client::connect(running.mysql).await;
    until("the core has a connection", || cores.connections_per_core()[1] == 1).await;
    drop((client, clients));
    until("its connections are closed", || cores.connections_per_core()[1] == 0).await;
}

#[tokio::test]
async fn requests_end_at_their_deadline_while_the_broker_core_is_stalled() {
    let test_bed = TestBed::default();
    let running =
        gateway(config(&[resp::start_engine("a", test_bed.clone()).await]), operator_with_cores(3)).await;
    let mut client = Client::connect(running.mysql).await;
    assert_eq!(client.outcome(&fields("lookup", 5000, None, "SELECT 1")).await, Outcome::Served);
    stall_core(&running, 0, STALL_DURATION);
    let started = Instant::now();
    assert_eq!(client.outcome(&fields("lookup", 1000, None, "SELECT 2")).await, Outcome::Failed("DEADLINE"));
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
    // The resumed broker drops the request that was abandoned during the stall, and schedules new ones.
    until("the broker has resumed", || {
        running.multicore().accepts_connections(0) && started.elapsed() > STALL_DURATION
    })
    .await;
    assert_eq!(client.outcome(&fields("lookup", 5000, None, "SELECT 3")).await, Outcome::Served);
    assert_eq!(test_bed.attempts("SELECT 2"), 0);
}

#[tokio::test]
async fn flight_calls_cross_cores_and_respect_the_drain_guard() {
    let test_bed = TestBed::default();
    let (a, b) = (
        flight::start_engine("a", test_bed.clone()).await,
        flight::start_engine("b", test_bed.clone()).await,
    );
    let list = endpoint_list(2, vec![listed("s-0", a)]);
    let (server, _) = discovery_server::start_server(list.clone()).await;
    let operator = OperatorConfig { cores: 4, ..both_protocols(EngineProtocol::FlightSql) };
    let running = gateway(long_objective_config(server, a), operator).await;
    let before = running.multicore().connections_per_core();
    let client = flight::Client::connect(running.flight.unwrap()).await.with_class("lookup", None);
    until("a core has the connection", || running.multicore().connections_per_core() != before).await;
    let session_core = core_of_new_connection(&running, &before);
    let before = running.multicore().connections_per_core();
    assert_eq!(client.query("SELECT 1").await.unwrap().len(), 600);
    let engine_core = core_of_new_connection(&running, &before);
    assert_ne!(session_core, engine_core);
    let info = client.info("SELECT 2").await.unwrap();
    stall_core(&running, engine_core, STALL_DURATION);
    let ticket = info.endpoint[0].ticket.clone().unwrap();
    let call = tokio::spawn(async move { client.get(ticket).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    *list.lock().unwrap() = (3, vec![draining("s-0", a), listed("s-1", b)]);
    assert!(
        call.await.unwrap().is_ok(),
        "the drain guard withdraws the attempt, and the other engine serves the request"
    );
    assert_eq!(
        (test_bed.attempts_at("a"), test_bed.attempts_at("b")),
        (1, 1),
        "an attempt was sent after the drain grace"
    );
}
