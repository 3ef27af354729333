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
