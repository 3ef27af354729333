//! Errors in the operator's file and in the files that it refers to.

use reedwalk_gossip::KeyTooShort;
use std::error::Error;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

/// An error in the operator's file, with its line.
#[derive(Debug)]
pub struct OperatorFileError {
    /// Line number, starting at 1.
    pub line: usize,
    /// The error at that line.
    pub kind: OperatorFileErrorKind,
}

impl fmt::Display for OperatorFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.kind)
    }
}

/// Compares the lines and the error messages, because `std::io::Error` does not implement `PartialEq`.
impl PartialEq for OperatorFileError {
    fn eq(&self, other: &Self) -> bool {
        self.line == other.line && self.kind.to_string() == other.kind.to_string()
    }
}

impl Error for OperatorFileError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        self.kind.source()
    }
}

/// Kind of an error in the operator's file.
#[derive(Debug)]
pub enum OperatorFileErrorKind {
    /// Not a KDL document; holds the message of the parser, if any.
    Syntax(Option<String>),
    /// A setting that the block does not support.
    UnknownSetting {
        /// Name of the unknown setting.
        name: String,
        /// Names of the supported settings, separated by commas.
        known: String,
    },
    /// A setting occurs more than once in its block.
    DuplicateSetting(String),
    /// The cost of a class is set more than once.
    DuplicateCost(String),
    /// A required setting is missing.
    MissingSetting {
        /// The block.
        block: String,
        /// The required setting.
        name: &'static str,
    },
    /// A setting has the wrong number or kind of arguments.
    InvalidArguments {
        /// The setting.
        setting: String,
        /// Description of the expected arguments.
        expected: String,
    },
    /// The value of a setting is not valid.
    InvalidValue {
        /// The setting.
        setting: String,
        /// The value in the file.
        found: String,
        /// Description of the valid values.
        expected: String,
    },
    /// More than two signing keys are configured.
    TooManyKeys,
    /// Two gateways of the group have the same name.
    DuplicateMemberName(String),
    /// Two gateways of the group have the same address.
    DuplicateMemberAddress(SocketAddr),
    /// The name of this gateway is not among the members of the group.
    GatewayNotListed(String),
    /// Neither the operator's file nor the configuration lists the gateways of the group.
    NoMembers,
    /// The number of listed gateways differs from the settings.
    MemberCountMismatch {
        /// Number of gateways in the operator's file or the configuration.
        listed: usize,
        /// Number of gateways according to the settings.
        expected: usize,
    },
    /// Neither the operator's file nor the configuration sets a listen address for gossip.
    NoListenAddress,
    /// The configured cores need more file descriptors than the process may open.
    TooFewDescriptors {
        /// Number of configured cores.
        cores: usize,
        /// Number of file descriptors that they need.
        needed: usize,
        /// Maximum number of file descriptors of the process.
        limit: usize,
    },
    /// A signing key file can't be used.
    KeyFile(PathBuf, KeyFileError),
    /// The folder for persisted state can't be opened.
    StateFolder(PathBuf, std::io::Error),
}

impl fmt::Display for OperatorFileErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax(Some(message)) => write!(f, "{message}"),
            Self::Syntax(None) => write!(f, "not a KDL document"),
            Self::UnknownSetting { name, known } => write!(f, "unknown setting '{name}'; expected {known}"),
            Self::DuplicateSetting(name) => write!(f, "duplicate setting '{name}'"),
            Self::DuplicateCost(class) => write!(f, "duplicate cost of class '{class}'"),
            Self::MissingSetting { block, name } => write!(f, "missing setting '{name}' in '{block}'"),
            Self::InvalidArguments { setting, expected } => {
                write!(f, "invalid arguments of '{setting}'; expected {expected}")
            }
            Self::InvalidValue { setting, found, expected } => {
                write!(f, "'{setting}' is {found}; expected {expected}")
            }
            Self::TooManyKeys => {
                write!(f, "at most two keys are allowed: the signing key, and the previous or next one")
            }
            Self::DuplicateMemberName(name) => write!(f, "duplicate member name \"{name}\""),
            Self::DuplicateMemberAddress(address) => write!(f, "duplicate member address {address}"),
            Self::GatewayNotListed(name) => write!(f, "no 'member' has the name of this gateway, \"{name}\""),
            Self::NoMembers => {
                write!(f, "no gateways listed: 'peers' has no 'member', and the configuration has no 'peers'")
            }
            Self::MemberCountMismatch { listed, expected } => {
                write!(f, "{listed} gateways are listed, but the settings expect {expected}")
            }
            Self::NoListenAddress => {
                write!(
                    f,
                    "no listen address: 'peers' has no 'listen', and the configuration has no 'peer_listen'"
                )
            }
            Self::TooFewDescriptors { cores, needed, limit } => {
                write!(f, "{cores} cores need {needed} file descriptors, but the limit is {limit}")
            }
            Self::KeyFile(path, error) => write!(f, "key {}: {error}", path.display()),
            Self::StateFolder(path, error) => write!(f, "'state': {}: {error}", path.display()),
        }
    }
}

impl Error for OperatorFileErrorKind {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::KeyFile(_, error) => Some(error),
            Self::StateFolder(_, error) => Some(error),
            _ => None,
        }
    }
}

/// Why a signing key file can't be used.
#[derive(Debug)]
pub enum KeyFileError {
    /// The file can't be read.
    Io(std::io::Error),
    /// The file is accessible to users other than its owner; holds its permission bits.
    InsecurePermissions(u32),
    /// The key is too short.
    TooShort(KeyTooShort),
}

impl fmt::Display for KeyFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "{error}"),
            Self::InsecurePermissions(mode) => {
                write!(f, "file is accessible to group or others (mode {mode:03o}); expected 600 or 400")
            }
            Self::TooShort(error) => write!(f, "{error}"),
        }
    }
}

impl Error for KeyFileError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Io(error) => Some(error),
            Self::InsecurePermissions(_) => None,
            Self::TooShort(error) => Some(error),
        }
    }
}

impl From<std::io::Error> for KeyFileError {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}
