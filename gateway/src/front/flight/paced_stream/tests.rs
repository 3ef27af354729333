use super::*;
use tokio::time::Instant;

const MAX_BYTES: u64 = 1 << 20;

#[tokio::test(start_paused = true)]
async fn ordinary_calls_are_not_delayed() {
    let (progress, start) = (ReadProgress::default(), Instant::now());
    progress.record_read(20_000);
    progress.record_drained();
    assert!(progress.drained(MAX_BYTES).await.is_ok());
    assert_eq!(Instant::now(), start);
}

/// Guards against an empty socket that is taken for the end of a backlog: the peer's system sends the rest only when there is
/// room again.
#[tokio::test(start_paused = true)]
async fn backlog_ends_once_hardly_anything_has_come_for_a_while() {
    let (progress, start) = (Arc::new(ReadProgress::default()), Instant::now());
    let reader = progress.clone();
    tokio::spawn(async move {
        for _ in 0..5 {
            reader.record_read(40_000);
            reader.record_drained();
            sleep(QUIET_TIME / 2).await;
        }
    });
    yield_now().await;
    assert!(progress.drained(MAX_BYTES).await.is_ok());
    assert!(start.elapsed() >= 3 * QUIET_TIME, "{:?}", start.elapsed());
}

#[tokio::test(start_paused = true)]
async fn call_with_too_much_behind_it_is_rejected() {
    let progress = Arc::new(ReadProgress::default());
    progress.record_read(1_000);
    let reader = progress.clone();
    tokio::spawn(async move {
        reader.record_read(MAX_BYTES as usize);
        reader.record_end_of_turn();
        reader.record_read(1);
        reader.record_end_of_turn();
    });
    assert!(progress.drained(MAX_BYTES).await.is_err());
}
