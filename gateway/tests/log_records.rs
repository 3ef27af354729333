//! The log records in the gateway's source: each has a constant message and keys in `snake_case`, and the table in
//! `docs/operations/on-call.md` lists exactly those at info and above.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// The logging macros, each with the name of its level in the table.
const LOG_MACROS: [(&str, &str); 6] = [
    ("crit", "critical"),
    ("error", "error"),
    ("warn", "warning"),
    ("info", "info"),
    ("debug", "debug"),
    ("trace", "trace"),
];
/// Levels that the table does not list.
const UNLISTED_LEVELS: [&str; 2] = ["debug", "trace"];
/// The heading above the table on the page.
const TABLE_HEADING: &str = "## Log records";

/// A log record, as it is in the source or in the table of the page.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LogRecord {
    message: String,
    level: String,
    keys: Vec<String>,
    /// Path of the source file, relative to `gateway/src/`.
    module: String,
}

/// The end of a string literal that starts at `start`: the index after its closing quote.
fn end_of_string(text: &str, start: usize) -> usize {
    let bytes = text.as_bytes();
    let mut index = start + 1;
    while bytes[index] != b'"' {
        index += if bytes[index] == b'\\' { 2 } else { 1 };
    }
    index + 1
}

/// The source without comments. String literals are kept.
fn without_comments(source: &str) -> String {
    let mut text = String::new();
    let mut index = 0;
    while index < source.len() {
        let rest = &source[index..];
        if rest.starts_with("//") {
            index += rest.find('\n').unwrap_or(rest.len());
        } else if rest.starts_with("'\"'") || rest.starts_with("b'\"'") {
            // A character literal of a quote does not begin a string.
            index += rest.find("\"'").unwrap() + 2;
            text.push_str("'_'");
        } else if rest.starts_with('"') {
            let end = end_of_string(source, index);
            text.push_str(&source[index..end]);
            index = end;
        } else {
            let next = rest.chars().next().unwrap();
            text.push(next);
            index += next.len_utf8();
        }
    }
    text
}

/// Splits the arguments of a macro at the separators outside brackets and strings.
fn split_top_level(text: &str, separator: char) -> Vec<&str> {
    let (mut parts, mut start, mut depth, mut index) = (Vec::new(), 0, 0, 0);
    while index < text.len() {
        let next = text[index..].chars().next().unwrap();
        if next == '"' {
            index = end_of_string(text, index);
            continue;
        }
        match next {
            '(' | '[' | '{' => depth += 1,
            ')' | ']' | '}' => depth -= 1,
            _ if next == separator && depth == 0 => {
                parts.push(text[start..index].trim());
                start = index + 1;
            }
            _ => {}
        }
        index += next.len_utf8();
    }
    parts.push(text[start..].trim());
    parts.retain(|part| !part.is_empty());
    parts
}

/// The arguments of the macro whose opening parenthesis ends at `start`, without the parentheses.
fn macro_arguments(text: &str, start: usize) -> &str {
    let (mut depth, mut index) = (1, start);
    while depth > 0 {
        match text.as_bytes()[index] {
            b'"' => {
                index = end_of_string(text, index);
                continue;
            }
            b'(' => depth += 1,
            b')' => depth -= 1,
            _ => {}
        }
        index += 1;
    }
    &text[start..index - 1]
}

/// The content of a string literal without escapes and placeholders; the error contains the text that is none.
fn string_literal(text: &str) -> Result<String, String> {
    let inner = text.strip_prefix('"').and_then(|rest| rest.strip_suffix('"'));
    let inner = inner.ok_or_else(|| format!("not a string literal: {text}"))?;
    if inner.is_empty() || inner.contains(['"', '\\', '{', '}']) {
        return Err(format!("not a constant text: {text}"));
    }
    Ok(inner.to_owned())
}

fn is_snake_case(key: &str) -> bool {
    let is_word = |word: &str| {
        !word.is_empty() && word.bytes().all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit())
    };
    key.starts_with(|first: char| first.is_ascii_lowercase()) && key.split('_').all(is_word)
}

/// Parses the arguments of a logging macro: `logger, "message"; "key" => value, ...`.
fn parse_record(arguments: &str, level: &str, module: &str) -> Result<LogRecord, String> {
    let parts = split_top_level(arguments, ';');
    let (head, pairs) = match parts[..] {
        [head] => (head, ""),
        [head, pairs] => (head, pairs),
        _ => return Err(format!("more than one semicolon: {arguments}")),
    };
    // Further arguments would be formatted into the message at run time.
    let [_, message] = split_top_level(head, ',')[..] else {
        return Err(format!("not a logger and one message: {head}"));
    };
    let mut keys = Vec::new();
    for pair in split_top_level(pairs, ',') {
        let (key, _) = pair.split_once("=>").ok_or_else(|| format!("no `=>` after a key: {pair}"))?;
        let key = string_literal(key.trim())?;
        if !is_snake_case(&key) {
            return Err(format!("key is not in snake_case: {key}"));
        }
        keys.push(key);
    }
    let message = string_literal(message)?;
    Ok(LogRecord { message, level: level.to_owned(), keys, module: module.to_owned() })
}

