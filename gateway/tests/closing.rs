//! Closing client connections: an answer in flight is delivered, and input received after the close is never processed.

mod support;

use futures::future::join_all;
use reedwalk_gateway::operator::{EngineProtocol, OperatorConfig};
use reedwalk_gateway::serve::Running;
use std::net::SocketAddr;
use std::time::Duration;
use support::mysql::{Client, fields, login_packet, login_packet_for, packet, query_packet};
use support::{Outcome, TestBed, both_protocols, config, flight, gateway, resp, until, with_engines};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

/// More bytes than a session reads at a time or reads ahead.
const EXCESS_BYTES: usize = 100_000;

/// Reads until the peer closes the connection; a reset fails the test.
async fn read_to_close(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let deadline = Instant::now() + Duration::from_secs(10);
    timeout_at(deadline, stream.read_to_end(&mut bytes))
        .await
        .expect("the connection was not closed")
        .expect("the connection was reset");
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends the parts in one write on a new connection and reads until the gateway closes it.
async fn exchange(gateway: &Running, parts: &[&[u8]]) -> String {
    let mut stream = TcpStream::connect(gateway.mysql).await.unwrap();
    stream.write_all(&parts.concat()).await.unwrap();
    read_to_close(&mut stream).await
}

#[tokio::test]
async fn last_answer_arrives_despite_unread_input() {
    let test_bed = TestBed::default();
    let gateway = with_engines(&test_bed).await;
    let (unread, quit) = (vec![0; EXCESS_BYTES], packet(0, &[1]));
    let denied = exchange(&gateway, &[&login_packet_for("nobody"), &unread]).await;
    assert!(denied.contains("access denied"), "{denied:?}");
    let malformed = exchange(&gateway, &[&login_packet(), &[1, 0, 0, 9, 3], &unread]).await;
    assert!(malformed.contains("08S01"), "{malformed:?}");
    let after_quit = exchange(&gateway, &[&login_packet(), &packet(0, &[14]), &quit, &unread]).await;
    // The OK packets of the login and of the ping.
    assert_eq!(after_quit.matches("\u{7}\0\0").count(), 2, "{after_quit:?}");
}

#[tokio::test]
async fn rejected_client_reads_the_reason_despite_unread_input() {
    let test_bed = TestBed::default();
    let engines = [resp::start_engine("a", test_bed.clone()).await];
    let mut config = config(&engines);
    // Enough for six sessions and for one connection that is being rejected.
    config.limits.sockets = 10;
    let gateway = gateway(config, OperatorConfig::default()).await;
    let mut busy = Vec::new();
    for n in 0..6 {
        let mut client = Client::connect(gateway.mysql).await;
        client.send_query(&fields("statement", 9000, None, &format!("HANG {n}"))).await;
        busy.push(client);
    }
    let (deadline, mut rejected) = (Instant::now() + Duration::from_secs(10), 0);
    while rejected < 3 {
        // While a slot is free the session is accepted, and ends because its input is malformed.
        let answer = exchange(&gateway, &[&login_packet(), &vec![0; EXCESS_BYTES]]).await;
        rejected += usize::from(answer.contains("too many connections, pause="));
        assert!(Instant::now() < deadline, "{answer:?}");
    }
}

#[tokio::test]
async fn request_crossing_a_close_is_not_forwarded_and_not_reset() {
    let test_bed = TestBed::default();
    let gateway = with_engines(&test_bed).await;
    let mut idle = Client::connect(gateway.mysql).await;
    assert_eq!(idle.outcome(&fields("lookup", 3000, None, "SELECT 1")).await, Outcome::Served);
    let closing = tokio::spawn(gateway.close(Instant::now()));
    // The client writes after it has read the gateway's close; the request gets no answer.
    assert!(idle.read().await.is_none());
    idle.stream.write_all(&query_packet(&fields("lookup", 3000, None, "SELECT 2"))).await.unwrap();
    assert_eq!(read_to_close(&mut idle.stream).await, "");
    drop(idle);
    closing.await.unwrap();
    assert_eq!(test_bed.attempts("SELECT 2"), 0, "a request received after the close was forwarded");
}

#[tokio::test]
async fn request_received_before_a_close_is_served() {
    let test_bed = TestBed::default();
    let gateway = with_engines(&test_bed).await;
    let mut idle = Client::connect(gateway.mysql).await;
    assert_eq!(idle.outcome(&fields("lookup", 3000, None, "SELECT 1")).await, Outcome::Served);
    // Nothing is awaited between these lines, so the session finds the request and the close at the same time.
    let request = query_packet(&fields("lookup", 3000, None, "SELECT 2"));
    assert_eq!(idle.stream.try_write(&request).unwrap(), request.len());
    let closing = tokio::spawn(gateway.close(Instant::now()));
    assert_eq!(idle.answer().await.unwrap().len(), 600);
    assert!(idle.read().await.is_none());
    closing.await.unwrap();
}

#[tokio::test]
async fn client_that_exceeds_the_read_ahead_has_its_query_cancelled() {
    let test_bed = TestBed::default();
    let gateway = with_engines(&test_bed).await;
    let mut client = Client::connect(gateway.mysql).await;
    client.send_query(&fields("statement", 9000, None, "HANG 1")).await;
    until("the attempt is in flight", || test_bed.attempts("HANG 1") == 1).await;
    let _ = client.stream.write_all(&vec![7; EXCESS_BYTES]).await;
    // The client gets one error, and the connection is closed.
    assert_eq!(client.answer().await.unwrap_err().0, 1156);
    assert!(client.read().await.is_none());
    until("the attempt is cancelled at the engine", || test_bed.was_cancelled("HANG 1")).await;
}

#[tokio::test]
async fn kill_query_in_the_other_process_cancels_nothing() {
    // Two processes serve one address, and each assigns its own session ids: with equal ids the query of another client
    // would be cancelled.
    let test_bed = TestBed::default();
    let (first_process, other_process) = (with_engines(&test_bed).await, with_engines(&test_bed).await);
    let mut target = Client::connect(first_process.mysql).await;
    let mut other_session = Client::connect(other_process.mysql).await;
    other_session.send_query(&fields("statement", 9000, None, "LATER 1")).await;
    until("the attempt is in flight", || test_bed.attempts("LATER 1") == 1).await;
    let mut killer = Client::connect(other_process.mysql).await;
    killer.query(&format!("KILL QUERY {}", target.id)).await.unwrap();
    assert_ne!(target.id, other_session.id);
    assert_eq!(
        other_session.answer().await.unwrap().len(),
        600,
        "the query of another session was cancelled"
    );
    assert_eq!(target.outcome(&fields("lookup", 3000, None, "SELECT 1")).await, Outcome::Served);
}

#[tokio::test]
async fn kill_query_works_in_either_order() {
    let test_bed = TestBed::default();
    let gateway = with_engines(&test_bed).await;
    for kill_first in [true, false] {
        let statement = format!("HANG {kill_first}");
        let (mut client, killer) =
            (Client::connect(gateway.mysql).await, Client::connect(gateway.mysql).await);
        let request = query_packet(&fields("statement", 9000, None, &statement));
        let kill = query_packet(&format!("KILL QUERY {}", client.id));
        // Nothing is awaited between these lines, so the gateway reads both requests only afterwards.
        let (first, second) = if kill_first { (&killer, &client) } else { (&client, &killer) };
        let (first_request, second_request) = if kill_first { (&kill, &request) } else { (&request, &kill) };
        assert_eq!(first.stream.try_write(first_request).unwrap(), first_request.len());
        assert_eq!(second.stream.try_write(second_request).unwrap(), second_request.len());
        assert_eq!(
            client.answer().await.unwrap_err().0,
            1317,
            "a query that was cancelled before it was read ran nevertheless"
        );
    }
}

#[tokio::test]
async fn request_inherits_no_fields_of_the_previous_one() {
    // A field that is absent in a request is unset, even if the previous request of the session set it.
    let test_bed = TestBed::default();
    let engines = [resp::start_engine("a", test_bed.clone()).await];
    let gateway = gateway(config(&engines), OperatorConfig::default()).await;
    let mut client = Client::connect(gateway.mysql).await;
    let keyed =
        "/* route=batch-post,trace=00000000000000aa,patience=3000,nonce=k1,weight=5.0,space=64 */ INSERT 1";
    client.query(keyed).await.unwrap();
    // Without a key the request is rejected; it does not run under the previous key.
    let without_key = "/* route=batch-post,trace=00000000000000ab,patience=3000 */ INSERT 2";
    assert_eq!(client.outcome(without_key).await, Outcome::BadInput);
    assert_eq!(test_bed.attempts("INSERT 2"), 0);
    assert_eq!(
        client.outcome("/* trace=00000000000000ac,patience=3000 */ SELECT 1").await,
        Outcome::BadInput
    );
    assert_eq!(test_bed.attempts("SELECT 1"), 0, "run under the class of the previous request");
}

#[tokio::test]
async fn connections_accepted_by_the_system_are_served_at_the_close() {
    let test_bed = TestBed::default();
    let engines = [resp::start_engine("a", test_bed.clone()).await];
    let gateway = gateway(config(&engines), both_protocols(EngineProtocol::Resp)).await;
    // The connections wait in the accept queues: the accept loops do not run until the close has begun.
    let connect = |address: SocketAddr| {
        let stream = std::net::TcpStream::connect(address).unwrap();
        stream.set_nonblocking(true).unwrap();
        TcpStream::from_std(stream).unwrap()
    };
    let flight: Vec<_> = (0..16).map(|_| connect(gateway.flight.unwrap())).collect();
    let mysql: Vec<_> = (0..16).map(|_| connect(gateway.mysql)).collect();
    let closing = tokio::spawn(gateway.close(Instant::now()));
    let flight = flight.into_iter().enumerate().map(|(n, stream)| async move {
        let client = flight::Client::from_stream(stream).await.with_class("batch-post", Some("k"));
        client.update(&format!("INSERT {n}")).await.map_err(|status| status.to_string())
    });
    let mysql = mysql.into_iter().enumerate().map(|(n, stream)| async move {
        let mut client = Client::login(stream, "app").await.expect("no session");
        client.outcome(&fields("lookup", 3000, None, &format!("SELECT {n}"))).await
    });
    let (flight, mysql) = tokio::join!(join_all(flight), join_all(mysql));
    // Served, or refused with NO_ERROR, by which the gateway says that the call was not begun; never reset.
    let served_or_not_begun =
        |result: &Result<i64, String>| result.as_ref().err().is_none_or(|e| e.contains("NO_ERROR"));
    assert!(flight.iter().all(served_or_not_begun) && flight.iter().any(Result::is_ok), "{flight:?}");
    assert!(mysql.iter().all(|outcome| *outcome == Outcome::Served), "{mysql:?}");
    closing.await.unwrap();
}
