//! What an operator's line asks for. Pure: bytes in, a call or the reason why it is none out.

use std::fmt;

/// A line holds so many bytes at most, its end not counted.
pub const LINE_MOST: usize = 256;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Does this process take clients?
    Health,
    /// The metrics.
    Dump,
    /// Take an engine out.
    Offline(String),
    /// Put it back.
    Online(String),
}

/// Why a line is no call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadLine {
    /// Nothing but white space.
    Empty,
    /// More than [`LINE_MOST`] bytes.
    TooLong,
    /// Not UTF-8.
    NotText,
    /// A control character within the line.
    Control,
    /// No such call.
    Unknown,
    /// The call names an engine and none came.
    NoId,
    /// More words than the call has.
    Surplus,
    /// The connection ended before the line did.
    Cut,
}

impl fmt::Display for BadLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Empty => "the line is empty",
            Self::TooLong => "the line is longer than 256 bytes",
            Self::NotText => "the line is not UTF-8",
            Self::Control => "the line holds a control character",
            Self::Unknown => "no such call; there are HEALTH, DUMP, OFFLINE ID and ONLINE ID",
            Self::NoId => "the call needs the id of an engine",
            Self::Surplus => "the call has a word too many",
            Self::Cut => "the connection ended before the line did",
        })
    }
}

impl std::error::Error for BadLine {}

/// Takes the line out of what has come so far, its end (LF, or CR LF as the operators' tools send it) taken off; `None`
/// until it is whole.
///
/// # Errors
/// Where it can't become a call any more.
pub fn whole(bytes: &[u8]) -> Result<Option<&[u8]>, BadLine> {
    match bytes.iter().take(LINE_MOST + 2).position(|b| *b == b'\n') {
        Some(end) => {
            let line = &bytes[..end];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.len() > LINE_MOST { Err(BadLine::TooLong) } else { Ok(Some(line)) }
        }
        None if bytes.len() > LINE_MOST + 1 => Err(BadLine::TooLong),
        None => Ok(None),
    }
}

/// Reads a line without its end.
///
/// # Errors
/// Says what is wrong with it.
pub fn read(line: &[u8]) -> Result<Call, BadLine> {
    if line.len() > LINE_MOST {
        return Err(BadLine::TooLong);
    }
    let text = std::str::from_utf8(line).map_err(|_| BadLine::NotText)?;
    if text.chars().any(char::is_control) {
        return Err(BadLine::Control);
    }
    let mut words = text.split(' ').filter(|w| !w.is_empty());
    let (call, id) = (words.next().ok_or(BadLine::Empty)?, words.next().map(str::to_owned));
    let named = matches!(call, "OFFLINE" | "ONLINE");
    if words.next().is_some() || id.is_some() && matches!(call, "HEALTH" | "DUMP") {
        return Err(BadLine::Surplus);
    }
    match (call, id) {
        ("HEALTH", None) => Ok(Call::Health),
        ("DUMP", None) => Ok(Call::Dump),
        ("OFFLINE", Some(id)) => Ok(Call::Offline(id)),
        ("ONLINE", Some(id)) => Ok(Call::Online(id)),
        _ if named => Err(BadLine::NoId),
        _ => Err(BadLine::Unknown),
    }
}

#[cfg(test)]
mod tests;
