//! Reload of the configuration at SIGHUP.

use crate::config::{Config, ConfigError};
use crate::discovery::DiscoverySource;
use crate::limits::Limits;
use crate::logging;
use reedwalk_settings::Deployment;
use slog::{Logger, error, info, warn};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::watch;

/// What only a restart can change.
#[derive(Debug)]
struct FixedConfig {
    listen: SocketAddr,
    console: Option<SocketAddr>,
    limits: Limits,
    deployment: Deployment,
}

/// Where a new configuration goes while the program runs; cheap to clone.
#[derive(Clone, Debug)]
pub struct Reloads {
    source: watch::Sender<DiscoverySource>,
    fixed: Arc<FixedConfig>,
    log: Logger,
}

impl Reloads {
    /// For a program that starts with this configuration. The receiver gets the source of the endpoint list.
    pub(super) fn new(config: &Config, log: &Logger) -> (Self, watch::Receiver<DiscoverySource>) {
        let (source, sources) = watch::channel(DiscoverySource { server: config.name_server, events: None });
        let fixed = FixedConfig {
            listen: config.listen,
            console: config.console,
            limits: config.limits,
            deployment: config.deployment.clone(),
        };
        (Self { source, fixed: Arc::new(fixed), log: logging::for_module(log, "reload") }, sources)
    }

    /// Takes over what may change in a configuration that has been validated: where the name server is. The endpoint
    /// list and its serial stay, as do all requests and sessions. What only a restart can change is logged.
    pub fn apply(&self, config: Config) {
        let fixed = &*self.fixed;
        let differs = [
            (config.listen != fixed.listen, "listen"),
            (config.console != fixed.console, "console"),
            (config.limits != fixed.limits, "limits"),
            (config.deployment != fixed.deployment, "settings"),
        ];
        for (_, setting) in differs.iter().filter(|(has_changed, _)| *has_changed) {
            warn!(self.log, "setting needs a restart to change"; "setting" => setting);
        }
        info!(self.log, "configuration reloaded"; "name_server" => ?config.name_server);
        self.source
            .send_replace(DiscoverySource { server: config.name_server, events: config.initial_endpoints });
    }

    /// Reads the configuration again; one that can't be read, or is not valid, changes nothing.
    pub(super) fn reload(&self, read: &impl Fn() -> Result<Config, ConfigError>) {
        match read().and_then(Config::validate) {
            Ok(config) => self.apply(config),
            Err(error) => {
                error!(self.log, "new configuration rejected, the old one stays in use"; "error" => %error);
            }
        }
    }
}
