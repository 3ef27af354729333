//! What clients meet while one process takes over from another: `make measure-handover`.
//!
//! Clients that connect anew for each request ask without a pause, while a second process starts, says yes, and the
//! first gets SIGTERM; again and again, each time with the survivor as the first. Every request and connection has an
//! instant by which it must have ended, so that a lost one is counted and holds nothing up.

use reedwalk_measures::{Front, Setup, apart, machine};
use reedwalk_standins::config::known;
use reedwalk_standins::mysql::{Client, fields};
use reedwalk_standins::record::Record;
use reedwalk_standins::resp::modelled;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

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

fn main() {
    let engines: Vec<_> =
        (0..2).map(|_| apart(|| async { modelled("e", None, Record::default()).await.address })).collect();
    let folder = std::env::temp_dir().join(format!("reedwalk-handover-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    // Bound and never listened to: it keeps the address for all processes to come.
    let (held, listen) = apart(|| async {
        let held = tokio::net::TcpSocket::new_v4().unwrap();
        held.set_reuseaddr(true).unwrap();
        held.set_reuseport(true).unwrap();
        held.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = held.local_addr().unwrap();
        (held, address)
    });
    let start = || {
        Front::start(&Setup { known: known(&engines), replaced: Some((listen, &folder)), ..Setup::default() })
    };
    let (counts, stop) = (Arc::<Counts>::default(), Arc::<AtomicBool>::default());
    let mut old = start();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (counts, stop) = (counts.clone(), stop.clone());
            std::thread::spawn(move || {
                let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
                runtime.block_on(async {
                    while !stop.load(Ordering::Relaxed) {
                        one(listen, &counts).await;
                    }
                });
            })
        })
        .collect();
    println!("{HANDOVERS} handovers, {CLIENTS} clients with a connection a request; {} cores", machine());
    println!(
        "{:>4} {:>8} {:>8} {:>7} {:>6} {:>6} {:>11} {:>10}",
        "", "served", "refused", "failed", "door", "lost", "slowest ms", "ends in ms"
    );
    let (mut all, mut door, mut lost, mut worst) = (0, 0, 0, 0);
    for number in 1..=HANDOVERS {
        std::thread::sleep(ALONE);
        let new = start();
        std::thread::sleep(TOGETHER);
        old.terminate();
        let asked = Instant::now();
        let ended = old.ended(asked + LOST);
        let took = asked.elapsed().as_millis();
        std::thread::sleep(ALONE);
        let row = [&counts.served, &counts.refused, &counts.failed, &counts.door, &counts.lost].map(take);
        let slowest = take(&counts.slowest_us) as f64 / 1000.0;
        println!(
            "{number:>4} {:>8} {:>8} {:>7} {:>6} {:>6} {slowest:>11.1} {took:>10}{}",
            row[0],
            row[1],
            row[2],
            row[3],
            row[4],
            if ended.is_some_and(|e| e.success()) { "" } else { "  did not end well" }
        );
        (all, door, lost, worst) =
            (all + row.iter().sum::<usize>(), door + row[3], lost + row[4], worst.max(row[3]));
        old = new;
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().unwrap();
    }
    drop((old, held));
    let _ = std::fs::remove_dir_all(&folder);
    println!("handover: requests = {all}, at a closed door = {door} (worst {worst}), lost = {lost}");
}
