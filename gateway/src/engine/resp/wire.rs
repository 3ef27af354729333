//! Wire format of the engines: RESP arrays of bulk strings, and the fields and pages in them. Functions without I/O.

use crate::message::{AttemptRequest, Rows};
use bytes::{Bytes, BytesMut};
use reedwalk_scheduler::{LoadReport, ProgressReport, ResourceUsage};
use reedwalk_settings::duration_from_ms;
use std::fmt;
use tokio::time::Instant;

const MAX_STRINGS_PER_ARRAY: usize = 8;
const MAX_STRING_BYTES: usize = 16 * 1024;
/// Maximum length of a `*N` or `$N` line, including its line feed.
const MAX_LENGTH_LINE_BYTES: usize = 16;
/// Every result has this many columns.
const COLUMNS: usize = 3;
/// Maximum number of pages of one result.
pub const MAX_PAGES: u32 = 64;

/// The bytes received are not a valid reply; nothing more can be read from the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidReply(pub &'static str);

impl fmt::Display for InvalidReply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid reply: {}", self.0)
    }
}

impl std::error::Error for InvalidReply {}

/// Reads a `*N` or `$N` line and returns the number and the length of the line in bytes; `None` if it is incomplete.
fn read_length(bytes: &[u8], type_byte: u8, max: usize) -> Result<Option<(usize, usize)>, InvalidReply> {
    match bytes.first() {
        None => return Ok(None),
        Some(&b) if b != type_byte => return Err(InvalidReply("unexpected type byte")),
        Some(_) => {}
    }
    let Some(end) = bytes.iter().take(MAX_LENGTH_LINE_BYTES).position(|b| *b == b'\n') else {
        return if bytes.len() >= MAX_LENGTH_LINE_BYTES {
            Err(InvalidReply("length line is too long"))
        } else {
            Ok(None)
        };
    };
    let digits =
        bytes[1..end].strip_suffix(b"\r").ok_or(InvalidReply("length line does not end with CR LF"))?;
    let number = std::str::from_utf8(digits).ok().filter(|d| d.bytes().all(|b| b.is_ascii_digit()));
    let number = number
        .and_then(|d| d.parse().ok())
        .filter(|n| *n <= max)
        .ok_or(InvalidReply("length is not a number or is too large"))?;
    Ok(Some((number, end + 1)))
}

/// Removes the next array from the front of `buffer`; `None` if it is incomplete.
///
/// # Errors
/// If the bytes are not an array of bulk strings.
pub fn take_array(buffer: &mut BytesMut) -> Result<Option<Vec<Bytes>>, InvalidReply> {
    let Some((count, mut offset)) = read_length(buffer, b'*', MAX_STRINGS_PER_ARRAY)? else {
        return Ok(None);
    };
    let mut ranges = [(0, 0); MAX_STRINGS_PER_ARRAY];
    for range in ranges.iter_mut().take(count) {
        let Some((size, line_length)) = read_length(&buffer[offset..], b'$', MAX_STRING_BYTES)? else {
            return Ok(None);
        };
        let start = offset + line_length;
        match buffer.get(start + size..start + size + 2) {
            Some(b"\r\n") => {}
            Some(_) => return Err(InvalidReply("bulk string does not end with CR LF")),
            None => return Ok(None),
        }
        *range = (start, start + size);
        offset = start + size + 2;
    }
    let array = buffer.split_to(offset).freeze();
    Ok(Some(ranges[..count].iter().map(|range| array.slice(range.0..range.1)).collect()))
}

/// Appends an array of bulk strings to `out`.
pub fn put_array(out: &mut BytesMut, strings: &[&[u8]]) {
    out.extend_from_slice(format!("*{}\r\n", strings.len()).as_bytes());
    for string in strings {
        out.extend_from_slice(format!("${}\r\n", string.len()).as_bytes());
        out.extend_from_slice(string);
        out.extend_from_slice(b"\r\n");
    }
}

/// Appends the command that starts an attempt to `out`.
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

/// The kind of a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyKind {
    /// The query succeeded; the reply holds the first page of its result.
    Ok,
    /// The attempt was rejected and never ran.
    Rejected,
    /// The attempt failed; it may have run.
    Error,
    /// The deadline passed before the attempt ran.
    Expired,
    /// Progress of an attempt that is still running.
    Progress,
    /// A further page of the result.
    Page,
    /// The connection is alive; it says nothing about the attempt.
    Heartbeat,
}

