use super::*;

/// The line and the message of the error in an invalid file.
fn error_of(text: &str) -> (usize, String) {
    let error = read(text).unwrap_err();
    (error.line, error.kind.to_string())
}

#[test]
fn valid_file_is_parsed() {
    let text = "// two fronts\ncores 4\nflight {\n  listen \"127.0.0.1:8815\"\n  message-most \"64KiB\"\n}\n\
        engines \"flight-sql\"\ncontract \"desk\" {\n  classes \"lookup\" \"statement\"\n  \
        budget 600 window=\"60s\"\n  cost \"statement\" 4\n}\nstore redis=\"redis://127.0.0.1:6379\"\n";
    let operator = read(text).unwrap();
    assert_eq!((operator.cores, operator.engine_protocol), (4, EngineProtocol::FlightSql));
    let front = operator.flight.unwrap();
    assert_eq!((front.max_connections, front.max_message_bytes), (DEFAULT_FLIGHT_CONNECTIONS, 64 << 10));
    let contract = &operator.contracts.unwrap()[0];
    assert_eq!((contract.budget, contract.window_ms, contract.cost["statement"]), (600, 60_000, 4));
    assert_eq!(
        operator.store,
        BudgetStore::Redis("redis://127.0.0.1:6379".into(), SharedStoreOptions::default())
    );
    assert_eq!(read("").unwrap().cores, 0);
}

#[test]
fn errors_give_the_line_and_the_expected_value() {
    let cases = [
        ("cores 0", 1, "a whole number from 1 to 64"),
        ("\n\ncores 2.5", 3, "a whole number from 1 to 64"),
        ("cores 65", 1, "a whole number from 1 to 64"),
        ("cores 2 3", 1, "one argument, a whole number"),
        ("cores 2\n\n// again\ncores 3", 4, "duplicate setting 'cores'"),
        ("core 2", 1, "unknown setting 'core'; expected cores"),
        ("flight {\n\n  lisen \"127.0.0.1:1\"\n}", 3, "unknown setting 'lisen'; expected listen"),
        ("flight {\n  listen \"nowhere\"\n}", 2, "expected an address"),
        ("cores 2\nflight {\n  connections 4\n}", 2, "missing setting 'listen' in 'flight'"),
        ("flight {\n listen \"127.0.0.1:1\"\n message-most \"9\"\n}", 3, "a size from"),
        ("contract \"a\" {\n  classes \"x\"\n  budget 6 window=\"60\"\n}", 3, "window="),
        ("contract \"a\" {\n  budget 6 window=\"60s\"\n}", 1, "missing setting 'classes' in 'contract'"),
        ("engines \"http\"", 1, "\"resp\" or \"flight-sql\""),
        ("store \"disk\"", 1, "\"memory\""),
        ("store redis=\"redis://h\" {\n share\n}", 2, "unknown setting 'share'; expected share-keys"),
        ("store redis=\"redis://h\" {\n wait \"0ms\"\n}", 2, "from 1ms to 1s"),
        ("store redis=\"redis://h\" {\n namespace \"a b\"\n}", 2, "1 to 64 letters"),
        ("store \"memory\" {\n share-keys\n}", 1, "redis="),
        ("cores 1\nstate \"here\"", 2, "an absolute path"),
        ("state", 1, "a folder path"),
        ("peers 3", 1, "a block in braces"),
        ("peers {\n gossip\n}", 2, "unknown setting 'gossip'; expected listen, member, key"),
        ("peers {\n listen \"here\"\n}", 2, "'listen' is \"here\"; expected an address"),
        ("peers {\n member \"n0\"\n}", 2, "a gateway's name and its address"),
        (
            "peers {\n member \"a\" \"127.0.0.1:1\"\n member \"a\" \"127.0.0.1:2\"\n}",
            3,
            "duplicate member name \"a\"",
        ),
        (
            "peers {\n member \"a\" \"127.0.0.1:1\"\n member \"b\" \"127.0.0.1:1\"\n}",
            3,
            "duplicate member address 127.0.0.1:1",
        ),
        ("peers {\n bytes-most \"9B\"\n}", 2, "from \"512B\""),
        ("cores 2\npeers {\n key \"a\"\n key \"b\"\n key \"c\"\n}", 2, "at most two keys"),
    ];
    for (text, line, expected) in cases {
        let (error_line, message) = error_of(text);
        assert!(error_line == line && message.contains(expected), "{text:?}: line {error_line}: {message}");
    }
    assert_eq!(error_of("cores 2\nflight {").0, 2);
}
