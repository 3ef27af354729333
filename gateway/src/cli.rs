//! The command line.

use crate::config::{self, Config, ConfigError, Environment};
use crate::console;
use crate::gossip;
use crate::logging;
use crate::operator::error::OperatorFileError;
use crate::operator::{self, BudgetStore, OperatorConfig};
use crate::persistence::{self, CheckMode, PersistenceError};
use crate::serve::{self, ServeError};
use slog::Level;
use std::ffi::OsString;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tokio::time::Instant;

/// Time limit of `call`. The console answers within a second at any load.
const CONSOLE_TIMEOUT: Duration = Duration::from_secs(2);

/// The help text.
pub const USAGE: &str = "\
usage: reedwalk COMMAND [OPTIONS]

  serve          run the gateway until SIGTERM
  check-config   read and validate the configuration, and print a summary
  call ADDRESS LINE...
                 send a command such as HEALTH or OFFLINE ID to the console of a gateway and print the answer;
                 exits with 1 if the answer is FAILURE
  state show|verify|forget FOLDER
                 show, check or delete the state that a gateway has persisted in FOLDER for its next start;
                 verify exits with 1 if any of it can't be read
  version        print the version

options of serve and check-config:
  --config FILE    the configuration; defaults to the file named by GW_CONFIG
  --operator FILE  the operator's file, which enables optional features such as the Flight SQL front
  --log LEVEL      log level: error, warning, info (the default) or debug
";

/// Why the arguments are not valid.
#[derive(Debug)]
enum ArgumentError {
    /// The command is missing or unknown.
    NoCommand,
    /// The command does not take this argument.
    UnexpectedArgument(OsString),
    /// `--log` does not name a log level.
    UnknownLevel(String),
    /// `call` is not followed by the address of a console.
    MissingConsoleAddress,
    /// `state` is not followed by one of its subcommands and a folder.
    InvalidStateCommand,
    /// An option has no value, or its value can't be parsed.
    InvalidOption(pico_args::Error),
}

impl fmt::Display for ArgumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoCommand => f.write_str(USAGE),
            Self::UnexpectedArgument(argument) => {
                write!(f, "unexpected argument: {}\n\n{USAGE}", argument.to_string_lossy())
            }
            Self::UnknownLevel(name) => write!(f, "unknown log level: {name}"),
            Self::MissingConsoleAddress => {
                write!(f, "call: expected the address of a console, such as 127.0.0.1:9800")
            }
            Self::InvalidStateCommand => {
                write!(f, "state: expected show, verify or forget, followed by a folder")
            }
            Self::InvalidOption(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for ArgumentError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::InvalidOption(error) => Some(error),
            _ => None,
        }
    }
}

/// Why a command failed.
#[derive(Debug)]
enum CliError {
    /// The arguments are not valid.
    Arguments(ArgumentError),
    /// The configuration can't be read or is not valid.
    Config(ConfigError),
    /// The operator's file requires what the configuration does not allow.
    Operator(PathBuf, OperatorFileError),
    /// The gateway could not start or keep serving.
    Serve(ServeError),
    /// The call to a console failed.
    Call(SocketAddr, std::io::Error),
    /// The console answered FAILURE.
    ConsoleFailure,
    /// A folder of persisted state could not be used.
    Persistence(PersistenceError),
    /// The async runtime could not be started.
    Runtime(std::io::Error),
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Arguments(error) => write!(f, "{error}"),
            Self::Config(error) => write!(f, "{error}"),
            Self::Operator(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Serve(error) => write!(f, "{error}"),
            Self::Call(address, error) => write!(f, "{address}: {error}"),
            Self::ConsoleFailure => write!(f, "the console answered FAILURE"),
            Self::Persistence(error) => write!(f, "{error}"),
            Self::Runtime(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for CliError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::ConsoleFailure => None,
            Self::Arguments(error) => Some(error),
            Self::Config(error) => Some(error),
            Self::Operator(_, error) => Some(error),
            Self::Serve(error) => Some(error),
            Self::Call(_, error) | Self::Runtime(error) => Some(error),
            Self::Persistence(error) => Some(error),
        }
    }
}

impl From<ConfigError> for CliError {
    fn from(error: ConfigError) -> Self {
        Self::Config(error)
    }
}

impl From<pico_args::Error> for CliError {
    fn from(error: pico_args::Error) -> Self {
        Self::Arguments(ArgumentError::InvalidOption(error))
    }
}

impl From<ArgumentError> for CliError {
    fn from(error: ArgumentError) -> Self {
        Self::Arguments(error)
    }
}

impl From<PersistenceError> for CliError {
    fn from(error: PersistenceError) -> Self {
        Self::Persistence(error)
    }
}

/// Options of `serve` and `check-config`.
struct Options {
    config: PathBuf,
    operator: Option<PathBuf>,
    level: Level,
}

impl Options {
    /// Parses the options and rejects any other argument.
    fn parse(mut args: pico_args::Arguments) -> Result<Self, CliError> {
        let mut path_option =
            |name| args.opt_value_from_os_str(name, |text| Ok::<_, ConfigError>(PathBuf::from(text)));
        let config = path_option("--config")?.or(std::env::var_os("GW_CONFIG").map(PathBuf::from));
        let operator = path_option("--operator")?;
        let level: Option<String> = args.opt_value_from_str("--log")?;
        let level = match level {
            Some(name) => name.parse().map_err(|()| ArgumentError::UnknownLevel(name))?,
            None => Level::Info,
        };
        let config = config.ok_or(ConfigError::NoFile)?;
        reject_remaining(args)?;
        Ok(Self { operator, config, level })
    }
}

