//! What an operator's `peers` block may ask for, and what is said of one that does not fit.

mod support;

use reedwalk_gateway::config::Config;
use reedwalk_gateway::gossip::group;
use reedwalk_gateway::operator;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use support::{config, folder};

/// A front end `n0` of a tier of two.
fn of_two() -> Config {
    let mut config = config(&[]);
    config.deployment.core.gateways = 2;
    config
}

fn said(block: &str, config: &Config) -> Result<String, String> {
    let operator = operator::read(block).map_err(|f| f.to_string())?;
    let tier = group(&operator.peers.unwrap(), config).map_err(|f| f.to_string())?;
    Ok(tier.map_or("off".into(), |t| {
        format!("{} of {} at {} {}", t.me, t.addresses.len(), t.listen, t.describe_signing())
    }))
}

fn key(path: &Path, bytes: &[u8], mode: u32) -> String {
    std::fs::write(path, bytes).unwrap();
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(mode)).unwrap();
    format!("key {:?}", path.display().to_string())
}

const MEMBERS: &str = "member \"n1\" \"127.0.0.1:1\"\n member \"n0\" \"127.0.0.1:2\"\n";

#[test]
fn a_tier_is_named_by_the_operator_or_by_the_deployment() {
    let block = format!("peers {{\n {MEMBERS}}}");
    assert_eq!(said(&block, &of_two()).unwrap(), "1 of 2 at 127.0.0.1:2 not signed");
    let block = format!("peers {{\n {MEMBERS} listen \"127.0.0.1:9\"\n}}");
    assert_eq!(said(&block, &of_two()).unwrap(), "1 of 2 at 127.0.0.1:9 not signed");
    let mut told = of_two();
    told.peers = vec!["127.0.0.1:5".parse().unwrap(), "127.0.0.1:6".parse().unwrap()];
    told.peer_listen = Some(told.peers[0]);
    assert_eq!(said("peers {\n}", &told).unwrap(), "0 of 2 at 127.0.0.1:5 not signed");
}

#[test]
fn where_the_settings_forbid_it_nothing_is_opened() {
    let mut config = of_two();
    config.deployment.sockets.may_gossip = Some(false);
    assert_eq!(said(&format!("peers {{\n {MEMBERS}}}"), &config).unwrap(), "off");
    config.deployment.sockets.may_gossip = Some(true);
    assert!(said(&format!("peers {{\n {MEMBERS}}}"), &config).is_ok());
}

#[test]
fn what_does_not_fit_is_said_with_its_line() {
    let folder = folder();
    let path = |name: &str| folder.join(name);
    let block = |more: &str| format!("// a tier\npeers {{\n {MEMBERS} {more}\n}}");
    let sound = key(&path("sound"), &[b'k'; 40], 0o600);
    let second = key(&path("second"), &[b'l'; 40], 0o400);
    assert!(said(&block(&sound), &of_two()).unwrap().ends_with(" signed"));
    assert!(said(&block(&format!("{sound}\n {second}")), &of_two()).unwrap().ends_with("keys in change"));
    let cases = [
        (key(&path("short"), b"0123456789", 0o600), "line 5: key", "32 bytes or more, this one 10"),
        (key(&path("blank"), &[b' '; 40], 0o600), "line 5: key", "this one 0"),
        (key(&path("open"), &[b'k'; 40], 0o644), "line 5: key", "mode 644"),
        ("key \"/nowhere/peers.key\"".into(), "line 5: key", "No such file"),
    ];
    for (more, line, what) in cases {
        let fault = said(&block(&more), &of_two()).unwrap_err();
        assert!(fault.starts_with(line) && fault.contains(what), "{more}: {fault}");
    }
    let mut stranger = of_two();
    stranger.name = "n7".into();
    let fault = said(&block(""), &stranger).unwrap_err();
    assert!(fault.contains("line 2") && fault.contains("no 'member' is called \"n7\""), "{fault}");
    let mut three = of_two();
    three.deployment.core.gateways = 3;
    assert!(said(&block(""), &three).unwrap_err().contains("2 front ends are named, the settings tell of 3"));
    assert!(said("peers {\n}", &of_two()).unwrap_err().contains("the configuration no 'peers'"));
    let mut nowhere = of_two();
    nowhere.peers = vec!["127.0.0.1:5".parse().unwrap(), "127.0.0.1:6".parse().unwrap()];
    assert!(said("peers {\n}", &nowhere).unwrap_err().contains("lacks 'listen'"));
}
