//! Golden-file test of the scheduler's decisions on seeded streams of events.
//!
//! Each stream runs the scheduler of one gateway against a small simulated pool. All actions, with the times of their
//! steps, and the values of the scheduler's public read methods are hashed. The files under `golden/` were recorded at
//! revision 4c475f9, before the scheduler was split into modules. A changed decision fails the test, which prints the
//! first checkpoint that differs.
//!
//! `RECORD_DECISIONS=1` rewrites the files instead of comparing them. Use it only for an intended change of decisions.

mod agenda;
mod defaults;
mod disturbances;
mod encoding;
mod pool;
mod random;
mod recording;
mod scenario;
mod simulation;
mod streams;

use std::path::PathBuf;

/// Minimum number of events in each stream.
const MIN_EVENTS: u64 = 10_000;

fn golden_file(stream: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(format!("tests/decision_record/golden/{stream}.txt"))
}

/// Runs a stream and compares it with its golden file.
fn verify(stream: scenario::Scenario) {
    let (file, text) = (golden_file(stream.name), simulation::run(&stream).text());
    if std::env::var_os("RECORD_DECISIONS").is_some() {
        return std::fs::write(file, text).expect("the golden file is writable");
    }
    let golden = std::fs::read_to_string(file).expect("the golden file exists");
    let mut pairs = golden.lines().zip(text.lines());
    let checkpoint = pairs.find(|(before, now)| before != now && before.starts_with("checkpoint"));
    let first = checkpoint.map_or("none at a checkpoint", |(before, _)| before);
    assert!(
        golden == text,
        "stream {}: decisions differ from the golden file; first difference: {first}\n{text}",
        stream.name
    );
}

macro_rules! streams {
    ($($name:ident),* $(,)?) => {
        $(
            #[test]
            fn $name() {
                verify(streams::$name());
            }
        )*

        const STREAMS: &[&str] = &[$(stringify!($name)),*];
    };
}

streams!(
    ordinary_traffic,
    overload,
    failing_engines,
    silent_engines,
    slow_starts,
    many_gateways,
    idempotency_keys,
    ordering_and_loads,
    bad_plans,
    endpoint_list_changes,
    sparse_traffic,
    no_cancellation,
    faulty_requests,
);

/// Kinds of events, actions and results, and how many of each at least one stream must have.
const MIN_COUNTS: &[(&str, u64)] = &[
    ("action send", 5000),
    ("action cancel", 100),
    ("action reject", 100),
    ("action fail", 20),
    ("action grant", 1000),
    ("action wake-after", 1000),
    ("action subscribe", 5),
    ("action engine-ejected", 20),
    ("event arrival", 5000),
    ("event bound-to-group", 100),
    ("event capacity-share", 5),
    ("event client-disconnected", 50),
    ("event ejected-by-gossip", 10),
    ("event endpoint-list-failed", 5),
    ("event ended", 5000),
    ("event engine-restarted", 5),
    ("event health-checked", 1),
    ("event live-gateways", 5),
    ("event progress", 1000),
    ("event slowdown-observed", 50),
    ("event stream-started", 100),
    ("arrival as retry", 100),
    ("arrival with prior attempt", 50),
    ("list cached", 2),
    ("list changes", 10),
    ("list complete", 5),
    ("outcome cancelled", 50),
    ("outcome connect-failed", 50),
    ("outcome error", 50),
    ("outcome never-sent", 3),
    ("outcome ok", 5000),
    ("outcome rejected", 50),
    ("outcome reset", 20),
    ("outcome timed-out", 50),
    ("report done", 1000),
    ("report spilling", 50),
    ("report waiting-for-load", 50),
    ("report waiting-for-memory", 50),
];

#[test]
fn streams_cover_every_kind_of_event_and_action() {
    let files: Vec<_> =
        STREAMS.iter().map(|name| std::fs::read_to_string(golden_file(name)).unwrap()).collect();
    let count = |file: &str, kind: &str| -> u64 {
        let line = file.lines().find_map(|line| line.strip_prefix(kind)?.strip_prefix(": "));
        line.map_or(0, |count| count.parse().unwrap())
    };
    for (name, file) in STREAMS.iter().zip(&files) {
        assert!(count(file, "events") >= MIN_EVENTS, "{name} has too few events");
    }
    for (kind, min_count) in MIN_COUNTS {
        let max_count = files.iter().map(|file| count(file, kind)).max().unwrap_or(0);
        assert!(max_count >= *min_count, "{kind}: no stream has more than {max_count}");
    }
}
