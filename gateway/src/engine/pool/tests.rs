//! Which connection the pool chooses for an attempt.

use super::*;
use reedwalk_scheduler::ClassId;

struct FakeConnection;

impl ConnectionHandle for FakeConnection {
    fn is_closed(&self) -> bool {
        false
    }
}

const ENGINE: EngineId = EngineId(3);

fn attempt(id: u64, trace_id: &str, now: Instant) -> AttemptRequest {
    AttemptRequest {
        id: AttemptId(id),
        engine: ENGINE,
        trace_id: Bytes::copy_from_slice(trace_id.as_bytes()),
        class: ClassId(0),
        deadline: now + Duration::from_secs(60),
        write_deadline: now + Duration::from_secs(60),
        cancelled: Default::default(),
        idempotency_key: None,
        memory_mb: None,
        priority: 1,
        update: false,
        statement: Bytes::new(),
    }
}

fn pool(report_interval: Option<Duration>) -> Pool<FakeConnection> {
    pool_with_keepalive(Duration::from_secs(15), report_interval)
}

/// A pool whose engine closes connections that were idle for `keepalive`.
fn pool_with_keepalive(keepalive: Duration, report_interval: Option<Duration>) -> Pool<FakeConnection> {
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

/// Returns whether the attempt got a connection, and the number of connections opened so far.
fn acquire(pool: &mut Pool<FakeConnection>, id: u64, trace_id: &str, now: Instant) -> (bool, u64) {
    let acquired = pool.acquire(&attempt(id, trace_id, now), now, |_, _, _| FakeConnection).is_some();
    (acquired, pool.last_connection_id)
}

const REPORT_INTERVAL: Option<Duration> = Some(Duration::from_millis(500));

#[test]
fn connection_is_shared_up_to_its_limit() {
    let (mut pool, now) = (pool(REPORT_INTERVAL), Instant::now());
    let opened: Vec<_> =
        ["a", "b", "c", "d"].into_iter().zip(0..).map(|(t, k)| acquire(&mut pool, k, t, now)).collect();
    assert_eq!(opened, [(true, 1), (true, 1), (true, 2), (true, 2)]);
}

#[test]
fn all_engines_together_keep_to_the_descriptor_limit() {
    let (mut pool, now) = (pool(REPORT_INTERVAL), Instant::now());
    let acquired: Vec<_> = ["a", "b", "c", "d", "e", "f", "g"]
        .into_iter()
        .zip(0..)
        .map(|(t, k)| acquire(&mut pool, k, t, now).0)
        .collect();
    assert_eq!(acquired, [true, true, true, true, true, true, false]);
    pool.release(AttemptId(0), false);
    assert!(acquire(&mut pool, 7, "h", now).0);
}

#[test]
fn trace_id_in_flight_or_cancelled_is_not_reused_on_its_connection() {
    let (mut pool, now) = (pool(REPORT_INTERVAL), Instant::now());
    assert_eq!(acquire(&mut pool, 0, "a", now), (true, 1));
    pool.release(AttemptId(0), true);
    assert_eq!(
        acquire(&mut pool, 1, "a", now),
        (true, 2),
        "a response that crossed the KILL would be taken for its own"
    );
    assert_eq!(acquire(&mut pool, 2, "b", now).1, 2);
}

#[test]
fn silence_counts_only_where_progress_reports_are_missed() {
    let later = Duration::from_secs(2);
    let (mut with_reports, mut without_reports, now) = (pool(REPORT_INTERVAL), pool(None), Instant::now());
    for pool in [&mut with_reports, &mut without_reports] {
        assert_eq!(acquire(pool, 0, "a", now), (true, 1));
    }
    assert_eq!(acquire(&mut with_reports, 1, "b", now + later), (true, 2));
    assert_eq!(
        acquire(&mut without_reports, 1, "b", now + later),
        (true, 1),
        "a long query does not count as silence"
    );
    // After a cancelled attempt, a connection without further reads is not used even without progress reports.
    without_reports.release(AttemptId(1), true);
    assert_eq!(acquire(&mut without_reports, 2, "c", now + later), (true, 2));
}

#[test]
fn connection_near_its_idle_timeout_is_not_used() {
    let (mut pool, now) = (pool(REPORT_INTERVAL), Instant::now());
    assert_eq!(acquire(&mut pool, 0, "a", now), (true, 1));
    pool.release(AttemptId(0), false);
    assert_eq!(acquire(&mut pool, 1, "b", now + Duration::from_millis(14_500)), (true, 2));
}

#[test]
fn removed_engine_takes_nothing_and_is_dropped_with_its_last_attempt() {
    let (mut pool, now) = (pool(REPORT_INTERVAL), Instant::now());
    assert_eq!(acquire(&mut pool, 0, "a", now), (true, 1));
    pool.set_endpoint(ENGINE, None);
    assert!(!acquire(&mut pool, 1, "b", now).0);
    assert!(pool.find(AttemptId(0)).is_some(), "the attempt in flight may still be answered");
    pool.release(AttemptId(0), false);
    assert!(pool.engines.is_empty() && pool.attempts.is_empty());
}

/// Records a read on every connection of the engine.
fn record_read(pool: &Pool<FakeConnection>) {
    pool.engines[&ENGINE].connections.values().for_each(|c| c.read_activity.record_read());
}

#[test]
fn cancelled_id_stays_blocked_until_its_deadline() {
    let (mut pool, now) = (pool(None), Instant::now());
    assert_eq!(acquire(&mut pool, 0, "a", now), (true, 1));
    pool.release(AttemptId(0), true);
    record_read(&pool);
    // The request's deadline is 60 s away; a response to the cancelled attempt may arrive until then.
    assert_eq!(
        acquire(&mut pool, 1, "b", now + Duration::from_secs(6)),
        (true, 1),
        "other trace ids share the connection"
    );
    assert_eq!(acquire(&mut pool, 2, "a", now + Duration::from_secs(6)), (true, 2));
}

#[test]
fn answered_id_is_not_reused_at_once() {
    let (mut pool, now) = (pool(REPORT_INTERVAL), Instant::now());
    assert_eq!(acquire(&mut pool, 0, "a", now), (true, 1));
    pool.release(AttemptId(0), false);
    assert_eq!(acquire(&mut pool, 1, "b", now), (true, 1), "other trace ids share the connection");
    assert_eq!(
        acquire(&mut pool, 2, "a", now),
        (true, 2),
        "a duplicate of the first response would be taken for its own"
    );
    pool.release(AttemptId(2), false);
    let later = Instant::now() + ANSWERED_ID_TTL;
    record_read(&pool);
    assert_eq!(acquire(&mut pool, 3, "a", later).1, 2, "no duplicate arrives that late");
}

#[test]
fn remembered_ids_are_bounded() {
    let (mut pool, now) = (pool(None), Instant::now());
    for id in 0..MAX_CANCELLED_IDS as u64 {
        assert_eq!(acquire(&mut pool, id, &format!("a{id}"), now), (true, 1));
        pool.release(AttemptId(id), true);
    }
    assert_eq!(
        acquire(&mut pool, 9_000, "b", now),
        (true, 2),
        "the first connection accepts no more attempts"
    );
    for id in 10_000..10_000 + 2 * MAX_ANSWERED_IDS as u64 {
        assert_eq!(acquire(&mut pool, id, &format!("c{id}"), now), (true, 2));
        pool.release(AttemptId(id), false);
    }
    assert!(pool.engines[&ENGINE].connections.values().all(|c| c.answered_ids.len() <= MAX_ANSWERED_IDS));
}

#[test]
fn connections_are_reused_with_any_keepalive() {
    let (mut pool, now) = (pool_with_keepalive(Duration::from_millis(800), REPORT_INTERVAL), Instant::now());
    assert_eq!(acquire(&mut pool, 0, "a", now), (true, 1));
    pool.release(AttemptId(0), false);
    let released = Instant::now();
    assert_eq!(acquire(&mut pool, 1, "b", released + Duration::from_millis(300)), (true, 1));
    pool.release(AttemptId(1), false);
    assert_eq!(
        acquire(&mut pool, 2, "c", released + Duration::from_millis(1500)),
        (true, 2),
        "the engine has closed the connection by now"
    );
}
