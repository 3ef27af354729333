//! What an operator's line asks for. Pure: bytes in, a call or the reason why it is none out.

use std::fmt;

/// A line holds so many bytes at most, its end not counted.
pub const LINE_MOST: usize = 256;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Does this process take clients?
    Health,
    /// The figures.
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
mod tests {
    use super::*;

    #[test]
    fn each_call_has_one_form() {
        assert_eq!(read(b"HEALTH"), Ok(Call::Health));
        assert_eq!(read(b"DUMP"), Ok(Call::Dump));
        assert_eq!(read(b"OFFLINE s-00c41f7a"), Ok(Call::Offline("s-00c41f7a".into())));
        assert_eq!(read(b"ONLINE s-1"), Ok(Call::Online("s-1".into())));
        let bad: [(&[u8], BadLine); 10] = [
            (b"", BadLine::Empty),
            (b"   ", BadLine::Empty),
            (b"health", BadLine::Unknown),
            (b"STATUS s-1", BadLine::Unknown),
            (b"HEALTH now", BadLine::Surplus),
            (b"OFFLINE", BadLine::NoId),
            (b"ONLINE ", BadLine::NoId),
            (b"OFFLINE s-1 s-2", BadLine::Surplus),
            (b"OFFLINE s-\r1", BadLine::Control),
            (b"OFFLINE \xff", BadLine::NotText),
        ];
        for (line, why) in bad {
            assert_eq!(read(line), Err(why), "{line:?}");
        }
        assert_eq!(read(&[b'A'; LINE_MOST + 1]), Err(BadLine::TooLong));
    }

    #[test]
    fn a_line_is_whole_at_its_end_and_never_past_the_limit() {
        assert_eq!(whole(b"HEAL"), Ok(None));
        assert_eq!(whole(b"HEALTH\nDUMP\n"), Ok(Some(&b"HEALTH"[..])));
        assert_eq!(whole(b"HEALTH\r\n"), Ok(Some(&b"HEALTH"[..])));
        assert_eq!(whole(b"HEALTH\r\r\n").map(|l| l.map(read)), Ok(Some(Err(BadLine::Control))));
        assert_eq!(whole(&[b'x'; LINE_MOST + 1]), Ok(None));
        assert_eq!(whole(&[b'x'; LINE_MOST + 2]), Err(BadLine::TooLong));
        let mut longest = vec![b'x'; LINE_MOST];
        longest.extend(*b"\r\n");
        assert_eq!(whole(&longest).map(|l| l.map(<[u8]>::len)), Ok(Some(LINE_MOST)));
        longest.insert(0, b'x');
        assert_eq!(whole(&longest), Err(BadLine::TooLong));
    }
}
