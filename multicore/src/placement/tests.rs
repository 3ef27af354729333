use super::*;

#[test]
fn shares_sum_to_one_and_are_lowest_on_the_broker_core() {
    for cores in 1..=MAX_CORES {
        let shares = connection_shares(cores);
        assert_eq!(shares.len(), cores);
        assert!((shares.iter().sum::<f64>() - 1.0).abs() < 1e-9);
        assert!(shares.iter().all(|share| *share <= shares[cores - 1] + 1e-12), "{shares:?}");
    }
    assert!(connection_shares(2)[0] > 0.3 && connection_shares(2)[0] < 0.4);
    assert_eq!(connection_shares(4)[0], 0.0);
}

#[test]
fn connections_are_placed_in_proportion_to_shares() {
    let shares = connection_shares(3);
    let mut loads = vec![CoreLoad { connections: 0, accepts: true }; 3];
    for _ in 0..300 {
        let core = select_core(&shares, &loads);
        loads[core].connections += 1;
    }
    for (share, CoreLoad { connections, .. }) in shares.iter().zip(loads) {
        assert!((connections as f64 - share * 300.0).abs() <= 2.0, "{connections} of 300 for {share}");
    }
}

#[test]
fn connection_is_placed_even_if_no_core_accepts() {
    let load = |connections, accepts| CoreLoad { connections, accepts };
    assert_eq!(select_core(&[0.0, 0.5, 0.5], &[load(0, true), load(9, false), load(3, false)]), 2);
}
