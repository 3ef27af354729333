//! Restores what the previous process has persisted.

use super::folder::Folder;
use crate::config::Config;
use crate::message::BrokerEvent;
use crate::registry::EndpointRegistry;
use crate::unix_clock::unix_ms;
use reedwalk_recovery::Millis;
use reedwalk_recovery::snapshot::{EngineRecord, Snapshot};
use reedwalk_recovery::snapshot_codec::SnapshotOwner;
use reedwalk_recovery::snapshot_store::{RecoveredState, recover};
use reedwalk_recovery::trust::{Confidence, Contradictions, Fact, Source, confidence};
use reedwalk_scheduler::{ClassLatencyStats, Deduplication, EngineId, SampledMean, Time};
use slog::{Logger, info, warn};
use std::time::Duration;
use tokio::time::Instant;

/// Files whose contents identify the host.
const HOST_FILES: [&str; 2] = ["/etc/machine-id", "/proc/sys/kernel/hostname"];

/// A hash of a list of texts.
fn digest(texts: impl IntoIterator<Item = impl AsRef<[u8]>>) -> u64 {
    // A zero byte after each text, so that two different lists never give the same bytes.
    let bytes: Vec<_> = texts.into_iter().flat_map(|text| [text.as_ref(), &[0]].concat()).collect();
    reedwalk_settings::key_id(&bytes).0
}

/// The owner of this gateway's snapshots. The texts that are hashed here are part of the stored format.
pub fn owner(config: &Config) -> SnapshotOwner {
    let host = HOST_FILES.map(|file| std::fs::read(file).unwrap_or_default());
    // Only the settings that a snapshot depends on: an upgrade that adds others must not invalidate it.
    let classes = config.deployment.sockets.classes.iter().zip(&config.deployment.scheduler.classes);
    let classes = classes.map(|(name, class)| match class.idempotency.deduplication() {
        Some(Deduplication { scope, window }) => format!("{name} {scope:?} {window:?}"),
        None => name.clone(),
    });
    SnapshotOwner { host: digest(host), gateway: digest([config.name.as_bytes()]), settings: digest(classes) }
}

/// Reads what the previous process has persisted, and logs what was found.
pub fn load_snapshot(folder: &Folder, owner: SnapshotOwner, log: &Logger) -> RecoveredState<std::io::Error> {
    let found = recover(folder, owner, unix_ms());
    for file in &found.unused {
        warn!(log, "persisted file ignored"; "file" => &file.name, "reason" => %file.reason);
    }
    let snapshot = &found.snapshot;
    let age_ms = unix_ms().saturating_sub(snapshot.written);
    info!(log, "persisted state read"; "generation" => ?found.generation, "engines" => snapshot.engines.len(),
        "classes" => snapshot.classes.len(), "keys" => snapshot.keys.len(), "torn_bytes" => found.torn,
        "age_ms" => age_ms);
    found
}

/// The classes' latency statistics of a snapshot, weighted by the confidence that their age leaves; in the order of
/// `names`.
pub fn restored_class_stats(
    snapshot: &Snapshot,
    names: &[String],
    now: Millis,
) -> Vec<Option<ClassLatencyStats>> {
    let contradictions = Contradictions { clock: snapshot.written > now, ..Contradictions::default() };
    let age = now.saturating_sub(snapshot.written);
    let prior = confidence(Fact::Latency, Source::Disk, age, 0, contradictions);
    let Confidence::Prior(weight) = prior else { return vec![None; names.len()] };
    let faded = |(mean, samples): (f64, f64)| SampledMean { mean, samples: samples * weight };
    let stats = |name: &String| {
        let class = snapshot.classes.iter().find(|class| class.name == *name)?;
        Some(ClassLatencyStats { execution_time: faded(class.exec), work_per_thread: faded(class.width) })
    };
    names.iter().map(stats).collect()
}

/// The events for the broker on the engines of a snapshot that have not restarted since.
pub fn restored_observations(
    snapshot: &Snapshot,
    registry: &EndpointRegistry,
    now: Millis,
) -> Vec<BrokerEvent> {
    let mut events = Vec::new();
    registry.for_each_engine(|name, engine, started| {
        if let Some(record) = snapshot.engines.iter().find(|record| record.id == name) {
            events.extend(restored_engine(snapshot, record, engine, started, now));
        }
    });
    events
}

fn restored_engine(
    snapshot: &Snapshot,
    record: &EngineRecord,
    engine: EngineId,
    started: Option<Time>,
    now: Millis,
) -> Vec<BrokerEvent> {
    let age = now.saturating_sub(snapshot.written);
    let started_ms = started.map_or(0, |time| time.0 / 1000);
    let contradictions = Contradictions {
        superseded: record.started != started_ms,
        clock: snapshot.written > now,
        ..Contradictions::default()
    };
    let mut events = Vec::new();
    let prior = confidence(Fact::Latency, Source::Disk, age, 0, contradictions);
    if let (Confidence::Prior(weight), Some(slowdown)) = (prior, record.slowdown) {
        let slowdown = 1.0 + (slowdown - 1.0).max(0.0) * weight;
        events.push(BrokerEvent::SlowdownObserved { engine, slowdown });
    }
    let ejected_for = Duration::from_millis(record.ejected_until.saturating_sub(now));
    let ejection = confidence(Fact::Failing, Source::Disk, age, 0, contradictions);
    if ejection == Confidence::Protects && !ejected_for.is_zero() {
        events.push(BrokerEvent::EjectedByGossip { engine, until: Instant::now() + ejected_for });
    }
    events
}
