use super::*;

#[test]
fn packed_result_round_trips_and_a_large_one_is_not_stored() {
    let cell = |text: &'static str| Some(Bytes::from_static(text.as_bytes()));
    let rows = Rows {
        columns: 3,
        names: vec!["a".into(), "b".into(), "c".into()],
        cells: vec![cell("1"), None, cell("")],
        changed: Some(7),
        ..Rows::default()
    };
    assert_eq!(pack(&rows).and_then(|p| unpack(&p)), Some(rows));
    let large = Rows { columns: 1, cells: vec![Some(vec![b'x'; MAX_VALUE_BYTES].into())], ..Rows::default() };
    assert_eq!(pack(&large), None);
    assert_eq!(unpack(b"\xff\xff\xff\xff\xff"), None);
}

/// A result as stored by a version before the types were renamed. The encoding must not change.
const GOLDEN: &str = "030301610162016303010131000100010e";

#[test]
fn packed_result_of_an_earlier_version_is_read() {
    let hex = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    let rows = Rows {
        columns: 3,
        names: vec!["a".into(), "b".into(), "c".into()],
        cells: vec![Some(Bytes::from_static(b"1")), None, Some(Bytes::new())],
        changed: Some(7),
        ..Rows::default()
    };
    assert_eq!(pack(&rows).map(|bytes| hex(&bytes)), Some(GOLDEN.to_owned()));
    let byte = |at: usize| u8::from_str_radix(&GOLDEN[at..at + 2], 16).unwrap();
    let stored: Vec<_> = (0..GOLDEN.len()).step_by(2).map(byte).collect();
    assert_eq!(unpack(&stored), Some(rows));
}
