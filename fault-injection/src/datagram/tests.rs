use super::*;
use std::time::Duration;

#[tokio::test]
async fn relay_separates_clients_and_directions() {
    let server = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let relay = UdpRelay::open(server.local_addr().unwrap(), 3, &Handle::current());
    tokio::spawn(async move {
        let mut buffer = [0; 100];
        loop {
            let (size, from) = server.recv_from(&mut buffer).await.unwrap();
            server.send_to(&buffer[..size], from).await.unwrap();
        }
    });
    let ask = async |word: &[u8]| {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        socket.send_to(word, relay.address).await.unwrap();
        let mut buffer = [0; 100];
        let answer = tokio::time::timeout(Duration::from_millis(300), socket.recv(&mut buffer)).await;
        answer.ok().map(|size| buffer[..size.unwrap()].to_vec())
    };
    assert_eq!(ask(b"one").await.unwrap(), b"one");
    assert_eq!(ask(b"two").await.unwrap(), b"two");
    relay.set(Fault::default(), Fault::cut());
    assert_eq!(ask(b"three").await, None);
    assert_eq!(
        (relay.applied_faults().passed, relay.applied_faults().cut),
        (5, 1),
        "asked, and not answered"
    );
}
