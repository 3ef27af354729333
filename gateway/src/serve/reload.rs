//! Reload of the configuration on SIGHUP.

use crate::config::{Config, ConfigError};
use crate::discovery::DiscoverySource;
use crate::limits::Limits;
use crate::logging;
use reedwalk_settings::Deployment;
use slog::{Logger, error, info, warn};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::watch;

/// Settings that only take effect at a restart.
#[derive(Debug)]
struct FixedConfig {
    listen: SocketAddr,
    console: Option<SocketAddr>,
    limits: Limits,
    deployment: Deployment,
}

/// Applies a new configuration to the running gateway; cheap to clone.
#[derive(Clone, Debug)]
pub struct ConfigReloader {
    source: watch::Sender<DiscoverySource>,
    fixed: Arc<FixedConfig>,
    log: Logger,
}

impl ConfigReloader {
    /// Creates a reloader for the configuration used at the start. The receiver gets each new source of the endpoint list.
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

    /// Applies the settings of a validated configuration that may change at run time: the source of the endpoint list. The
    /// current list and its serial stay, as do all requests and sessions. Changes that need a restart are logged.
    pub fn apply(&self, config: Config) {
        let fixed = &*self.fixed;
        let changes = [
            (config.listen != fixed.listen, "listen"),
            (config.console != fixed.console, "console"),
            (config.limits != fixed.limits, "limits"),
            (config.deployment != fixed.deployment, "settings"),
        ];
        for (_, setting) in changes.iter().filter(|(has_changed, _)| *has_changed) {
            warn!(self.log, "setting needs a restart to change"; "setting" => setting);
        }
        info!(self.log, "configuration reloaded"; "name_server" => ?config.name_server);
        self.source
            .send_replace(DiscoverySource { server: config.name_server, events: config.initial_endpoints });
    }

    /// Reloads the configuration; one that can't be read or is not valid changes nothing.
    pub(super) fn reload(&self, read: &impl Fn() -> Result<Config, ConfigError>) {
        match read().and_then(Config::validate) {
            Ok(config) => self.apply(config),
            Err(error) => {
                error!(self.log, "new configuration rejected, the old one stays in use"; "error" => %error);
            }
        }
    }
}
