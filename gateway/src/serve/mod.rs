//! Start-up, operation and shutdown of the gateway: [`start`] starts the subsystems, [`serve`] runs them until SIGTERM.

mod assembly;
mod base;
mod listeners;
mod reload;
mod running;
mod subsystems;

pub use assembly::start;
pub use reload::ConfigReloader;
pub use running::Running;
pub use subsystems::quotas;

use crate::config::{Config, ConfigError};
use crate::operator::OperatorConfig;
use crate::operator::error::OperatorFileError;
use crate::quotas::InvalidContract;
use crate::shutdown::{SignalRequest, Signals};
use slog::{Logger, info};
use std::fmt;
use tokio::time::Instant;

/// Why the gateway failed to start or stopped serving.
#[derive(Debug)]
pub enum ServeError {
    /// A system call failed; holds the step at which it was made and the error.
    Io(&'static str, std::io::Error),
    /// The settings are not valid.
    Settings(reedwalk_scheduler::SettingsError),
    /// The endpoint list of the configuration can't be read.
    EndpointList(serde_json::Error),
    /// A contract is not valid.
    Contract(InvalidContract),
    /// The URL of the shared store is not valid.
    SharedStore(redis::RedisError),
    /// The operator's file conflicts with the configuration or with the resource limits.
    OperatorFile(OperatorFileError),
    /// The broker task ended before the shutdown.
    BrokerEnded,
}

impl fmt::Display for ServeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(what, error) => write!(f, "{what}: {error}"),
            Self::Settings(error) => write!(f, "{error}"),
            Self::EndpointList(error) => write!(f, "known: {error}"),
            Self::Contract(error) => write!(f, "{error}"),
            Self::SharedStore(error) => write!(f, "store: {error}"),
            Self::OperatorFile(error) => write!(f, "operator's file: {error}"),
            Self::BrokerEnded => write!(f, "the broker task ended unexpectedly"),
        }
    }
}

impl std::error::Error for ServeError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Io(_, error) => Some(error),
            Self::Settings(error) => Some(error),
            Self::EndpointList(error) => Some(error),
            Self::Contract(error) => Some(error),
            Self::SharedStore(error) => Some(error),
            Self::OperatorFile(error) => Some(error),
            Self::BrokerEnded => None,
        }
    }
}

/// Serves until SIGTERM, then shuts down once every accepted request is answered. On SIGHUP, also during the shutdown, the
/// configuration is reloaded with `read`.
///
/// # Errors
/// If the gateway can't start, or its broker task ends before the shutdown.
pub async fn serve(
    config: Config,
    operator: OperatorConfig,
    read: impl Fn() -> Result<Config, ConfigError>,
    log: Logger,
) -> Result<(), ServeError> {
    // Installed first: without a handler, SIGHUP terminates the process.
    let mut signals = Signals::new().map_err(|error| ServeError::Io("signals", error))?;
    let running = start(config, operator, &log).await?;
    info!(log, "serving"; "mysql" => %running.mysql, "console" => ?running.console, "flight" => ?running.flight);
    let reloader = running.reloader();
    let broker_ended = running.broker_ended();
    tokio::pin!(broker_ended);
    loop {
        tokio::select! {
            request = signals.next() => match request {
                SignalRequest::Reload => reloader.reload(&read),
                SignalRequest::Shutdown => break,
            },
            () = &mut broker_ended => return Err(ServeError::BrokerEnded),
        }
    }
    let terminated_at = Instant::now();
    info!(log, "shutdown started");
    let shutdown = async {
        running.begin_shutdown(terminated_at).await;
        running.close(terminated_at).await;
    };
    tokio::pin!(shutdown);
    loop {
        tokio::select! {
            () = &mut shutdown => break,
            request = signals.next() => if request == SignalRequest::Reload {
                reloader.reload(&read);
            },
        }
    }
    info!(log, "shutdown complete");
    Ok(())
}
