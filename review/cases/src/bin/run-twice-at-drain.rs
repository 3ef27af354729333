//! Case: an engine on Flight SQL drains while it runs a statement that must not be repeated. The gateway takes the attempt
//! for one that was never sent, and sends the statement to another engine.

use reedwalk_review::engine::{EngineLog, with_engines};
use reedwalk_review::flight_engine::start_flight_engine;
use reedwalk_review::process::Start;
use reedwalk_review::site::{ReservedAddress, example_config, temporary_folder, write_file};
use reedwalk_review::{Record, Verdict, run_case, with_trouble};
use reedwalk_testkit::discovery_server::{EngineList, ListedEngine, start_server};
use reedwalk_testkit::mysql::{Client, fields};
use serde_json::json;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Place of the class `statement` in the example configuration.
const STATEMENT_CLASS: usize = 1;
/// The engine's time for the statement, in milliseconds; the site's statements need 1,900 to 4,000 ms on average.
const RUN_MS: u64 = 2500;
/// From the arrival at the engine to the drain.
const DRAIN_AFTER: Duration = Duration::from_millis(200);
/// How long the client waits; the class is given up after 25 s.
const PATIENCE: Duration = Duration::from_secs(15);
/// Answers come at most this much after the client's time.
const ANSWER_SLACK: Duration = Duration::from_millis(70);
/// How long to wait for the first attempt.
const FIRST_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the case goes on after the answer.
const SETTLE: Duration = Duration::from_secs(4);
/// Error codes of a refusal, which tells the client that trying again is harmless.
const REFUSALS: [u16; 3] = [1040, 1203, 1226];
/// A word that only this statement has.
const MARK: &str = "pay_out_merchant_4711";

/// Waits until an engine has received the statement; returns the engine's id.
async fn first_engine(log: &EngineLog) -> String {
    let deadline = Instant::now() + FIRST_ATTEMPT_TIMEOUT;
    loop {
        if let Some(attempt) = log.attempts_of(MARK).first() {
            return attempt.engine.clone();
        }
        assert!(Instant::now() < deadline, "no engine received the statement");
        sleep(Duration::from_millis(5)).await;
    }
}

async fn case(record: &Record) -> Verdict {
    let log = EngineLog::new(record);
    let engines =
        [("s-0", start_flight_engine("s-0", &log).await), ("s-1", start_flight_engine("s-1", &log).await)];
    let listed =
        engines.map(|(id, address)| ListedEngine { id: id.into(), address, draining: false, started_ms: 0 });
    let list: EngineList = Arc::new(Mutex::new((1, listed.to_vec())));
    let (name_server, _) = start_server(list.clone()).await;
    let mysql = ReservedAddress::new();
    let mut config = example_config(mysql.address, &engines);
    config["names"] = json!(name_server.to_string());
    config["settings"]["RequestClasses"][STATEMENT_CLASS]["Effect"] = json!("once");
    let config = write_file("config.json", &config.to_string());
    let operator = write_file("engines.kdl", "engines \"flight-sql\"\n");
    let folder = temporary_folder("tmp");
    let start = Start {
        name: "gateway",
        config: &config,
        operator: Some(&operator),
        temporary_folder: &folder,
        has_console: true,
    };
    let process = start.run(record).await;
    process.wait_for_health(record).await;

    let mut client = Client::connect(mysql.address).await;
    let statement = format!("SELECT {MARK}('2026-12') /* RUN_MS={RUN_MS} */");
    client.send_query(&fields("statement", PATIENCE.as_millis() as u64, None, &statement)).await;
    record.line("client: sends a request of the class 'statement', whose effect is 'once'");
    let engine = first_engine(&log).await;
    sleep(DRAIN_AFTER).await;
    if with_trouble() {
        let mut list = list.lock().expect("the name server has panicked");
        list.0 += 1;
        list.1.iter_mut().filter(|listed| listed.id == engine).for_each(|listed| listed.draining = true);
        record.line(&format!("name server: event {}: {engine} drains", list.0));
    }
    let answer = timeout(PATIENCE + ANSWER_SLACK, client.answer()).await;
    record.line(&format!("client: answer: {answer:?}"));
    let is_refused = matches!(answer, Ok(Err((code, _))) if REFUSALS.contains(&code));
    sleep(SETTLE).await;
    let (sent, ran) = (log.attempts_of(MARK).len(), log.effects_of(MARK));
    record.line(&format!("the statement was sent {sent} times and ran to its end at {ran:?}"));
    drop(process);
    let is_refused_after_it_ran = is_refused && !ran.is_empty();
    if ran.len() > 1 || is_refused_after_it_ran { Verdict::Broken } else { Verdict::Held }
}

fn main() {
    run_case(async |record| with_engines(case(record)).await)
}
