//! Faults that the proxy of the tests injects.

use std::io;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bilberry_tests::FaultProxy;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// How long the server takes before it answers and closes.
const ANSWERS_AFTER: Duration = Duration::from_millis(50);

/// Starts a server and a client that is connected to it through a proxy.
async fn connect() -> (FaultProxy, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("no port is free");
    let server = listener.local_addr().expect("the listener has no address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("no connection came");
        sleep(ANSWERS_AFTER).await;
        stream.write_all(b"answer").await.expect("the proxy did not read");
    });
    // Another address of the host, so its port is free there as well.
    let address = SocketAddr::from(([127, 0, 0, 2], server.port()));
    let proxy = FaultProxy::start_resetting_at(address, server).await;
    let client = TcpStream::connect(address).await.expect("the proxy is not up");
    (proxy, client)
}

async fn read_answer(client: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut answer = Vec::new();
    client.read_to_end(&mut answer).await?;
    Ok(answer)
}

/// Guards against a proxy that loses bytes and passes on the end of their connection, which
/// makes a cut response look complete to any client.
#[tokio::test]
async fn a_connection_whose_bytes_are_dropped_is_reset() {
    let (_proxy, mut client) = connect().await;
    let answer = read_answer(&mut client).await.expect("the connection was reset");
    assert_eq!(answer, b"answer");

    let (mut proxy, mut client) = connect().await;
    proxy.drop_traffic().await;
    sleep(ANSWERS_AFTER * 2).await;
    proxy.disconnect().await;
    let error = read_answer(&mut client).await.expect_err("the connection was closed");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}