/// Rejects arguments that no option has consumed.
fn reject_remaining(args: pico_args::Arguments) -> Result<(), ArgumentError> {
    match args.finish().into_iter().next() {
        None => Ok(()),
        Some(argument) => Err(ArgumentError::UnexpectedArgument(argument)),
    }
}

/// Reads the configuration file, with the overrides from the environment variables.
fn read_config(path: &Path) -> Result<Config, ConfigError> {
    config::read(path, Environment::read()?)
}

/// Reads and validates the configuration and the operator's file.
fn load_config(options: &Options) -> Result<(Config, OperatorConfig), CliError> {
    let operator = match &options.operator {
        Some(path) => operator::read_file(path)?,
        None => OperatorConfig::default(),
    };
    let config = read_config(&options.config).and_then(Config::validate)?;
    if let Some(path) = &options.operator {
        let operator_error = |error| CliError::Operator(path.clone(), error);
        operator.check(&config.limits).map_err(operator_error)?;
        if let Some(options) = &operator.peers {
            gossip::resolve_group(options, &config).map_err(operator_error)?;
        }
    }
    Ok((config, operator))
}

fn check_config(args: pico_args::Arguments) -> Result<(), CliError> {
    let (config, operator) = load_config(&Options::parse(args)?)?;
    let classes = config.deployment.sockets.classes.join(", ");
    println!("{}: listens on {}, classes {classes}", config.name, config.listen);
    match config.console {
        Some(console) => println!("console: listens on {console}"),
        None => println!("console: off"),
    }
    println!("cores: {}", operator.cores.max(1));
    let quotas = serve::quotas(&operator, &config.deployment, None).map_err(CliError::Serve)?;
    let teams = operator.contracts.as_ref().map_or(0, Vec::len);
    println!("contracts: {}", if quotas.is_some() { format!("{teams} teams") } else { "off".into() });
    match &operator.store {
        BudgetStore::Memory => println!("store: in memory"),
        BudgetStore::Redis(_, options) => println!("store: Redis, {options:?}"),
    }
    println!("peers: {}", describe_gossip(&config, &operator));
    match &operator.state {
        Some(options) => println!("state: kept in {}", options.folder.display()),
        None => println!("state: off"),
    }
    match operator.flight {
        Some(flight) => {
            println!("flight: listens on {}, engines {:?}", flight.listen, operator.engine_protocol)
        }
        None => println!("flight: off, engines {:?}", operator.engine_protocol),
    }
    Ok(())
}

fn describe_gossip(config: &Config, operator: &OperatorConfig) -> String {
    let Some(options) = &operator.peers else { return "off".into() };
    let Ok(Some(group)) = gossip::resolve_group(options, config) else {
        return "off, disabled by the settings".into();
    };
    let (count, listen, max_rate) = (group.addresses.len(), group.listen, group.max_bytes_per_second());
    let signing = group.describe_signing();
    format!(
        "number {} of {count}, listens on {listen}, {signing}, at most {max_rate} bytes a second",
        group.own_id
    )
}

fn call(args: pico_args::Arguments) -> Result<(), CliError> {
    let mut words = args.finish().into_iter().map(|word| word.to_string_lossy().into_owned());
    let address = words.next().and_then(|address| address.parse().ok());
    let address = address.ok_or(ArgumentError::MissingConsoleAddress)?;
    let line = words.collect::<Vec<_>>().join(" ");
    let answer = runtime()?.block_on(console::send_command(address, &line, Instant::now() + CONSOLE_TIMEOUT));
    let answer = answer.map_err(|error| CliError::Call(address, error))?;
    print!("{answer}");
    if answer.starts_with(console::FAILURE) { Err(CliError::ConsoleFailure) } else { Ok(()) }
}

fn state(args: pico_args::Arguments) -> Result<(), CliError> {
    let arguments: Vec<_> = args.finish();
    let [command, folder] = &arguments[..] else { return Err(ArgumentError::InvalidStateCommand.into()) };
    let folder = Path::new(folder);
    match command.to_str() {
        Some("show") => print!("{}", persistence::show(folder, CheckMode::Show)?),
        Some("verify") => print!("{}", persistence::show(folder, CheckMode::Verify)?),
        Some("forget") => print!("{}", persistence::forget(folder)?),
        _ => return Err(ArgumentError::InvalidStateCommand.into()),
    }
    Ok(())
}

fn serve(args: pico_args::Arguments) -> Result<(), CliError> {
    let options = Options::parse(args)?;
    let (config, operator) = load_config(&options)?;
    let log = logging::root(options.level);
    let reread_config = || read_config(&options.config);
    runtime()?.block_on(serve::serve(config, operator, reread_config, log)).map_err(CliError::Serve)
}

fn run(mut args: pico_args::Arguments) -> Result<(), CliError> {
    match args.subcommand()?.as_deref() {
        Some("version") => {
            println!("reedwalk {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Some("check-config") => check_config(args),
        Some("call") => call(args),
        Some("state") => state(args),
        Some("serve") => serve(args),
        _ => Err(ArgumentError::NoCommand.into()),
    }
}

fn runtime() -> Result<tokio::runtime::Runtime, CliError> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(CliError::Runtime)
}

/// Runs the command that these arguments name, and prints the error if it fails.
pub fn main(args: Vec<OsString>) -> ExitCode {
    match run(pico_args::Arguments::from_vec(args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("reedwalk: {error}");
            ExitCode::FAILURE
        }
    }
}
