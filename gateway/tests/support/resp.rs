//! A stand-in engine on RESP, written from the protocol page.

use super::{Act, World, rows};
use bytes::{Bytes, BytesMut};
use reedwalk_gateway::engine::resp::wire::{put_array, take_array};
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

pub async fn engine(name: &'static str, world: World) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, name, world.clone()));
        }
    });
    address
}

fn pages() -> Vec<String> {
    rows().chunks(200).map(|c| c.iter().map(|r| r.join("\t") + "\n").collect()).collect()
}

async fn serve(mut stream: TcpStream, name: &'static str, world: World) {
    let (mut buffer, mut open) = (BytesMut::new(), HashMap::<Bytes, String>::new());
    loop {
        let mut out = BytesMut::new();
        let (mut cut, mut half) = (false, false);
        while let Some(words) = take_array(&mut buffer).unwrap() {
            let id = words[1].clone();
            match &words[0][..] {
                b"PULL" => {
                    let fields = String::from_utf8(words[2].to_vec()).unwrap();
                    let statement = String::from_utf8(words[3].to_vec()).unwrap();
                    assert!(!statement.contains("route="), "the fields comment was passed on");
                    let key = fields.split(',').find_map(|f| f.strip_prefix("dedupe="));
                    let act = world.act(name, &statement, key);
                    open.insert(id.clone(), statement);
                    let total = pages().len();
                    let ok = format!("total={total},elapsed=120.0,rss=64,rep=util:0.2;x0:0.1;queue:0;x1:0.1");
                    let first = pages()[0].clone();
                    let mut answer = |word: &str, fields: &str, body: &str| {
                        put_array(&mut out, &[&id, word.as_bytes(), fields.as_bytes(), body.as_bytes()])
                    };
                    match act {
                        Act::Serve => answer("200", &ok, &first),
                        Act::Busy => answer("503", "-", ""),
                        Act::Error => answer("500", "-", ""),
                        Act::Hang => {}
                        Act::Cut => {
                            answer("200", &ok, &first);
                            cut = true;
                        }
                        Act::LoseAck => cut = true,
                        Act::Spoil(with) => match with.strip_prefix("ID ").and_then(|w| w.split_once(' ')) {
                            Some((word, fields)) => {
                                if word == "chunk" {
                                    answer("200", &ok, &first);
                                }
                                answer(word, fields, &first);
                            }
                            None => out.extend_from_slice(with.as_bytes()),
                        },
                        Act::Half => {
                            answer("200", &ok, &first);
                            out.truncate(out.len() / 2);
                            half = true;
                        }
                        Act::Copy => {
                            put_array(&mut out, &[b"ffffffffffffffff", b"200", b"-", b"x\ty\tz\n"]);
                            put_array(&mut out, &[&id, b"200", ok.as_bytes(), first.as_bytes()]);
                            put_array(&mut out, &[&id, b"200", ok.as_bytes(), first.as_bytes()]);
                        }
                    }
                }
                b"SCROLL" => {
                    let page: usize = std::str::from_utf8(&words[2]).unwrap().parse().unwrap();
                    let index = format!("index={page}");
                    put_array(&mut out, &[&id, b"chunk", index.as_bytes(), pages()[page].as_bytes()]);
                }
                b"KILL" => {
                    let statement = open.remove(&id).unwrap_or_default();
                    world.gave_up(&statement);
                }
                b"DISCARD" | b"BOOST" => {}
                other => panic!("unknown command {other:?}"),
            }
        }
        if stream.write_all(&out).await.is_err() || cut {
            return;
        }
        if half {
            // The connection stays open, and nothing more comes on it.
            while matches!(stream.read_buf(&mut buffer).await, Ok(n) if n > 0) {
                buffer.clear();
            }
            return;
        }
        if !matches!(stream.read_buf(&mut buffer).await, Ok(n) if n > 0) {
            return;
        }
    }
}
