use super::*;

#[test]
fn stall_is_reported_once_and_its_end_with_its_duration() {
    let mut detector = StallDetector::new(2, 500);
    assert_eq!(detector.check(0, [(0, false), (0, false)]), []);
    assert_eq!(detector.check(200, [(200, false), (0, false)]), []);
    assert_eq!(detector.check(400, [(400, false), (0, false)]), []);
    assert_eq!(detector.check(600, [(600, false), (0, false)]), [CoreEvent::Stalled(1, 600)]);
    assert_eq!(detector.check(800, [(800, false), (0, false)]), []);
    assert_eq!(detector.check(1000, [(1000, false), (950, false)]), [CoreEvent::Recovered(1, 950)]);
    assert_eq!(detector.check(1200, [(1200, false), (1150, false)]), []);
}

#[test]
fn late_check_reports_no_stall() {
    let mut detector = StallDetector::new(1, 500);
    detector.check(0, [(0, false)]);
    assert_eq!(detector.check(3000, [(0, false)]), [], "the whole process was suspended, not the core alone");
    assert_eq!(detector.check(3100, [(3050, false)]), []);
}

#[test]
fn ended_thread_is_reported_once() {
    let mut detector = StallDetector::new(1, 500);
    assert_eq!(detector.check(0, [(0, true)]), [CoreEvent::Ended(0)]);
    assert_eq!(detector.check(100, [(90, true)]), []);
}
