//! Restores the state that the previous process persisted.

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
const HOST_ID_FILES: [&str; 2] = ["/etc/machine-id", "/proc/sys/kernel/hostname"];

/// Hashes a list of strings.
fn hash_strings(strings: impl IntoIterator<Item = impl AsRef<[u8]>>) -> u64 {
    // A zero byte ends each string, so that different lists do not concatenate to the same bytes.
    let bytes: Vec<_> = strings.into_iter().flat_map(|string| [string.as_ref(), &[0]].concat()).collect();
    reedwalk_settings::key_id(&bytes).0
}

/// The owner of this gateway's snapshots. The strings that are hashed here are part of the stored format.
pub fn owner(config: &Config) -> SnapshotOwner {
    let host = HOST_ID_FILES.map(|file| std::fs::read(file).unwrap_or_default());
    // Covers only settings that a snapshot depends on, so that an upgrade with new settings does not invalidate it.
    let classes = config.deployment.sockets.classes.iter().zip(&config.deployment.scheduler.classes);
    let classes = classes.map(|(name, class)| match class.idempotency.deduplication() {
        Some(Deduplication { scope, window }) => format!("{name} {scope:?} {window:?}"),
        None => name.clone(),
    });
    SnapshotOwner {
        host: hash_strings(host),
        gateway: hash_strings([config.name.as_bytes()]),
        settings: hash_strings(classes),
    }
}

/// Reads the state that the previous process persisted and logs a summary.
pub fn load_snapshot(folder: &Folder, owner: SnapshotOwner, log: &Logger) -> RecoveredState<std::io::Error> {
    let recovered = recover(folder, owner, unix_ms());
    for file in &recovered.unused {
        warn!(log, "persisted file ignored"; "file" => &file.name, "reason" => %file.reason);
    }
    let snapshot = &recovered.snapshot;
    let age_ms = unix_ms().saturating_sub(snapshot.written);
    info!(log, "persisted state read"; "generation" => ?recovered.generation, "engines" => snapshot.engines.len(),
        "classes" => snapshot.classes.len(), "keys" => snapshot.keys.len(), "torn_bytes" => recovered.torn_bytes,
        "age_ms" => age_ms);
    recovered
}

/// The latency statistics of the classes in a snapshot, in the order of `names`, weighted by the confidence that
/// remains at their age.
pub fn restored_class_stats(
    snapshot: &Snapshot,
    names: &[String],
    now: Millis,
) -> Vec<Option<ClassLatencyStats>> {
    let contradictions = Contradictions { clock: snapshot.written > now, ..Contradictions::default() };
    let age = now.saturating_sub(snapshot.written);
    let prior = confidence(Fact::Latency, Source::Disk, age, 0, contradictions);
    let Confidence::Prior(weight) = prior else { return vec![None; names.len()] };
    let weighted = |(mean, samples): (f64, f64)| SampledMean { mean, samples: samples * weight };
    let stats = |name: &String| {
        let class = snapshot.classes.iter().find(|class| class.name == *name)?;
        Some(ClassLatencyStats {
            execution_time: weighted(class.exec),
            work_per_thread: weighted(class.width),
        })
    };
    names.iter().map(stats).collect()
}

/// Broker events for the engines of a snapshot that have not restarted since it was written.
pub fn restored_observations(
    snapshot: &Snapshot,
    registry: &EndpointRegistry,
    now: Millis,
) -> Vec<BrokerEvent> {
    let mut events = Vec::new();
    registry.for_each_engine(|name, engine, started| {
        if let Some(record) = snapshot.engines.iter().find(|record| record.id == name) {
            events.extend(restored_engine_events(snapshot, record, engine, started, now));
        }
    });
    events
}

fn restored_engine_events(
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
    if ejection == Confidence::RestrictOnly && !ejected_for.is_zero() {
        events.push(BrokerEvent::EjectedByGossip { engine, until: Instant::now() + ejected_for });
    }
    events
}
