//! How client connections end: what is in flight when we close arrives, and what comes after is never acted on.

mod support;

use futures::future::join_all;
use reedwalk_gateway::config::Config;
use reedwalk_gateway::operator::{EngineWire, Operator};
use reedwalk_gateway::serve::Running;
use std::net::SocketAddr;
use std::time::Duration;
use support::mysql::{Client, fields, login, login_as, packet, query};
use support::{Ended, World, both_fronts, config, flight, gateway, resp, until, with_engines};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

/// More than is read at a time, and than is ever read ahead.
const MUCH: usize = 100_000;

/// All that still comes until the other side's end; a reset fails the test.
async fn rest(stream: &mut TcpStream) -> String {
    let mut rest = Vec::new();
    let by = Instant::now() + Duration::from_secs(10);
    timeout_at(by, stream.read_to_end(&mut rest)).await.expect("never closed").expect("reset");
    String::from_utf8_lossy(&rest).into_owned()
}

/// Sends this at once on a new connection, and reads to its end.
async fn sent(gateway: &Running, parts: &[&[u8]]) -> String {
    let mut stream = TcpStream::connect(gateway.mysql).await.unwrap();
    stream.write_all(&parts.concat()).await.unwrap();
    rest(&mut stream).await
}

#[tokio::test]
async fn last_answer_arrives_despite_unread_input() {
    let world = World::default();
    let gateway = with_engines(&world).await;
    let (behind, quit) = (vec![0; MUCH], packet(0, &[1]));
    let denied = sent(&gateway, &[&login_as("nobody"), &behind]).await;
    assert!(denied.contains("access denied"), "{denied:?}");
    let unreadable = sent(&gateway, &[&login(), &[1, 0, 0, 9, 3], &behind]).await;
    assert!(unreadable.contains("08S01"), "{unreadable:?}");
    let ended = sent(&gateway, &[&login(), &packet(0, &[14]), &quit, &behind]).await;
    // The login's OK and the ping's.
    assert_eq!(ended.matches("\u{7}\0\0").count(), 2, "{ended:?}");
}

#[tokio::test]
async fn refused_client_reads_why_despite_unread_input() {
    let world = World::default();
    let engines = [resp::engine("a", world.clone()).await];
    let mut config = config(&engines);
    // Places for six, and time to take it in for one at a time that is turned away.
    config.limits.sockets = 10;
    let gateway = gateway(config, Operator::default()).await;
    let mut busy = Vec::new();
    for n in 0..6 {
        let mut client = Client::connect(gateway.mysql).await;
        client.stream_query(&fields("statement", 9000, None, &format!("HANG {n}"))).await;
        busy.push(client);
    }
    let (by, mut refused) = (Instant::now() + Duration::from_secs(10), 0);
    while refused < 3 {
        // Until all places are taken it is let in, and can't be read.
        let told = sent(&gateway, &[&login(), &vec![0; MUCH]]).await;
        refused += usize::from(told.contains("too many connections, pause="));
        assert!(Instant::now() < by, "{told:?}");
    }
}

#[tokio::test]
async fn request_crossing_a_close_is_not_forwarded_and_not_reset() {
    let world = World::default();
    let gateway = with_engines(&world).await;
    let mut resting = Client::connect(gateway.mysql).await;
    assert_eq!(resting.ended(&fields("lookup", 3000, None, "SELECT 1")).await, Ended::Served);
    let closing = tokio::spawn(gateway.close(Instant::now()));
    // It has our end before it writes; nobody will answer that.
    assert!(resting.read().await.is_none());
    resting.stream.write_all(&query(&fields("lookup", 3000, None, "SELECT 2"))).await.unwrap();
    assert_eq!(rest(&mut resting.stream).await, "");
    drop(resting);
    closing.await.unwrap();
    assert_eq!(world.attempts("SELECT 2"), 0, "read after the close, and sent on");
}

#[tokio::test]
async fn request_received_before_a_close_is_served() {
    let world = World::default();
    let gateway = with_engines(&world).await;
    let mut resting = Client::connect(gateway.mysql).await;
    assert_eq!(resting.ended(&fields("lookup", 3000, None, "SELECT 1")).await, Ended::Served);
    // Both lie there when the session next runs: it has no turn between these lines.
    let asked = query(&fields("lookup", 3000, None, "SELECT 2"));
    assert_eq!(resting.stream.try_write(&asked).unwrap(), asked.len());
    let closing = tokio::spawn(gateway.close(Instant::now()));
    assert_eq!(resting.answer().await.unwrap().len(), 600);
    assert!(resting.read().await.is_none());
    closing.await.unwrap();
}

#[tokio::test]
async fn client_sending_far_ahead_has_its_query_cancelled() {
    let world = World::default();
    let gateway = with_engines(&world).await;
    let mut client = Client::connect(gateway.mysql).await;
    client.stream_query(&fields("statement", 9000, None, "HANG 1")).await;
    until("the engine has it", || world.attempts("HANG 1") == 1).await;
    let _ = client.stream.write_all(&vec![7; MUCH]).await;
    // One answer, and the end.
    assert_eq!(client.answer().await.unwrap_err().0, 1156);
    assert!(client.read().await.is_none());
    until("it is given up", || world.was_given_up("HANG 1")).await;
}

