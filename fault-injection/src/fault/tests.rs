use super::*;

#[test]
fn sampler_applies_and_counts_faults() {
    let (mut sampler, mut applied) = (FaultSampler::new(7), AppliedFaults::default());
    let fault = DatagramFault {
        loss: 0.3,
        duplication: 0.1,
        corruption: 0.05,
        delay: Duration::from_millis(20),
        jitter: Duration::from_millis(10),
        ..DatagramFault::default()
    };
    let deliveries: Vec<_> =
        (0..10_000).flat_map(|_| sampler.sample(&fault, &[7; 20], &mut applied)).collect();
    let is_near = |found: u64, wanted: f64| (found as f64 - wanted).abs() < 0.1 * wanted;
    assert!(
        is_near(applied.lost, 3_000.0)
            && is_near(applied.duplicated, 700.0)
            && is_near(applied.corrupted, 385.0),
        "{applied}"
    );
    assert_eq!(deliveries.len() as u64, applied.passed);
    let corrupted = deliveries.iter().filter(|delivery| delivery.bytes != [7; 20]).count();
    assert_eq!(corrupted as u64, applied.corrupted);
    let mean =
        deliveries.iter().map(|delivery| delivery.delay.as_secs_f64()).sum::<f64>() / deliveries.len() as f64;
    assert!((mean - 0.030).abs() < 0.001, "{mean}");
}

#[test]
fn link_without_faults_passes_datagrams_unchanged() {
    let (mut sampler, mut applied) = (FaultSampler::new(7), AppliedFaults::default());
    assert_eq!(
        sampler.sample(&DatagramFault::default(), b"as it was", &mut applied),
        [Delivery { delay: Duration::ZERO, bytes: b"as it was".to_vec() }]
    );
    assert_eq!(applied, AppliedFaults { passed: 1, ..AppliedFaults::default() });
    assert!(sampler.sample(&DatagramFault::blocked(), b"x", &mut applied).is_empty() && applied.blocked == 1);
}
