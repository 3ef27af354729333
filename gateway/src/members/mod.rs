//! Who is in the pool: the name server's list, and above it the operators' word. One lock owns both, with the drain_guards,
//! and is never held across a wait, so that an operator's call is answered whatever the broker does.

pub mod keep;

use crate::drain_guard::DrainGuards;
use crate::figures::Figures;
use crate::message::{Endpoint, EndpointMailbox, EndpointUpdate};
use crate::names::dns;
use crate::names::list::Book;
use keep::{Keep, KeepError};
use reedwalk_membership::{Hand, TooMany, Word};
use reedwalk_scheduler::{EngineEntry, EngineId, EngineState, Time};
use slog::{Logger, info, warn};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::{Instant, sleep_until};

/// How often the record is looked at for what the other process was told: its word binds a second after the call.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// A call waits so long for the other process to be done with the record.
const KEPT_BY: Duration = Duration::from_millis(600);

/// Why an operator's word was not taken.
#[derive(Debug)]
pub enum SayError {
    /// No list has ever named this engine.
    Unknown,
    /// Too many are out already.
    TooMany(TooMany),
    /// It could not be kept for the next process.
    Keep(KeepError),
}

impl fmt::Display for SayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown => write!(f, "no engine of this id was ever listed"),
            Self::TooMany(error) => write!(f, "{error}"),
            Self::Keep(error) => write!(f, "the word could not be kept: {error}"),
        }
    }
}

impl std::error::Error for SayError {}

#[derive(Debug)]
struct Inner {
    book: Book,
    drain_guards: DrainGuards,
    hand: Hand,
}

/// The owner of the list; cheap to clone.
#[derive(Clone, Debug)]
pub struct Members {
    inner: Arc<Mutex<Inner>>,
    endpoints: EndpointMailbox,
    figures: Arc<Figures>,
    keep: Option<Arc<Keep>>,
    log: Logger,
}

impl Inner {
    /// What holds of an engine: the list's word, or the operators' above it.
    fn holds(&self, listed: &Endpoint) -> (EngineEntry, bool) {
        let mut entry = listed.entry.clone();
        let said = self.hand.words().find(|(name, _)| self.book.find(name) == Some(entry.engine));
        let Some((_, said)) = said else { return (entry, false) };
        let out = said.word == Word::Out;
        if out && entry.state != EngineState::Removed {
            entry.state = EngineState::Draining;
        } else if !out {
            // It was restarted meanwhile and is cold, whatever the list knows of that.
            entry.started = entry.started.max(Some(Time(said.at)));
        }
        (entry, out)
    }
}

