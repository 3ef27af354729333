//! Requests with idempotency keys that gateways share through Redis: one key at several gateways, zones, store faults,
//! and gateways that are killed while they serve a request.

#[path = "../support/mod.rs"]
mod support;

mod crashes;
mod faults;
mod stored_answers;
mod zones;

use reedwalk_gateway::config::Config;
use reedwalk_gateway::operator::{BudgetStore, OperatorConfig};
use reedwalk_gateway::serve::Running;
use reedwalk_gateway::shared_store::SharedStoreOptions;
use serde_json::{Value as Json, json};
use std::net::SocketAddr;
use std::time::Duration;
use support::mysql::{Client, fields};
use support::process::{Process, ProcessConfig};
use support::redis::{Redis, Value};
use support::{Outcome, TestBed, config_with, folder, gateway, resp_engines, settings, until};

/// The prefix of the store's keys for the class `batch-post`.
const KEY_PREFIX: &str = "reedwalk:1:key:batch-post:";

/// Test doubles for engines in two zones and for Redis.
struct Fixture {
    test_bed: TestBed,
    redis: Redis,
    engines: [SocketAddr; 2],
    /// The address of Redis.
    store: SocketAddr,
}

impl Fixture {
    /// Engines that share their record of keys.
    async fn start() -> Self {
        let (test_bed, redis) = (TestBed::default(), Redis::default());
        let (engines, store) = (resp_engines(&test_bed).await, redis.start().await);
        Self { test_bed, redis, engines, store }
    }

    /// Engines that each record only the keys that they have received.
    async fn start_with_separate_engines() -> Self {
        let fixture = Self::start().await;
        fixture.test_bed.0.lock().unwrap().keys_per_engine = true;
        fixture
    }

    /// A gateway with an engine in each of two zones. `scope` says which engines deduplicate keys together.
    async fn gateway(&self, scope: &str) -> Running {
        self.gateway_at(self.store, scope).await
    }

    /// The same gateway with the store at this address.
    async fn gateway_at(&self, store: SocketAddr, scope: &str) -> Running {
        self.gateway_with(store, scope, store_options(), None).await
    }

    /// A gateway that sends to one engine only, because the other one is draining.
    async fn gateway_with_draining(&self, scope: &str, engine: usize) -> Running {
        self.gateway_with(self.store, scope, store_options(), Some(engine)).await
    }

    async fn gateway_with(
        &self,
        store: SocketAddr,
        scope: &str,
        options: SharedStoreOptions,
        draining: Option<usize>,
    ) -> Running {
        let (settings, mut known) = two_zone_settings(&self.engines, scope);
        if let Some(engine) = draining {
            known["results"][0]["fleet"]["servers"][engine]["state"] = json!("draining");
        }
        let config = Config { initial_endpoints: Some(known), ..config_with(&self.engines, &settings) };
        let store = BudgetStore::Redis(format!("redis://{store}"), options);
        gateway(config, OperatorConfig { store, ..OperatorConfig::default() }).await
    }

    /// The same gateway as a process, which can be killed. `credentials` is empty or ends with `@`.
    fn process(&self, credentials: &str, scope: &str) -> Process {
        let (settings, known) = two_zone_settings(&self.engines, scope);
        let folder = folder();
        let (file, operator) = (folder.join("config.json"), folder.join("operator.kdl"));
        let config = ProcessConfig { known, settings, ..ProcessConfig::new(&self.engines) };
        std::fs::write(&file, config.text()).unwrap();
        let url = format!("redis://{credentials}{}", self.store);
        let text = format!("store redis=\"{url}\" {{\n  share-keys\n  wait \"500ms\"\n}}\n");
        std::fs::write(&operator, text).unwrap();
        Process::start(&file, &folder, Some(&operator))
    }

    /// Number of statements that took effect on the engines.
    fn effects(&self) -> usize {
        self.test_bed.0.lock().unwrap().effects.len()
    }

    /// Number of attempts at each engine.
    fn attempts_by_engine(&self) -> [usize; 2] {
        [self.test_bed.attempts_at("a"), self.test_bed.attempts_at("b")]
    }

    /// Number of attempts at both engines together.
    fn attempts(&self) -> usize {
        self.attempts_by_engine().iter().sum()
    }

    /// The state of a key in the store: `c` claimed, `s` sent, `d` done.
    fn key_state(&self, key: &str) -> Option<String> {
        let contents = self.redis.save();
        match &contents.get(format!("{KEY_PREFIX}{key}").as_bytes())?.value {
            Value::Hash(fields) => fields.get(&b"s"[..]).map(|s| String::from_utf8_lossy(s).into_owned()),
            Value::Text(_) => None,
        }
    }

    /// Waits until a key has this state.
    async fn wait_for_key_state(&self, key: &str, state: &str) {
        until(&format!("the state of {key} is {state}"), || self.key_state(key).as_deref() == Some(state))
            .await;
    }

    /// Waits until this many gateways have registered in the store.
    async fn wait_for_registered_gateways(&self, gateways: usize) {
        until("the store is used", || {
            self.redis.save().keys().filter(|k| k.starts_with(b"reedwalk:1:count:")).count() >= gateways
        })
        .await;
    }
}

/// Settings and the initial engine list, with a zone for each engine.
fn two_zone_settings(engines: &[SocketAddr; 2], scope: &str) -> (Json, Json) {
    let mut settings = settings();
    settings["Localities"] = json!(["hall-a", "hall-b"]);
    // Progress reports are off, so that the gateway keeps waiting for a silent engine.
    settings["Specifics"]["ProgressUs"] = json!(0);
    settings["RequestClasses"][2]["DedupScope"] = json!(scope);
    let mut known = support::initial_endpoints(engines);
    known["results"][0]["fleet"]["servers"][1]["zone"] = json!("hall-b");
    (settings, known)
}

/// Long timeouts, so that a short stall of the machine is not mistaken for a store failure.
fn store_options() -> SharedStoreOptions {
    SharedStoreOptions { share_keys: true, wait: Duration::from_millis(500), ..SharedStoreOptions::default() }
}

/// A request with this idempotency key.
fn keyed_request(key: &str, statement: &str) -> String {
    fields("batch-post", 2000, Some(key), statement)
}

/// The same request, marked as a client's retry.
fn keyed_retry(key: &str, statement: &str) -> String {
    keyed_request(key, statement).replacen(" */", ",redo=1 */", 1)
}

/// The outcome of a request on a new session.
async fn outcome(gateway: &Running, text: &str) -> Outcome {
    Client::connect(gateway.mysql).await.outcome(text).await
}
