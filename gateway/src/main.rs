//! The `reedwalk` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    reedwalk_gateway::cli::main(std::env::args_os().skip(1).collect())
}