/// One reply of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// Trace id of the attempt.
    pub trace_id: Bytes,
    /// The kind of the reply.
    pub kind: ReplyKind,
    /// Number of pages of the result.
    pub pages: u32,
    /// Number of this page.
    pub page: u32,
    /// Resources that the query used.
    pub usage: Option<ResourceUsage>,
    /// The engine's load.
    pub load: Option<LoadReport>,
    /// Progress of the query, in a progress report.
    pub progress: Option<ProgressReport>,
    /// The rows of the page, as [`read_page`] reads them.
    pub body: Bytes,
}

/// The fields of a reply: `name=value` pairs, separated by commas.
struct Fields<'a>(&'a str);

impl<'a> Fields<'a> {
    fn find(&self, name: &str) -> Option<&'a str> {
        let mut fields = self.0.split(',').filter_map(|field| field.split_once('='));
        fields.find(|field| field.0 == name).map(|field| field.1)
    }

    fn number(&self, name: &str) -> Option<f64> {
        self.find(name)?.parse().ok().filter(|number: &f64| number.is_finite())
    }

    /// A required field: a whole number above 0 with at most nine digits.
    fn positive(&self, name: &'static str) -> Result<u32, InvalidReply> {
        let is_number = |text: &&str| text.len() <= 9 && text.bytes().all(|byte| byte.is_ascii_digit());
        let number = self.find(name).filter(is_number).and_then(|text| text.parse().ok());
        number.filter(|number| *number > 0).ok_or(InvalidReply(name))
    }
}

/// Reads a reply from the strings of its array.
///
/// # Errors
/// If the protocol does not define such a reply.
pub fn read_reply(strings: Vec<Bytes>) -> Result<Reply, InvalidReply> {
    let mut strings = strings.into_iter();
    let (Some(trace_id), Some(kind)) = (strings.next(), strings.next()) else {
        return Err(InvalidReply("array has fewer than two strings"));
    };
    let kind = match &kind[..] {
        b"200" => ReplyKind::Ok,
        b"503" => ReplyKind::Rejected,
        b"500" => ReplyKind::Error,
        b"504" => ReplyKind::Expired,
        b"status" => ReplyKind::Progress,
        b"chunk" => ReplyKind::Page,
        b"alive" => ReplyKind::Heartbeat,
        _ => return Err(InvalidReply("unknown kind of reply")),
    };
    let fields = strings.next().unwrap_or_default();
    let body = strings.next().unwrap_or_default();
    let fields =
        Fields(std::str::from_utf8(&fields).map_err(|_| InvalidReply("fields are not valid UTF-8"))?);
    let progress = match (fields.find("why"), fields.number("datum")) {
        (Some("pct"), Some(done)) => Some(ProgressReport::FractionDone(done)),
        (Some("overflow"), Some(missing)) => Some(ProgressReport::Spilling(missing)),
        (Some("queued"), Some(2.0)) => Some(ProgressReport::WaitingForLoad),
        (Some("queued"), Some(_)) => Some(ProgressReport::WaitingForMemory),
        _ => None,
    };
    let load = fields.find("rep").map(crate::engine::parse_load_report);
    let usage = fields.number("elapsed").filter(|ms| *ms >= 0.0).map(|ms| ResourceUsage {
        work: duration_from_ms(ms),
        memory_mb: fields.number("rss").unwrap_or(0.0).max(0.0),
    });
    Ok(Reply {
        trace_id,
        kind,
        // Without the number of pages, a truncated result could be taken for a complete one.
        pages: if kind == ReplyKind::Ok { fields.positive("total")? } else { 1 },
        page: if kind == ReplyKind::Page { fields.positive("index")? } else { 0 },
        usage,
        load,
        progress,
        body,
    })
}

/// Appends the rows of a page to a result.
///
/// # Errors
/// If a row of the page is incomplete or does not have three columns.
pub fn read_page(page: &Bytes, rows: &mut Rows) -> Result<(), InvalidReply> {
    rows.columns = COLUMNS;
    let mut start = 0;
    let mut column = 1;
    for (position, byte) in page.iter().enumerate() {
        let ends_row = match byte {
            b'\t' => false,
            b'\n' => true,
            _ => continue,
        };
        if ends_row != (column == COLUMNS) {
            return Err(InvalidReply("a row does not have three columns"));
        }
        rows.cells.push(Some(page.slice(start..position)));
        column = if ends_row { 1 } else { column + 1 };
        start = position + 1;
    }
    if start == page.len() && column == 1 { Ok(()) } else { Err(InvalidReply("the last row is incomplete")) }
}
