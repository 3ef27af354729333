//! The engines' wire: RESP arrays of bulk strings, their fields and pages. Pure functions over bytes.

use crate::message::{AttemptRequest, Rows};
use bytes::{Bytes, BytesMut};
use reedwalk_scheduler::{LoadReport, ProgressReport, ResourceUsage};
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// Words in an array, and bytes in a word, at most.
const WORDS_MOST: usize = 8;
const WORD_MOST: usize = 16 * 1024;
/// Bytes of a length line at most.
const LINE_MOST: usize = 16;
/// Columns of a result.
const COLUMNS: usize = 3;
/// Pages of one result at most.
pub const PAGES_MOST: u32 = 64;

/// Bytes that are no answer; the connection can't be read any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadAnswer(pub &'static str);

impl fmt::Display for BadAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "bad answer: {}", self.0)
    }
}

impl std::error::Error for BadAnswer {}

/// Reads a `*N` or `$N` line: the number and the bytes it took. `None` if it has not all come.
fn length(bytes: &[u8], mark: u8, most: usize) -> Result<Option<(usize, usize)>, BadAnswer> {
    match bytes.first() {
        None => return Ok(None),
        Some(&b) if b != mark => return Err(BadAnswer("unexpected type")),
        Some(_) => {}
    }
    let Some(end) = bytes.iter().take(LINE_MOST).position(|b| *b == b'\n') else {
        return if bytes.len() >= LINE_MOST { Err(BadAnswer("endless length")) } else { Ok(None) };
    };
    let digits = bytes[1..end].strip_suffix(b"\r").ok_or(BadAnswer("no CR"))?;
    let number = std::str::from_utf8(digits).ok().filter(|d| d.bytes().all(|b| b.is_ascii_digit()));
    let number = number.and_then(|d| d.parse().ok()).filter(|n| *n <= most).ok_or(BadAnswer("bad length"))?;
    Ok(Some((number, end + 1)))
}

/// Takes the next whole array off the front of `buffer`; `None` if it has not all come.
///
/// # Errors
/// Where the bytes are no array of bulk strings.
pub fn take_array(buffer: &mut BytesMut) -> Result<Option<Vec<Bytes>>, BadAnswer> {
    let Some((count, mut at)) = length(buffer, b'*', WORDS_MOST)? else { return Ok(None) };
    let mut spans = [(0, 0); WORDS_MOST];
    for span in spans.iter_mut().take(count) {
        let Some((size, head)) = length(&buffer[at..], b'$', WORD_MOST)? else { return Ok(None) };
        let start = at + head;
        match buffer.get(start + size..start + size + 2) {
            Some(b"\r\n") => {}
            Some(_) => return Err(BadAnswer("word not ended")),
            None => return Ok(None),
        }
        *span = (start, start + size);
        at = start + size + 2;
    }
    let whole = buffer.split_to(at).freeze();
    Ok(Some(spans[..count].iter().map(|s| whole.slice(s.0..s.1)).collect()))
}

/// Writes an array of bulk strings.
pub fn put_array(out: &mut BytesMut, words: &[&[u8]]) {
    out.extend_from_slice(format!("*{}\r\n", words.len()).as_bytes());
    for word in words {
        out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
}

/// Writes the command that starts an attempt.
pub fn put_attempt(out: &mut BytesMut, attempt: &AttemptRequest, lane: &str, now: Instant) {
    let ttl = attempt.deadline.saturating_duration_since(now).as_millis();
    let mut fields = format!("lane={lane},ttl={ttl},band={}", attempt.priority);
    if let Some(memory) = attempt.memory_mb.filter(|m| *m > 0.0) {
        fields.push_str(&format!(",pool={}", memory.ceil()));
    }
    let mut fields = fields.into_bytes();
    if let Some(idempotency_key) = &attempt.idempotency_key {
        fields.extend_from_slice(b",dedupe=");
        fields.extend_from_slice(idempotency_key);
    }
    put_array(out, &[b"PULL", &attempt.trace_id, &fields, &attempt.statement]);
}

/// The word of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// Served: the first page.
    Ok,
    /// Turned away unseen.
    Full,
    /// Failed; it may have run.
    Error,
    /// Over before it began.
    Over,
    /// A note on what still runs.
    Status,
    /// A further page.
    Chunk,
    /// The connection works.
    Alive,
}

