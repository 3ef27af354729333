//! Loss of power at every write, sync and rename, with every choice of what the disk then has: what was promised is there,
//! and nothing that was never written is.

use proptest::prelude::*;
use reedwalk_recovery::snapshot::{EngineRecord, KeyProgress, KeyRecord, Snapshot};
use reedwalk_recovery::snapshot_codec::{self, SnapshotError, SnapshotOwner};
use reedwalk_recovery::snapshot_store::{SnapshotFiles, SnapshotStore, recover};
use std::cell::Cell;
use std::collections::BTreeMap;

const OWNER: SnapshotOwner = SnapshotOwner { host: 11, gateway: 22, settings: 33 };
const NOW: u64 = 1_700_000_000_000;

/// What a disk makes of what was not synced when power goes.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Lost,
    Half,
    There,
}

/// A folder as a disk has it. Contents and names each last only once they were synced.
#[derive(Clone, Debug, Default)]
struct Disk {
    /// By the number of the file: what is synced, and what is there while power is.
    files: BTreeMap<u32, (Vec<u8>, Vec<u8>)>,
    synced: BTreeMap<String, u32>,
    names: BTreeMap<String, u32>,
    next: u32,
    /// Operations until power goes; that one may be done in part.
    left: Cell<Option<u32>>,
    /// Operations that fail, by their number, without a loss of power.
    fails: Option<u32>,
    done: u32,
}

impl Disk {
    /// How much of an operation is done: all, or half and then nothing ever again.
    fn step(&mut self) -> Result<bool, String> {
        self.done += 1;
        if self.fails == Some(self.done) {
            return Err("input or output error".into());
        }
        match self.left.get() {
            Some(0) => Err("no power".into()),
            Some(left) => {
                self.left.set(Some(left - 1));
                Ok(left > 1)
            }
            None => Ok(true),
        }
    }

    /// Power is back.
    fn back(&self, fate: Fate) -> Self {
        let content = |(synced, there): &(Vec<u8>, Vec<u8>)| match fate {
            Fate::Lost => synced.clone(),
            Fate::There => there.clone(),
            Fate::Half => {
                let common = synced.iter().zip(there).take_while(|p| p.0 == p.1).count();
                there[..common + (there.len() - common) / 2].to_vec()
            }
        };
        let names = if matches!(fate, Fate::Lost) { &self.synced } else { &self.names };
        let files = self.files.iter().map(|(n, f)| (*n, (content(f), content(f)))).collect();
        Self { files, synced: names.clone(), names: names.clone(), next: self.next, ..Self::default() }
    }
}

impl SnapshotFiles for Disk {
    type Error = String;

    fn names(&self) -> Result<Vec<String>, String> {
        Ok(self.names.keys().cloned().collect())
    }

