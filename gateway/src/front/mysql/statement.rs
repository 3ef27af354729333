//! What a statement's text tells: the fields comment, the group of tables, KILL QUERY. Pure functions.

use crate::front::{MEMORY_MOST, WORK_MOST};
use bytes::Bytes;
use std::fmt;

/// Longest value of a field that is passed on.
const VALUE_MOST: usize = 128;
/// More than a day of patience, in milliseconds, is none.
const PATIENCE_MOST: u64 = 86_400_000;

/// The fields of a request, as they stand in the comment before its statement.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fields {
    /// The class's name.
    pub route: String,
    /// The request's id.
    pub trace: String,
    /// How long the client waits, in milliseconds.
    pub patience_ms: u64,
    /// The client has tried before.
    pub redo: bool,
    /// Idempotency key.
    pub nonce: Option<String>,
    /// Estimate of the work in milliseconds.
    pub weight_ms: Option<f64>,
    /// Estimate of the memory in MB.
    pub space_mb: Option<f64>,
}

/// Why a statement's fields can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BadFields {
    /// No comment before the statement carries fields.
    Missing,
    /// This field is not there.
    Absent(&'static str),
    /// This field makes no sense.
    Unsound(&'static str),
    /// There is no class of this name.
    NoSuchClass(String),
}

impl fmt::Display for BadFields {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing => write!(f, "no comment before the statement carries its fields"),
            Self::Absent(field) => write!(f, "the field '{field}' is missing"),
            Self::Unsound(field) => write!(f, "the field '{field}' makes no sense"),
            Self::NoSuchClass(name) => write!(f, "there is no class '{name}'"),
        }
    }
}

impl std::error::Error for BadFields {}

/// Reads the fields' text, as it stands between the comment's marks.
///
/// # Errors
/// Names the first field that is missing or makes no sense.
pub fn read_fields(text: &str) -> Result<Fields, BadFields> {
    let mut fields = Fields::default();
    let mut patience = None;
    for field in text.split(',') {
        let Some((name, value)) = field.split_once('=') else { continue };
        let (name, value) = (name.trim(), value.trim());
        let plain = value.len() <= VALUE_MOST && value.bytes().all(|b| b.is_ascii_graphic());
        let number = |name, most| {
            let number = value.parse::<f64>().ok().filter(|v| (0.0..=most).contains(v));
            number.map(Some).ok_or(BadFields::Unsound(name))
        };
        match name {
            "route" if plain => fields.route = value.to_owned(),
            "trace" => fields.trace = value.to_owned(),
            "patience" => {
                let ms = value.parse().ok().filter(|ms| (1..=PATIENCE_MOST).contains(ms));
                patience = Some(ms.ok_or(BadFields::Unsound("patience"))?);
            }
            "redo" => fields.redo = value == "1",
            "nonce" if plain && !value.is_empty() => fields.nonce = Some(value.to_owned()),
            "nonce" => return Err(BadFields::Unsound("nonce")),
            "weight" => fields.weight_ms = number("weight", WORK_MOST)?,
            "space" => fields.space_mb = number("space", MEMORY_MOST)?,
            _ => {}
        }
    }
    if fields.route.is_empty() {
        return Err(BadFields::Absent("route"));
    }
    if fields.trace.is_empty() {
        return Err(BadFields::Absent("trace"));
    }
    if fields.trace.len() != 16 || !fields.trace.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(BadFields::Unsound("trace"));
    }
    fields.patience_ms = patience.ok_or(BadFields::Absent("patience"))?;
    Ok(fields)
}

/// Takes the fields comment off a statement; other comments stay where they are.
///
/// # Errors
/// Where there is none before the statement, or its fields can't be used.
pub fn take_fields(statement: &Bytes) -> Result<(Fields, Bytes), BadFields> {
    let mut at = 0;
    loop {
        at += statement[at..].iter().take_while(|b| b.is_ascii_whitespace()).count();
        let Some(end) = comment(&statement[at..]) else { return Err(BadFields::Missing) };
        let inner = statement[at..at + end].strip_prefix(b"/*").and_then(|c| c.strip_suffix(b"*/"));
        let carries = |text: &str| text.split(',').any(|f| f.trim_start().starts_with("route="));
        if let Some(text) = inner.and_then(|c| std::str::from_utf8(c).ok()).filter(|t| carries(t)) {
            let fields = read_fields(text)?;
            let rest = statement[at + end..].iter().take_while(|b| b.is_ascii_whitespace()).count();
            let rest = statement.slice(at + end + rest..);
            let before = statement[..at].trim_ascii_start();
            let whole = if before.is_empty() { rest } else { [before, &rest].concat().into() };
            return Ok((fields, whole));
        }
        at += end;
    }
}

