//! The fields of a request, in a comment before its statement. Pure functions.

use crate::front::sql::comment_length;
use crate::front::{MAX_MEMORY_MB, MAX_WORK_MS, is_trace_id};
use bytes::Bytes;
use std::fmt;

/// Longest value of a field that is passed on.
const MAX_FIELD_BYTES: usize = 128;
/// The longest timeout that is taken, in milliseconds: a day.
const MAX_TIMEOUT_MS: u64 = 86_400_000;

/// The fields of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fields {
    /// The class's name; `route` on the wire.
    pub class: String,
    /// The request's id; `trace` on the wire.
    pub trace: String,
    /// How long the client waits, in milliseconds; `patience` on the wire.
    pub timeout_ms: u64,
    /// The client has tried before; `redo` on the wire.
    pub is_retry: bool,
    /// Idempotency key; `nonce` on the wire.
    pub idempotency_key: Option<String>,
    /// Estimate of the work in milliseconds; `weight` on the wire.
    pub work_ms: Option<f64>,
    /// Estimate of the memory in MB; `space` on the wire.
    pub memory_mb: Option<f64>,
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
    let mut timeout_ms = None;
    for field in text.split(',') {
        let Some((name, value)) = field.split_once('=') else { continue };
        let (name, value) = (name.trim(), value.trim());
        match name {
            "route" if is_plain(value) => fields.class = value.to_owned(),
            "trace" => fields.trace = value.to_owned(),
            "patience" => timeout_ms = Some(read_timeout_ms(value)?),
            "redo" => fields.is_retry = value == "1",
            "nonce" if is_plain(value) && !value.is_empty() => {
                fields.idempotency_key = Some(value.to_owned())
            }
            "nonce" => return Err(BadFields::Unsound("nonce")),
            "weight" => fields.work_ms = Some(read_number("weight", value, MAX_WORK_MS)?),
            "space" => fields.memory_mb = Some(read_number("space", value, MAX_MEMORY_MB)?),
            _ => {}
        }
    }
    if fields.class.is_empty() {
        return Err(BadFields::Absent("route"));
    }
    if fields.trace.is_empty() {
        return Err(BadFields::Absent("trace"));
    }
    if !is_trace_id(&fields.trace) {
        return Err(BadFields::Unsound("trace"));
    }
    fields.timeout_ms = timeout_ms.ok_or(BadFields::Absent("patience"))?;
    Ok(fields)
}

fn is_plain(value: &str) -> bool {
    value.len() <= MAX_FIELD_BYTES && value.bytes().all(|byte| byte.is_ascii_graphic())
}

fn read_timeout_ms(value: &str) -> Result<u64, BadFields> {
    let ms = value.parse().ok().filter(|ms| (1..=MAX_TIMEOUT_MS).contains(ms));
    ms.ok_or(BadFields::Unsound("patience"))
}

fn read_number(field: &'static str, value: &str, max: f64) -> Result<f64, BadFields> {
    let number = value.parse().ok().filter(|number| (0.0..=max).contains(number));
    number.ok_or(BadFields::Unsound(field))
}

/// Takes the fields comment off a statement; other comments stay where they are.
///
/// # Errors
/// Where there is none before the statement, or its fields can't be used.
pub fn take_fields(statement: &Bytes) -> Result<(Fields, Bytes), BadFields> {
    let mut at = 0;
    loop {
        at += statement[at..].iter().take_while(|b| b.is_ascii_whitespace()).count();
        let Some(end) = comment_length(&statement[at..]) else { return Err(BadFields::Missing) };
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
