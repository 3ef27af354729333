//! Parsing of the request fields, which a client sends in a comment before the statement.

use crate::front::sql::comment_length;
use crate::front::{MAX_MEMORY_MB, MAX_WORK_MS, is_trace_id};
use bytes::Bytes;
use std::fmt;

/// Longest class name or idempotency key.
const MAX_FIELD_BYTES: usize = 128;
/// Longest accepted timeout, in milliseconds: one day.
const MAX_TIMEOUT_MS: u64 = 86_400_000;

/// The fields of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fields {
    /// Class name; `route` on the wire.
    pub class: String,
    /// Trace id; `trace` on the wire.
    pub trace: String,
    /// Timeout in milliseconds; `patience` on the wire.
    pub timeout_ms: u64,
    /// Whether the client retries an earlier request; `redo` on the wire.
    pub is_retry: bool,
    /// Idempotency key; `nonce` on the wire.
    pub idempotency_key: Option<String>,
    /// Estimated work in milliseconds; `weight` on the wire.
    pub work_ms: Option<f64>,
    /// Estimated memory in MB; `space` on the wire.
    pub memory_mb: Option<f64>,
}

/// An error in the fields of a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FieldsError {
    /// There is no fields comment before the statement.
    NoComment,
    /// A required field is missing.
    MissingField(&'static str),
    /// A field has an invalid value.
    InvalidField(&'static str),
    /// The class is not configured.
    UnknownClass(String),
}

impl fmt::Display for FieldsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoComment => write!(f, "no comment before the statement carries its fields"),
            Self::MissingField(field) => write!(f, "the field '{field}' is missing"),
            Self::InvalidField(field) => write!(f, "the field '{field}' makes no sense"),
            Self::UnknownClass(name) => write!(f, "there is no class '{name}'"),
        }
    }
}

impl std::error::Error for FieldsError {}

/// Parses the text of a fields comment, without its delimiters. Unknown fields are ignored.
///
/// # Errors
/// If a field is missing or has an invalid value.
pub fn parse_fields(text: &str) -> Result<Fields, FieldsError> {
    let mut fields = Fields::default();
    let mut timeout_ms = None;
    for field in text.split(',') {
        let Some((name, value)) = field.split_once('=') else { continue };
        let (name, value) = (name.trim(), value.trim());
        match name {
            "route" if is_valid_text(value) => fields.class = value.to_owned(),
            "trace" => fields.trace = value.to_owned(),
            "patience" => timeout_ms = Some(parse_timeout_ms(value)?),
            "redo" => fields.is_retry = value == "1",
            "nonce" if is_valid_text(value) && !value.is_empty() => {
                fields.idempotency_key = Some(value.to_owned())
            }
            "nonce" => return Err(FieldsError::InvalidField("nonce")),
            "weight" => fields.work_ms = Some(parse_number("weight", value, MAX_WORK_MS)?),
            "space" => fields.memory_mb = Some(parse_number("space", value, MAX_MEMORY_MB)?),
            _ => {}
        }
    }
    if fields.class.is_empty() {
        return Err(FieldsError::MissingField("route"));
    }
    if fields.trace.is_empty() {
        return Err(FieldsError::MissingField("trace"));
    }
    if !is_trace_id(&fields.trace) {
        return Err(FieldsError::InvalidField("trace"));
    }
    fields.timeout_ms = timeout_ms.ok_or(FieldsError::MissingField("patience"))?;
    Ok(fields)
}

fn is_valid_text(value: &str) -> bool {
    value.len() <= MAX_FIELD_BYTES && value.bytes().all(|byte| byte.is_ascii_graphic())
}

fn parse_timeout_ms(value: &str) -> Result<u64, FieldsError> {
    let ms = value.parse().ok().filter(|ms| (1..=MAX_TIMEOUT_MS).contains(ms));
    ms.ok_or(FieldsError::InvalidField("patience"))
}

fn parse_number(field: &'static str, value: &str, max: f64) -> Result<f64, FieldsError> {
    let number = value.parse().ok().filter(|number| (0.0..=max).contains(number));
    number.ok_or(FieldsError::InvalidField(field))
}

/// Removes the fields comment from a statement and returns its fields and the remaining statement. Other comments are
/// kept.
///
/// # Errors
/// If there is no fields comment before the statement, or a field is missing or invalid.
pub fn take_fields(statement: &Bytes) -> Result<(Fields, Bytes), FieldsError> {
    let mut offset = 0;
    loop {
        offset += statement[offset..].iter().take_while(|b| b.is_ascii_whitespace()).count();
        let Some(length) = comment_length(&statement[offset..]) else { return Err(FieldsError::NoComment) };
        let comment_text =
            statement[offset..offset + length].strip_prefix(b"/*").and_then(|c| c.strip_suffix(b"*/"));
        let has_class = |text: &str| text.split(',').any(|f| f.trim_start().starts_with("route="));
        if let Some(text) = comment_text.and_then(|c| std::str::from_utf8(c).ok()).filter(|t| has_class(t)) {
            let fields = parse_fields(text)?;
            let spaces = statement[offset + length..].iter().take_while(|b| b.is_ascii_whitespace()).count();
            let after = statement.slice(offset + length + spaces..);
            let before = statement[..offset].trim_ascii_start();
            let remaining = if before.is_empty() { after } else { [before, &after].concat().into() };
            return Ok((fields, remaining));
        }
        offset += length;
    }
}
