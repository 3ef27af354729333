use super::*;

#[test]
fn each_command_has_one_form() {
    assert_eq!(read_command(b"HEALTH"), Ok(Command::Health));
    assert_eq!(read_command(b"DUMP"), Ok(Command::Dump));
    assert_eq!(read_command(b"OFFLINE s-00c41f7a"), Ok(Command::Offline("s-00c41f7a".into())));
    assert_eq!(read_command(b"ONLINE s-1"), Ok(Command::Online("s-1".into())));
    let bad: [(&[u8], BadLine); 10] = [
        (b"", BadLine::Empty),
        (b"   ", BadLine::Empty),
        (b"health", BadLine::Unknown),
        (b"STATUS s-1", BadLine::Unknown),
        (b"HEALTH now", BadLine::Surplus),
        (b"OFFLINE", BadLine::NoId),
        (b"ONLINE ", BadLine::NoId),
        (b"OFFLINE s-1 s-2", BadLine::Surplus),
        (b"OFFLINE s-\r1", BadLine::Control),
        (b"OFFLINE \xff", BadLine::NotText),
    ];
    for (line, why) in bad {
        assert_eq!(read_command(line), Err(why), "{line:?}");
    }
    assert_eq!(read_command(&[b'A'; MAX_LINE_BYTES + 1]), Err(BadLine::TooLong));
}

#[test]
fn line_ends_within_its_limit() {
    assert_eq!(whole_line(b"HEAL"), Ok(None));
    assert_eq!(whole_line(b"HEALTH\nDUMP\n"), Ok(Some(&b"HEALTH"[..])));
    assert_eq!(whole_line(b"HEALTH\r\n"), Ok(Some(&b"HEALTH"[..])));
    assert_eq!(whole_line(b"HEALTH\r\r\n").map(|l| l.map(read_command)), Ok(Some(Err(BadLine::Control))));
    assert_eq!(whole_line(&[b'x'; MAX_LINE_BYTES + 1]), Ok(None));
    assert_eq!(whole_line(&[b'x'; MAX_LINE_BYTES + 2]), Err(BadLine::TooLong));
    let mut longest = vec![b'x'; MAX_LINE_BYTES];
    longest.extend(*b"\r\n");
    assert_eq!(whole_line(&longest).map(|l| l.map(<[u8]>::len)), Ok(Some(MAX_LINE_BYTES)));
    longest.insert(0, b'x');
    assert_eq!(whole_line(&longest), Err(BadLine::TooLong));
}
