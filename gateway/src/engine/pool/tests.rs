//! Which connection an attempt goes on.

use super::*;
use reedwalk_scheduler::ClassId;

struct Fake;

impl Handle for Fake {
    fn is_closed(&self) -> bool {
        false
    }
}

const ENGINE: EngineId = EngineId(3);

fn attempt(key: u64, trace: &str, now: Instant) -> AttemptRequest {
    AttemptRequest {
        id: AttemptId(key),
        engine: ENGINE,
        trace_id: Bytes::copy_from_slice(trace.as_bytes()),
        class: ClassId(0),
        deadline: now + Duration::from_secs(60),
        write_deadline: now + Duration::from_secs(60),
        cancelled: Default::default(),
        idempotency_key: None,
        memory_mb: None,
        priority: 1,
        is_update: false,
        statement: Bytes::new(),
    }
}

fn pool(report_interval: Option<Duration>) -> Pool<Fake> {
    pool_with_keepalive(Duration::from_secs(15), report_interval)
}

/// A pool whose engines close connections that are idle for so long.
fn pool_with_keepalive(keepalive: Duration, report_interval: Option<Duration>) -> Pool<Fake> {
    let sockets = Sockets {
        may_gossip: None,
        classes: Vec::new(),
        zones: Vec::new(),
        kinds: Vec::new(),
        connect_timeout: Duration::from_millis(250),
        idle_timeout: keepalive,
        max_attempts_per_connection: 2,
        max_open_requests: 10,
        allows_hedging: true,
    };
    let mut pool = Pool::new(Arc::new(sockets), 3, report_interval);
    pool.set_endpoint(
        ENGINE,
        Some(EngineAddress { address: ([127, 0, 0, 1], 1).into(), drain_guard: DrainGuard::default() }),
    );
    pool
}

/// Whether an attempt found its engine, and the connections that were opened so far.
fn pick(pool: &mut Pool<Fake>, key: u64, trace: &str, now: Instant) -> (bool, u64) {
    let found = pool.pick(&attempt(key, trace, now), now, |_, _, _| Fake).is_some();
    (found, pool.last_connection_id)
}

const REPORT_INTERVAL: Option<Duration> = Some(Duration::from_millis(500));

#[test]
fn connection_is_shared_up_to_its_limit() {
    let (mut pool, now) = (pool(REPORT_INTERVAL), Instant::now());
    let opened: Vec<_> =
        ["a", "b", "c", "d"].into_iter().zip(0..).map(|(t, k)| pick(&mut pool, k, t, now)).collect();
    assert_eq!(opened, [(true, 1), (true, 1), (true, 2), (true, 2)]);
}

#[test]
fn all_engines_together_keep_to_the_descriptor_limit() {
    let (mut pool, now) = (pool(REPORT_INTERVAL), Instant::now());
    let found: Vec<_> = ["a", "b", "c", "d", "e", "f", "g"]
        .into_iter()
        .zip(0..)
        .map(|(t, k)| pick(&mut pool, k, t, now).0)
        .collect();
    assert_eq!(found, [true, true, true, true, true, true, false]);
    pool.release(AttemptId(0), false);
    assert!(pick(&mut pool, 7, "h", now).0);
}

#[test]
fn trace_id_in_flight_or_cancelled_is_not_reused_on_its_connection() {
    let (mut pool, now) = (pool(REPORT_INTERVAL), Instant::now());
    assert_eq!(pick(&mut pool, 0, "a", now), (true, 1));
    pool.release(AttemptId(0), true);
    assert_eq!(pick(&mut pool, 1, "a", now), (true, 2), "an answer that crossed the KILL would be its own");
    assert_eq!(pick(&mut pool, 2, "b", now).1, 2);
}

#[test]
fn silence_counts_only_where_progress_reports_are_missed() {
    let later = Duration::from_secs(2);
    let (mut told, mut untold, now) = (pool(REPORT_INTERVAL), pool(None), Instant::now());
    for pool in [&mut told, &mut untold] {
        assert_eq!(pick(pool, 0, "a", now), (true, 1));
    }
    assert_eq!(pick(&mut told, 1, "b", now + later), (true, 2));
    assert_eq!(pick(&mut untold, 1, "b", now + later), (true, 1), "a long query is no silence");
    // A given-up attempt with nothing heard since leaves its connection in doubt in either case.
    untold.release(AttemptId(1), true);
    assert_eq!(pick(&mut untold, 2, "c", now + later), (true, 2));
}

