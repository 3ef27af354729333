//! Property tests of the endpoint registry against a simple model, over any order of list events, console calls,
//! restarts and hot restarts.

mod support;

use proptest::prelude::*;
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
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use support::{discard_log, folder, proptest_cases, settings};
use tokio::time::Instant;

/// Number of engines in the list.
const ENGINES: usize = 4;
/// The engine states of the list.
const STATES: [&str; 3] = ["in_service", "terminating", "terminated"];

/// One operation of a generated sequence.
#[derive(Clone, Debug)]
enum Operation {
    /// A list event for an engine: its state, as an index into [`STATES`], and whether it was restarted.
    ListEvent { engine: usize, state: u8, restarted: bool },
    /// A console call at one of the processes, which takes an engine out of service or returns it.
    ConsoleCall { process: usize, engine: usize, offline: bool },
    /// A process ends, and another one starts with the current list.
    ProcessReplaced(usize),
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        3 => (0..ENGINES, 0u8..3, any::<bool>())
            .prop_map(|(engine, state, restarted)| Operation::ListEvent { engine, state, restarted }),
        4 => (0usize..2, 0..ENGINES + 1, any::<bool>())
            .prop_map(|(process, engine, offline)| Operation::ConsoleCall { process, engine, offline }),
        1 => (0usize..2).prop_map(Operation::ProcessReplaced),
    ]
}

/// One process, and the latest update that its broker has read for each engine number.
struct Process {
    registry: EndpointRegistry,
    endpoints: EndpointMailbox,
    updates: HashMap<u32, EndpointUpdate>,
}

/// The engine list: index of the state and start time of each engine, by number. Each change is one event.
struct List {
    seq: u32,
    engines: BTreeMap<usize, (u8, u64)>,
}

impl List {
    /// One event with the complete list.
    fn full_event(&self) -> serde_json::Value {
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
        let sockets = Arc::new(reedwalk_settings::read(&settings()).unwrap().sockets);
        let endpoints = EndpointMailbox::default();
        let drain_guards = DrainGuards::new(Duration::from_secs(2));
        let override_file = Some(OverrideFile::new(folder, "test"));
        let registry = EndpointRegistry::new(
            EndpointList::new(sockets),
            drain_guards,
            endpoints.clone(),
            Arc::new(Metrics::default()),
            override_file,
            discard_log(),
        );
        registry.apply_events(&list.full_event()).unwrap();
        Self { registry, endpoints, updates: HashMap::new() }
    }

    fn read_updates(&mut self) {
        let updates = self.endpoints.take().into_iter();
        self.updates.extend(updates.map(|update| (update.endpoint.entry.engine.0, update)));
    }
}

/// The expected state (the list and the operator's overrides), and the two processes under test, which share a folder.
struct Model {
    folder: PathBuf,
    list: List,
    processes: [Process; 2],
    /// Engines that the operator has taken out of service.
    offline: BTreeSet<usize>,
    /// Engines that the operator has returned to service, and when.
    returned: BTreeMap<usize, SystemTime>,
}

impl Model {
    fn new() -> Self {
        let folder = folder();
        let list = List { seq: 1, engines: (0..ENGINES).map(|n| (n, (0, 0))).collect() };
        let processes = [Process::start(&folder, &list), Process::start(&folder, &list)];
        Self { folder, list, processes, offline: BTreeSet::new(), returned: BTreeMap::new() }
    }

    fn list_event(&mut self, engine: usize, state: u8, restarted: bool) {
        self.list.seq += 1;
        let started = if restarted { u64::from(self.list.seq) } else { self.list.engines[&engine].1 };
        self.list.engines.insert(engine, (state, started));
        for process in &mut self.processes {
            process.registry.apply_newer_events(&self.list.full_event()).unwrap();
        }
    }

