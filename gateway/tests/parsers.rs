//! Property tests of the parsers, with a fixed seed: valid messages in random fragments, and random bytes.

mod support;

use bytes::{Bytes, BytesMut};
use proptest::prelude::*;
use reedwalk_gateway::engine::resp::wire::{put_array, put_attempt, read_page, read_reply, take_array};
use reedwalk_gateway::front::flight::metadata::parse_timeout;
use reedwalk_gateway::front::mysql::fields::take_fields;
use reedwalk_gateway::front::mysql::packet::{Writer, read_command, read_login, take_packet};
use reedwalk_gateway::front::sql::{kill_query, table_group};
use reedwalk_gateway::message::Rows;
use support::proptest_cases;

/// Splits `bytes` at these offsets, taken modulo its length plus one.
fn fragments(bytes: &[u8], offsets: &[usize]) -> Vec<Vec<u8>> {
    let mut bounds: Vec<_> = offsets.iter().map(|o| o % (bytes.len() + 1)).chain([0, bytes.len()]).collect();
    bounds.sort_unstable();
    bounds.windows(2).map(|w| bytes[w[0]..w[1]].to_vec()).collect()
}

proptest! {
    #![proptest_config(proptest_cases(256))]

    #[test]
    fn arrays_are_read_from_any_fragments(
        messages in prop::collection::vec(prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 1..5), 1..5),
        offsets in prop::collection::vec(any::<usize>(), 0..12),
    ) {
        let mut sent = BytesMut::new();
        for elements in &messages {
            put_array(&mut sent, &elements.iter().map(Vec::as_slice).collect::<Vec<_>>());
        }
        let (mut buffer, mut received) = (BytesMut::new(), Vec::new());
        for fragment in fragments(&sent, &offsets) {
            buffer.extend_from_slice(&fragment);
            while let Some(elements) = take_array(&mut buffer).unwrap() {
                received.push(elements.iter().map(|e| e.to_vec()).collect::<Vec<_>>());
            }
        }
        prop_assert_eq!(received, messages);
        prop_assert!(buffer.is_empty());
    }

    #[test]
    fn packets_are_read_from_any_fragments(
        statements in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..300), 1..5),
        offsets in prop::collection::vec(any::<usize>(), 0..12),
    ) {
        let mut sent = BytesMut::new();
        for statement in &statements {
            sent.extend_from_slice(&(statement.len() as u32 + 1).to_le_bytes()[..3]);
            sent.extend_from_slice(&[0, 3]);
            sent.extend_from_slice(statement);
        }
        let (mut buffer, mut received) = (BytesMut::new(), Vec::new());
        for fragment in fragments(&sent, &offsets) {
            buffer.extend_from_slice(&fragment);
            while let Some(packet) = take_packet(&mut buffer, 0).unwrap() {
                received.push(packet[1..].to_vec());
            }
        }
        prop_assert_eq!(received, statements);
    }

    #[test]
    fn truncated_login_is_rejected_or_lacks_trailing_strings(cut in 0usize..64, flags in any::<u32>()) {
        let mut complete = (flags | 0x8200).to_le_bytes().to_vec();
        complete.extend_from_slice(&[0; 28]);
        complete.extend_from_slice(b"app\0\0analytics\0");
        let cut = cut.min(complete.len());
        match read_login(Bytes::from(complete[..cut].to_vec())) {
            Ok(login) => prop_assert!(cut >= 32 + 5 && &login.user[..] == b"app" && login.empty_password),
            Err(_) => prop_assert!(cut < 32 + 5 || flags & 0x800 != 0),
        }
    }

    #[test]
    fn malformed_bytes_are_an_error_or_incomplete(random_bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut buffer = BytesMut::from(&random_bytes[..]);
        while let Ok(Some(elements)) = take_array(&mut buffer) {
            let _ = read_reply(elements);
        }
        let bytes = Bytes::from(random_bytes.clone());
        let _ = take_packet(&mut BytesMut::from(&random_bytes[..]), 0);
        let _ = (read_login(bytes.clone()), read_command(bytes.clone()), take_fields(&bytes));
        let _ = (table_group(&bytes), kill_query(&bytes), read_page(&bytes, &mut Rows::default()));
        let id = random_bytes.first_chunk().map_or(0, |id| u16::from_be_bytes(*id));
        let _ = reedwalk_gateway::discovery::dns::parse_answer(&random_bytes, &[id]);
        let _ = parse_timeout(&String::from_utf8_lossy(&random_bytes));
    }

    #[test]
    fn sql_like_text_is_read_without_panic(text in "[/*'\"`#\\-a-z_0-9=,. \n]{0,80}") {
        let bytes = Bytes::from(text);
        let _ = (table_group(&bytes), kill_query(&bytes), take_fields(&bytes));
    }

    #[test]
    fn page_rows_keep_their_order(cells in prop::collection::vec("[a-z0-9 ]{0,9}", 0..30)) {
        let cells = &cells[..cells.len() / 3 * 3];
        let page: String = cells.chunks(3).map(|row| row.join("\t") + "\n").collect();
        let mut rows = Rows::default();
        read_page(&Bytes::from(page.clone()), &mut rows).unwrap();
        let read: Vec<_> = rows.cells.iter().map(|c| c.clone().unwrap().to_vec()).collect();
        prop_assert_eq!(read, cells.iter().map(|c| c.clone().into_bytes()).collect::<Vec<_>>());
        if !page.is_empty() {
            let truncated = Bytes::from(page).slice(..cells.len() / 3);
            prop_assert!(truncated.ends_with(b"\n") || read_page(&truncated, &mut Rows::default()).is_err());
        }
    }
}

