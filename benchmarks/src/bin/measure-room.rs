//! Memory that a front end holds for those who connect and ask nothing: `make measure-room`.
//!
//! A crowd comes in steps, and after each the process's resident memory is read. What is given is the slope of a
//! line through all steps, so that what the program holds with nobody there is not counted.

use reedwalk_benchmarks::{Front, Setup, apart, machine};
use reedwalk_testkit::config::known;
use reedwalk_testkit::mysql::{Client, fields, query};
use reedwalk_testkit::request_log::Record;
use reedwalk_testkit::resp::modelled;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};

/// Sessions of a step, and steps: under the places of a front end with 1,024 descriptors.
const STEP: usize = 40;
const STEPS: usize = 4;
/// A crowd is read this soon after it came: before any of it is closed for saying nothing more.
const READ_AFTER: Duration = Duration::from_millis(300);
/// Bytes of a statement, and how many of them are sent.
const WHOLE: usize = 8 * 1024;
const HALF: usize = 4 * 1024;

#[derive(Clone, Copy, Debug)]
enum Guest {
    Silent,
    HalfLogin,
    Idle,
    Asked,
    HalfStatement,
}

/// One that stays as it is; none where it was not let in.
async fn guest(address: SocketAddr, kind: Guest) -> Option<TcpStream> {
    match kind {
        Guest::Silent => TcpStream::connect(address).await.ok(),
        Guest::HalfLogin => {
            let mut stream = TcpStream::connect(address).await.ok()?;
            stream.write_all(&[60, 0, 0, 1, 0x0d]).await.ok()?;
            Some(stream)
        }
        Guest::Idle => Some(Client::try_connect_as(address, "app").await?.stream),
        Guest::Asked => {
            let mut client = Client::try_connect_as(address, "app").await?;
            client.try_ask(&fields("lookup", 3000, None, "SELECT 1")).await?.ok()?;
            Some(client.stream)
        }
        Guest::HalfStatement => {
            let mut stream = Client::try_connect_as(address, "app").await?.stream;
            let text = fields("lookup", 3000, None, &format!("SELECT {}", "1".repeat(WHOLE)));
            stream.write_all(&query(&text)[..HALF]).await.ok()?;
            Some(stream)
        }
    }
}

/// Slope of the least-squares line through these points.
fn slope(points: &[(f64, f64)]) -> f64 {
    let n = points.len() as f64;
    let (x, y) = points.iter().fold((0.0, 0.0), |sum, p| (sum.0 + p.0 / n, sum.1 + p.1 / n));
    let (over, under) = points
        .iter()
        .fold((0.0, 0.0), |sum, p| (sum.0 + (p.0 - x) * (p.1 - y), sum.1 + (p.0 - x) * (p.0 - x)));
    over / under
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    println!("memory of a front end with 1,024 descriptors; {} cores", machine());
    println!("{:<16} {:>8} {:>12} {:>14}", "guest", "let in", "KB a guest", "KB with all");
    for kind in [Guest::Silent, Guest::HalfLogin, Guest::Idle, Guest::Asked, Guest::HalfStatement] {
        let engine = apart(|| async { modelled("e", None, Record::default()).await.address });
        let front = Front::start(&Setup { known: known(&[engine]), ..Setup::default() });
        // The first guest of its kind brings what all of them share.
        let mut here = vec![guest(front.address, kind).await];
        let mut points = Vec::new();
        for _ in 0..STEPS {
            for _ in 0..STEP {
                here.push(guest(front.address, kind).await);
            }
            sleep_until(Instant::now() + READ_AFTER).await;
            points.push((here.iter().flatten().count() as f64, front.resident_kb()));
        }
        let (count, last) = points[STEPS - 1];
        println!("{:<16} {count:>8} {:>12.2} {last:>14.0}", format!("{kind:?}"), slope(&points));
    }
}
