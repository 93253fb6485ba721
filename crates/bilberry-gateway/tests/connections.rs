//! Tests of the connection pool.

use std::io::ErrorKind;

use bilberry_core::BootClock;
use bilberry_gateway::ConnectionPool;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

#[tokio::test]
async fn a_request_that_was_given_up_does_not_arrive_later() {
    // Guards against a run that its caller no longer waits for. The upstream's host is
    // partitioned when a request is sent, the caller disconnects, and the link recovers.
    // A reset discards undelivered data; an ordinary close would still deliver it. The
    // read on the upstream's side shows which of the two was sent.
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port should be free");
    let address = listener.local_addr().expect("the listener should have an address");
    let connections = ConnectionPool::new(BootClock::new());
    let connection =
        connections.get(address, false).await.expect("connecting should succeed");
    let (mut accepted, _) = listener.accept().await.expect("connecting should succeed");
    drop(connection);
    let ended = accepted.read(&mut [0]).await;
    assert_eq!(ended.map_err(|error| error.kind()), Err(ErrorKind::ConnectionReset));
}
