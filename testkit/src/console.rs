//! A client of the operations console, which takes one command line and gives one answer per connection.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

/// Timeout of [`wait_for_metrics`].
const CONDITION_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two reads of the metrics.
const CONDITION_INTERVAL: Duration = Duration::from_millis(10);
/// The last line of a dump of the metrics.
const END_OF_DUMP: &str = "EOT\n";

/// Sends these bytes and reads until the peer closes; `None` if the connection fails or the answer is empty.
pub async fn send(address: SocketAddr, bytes: &[u8]) -> Option<String> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(bytes).await.ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.ok()?;
    (!answer.is_empty()).then_some(answer)
}

/// Sends one command, as the operators' tools do; returns the answer, empty if there is none.
pub async fn call(address: SocketAddr, line: &str) -> String {
    send(address, format!("{line}\r\n").as_bytes()).await.unwrap_or_default()
}

/// Sends one command; returns whether it was answered with `SUCCESS`.
pub async fn succeeds(address: SocketAddr, line: &str) -> bool {
    call(address, line).await.starts_with("SUCCESS")
}

/// Reads all `svc.*` metrics, by name without the prefix.
///
/// # Panics
///
/// If the dump is incomplete, or one line of it is not a counter or gauge.
pub async fn metrics(address: SocketAddr) -> HashMap<String, u64> {
    let answer = call(address, "DUMP").await;
    let lines = answer.strip_suffix(END_OF_DUMP).unwrap_or_else(|| panic!("incomplete dump: {answer:?}"));
    let parse = |line: &str| parse_metric(line).unwrap_or_else(|| panic!("not a metric: {line}"));
    lines.lines().map(parse).collect()
}

/// The name and value of a line `svc.NAME:VALUE|KIND`, whose kind is `c` (counter) or `g` (gauge).
fn parse_metric(line: &str) -> Option<(String, u64)> {
    let (name, rest) = line.strip_prefix("svc.")?.split_once(':')?;
    let (value, kind) = rest.split_once('|')?;
    matches!(kind, "c" | "g").then_some((name.to_owned(), value.parse().ok()?))
}

/// Polls the metrics until `condition` holds; `description` names the condition in the panic message.
///
/// # Panics
///
/// If the condition does not hold within 10 seconds, or the metrics cannot be parsed.
pub async fn wait_for_metrics(
    address: SocketAddr,
    description: &str,
    condition: impl Fn(&HashMap<String, u64>) -> bool,
) {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    loop {
        let metrics = metrics(address).await;
        if condition(&metrics) {
            return;
        }
        assert!(Instant::now() < deadline, "timed out waiting for {description}: {metrics:?}");
        sleep(CONDITION_INTERVAL).await;
    }
}
