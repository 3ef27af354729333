//! Power loss and I/O errors at every write, sync and rename, with each outcome for unsynced data. Every acknowledged
//! key must be recovered, and keys that were never written must not appear.

mod disk;

use disk::{DiskError, SimulatedDisk, UNSYNCED_OUTCOMES};
use proptest::prelude::*;
use reedwalk_recovery::snapshot::{EngineRecord, KeyProgress, KeyRecord, Snapshot};
use reedwalk_recovery::snapshot_codec::{self, SnapshotError, SnapshotOwner};
use reedwalk_recovery::snapshot_store::{
    FileOperation, SnapshotFiles, SnapshotStore, SnapshotStoreError, UnusedReason, recover,
};
use std::error::Error;

const OWNER: SnapshotOwner = SnapshotOwner { host: 11, gateway: 22, settings: 33 };
const NOW_MS: u64 = 1_700_000_000_000;

fn key(key: u64) -> KeyRecord {
    KeyRecord { key, progress: KeyProgress::Sent, group: Some(key % 3), sent: NOW_MS + key }
}

fn snapshot(keys: &[KeyRecord]) -> Snapshot {
    let engine = |number| EngineRecord {
        id: format!("s-{number}"),
        started: number,
        slowdown: Some(1.25),
        ejected_until: 0,
    };
    Snapshot {
        written: NOW_MS,
        serial: Some(7),
        live_gateways: 4,
        engines: (0..3).map(engine).collect(),
        keys: keys.to_vec(),
        ..Snapshot::default()
    }
}

/// Simulates a process that recovers and then writes snapshots and keys in turn. Returns the acknowledged keys.
fn run_process(disk: &mut SimulatedDisk, first_key: u64, rounds: u64) -> Vec<KeyRecord> {
    let recovered = recover(disk, OWNER, NOW_MS);
    let mut store = SnapshotStore::new(disk, OWNER);
    let (mut all_keys, mut acknowledged) = (recovered.snapshot.keys, Vec::new());
    for round in 0..rounds {
        let is_snapshot_due = store.needs_snapshot() || round % 4 == 0;
        if is_snapshot_due && store.save(disk, &snapshot(&all_keys)).is_err() {
            continue;
        }
        let new_key = key(first_key + round);
        all_keys.push(new_key);
        if store.append(disk, &[new_key]).is_ok() {
            acknowledged.push(new_key);
        }
    }
    acknowledged
}

/// Checks that all acknowledged keys are recovered, and none from `key_limit` on, as those were never written.
fn assert_recovers(disk: &SimulatedDisk, acknowledged: &[KeyRecord], key_limit: u64, context: &str) {
    let recovered = recover(disk, OWNER, NOW_MS);
    let missing: Vec<_> = acknowledged.iter().filter(|key| !recovered.snapshot.keys.contains(key)).collect();
    assert!(missing.is_empty(), "{context}: {missing:?} of {acknowledged:?}, recovered {recovered:?}");
    assert!(recovered.snapshot.keys.iter().all(|key| key.key < key_limit), "{context}: never written");
    let is_complete = recovered.snapshot.engines.len() == 3 || recovered.generation.is_none();
    assert!(is_complete, "{context}: {recovered:?}");
}

#[test]
fn power_loss_at_any_operation_loses_no_acknowledged_key() {
    const ROUNDS: u64 = 6;
    let operations = {
        let mut disk = SimulatedDisk::default();
        run_process(&mut disk, 0, ROUNDS);
        disk.operations
    };
    let mut checked = 0;
    for first in 1..=operations + 1 {
        for unsynced in UNSYNCED_OUTCOMES {
            let mut disk = SimulatedDisk::losing_power_at(first);
            let acknowledged = run_process(&mut disk, 0, ROUNDS);
            let restarted = disk.after_power_loss(unsynced);
            let context = format!("first process ends at {first}, {unsynced:?}");
            assert_recovers(&restarted, &acknowledged, ROUNDS, &context);
            // The next process writes more generations, and power is lost again at every second operation.
            for second in (1..=operations + 1).step_by(2) {
                let mut disk = restarted.with_power_loss_at(second);
                let mut all_acknowledged = acknowledged.clone();
                all_acknowledged.extend(run_process(&mut disk, 100, ROUNDS));
                for unsynced in UNSYNCED_OUTCOMES {
                    let context = format!("processes end at {first} and {second}, {unsynced:?}");
                    assert_recovers(&disk.after_power_loss(unsynced), &all_acknowledged, 200, &context);
                    checked += 1;
                }
            }
        }
    }
    println!("{operations} operations of a process, {checked} ends of two processes: all recovered");
    assert!(checked > 2_000);
}

#[test]
fn io_error_at_any_operation_loses_no_acknowledged_key() {
    let mut disk = SimulatedDisk::default();
    run_process(&mut disk, 0, 12);
    for failing_operation in 1..=disk.operations {
        let mut disk = SimulatedDisk::failing_at(failing_operation);
        let acknowledged = run_process(&mut disk, 0, 12);
        assert!(acknowledged.len() >= 10, "fails at {failing_operation}: {}", acknowledged.len());
        for unsynced in UNSYNCED_OUTCOMES {
            let context = format!("fails at {failing_operation}, {unsynced:?}");
            assert_recovers(&disk.after_power_loss(unsynced), &acknowledged, 12, &context);
        }
    }
}

