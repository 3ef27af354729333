//! What the cases of the review share: a record of what was seen, the gateway as a process of the built program, and a
//! stand-in for an engine.

pub mod engine;
pub mod flight_engine;
pub mod process;
pub mod record;
pub mod site;

pub use record::Record;

/// How a case ended; its value is the exit status of the script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held = 0,
    /// The rule was broken.
    Broken = 1,
    /// The case could not run.
    CouldNotRun = 2,
}

/// Whether the disruption is to be made: not if `TROUBLE=0` is set.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Runs a case on a current-thread runtime and ends the process with its verdict. A panic of the case, of a stand-in or of
/// a client means that it could not run.
pub fn run_case(case: impl AsyncFnOnce(&Record) -> Verdict) -> ! {
    let record = Record::create();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("no runtime");
    let verdict = runtime.block_on(case(&record));
    record.line(&format!("verdict: {verdict:?}"));
    std::process::exit(verdict as i32)
}
