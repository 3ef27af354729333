//! Keyed requests beside a shared Redis: the same key through several front ends, and a store that fails in each way.

mod support;

use reedwalk_gateway::config::Config;
use reedwalk_gateway::operator::{EngineWire, Operator, Store};
use reedwalk_gateway::serve::Running;
use reedwalk_gateway::shared_store::SharedStoreOptions;
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::console::{shows, yes};
use support::mysql::{Client, expected, fields};
use support::process::Process;
use support::redis::{Redis, Trouble, Value};
use support::{Ended, World, both_fronts, config, flight, folder, gateway, resp, settings, until};

const SHARES: &str = "reedwalk:1:key:batch-post:";

/// A front end with an engine in each of two halls. `scope` says which engines drop each other's repeats.
async fn front(engines: &[SocketAddr; 2], redis: SocketAddr, scope: &str) -> Running {
    front_on(engines, redis, scope, terms()).await
}

async fn front_on(
    engines: &[SocketAddr; 2],
    redis: SocketAddr,
    scope: &str,
    terms: SharedStoreOptions,
) -> Running {
    front_but(engines, redis, scope, terms, None).await
}

/// One that has one of the engines draining, and so sends to the other only.
async fn front_but(
    engines: &[SocketAddr; 2],
    redis: SocketAddr,
    scope: &str,
    terms: SharedStoreOptions,
    draining: Option<usize>,
) -> Running {
    let (settings, mut known) = halls(engines, scope);
    if let Some(engine) = draining {
        known["results"][0]["fleet"]["servers"][engine]["state"] = json!("draining");
    }
    let deployment = reedwalk_settings::read(&settings).unwrap();
    let config = Config { deployment, known: Some(known), ..config(engines) };
    let operator = Operator { store: Store::Redis(format!("redis://{redis}"), terms), ..Operator::default() };
    gateway(config, operator).await
}

/// Settings, and the list of the start, with a hall for each engine.
fn halls(engines: &[SocketAddr; 2], scope: &str) -> (serde_json::Value, serde_json::Value) {
    let mut settings = settings();
    settings["Localities"] = json!(["hall-a", "hall-b"]);
    // Engines that say nothing midway, so that a silent one is waited for.
    settings["Specifics"]["ProgressUs"] = json!(0);
    settings["RequestClasses"][2]["DedupScope"] = json!(scope);
    let mut known = support::known(engines);
    known["results"][0]["fleet"]["servers"][1]["zone"] = json!("hall-b");
    (settings, known)
}

/// The same as a process, which can be killed.
fn process(engines: &[SocketAddr; 2], redis: impl std::fmt::Display, scope: &str) -> Process {
    let (settings, known) = halls(engines, scope);
    let folder = folder();
    let (file, operator) = (folder.join("config.json"), folder.join("operator.kdl"));
    let any = "127.0.0.1:0";
    let config = json!({"name": "n0", "listen": any, "console": any, "seed": "8c1f30d27a5be964", "known": known,
        "limits": {"cores": 1.0, "memory_mb": 48, "sockets": 256}, "settings": settings});
    std::fs::write(&file, config.to_string()).unwrap();
    std::fs::write(
        &operator,
        format!("store redis=\"redis://{redis}\" {{\n  share-keys\n  wait \"500ms\"\n}}\n"),
    )
    .unwrap();
    Process::start(&file, &folder, Some(&operator))
}

/// Long waits, so that a machine that stands still for a moment is no store that fails.
fn terms() -> SharedStoreOptions {
    SharedStoreOptions { share_keys: true, wait: Duration::from_millis(500), ..SharedStoreOptions::default() }
}

async fn engines(world: &World) -> [SocketAddr; 2] {
    [resp::engine("a", world.clone()).await, resp::engine("b", world.clone()).await]
}

fn first(key: &str, statement: &str) -> String {
    fields("batch-post", 2000, Some(key), statement)
}

/// The same, marked as a client's retry.
fn again(key: &str, statement: &str) -> String {
    first(key, statement).replacen(" */", ",redo=1 */", 1)
}

async fn ended(front: &Running, text: &str) -> Ended {
    Client::connect(front.mysql).await.ended(text).await
}