/// One answer, with the fields that are known.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The id that it answers.
    pub id: Bytes,
    /// What it says.
    pub word: Word,
    /// Number of all pages.
    pub pages: u32,
    /// Number of this page.
    pub page: u32,
    /// What the query had cost.
    pub bill: Option<ResourceUsage>,
    /// The engine's load.
    pub load: Option<LoadReport>,
    /// A note, where it holds one.
    pub note: Option<ProgressReport>,
    /// The page.
    pub body: Bytes,
}

/// Reads an answer from its words.
///
/// # Errors
/// Where it is none that the protocol knows.
pub fn read_reply(words: Vec<Bytes>) -> Result<Reply, BadAnswer> {
    let mut words = words.into_iter();
    let (Some(id), Some(word)) = (words.next(), words.next()) else { return Err(BadAnswer("too short")) };
    let word = match &word[..] {
        b"200" => Word::Ok,
        b"503" => Word::Full,
        b"500" => Word::Error,
        b"504" => Word::Over,
        b"status" => Word::Status,
        b"chunk" => Word::Chunk,
        b"alive" => Word::Alive,
        _ => return Err(BadAnswer("unknown word")),
    };
    let fields = words.next().unwrap_or_default();
    let body = words.next().unwrap_or_default();
    let fields = std::str::from_utf8(&fields).map_err(|_| BadAnswer("fields are no text"))?;
    let find =
        |name: &str| fields.split(',').find_map(|f| f.split_once('=').filter(|f| f.0 == name)).map(|f| f.1);
    let number = |name: &str| find(name).and_then(|v| v.parse::<f64>().ok()).filter(|v| v.is_finite());
    let whole = |name: &'static str| {
        let digits = find(name).filter(|v| v.len() <= 9 && v.bytes().all(|b| b.is_ascii_digit()));
        digits.and_then(|v| v.parse::<u32>().ok()).filter(|n| *n > 0).ok_or(BadAnswer(name))
    };
    let value = number("datum");
    let note = match (find("why"), value) {
        (Some("pct"), Some(done)) => Some(ProgressReport::Done(done)),
        (Some("overflow"), Some(missing)) => Some(ProgressReport::Spilling(missing)),
        (Some("queued"), Some(2.0)) => Some(ProgressReport::WaitingForLoad),
        (Some("queued"), Some(_)) => Some(ProgressReport::WaitingForMemory),
        _ => None,
    };
    let load = find("rep").map(crate::engine::read_load);
    let bill = number("elapsed").filter(|ms| *ms >= 0.0).map(|ms| ResourceUsage {
        work: Duration::from_micros((ms * 1000.0).min(1e15) as u64),
        memory_mb: number("rss").unwrap_or(0.0).max(0.0),
    });
    Ok(Reply {
        id,
        word,
        // Without its number of pages a result could be cut and taken for whole.
        pages: if word == Word::Ok { whole("total")? } else { 1 },
        page: if word == Word::Chunk { whole("index")? } else { 0 },
        bill,
        load,
        note,
        body,
    })
}

/// Adds a page's rows to a result.
///
/// # Errors
/// Where it does not hold whole rows of three columns.
pub fn read_page(page: &Bytes, rows: &mut Rows) -> Result<(), BadAnswer> {
    rows.columns = COLUMNS;
    let mut start = 0;
    let mut column = 1;
    for (at, byte) in page.iter().enumerate() {
        let ends_row = match byte {
            b'\t' => false,
            b'\n' => true,
            _ => continue,
        };
        if ends_row != (column == COLUMNS) {
            return Err(BadAnswer("a row has not three columns"));
        }
        rows.cells.push(Some(page.slice(start..at)));
        column = if ends_row { 1 } else { column + 1 };
        start = at + 1;
    }
    if start == page.len() && column == 1 { Ok(()) } else { Err(BadAnswer("a row is cut")) }
}
