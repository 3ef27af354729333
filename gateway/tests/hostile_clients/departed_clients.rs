//! Clients that close their connection with much still unread: none of their requests is sent on afterwards.

use super::Site;
use super::http2::{self, Connection, DO_PUT, update_message};
use super::support::mysql::{Client, fields, packet, query_packet};
use socket2::SockRef;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// How late an attempt may begin after its client has gone.
const MAX_DELAY: Duration = Duration::from_millis(100);
/// By how much a time limit is longer on sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// Requests that a client leaves behind.
const REQUESTS: usize = 60;

/// How a client ends its connection.
#[derive(Clone, Copy, Debug)]
enum End {
    Close,
    Reset,
    HalfClose,
}

/// Numbers of cores of the gateway.
const CORES: [usize; 2] = [1, 4];
const ENDS: [End; 3] = [End::Close, End::Reset, End::HalfClose];

/// All combinations of a number of cores and a way to leave.
fn combinations() -> impl Iterator<Item = (usize, End)> {
    CORES.into_iter().flat_map(|cores| ENDS.map(|how| (cores, how)))
}

/// Ends a connection; the returned one stays open on this side.
async fn end(mut stream: TcpStream, end: End) -> Option<TcpStream> {
    match end {
        End::Close => None,
        End::Reset => {
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            None
        }
        End::HalfClose => {
            stream.shutdown().await.unwrap();
            Some(stream)
        }
    }
}

/// Asserts that no attempt began later than it may after the client has gone; returns how many began in all.
async fn assert_none_sent_on(site: &Site, disconnected_at: Instant, context: &str) {
    sleep(Duration::from_millis(600)).await;
    let received = std::mem::take(&mut site.test_bed.0.lock().unwrap().received);
    let limit = disconnected_at + MAX_DELAY + SOCKET_SLACK;
    let late: Vec<_> = received.iter().filter(|attempt| attempt.at > limit).collect();
    println!("{context}: {} attempts, {} late", received.len(), late.len());
    assert!(
        late.is_empty(),
        "{context}: {} attempts began after the client had gone: {:?}",
        late.len(),
        late[0]
    );
}

/// Guards against requests of a MySQL client that are sent on after its close, out of what it had sent ahead.
#[tokio::test]
async fn commands_sent_ahead_end_with_their_session() {
    for (cores, how) in combinations() {
        let site = Site::start_on_cores(48, cores).await;
        for (name, unread) in [("none", 0), ("some", 9_000), ("much", 400_000)] {
            let mut client = Client::connect(site.process.mysql).await;
            let query = |n| query_packet(&fields("lookup", 3000, None, &format!("SELECT {n}")));
            let queries: Vec<u8> = (0..REQUESTS).flat_map(query).collect();
            client.stream.write_all(&queries).await.unwrap();
            let more = vec![0; unread];
            let _ = timeout(Duration::from_millis(100), client.stream.write_all(&more)).await;
            let _open = end(client.stream, how).await;
            let context = format!("{how:?} with {name} unread, {cores} cores");
            assert_none_sent_on(&site, Instant::now(), &context).await;
        }
    }
}

/// Guards against the same while the session waits for a query that hangs.
#[tokio::test]
async fn commands_behind_a_hanging_query_end_with_their_session() {
    for (cores, how) in combinations() {
        let site = Site::start_on_cores(48, cores).await;
        let mut client = Client::connect(site.process.mysql).await;
        client.send_query(&fields("lookup", 5000, None, "HANG on")).await;
        sleep(Duration::from_millis(200)).await;
        let query = |n| query_packet(&fields("lookup", 3000, None, &format!("SELECT {n}")));
        let queries: Vec<u8> = (0..REQUESTS).flat_map(query).collect();
        client.stream.write_all(&queries).await.unwrap();
        let _open = end(client.stream, how).await;
        assert_none_sent_on(&site, Instant::now(), &format!("{how:?} behind a hanging query, {cores} cores"))
            .await;
    }
}