/// How far a key has come, by the store's contents.
fn stage(redis: &Redis, key: &str) -> Option<String> {
    let contents = redis.save();
    match &contents.get(format!("{SHARES}{key}").as_bytes())?.value {
        Value::Hash(fields) => fields.get(&b"s"[..]).map(|s| String::from_utf8_lossy(s).into_owned()),
        Value::Text(_) => None,
    }
}

async fn reaches(redis: &Redis, key: &str, letter: &str) {
    until(&format!("the store says {letter} of {key}"), || stage(redis, key).as_deref() == Some(letter))
        .await;
}

/// Waits until a front end beats: it has found the store.
async fn found(redis: &Redis, fronts: usize) {
    until("the store is found", || {
        redis.save().keys().filter(|k| k.starts_with(b"reedwalk:1:count:")).count() >= fronts
    })
    .await;
}

fn effects(world: &World) -> usize {
    world.0.lock().unwrap().effects.len()
}

fn sends(world: &World) -> usize {
    world.sends("a") + world.sends("b")
}

#[tokio::test]
async fn retry_through_another_gateway_gets_the_stored_answer() {
    let (world, redis) = (World::default(), Redis::default());
    let (engines, address) = (engines(&world).await, redis.start().await);
    let fronts = [front(&engines, address, "all").await, front(&engines, address, "all").await];
    found(&redis, 2).await;
    assert_eq!(ended(&fronts[0], &first("k1", "INSERT 1")).await, Ended::Served);
    reaches(&redis, "k1", "d").await;
    let rows = Client::connect(fronts[1].mysql).await.ask(&again("k1", "INSERT 1")).await;
    assert_eq!(rows, Ok(expected()), "whole and unchanged, from the store");
    assert_eq!((effects(&world), sends(&world)), (1, 1));
    // Another key is another request.
    assert_eq!(ended(&fronts[1], &first("k2", "INSERT 1")).await, Ended::Served);
    assert_eq!(effects(&world), 2);
}

#[tokio::test]
async fn concurrent_requests_with_one_key_are_sent_by_one_gateway() {
    let (world, redis) = (World::default(), Redis::default());
    let (engines, address) = (engines(&world).await, redis.start().await);
    let fronts = [front(&engines, address, "zone").await, front(&engines, address, "zone").await];
    found(&redis, 2).await;
    let mut holder = Client::connect(fronts[0].mysql).await;
    holder.stream_query(&first("k1", "HANG INSERT")).await;
    reaches(&redis, "k1", "s").await;
    let came = Instant::now();
    assert_eq!(ended(&fronts[1], &again("k1", "HANG INSERT")).await, Ended::Refused("BUSY", true));
    assert!(came.elapsed() < Duration::from_secs(1), "answered at once");
    // The lease is renewed for as long as the first works on it.
    tokio::time::sleep(Duration::from_millis(1300)).await;
    assert_eq!(ended(&fronts[1], &again("k1", "HANG INSERT")).await, Ended::Refused("BUSY", true));
    assert_eq!(sends(&world), 1);
    drop(holder);
}

#[tokio::test]
async fn retry_stays_in_the_zone_of_the_first_attempt() {
    let (world, redis) = (World::default(), Redis::default());
    world.0.lock().unwrap().apart = true;
    let (engines, address) = (engines(&world).await, redis.start().await);
    // One that sends to hall-b, one that sends to hall-a, and one that may choose.
    let to_b = front_but(&engines, address, "zone", terms(), Some(0)).await;
    let to_a = front_but(&engines, address, "zone", terms(), Some(1)).await;
    let (firsts, chooses) = ([to_b, to_a], front(&engines, address, "zone").await);
    found(&redis, 3).await;
    for n in 0..8 {
        let (key, statement) = (format!("k{n}"), format!("INSERT {n}"));
        let before = [world.sends("a"), world.sends("b")];
        // Its client leaves at once: no answer is kept, and its place in the store is let go.
        let mut leaves = Client::connect(firsts[n % 2].mysql).await;
        leaves.stream_query(&first(&key, &format!("HANG {statement}"))).await;
        until("it was sent", || world.sends("a") + world.sends("b") > before[0] + before[1]).await;
        let hall = if world.sends("a") > before[0] { "a" } else { "b" };
        drop(leaves);
        let sent = world.sends(hall);
        let other = world.sends("a") + world.sends("b") - sent;
        let lease = format!("{SHARES}{key}:lease");
        until("it is let go", || !redis.save().contains_key(lease.as_bytes())).await;
        assert_eq!(ended(&chooses, &again(&key, &statement)).await, Ended::Served);
        assert!(world.sends(hall) > sent, "it went elsewhere");
        assert_eq!(world.sends("a") + world.sends("b") - world.sends(hall), other, "it went elsewhere");
    }
    assert_eq!(effects(&world), 0, "its hall drops what it remembers");
}