/// All records of a source file.
fn records_of_source(source: &str, module: &str) -> Result<Vec<LogRecord>, String> {
    let text = without_comments(source);
    let mut records = Vec::new();
    for (name, level) in LOG_MACROS {
        let call = format!("{name}!(");
        for (index, _) in text.match_indices(&call) {
            let previous = text[..index].chars().next_back();
            if previous.is_some_and(|previous| previous.is_alphanumeric() || previous == '_') {
                continue;
            }
            let arguments = macro_arguments(&text, index + call.len());
            let record = parse_record(arguments, level, module);
            records.push(record.map_err(|error| format!("{module}: {error}"))?);
        }
    }
    Ok(records)
}

/// The records in the table of the page; its columns are message, level, keys, module, meaning and action.
fn records_of_page(page: &str) -> Vec<LogRecord> {
    let (_, section) = page.split_once(TABLE_HEADING).expect("the page lacks the heading of the table");
    let rows =
        section.lines().skip_while(|line| !line.starts_with('|')).take_while(|line| line.starts_with('|'));
    let record = |row: &str| {
        let cells: Vec<_> = row.trim_matches('|').split('|').map(str::trim).collect();
        let [message, level, keys, module, meaning, action] = cells[..] else {
            panic!("not six cells: {row}")
        };
        assert!(!meaning.is_empty() && !action.is_empty(), "meaning or action is empty: {row}");
        let without_backticks = |cell: &str| cell.trim_matches('`').to_owned();
        let keys = keys.split(", ").filter(|key| *key != "-").map(without_backticks).collect();
        LogRecord {
            message: without_backticks(message),
            level: without_backticks(level),
            keys,
            module: without_backticks(module),
        }
    };
    // The first two rows are the column names and the separator.
    rows.skip(2).map(record).collect()
}

fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files.extend(rust_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") && !path.ends_with("tests.rs") {
            files.push(path);
        }
    }
    files
}

/// All records in `gateway/src/` except those in its test files.
fn records_of_gateway() -> Vec<LogRecord> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut records = Vec::new();
    for path in rust_files(&folder) {
        let module = path.strip_prefix(&folder).unwrap().to_str().unwrap();
        let source = std::fs::read_to_string(&path).unwrap();
        records.extend(records_of_source(&source, module).unwrap());
    }
    records
}

#[test]
fn on_call_page_lists_all_records_at_info_and_above() {
    let in_source: BTreeSet<_> = records_of_gateway().into_iter().collect();
    let is_listed = |record: &LogRecord| !UNLISTED_LEVELS.contains(&record.level.as_str());
    let in_source: BTreeSet<_> = in_source.into_iter().filter(is_listed).collect();
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/operations/on-call.md");
    let rows = records_of_page(&std::fs::read_to_string(page).unwrap());
    let on_page: BTreeSet<_> = rows.iter().cloned().collect();
    assert_eq!(on_page.len(), rows.len(), "the table has duplicate rows");
    let missing: Vec<_> = in_source.difference(&on_page).collect();
    let stale: Vec<_> = on_page.difference(&in_source).collect();
    assert!(
        missing.is_empty() && stale.is_empty(),
        "not on the page: {missing:#?}; not in the source: {stale:#?}"
    );
}

#[test]
fn each_event_has_one_record() {
    let records = records_of_gateway();
    assert!(records.len() >= 50, "{} records found", records.len());
    let messages: BTreeSet<_> = records.iter().map(|record| &record.message).collect();
    assert_eq!(messages.len(), records.len(), "two records have the same message: {records:#?}");
}

#[test]
fn record_is_parsed_with_its_level_and_keys() {
    let source = "// info!(log, \"a comment\")\nif c == '\"' { debug!(self.log, \"a; b\"; \"engine\" => e.f(1, 2),\n \
                  \"stalled_ms\" => ms / 1000,) }\nprintln!(\"\"); my_info!(log, \"other\"); warn!(log, \"no keys\");";
    let record = |message: &str, level: &str, keys: &[&str]| LogRecord {
        message: message.into(),
        level: level.into(),
        keys: keys.iter().map(|key| (*key).into()).collect(),
        module: "a.rs".into(),
    };
    let expected =
        vec![record("no keys", "warning", &[]), record("a; b", "debug", &["engine", "stalled_ms"])];
    assert_eq!(records_of_source(source, "a.rs"), Ok(expected));
}

#[test]
fn run_time_message_and_key_outside_snake_case_are_errors() {
    let cases = [
        "info!(log, \"{}\", what; \"engine\" => 1)",
        "info!(log, \"engine {engine}\")",
        "info!(log, what)",
        "info!(log, \"text\", what)",
        "info!(log, \"text\"; \"for ms\" => 1)",
        "info!(log, \"text\"; \"forMs\" => 1)",
        "info!(log, \"text\"; \"_ms\" => 1)",
        "info!(log, \"text\"; key => 1)",
        "info!(log, \"text\"; values)",
    ];
    for source in cases {
        assert!(records_of_source(source, "a.rs").is_err(), "{source}");
    }
}
