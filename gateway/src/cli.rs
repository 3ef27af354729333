//! The command line.

use crate::config::{self, Config, ConfigError, Surroundings};
use crate::console;
use crate::gossip;
use crate::operator::{self, Operator, Store};
use crate::persistence;
use crate::serve;
use slog::{Drain, Level, LevelFilter, Logger, o};
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tokio::time::Instant;

/// A console answers within a second at any load; past this nobody is there.
const ANSWERED_BY: Duration = Duration::from_secs(2);

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

struct Options {
    config: PathBuf,
    operator: Option<PathBuf>,
    level: Level,
}

fn options(args: &mut pico_args::Arguments) -> Result<Options, String> {
    let mut path = |name| {
        let path = args.opt_value_from_os_str(name, |s| Ok::<_, ConfigError>(PathBuf::from(s)));
        path.map_err(|e| e.to_string())
    };
    let config = path("--config")?.or(std::env::var_os("GW_CONFIG").map(PathBuf::from));
    let operator = path("--operator")?;
    let level: Option<String> = args.opt_value_from_str("--log").map_err(|e| e.to_string())?;
    let level = level.map_or(Ok(Level::Info), |l| l.parse().map_err(|()| format!("no such level: {l}")))?;
    Ok(Options { operator, config: config.ok_or_else(|| ConfigError::NoFile.to_string())?, level })
}

/// Reads the configuration, with the name and the addresses that the environment gives.
fn read(path: &Path) -> Result<Config, ConfigError> {
    config::read(path, Surroundings::read()?)
}

fn load(options: &Options) -> Result<(Config, Operator), String> {
    let operator = options.operator.as_deref().map(operator::read_file).transpose();
    let operator = operator.map_err(|e| e.to_string())?.unwrap_or_default();
    let config = read(&options.config).and_then(Config::validate).map_err(|e| e.to_string())?;
    if let (Err(error), Some(path)) = (operator.check(&config.limits), &options.operator) {
        return Err(ConfigError::Operator(path.clone(), error).to_string());
    }
    let tier = operator.peers.as_ref().map(|terms| gossip::group(terms, &config));
    if let (Some(Err(error)), Some(path)) = (tier, &options.operator) {
        return Err(ConfigError::Operator(path.clone(), error).to_string());
    }
    Ok((config, operator))
}

fn run(mut args: pico_args::Arguments) -> Result<(), String> {
    let command = args.subcommand().map_err(|e| e.to_string())?;
    match command.as_deref() {
        Some("version") => {
            println!("reedwalk {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Some("check-config") => {
            let options = options(&mut args)?;
            finish(args)?;
            let (config, operator) = load(&options)?;
            let classes = config.deployment.sockets.classes.join(", ");
            println!("{}: listens on {}, classes {classes}", config.name, config.listen);
            match config.console {
                Some(console) => println!("console: listens on {console}"),
                None => println!("console: off"),
            }
            println!("cores: {}", operator.cores.max(1));
            let contracts = serve::quotas(&operator, &config.deployment, None).map_err(|e| e.to_string())?;
            let teams = operator.contracts.as_ref().map_or(0, Vec::len);
            println!(
                "contracts: {}",
                if contracts.is_some() { format!("{teams} teams") } else { "off".into() }
            );
            match &operator.store {
                Store::Memory => println!("store: in memory"),
                Store::Redis(_, terms) => println!("store: Redis, {terms:?}"),
            }
            match operator.peers.as_ref().map(|terms| gossip::group(terms, &config)) {
                None => println!("peers: off"),
                Some(Ok(Some(tier))) => {
                    let (count, listen, most) = (tier.addresses.len(), tier.listen, tier.bytes_most());
                    println!(
                        "peers: number {} of {count}, listens on {listen}, {}, at most {most} bytes a second",
                        tier.me,
                        tier.signed()
                    );
                }
                Some(_) => println!("peers: off, the settings allow no messages between front ends"),
            }
            match &operator.state {
                Some(terms) => println!("state: kept in {}", terms.folder.display()),
                None => println!("state: off"),
            }
            match operator.flight {
                Some(flight) => {
                    println!("flight: listens on {}, engines {:?}", flight.listen, operator.engines)
                }
                None => println!("flight: off, engines {:?}", operator.engines),
            }
            Ok(())
        }
        Some("call") => {
            let mut words = args.finish().into_iter().map(|w| w.to_string_lossy().into_owned());
            let address = words.next().and_then(|a| a.parse().ok());
            let address =
                address.ok_or("call: the console's address is wanted first, as in 127.0.0.1:9800")?;
            let line = words.collect::<Vec<_>>().join(" ");
            let answer = runtime()?.block_on(console::take(address, &line, Instant::now() + ANSWERED_BY));
            let answer = answer.map_err(|e| format!("{address}: {e}"))?;
            print!("{answer}");
            if answer.starts_with(console::NO) { Err("the answer is no".into()) } else { Ok(()) }
        }
        Some("state") => {
            let words: Vec<_> = args.finish();
            let [what, folder] = &words[..] else {
                return Err("state: expected show, verify or forget, and a folder".into());
            };
            let done = match what.to_str() {
                Some("show") => persistence::show(Path::new(folder), false),
                Some("verify") => persistence::show(Path::new(folder), true),
                Some("forget") => persistence::forget(Path::new(folder)),
                _ => Err("state: expected show, verify or forget, and a folder".into()),
            };
            print!("{}", done?);
            Ok(())
        }
        Some("serve") => {
            let options = options(&mut args)?;
            finish(args)?;
            let (config, operator) = load(&options)?;
            let log = logger(options.level);
            let again = || read(&options.config);
            runtime()?.block_on(serve::serve(config, operator, again, log)).map_err(|e| e.to_string())
        }
        _ => Err(USAGE.to_owned()),
    }
}

fn runtime() -> Result<tokio::runtime::Runtime, String> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())
}

fn finish(args: pico_args::Arguments) -> Result<(), String> {
    match args.finish().first() {
        None => Ok(()),
        Some(left) => Err(format!("not understood: {}\n\n{USAGE}", left.to_string_lossy())),
    }
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