    async fn console_call(
        &mut self,
        process: usize,
        engine: usize,
        offline: bool,
    ) -> Result<(), TestCaseError> {
        let value = if offline { Override::Out } else { Override::Returned };
        let answer = self.processes[process].registry.set_override(&format!("s-{engine}"), value).await;
        prop_assert_eq!(answer.is_ok(), engine < ENGINES, "only an unknown id is rejected");
        if engine < ENGINES && offline {
            self.offline.insert(engine);
        } else if engine < ENGINES && self.offline.remove(&engine) {
            self.returned.insert(engine, SystemTime::now());
        }
        // The override takes effect at once in the process that answered; the other one reads it from the file.
        self.processes[process].read_updates();
        self.processes[1 - process].registry.reload_overrides();
        Ok(())
    }

    /// The state that each process must have for an engine.
    fn expected_state(&self, engine: usize) -> EngineState {
        match (self.list.engines[&engine].0, self.offline.contains(&engine)) {
            (2, _) => EngineState::Removed,
            (0, false) => EngineState::InService,
            _ => EngineState::Draining,
        }
    }

    fn check(&self, process: &Process) -> Result<(), TestCaseError> {
        for (engine, (_, started)) in &self.list.engines {
            // Looked up by address, because each process assigns its own engine numbers.
            let address = format!("10.1.0.{engine}:8080").parse().unwrap();
            let update = process.updates.values().find(|update| update.endpoint.address == address);
            let expected = self.expected_state(*engine);
            let Some(EndpointUpdate { endpoint, drain_guard }) = update else {
                prop_assert_eq!(expected, EngineState::Removed);
                continue;
            };
            prop_assert_eq!(endpoint.entry.state, expected, "engine {}", engine);
            let closed = expected == EngineState::Removed || self.offline.contains(engine);
            // While only the list drains an engine, its guard may be open (grace period) or closed (earlier override).
            if closed || expected == EngineState::InService {
                let open = drain_guard.is_open(Instant::now());
                prop_assert_eq!(open, !closed, "the drain guard of engine {}", engine);
            }
            if expected == EngineState::InService && self.returned.contains_key(engine) {
                let slow_start = endpoint.entry.started.is_some_and(|s| s.0 > started * 1000);
                prop_assert!(slow_start, "engine {} was returned without a slow start", engine);
            }
        }
        Ok(())
    }
}

async fn run_operations(operations: Vec<Operation>) -> Result<(), TestCaseError> {
    let mut model = Model::new();
    for operation in operations {
        match operation {
            Operation::ListEvent { engine, state, restarted } => model.list_event(engine, state, restarted),
            Operation::ConsoleCall { process, engine, offline } => {
                model.console_call(process, engine, offline).await?;
            }
            Operation::ProcessReplaced(process) => {
                model.processes[process] = Process::start(&model.folder, &model.list);
            }
        }
        model.processes.iter_mut().for_each(Process::read_updates);
        for process in &model.processes {
            model.check(process)?;
        }
    }
    std::fs::remove_dir_all(model.folder).unwrap();
    Ok(())
}

proptest! {
    #![proptest_config(proptest_cases(96))]

    #[test]
    fn overrides_hold_through_any_order_of_events(operations in prop::collection::vec(operation(), 1..40)) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
        runtime.block_on(run_operations(operations))?;
    }

    #[test]
    fn any_console_line_is_parsed_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..300), text in "[A-Z]{0,8} ?[a-z0-9-]{0,8} ?") {
        use reedwalk_gateway::console::line::{Command, MAX_LINE_BYTES, parse_command, complete_line};
        for line in [&bytes[..], text.as_bytes()] {
            if let Ok(Some(line)) = complete_line(line) {
                prop_assert!(line.len() <= MAX_LINE_BYTES && !line.contains(&b'\n'));
            }
            match parse_command(line) {
                Ok(Command::Offline(id) | Command::Online(id)) => prop_assert!(!id.is_empty() && !id.contains(' ')),
                Ok(Command::Health | Command::Dump) => prop_assert!(line.len() >= 4),
                Ok(Command::Kill(id)) => prop_assert!(String::from_utf8_lossy(line).contains(&id.to_string())),
                // The reason is a single line for any input.
                Err(error) => prop_assert!(!error.to_string().contains('\n')),
            }
        }
    }
}
