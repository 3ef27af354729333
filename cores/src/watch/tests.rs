use super::*;

#[test]
fn a_stall_is_told_once_and_its_end_with_its_length() {
    let mut watch = Watch::new(2, 500);
    assert_eq!(watch.look(0, [(0, false), (0, false)]), []);
    assert_eq!(watch.look(200, [(200, false), (0, false)]), []);
    assert_eq!(watch.look(400, [(400, false), (0, false)]), []);
    assert_eq!(watch.look(600, [(600, false), (0, false)]), [Change::Stalled(1, 600)]);
    assert_eq!(watch.look(800, [(800, false), (0, false)]), []);
    assert_eq!(watch.look(1000, [(1000, false), (950, false)]), [Change::Back(1, 950)]);
    assert_eq!(watch.look(1200, [(1200, false), (1150, false)]), []);
}

#[test]
fn who_stood_still_itself_blames_nobody() {
    let mut watch = Watch::new(1, 500);
    watch.look(0, [(0, false)]);
    assert_eq!(watch.look(3000, [(0, false)]), [], "the machine slept, not the core");
    assert_eq!(watch.look(3100, [(3050, false)]), []);
}

#[test]
fn a_thread_that_has_ended_is_lost_for_good_and_said_once() {
    let mut watch = Watch::new(1, 500);
    assert_eq!(watch.look(0, [(0, true)]), [Change::Lost(0)]);
    assert_eq!(watch.look(100, [(90, true)]), []);
}
