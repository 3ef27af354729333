//! What a front end keeps for the process after it, in the folder that an operator's file names. A thread of its own
//! writes, so that neither a slow disk nor a full one is waited for by anybody; what finds no room in its line is
//! not kept, which costs a retry some time and never an effect. What is worth what is decided in `reedwalk-recovery`.

pub mod folder;

use crate::config::Config;
use crate::message::{BrokerEvent, PersistedEvent};
use crate::metrics::Metrics;
use crate::registry::EndpointRegistry;
use crate::shared_store::unix_ms;
use folder::Folder;
use reedwalk_recovery::Millis;
use reedwalk_recovery::keep::{Found, Keeper, look};
use reedwalk_recovery::memory::{ClassMemory, EngineMemory, KeyMemory, Memory};
use reedwalk_recovery::record::Owner;
use reedwalk_recovery::trust::{Against, Fact, Source, Use, worth};
use reedwalk_scheduler::{ClassLatencyStats, EngineObservation, Idempotency, SampledMean};
use slog::{Logger, error, info, warn};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Notes that wait to be written at most.
pub const QUEUE_CAPACITY: usize = 1024;
/// How often another process's lock is tried again.
const LOCK_EVERY: Duration = Duration::from_millis(100);

/// What an operator's file says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PersistenceOptions {
    /// The folder.
    pub folder: PathBuf,
    /// The line that names it.
    pub line: usize,
}

fn number(words: impl IntoIterator<Item = impl AsRef<[u8]>>) -> u64 {
    // A zero between words, so that no two lists of them are one.
    let bytes: Vec<_> = words.into_iter().flat_map(|w| [w.as_ref(), &[0]].concat()).collect();
    reedwalk_settings::key(&bytes).0
}

/// Whose memory this front end's is.
pub fn owner(config: &Config) -> Owner {
    let files = ["/etc/machine-id", "/proc/sys/kernel/hostname"];
    let host = files.map(|f| std::fs::read(f).unwrap_or_default());
    // Of the settings only what a memory rests on: an upgrade that brings more of them takes nothing away.
    let classes = config.deployment.sockets.classes.iter().zip(&config.deployment.core.classes);
    let classes = classes.map(|(name, class)| match class.idempotency {
        Idempotency::Keyed { scope, window: memory } => format!("{name} {scope:?} {memory:?}"),
        _ => name.clone(),
    });
    Owner { host: number(host), front: number([config.name.as_bytes()]), settings: number(classes) }
}

/// Looks through a folder for what the process before had kept, and says what was found.
pub fn load_snapshot(folder: &Folder, owner: Owner, log: &Logger) -> Found {
    let found = look(folder, owner, unix_ms());
    for (file, why) in &found.unused {
        warn!(log, "not used"; "file" => file, "why" => why);
    }
    let memory = &found.memory;
    info!(log, "memory"; "generation" => ?found.generation, "engines" => memory.engines.len(),
        "classes" => memory.classes.len(), "keys" => memory.keys.len(), "torn bytes" => found.torn,
        "written ms ago" => unix_ms().saturating_sub(memory.written));
    found
}

/// What a front end tells of its classes from before.
pub fn restored_class_stats(
    memory: &Memory,
    names: &[String],
    now: Millis,
) -> Vec<Option<ClassLatencyStats>> {
    let against = Against { clock: memory.written > now, ..Against::default() };
    let prior = worth(Fact::Pace, Source::Disk, now.saturating_sub(memory.written), 0, against);
    let pace = |name: &String| {
        let Use::Prior(weight) = prior else { return None };
        let class = memory.classes.iter().find(|c| c.name == *name)?;
        let faded = |(mean, samples): (f64, f64)| SampledMean { mean, samples: samples * weight };
        Some(ClassLatencyStats { execution_time: faded(class.exec), work_per_thread: faded(class.width) })
    };
    names.iter().map(pace).collect()
}

