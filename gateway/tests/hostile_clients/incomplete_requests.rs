//! Requests that are never completed: their bytes count towards the memory limit from the first one read.

use super::http2::{self, Connection, DO_PUT, GET_FLIGHT_INFO, update_message};
use super::support::mysql::{Client, fields, login_packet, packet, query_packet};
use super::support::until;
use super::{FLIGHT_CONNECTIONS, Site};
use futures::future::join_all;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Smallest memory limit that the pages name, in MB.
const SMALL_MEMORY_MB: u64 = 32;
/// Clients of the MySQL front at a time: nearly as many as it has slots for.
const MYSQL_CLIENTS: usize = 560;
/// Hostile connections to the Flight SQL front, which leave room for an ordinary one.
const HOSTILE_FLIGHT_CONNECTIONS: usize = FLIGHT_CONNECTIONS - 2;
/// How long the bytes are left in the gateway before its memory is read.
const SETTLE_TIME: Duration = Duration::from_millis(700);

/// Clients that have logged in and sent a command, so that none counts as unproven.
async fn proven_clients(site: &Site) -> Vec<Client> {
    let mut clients = Vec::new();
    for _ in 0..MYSQL_CLIENTS {
        let mut client = Client::connect(site.process.mysql).await;
        client.stream.write_all(&packet(0, &[0x0e])).await.unwrap();
        client.read().await.expect("no answer to a ping");
        clients.push(client);
    }
    clients
}

/// Guards against a process that is killed for its memory: each of hundreds of MySQL clients stopped in the middle of a
/// statement that was too small to be counted.
#[tokio::test]
async fn half_sent_statements_stay_within_the_memory_limit() {
    let site = Site::start(SMALL_MEMORY_MB).await;
    let mut clients = proven_clients(&site).await;
    let statement = query_packet(&"x".repeat(8 * 1024 - 1));
    for client in &mut clients {
        client.stream.write_all(&statement[..statement.len() - 8]).await.unwrap();
    }
    sleep(SETTLE_TIME).await;
    site.assert_within_memory_limit();
    site.assert_serves_others(5).await;
}

/// Guards against the same with large statements, which arrive in small pieces.
#[tokio::test]
async fn slowly_written_large_statements_stay_within_the_memory_limit() {
    let site = Site::start(SMALL_MEMORY_MB).await;
    let mut clients = proven_clients(&site).await;
    let statement = query_packet(&"x".repeat(200 * 1024));
    for piece in statement[..statement.len() / 2].chunks(16 * 1024) {
        for client in &mut clients {
            // The gateway may have closed the connection, for want of room.
            let _ = client.stream.write_all(piece).await;
        }
    }
    sleep(SETTLE_TIME).await;
    site.assert_within_memory_limit();
    site.assert_serves_others(5).await;
}

/// Guards against the same with what hundreds of clients send ahead while their queries run.
#[tokio::test]
async fn bytes_sent_ahead_stay_within_the_memory_limit() {
    let site = Site::start(SMALL_MEMORY_MB).await;
    let mut clients = proven_clients(&site).await;
    let ahead = vec![0; 15 * 1024];
    for client in &mut clients {
        client.send_query(&fields("statement", 8000, None, "HANG on")).await;
    }
    until("queries run", || site.test_bed.attempts("HANG on") > 0).await;
    for client in &mut clients {
        let _ = client.stream.write_all(&ahead).await;
    }
    sleep(SETTLE_TIME).await;
    site.assert_within_memory_limit();
}

/// Guards against the same when clients of both fronts do it at once: each front alone stayed below the limit.
#[tokio::test]
async fn incomplete_requests_on_both_fronts_stay_within_the_memory_limit() {
    let site = Site::start(SMALL_MEMORY_MB).await;
    let mut clients = proven_clients(&site).await;
    for client in &mut clients {
        client.send_query(&fields("statement", 8000, None, "HANG on")).await;
    }
    until("queries run", || site.test_bed.attempts("HANG on") > 0).await;
    for client in &mut clients {
        let _ = client.stream.write_all(&[0; 15 * 1024]).await;
    }
    let _connections = send_half_messages(&site).await;
    sleep(SETTLE_TIME).await;
    site.assert_within_memory_limit();
}

