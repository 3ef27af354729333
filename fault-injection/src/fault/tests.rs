use super::*;

#[test]
fn sampler_applies_and_counts_faults() {
    let (mut sampler, mut applied) = (FaultSampler::new(7), AppliedFaults::default());
    let fault = Fault {
        loss: 0.3,
        twice: 0.1,
        garbled: 0.05,
        delay: Duration::from_millis(20),
        jitter: Duration::from_millis(10),
        ..Fault::default()
    };
    let thrown: Vec<_> = (0..10_000).flat_map(|_| sampler.sample(&fault, &[7; 20], &mut applied)).collect();
    let near = |found: u64, wanted: f64| (found as f64 - wanted).abs() < 0.1 * wanted;
    assert!(
        near(applied.lost, 3_000.0) && near(applied.twice, 700.0) && near(applied.garbled, 385.0),
        "{applied}"
    );
    assert_eq!(thrown.len() as u64, applied.passed);
    let garbled = thrown.iter().filter(|t| t.1 != [7; 20]).count();
    assert_eq!(garbled as u64, applied.garbled);
    let mean = thrown.iter().map(|t| t.0.as_secs_f64()).sum::<f64>() / thrown.len() as f64;
    assert!((mean - 0.030).abs() < 0.001, "{mean}");
}

#[test]
fn a_link_without_a_fault_adds_nothing() {
    let (mut sampler, mut applied) = (FaultSampler::new(7), AppliedFaults::default());
    assert_eq!(
        sampler.sample(&Fault::default(), b"as it was", &mut applied),
        [(Duration::ZERO, b"as it was".to_vec())]
    );
    assert_eq!(applied, AppliedFaults { passed: 1, ..AppliedFaults::default() });
    assert!(sampler.sample(&Fault::cut(), b"x", &mut applied).is_empty() && applied.cut == 1);
}
