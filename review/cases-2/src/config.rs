//! Writes the configuration of a gateway, as the page "Deployment" describes it.

use std::net::SocketAddr;
use std::path::Path;

/// An engine on the list of the start.
pub struct Listed<'a> {
    /// Its id.
    pub id: &'a str,
    /// Its address.
    pub address: SocketAddr,
    /// Its cell.
    pub cell: u32,
}

/// What differs between the deployments of the cases.
pub struct Deployment<'a> {
    /// The engines on the list of the start.
    pub engines: &'a [Listed<'a>],
    /// The address of the name server, if there is one.
    pub names: Option<SocketAddr>,
    /// The address of the console, if there is one.
    pub console: Option<SocketAddr>,
    /// The memory limit.
    pub memory_mb: u64,
    /// The settings object.
    pub settings: &'a str,
}

/// Writes the configuration file.
pub fn write(path: &Path, deployment: &Deployment<'_>) -> std::io::Result<()> {
    let server = |engine: &Listed<'_>| {
        let Listed { id, address, cell } = engine;
        format!(
            r#"{{"id":"{id}","addr":"{address}","zone":"hall-a","kind":"std-8c","cell":{cell},"state":"in_service","weight":1,"started_ms":0}}"#
        )
    };
    let servers: Vec<String> = deployment.engines.iter().map(server).collect();
    let fleet = format!(r#"{{"version":1,"full":true,"servers":[{}]}}"#, servers.join(","));
    let address = |name: &str, address: Option<SocketAddr>| {
        address.map_or(String::new(), |address| format!(r#""{name}":"{address}","#))
    };
    let text = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:1","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":1024}},
{}{}
"known":{{"seq":1,"results":[{{"seq":1,"fleet":{fleet}}}]}},
"settings":{}}}"#,
        deployment.memory_mb,
        address("names", deployment.names),
        address("console", deployment.console),
        deployment.settings,
    );
    std::fs::write(path, text)
}
