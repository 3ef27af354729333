//! The command line.

use crate::config::{self, Config, ConfigError};
use crate::serve;
use slog::{Drain, Level, LevelFilter, Logger, o};
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// How the program is called.
pub const USAGE: &str = "\
usage: reedwalk COMMAND [OPTIONS]

  serve          run the front end until SIGTERM
  check-config   read the configuration, say what it holds, and end
  version        say the version

options of serve and check-config:
  --config FILE  the configuration; else GW_CONFIG names it
  --log LEVEL    error, warning, info (usual) or debug
";

struct Options {
    config: PathBuf,
    level: Level,
}

fn options(args: &mut pico_args::Arguments) -> Result<Options, String> {
    let config = args.opt_value_from_os_str("--config", |s| Ok::<_, ConfigError>(PathBuf::from(s)));
    let config = config.map_err(|e| e.to_string())?.or(std::env::var_os("GW_CONFIG").map(PathBuf::from));
    let level: Option<String> = args.opt_value_from_str("--log").map_err(|e| e.to_string())?;
    let level = level.map_or(Ok(Level::Info), |l| l.parse().map_err(|()| format!("no such level: {l}")))?;
    Ok(Options { config: config.ok_or_else(|| ConfigError::NoFile.to_string())?, level })
}

fn load(options: &Options) -> Result<Config, String> {
    let name = std::env::var("GW_NAME").ok();
    let listen = match std::env::var("GW_LISTEN") {
        Ok(text) => Some(text.parse::<SocketAddr>().map_err(|e| format!("GW_LISTEN: {e}"))?),
        Err(_) => None,
    };
    config::read(&options.config, name, listen).map_err(|e| e.to_string())
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
            let config = load(&options)?;
            reedwalk_core::Gateway::new(config.deployment.core.clone(), config.seed)
                .map_err(|e| e.to_string())?;
            let classes = config.deployment.sockets.classes.join(", ");
            println!("{}: listens on {}, classes {classes}", config.name, config.listen);
            Ok(())
        }
        Some("serve") => {
            let options = options(&mut args)?;
            finish(args)?;
            let config = load(&options)?;
            let log = logger(options.level);
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.map_err(|e| e.to_string())?;
            runtime.block_on(serve::serve(config, log)).map_err(|e| e.to_string())
        }
        _ => Err(USAGE.to_owned()),
    }
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
