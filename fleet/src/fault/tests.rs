use super::*;

#[test]
fn the_dice_do_what_the_fault_says_and_count_it() {
    let (mut dice, mut struck) = (Dice::new(7), Struck::default());
    let fault = Fault {
        loss: 0.3,
        twice: 0.1,
        garbled: 0.05,
        delay: Duration::from_millis(20),
        jitter: Duration::from_millis(10),
        ..Fault::default()
    };
    let thrown: Vec<_> = (0..10_000).flat_map(|_| dice.throw(&fault, &[7; 20], &mut struck)).collect();
    let near = |found: u64, wanted: f64| (found as f64 - wanted).abs() < 0.1 * wanted;
    assert!(
        near(struck.lost, 3_000.0) && near(struck.twice, 700.0) && near(struck.garbled, 385.0),
        "{struck}"
    );
    assert_eq!(thrown.len() as u64, struck.passed);
    let garbled = thrown.iter().filter(|t| t.1 != [7; 20]).count();
    assert_eq!(garbled as u64, struck.garbled);
    let mean = thrown.iter().map(|t| t.0.as_secs_f64()).sum::<f64>() / thrown.len() as f64;
    assert!((mean - 0.030).abs() < 0.001, "{mean}");
}

#[test]
fn a_link_without_a_fault_adds_nothing() {
    let (mut dice, mut struck) = (Dice::new(7), Struck::default());
    assert_eq!(
        dice.throw(&Fault::default(), b"as it was", &mut struck),
        [(Duration::ZERO, b"as it was".to_vec())]
    );
    assert_eq!(struck, Struck { passed: 1, ..Struck::default() });
    assert!(dice.throw(&Fault::cut(), b"x", &mut struck).is_empty() && struck.cut == 1);
}
