//! Case: in an upgrade, a Flight SQL client gets the rows of another client's statement.

use arrow_flight::Ticket;
use reedwalk_review::engine::{EngineLog, start_engine, with_engines};
use reedwalk_review::process::{Process, Start};
use reedwalk_review::site::{ReservedAddress, example_config, temporary_folder, write_file};
use reedwalk_review::{Record, Verdict, run_case, with_trouble};
use reedwalk_testkit::flight::Client;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Queries of each team that its process has served before.
const EARLIER_QUERIES: usize = 20;
/// Queries of each of the two teams whose tickets are not used yet.
const QUERIES: usize = 4;
/// Longest time that an answer may take, of a class given up after 6 s.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// How long the old process may take to end; it has no request open.
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);

/// The statement of a team's query.
fn statement(team: &str, number: usize) -> String {
    format!("SELECT day, count, note FROM sales_{number}.orders WHERE merchant = '{team}'")
}

/// A client of the class `lookup`.
async fn connect(address: SocketAddr) -> Client {
    Client::connect(address).await.with_header("reedwalk-class", "lookup")
}

/// Runs a team's earlier queries to their end: each has its own rows.
async fn run_earlier_queries(client: &Client, team: &str, record: &Record) {
    for number in 0..EARLIER_QUERIES {
        let asked = statement(team, number);
        let rows =
            timeout(ANSWER_TIMEOUT, client.query(&asked)).await.expect("no answer").expect("not served");
        assert_eq!(rows[0][0], asked, "an earlier query has foreign rows");
    }
    record.line(&format!("{team}: {EARLIER_QUERIES} queries served, each with its own rows"));
}

/// Asks for tickets and does not use them yet.
async fn get_tickets(client: &Client, team: &str, record: &Record) -> Vec<Ticket> {
    let mut tickets = Vec::new();
    for number in 0..QUERIES {
        let asked = statement(team, number);
        let info = client.info(&asked).await.expect("no info");
        record.line(&format!("{team}: GetFlightInfo for [{asked}]: a ticket"));
        tickets.push(info.endpoint[0].ticket.clone().expect("no ticket"));
    }
    tickets
}

/// Starts the second process, and ends the first once the second says yes, as the platform does.
async fn upgrade(mut old: Process, start: Start<'_>, record: &Record) -> Process {
    let new = Start { name: "new process", ..start }.run(record).await;
    new.wait_for_health(record).await;
    old.signal("-TERM", record);
    let deadline = Instant::now() + EXIT_TIMEOUT;
    loop {
        if let Some(status) = old.ended() {
            record.line(&format!("{}: ended, {status}", old.name));
            return new;
        }
        assert!(Instant::now() < deadline, "the old process does not end");
        sleep(Duration::from_millis(10)).await;
    }
}

async fn case(record: &Record) -> Verdict {
    let log = EngineLog::new(record);
    let engines = [("s-0", start_engine("s-0", &log).await), ("s-1", start_engine("s-1", &log).await)];
    let (mysql, flight) = (ReservedAddress::new(), ReservedAddress::new());
    let config = write_file("config.json", &example_config(mysql.address, &engines).to_string());
    let operator = write_file("flight.kdl", &format!("flight {{\n    listen \"{}\"\n}}\n", flight.address));
    let folder = temporary_folder("tmp");
    let start = Start {
        name: "old process",
        config: &config,
        operator: Some(&operator),
        temporary_folder: &folder,
        has_console: true,
    };
    let mut process = start.run(record).await;
    process.wait_for_health(record).await;

    // The first team has been served for a while, and asks for tickets; each is valid for one DoGet within 60 s.
    let first_team = connect(flight.address).await;
    run_earlier_queries(&first_team, "first-team", record).await;
    let first_tickets = get_tickets(&first_team, "first-team", record).await;
    if with_trouble() {
        process = upgrade(process, start, record).await;
    }
    // The second team does the same. In an upgrade it reaches the new process.
    let second_team = connect(flight.address).await;
    run_earlier_queries(&second_team, "second-team", record).await;
    let second_tickets = get_tickets(&second_team, "second-team", record).await;
    // The first team fetches its results. The old process has closed its connection, so it connects again.
    let mut foreign = 0;
    for (team, tickets) in [("first-team", first_tickets), ("second-team", second_tickets)] {
        let client = connect(flight.address).await;
        for (number, ticket) in tickets.into_iter().enumerate() {
            let asked = statement(team, number);
            let answer = timeout(ANSWER_TIMEOUT, client.get(ticket)).await.expect("no answer");
            match answer {
                Ok(rows) => {
                    let got = rows.first().and_then(|row| row.first()).cloned().unwrap_or_default();
                    let is_foreign = got != asked;
                    foreign += usize::from(is_foreign);
                    let remark = if is_foreign { "FOREIGN rows" } else { "its own rows" };
                    record.line(&format!("{team}: DoGet for [{asked}]: {remark}: {rows:?}"));
                }
                Err(status) => record.line(&format!(
                    "{team}: DoGet for [{asked}]: no rows, {:?}: {}",
                    status.code(),
                    status.message()
                )),
            }
        }
    }
    drop(process);
    record.line(&format!("answers 'served' with the rows of another client's statement: {foreign}"));
    if foreign > 0 { Verdict::Broken } else { Verdict::Held }
}

fn main() {
    run_case(async |record| with_engines(case(record)).await)
}
