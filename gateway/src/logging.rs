//! Logging: where log records go, and the conventions that all of them follow.
//!
//! A record has a level, a constant message in plain English that names one event, and keys in `snake_case`; a key
//! whose value has a unit ends with that unit (`stalled_ms`). The levels:
//!
//! - `error`: needs an operator now; the gateway does not recover by itself.
//! - `warning`: something is missing or degraded; the gateway continues without it and recovers by itself.
//! - `info`: a state change, an operator's command, or the counters of the last second.
//! - `debug`: individual requests and datagrams.
//!
//! Identifiers always use the same key: `engine`, `trace` (the trace id of a request), `attempt`, `gateway`,
//! `core`. Errors of the operating system or a library use the key `error`; causes that the gateway itself
//! determined use `reason`. `docs/operations/on-call.md` lists all records at `info` and above; a test compares that
//! list with the source.

use slog::{Drain, Level, LevelFilter, Logger, o};

/// The root logger: writes records at `level` and above to standard error as lines of text, with UTC timestamps.
pub fn root(level: Level) -> Logger {
    let plain = slog_term::PlainSyncDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(plain).use_utc_timestamp().build();
    Logger::root(LevelFilter::new(drain, level).fuse(), o!())
}

/// A logger whose records carry the name of the module that writes them, under the key `module`.
pub fn for_module(log: &Logger, module: &'static str) -> Logger {
    log.new(o!("module" => module))
}
