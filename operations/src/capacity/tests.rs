use super::*;
use ProcessStage::{Closing, Serving, Starting};

#[test]
fn shares_of_live_processes_sum_to_one() {
    let stages = [Starting, Serving, Closing];
    for all in stages.iter().flat_map(|a| stages.iter().map(move |b| [*a, *b, Closing])) {
        let shares = (0..all.len()).map(|own| {
            let other_stages: Vec<_> = (0..all.len()).filter(|n| *n != own).map(|n| all[n]).collect();
            capacity_share(all[own], &other_stages).share
        });
        assert!((shares.sum::<f64>() - 1.0).abs() < 1e-9);
    }
}

#[test]
fn single_process_has_full_capacity_and_two_serving_processes_half_each() {
    assert_eq!(capacity_share(Serving, &[]), CapacityShare::default());
    assert_eq!(
        capacity_share(Starting, &[Serving]),
        CapacityShare { share: 0.5, other_process_serves: true }
    );
    assert_eq!(
        capacity_share(Serving, &[Starting]),
        CapacityShare { share: 0.5, other_process_serves: false }
    );
    assert_eq!(capacity_share(Serving, &[Closing]).share, 0.75);
    assert_eq!(
        capacity_share(Closing, &[Serving]),
        CapacityShare { share: 0.25, other_process_serves: true }
    );
}
