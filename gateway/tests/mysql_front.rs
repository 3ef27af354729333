//! MySQL clients and RESP engines: answers, cancellation, malformed answers, deadlines and session slots.

mod support;

use reedwalk_gateway::operator::OperatorConfig;
use reedwalk_gateway::serve::Running;
use std::time::{Duration, Instant};
use support::mysql::{Client, expected_rows, fields, login_packet, query_packet};
use support::{
    ANY_PORT, ListedEngines, Outcome, TestBed, config, gateway, resp, resp_engines, until, unused_address,
    with_engines,
};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

#[tokio::test]
async fn rows_are_complete_unchanged_and_ordered() {
    let test_bed = TestBed::default();
    let gateway = with_engines(&test_bed).await;
    let mut client = Client::connect(gateway.mysql).await;
    for n in 0..3 {
        let rows = client.query(&fields("lookup", 3000, None, &format!("SELECT {n}"))).await.unwrap();
        assert_eq!(rows, expected_rows());
    }
}

#[tokio::test]
async fn login_and_query_are_accepted_in_any_fragments() {
    let test_bed = TestBed::default();
    let gateway = with_engines(&test_bed).await;
    let mut stream = TcpStream::connect(gateway.mysql).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let bytes = [login_packet(), query_packet(&fields("lookup", 3000, None, "SELECT 1"))].concat();
    for fragment in bytes.chunks(7) {
        stream.write_all(fragment).await.unwrap();
        tokio::task::yield_now().await;
    }
    let mut client = Client { stream, id: 0 };
    assert_eq!(client.read().await.unwrap()[0], 10);
    assert_eq!(client.read().await.unwrap()[0], 0);
    assert_eq!(client.answer().await.unwrap(), expected_rows());
}

#[tokio::test]
async fn bad_fields_are_rejected_and_bad_framing_closes_the_connection() {
    let test_bed = TestBed::default();
    let gateway = with_engines(&test_bed).await;
    let mut client = Client::connect(gateway.mysql).await;
    for invalid in ["SELECT 1", "/* route=nothing,trace=9b1f03aa5c7e2d41,patience=9 */ SELECT 1"] {
        assert_eq!(client.outcome(invalid).await, Outcome::BadInput);
    }
    // This class requires an idempotency key: without one, a retry could take effect a second time.
    assert_eq!(client.outcome(&fields("batch-post", 900, None, "INSERT")).await, Outcome::BadInput);
    assert_eq!(client.outcome(&fields("lookup", 3000, None, "SELECT 1")).await, Outcome::Served);
    client.stream.write_all(&[1, 0, 0, 9, 3]).await.unwrap();
    assert_eq!(client.read().await.unwrap()[0], 0xff);
    assert!(client.read().await.is_none());
}

#[tokio::test]
async fn killed_query_and_closed_connection_are_cancelled_at_the_engine() {
    let test_bed = TestBed::default();
    let gateway = with_engines(&test_bed).await;
    let mut client = Client::connect(gateway.mysql).await;
    client.stream.write_all(&query_packet(&fields("statement", 9000, None, "HANG 1"))).await.unwrap();
    until("the attempt is in flight", || test_bed.attempts("HANG 1") == 1).await;
    let mut other = Client::connect(gateway.mysql).await;
    other.query(&format!("KILL QUERY {}", client.id)).await.unwrap();
    assert_eq!(client.answer().await.unwrap_err().0, 1317);
    until("the attempt is cancelled at the engine", || test_bed.was_cancelled("HANG 1")).await;
    // The session stays open, and a KILL QUERY while no query runs has no effect on the next one.
    other.query(&format!("KILL QUERY {}", client.id)).await.unwrap();
    assert_eq!(client.outcome(&fields("lookup", 3000, None, "SELECT 1")).await, Outcome::Served);
    client.stream.write_all(&query_packet(&fields("statement", 9000, None, "HANG 2"))).await.unwrap();
    until("the attempt is in flight", || test_bed.attempts("HANG 2") == 1).await;
    drop(client);
    until("the attempt is cancelled at the engine", || test_bed.was_cancelled("HANG 2")).await;
}

