//! The `peers` block of an operator file: the sources of the member list, and the errors for an invalid block.

mod support;

use reedwalk_gateway::config::Config;
use reedwalk_gateway::gossip::resolve_group;
use reedwalk_gateway::operator;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use support::{config, folder};

/// The configuration of gateway `n0`, one of two.
fn two_gateways() -> Config {
    let mut config = config(&[]);
    config.deployment.scheduler.gateways = 2;
    config
}

/// Describes the group that a block resolves to, or returns its error.
fn describe_group(block: &str, config: &Config) -> Result<String, String> {
    let operator = operator::read(block).map_err(|e| e.to_string())?;
    let group = resolve_group(&operator.peers.unwrap(), config).map_err(|e| e.to_string())?;
    Ok(group.map_or("off".into(), |g| {
        format!("{} of {} at {} {}", g.own_id, g.addresses.len(), g.listen, g.describe_signing())
    }))
}

/// Writes a key file and returns the line of the block that refers to it.
fn write_key(path: &Path, bytes: &[u8], mode: u32) -> String {
    std::fs::write(path, bytes).unwrap();
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(mode)).unwrap();
    format!("key {:?}", path.display().to_string())
}

const MEMBERS: &str = "member \"n1\" \"127.0.0.1:1\"\n member \"n0\" \"127.0.0.1:2\"\n";

#[test]
fn members_come_from_operator_file_or_deployment() {
    let block = format!("peers {{\n {MEMBERS}}}");
    assert_eq!(describe_group(&block, &two_gateways()).unwrap(), "1 of 2 at 127.0.0.1:2 not signed");
    let block = format!("peers {{\n {MEMBERS} listen \"127.0.0.1:9\"\n}}");
    assert_eq!(describe_group(&block, &two_gateways()).unwrap(), "1 of 2 at 127.0.0.1:9 not signed");
    let mut deployed = two_gateways();
    deployed.peers = vec!["127.0.0.1:5".parse().unwrap(), "127.0.0.1:6".parse().unwrap()];
    deployed.peer_listen = Some(deployed.peers[0]);
    assert_eq!(describe_group("peers {\n}", &deployed).unwrap(), "0 of 2 at 127.0.0.1:5 not signed");
}

#[test]
fn gossip_forbidden_by_settings_is_off() {
    let mut config = two_gateways();
    config.deployment.sockets.may_gossip = Some(false);
    assert_eq!(describe_group(&format!("peers {{\n {MEMBERS}}}"), &config).unwrap(), "off");
    config.deployment.sockets.may_gossip = Some(true);
    assert!(describe_group(&format!("peers {{\n {MEMBERS}}}"), &config).is_ok());
}

#[test]
fn invalid_block_is_rejected_with_line_number() {
    let folder = folder();
    let path = |name: &str| folder.join(name);
    let block = |extra: &str| format!("// a group\npeers {{\n {MEMBERS} {extra}\n}}");
    let valid = write_key(&path("valid"), &[b'k'; 40], 0o600);
    let second = write_key(&path("second"), &[b'l'; 40], 0o400);
    assert!(describe_group(&block(&valid), &two_gateways()).unwrap().ends_with(" signed"));
    assert!(
        describe_group(&block(&format!("{valid}\n {second}")), &two_gateways())
            .unwrap()
            .ends_with("key rotation in progress")
    );
    let cases = [
        (
            write_key(&path("short"), b"0123456789", 0o600),
            "line 5: key",
            "at least 32 bytes, this one has 10",
        ),
        (write_key(&path("blank"), &[b' '; 40], 0o600), "line 5: key", "this one has 0"),
        (write_key(&path("open"), &[b'k'; 40], 0o644), "line 5: key", "mode 644"),
        ("key \"/nowhere/peers.key\"".into(), "line 5: key", "No such file"),
    ];
    for (extra, line, reason) in cases {
        let error = describe_group(&block(&extra), &two_gateways()).unwrap_err();
        assert!(error.starts_with(line) && error.contains(reason), "{extra}: {error}");
    }
    let mut unlisted = two_gateways();
    unlisted.name = "n7".into();
    let error = describe_group(&block(""), &unlisted).unwrap_err();
    assert!(
        error.contains("line 2") && error.contains("no 'member' has the name of this gateway, \"n7\""),
        "{error}"
    );
    let mut expects_three = two_gateways();
    expects_three.deployment.scheduler.gateways = 3;
    assert!(
        describe_group(&block(""), &expects_three)
            .unwrap_err()
            .contains("2 gateways are listed, but the settings expect 3")
    );
    assert!(
        describe_group("peers {\n}", &two_gateways())
            .unwrap_err()
            .contains("the configuration has no 'peers'")
    );
    let mut without_listen = two_gateways();
    without_listen.peers = vec!["127.0.0.1:5".parse().unwrap(), "127.0.0.1:6".parse().unwrap()];
    assert!(describe_group("peers {\n}", &without_listen).unwrap_err().contains("'peers' has no 'listen'"));
}
