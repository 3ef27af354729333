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
mod tests {
    use super::*;

    #[test]
    fn a_call_out_may_come_twice_and_one_call_back_undoes_both() {
        let mut hand = Hand::default();
        assert_eq!(hand.say("s-1", Word::Out, 10), Ok(true));
        assert_eq!(hand.say("s-1", Word::Out, 20), Ok(false));
        assert!(hand.out("s-1") && !hand.out("s-2"));
        assert_eq!(hand.say("s-1", Word::Back, 30), Ok(true));
        assert!(!hand.out("s-1"));
        assert_eq!(hand.back_since("s-1"), Some(30));
        assert_eq!(hand.say("s-1", Word::Back, 40), Ok(false), "it is not started twice");
        assert_eq!(hand.say("s-2", Word::Back, 40), Ok(false), "it was never out and keeps its warmth");
        assert_eq!(hand.back_since("s-2"), None);
    }

    #[test]
    fn a_later_word_holds_though_the_clock_has_stepped_back() {
        let mut hand = Hand::default();
        hand.say("s-1", Word::Out, 1_000).unwrap();
        let mut other = hand.clone();
        other.say("s-1", Word::Back, 5).unwrap();
        assert_eq!(hand.merge(&other), ["s-1"]);
        assert!(!hand.out("s-1"));
        assert!(hand.merge(&other).is_empty());
    }

    #[test]
    fn words_stay_bounded_and_none_that_an_engine_is_out_is_forgotten() {
        let mut hand = Hand::default();
        for n in 0..WORDS_MOST as u64 {
            hand.say(&format!("out-{n}"), Word::Out, n).unwrap();
        }
        assert_eq!(hand.say("one-more", Word::Out, 9_999), Err(TooMany));
        for n in 0..2 * WORDS_MOST as u64 {
            hand.say("out-0", Word::Back, 10_000 + n).unwrap();
            hand.say("out-0", Word::Out, 10_000 + n).unwrap();
            let name = format!("back-{n}");
            hand.words.insert(name, Said { at: n, word: Word::Back });
        }
        hand.say("out-1", Word::Back, 99_999).unwrap();
        assert_eq!(hand.count(Word::Out), WORDS_MOST - 1);
        assert_eq!(hand.count(Word::Back), WORDS_MOST);
        assert_eq!(hand.back_since("out-1").map(|at| at >= 99_999), Some(true), "the oldest go first");
    }
}