#[tokio::test]
async fn query_of_a_lost_engine_is_retried_elsewhere() {
    let test_bed = TestBed::default();
    let gateway = with_engines(&test_bed).await;
    let mut client = Client::connect(gateway.mysql).await;
    assert_eq!(client.query(&fields("statement", 9000, None, "CUT 1")).await.unwrap(), expected_rows());
    assert_eq!(test_bed.attempts("CUT 1"), 2);
}

#[tokio::test]
async fn malformed_answers_are_retried_elsewhere_and_results_are_complete() {
    let test_bed = TestBed::default();
    let gateway = with_engines(&test_bed).await;
    let mut client = Client::connect(gateway.mysql).await;
    for (statement, attempts) in [
        ("NOISE 1", 2),
        ("HUGE 1", 2),
        ("ENDLESS 1", 2),
        ("UNTOLD 1", 2),
        ("BEYOND 1", 2),
        ("CHUNK 1", 2),
        ("HALF 1", 2),
        ("COPY 1", 1),
        ("COPY 2", 1),
    ] {
        let started = Instant::now();
        assert_eq!(client.query(&fields("statement", 9000, None, statement)).await.unwrap(), expected_rows());
        assert_eq!(test_bed.attempts(statement), attempts, "{statement}");
        // Detected from the answer itself, long before the timeout for missing progress reports.
        assert!(started.elapsed() < Duration::from_millis(1200), "{statement}: {:?}", started.elapsed());
    }
    // A request that may have run is retried only if it is idempotent.
    assert_eq!(client.outcome(&fields("adjust", 2500, None, "NOISE 2")).await, Outcome::Failed("ENGINE"));
    assert_eq!(test_bed.attempts("NOISE 2"), 1);
}

#[tokio::test]
async fn malformed_answer_fails_nothing_else_on_its_connection() {
    let test_bed = TestBed::default();
    let engines = [resp::start_engine("a", test_bed.clone()).await];
    let gateway = gateway(config(&engines), OperatorConfig::default()).await;
    let mut other = Client::connect(gateway.mysql).await;
    let mut client = Client::connect(gateway.mysql).await;
    // Both requests share one engine connection, which the malformed answer to the second one closes.
    other.send_query(&fields("lookup", 3000, None, "LATER 1")).await;
    until("the attempt is in flight", || test_bed.attempts("LATER 1") == 1).await;
    assert_eq!(client.query(&fields("lookup", 3000, None, "NOISE 1")).await.unwrap(), expected_rows());
    assert_eq!(other.answer().await.unwrap(), expected_rows());
    assert_eq!(test_bed.attempts("LATER 1"), 2);
}

#[tokio::test]
async fn late_duplicate_error_does_not_end_the_next_attempt() {
    let test_bed = TestBed::default();
    let engines = [resp::start_engine("a", test_bed.clone()).await];
    let gateway = gateway(config(&engines), OperatorConfig::default()).await;
    let mut client = Client::connect(gateway.mysql).await;
    assert_eq!(client.query(&fields("lookup", 3000, None, "TWICE 1")).await.unwrap(), expected_rows());
    assert_eq!(test_bed.attempts("TWICE 1"), 2);
}

#[tokio::test]
async fn request_past_its_deadline_is_answered_inside_the_slack() {
    let test_bed = TestBed::default();
    let gateway = with_engines(&test_bed).await;
    let mut client = Client::connect(gateway.mysql).await;
    let started = Instant::now();
    assert_eq!(client.outcome(&fields("adjust", 300, None, "HANG 1")).await, Outcome::Failed("DEADLINE"));
    let elapsed = started.elapsed();
    assert!(elapsed >= Duration::from_millis(290) && elapsed < Duration::from_millis(900), "{elapsed:?}");
    until("the attempt is cancelled at the engine", || test_bed.was_cancelled("HANG 1")).await;
}