    fn read(&self, name: &str, most: usize) -> Result<Vec<u8>, String> {
        let file = self.names.get(name).ok_or("no such file")?;
        let there = &self.files[file].1;
        Ok(there[..there.len().min(most + 1)].to_vec())
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> Result<(), String> {
        let whole = self.step()?;
        let number = match self.names.get(name) {
            Some(number) => *number,
            None => {
                self.next += 1;
                self.names.insert(name.into(), self.next);
                self.next
            }
        };
        let part = if whole { bytes.len() } else { bytes.len() / 2 };
        self.files.entry(number).or_default().1 = bytes[..part].to_vec();
        if whole { Ok(()) } else { Err("no power".into()) }
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), String> {
        let number = *self.names.get(name).ok_or("no such file")?;
        let failing = self.fails == Some(self.done + 1);
        let whole = self.step();
        let part = if whole == Ok(true) { bytes.len() } else { bytes.len() / 2 };
        if whole.is_ok() || failing {
            self.files.entry(number).or_default().1.extend_from_slice(&bytes[..part]);
        }
        if whole? { Ok(()) } else { Err("no power".into()) }
    }

    fn sync(&mut self, name: &str) -> Result<(), String> {
        if !self.step()? {
            return Err("no power".into());
        }
        let number = *self.names.get(name).ok_or("no such file")?;
        let file = self.files.entry(number).or_default();
        file.0 = file.1.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), String> {
        if !self.step()? {
            return Err("no power".into());
        }
        let number = self.names.remove(from).ok_or("no such file")?;
        self.names.insert(to.into(), number);
        Ok(())
    }

    fn sync_folder(&mut self) -> Result<(), String> {
        if !self.step()? {
            return Err("no power".into());
        }
        self.synced = self.names.clone();
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<(), String> {
        if !self.step()? {
            return Err("no power".into());
        }
        self.names.remove(name).map(|_| ()).ok_or("no such file".into())
    }
}

fn key(key: u64) -> KeyRecord {
    KeyRecord { key, progress: KeyProgress::Sent, group: Some(key % 3), sent: NOW + key }
}

fn memory(keys: &[KeyRecord]) -> Snapshot {
    let engine =
        |n| EngineRecord { id: format!("s-{n}"), started: n, slowdown: Some(1.25), ejected_until: 0 };
    Snapshot {
        written: NOW,
        serial: Some(7),
        live_gateways: 4,
        engines: (0..3).map(engine).collect(),
        keys: keys.to_vec(),
        ..Snapshot::default()
    }
}

/// A life: records and keys in turn. Gives the keys that were promised.
fn live(disk: &mut Disk, from: u64, rounds: u64) -> Vec<KeyRecord> {
    let found = recover(disk, OWNER, NOW);
    let mut keeper = SnapshotStore::new(disk, OWNER);
    let (mut all, mut promised) = (found.snapshot.keys, Vec::new());
    for round in 0..rounds {
        if (keeper.needs_snapshot() || round % 4 == 0) && keeper.save(disk, &memory(&all)).is_err() {
            continue;
        }
        let one = key(from + round);
        all.push(one);
        if keeper.append(disk, &[one]).is_ok() {
            promised.push(one);
        }
    }
    promised
}

fn holds(disk: &Disk, promised: &[KeyRecord], written: u64, what: &str) {
    let found = recover(disk, OWNER, NOW);
    let missing: Vec<_> = promised.iter().filter(|p| !found.snapshot.keys.contains(p)).collect();
    assert!(missing.is_empty(), "{what}: {missing:?} of {promised:?}, found {found:?}");
    assert!(found.snapshot.keys.iter().all(|k| k.key < written), "{what}: never written");
    let whole = found.snapshot.engines.len() == 3 || found.generation.is_none();
    assert!(whole, "{what}: {found:?}");
}

#[test]
fn power_loss_at_any_point_loses_nothing_acknowledged() {
    const ROUNDS: u64 = 6;
    let points = {
        let mut disk = Disk::default();
        live(&mut disk, 0, ROUNDS);
        disk.done
    };
    let (mut enumerated, fates) = (0, [Fate::Lost, Fate::Half, Fate::There]);
    for first in 1..=points + 1 {
        for fate in fates {
            let mut disk = Disk { left: Cell::new(Some(first)), ..Disk::default() };
            let promised = live(&mut disk, 0, ROUNDS);
            let back = disk.back(fate);
            holds(&back, &promised, ROUNDS, &format!("first life ends at {first}, {fate:?}"));
            // The next one writes behind all that, and power goes again at any point.
            for second in (1..=points + 1).step_by(2) {
                let mut disk = back.clone();
                disk.left.set(Some(second));
                let mut all = promised.clone();
                all.extend(live(&mut disk, 100, ROUNDS));
                for fate in fates {
                    let what = format!("lives end at {first} and {second}, {fate:?}");
                    holds(&disk.back(fate), &all, 200, &what);
                    enumerated += 1;
                }
            }
        }
    }
    println!("{points} points of a life, {enumerated} ends of two lives: all sound");
    assert!(enumerated > 2_000);
}

#[test]
fn io_error_at_any_point_loses_nothing() {
    let mut disk = Disk::default();
    live(&mut disk, 0, 12);
    for fails in 1..=disk.done {
        let mut disk = Disk { fails: Some(fails), ..Disk::default() };
        let promised = live(&mut disk, 0, 12);
        assert!(promised.len() >= 10, "fails at {fails}: {}", promised.len());
        for fate in [Fate::Lost, Fate::Half, Fate::There] {
            holds(&disk.back(fate), &promised, 12, &format!("fails at {fails}, {fate:?}"));
        }
    }
}

#[test]
fn damaged_snapshot_falls_back_to_the_one_before() {
    let mut disk = Disk::default();
    let promised = live(&mut disk, 0, 7);
    let newest = disk.names.keys().filter(|n| n.starts_with("record-")).max().unwrap().clone();
    let number = disk.names[&newest];
    let length = disk.files[&number].1.len();
    for at in 0..length {
        let mut bad = disk.clone();
        bad.files.get_mut(&number).unwrap().1[at] ^= 0x20;
        let found = recover(&bad, OWNER, NOW);
        assert_eq!(found.unused.len(), 1, "flipped at {at}: {found:?}");
        holds(&bad, &promised, 7, &format!("flipped at {at}"));
        let mut bad = disk.clone();
        bad.files.get_mut(&number).unwrap().1.truncate(at);
        holds(&bad, &promised, 7, &format!("cut at {at}"));
    }
    // Nothing piles up.
    assert!(disk.names.len() <= 5, "{:?}", disk.names);
}

#[test]
fn foreign_snapshots_are_refused_with_a_reason() {
    let bytes = snapshot_codec::encode(OWNER, 4, &memory(&[key(1)]));
    let read =
        |owner, now| snapshot_codec::decode(&bytes).and_then(|r| snapshot_codec::check_owner(r, owner, now));
    assert_eq!(read(OWNER, NOW).unwrap().snapshot, memory(&[key(1)]));
    assert_eq!(read(SnapshotOwner { host: 1, ..OWNER }, NOW), Err(SnapshotError::OtherHost));
    assert_eq!(read(SnapshotOwner { gateway: 1, ..OWNER }, NOW), Err(SnapshotError::OtherGateway));
    assert_eq!(read(SnapshotOwner { settings: 1, ..OWNER }, NOW), Err(SnapshotError::OtherSettings));
    assert_eq!(read(OWNER, NOW - 3_600_000), Err(SnapshotError::Future), "the clock has gone back");
    let mut later = bytes.clone();
    later[8] = 9;
    assert_eq!(snapshot_codec::decode(&later), Err(SnapshotError::UnknownVersion(9)));
    assert_eq!(snapshot_codec::decode(b""), Err(SnapshotError::NotASnapshot));
    // A length that makes no sense makes no room.
    let mut hostile = bytes[..10].to_vec();
    hostile.extend_from_slice(&[2, 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0]);
    assert_eq!(snapshot_codec::decode(&hostile), Err(SnapshotError::Truncated));
    // A copy under a later name is not that later one.
    let mut disk = Disk::default();
    disk.write("record-9", &bytes).unwrap();
    let found = recover(&disk, OWNER, NOW);
    assert_eq!((found.generation, found.unused.len()), (None, 1));
}

proptest! {
    #[test]
    fn any_bytes_are_a_snapshot_or_an_error(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        prop_assert!(snapshot_codec::decode(&bytes).is_err());
        let mut ours = snapshot_codec::encode(OWNER, 1, &memory(&[key(2)]));
        let at = bytes.first().copied().unwrap_or(0) as usize % ours.len();
        ours.splice(at.., bytes.iter().copied());
        if let Ok(record) = snapshot_codec::decode(&ours) {
            prop_assert_eq!(record.snapshot, memory(&[key(2)]));
        }
    }
}