/// Guards against the same on Flight SQL: calls whose bytes were read, or were still in the socket, at the close.
#[tokio::test]
async fn calls_end_with_their_connection() {
    let class = [("reedwalk-class".to_owned(), "statement".to_owned())];
    for (cores, how) in combinations() {
        let site = Site::start_on_cores(48, cores).await;
        for (name, unread) in [("none", 0), ("much", 40_000)] {
            let mut connection = Connection::open(site.flight()).await;
            let call = |n: usize| {
                let stream = 2 * n as u32 + 1;
                let update = update_message(&format!("UPDATE {n}"));
                [http2::head(stream, DO_PUT, &class), http2::data(stream, &update, false)].concat()
            };
            let calls: Vec<u8> = (0..REQUESTS).flat_map(call).collect();
            connection.stream.write_all(&calls).await.unwrap();
            let more = http2::data(1, b"x", false).repeat(unread / 10);
            let _ = timeout(Duration::from_millis(100), connection.stream.write_all(&more)).await;
            let _open = end(connection.stream, how).await;
            let context = format!("{how:?} with {name} unread, {cores} cores");
            assert_none_sent_on(&site, Instant::now(), &context).await;
        }
    }
}

/// How long the gateway does not run while a client sends its requests and leaves.
const PAUSE: Duration = Duration::from_millis(400);

/// Sends these bytes while the gateway is paused, as far as they fit into the sockets, and leaves before it runs again.
/// Asserts that nothing of what it then finds unread is sent on.
async fn assert_unread_is_not_sent_on(site: &Site, stream: TcpStream, bytes: &[u8], how: End, context: &str) {
    site.process.signal("-STOP");
    let sent = stream.try_write(bytes).unwrap();
    let _open = end(stream, how).await;
    let disconnected_at = Instant::now();
    sleep(PAUSE).await;
    site.process.signal("-CONT");
    assert_none_sent_on(site, disconnected_at, &format!("{how:?} after {sent} bytes, {context}")).await;
}

/// Guards against calls that are found unread long after their client has gone, before much else that is unread too.
#[tokio::test]
async fn unread_calls_end_with_their_connection() {
    let class = [("reedwalk-class".to_owned(), "statement".to_owned())];
    let call = |n: usize| {
        let stream = 2 * n as u32 + 1;
        let update = update_message(&format!("UPDATE {n}"));
        [http2::head(stream, DO_PUT, &class), http2::data(stream, &update, false)].concat()
    };
    let calls: Vec<u8> = (0..REQUESTS).flat_map(call).collect();
    let answered = [&calls[..], &http2::ping().repeat(50_000)].concat();
    let unanswered = [&calls[..], &http2::priority(1_001).repeat(60_000)].concat();
    for (cores, how) in combinations() {
        let site = Site::start_on_cores(48, cores).await;
        for (name, bytes) in
            [("calls alone", &calls), ("calls, then pings", &answered), ("then others", &unanswered)]
        {
            let connection = Connection::open(site.flight()).await;
            let context = format!("{name}, {cores} cores");
            assert_unread_is_not_sent_on(&site, connection.stream, bytes, how, &context).await;
        }
    }
}

/// Guards against the same with queries of a MySQL session.
#[tokio::test]
async fn unread_queries_end_with_their_session() {
    let query = |n| query_packet(&fields("lookup", 3000, None, &format!("SELECT {n}")));
    let queries: Vec<u8> = (0..REQUESTS).flat_map(query).collect();
    let pings = packet(0, &[0x0e]).repeat(130);
    for (cores, how) in combinations() {
        let site = Site::start_on_cores(48, cores).await;
        let mixed: Vec<u8> = (0..2000).flat_map(|n| [&pings[n % 130 * 5..], &query(n)].concat()).collect();
        for (name, bytes) in [("queries first", queries.clone()), ("between pings", mixed)] {
            let client = Client::connect(site.process.mysql).await;
            let context = format!("{name}, {cores} cores");
            assert_unread_is_not_sent_on(&site, client.stream, &bytes, how, &context).await;
        }
    }
}
