use super::*;

const WINDOW: Duration = Duration::from_secs(12);
const CLOCKS: Duration = Duration::from_millis(500);

fn keyed(scope: Scope, again: bool) -> KeyedRequest {
    let mut keyed = KeyedRequest::new(scope, again, WINDOW, CLOCKS);
    assert_eq!(keyed.on_arrival(true), RequestStep::Claim);
    keyed
}

fn found(prior: StoredState) -> Option<ClaimReply> {
    Some(ClaimReply { is_claimed: true, lease_left: Duration::ZERO, stored: prior })
}

#[test]
fn recorded_group_binds_the_key_for_good() {
    let mut keyed = keyed(Scope::Group, false);
    assert_eq!(keyed.on_claim_reply(found(StoredState::Absent), true, 5), (RequestStep::Proceed(None), None));
    let sent = SendRecord { group: 1, at_ms: 5 };
    assert_eq!(keyed.before_send(1, 5), SendDecision::RecordFirst(sent));
    assert_eq!(keyed.on_recorded(sent, Some(true)), SendDecision::SendNow);
    keyed.on_attempt_end(false);
    assert!(!keyed.may_have_run());
    assert_eq!(keyed.before_send(2, 6), SendDecision::DoNotSend);
    assert_eq!(keyed.before_send(1, 6), SendDecision::SendNow);
    keyed.on_attempt_end(false);
    assert_eq!(
        keyed.on_request_end(RequestEnd::Unserved),
        Some(ClaimEnd::Release),
        "others are bound to it as well"
    );
}

#[test]
fn unconfirmed_record_prevents_a_send_to_a_group() {
    for written in [None, Some(false)] {
        let mut keyed = keyed(Scope::Group, false);
        keyed.on_claim_reply(found(StoredState::Absent), true, 5);
        let SendDecision::RecordFirst(sent) = keyed.before_send(1, 5) else { panic!("not marked first") };
        assert_eq!(keyed.on_recorded(sent, written), SendDecision::DoNotSend);
    }
    // All engines drop its repeats.
    let mut keyed = keyed(Scope::All, false);
    keyed.on_claim_reply(found(StoredState::Absent), true, 5);
    let SendDecision::RecordFirst(sent) = keyed.before_send(1, 5) else { panic!("not marked first") };
    assert_eq!(keyed.on_recorded(sent, None), SendDecision::SendNow);
}

#[test]
fn earlier_attempt_binds_until_its_window_ends() {
    let at = |at_ms| StoredState::Sent(SendRecord { group: 3, at_ms });
    for scope in [Scope::All, Scope::Group] {
        let go =
            |age| RequestStep::Proceed(Some(EarlierAttempt { group: 3, age: Duration::from_millis(age) }));
        assert_eq!(keyed(scope, true).on_claim_reply(found(at(20_000)), false, 24_000).0, go(4_500));
        let late = keyed(scope, true).on_claim_reply(found(at(20_000)), true, 31_500);
        assert_eq!(late, (RequestStep::Fail, Some(ClaimEnd::Release)), "12 s less what clocks may differ by");
    }
    let ahead = keyed(Scope::Group, true).on_claim_reply(found(at(20_000)), true, 19_000);
    assert_eq!(ahead.0, RequestStep::Fail, "clocks that differ by more than is said");
    assert_eq!(
        keyed(Scope::All, true).on_claim_reply(found(at(20_000)), true, 19_000).0,
        RequestStep::Proceed(None)
    );
}

#[test]
fn unknown_state_is_rejected_and_stays_unknown() {
    let unknown = [StoredState::Absent, StoredState::Stage(Stage::Unknown), StoredState::Unreadable];
    for prior in unknown {
        let (step, close) = keyed(Scope::Group, true).on_claim_reply(found(prior.clone()), true, 5);
        assert!(matches!(step, RequestStep::Reject(_)), "{prior:?}");
        assert_eq!(close, Some(ClaimEnd::ReleaseWith(Stage::Unknown)), "{prior:?}");
        let mut wide = keyed(Scope::All, true);
        assert_eq!(wide.on_claim_reply(found(prior), true, 5).0, RequestStep::Proceed(None));
        assert_eq!(wide.on_request_end(RequestEnd::Unserved), Some(ClaimEnd::ReleaseWith(Stage::Unknown)));
    }
    for (trusted, goes) in [(true, true), (false, false)] {
        let found = found(StoredState::Stage(Stage::NeverRan));
        let (step, _) = keyed(Scope::Group, true).on_claim_reply(found, trusted, 5);
        assert_eq!(step == RequestStep::Proceed(None), goes);
    }
    assert!(matches!(keyed(Scope::Group, false).on_claim_reply(None, true, 5).0, RequestStep::Reject(_)));
}

#[test]
fn without_the_store_only_unsafe_retries_are_rejected() {
    for (scope, again, goes) in
        [(Scope::All, true, true), (Scope::Group, false, true), (Scope::Group, true, false)]
    {
        let mut keyed = KeyedRequest::new(scope, again, WINDOW, CLOCKS);
        assert_eq!(keyed.on_arrival(false) == RequestStep::Proceed(None), goes, "{scope:?} {again}");
    }
}