impl Members {
    /// The owner of this list. What changes is written on `endpoints`; the words are kept by `keep`, if at all.
    pub fn new(
        book: Book,
        drain_guards: DrainGuards,
        endpoints: EndpointMailbox,
        figures: Arc<Figures>,
        keep: Option<Keep>,
        log: Logger,
    ) -> Self {
        let hand = keep.as_ref().map(|k| k.read(&log)).unwrap_or_default();
        let (out, inner) =
            (hand.words().filter(|w| w.1.word == Word::Out).count(), Inner { book, drain_guards, hand });
        if out > 0 {
            info!(log, "engines out by hand, as kept"; "engines" => out);
        }
        let inner = Arc::new(Mutex::new(inner));
        Self { inner, endpoints, figures, keep: keep.map(Arc::new), log }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of the last event of the list.
    pub fn serial(&self) -> Option<u32> {
        self.inner().book.serial()
    }

    /// Does something for each engine as last told: its id, its number here, its start.
    pub fn each(&self, mut see: impl FnMut(&str, EngineId, Option<Time>)) {
        let inner = self.inner();
        inner.book.named().for_each(|(name, l)| see(name, l.entry.engine, l.entry.started));
    }

    /// Takes in the events known at the start; how many engines they name.
    ///
    /// # Errors
    /// Where they are not of the form that is expected.
    pub fn start(&self, known: &serde_json::Value) -> Result<usize, serde_json::Error> {
        let mut inner = self.inner();
        let changes = inner.book.start(known)?;
        Ok(self.tell(&mut inner, changes))
    }

    /// Takes in what a new configuration knows, if that is later.
    ///
    /// # Errors
    /// Where it is not of the form that is expected.
    pub fn refresh(&self, known: &serde_json::Value) -> Result<usize, serde_json::Error> {
        let mut inner = self.inner();
        let changes = inner.book.refresh(known)?;
        Ok(self.tell(&mut inner, changes))
    }

    /// Takes in an answer of the name server.
    pub fn take(&self, answer: dns::Answer) -> usize {
        let mut inner = self.inner();
        let changes = inner.book.take(answer);
        let changed = self.tell(&mut inner, changes);
        self.endpoints.set_discovery_answered();
        changed
    }

    /// Closes and opens drain_guards here and now; the broker reads of it when it comes to it.
    fn tell(&self, inner: &mut Inner, changes: Vec<Endpoint>) -> usize {
        if changes.is_empty() {
            return 0;
        }
        let (now, count) = (Instant::now(), changes.len());
        info!(self.log, "engines"; "serial" => ?inner.book.serial(), "changed" => ?changes);
        let changes = changes.into_iter().map(|listed| {
            let (entry, out) = inner.holds(&listed);
            let drain_guard = inner.drain_guards.update(&entry, out, now);
            EndpointUpdate { endpoint: Endpoint { entry, ..listed }, drain_guard }
        });
        let changes: Vec<_> = changes.collect();
        self.figures.set_members(inner.book.listed().count());
        self.endpoints.write(changes);
        count
    }

    /// Lets the words on these engines hold.
    fn heed(&self, inner: &mut Inner, names: &[String]) {
        let ids: Vec<EngineId> = names.iter().filter_map(|name| inner.book.find(name)).collect();
        let listed: Vec<_> = inner.book.listed().filter(|l| ids.contains(&l.entry.engine)).cloned().collect();
        self.tell(inner, listed);
    }

    /// Lets what the other process was told hold here.
    fn merge(&self, inner: &mut Inner, kept: &Hand) {
        let changed = inner.hand.merge(kept);
        if !changed.is_empty() {
            info!(self.log, "operator, by the other process"; "engines" => ?changed);
        }
        self.heed(inner, &changed);
    }

    /// Takes in an operator's word. It is kept, and holds here, before this returns.
    ///
    /// # Errors
    /// Where it is not taken; nothing has changed then.
    pub async fn say(&self, engine: &str, out: bool) -> Result<(), SayError> {
        let by = Instant::now() + KEPT_BY;
        // Nobody else writes the record meanwhile, neither the other process nor another call here.
        let locked = match &self.keep {
            Some(keep) => Some(keep.lock(by).await.map_err(SayError::Keep)?),
            None => None,
        };
        let mut inner = self.inner();
        if let Some(keep) = &self.keep {
            self.merge(&mut inner, &keep.read(&self.log));
        }
        if inner.book.find(engine).is_none() && !inner.hand.knows(engine) {
            return Err(SayError::Unknown);
        }
        let mut hand = inner.hand.clone();
        let word = if out { Word::Out } else { Word::Back };
        if hand.say(engine, word, unix_micros()).map_err(SayError::TooMany)? {
            if let Some(keep) = &self.keep {
                keep.write(&hand).map_err(SayError::Keep)?;
            }
            inner.hand = hand;
            self.heed(&mut inner, &[engine.to_owned()]);
        }
        drop(locked);
        Ok(())
    }

    /// Looks at the record again and again for what the other process was told.
    pub async fn watch(self) {
        if self.keep.is_none() {
            return;
        }
        let mut next = Instant::now();
        loop {
            next += LOOK_EVERY;
            sleep_until(next).await;
            next = next.max(Instant::now());
            self.look();
        }
    }

    /// Takes in what has been kept since the last look.
    pub fn look(&self) {
        let Some(keep) = self.keep.as_ref().filter(|k| k.changed()) else { return };
        let kept = keep.read(&self.log);
        let mut inner = self.inner();
        self.merge(&mut inner, &kept);
        if inner.hand != kept {
            warn!(self.log, "the record lacks words that hold here");
        }
    }
}

fn unix_micros() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}
