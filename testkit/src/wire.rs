//! Encoder and decoder of RESP arrays of bulk strings.

use bytes::{Bytes, BytesMut};

/// Maximum number of decimal digits of a length.
const MAX_DIGITS: usize = 20;

/// Removes the first array from `buffer` and returns it; `None` if it is incomplete.
///
/// # Panics
///
/// If the bytes are not an array of bulk strings.
pub fn take_array(buffer: &mut BytesMut) -> Option<Vec<Bytes>> {
    let mut at = 0;
    let count = length_line(buffer, &mut at, b'*')?;
    let mut ranges = Vec::with_capacity(count);
    for _ in 0..count {
        let size = length_line(buffer, &mut at, b'$')?;
        if buffer.len() < at + size + 2 {
            return None;
        }
        assert_eq!(&buffer[at + size..at + size + 2], b"\r\n", "bulk string is not followed by CRLF");
        ranges.push(at..at + size);
        at += size + 2;
    }
    let array = buffer.split_to(at).freeze();
    Some(ranges.into_iter().map(|range| array.slice(range)).collect())
}

/// Parses the length in a `*N` or `$N` line at offset `at`, and advances `at` past the line.
fn length_line(buffer: &[u8], at: &mut usize, type_byte: u8) -> Option<usize> {
    let rest = buffer.get(*at..).filter(|rest| !rest.is_empty())?;
    assert_eq!(rest[0], type_byte, "unexpected type in {:?}", String::from_utf8_lossy(rest));
    let end = rest.iter().position(|byte| *byte == b'\r')?;
    let number = std::str::from_utf8(&rest[1..end]).unwrap().parse().expect("invalid length");
    rest.get(end + 1)?;
    *at += end + 2;
    Some(number)
}

/// Appends an array of bulk strings.
pub fn put_array(out: &mut BytesMut, words: &[&[u8]]) {
    put_length(out, b'*', words.len());
    for word in words {
        put_length(out, b'$', word.len());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
}

/// Appends a `*N` or `$N` line.
fn put_length(out: &mut BytesMut, type_byte: u8, length: usize) {
    // Avoids an allocation, because the engines of a benchmark write millions of lengths.
    let mut digits = [0; MAX_DIGITS];
    let mut at = digits.len();
    let mut rest = length;
    loop {
        at -= 1;
        digits[at] = b'0' + (rest % 10) as u8;
        rest /= 10;
        if rest == 0 {
            break;
        }
    }
    out.extend_from_slice(&[type_byte]);
    out.extend_from_slice(&digits[at..]);
    out.extend_from_slice(b"\r\n");
}