#[test]
fn damaged_snapshot_falls_back_to_the_previous_one() {
    let mut disk = SimulatedDisk::default();
    let acknowledged = run_process(&mut disk, 0, 7);
    let newest = disk.names.keys().filter(|name| name.starts_with("record-")).max().unwrap().clone();
    let number = disk.names[&newest];
    let length = disk.files[&number].current.len();
    for offset in 0..length {
        let mut damaged = disk.clone();
        damaged.files.get_mut(&number).unwrap().current[offset] ^= 0x20;
        let recovered = recover(&damaged, OWNER, NOW_MS);
        assert_eq!(recovered.unused.len(), 1, "flipped at {offset}: {recovered:?}");
        assert_recovers(&damaged, &acknowledged, 7, &format!("flipped at {offset}"));
        let mut damaged = disk.clone();
        damaged.files.get_mut(&number).unwrap().current.truncate(offset);
        assert_recovers(&damaged, &acknowledged, 7, &format!("truncated at {offset}"));
    }
    // Old generations must have been removed.
    assert!(disk.names.len() <= 5, "{:?}", disk.names);
}

#[test]
fn invalid_snapshots_are_rejected_with_a_reason() {
    let bytes = snapshot_codec::encode(OWNER, 4, &snapshot(&[key(1)]));
    let read = |owner, now| {
        snapshot_codec::decode(&bytes).and_then(|stored| snapshot_codec::check_owner(stored, owner, now))
    };
    assert_eq!(read(OWNER, NOW_MS).unwrap().snapshot, snapshot(&[key(1)]));
    assert_eq!(read(SnapshotOwner { host: 1, ..OWNER }, NOW_MS), Err(SnapshotError::OtherHost));
    assert_eq!(read(SnapshotOwner { gateway: 1, ..OWNER }, NOW_MS), Err(SnapshotError::OtherGateway));
    assert_eq!(read(SnapshotOwner { settings: 1, ..OWNER }, NOW_MS), Err(SnapshotError::OtherSettings));
    assert_eq!(read(OWNER, NOW_MS - 3_600_000), Err(SnapshotError::Future), "the clock was set back");
    let mut unknown_version = bytes.clone();
    unknown_version[8] = 9;
    assert_eq!(snapshot_codec::decode(&unknown_version), Err(SnapshotError::UnknownVersion(9)));
    assert_eq!(snapshot_codec::decode(b""), Err(SnapshotError::NotASnapshot));
    // A section length far beyond the end of the file must not cause an allocation.
    let mut oversized_length = bytes[..10].to_vec();
    oversized_length.extend_from_slice(&[2, 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0]);
    assert_eq!(snapshot_codec::decode(&oversized_length), Err(SnapshotError::Truncated));
    // A copy under the name of a later generation must be rejected.
    let mut disk = SimulatedDisk::default();
    disk.write("record-9", &bytes).unwrap();
    let recovered = recover(&disk, OWNER, NOW_MS);
    assert_eq!((recovered.generation, recovered.unused.len()), (None, 1));
}

#[test]
fn store_error_names_the_operation_and_its_cause() {
    // The first operation writes the temporary file, the second syncs it.
    let mut disk = SimulatedDisk::failing_at(2);
    let mut store = SnapshotStore::new(&disk, OWNER);
    let error = store.save(&mut disk, &snapshot(&[])).unwrap_err();
    assert_eq!(error, SnapshotStoreError::Files { operation: FileOperation::Sync, source: DiskError::Io });
    assert_eq!(error.to_string(), "cannot sync a file: I/O error");
    assert_eq!(error.source().map(ToString::to_string), Some("I/O error".to_owned()));
    let error = store.append(&mut disk, &[key(1)]).unwrap_err();
    assert_eq!(error, SnapshotStoreError::NeedsSnapshot);
    assert!(error.source().is_none());
}

#[test]
fn unused_file_is_listed_with_its_reason() {
    let mut disk = SimulatedDisk::default();
    disk.write("record-1", b"not a snapshot at all").unwrap();
    let recovered = recover(&disk, OWNER, NOW_MS);
    assert_eq!(recovered.unused.len(), 1);
    let unused = &recovered.unused[0];
    assert_eq!(unused.name, "record-1");
    assert_eq!(unused.reason, UnusedReason::Invalid(SnapshotError::NotASnapshot));
    assert_eq!(unused.reason.source().map(ToString::to_string), Some("not a snapshot".to_owned()));
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_decode_wrongly(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        prop_assert!(snapshot_codec::decode(&bytes).is_err());
        let mut spliced = snapshot_codec::encode(OWNER, 1, &snapshot(&[key(2)]));
        let offset = bytes.first().copied().unwrap_or(0) as usize % spliced.len();
        spliced.splice(offset.., bytes.iter().copied());
        if let Ok(stored) = snapshot_codec::decode(&spliced) {
            prop_assert_eq!(stored.snapshot, snapshot(&[key(2)]));
        }
    }
}
