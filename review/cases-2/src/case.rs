//! What all cases share: the folder of the case, the switch `TROUBLE`, and the exit codes.

use crate::record::Record;
use std::path::PathBuf;
use std::process::ExitCode;

/// The rule held.
const HELD: u8 = 0;
/// The rule was broken.
const BROKEN: u8 = 1;
/// The case could not run.
const NOT_RUN: u8 = 2;

/// The verdict of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held(String),
    /// The rule was broken.
    Broken(String),
    /// The run did not come to the point that the case is about.
    Inconclusive(String),
}

/// Runs a case: its first argument is the folder for the record.
pub fn run(case: impl FnOnce(&Record, bool) -> std::io::Result<Verdict>) -> ExitCode {
    let Some(folder) = std::env::args_os().nth(1).map(PathBuf::from) else {
        eprintln!("usage: PROGRAM FOLDER");
        return NOT_RUN.into();
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&folder) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            return NOT_RUN.into();
        }
    };
    record.line(if has_trouble { "with the disruption" } else { "TROUBLE=0: without the disruption" });
    match case(&record, has_trouble) {
        Ok(Verdict::Held(reason)) => end(&record, "the rule held", &reason, HELD),
        Ok(Verdict::Broken(reason)) => end(&record, "the rule was broken", &reason, BROKEN),
        Ok(Verdict::Inconclusive(reason)) => end(&record, "the case could not run", &reason, NOT_RUN),
        Err(error) => end(&record, "the case could not run", &error.to_string(), NOT_RUN),
    }
}

fn end(record: &Record, verdict: &str, reason: &str, code: u8) -> ExitCode {
    record.line(&format!("{verdict}: {reason}"));
    code.into()
}
