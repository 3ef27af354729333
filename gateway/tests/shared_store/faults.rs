//! A store that is absent, failing, slow or inconsistent adds little delay, and no answer or effect is lost.

use crate::support::mysql::Client;
use crate::support::redis::{Entry, Fault, Value};
use crate::support::{Outcome, config, discard_log, until, unused_address};
use crate::{Fixture, KEY_PREFIX, keyed_request, keyed_retry, outcome, store_options};
use reedwalk_gateway::operator::{BudgetStore, OperatorConfig};
use reedwalk_gateway::shared_store::SharedStoreOptions;
use std::time::{Duration, Instant};

#[tokio::test]
async fn without_the_store_only_safe_requests_are_served() {
    let fixture = Fixture::start_with_separate_engines().await;
    let store = unused_address().await;
    let gateway = fixture.gateway_at(store, "zone").await;
    let wide_scope = fixture.gateway_at(store, "all").await;
    for n in 0..5 {
        assert_eq!(outcome(&wide_scope, &keyed_retry(&format!("w{n}"), "INSERT 1")).await, Outcome::Served);
    }
    let deadline = Instant::now() + Duration::from_secs(5);
    // The first request may be rejected unsent, before the gateway has detected that the store is absent.
    while outcome(&gateway, &keyed_request("k1", "INSERT 2")).await != Outcome::Served {
        assert!(Instant::now() < deadline, "never served without the store");
    }
    let before = fixture.attempts();
    assert_eq!(outcome(&gateway, &keyed_retry("k1", "INSERT 2")).await, Outcome::Rejected("BUSY", true));
    assert_eq!(fixture.attempts(), before);
}

#[tokio::test]
async fn store_faults_cost_little_time_and_no_answer() {
    let fixture = Fixture::start().await;
    let default_timeouts = SharedStoreOptions { share_keys: true, ..SharedStoreOptions::default() };
    let gateway = fixture.gateway_with(fixture.store, "all", default_timeouts, None).await;
    fixture.wait_for_registered_gateways(1).await;
    let faults = [
        Fault::Frozen,
        Fault::FrozenMidway,
        Fault::DropBefore,
        Fault::DropAfter,
        Fault::Slow(Duration::from_millis(200)),
        Fault::Garbage,
        Fault::Error("LOADING Redis is loading the dataset in memory"),
        Fault::Error("READONLY You can't write against a read only replica."),
        Fault::Error("OOM command not allowed when used memory > 'maxmemory'."),
        Fault::Error("BUSY Redis is busy running a script."),
        Fault::Error("MOVED 3999 127.0.0.1:6381"),
    ];
    for (n, fault) in faults.into_iter().enumerate() {
        fixture.redis.set_fault(Some(fault));
        for request_number in 0..6 {
            let started = Instant::now();
            let text =
                keyed_request(&format!("k{n}-{request_number}"), &format!("INSERT {n} {request_number}"));
            assert_eq!(outcome(&gateway, &text).await, Outcome::Served, "{fault:?}");
            assert!(started.elapsed() < Duration::from_millis(900), "{fault:?}: {:?}", started.elapsed());
        }
        fixture.redis.set_fault(None);
        // After the fault the gateway uses the store and records keys again.
        let deadline = Instant::now() + Duration::from_secs(20);
        for request_number in 0.. {
            let key = format!("recovered{n}-{request_number}");
            assert_eq!(outcome(&gateway, &keyed_request(&key, "INSERT")).await, Outcome::Served);
            if fixture.key_state(&key).is_some() {
                break;
            }
            assert!(Instant::now() < deadline, "{fault:?}: the store was never used again");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

#[tokio::test]
async fn unreadable_store_values_are_ignored() {
    let fixture = Fixture::start_with_separate_engines().await;
    let zone_scope = fixture.gateway("zone").await;
    let wide_scope = fixture.gateway("all").await;
    fixture.wait_for_registered_gateways(2).await;
    let mut contents = fixture.redis.save();
    for (n, (state, value)) in
        [("s", &b"\x01\0\0\0\0garbled"[..]), ("d", b""), ("x", b"\x09"), ("s", b"\x02\0\0")]
            .into_iter()
            .enumerate()
    {
        let fields = [(b"s".to_vec(), state.as_bytes().to_vec()), (b"v".to_vec(), value.to_vec())];
        let entry = Entry { value: Value::Hash(fields.into()), expires_ms: None };
        contents.insert(format!("{KEY_PREFIX}k{n}").into_bytes(), entry.clone());
        contents.insert(format!("{KEY_PREFIX}w{n}").into_bytes(), entry);
    }
    fixture.redis.restore(contents);
    for n in 0..4 {
        let rejected = outcome(&zone_scope, &keyed_request(&format!("k{n}"), "INSERT 1")).await;
        assert!(matches!(rejected, Outcome::Rejected("BUSY", true)), "{n}: {rejected:?}");
        assert_eq!(
            outcome(&wide_scope, &keyed_request(&format!("w{n}"), "INSERT 2")).await,
            Outcome::Served,
            "{n}"
        );
    }
    assert_eq!(fixture.effects(), 4);
}

#[tokio::test]
async fn wrong_password_is_logged_once_and_the_right_one_works() {
    let fixture = Fixture::start().await;
    fixture.redis.require_password("right");
    let rejected = fixture.process("default:wrong@", "all");
    let mut client = Client::connect(rejected.mysql).await;
    until("the fault is logged", || rejected.logged("shared store") > 0).await;
    for n in 0..20 {
        assert_eq!(client.outcome(&keyed_request(&format!("k{n}"), "INSERT 1")).await, Outcome::Served);
    }
    assert_eq!(rejected.logged("shared store"), 1, "logged once");
    let accepted = fixture.process("default:right@", "all");
    fixture.wait_for_registered_gateways(1).await;
    let mut client = Client::connect(accepted.mysql).await;
    assert_eq!(client.outcome(&keyed_request("k-accepted", "INSERT 1")).await, Outcome::Served);
    fixture.wait_for_key_state("k-accepted", "d").await;
}

#[tokio::test]
async fn invalid_store_url_is_an_error_at_the_start() {
    let operator = OperatorConfig {
        store: BudgetStore::Redis("http://nowhere".into(), store_options()),
        ..OperatorConfig::default()
    };
    assert!(reedwalk_gateway::serve::start(config(&[]), operator, &discard_log()).await.is_err());
}
