use super::*;

const WINDOW: Duration = Duration::from_secs(12);
const MAX_CLOCK_SKEW: Duration = Duration::from_millis(500);

/// A request that has sent its claim to the store.
fn claiming_request(domain: DeduplicationDomain, is_retry: bool) -> KeyedRequest {
    let mut keyed = KeyedRequest::new(domain, is_retry, WINDOW, MAX_CLOCK_SKEW);
    assert_eq!(keyed.on_arrival(true), RequestStep::Claim);
    keyed
}

/// The reply to a successful claim, with this state found in the store.
fn claimed_reply(stored: StoredState) -> Option<ClaimReply> {
    Some(ClaimReply { is_claimed: true, lease_left: Duration::ZERO, stored })
}

#[test]
fn recorded_group_binds_the_key_permanently() {
    let mut keyed = claiming_request(DeduplicationDomain::Group, false);
    assert_eq!(
        keyed.on_claim_reply(claimed_reply(StoredState::Absent), true, 5),
        (RequestStep::Proceed(None), None)
    );
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
        "requests at other gateways are bound to it as well"
    );
}

#[test]
fn unconfirmed_record_prevents_a_send_to_a_group() {
    for written in [None, Some(false)] {
        let mut keyed = claiming_request(DeduplicationDomain::Group, false);
        keyed.on_claim_reply(claimed_reply(StoredState::Absent), true, 5);
        let SendDecision::RecordFirst(sent) = keyed.before_send(1, 5) else { panic!("expected RecordFirst") };
        assert_eq!(keyed.on_recorded(sent, written), SendDecision::DoNotSend);
    }
    // All engines deduplicate together, so the attempt is sent without a record.
    let mut keyed = claiming_request(DeduplicationDomain::All, false);
    keyed.on_claim_reply(claimed_reply(StoredState::Absent), true, 5);
    let SendDecision::RecordFirst(sent) = keyed.before_send(1, 5) else { panic!("expected RecordFirst") };
    assert_eq!(keyed.on_recorded(sent, None), SendDecision::SendNow);
}

#[test]
fn earlier_attempt_binds_until_its_window_ends() {
    let sent_at = |at_ms| StoredState::Sent(SendRecord { group: 3, at_ms });
    for domain in [DeduplicationDomain::All, DeduplicationDomain::Group] {
        let proceed_with_age =
            |age| RequestStep::Proceed(Some(EarlierAttempt { group: 3, age: Duration::from_millis(age) }));
        assert_eq!(
            claiming_request(domain, true).on_claim_reply(claimed_reply(sent_at(20_000)), false, 24_000).0,
            proceed_with_age(4_500)
        );
        let past_window =
            claiming_request(domain, true).on_claim_reply(claimed_reply(sent_at(20_000)), true, 31_500);
        assert_eq!(
            past_window,
            (RequestStep::Fail, Some(ClaimEnd::Release)),
            "12 s less the configured clock skew"
        );
    }
    let in_future = claiming_request(DeduplicationDomain::Group, true).on_claim_reply(
        claimed_reply(sent_at(20_000)),
        true,
        19_000,
    );
    assert_eq!(in_future.0, RequestStep::Fail, "the clocks differ by more than configured");
    assert_eq!(
        claiming_request(DeduplicationDomain::All, true)
            .on_claim_reply(claimed_reply(sent_at(20_000)), true, 19_000)
            .0,
        RequestStep::Proceed(None)
    );
}

#[test]
fn unknown_state_is_rejected_and_stays_unknown() {
    let unknown = [StoredState::Absent, StoredState::Stage(Stage::Unknown), StoredState::Unreadable];
    for stored in unknown {
        let (step, end) = claiming_request(DeduplicationDomain::Group, true).on_claim_reply(
            claimed_reply(stored.clone()),
            true,
            5,
        );
        assert!(matches!(step, RequestStep::Reject(_)), "{stored:?}");
        assert_eq!(end, Some(ClaimEnd::ReleaseWith(Stage::Unknown)), "{stored:?}");
        let mut any_engine = claiming_request(DeduplicationDomain::All, true);
        assert_eq!(any_engine.on_claim_reply(claimed_reply(stored), true, 5).0, RequestStep::Proceed(None));
        assert_eq!(
            any_engine.on_request_end(RequestEnd::Unserved),
            Some(ClaimEnd::ReleaseWith(Stage::Unknown))
        );
    }
    for (is_trusted, proceeds) in [(true, true), (false, false)] {
        let reply = claimed_reply(StoredState::Stage(Stage::NeverRan));
        let (step, _) =
            claiming_request(DeduplicationDomain::Group, true).on_claim_reply(reply, is_trusted, 5);
        assert_eq!(step == RequestStep::Proceed(None), proceeds);
    }
    assert!(matches!(
        claiming_request(DeduplicationDomain::Group, false).on_claim_reply(None, true, 5).0,
        RequestStep::Reject(_)
    ));
}

#[test]
fn without_the_store_only_unsafe_retries_are_rejected() {
    for (domain, is_retry, proceeds) in [
        (DeduplicationDomain::All, true, true),
        (DeduplicationDomain::Group, false, true),
        (DeduplicationDomain::Group, true, false),
    ] {
        let mut keyed = KeyedRequest::new(domain, is_retry, WINDOW, MAX_CLOCK_SKEW);
        let step = keyed.on_arrival(false);
        assert_eq!(step == RequestStep::Proceed(None), proceeds, "{domain:?} {is_retry}");
    }
}
