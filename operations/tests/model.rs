//! Property tests: random sequences of overrides and hot restarts compared with a model, and arbitrary bytes as a record.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use reedwalk_operations::{Override, Overrides, decode_record, encode_record};
use std::collections::BTreeSet;

fn fixed_seed(cases: u32) -> Config {
    Config {
        rng_seed: RngSeed::Fixed(20_261_201),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        ..Config::with_cases(cases)
    }
}

#[derive(Clone, Debug)]
enum Operation {
    /// A console call to one of the processes, with the time of its inaccurate clock in microseconds.
    Set { process: usize, engine: u8, out: bool, clock: u64 },
    /// A process ends, and its successor starts from the record.
    Restart(usize),
    /// A process merges the record.
    Merge(usize),
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        4 => (0usize..2, 0u8..5, any::<bool>(), 0u64..50)
            .prop_map(|(process, engine, out, clock)| Operation::Set { process, engine, out, clock }),
        1 => (0usize..2).prop_map(Operation::Restart),
        2 => (0usize..2).prop_map(Operation::Merge),
    ]
}

proptest! {
    #![proptest_config(fixed_seed(512))]

    /// The model is the set of engines that are out, updated by each call in the order of the replies.
    #[test]
    fn two_processes_agree_on_the_latest_override(
        operations in prop::collection::vec(operation(), 1..60),
    ) {
        let (mut record, mut model) = (encode_record(&Overrides::default()), BTreeSet::new());
        let mut processes = [Overrides::default(), Overrides::default()];
        for operation in operations {
            match operation {
                Operation::Set { process, engine, out, clock } => {
                    // Like a console call: merge the record, set the override, write the record.
                    let (overrides, name) = (&mut processes[process], format!("s-{engine}"));
                    overrides.merge(&decode_record(&record).unwrap());
                    prop_assert_eq!(overrides.is_out(&name), model.contains(&name));
                    let changed = overrides.set(&name, if out { Override::Out } else { Override::Returned }, clock).unwrap();
                    prop_assert_eq!(changed, out != model.contains(&name));
                    if out { model.insert(name) } else { model.remove(&name) };
                    record = encode_record(overrides);
                }
                Operation::Restart(process) => processes[process] = decode_record(&record).unwrap(),
                Operation::Merge(process) => {
                    processes[process].merge(&decode_record(&record).unwrap());
                    let out: BTreeSet<_> =
                        processes[process].iter().filter(|(_, timed)| timed.value == Override::Out).map(|(engine, _)| engine.to_owned()).collect();
                    prop_assert_eq!(&out, &model);
                }
            }
        }
        prop_assert_eq!(decode_record(&record).unwrap(), decode_record(&encode_record(&decode_record(&record).unwrap())).unwrap());
    }

    #[test]
    fn merge_is_independent_of_order(
        calls in prop::collection::vec((0usize..3, 0u8..4, any::<bool>(), 0u64..20), 0..40),
    ) {
        let mut processes = [Overrides::default(), Overrides::default(), Overrides::default()];
        for (process, engine, out, at) in calls {
            processes[process].set(&format!("s-{engine}"), if out { Override::Out } else { Override::Returned }, at).unwrap();
        }
        let merged = |order: [usize; 3]| {
            let mut overrides = Overrides::default();
            for process in order {
                overrides.merge(&processes[process]);
            }
            overrides
        };
        let first = merged([0, 1, 2]);
        for order in [[0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
            prop_assert_eq!(merged(order), first.clone());
        }
    }

    #[test]
    fn reader_accepts_only_written_records(bytes in prop::collection::vec(any::<u8>(), 0..200), length in 0usize..400) {
        let _ = decode_record(&bytes);
        let mut overrides = Overrides::default();
        overrides.set("s-1", Override::Out, 7).unwrap();
        let mut record = encode_record(&overrides);
        record.truncate(length);
        record.extend(&bytes);
        // If a record is accepted, it is the one that was written.
        prop_assert!(decode_record(&record).map_or(true, |read| read == overrides));
    }
}
