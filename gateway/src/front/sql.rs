//! The part of SQL parsing that the fronts need: comments, the table group of a statement, and `KILL QUERY`.

/// Returns the length of the comment at the start of `text`, or `None` if there is no complete one.
pub fn comment_length(text: &[u8]) -> Option<usize> {
    let line_length = || Some(text.iter().position(|b| *b == b'\n').map_or(text.len(), |p| p + 1));
    match text {
        [b'/', b'*', ..] => text.windows(2).skip(2).position(|w| w == b"*/").map(|p| p + 4),
        [b'#', ..] => line_length(),
        [b'-', b'-'] => line_length(),
        [b'-', b'-', c, ..] if c.is_ascii_whitespace() => line_length(),
        _ => None,
    }
}

/// Returns the length of the quoted string or name at the start of `text`. A doubled quote does not end it, nor does one
/// escaped with a backslash, except for backquotes.
fn quoted_length(text: &[u8], quote: u8) -> usize {
    let mut offset = 1;
    while offset < text.len() {
        if text[offset] == b'\\' && quote != b'`' {
            offset += 2;
        } else if text[offset] != quote {
            offset += 1;
        } else if text.get(offset + 1) == Some(&quote) {
            offset += 2;
        } else {
            return offset + 1;
        }
    }
    text.len()
}

/// An identifier, keyword or number, without its backquotes, or the first byte of any other token.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Token<'a> {
    Name(&'a [u8]),
    Other(u8),
}

/// Returns the tokens of a statement without comments and white space.
fn tokens(text: &[u8]) -> impl Iterator<Item = Token<'_>> {
    let mut offset = 0;
    std::iter::from_fn(move || {
        while offset < text.len() {
            let (token, length) = next_token(&text[offset..]);
            offset += length;
            if token.is_some() {
                return token;
            }
        }
        None
    })
}

/// Returns the token at the start of `text` and its length; a comment or white space has no token. `text` must not be
/// empty.
fn next_token(text: &[u8]) -> (Option<Token<'_>>, usize) {
    let first = text[0];
    if let Some(length) = comment_length(text) {
        return (None, length);
    }
    // An unterminated comment extends to the end of the statement.
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

/// Returns the number after the last underscore of a schema name. The staging schema belongs to no table group.
fn schema_number(schema: &[u8]) -> Option<u64> {
    if schema.eq_ignore_ascii_case(b"staging") {
        return None;
    }
    let underscore = schema.iter().rposition(|b| *b == b'_').filter(|index| *index > 0)?;
    let digits = std::str::from_utf8(&schema[underscore + 1..]).ok()?;
    digits.parse().ok().filter(|_| digits.bytes().all(|b| b.is_ascii_digit()))
}

/// Returns the table group that a statement reads or writes, which is the number in its schema name. Strings and comments
/// are ignored. A name that follows a keyword such as `FROM` takes precedence over others, which may be aliases.
pub fn table_group(statement: &[u8]) -> Option<u64> {
    let tokens: Vec<_> = tokens(statement).collect();
    let mut fallback = None;
    for (index, triple) in tokens.windows(3).enumerate() {
        let [Token::Name(schema), Token::Other(b'.'), Token::Name(_)] = triple else { continue };
        let before = index.checked_sub(1).map(|i| tokens[i]);
        if before == Some(Token::Other(b'.')) {
            continue;
        }
        let Some(group) = schema_number(schema) else { continue };
        let keywords = [&b"from"[..], b"into", b"join", b"update", b"table"];
        if matches!(before, Some(Token::Name(name)) if keywords.iter().any(|k| name.eq_ignore_ascii_case(k)))
        {
            return Some(group);
        }
        fallback = fallback.or(Some(group));
    }
    fallback
}

/// Returns the connection id of a `KILL QUERY` statement.
pub fn kill_query(statement: &[u8]) -> Option<u32> {
    let mut tokens = tokens(statement);
    let mut next_name = || match tokens.next() {
        Some(Token::Name(name)) => Some(name),
        _ => None,
    };
    let is_kill_query =
        next_name()?.eq_ignore_ascii_case(b"kill") && next_name()?.eq_ignore_ascii_case(b"query");
    let id = next_name().filter(|_| is_kill_query)?;
    std::str::from_utf8(id).ok()?.parse().ok()
}
