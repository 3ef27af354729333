use super::*;

#[test]
fn each_command_has_one_form() {
    assert_eq!(parse_command(b"HEALTH"), Ok(Command::Health));
    assert_eq!(parse_command(b"DUMP"), Ok(Command::Dump));
    assert_eq!(parse_command(b"OFFLINE s-00c41f7a"), Ok(Command::Offline("s-00c41f7a".into())));
    assert_eq!(parse_command(b"ONLINE s-1"), Ok(Command::Online("s-1".into())));
    assert_eq!(parse_command(b"KILL 4294967295"), Ok(Command::Kill(u32::MAX)));
    let invalid: [(&[u8], CommandParseError); 14] = [
        (b"KILL", CommandParseError::InvalidConnectionId),
        (b"KILL s-1", CommandParseError::InvalidConnectionId),
        (b"KILL 4294967296", CommandParseError::InvalidConnectionId),
        (b"KILL 1 2", CommandParseError::ExtraArguments),
        (b"", CommandParseError::Empty),
        (b"   ", CommandParseError::Empty),
        (b"health", CommandParseError::UnknownCommand),
        (b"STATUS s-1", CommandParseError::UnknownCommand),
        (b"HEALTH now", CommandParseError::ExtraArguments),
        (b"OFFLINE", CommandParseError::MissingEngineId),
        (b"ONLINE ", CommandParseError::MissingEngineId),
        (b"OFFLINE s-1 s-2", CommandParseError::ExtraArguments),
        (b"OFFLINE s-\r1", CommandParseError::ControlCharacter),
        (b"OFFLINE \xff", CommandParseError::InvalidUtf8),
    ];
    for (line, error) in invalid {
        assert_eq!(parse_command(line), Err(error), "{line:?}");
    }
    assert_eq!(parse_command(&[b'A'; MAX_LINE_BYTES + 1]), Err(CommandParseError::TooLong));
}

#[test]
fn line_ends_within_its_limit() {
    assert_eq!(complete_line(b"HEAL"), Ok(None));
    assert_eq!(complete_line(b"HEALTH\nDUMP\n"), Ok(Some(&b"HEALTH"[..])));
    assert_eq!(complete_line(b"HEALTH\r\n"), Ok(Some(&b"HEALTH"[..])));
    assert_eq!(
        complete_line(b"HEALTH\r\r\n").map(|line| line.map(parse_command)),
        Ok(Some(Err(CommandParseError::ControlCharacter)))
    );
    assert_eq!(complete_line(&[b'x'; MAX_LINE_BYTES + 1]), Ok(None));
    assert_eq!(complete_line(&[b'x'; MAX_LINE_BYTES + 2]), Err(CommandParseError::TooLong));
    let mut longest = vec![b'x'; MAX_LINE_BYTES];
    longest.extend(*b"\r\n");
    assert_eq!(complete_line(&longest).map(|line| line.map(<[u8]>::len)), Ok(Some(MAX_LINE_BYTES)));
    longest.insert(0, b'x');
    assert_eq!(complete_line(&longest), Err(CommandParseError::TooLong));
}