/// What the broker is told of engines from before, as far as they are the same ones.
pub fn restored_observations(memory: &Memory, registry: &EndpointRegistry, now: Millis) -> Vec<BrokerEvent> {
    let (age, mut told) = (now.saturating_sub(memory.written), Vec::new());
    registry.for_each_engine(|name, engine, started| {
        let Some(kept) = memory.engines.iter().find(|e| e.id == name) else { return };
        let started = started.map_or(0, |t| t.0 / 1000);
        let against =
            Against { overtaken: kept.started != started, clock: memory.written > now, ..Against::default() };
        let prior = worth(Fact::Pace, Source::Disk, age, 0, against);
        if let (Use::Prior(weight), Some(slowdown)) = (prior, kept.slowdown) {
            told.push(BrokerEvent::SlowdownObserved {
                engine,
                slowdown: 1.0 + (slowdown - 1.0).max(0.0) * weight,
            });
        }
        let away = Duration::from_millis(kept.away_until.saturating_sub(now));
        if worth(Fact::Fails, Source::Disk, age, 0, against) == Use::Protects && !away.is_zero() {
            told.push(BrokerEvent::EjectedByGossip { engine, until: Instant::now() + away });
        }
    });
    told
}

/// The thread that writes.
pub struct PersistenceThread {
    /// Where.
    pub folder: Folder,
    /// Whose.
    pub owner: Owner,
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Names of the engines.
    pub registry: EndpointRegistry,
    /// What is reported.
    pub metrics: Arc<Metrics>,
    /// For the log.
    pub log: Logger,
}

/// What it has done.
#[derive(Default)]
struct Counters {
    records: u64,
    keys: u64,
    errors: u64,
    dropped: u64,
}

impl PersistenceThread {
    /// Starts it; it ends with the line's other end.
    ///
    /// # Errors
    /// Where the system gives no thread.
    pub fn start(self, notes: mpsc::Receiver<PersistedEvent>) -> std::io::Result<()> {
        std::thread::Builder::new().name("state".into()).spawn(move || self.run(notes)).map(|_| ())
    }

    fn run(mut self, mut notes: mpsc::Receiver<PersistedEvent>) {
        let (mut counters, mut well, mut said) = (Counters::default(), true, false);
        let mut writes = None;
        let mut batch = Vec::new();
        while let Some(first) = notes.blocking_recv() {
            batch.push(first);
            while let Ok(more) = notes.try_recv() {
                batch.push(more);
            }
            if writes.is_none()
                && let Ok(Some(locked)) = self.folder.lock()
            {
                writes = Some((locked, Keeper::new(&self.folder, self.owner)));
                info!(self.log, "keeps its memory");
            }
            let Some((_, keeper)) = &mut writes else {
                // The other one of an upgrade ends soon; whoever else it is was there first.
                if !std::mem::replace(&mut said, true) {
                    warn!(self.log, "another process writes in the folder, this one waits");
                }
                counters.dropped += batch.drain(..).len() as u64;
                self.report(&counters);
                std::thread::sleep(LOCK_EVERY);
                continue;
            };
            let done = self.write(keeper, &mut batch, &mut counters);
            match (&done, well) {
                (Err(why), true) => error!(self.log, "not kept"; "why" => why),
                (Ok(()), false) => info!(self.log, "kept again"),
                _ => {}
            }
            counters.errors += u64::from(done.is_err());
            well = done.is_ok();
            self.report(&counters);
        }
    }

    fn write(
        &mut self,
        keeper: &mut Keeper,
        batch: &mut Vec<PersistedEvent>,
        counters: &mut Counters,
    ) -> Result<(), String> {
        let (mut keys, mut all) = (Vec::new(), None);
        for note in batch.drain(..) {
            match note {
                PersistedEvent::IdempotencyKey(key) => keys.push(key),
                PersistedEvent::Snapshot { classes, engines, keys } => all = Some((classes, engines, keys)),
            }
        }
        if let Some((classes, looks, inside)) = all {
            let mut memory = self.memory(&classes, &looks, inside);
            // What was sent after they were gathered.
            keys.iter().for_each(|key| memory.add(*key));
            let memory = memory.checked();
            keeper.save(&mut self.folder, &memory).map_err(|e| e.to_string())?;
            counters.records += 1;
            counters.keys += keys.len() as u64;
            return Ok(());
        }
        if !keys.is_empty() {
            keeper.append(&mut self.folder, &keys).map_err(|e| e.to_string())?;
            counters.keys += keys.len() as u64;
        }
        Ok(())
    }

