use super::*;

#[test]
fn scenario_is_read_with_events_in_order() {
    let text = "// a day\nday \"lesson\" seed=11 {\n front-ends 20\n engines 10 cores=4\n halls 2\n load rate=480 work=\"100ms\" posts=0.1\n \
        lasts \"12s\"\n at \"5s\" {\n  split 2\n  kill 1 2\n  stop from=3 to=5\n }\n at \"0s\" { links loss=0.3 delay=\"20ms\"; engine 0 \"fails\" }\n \
        at \"8s\" {\n heal\n way 1 3 \"held\"\n }\n}\n";
    let day = read(text).unwrap();
    assert_eq!(
        (day.name.as_str(), day.seed, day.fronts, day.engines, day.cores),
        ("lesson", 11, 20, 10, 4.0)
    );
    assert_eq!((day.rate, day.work_ms, day.posts, day.lasts.as_secs()), (480.0, 100.0, 0.1, 12));
    let events: Vec<_> = day.events.iter().map(|e| e.1.clone()).collect();
    let links = Fault { loss: 0.3, delay: Duration::from_millis(20), ..Fault::default() };
    assert_eq!(
        events[..3],
        [Event::Links(links), Event::Engine(0, EngineBehavior::Failing), Event::Split(2)]
    );
    assert_eq!(
        events[3..],
        [Event::Kill(vec![1, 2]), Event::Stop(vec![3, 4, 5]), Event::Heal, Event::Way(1, 3, Way::Held)]
    );
}

#[test]
fn faults_name_their_line() {
    let head = "day \"x\" {\n front-ends 4\n engines 2\n";
    let cases = [
        (" fronts 3\n}", 4, "unknown setting 'fronts'"),
        (" at \"soon\" { heal }\n}", 4, "a time such as"),
        (" at \"1s\" {\n  engine 7 \"fails\"\n }\n}", 5, "no engine 7, but 0 to 1"),
        (" at \"1s\" {\n  engine 1 \"ill\"\n }\n}", 5, "\"well\", \"fails\""),
        (" at \"1s\" {\n\n  kill 4\n }\n}", 6, "from 0 to 3"),
        (" at \"1s\" { explode }\n}", 4, "unknown event 'explode'"),
        (" load rat=3\n}", 4, "knows no 'rat'"),
        (" at \"1s\" { way 0 0 \"held\" }\n}", 4, "no hall 0"),
        (" peers \"maybe\"\n}", 4, "\"on\" or \"off\""),
    ];
    for (rest, line, what) in cases {
        let fault = read(&format!("{head}{rest}")).unwrap_err();
        assert!(fault.line == line && fault.what.contains(what), "{rest:?}: {fault}");
    }
    assert_eq!(read("day \"x\" {\n front-ends 4\n}").unwrap_err().line, 1);
    assert!(read("night").is_err());
}