#[tokio::test]
async fn refused_connection_is_retried_elsewhere() {
    // A request that is not idempotent is retried only if the first attempt certainly did not run.
    let test_bed = TestBed::default();
    let engines = [unused_address().await, resp::start_engine("b", test_bed.clone()).await];
    let gateway = gateway(config(&engines), OperatorConfig::default()).await;
    let mut client = Client::connect(gateway.mysql).await;
    for n in 0..4 {
        assert_eq!(
            client.outcome(&fields("adjust", 700, None, &format!("SELECT {n}"))).await,
            Outcome::Served
        );
    }
}

#[tokio::test]
async fn draining_engine_gets_no_new_requests() {
    let test_bed = TestBed::default();
    let engines = ListedEngines::start(resp_engines(&test_bed).await).await;
    let gateway = gateway(engines.config.clone(), OperatorConfig::default()).await;
    let mut client = Client::connect(gateway.mysql).await;
    for n in 0..4 {
        client.outcome(&fields("lookup", 3000, None, &format!("SELECT {n}"))).await;
    }
    assert!(test_bed.attempts_at("a") > 0 && test_bed.attempts_at("b") > 0);
    engines.drain(0);
    engines.wait_until_read().await;
    let sent = test_bed.attempts_at("a");
    for n in 10..20 {
        assert_eq!(
            client.outcome(&fields("lookup", 3000, None, &format!("SELECT {n}"))).await,
            Outcome::Served
        );
    }
    assert_eq!(test_bed.attempts_at("a"), sent);
}

#[tokio::test]
async fn shutdown_finishes_accepted_requests() {
    let test_bed = TestBed::default();
    let gateway = with_engines(&test_bed).await;
    let mut client = Client::connect(gateway.mysql).await;
    let mut idle = Client::connect(gateway.mysql).await;
    client.stream.write_all(&query_packet(&fields("adjust", 500, None, "HANG 1"))).await.unwrap();
    until("the attempt is in flight", || test_bed.attempts("HANG 1") == 1).await;
    let closed = tokio::spawn(gateway.close(tokio::time::Instant::now()));
    assert_eq!(client.answer().await.unwrap_err().0, 3024);
    assert!(idle.read().await.is_none());
    closed.await.unwrap();
}

#[tokio::test]
async fn unresponsive_engine_delays_no_other() {
    // This engine accepts connections and reads nothing.
    let silent = TcpListener::bind(ANY_PORT).await.unwrap();
    let test_bed = TestBed::default();
    let engines = [silent.local_addr().unwrap(), resp::start_engine("b", test_bed.clone()).await];
    let gateway = gateway(config(&engines), OperatorConfig::default()).await;
    let mut stuck = Client::connect(gateway.mysql).await;
    let mut client = Client::connect(gateway.mysql).await;
    // Each engine gets one of the two requests; the client whose request is served continues without delay.
    stuck.send_query(&fields("statement", 9000, None, "SELECT 0")).await;
    client.send_query(&fields("statement", 9000, None, "SELECT 1")).await;
    let mut served = tokio::select! {
        answer = stuck.answer() => { answer.unwrap(); stuck }
        answer = client.answer() => { answer.unwrap(); client }
    };
    let started = Instant::now();
    for n in 2..12 {
        assert_eq!(
            served.query(&fields("lookup", 9000, None, &format!("SELECT {n}"))).await.unwrap(),
            expected_rows()
        );
    }
    assert!(started.elapsed() < Duration::from_secs(3), "{:?}", started.elapsed());
    assert!(silent.accept().await.is_ok(), "the silent engine got no attempt");
}

/// A gateway with one engine and a limit on file descriptors, from which its number of session slots follows.
async fn with_socket_limit(sockets: usize) -> Running {
    let mut config = config(&[resp::start_engine("a", TestBed::default()).await]);
    config.limits.sockets = sockets;
    gateway(config, OperatorConfig::default()).await
}

