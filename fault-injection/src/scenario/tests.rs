use super::*;

#[test]
fn scenario_is_read_with_steps_in_order() {
    let text = "// a scenario\nscenario \"failing\" seed=11 {\n gateways 20\n engines 10 cores=4\n zones 2\n \
        load rate=480 work=\"100ms\" keyed-requests=0.1\n duration \"12s\"\n \
        at \"5s\" {\n  partition 2\n  kill 1 2\n  pause from=3 to=5\n }\n \
        at \"0s\" { gossip-links loss=0.3 delay=\"20ms\"; engine 0 \"failing\" }\n \
        at \"8s\" {\n heal\n engine-link 1 3 \"stalled\"\n }\n}\n";
    let scenario = read(text).unwrap();
    assert_eq!(
        (scenario.name.as_str(), scenario.seed, scenario.gateways, scenario.engines, scenario.cores),
        ("failing", 11, 20, 10, 4.0)
    );
    assert_eq!(
        (scenario.rate, scenario.work_ms, scenario.keyed_request_share, scenario.duration.as_secs()),
        (480.0, 100.0, 0.1, 12)
    );
    let steps: Vec<_> = scenario.steps.iter().map(|scheduled| scheduled.step.clone()).collect();
    let fault = DatagramFault { loss: 0.3, delay: Duration::from_millis(20), ..DatagramFault::default() };
    assert_eq!(
        steps[..3],
        [
            Step::SetGossipLinks(fault),
            Step::SetEngine { engine: 0, behavior: EngineBehavior::Failing },
            Step::Partition { groups: 2 }
        ]
    );
    assert_eq!(
        steps[3..],
        [
            Step::Kill(vec![1, 2]),
            Step::Pause(vec![3, 4, 5]),
            Step::Heal,
            Step::SetEngineLink { zone: 1, engine: 3, state: LinkState::Stalled }
        ]
    );
}

#[test]
fn errors_name_their_line() {
    let head = "scenario \"x\" {\n gateways 4\n engines 2\n";
    let cases = [
        (" gateway 3\n}", 4, "unknown setting 'gateway'"),
        (" at \"soon\" { heal }\n}", 4, "a time such as"),
        (" at \"1s\" {\n  engine 7 \"failing\"\n }\n}", 5, "no engine 7; expected 0 to 1"),
        (" at \"1s\" {\n  engine 1 \"ill\"\n }\n}", 5, "\"healthy\", \"failing\""),
        (" at \"1s\" {\n\n  kill 4\n }\n}", 6, "from 0 to 3"),
        (" at \"1s\" { explode }\n}", 4, "unknown step 'explode'"),
        (" load rat=3\n}", 4, "no property 'rat'"),
        (" at \"1s\" { engine-link 0 0 \"stalled\" }\n}", 4, "no zone 0"),
        (" gossip \"maybe\"\n}", 4, "\"on\" or \"off\""),
    ];
    for (rest, line, expected) in cases {
        let error = read(&format!("{head}{rest}")).unwrap_err();
        assert!(error.line == line && error.message.contains(expected), "{rest:?}: {error}");
    }
    assert_eq!(read("scenario \"x\" {\n gateways 4\n}").unwrap_err().line, 1);
    assert!(read("night").is_err());
}