/// Length of the comment that `text` begins with, if it does.
fn comment(text: &[u8]) -> Option<usize> {
    let line = || Some(text.iter().position(|b| *b == b'\n').map_or(text.len(), |p| p + 1));
    match text {
        [b'/', b'*', ..] => text.windows(2).skip(2).position(|w| w == b"*/").map(|p| p + 4),
        [b'#', ..] => line(),
        [b'-', b'-'] => line(),
        [b'-', b'-', c, ..] if c.is_ascii_whitespace() => line(),
        _ => None,
    }
}

/// Length of the string in these quotes that `text` begins with; a quote twice or behind a backslash stays in it.
fn quoted(text: &[u8], quote: u8) -> usize {
    let mut at = 1;
    while at < text.len() {
        if text[at] == b'\\' && quote != b'`' {
            at += 2;
        } else if text[at] != quote {
            at += 1;
        } else if text.get(at + 1) == Some(&quote) {
            at += 2;
        } else {
            return at + 1;
        }
    }
    text.len()
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Token<'a> {
    Name(&'a [u8]),
    Other(u8),
}

fn tokens(text: &[u8]) -> impl Iterator<Item = Token<'_>> {
    let mut at = 0;
    std::iter::from_fn(move || {
        while at < text.len() {
            let rest = &text[at..];
            let first = rest[0];
            if let Some(size) = comment(rest) {
                at += size;
            } else if rest.starts_with(b"/*") {
                at = text.len();
            } else if first == b'\'' || first == b'"' {
                at += quoted(rest, first);
                return Some(Token::Other(first));
            } else if first == b'`' {
                let size = quoted(rest, b'`');
                at += size;
                return Some(Token::Name(rest[1..size].strip_suffix(b"`").unwrap_or_default()));
            } else if first.is_ascii_whitespace() {
                at += 1;
            } else {
                let named = |b: &&u8| b.is_ascii_alphanumeric() || matches!(**b, b'_' | b'$' | 0x80..);
                let size = rest.iter().take_while(named).count();
                at += size.max(1);
                return Some(if size > 0 { Token::Name(&rest[..size]) } else { Token::Other(first) });
            }
        }
        None
    })
}

/// The number after the last underscore of a schema's name; the schema for staging has none that counts.
fn number(schema: &[u8]) -> Option<u64> {
    if schema.eq_ignore_ascii_case(b"staging") {
        return None;
    }
    let place = schema.iter().rposition(|b| *b == b'_').filter(|p| *p > 0)?;
    let digits = std::str::from_utf8(&schema[place + 1..]).ok()?;
    digits.parse().ok().filter(|_| digits.bytes().all(|b| b.is_ascii_digit()))
}

/// The group of tables that a statement reads or writes: the number in its schema's name. Names in strings and
/// comments do not count; a name where a table stands counts before one that may be an alias.
pub fn group(statement: &[u8]) -> Option<u64> {
    let tokens: Vec<_> = tokens(statement).collect();
    let mut other = None;
    for (at, three) in tokens.windows(3).enumerate() {
        let [Token::Name(schema), Token::Other(b'.'), Token::Name(_)] = three else { continue };
        let before = at.checked_sub(1).map(|b| tokens[b]);
        if before == Some(Token::Other(b'.')) {
            continue;
        }
        let Some(found) = number(schema) else { continue };
        let table = [&b"from"[..], b"into", b"join", b"update", b"table"];
        if matches!(before, Some(Token::Name(b)) if table.iter().any(|t| b.eq_ignore_ascii_case(t))) {
            return Some(found);
        }
        other = other.or(Some(found));
    }
    other
}

/// The connection that a `KILL QUERY` names.
pub fn kill_query(statement: &[u8]) -> Option<u32> {
    let mut tokens = tokens(statement);
    let mut word = || match tokens.next() {
        Some(Token::Name(name)) => Some(name),
        _ => None,
    };
    let kill = word()?.eq_ignore_ascii_case(b"kill") && word()?.eq_ignore_ascii_case(b"query");
    let id = word().filter(|_| kill)?;
    std::str::from_utf8(id).ok()?.parse().ok()
}
