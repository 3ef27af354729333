//! An engine on RESP that follows a script, statement by statement.

use crate::wire::{put_array, take_array};
use crate::{ScriptedResponse, TestBed, rows};
use bytes::{Bytes, BytesMut};
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Number of rows in a page of a result.
const ROWS_PER_PAGE: usize = 200;
/// A trace id that no attempt uses.
const UNKNOWN_ID: &[u8] = b"ffffffffffffffff";

/// Starts an engine of this name that follows the script of `test_bed`; returns its address.
///
/// # Panics
///
/// If no socket can be bound.
pub async fn start_engine(name: &'static str, test_bed: TestBed) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).unwrap();
            test_bed.record_connection(name);
            tokio::spawn(serve(stream, name, test_bed.clone()));
        }
    });
    address
}

/// The result, as the text of its pages.
fn pages() -> Vec<String> {
    let text = |rows: &[[String; 3]]| rows.iter().map(|row| row.join("\t") + "\n").collect();
    rows().chunks(ROWS_PER_PAGE).map(text).collect()
}

/// Behavior of a connection after its answers were written.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AfterWrite {
    Continue,
    /// The connection is closed.
    Disconnect,
    /// The connection stays open, and no more bytes follow.
    StopSending,
}

/// The state of one connection.
struct Connection {
    name: &'static str,
    test_bed: TestBed,
    /// Statements of the open attempts, by trace id.
    open: HashMap<Bytes, String>,
    output: BytesMut,
    after_write: AfterWrite,
}

impl Connection {
    fn answer(&mut self, id: &Bytes, kind: &str, fields: &str, body: &str) {
        put_array(&mut self.output, &[id, kind.as_bytes(), fields.as_bytes(), body.as_bytes()]);
    }

    fn on_command(&mut self, words: &[Bytes]) {
        let id = &words[1];
        match &words[0][..] {
            b"PULL" => self.on_attempt(words),
            b"SCROLL" => {
                let page: usize = std::str::from_utf8(&words[2]).unwrap().parse().unwrap();
                self.answer(id, "chunk", &format!("index={page}"), &pages()[page]);
            }
            b"KILL" => {
                let statement = self.open.remove(id).unwrap_or_default();
                self.test_bed.record_cancellation(&statement);
            }
            b"DISCARD" | b"BOOST" => {}
            other => panic!("unknown command {other:?}"),
        }
    }

    fn on_attempt(&mut self, words: &[Bytes]) {
        let id = &words[1];
        let fields = String::from_utf8(words[2].to_vec()).unwrap();
        let statement = String::from_utf8(words[3].to_vec()).unwrap();
        assert!(!statement.contains("route="), "the fields comment was forwarded");
        let key = fields.split(',').find_map(|field| field.strip_prefix("dedupe="));
        let response = self.test_bed.receive(self.name, &statement, key);
        let has_earlier_attempt = statement.starts_with("TWICE") && self.open.contains_key(id);
        self.open.insert(id.clone(), statement);
        if has_earlier_attempt {
            // Repeats the previous attempt's error after the next attempt has arrived.
            self.answer(id, "500", "-", "");
        }
        self.respond(response, id);
    }

    fn respond(&mut self, response: ScriptedResponse, id: &Bytes) {
        match response {
            ScriptedResponse::Serve => self.serve(id),
            ScriptedResponse::Busy => self.answer(id, "503", "-", ""),
            ScriptedResponse::Error => self.answer(id, "500", "-", ""),
            ScriptedResponse::Hang => {}
            ScriptedResponse::CutResult => {
                self.serve(id);
                self.after_write = AfterWrite::Disconnect;
            }
            ScriptedResponse::LoseAck => self.after_write = AfterWrite::Disconnect,
            ScriptedResponse::Malformed(bytes) => self.answer_malformed(id, bytes),
            ScriptedResponse::Partial => {
                self.serve(id);
                self.output.truncate(self.output.len() / 2);
                self.after_write = AfterWrite::StopSending;
            }
            ScriptedResponse::Duplicate => {
                put_array(&mut self.output, &[UNKNOWN_ID, b"200", b"-", b"x\ty\tz\n"]);
                self.serve(id);
                self.serve(id);
            }
        }
    }

    /// Answers with the first page.
    fn serve(&mut self, id: &Bytes) {
        let pages = pages();
        let total = pages.len();
        let fields = format!("total={total},elapsed=120.0,rss=64,rep=util:0.2;x0:0.1;queue:0;x1:0.1");
        self.answer(id, "200", &fields, &pages[0]);
    }

    /// Sends an invalid answer: `ID KIND FIELDS` with the attempt's id in place of `ID`, or the bytes unchanged.
    fn answer_malformed(&mut self, id: &Bytes, malformed: &str) {
        match malformed.strip_prefix("ID ").and_then(|answer| answer.split_once(' ')) {
            Some((kind, fields)) => {
                if kind == "chunk" {
                    self.serve(id);
                }
                self.answer(id, kind, fields, &pages()[0]);
            }
            None => self.output.extend_from_slice(malformed.as_bytes()),
        }
    }
}

/// Serves one connection: reads commands, follows the script, and writes the answers.
async fn serve(mut stream: TcpStream, name: &'static str, test_bed: TestBed) {
    let mut input = BytesMut::new();
    let (open, output) = (HashMap::new(), BytesMut::new());
    let mut connection = Connection { name, test_bed, open, output, after_write: AfterWrite::Continue };
    loop {
        while let Some(words) = take_array(&mut input) {
            connection.on_command(&words);
        }
        let output = std::mem::take(&mut connection.output);
        if stream.write_all(&output).await.is_err() || connection.after_write == AfterWrite::Disconnect {
            return;
        }
        if connection.after_write == AfterWrite::StopSending {
            while matches!(stream.read_buf(&mut input).await, Ok(length) if length > 0) {
                input.clear();
            }
            return;
        }
        if !matches!(stream.read_buf(&mut input).await, Ok(length) if length > 0) {
            return;
        }
    }
}
