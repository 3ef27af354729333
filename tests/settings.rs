//! Rejection of invalid settings, with an error that names the field.

mod common;

use common::settings;
use reedwalk_scheduler::*;

#[test]
fn each_invalid_setting_is_named() {
    let field = |change: fn(&mut Settings)| {
        let mut settings = settings();
        change(&mut settings);
        Scheduler::new(settings, 1).err().map(|error| error.field)
    };
    assert_eq!(field(|_| ()), None);
    assert_eq!(field(|s| s.classes.clear()), Some("classes"));
    assert_eq!(field(|s| s.classes[1].threads = 0), Some("classes.threads"));
    assert_eq!(field(|s| s.classes[0].kinds = Some(vec![KindId(5)])), Some("classes.kinds"));
    assert_eq!(field(|s| s.gateways = 0), Some("gateways"));
}
