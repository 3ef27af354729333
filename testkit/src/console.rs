//! An operator's tool: one line, one answer, a connection each.

use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends these bytes and reads until the other side closes; none where nothing listens or nothing is answered.
pub async fn send(address: SocketAddr, bytes: &[u8]) -> Option<String> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(bytes).await.ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.ok()?;
    (!answer.is_empty()).then_some(answer)
}

/// One call, as the operators' tools send it.
pub async fn call(address: SocketAddr, line: &str) -> String {
    send(address, format!("{line}\r\n").as_bytes()).await.unwrap_or_default()
}

/// Was it answered with yes?
pub async fn yes(address: SocketAddr, line: &str) -> bool {
    call(address, line).await.starts_with("SUCCESS")
}

/// The figures, by name; panics where one is not in the form that is expected.
pub async fn figures(address: SocketAddr) -> HashMap<String, u64> {
    let answer = call(address, "DUMP").await;
    let lines = answer.strip_suffix("EOT\n").unwrap_or_else(|| panic!("no end: {answer:?}"));
    let figure = |line: &str| {
        let (name, rest) = line.strip_prefix("svc.")?.split_once(':')?;
        let (value, kind) = rest.split_once('|')?;
        matches!(kind, "c" | "g").then_some((name.to_owned(), value.parse().ok()?))
    };
    lines.lines().map(|line| figure(line).unwrap_or_else(|| panic!("no figure: {line}"))).collect()
}

/// Asks for the figures again and again until they are as wanted.
pub async fn shows(address: SocketAddr, what: &str, seen: impl Fn(&HashMap<String, u64>) -> bool) {
    let by = tokio::time::Instant::now() + std::time::Duration::from_secs(10);
    loop {
        let figures = figures(address).await;
        if seen(&figures) {
            return;
        }
        assert!(tokio::time::Instant::now() < by, "{what} never showed: {figures:?}");
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
}
