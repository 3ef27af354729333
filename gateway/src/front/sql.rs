//! What the fronts need to know of a statement: its comments, its table group, and whether it is a KILL QUERY. Pure
//! functions.

/// Length of the comment that `text` begins with, if it does.
pub fn comment_length(text: &[u8]) -> Option<usize> {
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
fn quoted_length(text: &[u8], quote: u8) -> usize {
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

/// A name, with its quotes taken off, or the first byte of anything else.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Token<'a> {
    Name(&'a [u8]),
    Other(u8),
}

/// The tokens of a statement, without its comments and spaces.
fn tokens(text: &[u8]) -> impl Iterator<Item = Token<'_>> {
    let mut at = 0;
    std::iter::from_fn(move || {
        while at < text.len() {
            let (token, length) = next_token(&text[at..]);
            at += length;
            if token.is_some() {
                return token;
            }
        }
        None
    })
}

/// The token that `text` begins with, or none for a comment or a space, and its length. `text` is not empty.
fn next_token(text: &[u8]) -> (Option<Token<'_>>, usize) {
    let first = text[0];
    if let Some(length) = comment_length(text) {
        return (None, length);
    }
    // A comment that does not end takes in all the rest.
    if text.starts_with(b"/*") {
        return (None, text.len());
    }
    match first {
        b'\'' | b'"' => (Some(Token::Other(first)), quoted_length(text, first)),
        b'`' => {
            let length = quoted_length(text, b'`');
            let name = text[1..length].strip_suffix(b"`").unwrap_or_default();
            (Some(Token::Name(name)), length)
        }
        _ if first.is_ascii_whitespace() => (None, 1),
        _ => match text.iter().take_while(|byte| is_name_byte(**byte)).count() {
            0 => (Some(Token::Other(first)), 1),
            length => (Some(Token::Name(&text[..length])), length),
        },
    }
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'_' | b'$' | 0x80..)
}

/// The number after the last underscore of a schema's name; the staging schema belongs to no group.
fn schema_number(schema: &[u8]) -> Option<u64> {
    if schema.eq_ignore_ascii_case(b"staging") {
        return None;
    }
    let underscore = schema.iter().rposition(|b| *b == b'_').filter(|index| *index > 0)?;
    let digits = std::str::from_utf8(&schema[underscore + 1..]).ok()?;
    digits.parse().ok().filter(|_| digits.bytes().all(|b| b.is_ascii_digit()))
}

/// The table group that a statement reads or writes: the number in its schema's name. Names in strings and comments do
/// not count; a name in a table's position takes precedence over one that may be an alias.
pub fn table_group(statement: &[u8]) -> Option<u64> {
    let tokens: Vec<_> = tokens(statement).collect();
    let mut other = None;
    for (at, three) in tokens.windows(3).enumerate() {
        let [Token::Name(schema), Token::Other(b'.'), Token::Name(_)] = three else { continue };
        let before = at.checked_sub(1).map(|b| tokens[b]);
        if before == Some(Token::Other(b'.')) {
            continue;
        }
        let Some(found) = schema_number(schema) else { continue };
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
