//! The command line.

use crate::config::{self, Config, ConfigError, Environment};
use crate::console;
use crate::gossip;
use crate::operator::error::OperatorFileError;
use crate::operator::{self, Operator, Store};
use crate::persistence::{self, CheckMode, PersistenceError};
use crate::serve::{self, ServeError};
use slog::{Drain, Level, LevelFilter, Logger, o};
use std::ffi::OsString;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tokio::time::Instant;

/// How long `call` waits: a console answers within a second at any load, and past this nobody is there.
const CONSOLE_TIMEOUT: Duration = Duration::from_secs(2);

/// How the program is called.
pub const USAGE: &str = "\
usage: reedwalk COMMAND [OPTIONS]

  serve          run the front end until SIGTERM
  check-config   read the configuration, say what it holds, and end
  call ADDRESS LINE...
                 take a call to the console of a front end, such as HEALTH or OFFLINE ID, and print the answer;
                 ends with 1 where it is no
  state show|verify|forget FOLDER
                 what a front end has kept there for its next start; verify ends with 1 where that is not sound
  version        say the version

options of serve and check-config:
  --config FILE    the configuration; else GW_CONFIG names it
  --operator FILE  what an operator turns on, such as the Flight SQL front
  --log LEVEL      error, warning, info (usual) or debug
";

/// Why a command failed.
#[derive(Debug)]
enum CliError {
    /// The arguments were not understood; the text says how.
    Arguments(String),
    /// The configuration can't be used.
    Config(ConfigError),
    /// The operator's file asks for what the configuration does not allow.
    Operator(PathBuf, OperatorFileError),
    /// The program could not serve.
    Serve(ServeError),
    /// A console could not be called.
    Call(SocketAddr, std::io::Error),
    /// The console's answer was no.
    CallRefused,
    /// A folder of persisted state could not be used.
    Persistence(PersistenceError),
    /// A runtime could not be started.
    Runtime(std::io::Error),
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Arguments(text) => write!(f, "{text}"),
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
            Self::Arguments(_) | Self::CallRefused => None,
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
        Self::Arguments(error.to_string())
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
            Some(name) => name.parse().map_err(|()| CliError::Arguments(format!("no such level: {name}")))?,
            None => Level::Info,
        };
        let config = config.ok_or(ConfigError::NoFile)?;
        finish(args)?;
        Ok(Self { operator, config, level })
    }
}

/// Rejects arguments that were not read.
fn finish(args: pico_args::Arguments) -> Result<(), CliError> {
    match args.finish().first() {
        None => Ok(()),
        Some(left) => {
            let text = format!("not understood: {}\n\n{USAGE}", left.to_string_lossy());
            Err(CliError::Arguments(text))
        }
    }
}

/// Reads the configuration, with the name and the addresses of the environment.
fn read(path: &Path) -> Result<Config, ConfigError> {
    config::read(path, Environment::read()?)
}

/// Reads and validates the configuration and the operator's file.
fn load(options: &Options) -> Result<(Config, Operator), CliError> {
    let operator = match &options.operator {
        Some(path) => operator::read_file(path)?,
        None => Operator::default(),
    };
    let config = read(&options.config).and_then(Config::validate)?;
    if let Some(path) = &options.operator {
        let operator_error = |error| CliError::Operator(path.clone(), error);
        operator.check(&config.limits).map_err(operator_error)?;
        if let Some(options) = &operator.peers {
            gossip::group(options, &config).map_err(operator_error)?;
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
        Store::Memory => println!("store: in memory"),
        Store::Redis(_, options) => println!("store: Redis, {options:?}"),
    }
    println!("peers: {}", describe_gossip(&config, &operator));
    match &operator.state {
        Some(options) => println!("state: kept in {}", options.folder.display()),
        None => println!("state: off"),
    }
    match operator.flight {
        Some(flight) => println!("flight: listens on {}, engines {:?}", flight.listen, operator.engines),
        None => println!("flight: off, engines {:?}", operator.engines),
    }
    Ok(())
}

fn describe_gossip(config: &Config, operator: &Operator) -> String {
    let Some(options) = &operator.peers else { return "off".into() };
    let Ok(Some(group)) = gossip::group(options, config) else {
        return "off, the settings allow no messages between front ends".into();
    };
    let (count, listen, most) = (group.addresses.len(), group.listen, group.max_bytes_per_second());
    let signed = group.describe_signing();
    format!("number {} of {count}, listens on {listen}, {signed}, at most {most} bytes a second", group.me)
}

fn call(args: pico_args::Arguments) -> Result<(), CliError> {
    let mut words = args.finish().into_iter().map(|word| word.to_string_lossy().into_owned());
    let address = words.next().and_then(|address| address.parse().ok());
    let address = address.ok_or_else(|| {
        CliError::Arguments("call: the console's address is wanted first, as in 127.0.0.1:9800".into())
    })?;
    let line = words.collect::<Vec<_>>().join(" ");
    let answer = runtime()?.block_on(console::call(address, &line, Instant::now() + CONSOLE_TIMEOUT));
    let answer = answer.map_err(|error| CliError::Call(address, error))?;
    print!("{answer}");
    if answer.starts_with(console::FAILURE) { Err(CliError::CallRefused) } else { Ok(()) }
}

fn state(args: pico_args::Arguments) -> Result<(), CliError> {
    let usage = || CliError::Arguments("state: expected show, verify or forget, and a folder".into());
    let words: Vec<_> = args.finish();
    let [command, folder] = &words[..] else { return Err(usage()) };
    let folder = Path::new(folder);
    let text = match command.to_str() {
        Some("show") => persistence::show(folder, CheckMode::Show),
        Some("verify") => persistence::show(folder, CheckMode::Verify),
        Some("forget") => persistence::forget(folder),
        _ => return Err(usage()),
    };
    print!("{}", text.map_err(CliError::Persistence)?);
    Ok(())
}

fn serve(args: pico_args::Arguments) -> Result<(), CliError> {
    let options = Options::read(args)?;
    let (config, operator) = load(&options)?;
    let log = logger(options.level);
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
        _ => Err(CliError::Arguments(USAGE.to_owned())),
    }
}

fn runtime() -> Result<tokio::runtime::Runtime, CliError> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(CliError::Runtime)
}

fn logger(level: Level) -> Logger {
    let plain = slog_term::PlainSyncDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(plain).use_utc_timestamp().build();
    Logger::root(LevelFilter::new(drain, level).fuse(), o!())
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