const FIELDS: &str = "route=report,trace=9b1f03aa5c7e2d41,patience=1500";

#[test]
fn only_the_fields_comment_is_removed() {
    let statement = |text: String| take_fields(&Bytes::from(text)).map(|t| t.1);
    assert_eq!(statement(format!("/* {FIELDS} */ SELECT /* x */ 1")).unwrap(), "SELECT /* x */ 1");
    assert_eq!(statement(format!(" /* a hint */ /*{FIELDS}*/SELECT 1 ")).unwrap(), "/* a hint */ SELECT 1 ");
    assert!(statement(format!("SELECT 1 /* {FIELDS} */")).is_err());
    assert!(statement("/* route=report,trace=xyz,patience=1 */ SELECT 1".into()).is_err());
    assert!(statement("/* route=report,trace=9b1f03aa5c7e2d41 */ SELECT 1".into()).is_err());
}

#[test]
fn table_group_is_found_outside_strings_and_comments() {
    let cases = [
        ("SELECT day, count(*), max(note) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day", Some(17)),
        ("SELECT a FROM /* sales_3.x */ sales_4.orders", Some(4)),
        ("SELECT 'from sales_3.x', a -- from sales_5.y\n FROM sales_4.orders", Some(4)),
        ("INSERT INTO `sales_9`.`orders` SELECT * FROM staging.batch_12", Some(9)),
        ("INSERT INTO staging.load_3 SELECT * FROM sales_8.orders", Some(8)),
        ("SELECT o_1.day FROM sales_17.orders o_1", Some(17)),
        ("SELECT 'it''s \\' FROM sales_1.t' FROM sales_2.t", Some(2)),
        ("SELECT 1", None),
        ("SELECT \"from sales_3.x\"", None),
    ];
    for (text, expected) in cases {
        assert_eq!(table_group(text.as_bytes()), expected, "{text}");
    }
    assert_eq!(kill_query(b"KILL QUERY 41"), Some(41));
    assert_eq!(kill_query(b"KILL 41"), None);
}

