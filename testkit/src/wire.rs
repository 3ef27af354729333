//! RESP arrays of bulk strings, as the protocol page has them.

use bytes::{Bytes, BytesMut};

/// Takes the next whole array off the front of `buffer`; `None` if it has not all come.
pub fn take_array(buffer: &mut BytesMut) -> Option<Vec<Bytes>> {
    let mut at = 0;
    let count = line(buffer, &mut at, b'*')?;
    let mut spans = Vec::with_capacity(count);
    for _ in 0..count {
        let size = line(buffer, &mut at, b'$')?;
        if buffer.len() < at + size + 2 {
            return None;
        }
        assert_eq!(&buffer[at + size..at + size + 2], b"\r\n", "a word is not ended");
        spans.push(at..at + size);
        at += size + 2;
    }
    let whole = buffer.split_to(at).freeze();
    Some(spans.into_iter().map(|s| whole.slice(s)).collect())
}

/// The number in a `*N` or `$N` line at `at`, which moves behind it.
fn line(buffer: &[u8], at: &mut usize, mark: u8) -> Option<usize> {
    let rest = buffer.get(*at..).filter(|r| !r.is_empty())?;
    assert_eq!(rest[0], mark, "unexpected type in {:?}", String::from_utf8_lossy(rest));
    let end = rest.iter().position(|b| *b == b'\r')?;
    let number = std::str::from_utf8(&rest[1..end]).unwrap().parse().expect("a length");
    rest.get(end + 1)?;
    *at += end + 2;
    Some(number)
}

/// Writes an array of bulk strings.
pub fn put_array(out: &mut BytesMut, words: &[&[u8]]) {
    put_head(out, b'*', words.len());
    for word in words {
        put_head(out, b'$', word.len());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
}

fn put_head(out: &mut BytesMut, mark: u8, mut number: usize) {
    let mut digits = [0; 20];
    let mut at = digits.len();
    loop {
        at -= 1;
        digits[at] = b'0' + (number % 10) as u8;
        number /= 10;
        if number == 0 {
            break;
        }
    }
    out.extend_from_slice(&[mark]);
    out.extend_from_slice(&digits[at..]);
    out.extend_from_slice(b"\r\n");
}
