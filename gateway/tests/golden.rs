//! Compatibility with data that earlier versions stored: the keys and values in the shared store, the process files of
//! a hot restart, and the owner ids by which a gateway recognizes its own snapshot.

mod support;

use reedwalk_gateway::hot_restart::HotRestart;
use reedwalk_gateway::persistence::owner;
use reedwalk_gateway::shared_store::SharedStoreOptions;
use reedwalk_gateway::shared_store::client::SharedStoreClient;
use reedwalk_operations::ProcessStage;
use reedwalk_shared_store::idempotency::{ClaimEnd, SendRecord};
use std::collections::BTreeMap;
use std::fs::File;
use std::sync::Arc;
use std::time::Duration;
use support::redis::{Redis, Value};
use support::{config, discard_log, folder, until};
use tokio::time::Instant;

const GATEWAY_INCARNATION: u64 = 0xabc;
/// How long engines drop repeats of a key.
const DEDUPLICATION_WINDOW: Duration = Duration::from_secs(12);
/// The stored record of a sent request, in hexadecimal.
const SENT_RECORD_HEX: &str = "01d50e77fc07ce9eded8ad33";
/// The stored answer, in hexadecimal.
const ANSWER_HEX: &str = "01df2f6eba11616e20616e737765722c207061636b6564";

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The keys in the store with their values: a text unchanged, a hash as its fields, and the field `v` in hexadecimal.
fn contents(redis: &Redis) -> BTreeMap<String, String> {
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_owned()).unwrap();
    let field = |(name, value): (&Vec<u8>, &Vec<u8>)| {
        let name = text(name);
        let value = if name == "v" { hex(value) } else { text(value) };
        format!("{name}={value}")
    };
    let value = |value: &Value| match value {
        Value::Text(bytes) => text(bytes),
        Value::Hash(fields) => fields.iter().map(field).collect::<Vec<_>>().join(" "),
    };
    redis.save().iter().map(|(key, entry)| (text(key), value(&entry.value))).collect()
}

fn pairs<const N: usize>(pairs: [(&str, &str); N]) -> BTreeMap<String, String> {
    pairs.into_iter().map(|(key, value)| (key.to_owned(), value.to_owned())).collect()
}

#[tokio::test]
async fn shared_store_keys_and_values_are_unchanged() {
    let redis = Redis::default();
    let url = format!("redis://{}", redis.start().await);
    let client = Arc::new(
        SharedStoreClient::new(
            &url,
            SharedStoreOptions::default(),
            GATEWAY_INCARNATION,
            DEDUPLICATION_WINDOW,
            discard_log(),
        )
        .unwrap(),
    );
    let deadline = || Instant::now() + Duration::from_secs(5);
    let (key, holder) = (client.request_key("batch-post", b"k1"), client.next_holder());
    client.claim(&key, holder, false, DEDUPLICATION_WINDOW, deadline()).await.expect("claimed");
    let (entry, lease) = ("reedwalk:1:key:batch-post:k1", "reedwalk:1:key:batch-post:k1:lease");
    let holder_name = "0000000000000abc-1";
    let claimed = format!("h={holder_name} s=c");
    assert_eq!(contents(&redis), pairs([(entry, &claimed), (lease, holder_name)]));

    let sent = SendRecord { group: 7, at_ms: 1_764_612_345_678 };
    assert_eq!(client.record_sent(&key, holder, sent, DEDUPLICATION_WINDOW, deadline()).await, Some(true));
    let sent = format!("h={holder_name} s=s v={SENT_RECORD_HEX}");
    assert_eq!(contents(&redis), pairs([(entry, &sent), (lease, holder_name)]));

    let budget = client.quota_key("acquiring", 60_000, 29_410_205);
    assert_eq!(client.lease_quota(&budget, 25, 600, u64::MAX >> 12, deadline()).await, Some(25));
    client.end_claim(key, holder, DEDUPLICATION_WINDOW, ClaimEnd::Done(b"an answer, packed".to_vec()));
    let writer = tokio::spawn(client.run());
    let done = format!("h= s=d v={ANSWER_HEX}");
    until("the answer is stored", || contents(&redis).get(entry) == Some(&done)).await;
    writer.abort();
    let mut stored = contents(&redis);
    let count = stored.remove("reedwalk:1:count:0000000000000abc").expect("the count of the gateway");
    assert!(count.parse::<u64>().is_ok(), "{count}");
    assert_eq!(stored, pairs([(entry, &done), ("reedwalk:1:budget:acquiring:60000:29410205", "25")]));
}

#[test]
fn process_file_format_is_unchanged() {
    let folder = folder();
    let mut process = HotRestart::register(&folder, "n0-3306", discard_log());
    let read = || std::fs::read_to_string(folder.join("n0-3306.process-0")).unwrap();
    assert_eq!(read(), "starting");
    process.set_stage(ProcessStage::Serving);
    assert_eq!(read(), "serving ");
    process.set_stage(ProcessStage::Closing);
    assert_eq!(read(), "closing ");
}

#[test]
fn console_file_format_is_unchanged() {
    let folder = folder();
    let mut process = HotRestart::register(&folder, "n0-3306", discard_log());
    process.announce_console("127.0.0.1:9800".parse().unwrap());
    assert_eq!(std::fs::read_to_string(folder.join("n0-3306.console-0")).unwrap(), "127.0.0.1:9800\n");
    let other = HotRestart::register(&folder, "n0-3306", discard_log());
    assert_eq!((process.slot(), other.slot()), (Some(0), Some(1)));
    assert_eq!(*other.other_consoles().borrow(), ["127.0.0.1:9800".parse().unwrap()]);
    // A process that has written no address is not reached, and one that has ended leaves its file behind.
    process.scan();
    assert!(process.other_consoles().borrow().is_empty());
    drop(process);
    let mut other = other;
    other.scan();
    assert!(other.other_consoles().borrow().is_empty());
}

#[test]
fn process_file_of_the_previous_version_is_read() {
    for (word, share, other_process_serves) in
        [("starting", 0.5, false), ("serving ", 0.5, true), ("closing ", 0.75, false)]
    {
        let folder = folder();
        let path = folder.join("n0-3306.process-0");
        std::fs::write(&path, word).unwrap();
        let other_process = File::open(&path).unwrap();
        other_process.lock().unwrap();
        let process = HotRestart::register(&folder, "n0-3306", discard_log());
        let capacity = *process.share().borrow();
        assert_eq!((capacity.share, capacity.other_process_serves), (share, other_process_serves), "{word}");
    }
}

#[test]
fn snapshot_owner_ids_are_unchanged() {
    let owner = owner(&config(&[]));
    assert_eq!((owner.gateway, owner.settings), (2_437_067_630_976_460_137, 778_519_516_823_575_185));
}
