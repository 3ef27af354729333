//! Where engines deduplicate within their zone only, all attempts of a key stay in the zone of the first one.

use crate::support::mysql::Client;
use crate::support::{Outcome, until, unused_address};
use crate::{Fixture, KEY_PREFIX, keyed_request, keyed_retry, outcome};

#[tokio::test]
async fn retry_stays_in_the_zone_of_the_first_attempt() {
    let fixture = Fixture::start_with_separate_engines().await;
    // One gateway that sends to engine b only, one that sends to engine a only, and one that sends to both.
    let to_b = fixture.gateway_with_draining("zone", 0).await;
    let to_a = fixture.gateway_with_draining("zone", 1).await;
    let (restricted, unrestricted) = ([to_b, to_a], fixture.gateway("zone").await);
    fixture.wait_for_registered_gateways(3).await;
    for n in 0..8 {
        let (key, statement) = (format!("k{n}"), format!("INSERT {n}"));
        let before = fixture.attempts_by_engine();
        // The client disconnects at once: no answer is stored, and the claim of the key is released.
        let mut disconnecting = Client::connect(restricted[n % 2].mysql).await;
        disconnecting.send_query(&keyed_request(&key, &format!("HANG {statement}"))).await;
        until("the attempt was sent", || fixture.attempts() > before[0] + before[1]).await;
        let engine = if fixture.test_bed.attempts_at("a") > before[0] { "a" } else { "b" };
        drop(disconnecting);
        let sent = fixture.test_bed.attempts_at(engine);
        let other_attempts = fixture.attempts() - sent;
        let lease = format!("{KEY_PREFIX}{key}:lease");
        until("the claim is released", || !fixture.redis.save().contains_key(lease.as_bytes())).await;
        assert_eq!(outcome(&unrestricted, &keyed_retry(&key, &statement)).await, Outcome::Served);
        assert!(fixture.test_bed.attempts_at(engine) > sent, "no attempt in the zone of the first one");
        assert_eq!(
            fixture.attempts() - fixture.test_bed.attempts_at(engine),
            other_attempts,
            "an attempt in the other zone"
        );
    }
    assert_eq!(fixture.effects(), 0, "the zone drops the repeat of a key");
}

#[tokio::test]
async fn rejected_request_is_retried_in_the_recorded_zone() {
    let fixture = Fixture::start_with_separate_engines().await;
    let gateway = fixture.gateway("zone").await;
    fixture.wait_for_registered_gateways(1).await;
    for n in 0..6 {
        let before = fixture.attempts_by_engine();
        // The engines reject every attempt: nothing ran.
        let rejected = outcome(&gateway, &keyed_request(&format!("k{n}"), &format!("BUSY {n}"))).await;
        assert_eq!(rejected, Outcome::Rejected("BUSY", true));
        let after = fixture.attempts_by_engine();
        let sent = [after[0] - before[0], after[1] - before[1]];
        assert!(sent.contains(&0) && sent[0] + sent[1] > 1, "{sent:?}");
    }
}

#[tokio::test]
async fn restored_old_contents_do_not_move_a_key_to_another_zone() {
    let fixture = Fixture::start_with_separate_engines().await;
    let gateways = [fixture.gateway("zone").await, fixture.gateway("zone").await];
    fixture.wait_for_registered_gateways(2).await;
    let old = fixture.redis.save();
    assert_eq!(outcome(&gateways[0], &keyed_request("k1", "INSERT 1")).await, Outcome::Served);
    fixture.wait_for_key_state("k1", "d").await;
    fixture.redis.restore(old);
    // The client did not get the answer and retries, while the restored store has no record of the key.
    for _ in 0..5 {
        assert_eq!(
            outcome(&gateways[1], &keyed_retry("k1", "INSERT 1")).await,
            Outcome::Rejected("BUSY", true)
        );
    }
    assert_eq!(fixture.effects(), 1);
}

#[tokio::test]
async fn gateway_cut_off_from_the_store_moves_no_retry_to_another_zone() {
    let fixture = Fixture::start_with_separate_engines().await;
    let connected = fixture.gateway("zone").await;
    let cut_off = fixture.gateway_at(unused_address().await, "zone").await;
    fixture.wait_for_registered_gateways(1).await;
    for n in 0..6 {
        let (key, statement) = (format!("k{n}"), format!("INSERT {n}"));
        assert_eq!(outcome(&connected, &keyed_request(&key, &statement)).await, Outcome::Served);
        fixture.wait_for_key_state(&key, "d").await;
        assert_eq!(outcome(&cut_off, &keyed_retry(&key, &statement)).await, Outcome::Rejected("BUSY", true));
        assert_eq!(
            outcome(&connected, &keyed_retry(&key, &statement)).await,
            Outcome::Served,
            "from the store"
        );
    }
    assert_eq!((fixture.effects(), fixture.attempts()), (6, 6));
}
