//! Measures the effect of a hot restart on clients: `make measure-handover`.
//!
//! Clients open a connection for each request and send continuously. Meanwhile a second process starts and serves, and the
//! first receives SIGTERM; this repeats with the remaining process as the first. Every request has a deadline that includes
//! its connection, so that a lost request is counted and does not block the run.

use reedwalk_benchmarks::{Gateway, GatewaySetup, HotRestart, core_count, run_on_own_thread};
use reedwalk_testkit::config::initial_endpoints;
use reedwalk_testkit::mysql::{Client, fields};
use reedwalk_testkit::request_log::RequestLog;
use reedwalk_testkit::resp::start_modelled_engine;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::net::TcpSocket;

const HANDOVERS: usize = 25;
/// Concurrent clients.
const CLIENTS: usize = 16;
/// Time under load before the second process starts, and after the first has exited.
const SINGLE_PROCESS_TIME: Duration = Duration::from_millis(300);
/// Time under load while both processes serve.
const OVERLAP_TIME: Duration = Duration::from_millis(300);
/// Time after which a request counts as lost, and limit on the exit of a process.
const DEADLINE: Duration = Duration::from_secs(5);

/// Outcomes of requests, summed over all clients.
#[derive(Default)]
struct Counts {
    served: AtomicUsize,
    rejected: AtomicUsize,
    failed: AtomicUsize,
    /// No session could be opened, or the connection closed before the request was answered.
    no_session: AtomicUsize,
    /// No outcome by the deadline.
    lost: AtomicUsize,
    slowest_us: AtomicUsize,
}

/// Sends one request on a new connection, and counts its outcome.
async fn send_request(address: SocketAddr, counts: &Counts) {
    let started_at = Instant::now();
    let request = async {
        let mut client = Client::try_connect_as(address, "app").await?;
        client.try_query(&fields("lookup", 3000, None, "SELECT 1")).await
    };
    let counter = match tokio::time::timeout_at((started_at + DEADLINE).into(), request).await {
        Ok(Some(Ok(_))) => &counts.served,
        Ok(Some(Err((1040 | 1203 | 1226, _)))) => &counts.rejected,
        Ok(Some(Err(_))) => &counts.failed,
        Ok(None) => &counts.no_session,
        Err(_) => &counts.lost,
    };
    counter.fetch_add(1, Ordering::Relaxed);
    counts.slowest_us.fetch_max(started_at.elapsed().as_micros() as usize, Ordering::Relaxed);
}

/// Returns the value of a counter and resets it to 0.
fn take_count(counter: &AtomicUsize) -> usize {
    counter.swap(0, Ordering::Relaxed)
}

/// Reserves the address on which all processes of the run listen, with a socket that is bound but never listens.
fn reserve_address() -> (TcpSocket, SocketAddr) {
    run_on_own_thread(|| async {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_reuseaddr(true).unwrap();
        socket.set_reuseport(true).unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = socket.local_addr().unwrap();
        (socket, address)
    })
}

/// Starts a client that opens a connection for each request, until `stop` is set.
fn start_client(address: SocketAddr, counts: Arc<Counts>, stop: Arc<AtomicBool>) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            while !stop.load(Ordering::Relaxed) {
                send_request(address, &counts).await;
            }
        });
    })
}

/// Totals over all handovers.
#[derive(Default)]
struct Totals {
    requests: usize,
    without_session: usize,
    worst_without_session: usize,
    lost: usize,
}

/// Replaces the process `old` with `new`, prints a row, and returns `new`.
fn replace_process(
    number: usize,
    mut old: Gateway,
    new: Gateway,
    counts: &Counts,
    totals: &mut Totals,
) -> Gateway {
    std::thread::sleep(OVERLAP_TIME);
    old.terminate();
    let terminated_at = Instant::now();
    let exit = old.wait_for_exit(terminated_at + DEADLINE);
    let exit_ms = terminated_at.elapsed().as_millis();
    std::thread::sleep(SINGLE_PROCESS_TIME);
    let row =
        [&counts.served, &counts.rejected, &counts.failed, &counts.no_session, &counts.lost].map(take_count);
    let [served, rejected, failed, no_session, lost] = row;
    let slowest_ms = take_count(&counts.slowest_us) as f64 / 1000.0;
    let note = if exit.is_some_and(|status| status.success()) { "" } else { "  did not exit with 0" };
    println!(
        "{number:>4} {served:>8} {rejected:>8} {failed:>7} {no_session:>10} {lost:>6} {slowest_ms:>11.1} \
         {exit_ms:>10}{note}"
    );
    totals.requests += row.iter().sum::<usize>();
    totals.without_session += no_session;
    totals.worst_without_session = totals.worst_without_session.max(no_session);
    totals.lost += lost;
    new
}

fn start_engine() -> SocketAddr {
    run_on_own_thread(|| async { start_modelled_engine("e", None, RequestLog::default()).await.address })
}

fn main() {
    let engines = [start_engine(), start_engine()];
    let folder = std::env::temp_dir().join(format!("reedwalk-handover-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (reserved, listen) = reserve_address();
    let start_gateway = || {
        let (endpoints, hot_restart) = (initial_endpoints(&engines), HotRestart { listen, folder: &folder });
        let hot_restart = Some(hot_restart);
        Gateway::start(&GatewaySetup { endpoints, hot_restart, ..GatewaySetup::default() })
    };
    let (counts, stop) = (Arc::<Counts>::default(), Arc::<AtomicBool>::default());
    let mut gateway = start_gateway();
    let clients: Vec<_> = (0..CLIENTS).map(|_| start_client(listen, counts.clone(), stop.clone())).collect();
    println!("{HANDOVERS} handovers, {CLIENTS} clients with a connection a request; {} cores", core_count());
    println!(
        "{:>4} {:>8} {:>8} {:>7} {:>10} {:>6} {:>11} {:>10}",
        "", "served", "rejected", "failed", "no session", "lost", "slowest ms", "exit ms"
    );
    let mut totals = Totals::default();
    for number in 1..=HANDOVERS {
        std::thread::sleep(SINGLE_PROCESS_TIME);
        gateway = replace_process(number, gateway, start_gateway(), &counts, &mut totals);
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().unwrap();
    }
    drop((gateway, reserved));
    let _ = std::fs::remove_dir_all(&folder);
    let Totals { requests, without_session, worst_without_session, lost } = totals;
    println!(
        "handover: requests = {requests}, without a session = {without_session} (worst {worst_without_session}), \
         lost = {lost}"
    );
}
