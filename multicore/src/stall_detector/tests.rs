use super::*;

#[test]
fn stall_is_reported_once_and_its_end_with_its_length() {
    let mut watch = StallDetector::new(2, 500);
    assert_eq!(watch.check(0, [(0, false), (0, false)]), []);
    assert_eq!(watch.check(200, [(200, false), (0, false)]), []);
    assert_eq!(watch.check(400, [(400, false), (0, false)]), []);
    assert_eq!(watch.check(600, [(600, false), (0, false)]), [Change::Stalled(1, 600)]);
    assert_eq!(watch.check(800, [(800, false), (0, false)]), []);
    assert_eq!(watch.check(1000, [(1000, false), (950, false)]), [Change::Recovered(1, 950)]);
    assert_eq!(watch.check(1200, [(1200, false), (1150, false)]), []);
}

#[test]
fn late_check_reports_no_stall() {
    let mut watch = StallDetector::new(1, 500);
    watch.check(0, [(0, false)]);
    assert_eq!(watch.check(3000, [(0, false)]), [], "the machine slept, not the core");
    assert_eq!(watch.check(3100, [(3050, false)]), []);
}

#[test]
fn ended_thread_is_reported_once() {
    let mut watch = StallDetector::new(1, 500);
    assert_eq!(watch.check(0, [(0, true)]), [Change::Ended(0)]);
    assert_eq!(watch.check(100, [(90, true)]), []);
}
