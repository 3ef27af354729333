//! Starting and running the program: [`start`] assembles the subsystems, [`serve`] runs them until SIGTERM.

mod assembly;
mod base;
mod listeners;
mod reload;
mod running;
mod subsystems;

pub use assembly::start;
pub use reload::Reloads;
pub use running::Running;
pub use subsystems::quotas;

use crate::config::{Config, ConfigError};
use crate::operator::Operator;
use crate::operator::error::OperatorFileError;
use crate::quotas::InvalidContract;
use crate::shutdown::{SignalRequest, Signals};
use slog::{Logger, info};
use std::fmt;
use tokio::time::Instant;

/// Why the program could not serve.
#[derive(Debug)]
pub enum ServeError {
    /// A listening address could not be taken, or another system call failed: which, and why.
    Io(&'static str, std::io::Error),
    /// The settings are not valid.
    Settings(reedwalk_scheduler::SettingsError),
    /// The endpoint list of the configuration can't be read.
    Known(serde_json::Error),
    /// A contract is not valid.
    Contract(InvalidContract),
    /// The URL of the shared store is not valid.
    Store(redis::RedisError),
    /// The operator's file asks for what the limits do not allow.
    Operator(OperatorFileError),
    /// The broker's task has ended before its time.
    BrokerEnded,
}

impl fmt::Display for ServeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(what, error) => write!(f, "{what}: {error}"),
            Self::Settings(error) => write!(f, "{error}"),
            Self::Known(error) => write!(f, "known: {error}"),
            Self::Contract(error) => write!(f, "{error}"),
            Self::Store(error) => write!(f, "store: {error}"),
            Self::Operator(error) => write!(f, "operator's file: {error}"),
            Self::BrokerEnded => write!(f, "the broker's task has ended"),
        }
    }
}

impl std::error::Error for ServeError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Io(_, error) => Some(error),
            Self::Settings(error) => Some(error),
            Self::Known(error) => Some(error),
            Self::Contract(error) => Some(error),
            Self::Store(error) => Some(error),
            Self::Operator(error) => Some(error),
            Self::BrokerEnded => None,
        }
    }
}

/// Serves until SIGTERM, and then until every accepted request is answered. At SIGHUP, also during the shutdown, the
/// configuration is read again with `read`.
///
/// # Errors
/// Where the program can't start, or its broker ends before its time.
pub async fn serve(
    config: Config,
    operator: Operator,
    read: impl Fn() -> Result<Config, ConfigError>,
    log: Logger,
) -> Result<(), ServeError> {
    // Before anything else: as long as no handler is installed, SIGHUP ends the program.
    let mut signals = Signals::new().map_err(|error| ServeError::Io("signals", error))?;
    let running = start(config, operator, &log).await?;
    info!(log, "serving"; "mysql" => %running.mysql, "console" => ?running.console, "flight" => ?running.flight);
    let reloads = running.reloads();
    let broker_ended = running.broker_ended();
    tokio::pin!(broker_ended);
    loop {
        tokio::select! {
            request = signals.next() => match request {
                SignalRequest::Reload => reloads.reload(&read),
                SignalRequest::Shutdown => break,
            },
            () = &mut broker_ended => return Err(ServeError::BrokerEnded),
        }
    }
    let terminated_at = Instant::now();
    info!(log, "shutdown started");
    let shutdown = async {
        running.overlap(terminated_at).await;
        running.close(terminated_at).await;
    };
    tokio::pin!(shutdown);
    loop {
        tokio::select! {
            () = &mut shutdown => break,
            request = signals.next() => if request == SignalRequest::Reload {
                reloads.reload(&read);
            },
        }
    }
    info!(log, "shutdown complete");
    Ok(())
}
