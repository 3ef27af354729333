//! Guards the on-disk format: a change to the Rust types must not alter the bytes or names of the stored files. The
//! golden files were written before the types were renamed.

use reedwalk_recovery::snapshot::{ClassRecord, EngineRecord, KeyProgress, KeyRecord, Snapshot};
use reedwalk_recovery::snapshot_codec::SnapshotOwner;
use reedwalk_recovery::snapshot_store::{SnapshotFiles, SnapshotStore, recover};
use std::collections::BTreeMap;
use std::convert::Infallible;

const OWNER: SnapshotOwner =
    SnapshotOwner { host: 0x1122_3344_5566_7788, gateway: 0x99aa, settings: u64::MAX };
const WRITTEN_MS: u64 = 1_764_612_345_678;

/// A directory in memory.
#[derive(Default)]
struct MemoryDirectory(BTreeMap<String, Vec<u8>>);

impl SnapshotFiles for MemoryDirectory {
    type Error = Infallible;

    fn names(&self) -> Result<Vec<String>, Infallible> {
        Ok(self.0.keys().cloned().collect())
    }

    fn read(&self, name: &str, _max_bytes: usize) -> Result<Vec<u8>, Infallible> {
        Ok(self.0[name].clone())
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> Result<(), Infallible> {
        self.0.insert(name.to_owned(), bytes.to_owned());
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), Infallible> {
        self.0.get_mut(name).expect("the file exists").extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&mut self, _name: &str) -> Result<(), Infallible> {
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), Infallible> {
        let bytes = self.0.remove(from).expect("the file exists");
        self.0.insert(to.to_owned(), bytes);
        Ok(())
    }

    fn sync_directory(&mut self) -> Result<(), Infallible> {
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<(), Infallible> {
        self.0.remove(name);
        Ok(())
    }
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex(text: &str) -> Vec<u8> {
    let digits = text.trim();
    let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).expect("two hexadecimal digits");
    (0..digits.len()).step_by(2).map(byte).collect()
}

fn key(key: u64, progress: KeyProgress, group: Option<u64>) -> KeyRecord {
    KeyRecord { key, progress, group, sent: WRITTEN_MS - key }
}

fn snapshot() -> Snapshot {
    Snapshot {
        written: WRITTEN_MS,
        serial: Some(4711),
        live_gateways: 3,
        engines: vec![
            EngineRecord { id: "s-00c41f7a".into(), started: 0, slowdown: None, ejected_until: 0 },
            EngineRecord {
                id: "s-2".into(),
                started: 1_764_600_000_000,
                slowdown: Some(1.75),
                ejected_until: 1_764_612_346_000,
            },
        ],
        classes: vec![
            ClassRecord {
                name: "lookup".into(),
                exec: (8_250.5, 100.0),
                best: None,
                width: (7_000.25, 12.0),
            },
            ClassRecord { name: "batch-post".into(), exec: (1.0, 2.0), best: Some(0.5), width: (0.0, 0.0) },
        ],
        keys: vec![
            key(1, KeyProgress::Sent, None),
            key(2, KeyProgress::Served, Some(0)),
            key(3, KeyProgress::NeverRan, Some(u64::MAX)),
        ],
    }
}

fn log_entries() -> Vec<KeyRecord> {
    vec![
        key(4, KeyProgress::Sent, Some(7)),
        key(5, KeyProgress::Served, None),
        key(6, KeyProgress::NeverRan, None),
    ]
}

fn golden_directory() -> MemoryDirectory {
    let files =
        [("record-1", include_str!("golden/record-1.hex")), ("log-1", include_str!("golden/log-1.hex"))];
    MemoryDirectory(files.into_iter().map(|(name, bytes)| (name.to_owned(), decode_hex(bytes))).collect())
}

#[test]
fn stored_files_match_the_golden_files() {
    let mut directory = MemoryDirectory::default();
    let mut store = SnapshotStore::new(&directory, OWNER);
    store.save(&mut directory, &snapshot()).unwrap();
    store.append(&mut directory, &log_entries()).unwrap();
    let written: Vec<_> = directory.0.iter().map(|(name, bytes)| (name, encode_hex(bytes))).collect();
    let golden = golden_directory();
    let expected: Vec<_> = golden.0.iter().map(|(name, bytes)| (name, encode_hex(bytes))).collect();
    assert_eq!(written, expected);
}

#[test]
fn golden_files_are_recovered() {
    let recovered = recover(&golden_directory(), OWNER, WRITTEN_MS + 1_000);
    assert_eq!((recovered.generation, recovered.replayed_entries, recovered.torn_bytes), (Some(1), 3, 0));
    assert_eq!(recovered.unused, []);
    let mut expected = snapshot();
    expected.keys.extend(log_entries());
    assert_eq!(recovered.snapshot, expected);
}