    fn memory(
        &self,
        classes: &[ClassLatencyStats],
        looks: &[EngineObservation],
        keys: Vec<KeyMemory>,
    ) -> Memory {
        let mut engines = Vec::new();
        self.registry.for_each_engine(|name, engine, started| {
            let Some(look) = looks.iter().find(|l| l.engine == engine) else { return };
            engines.push(EngineMemory {
                id: name.to_owned(),
                started: started.map_or(0, |t| t.0 / 1000),
                slowdown: look.slowdown,
                away_until: look.ejected_until.map_or(0, |t| t.0 / 1000),
            });
        });
        let class = |(name, pace): (&String, &ClassLatencyStats)| ClassMemory {
            name: name.clone(),
            exec: (pace.execution_time.mean, pace.execution_time.samples),
            best: None,
            width: (pace.work_per_thread.mean, pace.work_per_thread.samples),
        };
        let classes = self.classes.iter().zip(classes).map(class).collect();
        let (written, serial) = (unix_ms(), self.registry.serial());
        Memory { written, serial, living: 0, engines, classes, keys }
    }

    fn report(&self, counters: &Counters) {
        self.metrics.set_state(vec![
            ("records", counters.records, 'c'),
            ("keys_kept", counters.keys, 'c'),
            ("errors", counters.errors, 'c'),
            ("dropped", counters.dropped, 'c'),
        ]);
    }
}

/// What stands in a folder, for `reedwalk state show` and `verify`.
///
/// # Errors
/// Where the folder can't be read, or with `strict` where something in it is not sound.
pub fn show(path: &Path, strict: bool) -> Result<String, String> {
    use reedwalk_recovery::keep::Files;
    use std::fmt::Write as _;
    std::fs::read_dir(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let folder = Folder::open(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let mut names: Vec<_> = folder.names().map_err(|e| e.to_string())?;
    names.sort();
    let (mut text, mut sound) = (String::new(), true);
    for name in names.iter().filter(|n| n.starts_with("record-")) {
        let read = folder.read(name, reedwalk_recovery::record::RECORD_MOST).map_err(|e| e.to_string());
        match read.and_then(|b| reedwalk_recovery::record::read(&b).map_err(|e| e.to_string())) {
            Ok(record) => {
                let memory = &record.memory;
                let age = unix_ms().saturating_sub(memory.written) / 1000;
                let _ = writeln!(
                    text,
                    "{name}: sound, written {age} s ago, host {:016x}, front end {:016x}, settings {:016x}",
                    record.owner.host, record.owner.front, record.owner.settings
                );
                if !strict {
                    for class in &memory.classes {
                        let _ = writeln!(text, "  class {}: {:.1} ms", class.name, class.exec.0 / 1000.0);
                    }
                    for engine in &memory.engines {
                        let slow = engine.slowdown.map_or("not seen".into(), |s| format!("{s:.2} times"));
                        let _ = writeln!(text, "  engine {}: {slow}", engine.id);
                    }
                }
                let (log, owner) = (name.replace("record", "log"), record.owner);
                let bytes = folder.read(&log, reedwalk_recovery::log::LOG_MOST).unwrap_or_default();
                let (entries, whole) = reedwalk_recovery::log::read(owner, record.generation, &bytes);
                let torn = bytes.len() - whole;
                let _ = writeln!(
                    text,
                    "  keys: {} in the record, {} in its log, {torn} bytes torn",
                    memory.keys.len(),
                    entries.len()
                );
            }
            Err(why) => {
                sound = false;
                let _ = writeln!(text, "{name}: NOT SOUND: {why}");
            }
        }
    }
    if text.is_empty() {
        text.push_str("no record\n");
    }
    if strict && !sound { Err(text) } else { Ok(text) }
}

/// Takes away all that is kept in a folder; nobody may be writing there.
///
/// # Errors
/// Where another process writes there, or the folder refuses.
pub fn forget(path: &Path) -> Result<String, String> {
    use reedwalk_recovery::keep::Files;
    let said = |e: std::io::Error| format!("{}: {e}", path.display());
    std::fs::read_dir(path).map_err(said)?;
    let mut folder = Folder::open(path).map_err(said)?;
    let Some(_locked) = folder.lock().map_err(said)? else {
        return Err(format!("{}: a front end writes there; end it first", path.display()));
    };
    let names = folder.names().map_err(said)?;
    let ours = |n: &&String| n.starts_with("record-") || n.starts_with("log-") || *n == "beside";
    let names: Vec<_> = names.iter().filter(ours).collect();
    for name in &names {
        folder.remove(name).map_err(said)?;
    }
    Ok(format!("{} files forgotten\n", names.len()))
}
