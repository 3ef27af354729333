//! The configuration of a process: the file that `GW_CONFIG` names, and the variables of the environment that take
//! precedence over it.

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
    /// Its settings object can't be read.
    Settings(ReadError),
    /// Its settings are not valid.
    InvalidSettings(SettingsError),
    /// Its initial endpoint list can't be read.
    Known(serde_json::Error),
    /// Its seed is not a hexadecimal number.
    Seed,
    /// A variable of the environment holds no valid address: its name, and what is wrong.
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
            Self::InvalidSettings(error) => write!(f, "{error}"),
            Self::Known(error) => write!(f, "known: {error}"),
            Self::Seed => write!(f, "seed: no hexadecimal number"),
            Self::Address(variable, error) => write!(f, "{variable}: {error}"),
        }
    }
}

impl std::error::Error for ConfigError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::NoFile | Self::Seed => None,
            Self::Unreadable(_, error) => Some(error),
            Self::Malformed(_, error) | Self::Known(error) => Some(error),
            Self::Operator(_, error) => Some(error),
            Self::Settings(error) => Some(error),
            Self::InvalidSettings(error) => Some(error),
            Self::Address(_, error) => Some(error),
        }
    }
}

/// The configuration file, as it is written.
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
    /// The gateway's name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// The limits of the process.
    pub limits: Limits,
    /// Where the name server listens.
    pub names: Option<SocketAddr>,
    /// Where operators connect; without it the console is off.
    pub console: Option<SocketAddr>,
    /// Where other gateways reach this one, if the deployment says so.
    pub peer_listen: Option<SocketAddr>,
    /// One address for each gateway of the fleet, this one included.
    pub peers: Vec<SocketAddr>,
    /// Directory of the files that a process leaves for the next one: `TMPDIR`. Used only with the console.
    pub folder: PathBuf,
    /// The initial endpoint list: the name server's events up to now.
    pub known: Option<serde_json::Value>,
    /// The settings object, read.
    pub deployment: Deployment,
}

impl Config {
    /// Checks what is otherwise read only when it is used: the settings and the initial endpoint list.
    ///
    /// # Errors
    /// Says what is wrong with it.
    pub fn validate(self) -> Result<Self, ConfigError> {
        Scheduler::new(self.deployment.scheduler.clone(), self.seed).map_err(ConfigError::InvalidSettings)?;
        if let Some(known) = &self.known {
            EndpointList::new(Arc::new(self.deployment.sockets.clone()))
                .apply_events(known)
                .map_err(ConfigError::Known)?;
        }
        Ok(self)
    }
}

/// The variables of the environment, which take precedence over the configuration file.
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
    /// Reads the environment.
    ///
    /// # Errors
    /// Names the variable that holds no valid address.
    pub fn read() -> Result<Self, ConfigError> {
        let address = |variable: &'static str| {
            let text = std::env::var(variable).ok().filter(|t| !t.is_empty());
            text.map(|t| t.parse().map_err(|e| ConfigError::Address(variable, e))).transpose()
        };
        let (listen, console) = (address("GW_LISTEN")?, address("GW_CONSOLE")?);
        Ok(Self { name: std::env::var("GW_NAME").ok(), listen, console })
    }
}

/// Reads a configuration file; the environment takes precedence over it.
///
/// # Errors
/// Says what is wrong with it.
pub fn read(path: &Path, environment: Environment) -> Result<Config, ConfigError> {
    let text = std::fs::read(path).map_err(|e| ConfigError::Unreadable(path.into(), e))?;
    let file: ConfigFile =
        serde_json::from_slice(&text).map_err(|e| ConfigError::Malformed(path.into(), e))?;
    let seed = if file.seed.is_empty() { "0" } else { &file.seed };
    Ok(Config {
        name: environment.name.unwrap_or(file.name),
        listen: environment.listen.unwrap_or(file.listen),
        console: environment.console.or(file.console),
        peer_listen: file.peer_listen,
        peers: file.peers,
        folder: std::env::temp_dir(),
        seed: u64::from_str_radix(seed, 16).map_err(|_| ConfigError::Seed)?,
        limits: file.limits,
        names: file.names,
        known: file.known,
        deployment: reedwalk_settings::read(&file.settings).map_err(ConfigError::Settings)?,
    })
}
