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

/// Time limit of `call`: a console answers within a second at any load.
const CONSOLE_TIMEOUT: Duration = Duration::from_secs(2);

/// The help text.
pub const USAGE: &str = "\
usage: reedwalk COMMAND [OPTIONS]

  serve          run the gateway until SIGTERM
  check-config   read and check the configuration, and print what it sets
  call ADDRESS LINE...
                 send a command such as HEALTH or OFFLINE ID to the console of a gateway and print the answer;
                 exits with 1 if that is FAILURE
  state show|verify|forget FOLDER
                 the state that a gateway has persisted there for its next start; verify exits with 1 if any of
                 it can't be read
  version        print the version

options of serve and check-config:
  --config FILE    the configuration; by default the file that GW_CONFIG names
  --operator FILE  optional features, such as the Flight SQL front
  --log LEVEL      error, warning, info (the default) or debug
";

/// Why the arguments were not understood.
#[derive(Debug)]
enum ArgumentError {
    /// No command is named, or an unknown one.
    NoCommand,
    /// Nothing takes this argument.
    Unexpected(OsString),
    /// `--log` names no level.
    UnknownLevel(String),
    /// `call` is not followed by the address of a console.
    NoConsoleAddress,
    /// `state` is not followed by one of its commands and a folder.
    StateUsage,
    /// An option lacks its value, or the value can't be read.
    Parse(pico_args::Error),
}

impl fmt::Display for ArgumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoCommand => f.write_str(USAGE),
            Self::Unexpected(argument) => {
                write!(f, "not understood: {}\n\n{USAGE}", argument.to_string_lossy())
            }
            Self::UnknownLevel(name) => write!(f, "no such level: {name}"),
            Self::NoConsoleAddress => {
                write!(f, "call: expected the address of a console first, as in 127.0.0.1:9800")
            }
            Self::StateUsage => write!(f, "state: expected show, verify or forget, and a folder"),
            Self::Parse(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for ArgumentError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Parse(error) => Some(error),
            _ => None,
        }
    }
}

/// Why a command failed.
#[derive(Debug)]
enum CliError {
    /// The arguments were not understood.
    Arguments(ArgumentError),
    /// The configuration can't be used.
    Config(ConfigError),
    /// The operator's file asks for what the configuration does not allow.
    Operator(PathBuf, OperatorFileError),
    /// The program could not serve.
    Serve(ServeError),
    /// A console could not be called.
    Call(SocketAddr, std::io::Error),
    /// The console answered FAILURE.
    CallRefused,
    /// A folder of persisted state could not be used.
    Persistence(PersistenceError),
    /// A runtime could not be started.
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
            Self::CallRefused => write!(f, "the answer is no"),
            Self::Persistence(error) => write!(f, "{error}"),
            Self::Runtime(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for CliError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::CallRefused => None,
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
        Self::Arguments(ArgumentError::Parse(error))
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
    /// Reads the options, and rejects anything else.
    fn read(mut args: pico_args::Arguments) -> Result<Self, CliError> {
        let mut path =
            |name| args.opt_value_from_os_str(name, |text| Ok::<_, ConfigError>(PathBuf::from(text)));
        let config = path("--config")?.or(std::env::var_os("GW_CONFIG").map(PathBuf::from));
        let operator = path("--operator")?;
        let level: Option<String> = args.opt_value_from_str("--log")?;
        let level = match level {
            Some(name) => name.parse().map_err(|()| ArgumentError::UnknownLevel(name))?,
            None => Level::Info,
        };
        let config = config.ok_or(ConfigError::NoFile)?;
        finish(args)?;
        Ok(Self { operator, config, level })
    }
}

/// Rejects arguments that were not read.
fn finish(args: pico_args::Arguments) -> Result<(), ArgumentError> {
    match args.finish().into_iter().next() {
        None => Ok(()),
        Some(argument) => Err(ArgumentError::Unexpected(argument)),
    }
}

/// Reads the configuration, with the name and the addresses of the environment.
fn read(path: &Path) -> Result<Config, ConfigError> {
    config::read(path, Environment::read()?)
}

/// Reads and validates the configuration and the operator's file.
fn load(options: &Options) -> Result<(Config, OperatorConfig), CliError> {
    let operator = match &options.operator {
        Some(path) => operator::read_file(path)?,
        None => OperatorConfig::default(),
    };
    let config = read(&options.config).and_then(Config::validate)?;
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
    let (config, operator) = load(&Options::read(args)?)?;
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
    let (count, listen, most) = (group.addresses.len(), group.listen, group.max_bytes_per_second());
    let signed = group.describe_signing();
    format!(
        "number {} of {count}, listens on {listen}, {signed}, at most {most} bytes a second",
        group.own_id
    )
}

fn call(args: pico_args::Arguments) -> Result<(), CliError> {
    let mut words = args.finish().into_iter().map(|word| word.to_string_lossy().into_owned());
    let address = words.next().and_then(|address| address.parse().ok());
    let address = address.ok_or(ArgumentError::NoConsoleAddress)?;
    let line = words.collect::<Vec<_>>().join(" ");
    let answer = runtime()?.block_on(console::call(address, &line, Instant::now() + CONSOLE_TIMEOUT));
    let answer = answer.map_err(|error| CliError::Call(address, error))?;
    print!("{answer}");
    if answer.starts_with(console::FAILURE) { Err(CliError::CallRefused) } else { Ok(()) }
}

fn state(args: pico_args::Arguments) -> Result<(), CliError> {
    let words: Vec<_> = args.finish();
    let [command, folder] = &words[..] else { return Err(ArgumentError::StateUsage.into()) };
    let folder = Path::new(folder);
    match command.to_str() {
        Some("show") => print!("{}", persistence::show(folder, CheckMode::Show)?),
        Some("verify") => print!("{}", persistence::show(folder, CheckMode::Verify)?),
        Some("forget") => print!("{}", persistence::forget(folder)?),
        _ => return Err(ArgumentError::StateUsage.into()),
    }
    Ok(())
}

fn serve(args: pico_args::Arguments) -> Result<(), CliError> {
    let options = Options::read(args)?;
    let (config, operator) = load(&options)?;
    let log = logging::root(options.level);
    let read_again = || read(&options.config);
    runtime()?.block_on(serve::serve(config, operator, read_again, log)).map_err(CliError::Serve)
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

/// Runs the program with these arguments.
pub fn main(args: Vec<OsString>) -> ExitCode {
    match run(pico_args::Arguments::from_vec(args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("reedwalk: {error}");
            ExitCode::FAILURE
        }
    }
}
