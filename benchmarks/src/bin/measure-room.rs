//! Measures the memory that a gateway uses for idle clients: `make measure-room`.
//!
//! Clients connect in steps, and the resident memory of the process is read after each step. The result is the slope of a
//! line fitted to all steps, so that memory used without clients is not counted.

use reedwalk_benchmarks::{Gateway, GatewaySetup, core_count, run_on_own_thread};
use reedwalk_testkit::config::initial_endpoints;
use reedwalk_testkit::mysql::{Client, fields, query_packet};
use reedwalk_testkit::request_log::RequestLog;
use reedwalk_testkit::resp::start_modelled_engine;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};

/// Clients per step and number of steps; together they stay below the session slots of a gateway with 1,024 descriptors.
const CLIENTS_PER_STEP: usize = 40;
const STEPS: usize = 4;
/// Delay between a step and reading the memory; short enough that no client has reached its idle timeout.
const READ_DELAY: Duration = Duration::from_millis(300);
/// Length of a statement, and the part of it that is sent, in bytes.
const STATEMENT_BYTES: usize = 8 * 1024;
const SENT_STATEMENT_BYTES: usize = 4 * 1024;
/// The first five bytes of a login packet of 60 bytes.
const LOGIN_PREFIX: [u8; 5] = [60, 0, 0, 1, 0x0d];

/// How far a client proceeds before it goes idle.
#[derive(Clone, Copy, Debug)]
enum ClientKind {
    /// Connects and sends nothing.
    Silent,
    /// Sends part of the login packet.
    HalfLogin,
    /// Logs in.
    Idle,
    /// Logs in and receives the answer to one query.
    Queried,
    /// Logs in and sends part of a statement.
    HalfStatement,
}

const CLIENT_KINDS: [ClientKind; 5] = [
    ClientKind::Silent,
    ClientKind::HalfLogin,
    ClientKind::Idle,
    ClientKind::Queried,
    ClientKind::HalfStatement,
];

/// Connects a client of this kind; returns `None` if it was rejected.
async fn connect(address: SocketAddr, kind: ClientKind) -> Option<TcpStream> {
    match kind {
        ClientKind::Silent => TcpStream::connect(address).await.ok(),
        ClientKind::HalfLogin => {
            let mut stream = TcpStream::connect(address).await.ok()?;
            stream.write_all(&LOGIN_PREFIX).await.ok()?;
            Some(stream)
        }
        ClientKind::Idle => Some(Client::try_connect_as(address, "app").await?.stream),
        ClientKind::Queried => {
            let mut client = Client::try_connect_as(address, "app").await?;
            client.try_query(&fields("lookup", 3000, None, "SELECT 1")).await?.ok()?;
            Some(client.stream)
        }
        ClientKind::HalfStatement => {
            let mut stream = Client::try_connect_as(address, "app").await?.stream;
            let statement = format!("SELECT {}", "1".repeat(STATEMENT_BYTES));
            let packet = query_packet(&fields("lookup", 3000, None, &statement));
            stream.write_all(&packet[..SENT_STATEMENT_BYTES]).await.ok()?;
            Some(stream)
        }
    }
}

/// Slope of the least-squares line through these points.
fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x / count).sum::<f64>();
    let mean_y = points.iter().map(|(_, y)| y / count).sum::<f64>();
    let covariance = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>();
    let variance = points.iter().map(|(x, _)| (x - mean_x) * (x - mean_x)).sum::<f64>();
    covariance / variance
}

/// Measures clients of one kind, and prints a row.
async fn measure(kind: ClientKind) {
    let engine =
        run_on_own_thread(|| async { start_modelled_engine("e", None, RequestLog::default()).await.address });
    let gateway =
        Gateway::start(&GatewaySetup { endpoints: initial_endpoints(&[engine]), ..GatewaySetup::default() });
    // The first client triggers allocations that all clients of a kind share.
    let mut clients = vec![connect(gateway.address, kind).await];
    let mut points = Vec::new();
    for _ in 0..STEPS {
        for _ in 0..CLIENTS_PER_STEP {
            clients.push(connect(gateway.address, kind).await);
        }
        sleep_until(Instant::now() + READ_DELAY).await;
        let connected = clients.iter().flatten().count() as f64;
        points.push((connected, gateway.resident_kb()));
    }
    let (connected, resident_kb) = points[STEPS - 1];
    println!("{:<16} {connected:>8} {:>12.2} {resident_kb:>14.0}", format!("{kind:?}"), slope(&points));
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    println!("memory of a gateway with 1,024 descriptors; {} cores", core_count());
    println!("{:<16} {:>8} {:>12} {:>14}", "client", "accepted", "KB a client", "KB with all");
    for kind in CLIENT_KINDS {
        measure(kind).await;
    }
}
