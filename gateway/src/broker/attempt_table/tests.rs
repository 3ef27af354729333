use super::*;

fn attempt(cancel_outcome: Option<Outcome>) -> InFlightAttempt {
    InFlightAttempt {
        request: RequestId(1),
        number: AttemptNo(0),
        engine: EngineId(2),
        sent_at: Instant::now(),
        deadline: Instant::now(),
        cancelled: CancellationToken::new(),
        cancel_outcome,
    }
}

#[test]
fn ids_are_never_reused() {
    let mut table = AttemptTable::default();
    let first = table.next_id();
    table.insert(first, attempt(None));
    assert!(table.remove(first).is_some());
    assert_ne!(table.next_id(), first);
    assert_eq!(table.len(), 0);
}

#[test]
fn cancelled_attempt_cannot_be_cancelled_again() {
    let mut table = AttemptTable::default();
    let (running, cancelled) = (table.next_id(), table.next_id());
    table.insert(running, attempt(None));
    table.insert(cancelled, attempt(Some(Outcome::TimedOut)));
    assert!(table.get_uncancelled_mut(running).is_some());
    assert!(table.get_uncancelled_mut(cancelled).is_none());
    assert_eq!(table.cancel_outcome(cancelled), Some(Outcome::TimedOut));
    assert_eq!(table.cancel_outcome(running), None);
}