#[tokio::test]
async fn kill_query_in_the_other_process_ends_nothing() {
    // Two processes at one address: each has its own sessions, opened in the same order.
    let world = World::default();
    let (one, other) = (with_engines(&world).await, with_engines(&world).await);
    let mut meant = Client::connect(one.mysql).await;
    let mut stranger = Client::connect(other.mysql).await;
    stranger.stream_query(&fields("statement", 9000, None, "LATER 1")).await;
    until("the engine has it", || world.attempts("LATER 1") == 1).await;
    let mut killer = Client::connect(other.mysql).await;
    killer.ask(&format!("KILL QUERY {}", meant.id)).await.unwrap();
    assert_ne!(meant.id, stranger.id);
    assert_eq!(stranger.answer().await.unwrap().len(), 600, "a stranger's query was ended");
    assert_eq!(meant.ended(&fields("lookup", 3000, None, "SELECT 1")).await, Ended::Served);
}

#[tokio::test]
async fn kill_query_and_its_query_meet_in_either_order() {
    let world = World::default();
    let gateway = with_engines(&world).await;
    for kill_first in [true, false] {
        let statement = format!("HANG {kill_first}");
        let (mut client, killer) =
            (Client::connect(gateway.mysql).await, Client::connect(gateway.mysql).await);
        let asked = query(&fields("statement", 9000, None, &statement));
        let kill = query(&format!("KILL QUERY {}", client.id));
        // The front has no turn between these lines.
        let (first, second) = if kill_first { (&killer, &client) } else { (&client, &killer) };
        let (one, two) = if kill_first { (&kill, &asked) } else { (&asked, &kill) };
        assert_eq!(first.stream.try_write(one).unwrap(), one.len());
        assert_eq!(second.stream.try_write(two).unwrap(), two.len());
        assert_eq!(
            client.answer().await.unwrap_err().0,
            1317,
            "killed before it was read, and run all the same"
        );
    }
}

#[tokio::test]
async fn session_gets_nothing_of_the_one_before_it() {
    // Fields that are absent in a request are absent, whatever the one before it had on the same session.
    let world = World::default();
    let engines = [resp::engine("a", world.clone()).await];
    let gateway = gateway(Config { ..config(&engines) }, Operator::default()).await;
    let mut client = Client::connect(gateway.mysql).await;
    let keyed =
        "/* route=batch-post,trace=00000000000000aa,patience=3000,nonce=k1,weight=5.0,space=64 */ INSERT 1";
    client.ask(keyed).await.unwrap();
    // Without its key it is refused, and not run under the last one.
    let bare = "/* route=batch-post,trace=00000000000000ab,patience=3000 */ INSERT 2";
    assert_eq!(client.ended(bare).await, Ended::BadInput);
    assert_eq!(world.attempts("INSERT 2"), 0);
    assert_eq!(client.ended("/* trace=00000000000000ac,patience=3000 */ SELECT 1").await, Ended::BadInput);
    assert_eq!(world.attempts("SELECT 1"), 0, "under the class of the request before");
}

#[tokio::test]
async fn connections_accepted_by_the_system_are_served_at_the_close() {
    let world = World::default();
    let engines = [resp::engine("a", world.clone()).await];
    let gateway = gateway(config(&engines), both_fronts(EngineWire::Resp)).await;
    // They lie in the listeners' queues: the fronts have no turn until the close has begun, and take in one a turn.
    let connect = |address: SocketAddr| {
        let stream = std::net::TcpStream::connect(address).unwrap();
        stream.set_nonblocking(true).unwrap();
        TcpStream::from_std(stream).unwrap()
    };
    let flight: Vec<_> = (0..16).map(|_| connect(gateway.flight.unwrap())).collect();
    let mysql: Vec<_> = (0..16).map(|_| connect(gateway.mysql)).collect();
    let closing = tokio::spawn(gateway.close(Instant::now()));
    let flight = flight.into_iter().enumerate().map(|(n, stream)| async move {
        let client = flight::Client::over(stream).await.of("batch-post", Some("k"));
        client.update(&format!("INSERT {n}")).await.map_err(|status| status.to_string())
    });
    let mysql = mysql.into_iter().enumerate().map(|(n, stream)| async move {
        let mut client = Client::login(stream, "app").await.expect("no session");
        client.ended(&fields("lookup", 3000, None, &format!("SELECT {n}"))).await
    });
    let (flight, mysql) = tokio::join!(join_all(flight), join_all(mysql));
    // Served, or told in so many words that it was not begun; never reset.
    let honest = |end: &Result<i64, String>| end.as_ref().err().is_none_or(|e| e.contains("NO_ERROR"));
    assert!(flight.iter().all(honest) && flight.iter().any(Result::is_ok), "{flight:?}");
    assert!(mysql.iter().all(|ended| *ended == Ended::Served), "{mysql:?}");
    closing.await.unwrap();
}