#[test]
fn connection_near_its_idle_timeout_is_not_used() {
    let (mut pool, now) = (pool(REPORT_INTERVAL), Instant::now());
    assert_eq!(pick(&mut pool, 0, "a", now), (true, 1));
    pool.release(AttemptId(0), false);
    assert_eq!(pick(&mut pool, 1, "b", now + Duration::from_millis(14_500)), (true, 2));
}

#[test]
fn removed_engine_takes_nothing_and_is_dropped_with_its_last_attempt() {
    let (mut pool, now) = (pool(REPORT_INTERVAL), Instant::now());
    assert_eq!(pick(&mut pool, 0, "a", now), (true, 1));
    pool.set_endpoint(ENGINE, None);
    assert!(!pick(&mut pool, 1, "b", now).0);
    assert!(pool.find(AttemptId(0)).is_some(), "what is out may still be answered");
    pool.release(AttemptId(0), false);
    assert!(pool.engines.is_empty() && pool.attempts.is_empty());
}

/// The connection of an attempt brings something.
fn record_read(pool: &Pool<Fake>) {
    pool.engines[&ENGINE].connections.values().for_each(|c| c.read_activity.record_read());
}

#[test]
fn cancelled_id_stays_blocked_until_its_deadline() {
    let (mut pool, now) = (pool(None), Instant::now());
    assert_eq!(pick(&mut pool, 0, "a", now), (true, 1));
    pool.release(AttemptId(0), true);
    record_read(&pool);
    // Its request has 60 s, and an answer of the first attempt may come in all of them.
    assert_eq!(pick(&mut pool, 1, "b", now + Duration::from_secs(6)), (true, 1), "others share it");
    assert_eq!(pick(&mut pool, 2, "a", now + Duration::from_secs(6)), (true, 2));
}

#[test]
fn answered_id_is_not_reused_at_once() {
    let (mut pool, now) = (pool(REPORT_INTERVAL), Instant::now());
    assert_eq!(pick(&mut pool, 0, "a", now), (true, 1));
    pool.release(AttemptId(0), false);
    assert_eq!(pick(&mut pool, 1, "b", now), (true, 1), "others share it");
    assert_eq!(
        pick(&mut pool, 2, "a", now),
        (true, 2),
        "a duplicate of the answer would be taken for its own"
    );
    pool.release(AttemptId(2), false);
    let later = Instant::now() + ANSWERED_ID_TTL;
    record_read(&pool);
    assert_eq!(pick(&mut pool, 3, "a", later).1, 2, "no copy comes so late");
}

#[test]
fn remembered_ids_are_bounded() {
    let (mut pool, now) = (pool(None), Instant::now());
    for key in 0..MAX_CANCELLED_IDS as u64 {
        assert_eq!(pick(&mut pool, key, &format!("a{key}"), now), (true, 1));
        pool.release(AttemptId(key), true);
    }
    assert_eq!(pick(&mut pool, 9_000, "b", now), (true, 2), "the first takes no more");
    for key in 10_000..10_000 + 2 * MAX_ANSWERED_IDS as u64 {
        assert_eq!(pick(&mut pool, key, &format!("c{key}"), now), (true, 2));
        pool.release(AttemptId(key), false);
    }
    assert!(pool.engines[&ENGINE].connections.values().all(|c| c.answered_ids.len() <= MAX_ANSWERED_IDS));
}

#[test]
fn connections_are_reused_with_any_keepalive() {
    let (mut pool, now) = (pool_with_keepalive(Duration::from_millis(800), REPORT_INTERVAL), Instant::now());
    assert_eq!(pick(&mut pool, 0, "a", now), (true, 1));
    pool.release(AttemptId(0), false);
    let used = Instant::now();
    assert_eq!(pick(&mut pool, 1, "b", used + Duration::from_millis(300)), (true, 1));
    pool.release(AttemptId(1), false);
    assert_eq!(pick(&mut pool, 2, "c", used + Duration::from_millis(1500)), (true, 2), "closed by now");
}
