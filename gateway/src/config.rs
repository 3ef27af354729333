//! The configuration of a process: the file named by `GW_CONFIG`, and the environment variables that take precedence over
//! it.

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

/// Why a configuration can't be used.
#[derive(Debug)]
pub enum ConfigError {
    /// Neither `--config` nor `GW_CONFIG` names a file.
    NoFile,
    /// A file can't be read.
    Unreadable(PathBuf, std::io::Error),
    /// The configuration file is not JSON of the expected form.
    Malformed(PathBuf, serde_json::Error),
    /// The operator's file is not valid.
    Operator(PathBuf, OperatorFileError),
    /// The settings object can't be read.
    UnreadableSettings(ReadError),
    /// The settings are not valid.
    InvalidSettings(SettingsError),
    /// The initial endpoint list can't be read.
    InitialEndpoints(serde_json::Error),
    /// The seed is not a hexadecimal number.
    InvalidSeed,
    /// An environment variable does not hold a valid address: the name of the variable, and the parse error.
    InvalidAddress(&'static str, std::net::AddrParseError),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoFile => write!(f, "no configuration file: set GW_CONFIG or pass --config"),
            Self::Unreadable(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Malformed(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Operator(path, error) => write!(f, "{}: {error}", path.display()),
            Self::UnreadableSettings(error) => write!(f, "{error}"),
            Self::InvalidSettings(error) => write!(f, "{error}"),
            Self::InitialEndpoints(error) => write!(f, "known: {error}"),
            Self::InvalidSeed => write!(f, "seed: not a hexadecimal number"),
            Self::InvalidAddress(variable, error) => write!(f, "{variable}: {error}"),
        }
    }
}

impl std::error::Error for ConfigError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::NoFile | Self::InvalidSeed => None,
            Self::Unreadable(_, error) => Some(error),
            Self::Malformed(_, error) | Self::InitialEndpoints(error) => Some(error),
            Self::Operator(_, error) => Some(error),
            Self::UnreadableSettings(error) => Some(error),
            Self::InvalidSettings(error) => Some(error),
            Self::InvalidAddress(_, error) => Some(error),
        }
    }
}

/// The contents of the configuration file.
#[derive(Deserialize)]
struct ConfigFile {
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

/// The configuration of a process.
#[derive(Clone, Debug)]
pub struct Config {
    /// The gateway's name; it stays the same across restarts.
    pub name: String,
    /// The address that MySQL clients connect to.
    pub listen: SocketAddr,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Resource limits of the process.
    pub limits: Limits,
    /// Address of the name server.
    pub name_server: Option<SocketAddr>,
    /// Address of the operators' console; the console is off without it.
    pub console: Option<SocketAddr>,
    /// The address at which other gateways reach this one, if it is configured.
    pub peer_listen: Option<SocketAddr>,
    /// The address of each gateway of the fleet, including this one.
    pub peers: Vec<SocketAddr>,
    /// Directory for the files that a process leaves for its successor: `TMPDIR`. Used only if the console is on.
    pub temp_dir: PathBuf,
    /// The initial endpoint list: the events that the name server has sent so far.
    pub initial_endpoints: Option<serde_json::Value>,
    /// The parsed settings object.
    pub deployment: Deployment,
}

impl Config {
    /// Validates the settings and the initial endpoint list, which are otherwise checked only when they are used.
    ///
    /// # Errors
    /// The settings or the endpoint list are not valid.
    pub fn validate(self) -> Result<Self, ConfigError> {
        Scheduler::new(self.deployment.scheduler.clone(), self.seed).map_err(ConfigError::InvalidSettings)?;
        if let Some(initial_endpoints) = &self.initial_endpoints {
            EndpointList::new(Arc::new(self.deployment.sockets.clone()))
                .apply_events(initial_endpoints)
                .map_err(ConfigError::InitialEndpoints)?;
        }
        Ok(self)
    }
}

/// The environment variables, which take precedence over the configuration file.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// `GW_NAME`.
    pub name: Option<String>,
    /// `GW_LISTEN`.
    pub listen: Option<SocketAddr>,
    /// `GW_CONSOLE`.
    pub console: Option<SocketAddr>,
}

impl Environment {
    /// Reads the environment variables.
    ///
    /// # Errors
    /// A variable does not hold a valid address.
    pub fn read() -> Result<Self, ConfigError> {
        let address = |variable: &'static str| {
            let text = std::env::var(variable).ok().filter(|text| !text.is_empty());
            text.map(|text| text.parse().map_err(|error| ConfigError::InvalidAddress(variable, error)))
                .transpose()
        };
        let (listen, console) = (address("GW_LISTEN")?, address("GW_CONSOLE")?);
        Ok(Self { name: std::env::var("GW_NAME").ok(), listen, console })
    }
}

/// Reads a configuration file; values from the environment take precedence.
///
/// # Errors
/// The file can't be read, or its seed or settings can't be parsed.
pub fn read(path: &Path, environment: Environment) -> Result<Config, ConfigError> {
    let text = std::fs::read(path).map_err(|error| ConfigError::Unreadable(path.into(), error))?;
    let file: ConfigFile =
        serde_json::from_slice(&text).map_err(|error| ConfigError::Malformed(path.into(), error))?;
    let seed = if file.seed.is_empty() { "0" } else { &file.seed };
    Ok(Config {
        name: environment.name.unwrap_or(file.name),
        listen: environment.listen.unwrap_or(file.listen),
        console: environment.console.or(file.console),
        peer_listen: file.peer_listen,
        peers: file.peers,
        temp_dir: std::env::temp_dir(),
        seed: u64::from_str_radix(seed, 16).map_err(|_| ConfigError::InvalidSeed)?,
        limits: file.limits,
        name_server: file.names,
        initial_endpoints: file.known,
        deployment: reedwalk_settings::read(&file.settings).map_err(ConfigError::UnreadableSettings)?,
    })
}
