//! What operators have said of engines. Their word stands above the list's until the call back. Two processes may
//! hear different calls: of each engine the later word holds, so that merging in any order comes to the same.

use crate::Micros;
use std::collections::BTreeMap;
use std::fmt;

/// Engines out at most, and as many that were called back.
pub const WORDS_MOST: usize = 256;

/// An operator's word on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Word {
    /// It is back; it counts as started then.
    Back,
    /// Nothing new goes there.
    Out,
}

/// A word and when it was said.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Said {
    /// When, later than every word said before it.
    pub at: Micros,
    /// What.
    pub word: Word,
}

/// So many engines are out already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooMany;

impl fmt::Display for TooMany {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{WORDS_MOST} engines are out already")
    }
}

impl std::error::Error for TooMany {}

/// The latest word on each engine, by its name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hand {
    words: BTreeMap<String, Said>,
}

impl Hand {
    /// Is it out?
    pub fn out(&self, engine: &str) -> bool {
        self.words.get(engine).is_some_and(|s| s.word == Word::Out)
    }

    /// When it was called back, if that was the last word.
    pub fn back_since(&self, engine: &str) -> Option<Micros> {
        self.words.get(engine).filter(|s| s.word == Word::Back).map(|s| s.at)
    }

    /// Has anything been said of it?
    pub fn knows(&self, engine: &str) -> bool {
        self.words.contains_key(engine)
    }

    /// All words, by engine.
    pub fn words(&self) -> impl Iterator<Item = (&str, Said)> {
        self.words.iter().map(|(engine, said)| (engine.as_str(), *said))
    }

    /// Takes in a word; whether it changes anything. A call out that comes twice is one, and so is the call back.
    ///
    /// # Errors
    /// Where too many engines are out already.
    pub fn say(&mut self, engine: &str, word: Word, now: Micros) -> Result<bool, TooMany> {
        if self.out(engine) == (word == Word::Out) {
            return Ok(false);
        }
        if word == Word::Out && self.count(Word::Out) >= WORDS_MOST {
            return Err(TooMany);
        }
        // Clocks of two processes differ, and may step back: a later word is later all the same.
        let last = self.words.values().map(|s| s.at).max().unwrap_or_default();
        let said = Said { at: now.max(last.saturating_add(1)), word };
        self.words.insert(engine.to_owned(), said);
        self.forget();
        Ok(true)
    }

    /// Takes in what another process knows, and names the engines of which that changes the word.
    pub fn merge(&mut self, other: &Self) -> Vec<String> {
        let mut changed = Vec::new();
        for (engine, said) in &other.words {
            if self.words.get(engine).is_none_or(|own| own < said) {
                self.words.insert(engine.clone(), *said);
                changed.push(engine.clone());
            }
        }
        self.forget();
        changed
    }

    /// Adds a word as it was kept.
    pub(crate) fn put(&mut self, engine: String, said: Said) {
        self.words.insert(engine, said);
    }

    fn count(&self, word: Word) -> usize {
        self.words.values().filter(|s| s.word == word).count()
    }

    /// Words that an engine is back are kept for the other process and for its warmth: the latest suffice. A word
    /// that one is out ends with the call back alone.
    fn forget(&mut self) {
        while self.count(Word::Back) > WORDS_MOST {
            let oldest = self.words.iter().filter(|(_, s)| s.word == Word::Back).min_by_key(|(_, s)| **s);
            let Some(engine) = oldest.map(|(engine, _)| engine.clone()) else { return };
            self.words.remove(&engine);
        }
    }
}

#[cfg(test)]
mod tests;
