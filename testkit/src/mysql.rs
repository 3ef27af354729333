//! A client of the MySQL protocol, written from its public description.

use crate::Ended;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

static TRACE: AtomicU64 = AtomicU64::new(1);

pub struct Client {
    pub stream: TcpStream,
    pub id: u32,
}

pub fn packet(sequence: u8, payload: &[u8]) -> Vec<u8> {
    let mut out = (payload.len() as u32).to_le_bytes()[..3].to_vec();
    out.push(sequence);
    out.extend_from_slice(payload);
    out
}

pub fn login() -> Vec<u8> {
    login_as("app")
}

pub fn login_as(user: &str) -> Vec<u8> {
    let mut payload = (0x1u32 | 0x8 | 0x200 | 0x8000 | 0x8_0000).to_le_bytes().to_vec();
    payload.extend_from_slice(&(1u32 << 24).to_le_bytes());
    payload.push(45);
    payload.extend_from_slice(&[0; 23]);
    payload.extend_from_slice(user.as_bytes());
    payload.extend_from_slice(b"\0\0analytics\0mysql_native_password\0");
    packet(1, &payload)
}

pub fn query(text: &str) -> Vec<u8> {
    packet(0, &[&[3], text.as_bytes()].concat())
}

/// A statement with its fields before it.
pub fn fields(class: &str, patience: u64, key: Option<&str>, statement: &str) -> String {
    let trace = TRACE.fetch_add(1, Ordering::Relaxed);
    let key = key.map_or(String::new(), |k| format!(",nonce={k}"));
    format!("/* route={class},trace={trace:016x},patience={patience}{key} */ {statement}")
}

impl Client {
    pub async fn connect(address: SocketAddr) -> Self {
        Self::connect_as(address, "app").await
    }

    pub async fn connect_as(address: SocketAddr, user: &str) -> Self {
        Self::try_connect_as(address, user).await.expect("no session")
    }

    /// A session, if there is one to be had.
    pub async fn try_connect_as(address: SocketAddr, user: &str) -> Option<Self> {
        Self::login(TcpStream::connect(address).await.ok()?, user).await
    }

    /// A session on a connection that stands, if there is one to be had.
    pub async fn login(mut stream: TcpStream, user: &str) -> Option<Self> {
        // Before the greeting is read, as the protocol page allows.
        stream.write_all(&login_as(user)).await.ok()?;
        let mut client = Self { stream, id: 0 };
        let greeting = client.read().await?;
        let version = greeting.iter().position(|b| *b == 0)? + 1;
        client.id = u32::from_le_bytes(greeting.get(version..version + 4)?.try_into().ok()?);
        (client.read().await?[0] == 0).then_some(client)
    }

    /// The next packet; none if the connection ended.
    pub async fn read(&mut self) -> Option<Vec<u8>> {
        let mut head = [0; 4];
        self.stream.read_exact(&mut head).await.ok()?;
        let size = u32::from_le_bytes([head[0], head[1], head[2], 0]) as usize;
        let mut payload = vec![0; size];
        self.stream.read_exact(&mut payload).await.ok()?;
        Some(payload)
    }

    /// Reads an answer: its rows, or its error's code and text.
    pub async fn answer(&mut self) -> Result<Vec<Vec<String>>, (u16, String)> {
        let first = self.read().await.expect("no answer");
        self.rest(first).await
    }

    /// Sends a query and reads its answer; none where the connection ends before one begins.
    pub async fn try_ask(&mut self, text: &str) -> Option<Result<Vec<Vec<String>>, (u16, String)>> {
        self.stream.write_all(&query(text)).await.ok()?;
        let first = self.read().await?;
        Some(self.rest(first).await)
    }

    async fn rest(&mut self, first: Vec<u8>) -> Result<Vec<Vec<String>>, (u16, String)> {
        match first[0] {
            0 => return Ok(Vec::new()),
            0xff => {
                let code = u16::from_le_bytes([first[1], first[2]]);
                return Err((code, String::from_utf8_lossy(&first[9..]).into_owned()));
            }
            _ => {}
        }
        for _ in 0..first[0] {
            self.read().await.unwrap();
        }
        assert_eq!(self.read().await.unwrap()[0], 0xfe);
        let mut rows = Vec::new();
        loop {
            let row = self.read().await.expect("the result is cut");
            if row[0] == 0xfe && row.len() == 5 {
                return Ok(rows);
            }
            let (mut cells, mut at) = (Vec::new(), 0);
            while at < row.len() {
                let size = row[at] as usize;
                cells.push(String::from_utf8(row[at + 1..at + 1 + size].to_vec()).unwrap());
                at += 1 + size;
            }
            rows.push(cells);
        }
    }

    /// Sends a query and does not wait for its answer.
    pub async fn stream_query(&mut self, text: &str) {
        self.stream.write_all(&query(text)).await.unwrap();
    }

    pub async fn ask(&mut self, text: &str) -> Result<Vec<Vec<String>>, (u16, String)> {
        self.stream.write_all(&query(text)).await.unwrap();
        self.answer().await
    }

    pub async fn ended(&mut self, text: &str) -> Ended {
        match self.ask(text).await {
            Ok(_) => Ended::Served,
            Err((code @ (1040 | 1203 | 1226), text)) => {
                let why = if code == 1040 {
                    "SHED"
                } else if code == 1203 {
                    "BUSY"
                } else if text.contains("budget") {
                    "BUDGET"
                } else {
                    "CONTRACT"
                };
                Ended::Refused(why, text.contains("pause="))
            }
            Err((1064, _)) => Ended::BadInput,
            Err((3024, _)) => Ended::Failed("DEADLINE"),
            Err(_) => Ended::Failed("ENGINE"),
        }
    }
}

/// The rows that the stand-ins serve, as this client reads them.
pub fn expected() -> Vec<Vec<String>> {
    crate::rows().into_iter().map(|r| r.to_vec()).collect()
}
