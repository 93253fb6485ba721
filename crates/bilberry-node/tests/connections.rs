//! New connections to an HTTP server whose handler admits none.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use bilberry_core::ClientLimits;
use bilberry_node::ClientBody;
use bilberry_node::ClientMetrics;
use bilberry_node::Clients;
use bilberry_node::GracefulServer;
use bilberry_node::HttpHandler;
use bilberry_node::HttpLimits;
use bilberry_node::ResponseBody;
use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const LIMITS: HttpLimits =
    HttpLimits { header_bytes: 16_384, header_ms: 5_000, connections: 10 };

#[derive(Default)]
struct Handler {
    is_overloaded: AtomicBool,
}

impl HttpHandler for Handler {
    fn admits_connection(&self) -> bool {
        !self.is_overloaded.load(Ordering::Relaxed)
    }

    async fn handle(self: Arc<Self>, _: Request<ClientBody>) -> Response<ResponseBody> {
        Response::new(ResponseBody::full(Bytes::from_static(b"served")))
    }
}

/// Sends a request and returns the text that comes back until the connection ends or a
/// response is complete.
async fn ask(stream: &mut TcpStream) -> String {
    let _ = stream.write_all(b"GET / HTTP/1.1\r\nHost: api.example\r\n\r\n").await;
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"served") {
        match stream.read_buf(&mut bytes).await {
            Ok(0) | Err(_) => break,
            Ok(_) => {}
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Guards against reading a request that the process has no processor time for, and
/// against ending connections that are open.
#[tokio::test]
async fn an_overloaded_server_closes_new_connections_unread_and_serves_open_ones() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("no port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let handler = Arc::new(Handler::default());
    let _server = GracefulServer::start(listener, LIMITS, handler.clone());
    let mut open = TcpStream::connect(address).await.expect("the server is up");
    assert!(ask(&mut open).await.ends_with("served"));
    handler.is_overloaded.store(true, Ordering::Relaxed);
    let mut new = TcpStream::connect(address).await.expect("the server is up");
    assert_eq!(ask(&mut new).await, "");
    assert!(ask(&mut open).await.ends_with("served"));
    handler.is_overloaded.store(false, Ordering::Relaxed);
    let mut new = TcpStream::connect(address).await.expect("the server is up");
    assert!(ask(&mut new).await.ends_with("served"));
}

/// Guards against clients that were served and stay, and lock others out.
#[tokio::test]
async fn an_idle_connection_makes_room_for_a_new_one() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("no port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let _server = GracefulServer::start(listener, LIMITS, Arc::new(Handler::default()));
    let mut open = Vec::new();
    for number in 0..2 * LIMITS.connections {
        let mut client = TcpStream::connect(address).await.expect("the server is up");
        assert!(ask(&mut client).await.ends_with("served"), "client {number}");
        open.push(client);
    }
}

/// Guards against bodies whose lines are charged as those of a head.
#[tokio::test]
async fn lines_of_a_body_are_not_charged_as_those_of_a_head() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("no port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let limits = ClientLimits {
        memory_bytes: 100_000,
        reserved_bytes: 0,
        connection_bytes: 40_000,
        connections: 2,
        receive_buffer_bytes: 16_384,
    };
    let clients = Clients::new(limits, ClientMetrics::default());
    let handler = Arc::new(Handler::default());
    let _server = GracefulServer::start_within(listener, LIMITS, clients, handler);
    let mut client = TcpStream::connect(address).await.expect("the server is up");
    let body = "\n".repeat(7_000);
    let head = format!("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n", body.len());
    let mut answer = Vec::new();
    client.write_all((head + &body).as_bytes()).await.expect("the request is read");
    client.read_buf(&mut answer).await.expect("the request is answered");
    assert!(answer.starts_with(b"HTTP/1.1 200"));
}
