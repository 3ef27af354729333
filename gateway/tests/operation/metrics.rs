//! The metrics of the console, compared with the counts of clients and engines.

use crate::support::console::{metrics, wait_for_metrics};
use crate::support::mysql::{Client, fields};
use crate::support::{Outcome, TestBed, both_protocols, flight, flight_engines, gateway, resp_engines};
use crate::{MetricValues, with_console};
use reedwalk_gateway::operator::EngineProtocol;
use reedwalk_gateway::serve::Running;
use std::time::{Duration, Instant};

/// Number of client requests by outcome.
#[derive(Default)]
struct Outcomes {
    served: u64,
    failed: u64,
    rejected: u64,
}

/// Sends the same mix of statements over both protocols and counts the outcomes.
async fn request_mix(running: &Running, mysql: &mut Client, protocol: EngineProtocol) -> Outcomes {
    let flight = flight::Client::connect(running.flight.unwrap()).await;
    let mut outcomes = Outcomes::default();
    for n in 0..12 {
        let text = ["SELECT", "ERROR", "BUSY", "SELECT"][n % 4];
        let statement = format!("{text} {protocol:?} {n}");
        let request_outcomes = [
            mysql.outcome(&fields("lookup", 2000, None, &statement)).await,
            flight::outcome(flight.with_class("lookup", None).query(&format!("{statement} too")).await),
        ];
        for outcome in request_outcomes {
            match outcome {
                Outcome::Served => outcomes.served += 1,
                Outcome::Rejected(..) => outcomes.rejected += 1,
                Outcome::Failed(_) => outcomes.failed += 1,
                Outcome::BadInput => panic!("bad input"),
            }
        }
    }
    outcomes
}

#[tokio::test]
async fn metrics_match_what_clients_and_engines_counted() {
    let test_bed = TestBed::default();
    let engines = flight_engines(&test_bed).await;
    for protocol in [EngineProtocol::FlightSql, EngineProtocol::Resp] {
        let engines = match protocol {
            EngineProtocol::FlightSql => engines,
            EngineProtocol::Resp => resp_engines(&test_bed).await,
        };
        let before = test_bed.attempts_at("a") + test_bed.attempts_at("b");
        let running = gateway(with_console(&engines), both_protocols(protocol)).await;
        let console = running.console.unwrap();
        let initial = metrics(console).await;
        assert_eq!(initial["completed.lookup"] + initial["failed.adjust"] + initial["pending"], 0);
        assert_eq!((initial["members"], initial["members_unavailable"]), (2, 0));
        let mut client = Client::connect(running.mysql).await;
        let Outcomes { served, failed, rejected } = request_mix(&running, &mut client, protocol).await;
        // A request without the idempotency key that its class needs never reaches the broker.
        assert_eq!(client.outcome(&fields("batch-post", 2000, None, "INSERT 1")).await, Outcome::BadInput);
        // A request whose client has disconnected is neither counted nor pending.
        let mut disconnecting = Client::connect(running.mysql).await;
        disconnecting.send_query(&fields("lookup", 2000, None, &format!("HANG {protocol:?}"))).await;
        wait_for_metrics(console, "the pending request", |m| m["pending"] == 1).await;
        drop(disconnecting);
        let attempts = || (test_bed.attempts_at("a") + test_bed.attempts_at("b") - before) as u64;
        let expected = |m: &MetricValues| {
            m["completed.lookup"] == served
                && m["rejected.lookup"] == rejected
                && m["failed.lookup"] == failed
                && m["failed.batch-post"] == 1
                && m["completed.statement"] == 0
                && m["pending"] == 0
                && m["upstream_requests"].abs_diff(attempts()) <= 3
        };
        let started = Instant::now();
        let description =
            format!("{served} served, {rejected} rejected, {failed} failed, {} attempts", attempts());
        wait_for_metrics(console, &description, expected).await;
        assert!(started.elapsed() < Duration::from_millis(500), "the metrics were late");
        assert!(served > 0 && failed + rejected > 0);
    }
}