/// Opens connections until the first packet on one begins with this byte; returns that packet.
async fn first_packet(gateway: &Running, wanted: u8) -> Vec<u8> {
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        let mut client = Client { stream: TcpStream::connect(gateway.mysql).await.unwrap(), id: 0 };
        let packet = client.read().await.unwrap_or(vec![0]);
        if packet[0] == wanted {
            return packet;
        }
        assert!(Instant::now() < deadline, "no first packet begins with {wanted}");
    }
}

#[tokio::test]
async fn sessions_beyond_the_limit_are_rejected_with_retry_after() {
    let gateway = with_socket_limit(10).await;
    let mut open = Vec::new();
    for n in 0..6 {
        let mut client = Client::connect(gateway.mysql).await;
        client.send_query(&fields("statement", 9000, None, &format!("HANG {n}"))).await;
        open.push(client);
    }
    let error = first_packet(&gateway, 0xff).await;
    assert_eq!(u16::from_le_bytes([error[1], error[2]]), 1040);
    assert!(String::from_utf8_lossy(&error).contains("pause="));
    // A closed session frees its slot, and a new connection gets a greeting.
    drop(open.pop());
    first_packet(&gateway, 10).await;
}

#[tokio::test]
async fn idle_and_silent_clients_take_no_slot_from_active_ones() {
    let gateway = with_socket_limit(40).await;
    let mut active = Client::connect(gateway.mysql).await;
    let (mut idle, mut silent) = (Vec::new(), Vec::new());
    for n in 0..100 {
        let mut client = Client::connect(gateway.mysql).await;
        assert_eq!(
            client.outcome(&fields("lookup", 3000, None, &format!("SELECT {n}"))).await,
            Outcome::Served
        );
        idle.push(client);
        silent.push(TcpStream::connect(gateway.mysql).await.unwrap());
        // Logs in, then sends nothing or an incomplete packet.
        let mut incomplete = TcpStream::connect(gateway.mysql).await.unwrap();
        incomplete.write_all(&[login_packet(), vec![9, 0, 0, 0, 3]][..1 + n % 2].concat()).await.unwrap();
        silent.push(incomplete);
        assert_eq!(active.outcome(&fields("lookup", 3000, None, &format!("U {n}"))).await, Outcome::Served);
    }
}

#[tokio::test]
async fn each_session_stage_has_a_timeout() {
    let gateway = with_socket_limit(1024).await;
    let started = Instant::now();
    let incomplete: [&[&[u8]]; 4] =
        [&[], &[&login_packet()[..20]], &[&login_packet(), &[9, 0, 0, 0, 3]], &[&[0, 255, 0, 1]]];
    for bytes in incomplete {
        let mut client = Client { stream: TcpStream::connect(gateway.mysql).await.unwrap(), id: 0 };
        client.stream.write_all(&bytes.concat()).await.unwrap();
        // Reads greeting, OK or error packets until the connection is closed.
        while client.read().await.is_some() {}
    }
    let elapsed = started.elapsed();
    // Three of the connections last until their timeout of 2.5 s; without a timeout the test would not end.
    assert!(elapsed > Duration::from_secs(5) && elapsed < Duration::from_secs(20), "{elapsed:?}");
}

#[tokio::test]
async fn trace_id_of_an_open_request_is_rejected() {
    let test_bed = TestBed::default();
    let gateway = with_engines(&test_bed).await;
    let mut client = Client::connect(gateway.mysql).await;
    let query = fields("statement", 1500, None, "HANG 1");
    client.send_query(&query).await;
    until("the attempt is in flight", || test_bed.attempts("HANG 1") == 1).await;
    let mut other = Client::connect(gateway.mysql).await;
    assert_eq!(other.query(&query.replace("HANG 1", "SELECT 2")).await.unwrap_err().0, 1062);
    assert_eq!(test_bed.attempts("SELECT 2"), 0);
    client.answer().await.unwrap_err();
    assert_eq!(other.outcome(&query.replace("HANG 1", "SELECT 3")).await, Outcome::Served);
}
