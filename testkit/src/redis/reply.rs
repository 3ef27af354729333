//! Encoders of RESP2 replies.

/// The reply to a command that was executed.
pub(super) const OK: &str = "+OK\r\n";
/// The reply to a command that does not support the type of its key's value.
pub(super) const WRONG_TYPE: &str = "-WRONGTYPE Operation against a key holding the wrong kind of value\r\n";
/// The reply to a command whose argument or value is not an integer.
pub(super) const NOT_AN_INTEGER: &str = "-ERR value is not an integer or out of range\r\n";

/// A bulk string, or the null reply.
pub(super) fn bulk(value: Option<&[u8]>) -> Vec<u8> {
    match value {
        None => b"$-1\r\n".to_vec(),
        Some(value) => [format!("${}\r\n", value.len()).as_bytes(), value, b"\r\n"].concat(),
    }
}

/// An integer.
pub(super) fn integer(value: i64) -> Vec<u8> {
    format!(":{value}\r\n").into_bytes()
}

/// An array of encoded replies.
pub(super) fn array(items: Vec<Vec<u8>>) -> Vec<u8> {
    [format!("*{}\r\n", items.len()).into_bytes(), items.concat()].concat()
}

/// An error with this code and text.
pub(super) fn error(text: &str) -> Vec<u8> {
    format!("-{text}\r\n").into_bytes()
}
