//! Any order of words and handovers against a plain model, and any bytes against the reader of records.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use reedwalk_operations::{Override, Overrides, read, write};
use std::collections::BTreeSet;

fn fixed(cases: u32) -> Config {
    Config {
        rng_seed: RngSeed::Fixed(20_261_201),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        ..Config::with_cases(cases)
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// A value given to one of the processes, whose clock is off by some microseconds.
    Say { process: usize, engine: u8, out: bool, clock: u64 },
    /// A process ends and the next starts from the record.
    Replaced(usize),
    /// A process looks at the record.
    Looks(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0usize..2, 0u8..5, any::<bool>(), 0u64..50)
            .prop_map(|(process, engine, out, clock)| Step::Say { process, engine, out, clock }),
        1 => (0usize..2).prop_map(Step::Replaced),
        2 => (0usize..2).prop_map(Step::Looks),
    ]
}

proptest! {
    #![proptest_config(fixed(512))]

    /// The model: a set of engines that are out, changed by each call in the order in which they are answered.
    #[test]
    fn two_processes_agree_on_the_latest_override(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let (mut record, mut model) = (write(&Overrides::default()), BTreeSet::new());
        let mut processes = [Overrides::default(), Overrides::default()];
        for step in steps {
            match step {
                Step::Say { process, engine, out, clock } => {
                    // As a call does it: what is kept first, then the value, then the record.
                    let (overrides, name) = (&mut processes[process], format!("s-{engine}"));
                    overrides.merge(&read(&record).unwrap());
                    prop_assert_eq!(overrides.is_out(&name), model.contains(&name));
                    let changed = overrides.set(&name, if out { Override::Out } else { Override::Returned }, clock).unwrap();
                    prop_assert_eq!(changed, out != model.contains(&name));
                    if out { model.insert(name) } else { model.remove(&name) };
                    record = write(overrides);
                }
                Step::Replaced(process) => processes[process] = read(&record).unwrap(),
                Step::Looks(process) => {
                    processes[process].merge(&read(&record).unwrap());
                    let held: BTreeSet<_> =
                        processes[process].iter().filter(|w| w.1.value == Override::Out).map(|w| w.0.to_owned()).collect();
                    prop_assert_eq!(&held, &model);
                }
            }
        }
        prop_assert_eq!(read(&record).unwrap(), read(&write(&read(&record).unwrap())).unwrap());
    }

    #[test]
    fn merge_is_independent_of_order(
        words in prop::collection::vec((0usize..3, 0u8..4, any::<bool>(), 0u64..20), 0..40),
    ) {
        let mut hands = [Overrides::default(), Overrides::default(), Overrides::default()];
        for (n, engine, out, at) in words {
            hands[n].set(&format!("s-{engine}"), if out { Override::Out } else { Override::Returned }, at).unwrap();
        }
        let merged = |order: [usize; 3]| {
            let mut overrides = Overrides::default();
            order.iter().for_each(|n| _ = overrides.merge(&hands[*n]));
            overrides
        };
        let first = merged([0, 1, 2]);
        for order in [[0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
            prop_assert_eq!(merged(order), first.clone());
        }
    }

    #[test]
    fn no_bytes_break_the_reader(bytes in prop::collection::vec(any::<u8>(), 0..200), cut in 0usize..400) {
        let _ = read(&bytes);
        let mut overrides = Overrides::default();
        overrides.set("s-1", Override::Out, 7).unwrap();
        let mut record = write(&overrides);
        record.truncate(cut);
        record.extend(&bytes);
        // What is read at all is what was written.
        prop_assert!(read(&record).map_or(true, |read| read == overrides));
    }
}
