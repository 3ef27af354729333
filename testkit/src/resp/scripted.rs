//! An engine on RESP that follows a script, statement by statement.

use crate::wire::{put_array, take_array};
use crate::{Act, World, rows};
use bytes::{Bytes, BytesMut};
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Rows of one page of a result.
const ROWS_PER_PAGE: usize = 200;

/// Starts an engine of this name that follows the script of `world`.
pub async fn engine(name: &'static str, world: World) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            world.connected(name);
            tokio::spawn(serve(stream, name, world.clone()));
        }
    });
    address
}

fn pages() -> Vec<String> {
    let text = |rows: &[[String; 3]]| rows.iter().map(|row| row.join("\t") + "\n").collect();
    rows().chunks(ROWS_PER_PAGE).map(text).collect()
}

/// What happens to a connection after its answers were written.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Next {
    Continue,
    /// The connection breaks.
    Close,
    /// The connection stays open, and nothing more is sent on it.
    Silence,
}

/// The state of one connection.
struct Connection {
    name: &'static str,
    world: World,
    /// Statements of the attempts that are open, by their ids.
    open: HashMap<Bytes, String>,
    output: BytesMut,
    next: Next,
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
                self.world.gave_up(&statement);
            }
            b"DISCARD" | b"BOOST" => {}
            other => panic!("unknown command {other:?}"),
        }
    }

    fn on_attempt(&mut self, words: &[Bytes]) {
        let id = &words[1];
        let fields = String::from_utf8(words[2].to_vec()).unwrap();
        let statement = String::from_utf8(words[3].to_vec()).unwrap();
        assert!(!statement.contains("route="), "the fields comment was passed on");
        let key = fields.split(',').find_map(|field| field.strip_prefix("dedupe="));
        let act = self.world.act(self.name, &statement, key);
        let is_late_copy = statement.starts_with("TWICE") && self.open.contains_key(id);
        self.open.insert(id.clone(), statement);
        if is_late_copy {
            // The error of the attempt before, once more, after the next one has come in.
            self.answer(id, "500", "-", "");
        }
        self.perform(act, id);
    }

    fn perform(&mut self, act: Act, id: &Bytes) {
        match act {
            Act::Serve => self.serve(id),
            Act::Busy => self.answer(id, "503", "-", ""),
            Act::Error => self.answer(id, "500", "-", ""),
            Act::Hang => {}
            Act::Cut => {
                self.serve(id);
                self.next = Next::Close;
            }
            Act::LoseAck => self.next = Next::Close,
            Act::Spoil(with) => self.spoil(id, with),
            Act::Half => {
                self.serve(id);
                self.output.truncate(self.output.len() / 2);
                self.next = Next::Silence;
            }
            Act::Copy => {
                put_array(&mut self.output, &[b"ffffffffffffffff", b"200", b"-", b"x\ty\tz\n"]);
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

    /// Answers with what can't be read: `ID KIND FIELDS`, or bytes as they are.
    fn spoil(&mut self, id: &Bytes, with: &str) {
        match with.strip_prefix("ID ").and_then(|answer| answer.split_once(' ')) {
            Some((kind, fields)) => {
                if kind == "chunk" {
                    self.serve(id);
                }
                self.answer(id, kind, fields, &pages()[0]);
            }
            None => self.output.extend_from_slice(with.as_bytes()),
        }
    }
}

async fn serve(mut stream: TcpStream, name: &'static str, world: World) {
    let mut buffer = BytesMut::new();
    let (open, output) = (HashMap::new(), BytesMut::new());
    let mut connection = Connection { name, world, open, output, next: Next::Continue };
    loop {
        while let Some(words) = take_array(&mut buffer) {
            connection.on_command(&words);
        }
        let output = std::mem::take(&mut connection.output);
        if stream.write_all(&output).await.is_err() || connection.next == Next::Close {
            return;
        }
        if connection.next == Next::Silence {
            while matches!(stream.read_buf(&mut buffer).await, Ok(length) if length > 0) {
                buffer.clear();
            }
            return;
        }
        if !matches!(stream.read_buf(&mut buffer).await, Ok(length) if length > 0) {
            return;
        }
    }
}
