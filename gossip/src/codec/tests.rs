use super::*;

fn datagram() -> Datagram {
    let fact = Fact { engine: EngineKey(u64::MAX), started: 7, kind: 0, ttl_centis: 800, value: 0 };
    let mut datagram = Datagram {
        from: 3,
        incarnation: 1_700_000_000_000,
        sent: 1_700_000_000_123_456,
        ..Datagram::default()
    };
    datagram.facts = vec![fact];
    datagram.heartbeats = [(6, 16_999_999_996), (250, 17_000_000_001)]
        .map(|(skip, at)| datagram.heartbeat(skip, at).unwrap())
        .to_vec();
    datagram
}

fn key(byte: u8) -> SigningKey {
    SigningKey::new(&[byte; 32]).unwrap()
}

#[test]
fn encoded_datagram_round_trips() {
    for keys in [SigningKeys::default(), SigningKeys(vec![key(1)])] {
        let decoded = keys.decode(&keys.encode(&datagram())).unwrap();
        assert_eq!(decoded, datagram());
        let times: Vec<_> = decoded.heartbeat_times(300).collect();
        assert_eq!(times, [(9, 16_999_999_996), (259, 17_000_000_001)]);
        assert_eq!(decoded.heartbeat(256, 0), None, "distance and age do not fit into a byte");
    }
}

#[test]
fn every_flipped_bit_and_truncation_is_detected() {
    for keys in [SigningKeys::default(), SigningKeys(vec![key(1)])] {
        let encoded = keys.encode(&datagram());
        for bit in 0..encoded.len() * 8 {
            let mut bytes = encoded.clone();
            bytes[bit / 8] ^= 1 << (bit % 8);
            assert!(keys.decode(&bytes).is_err(), "bit {bit}");
        }
        for length in 0..encoded.len() {
            assert!(keys.decode(&encoded[..length]).is_err(), "truncated to {length}");
        }
        assert!(keys.decode(&[0; 300]).is_err());
    }
}

#[test]
fn during_key_rotation_both_keys_are_accepted() {
    let (old, new) = (SigningKeys(vec![key(1)]), SigningKeys(vec![key(2)]));
    let both = SigningKeys(vec![key(2), key(1)]);
    assert!(both.decode(&old.encode(&datagram())).is_ok());
    assert!(new.decode(&both.encode(&datagram())).is_ok(), "the first key is used for signing");
    assert_eq!(new.decode(&old.encode(&datagram())), Err(DatagramError::BadSignature));
    assert_eq!(new.decode(&SigningKeys::default().encode(&datagram())), Err(DatagramError::BadSignature));
    assert_eq!(SigningKey::new(&[0; 31]).unwrap_err(), KeyTooShort { bytes: 31 });
    assert_eq!(format!("{:?}", key(1)), "SigningKey", "debug output contains no key");
}
