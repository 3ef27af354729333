use super::*;

#[test]
fn each_call_has_one_form() {
    assert_eq!(read(b"HEALTH"), Ok(Call::Health));
    assert_eq!(read(b"DUMP"), Ok(Call::Dump));
    assert_eq!(read(b"OFFLINE s-00c41f7a"), Ok(Call::Offline("s-00c41f7a".into())));
    assert_eq!(read(b"ONLINE s-1"), Ok(Call::Online("s-1".into())));
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
        assert_eq!(read(line), Err(why), "{line:?}");
    }
    assert_eq!(read(&[b'A'; LINE_MOST + 1]), Err(BadLine::TooLong));
}

#[test]
fn a_line_is_whole_at_its_end_and_never_past_the_limit() {
    assert_eq!(whole(b"HEAL"), Ok(None));
    assert_eq!(whole(b"HEALTH\nDUMP\n"), Ok(Some(&b"HEALTH"[..])));
    assert_eq!(whole(b"HEALTH\r\n"), Ok(Some(&b"HEALTH"[..])));
    assert_eq!(whole(b"HEALTH\r\r\n").map(|l| l.map(read)), Ok(Some(Err(BadLine::Control))));
    assert_eq!(whole(&[b'x'; LINE_MOST + 1]), Ok(None));
    assert_eq!(whole(&[b'x'; LINE_MOST + 2]), Err(BadLine::TooLong));
    let mut longest = vec![b'x'; LINE_MOST];
    longest.extend(*b"\r\n");
    assert_eq!(whole(&longest).map(|l| l.map(<[u8]>::len)), Ok(Some(LINE_MOST)));
    longest.insert(0, b'x');
    assert_eq!(whole(&longest), Err(BadLine::TooLong));
}
