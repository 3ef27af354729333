//! The owner of the list against a plain model: any order of list events, calls, restarts and handovers.

mod support;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use reedwalk_gateway::discovery::endpoint_list::EndpointList;
use reedwalk_gateway::drain_guard::DrainGuards;
use reedwalk_gateway::message::{EndpointMailbox, EndpointUpdate};
use reedwalk_gateway::metrics::Metrics;
use reedwalk_gateway::registry::EndpointRegistry;
use reedwalk_gateway::registry::override_file::OverrideFile;
use reedwalk_operations::Override;
use reedwalk_scheduler::EngineState;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const ENGINES: usize = 4;
const STATES: [&str; 3] = ["in_service", "terminating", "terminated"];

#[derive(Clone, Debug)]
enum Step {
    /// The list says of an engine: in service, draining or gone; whether it was restarted.
    List(usize, u8, bool),
    /// A call at one of the processes.
    Call(usize, usize, bool),
    /// A process ends, and another starts with the list as it is now.
    Replaced(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..ENGINES, 0u8..3, any::<bool>()).prop_map(|(e, s, r)| Step::List(e, s, r)),
        4 => (0usize..2, 0..ENGINES + 1, any::<bool>()).prop_map(|(p, e, out)| Step::Call(p, e, out)),
        1 => (0usize..2).prop_map(Step::Replaced),
    ]
}

/// One process: what its broker would know.
struct Process {
    registry: EndpointRegistry,
    endpoints: EndpointMailbox,
    known: HashMap<u32, EndpointUpdate>,
}

/// The list: state and start of each engine, by number; an event for each change.
struct List {
    seq: u32,
    engines: BTreeMap<usize, (u8, u64)>,
}

impl List {
    /// All events so far, as one that holds the whole list.
    fn known(&self) -> serde_json::Value {
        let servers = self.engines.iter().map(|(n, (state, started))| {
            json!({"id": format!("s-{n}"), "addr": format!("10.1.0.{n}:8080"), "zone": "hall-a", "kind": "std-8c",
                "state": STATES[usize::from(*state)], "started_ms": started})
        });
        let servers: Vec<_> = servers.collect();
        json!({"seq": self.seq, "results": [{"fleet": {"full": true, "servers": servers}}]})
    }
}

impl Process {
    fn start(folder: &Path, list: &List) -> Self {
        let sockets = Arc::new(reedwalk_settings::read(&support::settings()).unwrap().sockets);
        let endpoints = EndpointMailbox::default();
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let drain_guards = DrainGuards::new(Duration::from_secs(2));
        let keep = Some(OverrideFile::new(folder, "test"));
        let registry = EndpointRegistry::new(
            EndpointList::new(sockets),
            drain_guards,
            endpoints.clone(),
            Arc::new(Metrics::default()),
            keep,
            log,
        );
        registry.start(&list.known()).unwrap();
        Self { registry, endpoints, known: HashMap::new() }
    }

    fn read(&mut self) {
        let updates = self.endpoints.read().into_iter();
        self.known.extend(updates.map(|update| (update.endpoint.entry.engine.0, update)));
    }
}

#[expect(clippy::too_many_lines, reason = "one arm for each step of the history")]
async fn play(steps: Vec<Step>) -> Result<(), TestCaseError> {
    let folder = support::folder();
    let mut list = List { seq: 1, engines: (0..ENGINES).map(|n| (n, (0, 0))).collect() };
    let mut processes = [Process::start(&folder, &list), Process::start(&folder, &list)];
    // What operators have said: who is out, and since when the others are back.
    let (mut out, mut back) = (BTreeSet::new(), BTreeMap::new());
    for step in steps {
        match step {
            Step::List(engine, state, restarted) => {
                list.seq += 1;
                let started = if restarted { u64::from(list.seq) } else { list.engines[&engine].1 };
                list.engines.insert(engine, (state, started));
                for process in &mut processes {
                    process.registry.refresh(&list.known()).unwrap();
                }
            }
            Step::Call(at, engine, call_out) => {
                let value = if call_out { Override::Out } else { Override::Returned };
                let said = processes[at].registry.set_override(&format!("s-{engine}"), value).await;
                prop_assert_eq!(said.is_ok(), engine < ENGINES, "an unknown id is a no, and no other");
                if engine < ENGINES && call_out {
                    out.insert(engine);
                } else if engine < ENGINES && out.remove(&engine) {
                    back.insert(engine, std::time::SystemTime::now());
                }
                // The answer binds the one that gave it at once; the other looks at the record.
                processes[at].read();
                processes[1 - at].registry.reload_overrides();
            }
            Step::Replaced(at) => processes[at] = Process::start(&folder, &list),
        }
        for process in &mut processes {
            process.read();
            // Known by its address: each process gives engines numbers of its own.
            for (engine, (state, started)) in &list.engines {
                let address = format!("10.1.0.{engine}:8080").parse().unwrap();
                let known = process.known.values().find(|update| update.endpoint.address == address);
                let want = match (*state, out.contains(engine)) {
                    (2, _) => EngineState::Removed,
                    (0, false) => EngineState::InService,
                    _ => EngineState::Draining,
                };
                let Some(EndpointUpdate { endpoint, drain_guard }) = known else {
                    prop_assert_eq!(want, EngineState::Removed);
                    continue;
                };
                prop_assert_eq!(endpoint.entry.state, want, "engine {}", engine);
                let shut = want == EngineState::Removed || out.contains(engine);
                // One that drains by the list alone may still be written to for a while, or has been out before.
                if shut || want == EngineState::InService {
                    prop_assert_eq!(
                        drain_guard.is_open(Instant::now()),
                        !shut,
                        "the drain guard of engine {}",
                        engine
                    );
                }
                if want == EngineState::InService && back.contains_key(engine) {
                    let cold = endpoint.entry.started.is_some_and(|s| s.0 > started * 1000);
                    prop_assert!(cold, "engine {} is back and not cold", engine);
                }
            }
        }
    }
    std::fs::remove_dir_all(folder).unwrap();
    Ok(())
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(20_261_201),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        ..Config::with_cases(96)
    })]

    #[test]
    fn overrides_hold_through_any_order_of_events(steps in prop::collection::vec(step(), 1..40)) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
        runtime.block_on(play(steps))?;
    }

    #[test]
    fn no_line_breaks_the_console(bytes in prop::collection::vec(any::<u8>(), 0..300), text in "[A-Z]{0,8} ?[a-z0-9-]{0,8} ?") {
        use reedwalk_gateway::console::line::{Command, MAX_LINE_BYTES, read_command, whole_line};
        for line in [&bytes[..], text.as_bytes()] {
            if let Ok(Some(line)) = whole_line(line) {
                prop_assert!(line.len() <= MAX_LINE_BYTES && !line.contains(&b'\n'));
            }
            match read_command(line) {
                Ok(Command::Offline(id) | Command::Online(id)) => prop_assert!(!id.is_empty() && !id.contains(' ')),
                Ok(Command::Health | Command::Dump) => prop_assert!(line.len() >= 4),
                // One line, whatever was in the call.
                Err(bad) => prop_assert!(!bad.to_string().contains('\n')),
            }
        }
    }
}