#[test]
fn result_set_follows_the_protocol() {
    let cell = |text: &'static str| Some(Bytes::from(text));
    let rows = Rows { columns: 3, cells: vec![cell("a"), None, cell("c")], ..Rows::default() };
    let mut out = BytesMut::new();
    Writer::new(&mut out, 1).rows(&rows);
    let mut packets = Vec::new();
    for sequence in 1.. {
        match take_packet(&mut out, sequence).unwrap() {
            Some(packet) => packets.push(packet),
            None => break,
        }
    }
    assert_eq!(packets.len(), 1 + 3 + 1 + 1 + 1);
    assert_eq!(&packets[0][..], [3]);
    assert_eq!(&packets[5][..], b"\x01a\xfb\x01c");
    assert!([4, 6].iter().all(|p| packets[*p].starts_with(&[0xfe]) && packets[*p].len() == 5));
}

#[test]
fn grpc_timeout_has_at_most_eight_digits_and_a_unit() {
    use std::time::Duration;
    assert_eq!(parse_timeout("250m"), Some(Duration::from_millis(250)));
    assert_eq!(parse_timeout("2S"), Some(Duration::from_secs(2)));
    assert!(["", "m", "123456789m", "1x", "-1m", "1\u{e9}"].iter().all(|t| parse_timeout(t).is_none()));
}

#[test]
fn attempt_carries_its_set_fields_only() {
    use reedwalk_gateway::message::{AttemptId, AttemptRequest};
    use reedwalk_scheduler::{ClassId, EngineId};
    use std::time::Duration;
    let now = tokio::time::Instant::now();
    let attempt = |memory_mb, key: Option<&'static str>| AttemptRequest {
        id: AttemptId(1),
        engine: EngineId(1),
        trace_id: Bytes::from_static(b"9b1f03aa5c7e2d41"),
        class: ClassId(0),
        deadline: now + Duration::from_millis(1500),
        write_deadline: now + Duration::from_millis(1500),
        cancelled: Default::default(),
        idempotency_key: key.map(|key| Bytes::from_static(key.as_bytes())),
        memory_mb,
        priority: 2,
        is_update: false,
        statement: Bytes::from_static(b"SELECT 1"),
    };
    let encoded_elements = |attempt| {
        let mut out = BytesMut::new();
        put_attempt(&mut out, &attempt, "report", now);
        let elements = take_array(&mut out).unwrap().unwrap();
        elements.iter().map(|e| String::from_utf8(e.to_vec()).unwrap()).collect::<Vec<_>>()
    };
    let all_fields = encoded_elements(attempt(Some(95.2), Some("5c0f")));
    assert_eq!(
        all_fields,
        ["PULL", "9b1f03aa5c7e2d41", "lane=report,ttl=1500,band=2,pool=96,dedupe=5c0f", "SELECT 1"]
    );
    assert_eq!(encoded_elements(attempt(None, None))[2], "lane=report,ttl=1500,band=2");
}

#[test]
fn reply_is_read_with_its_usage_load_and_progress() {
    let reply = |elements: &[&'static str]| {
        read_reply(elements.iter().map(|e| Bytes::from_static(e.as_bytes())).collect())
    };
    let ok =
        reply(&["t", "200", "total=3,elapsed=820.5,rss=96,rep=inflight:7;util:0.61;x1:nan", "a\tb\tc\n"])
            .unwrap();
    assert_eq!(
        (ok.pages, ok.usage.unwrap().work.as_micros(), ok.usage.unwrap().memory_mb),
        (3, 820_500, 96.0)
    );
    assert_eq!(
        (ok.load.unwrap().cpu, ok.load.unwrap().in_flight, ok.load.unwrap().disk),
        (Some(0.61), Some(7.0), None)
    );
    let progress = |fields| reply(&["t", "status", fields, ""]).unwrap().progress;
    assert_eq!(progress("why=pct,datum=0.5"), Some(reedwalk_scheduler::ProgressReport::FractionDone(0.5)));
    assert_eq!(progress("why=queued,datum=2"), Some(reedwalk_scheduler::ProgressReport::WaitingForLoad));
    assert_eq!(progress("-"), None);
    assert!(reply(&["t", "299", "-", ""]).is_err() && reply(&["t"]).is_err());
}