#[tokio::test]
async fn rejected_request_is_retried_in_the_recorded_zone() {
    let (world, redis) = (World::default(), Redis::default());
    world.0.lock().unwrap().apart = true;
    let (engines, address) = (engines(&world).await, redis.start().await);
    let front = front(&engines, address, "zone").await;
    found(&redis, 1).await;
    for n in 0..6 {
        let before = [world.sends("a"), world.sends("b")];
        // Each engine says that it is full: nothing ran.
        let end = ended(&front, &first(&format!("k{n}"), &format!("BUSY {n}"))).await;
        assert_eq!(end, Ended::Refused("BUSY", true));
        let sent = [world.sends("a") - before[0], world.sends("b") - before[1]];
        assert!(sent.contains(&0) && sent[0] + sent[1] > 1, "{sent:?}");
    }
}

#[tokio::test]
async fn without_the_store_only_safe_requests_are_served() {
    let (world, redis) = (World::default(), Redis::default());
    world.0.lock().unwrap().apart = true;
    let engines = engines(&world).await;
    // Nothing listens there.
    let gone = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let front = self::front(&engines, gone, "zone").await;
    let wide = self::front(&engines, gone, "all").await;
    for n in 0..5 {
        assert_eq!(ended(&wide, &again(&format!("w{n}"), "INSERT 1")).await, Ended::Served);
    }
    let by = Instant::now() + Duration::from_secs(5);
    // The first may meet the moment in which that is found out: then it was never sent.
    while ended(&front, &first("k1", "INSERT 2")).await != Ended::Served {
        assert!(Instant::now() < by, "never served without the store");
    }
    let before = sends(&world);
    assert_eq!(ended(&front, &again("k1", "INSERT 2")).await, Ended::Refused("BUSY", true));
    assert_eq!(sends(&world), before);
    drop(redis);
}

