use super::*;

#[tokio::test]
async fn relay_passes_bytes_unchanged_and_applies_faults() {
    let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay = TcpRelay::open(target.local_addr().unwrap(), &Handle::current());
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = target.accept().await {
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.split();
                let _ = tokio::io::copy(&mut reader, &mut writer).await;
            });
        }
    });
    let message: Vec<u8> = (0..100_000_u32).map(|n| n as u8).collect();
    assert_eq!(echo(relay.address, &message).await.unwrap(), message);
    relay.set(Flow { delay: Duration::from_millis(50), ..Flow::default() });
    let began = Instant::now();
    assert_eq!(echo(relay.address, b"late").await.unwrap(), b"late");
    assert!(began.elapsed() >= Duration::from_millis(100), "both ways");
    relay.set(Flow { held_back: true, ..Flow::default() });
    let waiting = tokio::spawn(echo(relay.address, b"held"));
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(!waiting.is_finished());
    relay.set(Flow::default());
    assert_eq!(waiting.await.unwrap().unwrap(), b"held");
    relay.set(Flow::reset());
    assert!(echo(relay.address, b"gone").await.is_err());
    // One that was done before may not have been closed yet, and is reset too.
    let (held, reset) = relay.applied_faults();
    assert!(held == 1 && reset >= 1, "{held} {reset}");
}
