//! One client that sends small or invalid requests on one connection at full speed: others get their answers in time,
//! and no name that it sends uses memory afterwards.

use super::Site;
use super::http2::{self, Connection, DO_PUT, GET_FLIGHT_INFO};
use super::support::flight;
use super::support::mysql::{Client, fields, packet, query_packet};
use std::pin::Pin;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Mutex;

/// How long a flood lasts.
const FLOOD_TIME: Duration = Duration::from_secs(2);
/// Held by the test whose flood runs: two floods at a time would delay each other's ordinary clients.
static ONE_FLOOD: Mutex<()> = Mutex::const_new(());
/// Requests of each of the other clients beside a flood.
const REQUESTS: usize = 40;
/// By how much the memory of the process may grow during a flood.
const MAX_GROWTH_KB: u64 = 8 * 1024;

type Opened = Pin<Box<dyn Future<Output = TcpStream>>>;

/// Opens the connections of a flood.
trait Open: Fn() -> Opened + Send + 'static {}

impl<T: Fn() -> Opened + Send + 'static> Open for T {}

/// Writes batches on a connection at full speed and discards the answers. A connection that the gateway closes is
/// opened anew.
async fn flood(open: impl Open, mut batch: impl FnMut(u64) -> Vec<u8>) {
    let end = Instant::now() + FLOOD_TIME;
    let (mut number, mut connections) = (0, 0);
    while Instant::now() < end {
        let (mut reader, mut writer) = open().await.into_split();
        connections += 1;
        let discard = tokio::spawn(async move {
            let mut buffer = vec![0; 64 * 1024];
            while matches!(reader.read(&mut buffer).await, Ok(length) if length > 0) {}
        });
        while Instant::now() < end && writer.write_all(&batch(number)).await.is_ok() {
            number += 1;
        }
        discard.abort();
    }
    println!("{number} batches on {connections} connections");
}

/// Runs a hostile client on a thread of its own, so that it does not delay the ordinary clients of the test.
fn on_own_thread<F: Future<Output = ()>>(client: impl FnOnce() -> F + Send + 'static) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(client());
    })
}

/// Asserts that a hostile client delays no ordinary ones, and that its requests use no memory afterwards.
async fn assert_harmless<F: Future<Output = ()>>(site: &Site, client: impl FnOnce() -> F + Send + 'static) {
    let _one_flood = ONE_FLOOD.lock().await;
    site.assert_serves_others(REQUESTS).await;
    let before_kb = site.peak_memory_kb();
    let hostile = on_own_thread(client);
    tokio::time::sleep(Duration::from_millis(200)).await;
    while !hostile.is_finished() {
        site.assert_serves_others(REQUESTS).await;
    }
    hostile.join().unwrap();
    let growth_kb = site.peak_memory_kb() - before_kb;
    println!("memory grew by {growth_kb} KB");
    assert!(growth_kb <= MAX_GROWTH_KB, "memory grew by {growth_kb} KB");
}

/// Asserts that batches written at full speed are harmless.
async fn assert_flood_is_harmless(
    site: &Site,
    open: impl Open,
    batch: impl FnMut(u64) -> Vec<u8> + Send + 'static,
) {
    assert_harmless(site, move || flood(open, batch)).await;
}

/// Opens a logged-in session at the gateway.
fn mysql_session(site: &Site) -> impl Open + use<> {
    let address = site.process.mysql;
    move || -> Opened { Box::pin(async move { Client::connect(address).await.stream }) }
}

/// Opens a connection to the Flight SQL front.
fn flight_connection(site: &Site) -> impl Open + use<> {
    let address = site.flight();
    move || -> Opened { Box::pin(async move { Connection::open(address).await.stream }) }
}

/// Guards against answers that others wait for while one session sends pings and unknown commands.
#[tokio::test]
async fn small_commands_delay_nobody() {
    let site = Site::start(48).await;
    let batch = [packet(0, &[0x0e]), packet(0, &[0x77])].concat().repeat(500);
    assert_flood_is_harmless(&site, mysql_session(&site), move |_| batch.clone()).await;
}

/// Guards against the same with statements whose fields are not valid, under ever new names.
#[tokio::test]
async fn unknown_classes_use_no_memory() {
    let site = Site::start(48).await;
    let batch = |number: u64| {
        let one =
            |n: u64| query_packet(&format!("/* route=class-{n},trace={n:016x},patience=900 */ SELECT 1"));
        (0..200).flat_map(|n| one(number * 200 + n)).collect()
    };
    assert_flood_is_harmless(&site, mysql_session(&site), batch).await;
}

/// Guards against the same with large statements whose parsing is expensive.
#[tokio::test]
async fn expensive_statements_delay_nobody() {
    let site = Site::start(48).await;
    let text = fields("lookup", 900, None, &"a.b,".repeat(50 * 1024));
    let invalid = format!("/* route=none{}", &text[9..]);
    let batch = query_packet(&invalid);
    assert_flood_is_harmless(&site, mysql_session(&site), move |_| batch.clone()).await;
}

