//! Guards the wire format against changes: encoded datagrams must equal recorded ones. The file has a datagram
//! without content, one with a fact of each kind and one with heartbeats, each with a checksum and signed.

use reedwalk_gossip::{Datagram, EngineKey, Fact, FactKind, Heartbeat, SigningKey, SigningKeys};

const GOLDEN: &str = include_str!("golden/datagrams.hex");

fn from_hex(digits: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).expect("two hexadecimal digits");
    (0..digits.len()).step_by(2).map(byte).collect()
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn empty() -> Datagram {
    Datagram { from: 299, incarnation: 1_764_612_345_678, sent: 1_764_612_399_123_456, ..Datagram::default() }
}

fn facts() -> Datagram {
    let kinds = [
        FactKind::Failing,
        FactKind::Unresponsive,
        FactKind::AttemptFailed,
        FactKind::Restarted,
        FactKind::Slow,
        FactKind::ThreadUse,
        FactKind::Unknown(99),
    ];
    let fact = |(index, kind): (usize, FactKind)| Fact {
        engine: EngineKey::from(format!("s-{index}").as_str()),
        started: 1_764_600_000 + index as u32,
        kind: kind.into(),
        ttl_centis: 800 - index as u16,
        value: 24 * index as u8,
    };
    Datagram { facts: kinds.into_iter().enumerate().map(fact).collect(), ..empty() }
}

fn heartbeats() -> Datagram {
    let heartbeats = vec![
        Heartbeat { skip: 1, age: 0 },
        Heartbeat { skip: 255, age: 17 },
        Heartbeat { skip: 0, age: 255 },
    ];
    Datagram { heartbeats, ..empty() }
}

fn datagrams() -> Vec<(SigningKeys, Datagram)> {
    let signed = || SigningKeys(vec![SigningKey::new(&[7; 32]).unwrap()]);
    let mut all = Vec::new();
    for datagram in [empty(), facts(), heartbeats()] {
        all.push((SigningKeys::default(), datagram.clone()));
        all.push((signed(), datagram));
    }
    all
}

#[test]
fn encoding_matches_the_recorded_datagrams() {
    let encoded: Vec<_> = datagrams().iter().map(|(keys, datagram)| to_hex(&keys.encode(datagram))).collect();
    let expected: Vec<_> = GOLDEN.lines().collect();
    assert_eq!(encoded, expected);
}

#[test]
fn recorded_datagrams_are_decoded() {
    let lines: Vec<_> = GOLDEN.lines().collect();
    assert_eq!(lines.len(), datagrams().len());
    for (line, (keys, datagram)) in lines.into_iter().zip(datagrams()) {
        assert_eq!(keys.decode(&from_hex(line)), Ok(datagram));
    }
}
