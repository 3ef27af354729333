use super::*;

const ID: TraceId = TraceId(7);

#[tokio::test]
async fn open_and_blocked_ids_are_not_claimed() {
    let (mut ids, now) = (SingleRunIds::default(), Instant::now());
    assert!(ids.claim(ID, now) && !ids.claim(ID, now));
    ids.release(ID);
    assert!(ids.claim(ID, now), "a released id is free");
    ids.block(ID, now);
    assert!(!ids.claim(ID, now + BLOCKED_ID_TTL - Duration::from_millis(1)));
    assert!(ids.claim(ID, now + BLOCKED_ID_TTL));
}

#[tokio::test]
async fn blocked_ids_are_bounded() {
    let (mut ids, now) = (SingleRunIds::default(), Instant::now());
    for number in 0..2 * MAX_BLOCKED_IDS as u64 {
        ids.block(TraceId(number), now);
    }
    assert_eq!((ids.blocked.len(), ids.expiry.len()), (MAX_BLOCKED_IDS, MAX_BLOCKED_IDS));
    assert!(ids.claim(TraceId(0), now), "the oldest are free");
    assert!(!ids.claim(TraceId(2 * MAX_BLOCKED_IDS as u64 - 1), now));
}
