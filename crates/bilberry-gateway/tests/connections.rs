//! Connections to upstreams.

use std::io::ErrorKind;

use bilberry_core::BootClock;
use bilberry_gateway::Connections;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

#[tokio::test]
async fn a_request_that_was_given_up_does_not_arrive_later() {
    // Nobody sees a run that its caller no longer waits for. The upstream's host is
    // cut off when a request is sent, the caller leaves, and the link heals. A
    // reset takes back what was not delivered; an ordinary close would leave it on
    // its way. Which of both was sent shows at the upstream's end.
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it listens");
    let connections = Connections::new(BootClock::new());
    let connection = connections.get(address, false).await.expect("it connects");
    let (mut accepted, _) = listener.accept().await.expect("it connects");
    drop(connection);
    let ended = accepted.read(&mut [0]).await;
    assert_eq!(ended.map_err(|error| error.kind()), Err(ErrorKind::ConnectionReset));
}
