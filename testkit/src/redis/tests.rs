use super::commands::WRONG_TYPE;
use super::*;
use crate::wire::put_array;

async fn connect(redis: &Redis) -> TcpStream {
    TcpStream::connect(redis.start().await).await.unwrap()
}

/// What comes back for a command written in words; none if the connection ended.
async fn ask(stream: &mut TcpStream, command: &str) -> Option<String> {
    let mut out = BytesMut::new();
    put_array(&mut out, &command.split(' ').map(str::as_bytes).collect::<Vec<_>>());
    stream.write_all(&out).await.ok()?;
    let mut answer = BytesMut::with_capacity(4096);
    let read = stream.read_buf(&mut answer).await;
    matches!(read, Ok(n) if n > 0).then(|| String::from_utf8(answer.to_vec()).unwrap())
}

#[tokio::test]
async fn commands_follow_their_documentation() {
    let redis = Redis::default();
    let mut stream = connect(&redis).await;
    let cases = [
        ("SET a 1 NX PX 60000", "+OK\r\n"),
        ("SET a 2 NX", "$-1\r\n"),
        ("GET a", "$1\r\n1\r\n"),
        ("INCRBY a 41", ":42\r\n"),
        ("HSET a f v", WRONG_TYPE),
        ("HSET h f v g w", ":2\r\n"),
        ("HGET h g", "$1\r\nw\r\n"),
        ("HGETALL h", "*4\r\n$1\r\nf\r\n$1\r\nv\r\n$1\r\ng\r\n$1\r\nw\r\n"),
        ("PTTL h", ":-1\r\n"),
        ("PEXPIREAT h 1", ":1\r\n"),
        ("EXISTS h", ":0\r\n"),
        ("DEL a h", ":1\r\n"),
        ("MULTI", "+OK\r\n"),
        ("INCRBY b 5", "+QUEUED\r\n"),
        ("DECRBY b 2", "+QUEUED\r\n"),
        ("EXEC", "*2\r\n:5\r\n:3\r\n"),
        ("FLY", "-ERR unknown command or wrong number of arguments for 'FLY'\r\n"),
    ];
    for (command, answer) in cases {
        assert_eq!(ask(&mut stream, command).await.as_deref(), Some(answer), "{command}");
    }
    assert_eq!(redis.seen().len(), cases.len() - 3, "a transaction counts once");
}

#[tokio::test]
async fn scripted_faults_are_applied_in_turn() {
    let redis = Redis::default();
    redis.script([
        Some(Trouble::Error("LOADING Redis is loading the dataset in memory")),
        Some(Trouble::Garbage),
        Some(Trouble::DropAfter),
        Some(Trouble::DropBefore),
    ]);
    let mut stream = connect(&redis).await;
    assert!(ask(&mut stream, "INCRBY n 1").await.unwrap().starts_with("-LOADING"));
    assert_eq!(ask(&mut stream, "INCRBY n 10").await.as_deref(), Some("?what\r\n"));
    assert_eq!(ask(&mut stream, "INCRBY n 100").await, None);
    let mut stream = connect(&redis).await;
    assert_eq!(ask(&mut stream, "INCRBY n 1000").await, None);
    let mut stream = connect(&redis).await;
    assert_eq!(ask(&mut stream, "GET n").await.as_deref(), Some("$3\r\n110\r\n"));
    let old = redis.save();
    ask(&mut stream, "SET n 7").await;
    redis.restore(old);
    assert_eq!(ask(&mut stream, "GET n").await.as_deref(), Some("$3\r\n110\r\n"));
    redis.evict(1, 3);
    assert_eq!(ask(&mut stream, "GET n").await.as_deref(), Some("$-1\r\n"));
    redis.trouble(Some(Trouble::Frozen));
    let frozen = tokio::time::timeout(Duration::from_millis(50), ask(&mut stream, "SET n 9"));
    assert!(frozen.await.is_err());
    assert!(redis.save().is_empty(), "a frozen store applies nothing");
}