/// Guards against the same before the login is complete.
#[tokio::test]
async fn half_sent_logins_stay_within_the_memory_limit() {
    let site = Site::start(SMALL_MEMORY_MB).await;
    let mut streams = Vec::new();
    let login = [&login_packet()[..], &query_packet(&"x".repeat(200 * 1024))].concat();
    for _ in 0..MYSQL_CLIENTS {
        let mut stream = TcpStream::connect(site.process.mysql).await.unwrap();
        let _ = stream.write_all(&login[..40]).await;
        let _ = stream.write_all(&login[40..120 * 1024]).await;
        streams.push(stream);
    }
    sleep(SETTLE_TIME).await;
    site.assert_within_memory_limit();
    site.assert_serves_others(5).await;
}

/// Guards against the same on Flight SQL: heads of many short fields take several times their size in memory, and calls
/// whose request never comes keep them.
#[tokio::test]
async fn heads_of_many_short_fields_stay_within_the_memory_limit() {
    let site = Site::start(SMALL_MEMORY_MB).await;
    let fields: Vec<_> = (0..400).map(|n| (format!("f{n}"), "1".to_owned())).collect();
    let open = (0..HOSTILE_FLIGHT_CONNECTIONS).map(|_| Connection::open(site.flight()));
    let mut connections = join_all(open).await;
    for stream in (1..128).step_by(2) {
        let head = http2::head(stream, GET_FLIGHT_INFO, &fields);
        for connection in &mut connections {
            let _ = connection.stream.write_all(&head).await;
        }
    }
    sleep(SETTLE_TIME).await;
    site.assert_within_memory_limit();
    site.assert_serves_others(5).await;
}

/// Sends a quarter of a message in each of many calls; returns the connections.
async fn send_half_messages(site: &Site) -> Vec<Connection> {
    let open = (0..HOSTILE_FLIGHT_CONNECTIONS).map(|_| Connection::open(site.flight()));
    let mut connections = join_all(open).await;
    join_all(connections.iter_mut().map(|connection| async move {
        for stream in (1..32).step_by(2) {
            let prefix = http2::message_prefix(250 * 1024);
            let head = [http2::head(stream, DO_PUT, &[]), http2::data(stream, &prefix, false)].concat();
            let _ = connection.stream.write_all(&head).await;
            connection.window -= prefix.len();
            connection.send_body(stream, 60 * 1024).await;
        }
    }))
    .await;
    connections
}

/// Guards against the same with messages of which only a part arrives.
#[tokio::test]
async fn half_sent_flight_messages_stay_within_the_memory_limit() {
    let site = Site::start(SMALL_MEMORY_MB).await;
    let _connections = send_half_messages(&site).await;
    sleep(SETTLE_TIME).await;
    site.assert_within_memory_limit();
    site.assert_serves_others(5).await;
}

/// Guards against the same with frames of a single byte that follow an update while it runs: unread, each takes far more
/// memory than its byte.
#[tokio::test]
async fn short_frames_behind_a_running_update_stay_within_the_memory_limit() {
    let site = Site::start(SMALL_MEMORY_MB).await;
    let open = (0..HOSTILE_FLIGHT_CONNECTIONS).map(|_| Connection::open(site.flight()));
    let mut connections = join_all(open).await;
    let class = [("reedwalk-class".to_owned(), "statement".to_owned())];
    let update = update_message("HANG on");
    let call = [http2::head(1, DO_PUT, &class), http2::data(1, &update, false)].concat();
    for connection in &mut connections {
        connection.stream.write_all(&call).await.unwrap();
    }
    until("an update runs", || site.test_bed.attempts("HANG on") > 0).await;
    let frames = http2::data(1, b"x", false).repeat(60_000);
    join_all(connections.iter_mut().map(|connection| async {
        let _ = timeout(Duration::from_secs(3), connection.stream.write_all(&frames)).await;
    }))
    .await;
    sleep(SETTLE_TIME).await;
    site.assert_within_memory_limit();
    site.assert_serves_others(5).await;
}

/// Guards against the same with statements that are kept for tickets which nobody uses.
#[tokio::test]
async fn unused_tickets_stay_within_the_memory_limit() {
    let site = Site::start(SMALL_MEMORY_MB).await;
    let client = super::flight::Client::connect(site.flight()).await.with_class("lookup", None);
    let statement = format!("SELECT '{}'", "x".repeat(200 * 1024));
    let mut rejected = 0;
    for _ in 0..400 {
        rejected += u32::from(client.info(&statement).await.is_err());
    }
    println!("rejected tickets: {rejected}");
    site.assert_within_memory_limit();
    site.assert_serves_others(5).await;
}
