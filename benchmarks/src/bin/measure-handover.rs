//! What clients meet while one process takes over from another: `make measure-handover`.
//!
//! Clients that connect anew for each request ask without a pause, while a second process starts, says yes, and the
//! first gets SIGTERM; again and again, each time with the survivor as the first. Every request and connection has an
//! instant by which it must have ended, so that a lost one is counted and holds nothing up.

use reedwalk_benchmarks::{Front, Setup, apart, machine};
use reedwalk_testkit::config::known;
use reedwalk_testkit::mysql::{Client, fields};
use reedwalk_testkit::request_log::Record;
use reedwalk_testkit::resp::modelled;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::net::TcpSocket;

const HANDOVERS: usize = 25;
const CLIENTS: usize = 16;
/// Load before the second process starts, and while both serve.
const ALONE: Duration = Duration::from_millis(300);
const TOGETHER: Duration = Duration::from_millis(300);
/// Past this a request is lost, and a process that was asked to end has not.
const LOST: Duration = Duration::from_secs(5);

/// Ends of requests, over all clients.
#[derive(Default)]
struct Counts {
    served: AtomicUsize,
    refused: AtomicUsize,
    failed: AtomicUsize,
    /// No session, or the connection ended under a request that had not been answered.
    door: AtomicUsize,
    /// No end by the instant given.
    lost: AtomicUsize,
    slowest_us: AtomicUsize,
}

async fn one(address: SocketAddr, counts: &Counts) {
    let began = Instant::now();
    let asked = async {
        let mut client = Client::try_connect_as(address, "app").await?;
        client.try_ask(&fields("lookup", 3000, None, "SELECT 1")).await
    };
    let end = tokio::time::timeout_at((began + LOST).into(), asked).await;
    let counter = match end {
        Ok(Some(Ok(_))) => &counts.served,
        Ok(Some(Err((1040 | 1203 | 1226, _)))) => &counts.refused,
        Ok(Some(Err(_))) => &counts.failed,
        Ok(None) => &counts.door,
        Err(_) => &counts.lost,
    };
    counter.fetch_add(1, Ordering::Relaxed);
    counts.slowest_us.fetch_max(began.elapsed().as_micros() as usize, Ordering::Relaxed);
}

fn take(counter: &AtomicUsize) -> usize {
    counter.swap(0, Ordering::Relaxed)
}

/// An address that all processes of the run listen on. It is bound and never listened to, which reserves it.
fn reserve_address() -> (TcpSocket, SocketAddr) {
    apart(|| async {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_reuseaddr(true).unwrap();
        socket.set_reuseport(true).unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = socket.local_addr().unwrap();
        (socket, address)
    })
}

/// Starts a client that connects anew for each request, until `stop` is set.
fn start_client(address: SocketAddr, counts: Arc<Counts>, stop: Arc<AtomicBool>) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            while !stop.load(Ordering::Relaxed) {
                one(address, &counts).await;
            }
        });
    })
}

/// Sums over all handovers.
#[derive(Default)]
struct Totals {
    requests: usize,
    at_closed_door: usize,
    worst_at_closed_door: usize,
    lost: usize,
}

/// Replaces `old` by a new process, prints a row, and returns the new one.
fn hand_over(number: usize, mut old: Front, new: Front, counts: &Counts, totals: &mut Totals) -> Front {
    std::thread::sleep(TOGETHER);
    old.terminate();
    let terminated_at = Instant::now();
    let ended = old.ended(terminated_at + LOST);
    let took = terminated_at.elapsed().as_millis();
    std::thread::sleep(ALONE);
    let row = [&counts.served, &counts.refused, &counts.failed, &counts.door, &counts.lost].map(take);
    let [served, refused, failed, door, lost] = row;
    let slowest = take(&counts.slowest_us) as f64 / 1000.0;
    let note = if ended.is_some_and(|status| status.success()) { "" } else { "  did not end well" };
    println!(
        "{number:>4} {served:>8} {refused:>8} {failed:>7} {door:>6} {lost:>6} {slowest:>11.1} {took:>10}{note}"
    );
    totals.requests += row.iter().sum::<usize>();
    totals.at_closed_door += door;
    totals.worst_at_closed_door = totals.worst_at_closed_door.max(door);
    totals.lost += lost;
    new
}

fn main() {
    let engines: Vec<_> =
        (0..2).map(|_| apart(|| async { modelled("e", None, Record::default()).await.address })).collect();
    let folder = std::env::temp_dir().join(format!("reedwalk-handover-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (reserved, listen) = reserve_address();
    let start = || {
        Front::start(&Setup { known: known(&engines), replaced: Some((listen, &folder)), ..Setup::default() })
    };
    let (counts, stop) = (Arc::<Counts>::default(), Arc::<AtomicBool>::default());
    let mut process = start();
    let clients: Vec<_> = (0..CLIENTS).map(|_| start_client(listen, counts.clone(), stop.clone())).collect();
    println!("{HANDOVERS} handovers, {CLIENTS} clients with a connection a request; {} cores", machine());
    println!(
        "{:>4} {:>8} {:>8} {:>7} {:>6} {:>6} {:>11} {:>10}",
        "", "served", "refused", "failed", "door", "lost", "slowest ms", "ends in ms"
    );
    let mut totals = Totals::default();
    for number in 1..=HANDOVERS {
        std::thread::sleep(ALONE);
        process = hand_over(number, process, start(), &counts, &mut totals);
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().unwrap();
    }
    drop((process, reserved));
    let _ = std::fs::remove_dir_all(&folder);
    let Totals { requests, at_closed_door, worst_at_closed_door, lost } = totals;
    println!(
        "handover: requests = {requests}, at a closed door = {at_closed_door} (worst {worst_at_closed_door}), \
         lost = {lost}"
    );
}