#[tokio::test]
async fn store_faults_cost_little_time_and_no_answer() {
    let (world, redis) = (World::default(), Redis::default());
    let (engines, address) = (engines(&world).await, redis.start().await);
    let usual = SharedStoreOptions { share_keys: true, ..SharedStoreOptions::default() };
    let front = front_on(&engines, address, "all", usual).await;
    found(&redis, 1).await;
    let troubles = [
        Trouble::Frozen,
        Trouble::FrozenMidway,
        Trouble::DropBefore,
        Trouble::DropAfter,
        Trouble::Slow(Duration::from_millis(200)),
        Trouble::Garbage,
        Trouble::Error("LOADING Redis is loading the dataset in memory"),
        Trouble::Error("READONLY You can't write against a read only replica."),
        Trouble::Error("OOM command not allowed when used memory > 'maxmemory'."),
        Trouble::Error("BUSY Redis is busy running a script."),
        Trouble::Error("MOVED 3999 127.0.0.1:6381"),
    ];
    for (n, trouble) in troubles.into_iter().enumerate() {
        redis.trouble(Some(trouble));
        for turn in 0..6 {
            let came = Instant::now();
            let text = first(&format!("k{n}-{turn}"), &format!("INSERT {n} {turn}"));
            assert_eq!(ended(&front, &text).await, Ended::Served, "{trouble:?}");
            assert!(came.elapsed() < Duration::from_millis(900), "{trouble:?}: {:?}", came.elapsed());
        }
        redis.trouble(None);
        // It is found again, and counts again.
        let by = Instant::now() + Duration::from_secs(20);
        for turn in 0.. {
            let key = format!("well{n}-{turn}");
            assert_eq!(ended(&front, &first(&key, "INSERT")).await, Ended::Served);
            if stage(&redis, &key).is_some() {
                break;
            }
            assert!(Instant::now() < by, "{trouble:?}: never asked again");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

#[tokio::test]
async fn unreadable_store_values_are_ignored() {
    let (world, redis) = (World::default(), Redis::default());
    world.0.lock().unwrap().apart = true;
    let (engines, address) = (engines(&world).await, redis.start().await);
    let narrow = front(&engines, address, "zone").await;
    let wide = front(&engines, address, "all").await;
    found(&redis, 2).await;
    let mut contents = redis.save();
    for (n, (s, v)) in [("s", &b"\x01\0\0\0\0garbled"[..]), ("d", b""), ("x", b"\x09"), ("s", b"\x02\0\0")]
        .into_iter()
        .enumerate()
    {
        let fields = [(b"s".to_vec(), s.as_bytes().to_vec()), (b"v".to_vec(), v.to_vec())];
        let entry = support::redis::Entry { value: Value::Hash(fields.into()), expires_ms: None };
        contents.insert(format!("{SHARES}k{n}").into_bytes(), entry.clone());
        contents.insert(format!("{SHARES}w{n}").into_bytes(), entry);
    }
    redis.restore(contents);
    for n in 0..4 {
        let refused = ended(&narrow, &first(&format!("k{n}"), "INSERT 1")).await;
        assert!(matches!(refused, Ended::Refused("BUSY", true)), "{n}: {refused:?}");
        assert_eq!(ended(&wide, &first(&format!("w{n}"), "INSERT 2")).await, Ended::Served, "{n}");
    }
    assert_eq!(effects(&world), 4);
}

#[tokio::test]
async fn restored_old_contents_do_not_move_a_key_to_another_zone() {
    let (world, redis) = (World::default(), Redis::default());
    world.0.lock().unwrap().apart = true;
    let (engines, address) = (engines(&world).await, redis.start().await);
    let fronts = [front(&engines, address, "zone").await, front(&engines, address, "zone").await];
    found(&redis, 2).await;
    let old = redis.save();
    assert_eq!(ended(&fronts[0], &first("k1", "INSERT 1")).await, Ended::Served);
    reaches(&redis, "k1", "d").await;
    redis.restore(old);
    // The answer was lost on its way; its client asks again, and the store knows nothing.
    for _ in 0..5 {
        assert_eq!(ended(&fronts[1], &again("k1", "INSERT 1")).await, Ended::Refused("BUSY", true));
    }
    assert_eq!(effects(&world), 1);
}

#[tokio::test]
async fn retry_over_flight_gets_the_stored_count() {
    let (world, redis) = (World::default(), Redis::default());
    let address = redis.start().await;
    let engines = [flight::engine("a", world.clone()).await, flight::engine("b", world.clone()).await];
    let operator = || Operator {
        store: Store::Redis(format!("redis://{address}"), terms()),
        ..both_fronts(EngineWire::FlightSql)
    };
    let fronts = [gateway(config(&engines), operator()).await, gateway(config(&engines), operator()).await];
    found(&redis, 2).await;
    let client = flight::Client::connect(fronts[0].flight.unwrap()).await;
    let given = client.of("batch-post", Some("k1")).update("INSERT 1").await.unwrap();
    reaches(&redis, "k1", "d").await;
    let client = flight::Client::connect(fronts[1].flight.unwrap()).await;
    let again = client.of("batch-post", Some("k1")).with("reedwalk-retry", "1");
    assert_eq!(again.update("INSERT 1").await.unwrap(), given);
    assert_eq!((effects(&world), sends(&world)), (1, 1));
}

/// Asks again until it is served; every answer before that says when to come back.
async fn served_at_last(front: &Running, text: &str) {
    let by = Instant::now() + Duration::from_secs(8);
    loop {
        match ended(front, text).await {
            Ended::Served => return,
            Ended::Refused("BUSY", true) => assert!(Instant::now() < by, "never served"),
            other => panic!("{other:?}"),
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn gateway_killed_between_claim_and_send_loses_nothing() {
    let (world, redis) = (World::default(), Redis::default());
    let (engines, address) = (engines(&world).await, redis.start().await);
    let (killed, other) = (process(&engines, address, "all"), front(&engines, address, "all").await);
    found(&redis, 2).await;
    // With all engines out by hand the request is held, its key claimed.
    assert!(yes(killed.console, "OFFLINE s-0").await && yes(killed.console, "OFFLINE s-1").await);
    let mut waits = Client::connect(killed.mysql).await;
    waits.stream_query(&first("k1", "INSERT 1")).await;
    reaches(&redis, "k1", "c").await;
    shows(killed.console, "the request that waits", |f| f["pending"] == 1).await;
    drop(killed);
    served_at_last(&other, &again("k1", "INSERT 1")).await;
    assert_eq!((effects(&world), sends(&world)), (1, 1));
}

#[tokio::test]
async fn gateway_killed_between_send_and_answer_leaves_its_record() {
    let (world, redis) = (World::default(), Redis::default());
    world.0.lock().unwrap().apart = true;
    let (engines, address) = (engines(&world).await, redis.start().await);
    let (killed, other) = (process(&engines, address, "zone"), front(&engines, address, "zone").await);
    found(&redis, 2).await;
    let mut waits = Client::connect(killed.mysql).await;
    waits.stream_query(&first("k1", "LATER INSERT 1")).await;
    until("it was sent", || sends(&world) == 1).await;
    let halls = [world.sends("a"), world.sends("b")];
    drop(killed);
    served_at_last(&other, &again("k1", "LATER INSERT 1")).await;
    assert_eq!([world.sends("a"), world.sends("b")], halls.map(|n| 2 * n), "the other hall was sent to");
}

#[tokio::test]
async fn gateway_killed_between_answer_and_record_is_covered_by_engine_deduplication() {
    let (world, redis) = (World::default(), Redis::default());
    world.0.lock().unwrap().apart = true;
    let (engines, address) = (engines(&world).await, redis.start().await);
    let (killed, other) = (process(&engines, address, "zone"), front(&engines, address, "zone").await);
    found(&redis, 2).await;
    // The claim and the mark are taken; the answer is never written down.
    redis.trouble_with("d", Trouble::DropBefore);
    let answer = Client::connect(killed.mysql).await.ask(&first("k1", "INSERT 1")).await;
    assert_eq!(answer, Ok(expected()));
    drop(killed);
    assert_eq!(stage(&redis, "k1").as_deref(), Some("s"));
    served_at_last(&other, &again("k1", "INSERT 1")).await;
    assert_eq!(sends(&world), 2);
    assert_eq!(effects(&world), 1);
}

#[tokio::test]
async fn wrong_password_is_logged_once_and_the_right_one_works() {
    let (world, redis) = (World::default(), Redis::default());
    redis.password("right");
    let (engines, address) = (engines(&world).await, redis.start().await);
    let shut_out = process(&engines, format!("default:wrong@{address}"), "all");
    let mut client = Client::connect(shut_out.mysql).await;
    until("it is told", || shut_out.said("shared store") > 0).await;
    for n in 0..20 {
        assert_eq!(client.ended(&first(&format!("k{n}"), "INSERT 1")).await, Ended::Served);
    }
    assert_eq!(shut_out.said("shared store"), 1, "said once");
    let let_in = process(&engines, format!("default:right@{address}"), "all");
    found(&redis, 1).await;
    let mut client = Client::connect(let_in.mysql).await;
    assert_eq!(client.ended(&first("k-in", "INSERT 1")).await, Ended::Served);
    reaches(&redis, "k-in", "d").await;
}

#[tokio::test]
async fn gateway_cut_off_from_the_store_moves_no_retry_to_another_zone() {
    let (world, redis) = (World::default(), Redis::default());
    world.0.lock().unwrap().apart = true;
    let (engines, address) = (engines(&world).await, redis.start().await);
    let gone = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let (sees, cut_off) = (front(&engines, address, "zone").await, front(&engines, gone, "zone").await);
    found(&redis, 1).await;
    for n in 0..6 {
        let (key, statement) = (format!("k{n}"), format!("INSERT {n}"));
        assert_eq!(ended(&sees, &first(&key, &statement)).await, Ended::Served);
        reaches(&redis, &key, "d").await;
        assert_eq!(ended(&cut_off, &again(&key, &statement)).await, Ended::Refused("BUSY", true));
        assert_eq!(ended(&sees, &again(&key, &statement)).await, Ended::Served, "from the store");
    }
    assert_eq!((effects(&world), sends(&world)), (6, 6));
}

#[tokio::test]
async fn invalid_store_url_is_an_error_at_the_start() {
    let operator = Operator { store: Store::Redis("http://nowhere".into(), terms()), ..Operator::default() };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    assert!(reedwalk_gateway::serve::start(config(&[]), operator, &log).await.is_err());
}
