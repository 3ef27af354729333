//! The program as a process: SIGTERM, reload on SIGHUP, the operator file and the command line.

mod support;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};
use support::mysql::{Client, expected_rows, fields};
use support::process::{Process, ProcessConfig};
use support::{
    ANY_PORT, Outcome, TestBed, discovery_server, endpoint_list, flight, folder, listed, resp, resp_engines,
    settings, until,
};

fn reedwalk() -> Command {
    Command::new(env!("CARGO_BIN_EXE_reedwalk"))
}

/// The configuration of a process without a console.
fn configuration(engines: &[SocketAddr], discovery: Option<SocketAddr>) -> String {
    let config = ProcessConfig::new(engines);
    ProcessConfig { console: None, discovery, memory_mb: 192, sockets: 1024, ..config }.text()
}

/// Starts a process with this configuration and operator file; returns it with the path of its configuration.
fn start(config: &str, operator: Option<&str>) -> (Process, PathBuf) {
    let folder = folder();
    let (config_file, operator_file) = (folder.join("config.json"), folder.join("operator.kdl"));
    std::fs::write(&config_file, config).unwrap();
    if let Some(operator) = operator {
        std::fs::write(&operator_file, operator).unwrap();
    }
    let process = Process::start(&config_file, &folder, operator.map(|_| operator_file.as_path()));
    (process, config_file)
}

#[tokio::test]
async fn sigterm_serves_through_the_overlap_and_exits_with_0() {
    let test_bed = TestBed::default();
    let engines = [resp::start_engine("a", test_bed.clone()).await];
    let (mut process, _) = start(&configuration(&engines, None), None);
    let mut slow = Client::connect(process.mysql).await;
    slow.send_query(&fields("adjust", 1500, None, "HANG 1")).await;
    until("the attempt is in flight", || test_bed.attempts("HANG 1") == 1).await;
    process.signal("-TERM");
    let sigterm_at = Instant::now();
    // New sessions and their requests are served during the overlap that the platform announces.
    while sigterm_at.elapsed() < Duration::from_millis(500) {
        let mut client = Client::connect(process.mysql).await;
        assert_eq!(client.query(&fields("lookup", 3000, None, "SELECT 1")).await.unwrap(), expected_rows());
    }
    assert_eq!(slow.answer().await.unwrap_err().0, 3024);
    assert_eq!(process.exit_code().await, Some(0));
}

#[tokio::test]
async fn reload_switches_discovery_and_keeps_open_requests() {
    let test_bed = TestBed::default();
    let [a, b] = resp_engines(&test_bed).await;
    let list = endpoint_list(2, vec![listed("s-0", a), listed("s-9", b)]);
    let (server, answers) = discovery_server::start_server(list).await;
    let silent_server = tokio::net::UdpSocket::bind(ANY_PORT).await.unwrap();
    let config = configuration(&[a], Some(silent_server.local_addr().unwrap()));
    let (mut process, config_file) = start(&config, None);
    let list_changes_before = process.logged("endpoint list changed, ");
    let mut open = Client::connect(process.mysql).await;
    let mut idle = Client::connect(process.mysql).await;
    open.send_query(&fields("adjust", 2500, None, "HANG 1")).await;
    until("the attempt is in flight", || test_bed.attempts("HANG 1") == 1).await;
    // A truncated file and an invalid one leave the configuration unchanged.
    for (invalid, n) in
        [(r#"{"name": "n0", "listen"#, 1), (&configuration(&[a], None).replace("GiveUpUs", "X"), 2)]
    {
        std::fs::write(&config_file, invalid).unwrap();
        process.signal("-HUP");
        until("the error is logged", || process.logged("the old one stays") == n).await;
    }
    // After several reloads of a valid file, the list comes from the discovery server that it names.
    std::fs::write(&config_file, configuration(&[a], Some(server))).unwrap();
    (0..3).for_each(|_| process.signal("-HUP"));
    until("the new server is polled", || *answers.lock().unwrap() > 1).await;
    until("the list has changed", || process.logged("endpoint list changed, ") > list_changes_before).await;
    for n in 0..4 {
        assert_eq!(
            idle.outcome(&fields("lookup", 3000, None, &format!("SELECT {n}"))).await,
            Outcome::Served
        );
    }
    assert!(test_bed.attempts_at("b") > 0, "the engine of the new server got no request");
    // A reload during the overlap ends neither the process nor its open requests.
    process.signal("-TERM");
    until("the shutdown has started", || process.logged("shutdown started") == 1).await;
    let before = process.logged("configuration reloaded, name_server");
    process.signal("-HUP");
    until("the file was read", || process.logged("configuration reloaded, name_server") > before).await;
    let mut late = Client::connect(process.mysql).await;
    assert_eq!(late.outcome(&fields("lookup", 3000, None, "SELECT 9")).await, Outcome::Served);
    assert_eq!(open.answer().await.unwrap_err().0, 3024);
    assert_eq!(process.exit_code().await, Some(0));
}

#[tokio::test]
async fn operator_file_enables_flight_sql() {
    let test_bed = TestBed::default();
    let engines = [flight::start_engine("a", test_bed.clone()).await];
    let operator = "flight {\n  listen \"127.0.0.1:0\"\n}\nengines \"flight-sql\"";
    let (mut process, _) = start(&configuration(&engines, None), Some(operator));
    let client = flight::Client::connect(process.flight.expect("Flight SQL is off")).await;
    assert_eq!(client.with_class("lookup", None).query("SELECT 1").await.unwrap(), expected_rows());
    // MySQL clients are served by the same engines.
    let mut other = Client::connect(process.mysql).await;
    assert_eq!(other.outcome(&fields("lookup", 3000, None, "SELECT 2")).await, Outcome::Served);
    // A Flight SQL call that is in flight at SIGTERM is answered before the exit.
    let call = tokio::spawn(async move {
        flight::outcome(
            client.with_class("adjust", None).with_header("grpc-timeout", "1200m").query("HANG 1").await,
        )
    });
    until("the attempt is in flight", || test_bed.attempts("HANG 1") == 1).await;
    process.signal("-TERM");
    assert_eq!(call.await.unwrap(), Outcome::Failed("DEADLINE"));
    assert_eq!(process.exit_code().await, Some(0));
}

#[test]
fn invalid_command_lines_are_explained() {
    let run = |args: &[&str]| {
        let out = reedwalk().args(args).env_remove("GW_CONFIG").output().unwrap();
        (out.status.success(), String::from_utf8(out.stdout).unwrap(), String::from_utf8(out.stderr).unwrap())
    };
    assert!(run(&["version"]).1.starts_with("reedwalk "));
    assert!(run(&["no-such-command"]).2.contains("usage"));
    assert!(run(&["serve"]).2.contains("GW_CONFIG"));
    assert!(!run(&["check-config", "--config", "/nowhere"]).0);
    assert!(
        run(&["check-config", "--config", "x", "--unheard"]).2.contains("unexpected argument: --unheard")
    );
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../deploy/flight.kdl");
    let read = reedwalk_gateway::operator::read_file(std::path::Path::new(example)).unwrap();
    let deployment = reedwalk_settings::read(&settings()).unwrap();
    assert!(reedwalk_gateway::serve::quotas(&read, &deployment, None).unwrap().is_some());
}