/// Guards against the same with large statements that are served, one after the other.
#[tokio::test]
async fn large_valid_statements_delay_nobody() {
    let site = Site::start(48).await;
    let address = site.process.mysql;
    let client = move || async move {
        let end = Instant::now() + FLOOD_TIME;
        let mut client = Client::connect(address).await;
        while Instant::now() < end {
            let _ = client.query(&fields("lookup", 900, None, &"a.b,".repeat(50 * 1024))).await;
        }
    };
    assert_harmless(&site, client).await;
}

/// Guards against the same with commands that cancel queries which do not run.
#[tokio::test]
async fn cancellations_of_unknown_queries_delay_nobody() {
    let site = Site::start(48).await;
    let batch = |number: u64| {
        (0..200).flat_map(|n| query_packet(&format!("KILL QUERY {}", number * 200 + n))).collect()
    };
    assert_flood_is_harmless(&site, mysql_session(&site), batch).await;
}

/// Guards against the same with repeated logins under ever new user names.
#[tokio::test]
async fn unknown_users_use_no_memory() {
    let site = Site::start(48).await;
    let address = site.process.mysql;
    let client = move || async move {
        let end = Instant::now() + FLOOD_TIME;
        let mut number = 0;
        while Instant::now() < end {
            let _ = Client::try_connect_as(address, &format!("user-{number}-{}", "x".repeat(1000))).await;
            number += 1;
        }
        println!("{number} logins");
    };
    assert_harmless(&site, client).await;
}

/// Guards against tickets that one client draws at full speed and never uses, until there is none left for others.
#[tokio::test]
async fn unused_tickets_of_one_client_keep_nobody_from_a_ticket() {
    let site = Site::start(48).await;
    let address = site.flight();
    let client = move || async move {
        let end = Instant::now() + FLOOD_TIME;
        let client = flight::Client::connect(address).await.with_class("lookup", None);
        let (mut issued, mut rejected) = (0, 0);
        while Instant::now() < end {
            match client.info("SELECT 1").await {
                Ok(_) => issued += 1,
                Err(_) => rejected += 1,
            }
        }
        println!("{issued} tickets, {rejected} rejections");
    };
    assert_harmless(&site, client).await;
}

/// Guards against the same on Flight SQL with frames that the gateway has to answer.
#[tokio::test]
async fn pings_delay_nobody() {
    let site = Site::start(48).await;
    let batch = http2::ping().repeat(1000);
    assert_flood_is_harmless(&site, flight_connection(&site), move |_| batch.clone()).await;
}

/// Guards against the same with empty frames of a request that does not end.
#[tokio::test]
async fn empty_data_frames_delay_nobody() {
    let site = Site::start(48).await;
    let head = http2::head(1, DO_PUT, &[]);
    let empty = http2::data(1, &[], false).repeat(2000);
    let batch = move |number| if number == 0 { [&head[..], &empty].concat() } else { empty.clone() };
    assert_flood_is_harmless(&site, flight_connection(&site), batch).await;
}

/// Guards against the same with calls that are cancelled as soon as they are made.
#[tokio::test]
async fn calls_that_are_cancelled_at_once_delay_nobody() {
    let site = Site::start(48).await;
    let batch = |number: u64| {
        let call = |stream| [http2::head(stream, GET_FLIGHT_INFO, &[]), http2::reset(stream)].concat();
        let first = (number * 200 % 1_000_000_000) as u32 + 1;
        (first..first + 200).step_by(2).flat_map(call).collect()
    };
    assert_flood_is_harmless(&site, flight_connection(&site), batch).await;
}

/// Guards against the same with calls of methods that do not exist, under ever new names.
#[tokio::test]
async fn unknown_methods_use_no_memory() {
    let site = Site::start(48).await;
    let batch = |number: u64| {
        let call = |stream| {
            let path = format!("/arrow.flight.protocol.FlightService/Method{stream}x{number}");
            let name = format!("x-{stream}-{number}");
            [http2::head(stream, &path, &[(name, "1".to_owned())]), http2::data(stream, &[], true)].concat()
        };
        let first = (number * 100 % 1_000_000_000) as u32 + 1;
        (first..first + 100).step_by(2).flat_map(call).collect()
    };
    assert_flood_is_harmless(&site, flight_connection(&site), batch).await;
}

/// Guards against the same with queries that fail for their class, under ever new names.
#[tokio::test]
async fn flight_queries_of_unknown_classes_delay_nobody() {
    let site = Site::start(48).await;
    let batch = |number: u64| {
        let call = |stream| {
            let fields = [("reedwalk-class".to_owned(), format!("class-{stream}-{number}"))];
            let message = [&http2::message_prefix(4)[..], &[8, 2, 18, 0]].concat();
            [http2::head(stream, GET_FLIGHT_INFO, &fields), http2::data(stream, &message, true)].concat()
        };
        let first = (number * 100 % 1_000_000_000) as u32 + 1;
        (first..first + 100).step_by(2).flat_map(call).collect()
    };
    assert_flood_is_harmless(&site, flight_connection(&site), batch).await;
}
