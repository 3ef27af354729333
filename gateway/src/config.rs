//! What a front end is told at its start: `GW_CONFIG`, and `GW_NAME` and `GW_LISTEN` beside it.

use crate::discovery::endpoint_list::EndpointList;
use crate::limits::Limits;
use crate::operator::error::OperatorFileError;
use reedwalk_scheduler::{Scheduler, SettingsError};
use reedwalk_settings::{Deployment, ReadError};
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Why a start failed.
#[derive(Debug)]
pub enum ConfigError {
    /// `GW_CONFIG` is not set.
    NoFile,
    /// The file could not be read.
    Unreadable(PathBuf, std::io::Error),
    /// It is not the JSON that is expected.
    Malformed(PathBuf, serde_json::Error),
    /// An operator's file is not as expected.
    Operator(PathBuf, OperatorFileError),
    /// Its settings are not.
    Settings(ReadError),
    /// They make no sense.
    Unsound(SettingsError),
    /// Its list of the start can't be read.
    Known(serde_json::Error),
    /// Its seed is no hexadecimal number.
    Seed,
    /// An address from the environment is none: its variable, and what is wrong.
    Address(&'static str, std::net::AddrParseError),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoFile => write!(f, "GW_CONFIG names no file"),
            Self::Unreadable(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Malformed(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Operator(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Settings(error) => write!(f, "{error}"),
            Self::Unsound(error) => write!(f, "{error}"),
            Self::Known(error) => write!(f, "known: {error}"),
            Self::Seed => write!(f, "seed: no hexadecimal number"),
            Self::Address(variable, error) => write!(f, "{variable}: {error}"),
        }
    }
}

impl std::error::Error for ConfigError {}

#[derive(Deserialize)]
struct Wire {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    names: Option<SocketAddr>,
    console: Option<SocketAddr>,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    known: Option<serde_json::Value>,
    settings: serde_json::Value,
}

/// All that a front end is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// What the platform allows.
    pub limits: Limits,
    /// Where the name server listens.
    pub names: Option<SocketAddr>,
    /// Where operators connect; none, and the console is off.
    pub console: Option<SocketAddr>,
    /// Where other front ends reach this one, and all of them by their numbers, where the deployment tells.
    pub peer_listen: Option<SocketAddr>,
    /// One address for each front end of the tier, this one included.
    pub peers: Vec<SocketAddr>,
    /// Where files are kept that a process leaves to the next: `TMPDIR`. Used with the console alone.
    pub folder: PathBuf,
    /// The name server's events up to now.
    pub known: Option<serde_json::Value>,
    /// The settings object, read.
    pub deployment: Deployment,
}

impl Config {
    /// Checks what is only read when it is used: the settings' sense and the list of the start.
    ///
    /// # Errors
    /// Says what is wrong with it.
    pub fn validate(self) -> Result<Self, ConfigError> {
        Scheduler::new(self.deployment.core.clone(), self.seed).map_err(ConfigError::Unsound)?;
        if let Some(known) = &self.known {
            EndpointList::new(Arc::new(self.deployment.sockets.clone()))
                .start(known)
                .map_err(ConfigError::Known)?;
        }
        Ok(self)
    }
}

/// What the environment says before the configuration file.
#[derive(Clone, Debug, Default)]
pub struct Surroundings {
    /// `GW_NAME`.
    pub name: Option<String>,
    /// `GW_LISTEN`.
    pub listen: Option<SocketAddr>,
    /// `GW_CONSOLE`.
    pub console: Option<SocketAddr>,
}

impl Surroundings {
    /// Reads the environment.
    ///
    /// # Errors
    /// Names the variable that holds no address.
    pub fn read() -> Result<Self, ConfigError> {
        let address = |variable: &'static str| {
            let text = std::env::var(variable).ok().filter(|t| !t.is_empty());
            text.map(|t| t.parse().map_err(|e| ConfigError::Address(variable, e))).transpose()
        };
        let (listen, console) = (address("GW_LISTEN")?, address("GW_CONSOLE")?);
        Ok(Self { name: std::env::var("GW_NAME").ok(), listen, console })
    }
}

/// Reads a configuration file; what the environment says goes before what it says.
///
/// # Errors
/// Says what is wrong with it.
pub fn read(path: &Path, around: Surroundings) -> Result<Config, ConfigError> {
    let text = std::fs::read(path).map_err(|e| ConfigError::Unreadable(path.into(), e))?;
    let wire: Wire = serde_json::from_slice(&text).map_err(|e| ConfigError::Malformed(path.into(), e))?;
    let seed = if wire.seed.is_empty() { "0" } else { &wire.seed };
    Ok(Config {
        name: around.name.unwrap_or(wire.name),
        listen: around.listen.unwrap_or(wire.listen),
        console: around.console.or(wire.console),
        peer_listen: wire.peer_listen,
        peers: wire.peers,
        folder: std::env::temp_dir(),
        seed: u64::from_str_radix(seed, 16).map_err(|_| ConfigError::Seed)?,
        limits: wire.limits,
        names: wire.names,
        known: wire.known,
        deployment: reedwalk_settings::read(&wire.settings).map_err(ConfigError::Settings)?,
    })
}
