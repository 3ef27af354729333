//! Connects the scheduler to the simulator, whose protocol it uses on standard input and output. Each instance is a separate
//! [`Scheduler`](reedwalk_scheduler::Scheduler). Each input line is a JSON object with a batch of events, and each output line
//! holds the messages with which the instances react.
//!
//! ```text
//! $ reedwalk-adapter < tests/script.jsonl
//! {"do":[{"op":"Listen","ControllerId":0,"On":true},{"op":"Schedule","ControllerId":0,"AfterUs":20000,"Label":0}]}
//! ...
//! ```
//!
//! `--peers` enables gossip between instances whose settings allow it. On an invalid line the program prints an error and exits
//! with a non-zero status.
#![forbid(unsafe_code)]

mod adapter;
mod convert;
mod gossip;
mod instance;
mod wire;

use adapter::Adapter;
use std::io::{BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let (mut input, mut output) = (std::io::stdin().lock(), std::io::stdout().lock());
    let with_gossip = std::env::args().skip(1).any(|argument| argument == "--peers");
    let mut adapter = Adapter::new(with_gossip);
    let (mut line, mut reply) = (String::new(), Vec::new());
    for line_number in 1.. {
        line.clear();
        match input.read_line(&mut line) {
            Ok(0) => break,
            Ok(_) if line.trim().is_empty() => continue,
            Ok(_) => {}
            Err(error) => {
                eprintln!("reedwalk-adapter: line {line_number}: {error}");
                return ExitCode::FAILURE;
            }
        }
        reply.clear();
        if let Err(error) = adapter.process_line(&line, &mut reply) {
            eprintln!("reedwalk-adapter: line {line_number}: {error}");
            return ExitCode::FAILURE;
        }
        if output.write_all(&reply).and_then(|()| output.flush()).is_err() {
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
