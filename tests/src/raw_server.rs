//! A server that answers the first request of every connection with the same bytes.

use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// A server that reads a request and answers with given bytes.
#[derive(Debug)]
pub struct RawServer {
    /// Where it listens.
    pub address: SocketAddr,
    accepting: JoinHandle<()>,
}

impl RawServer {
    /// Starts a server on a free port; it ends each connection after the answer unless
    /// `keeps_connection`.
    pub async fn start(answer: Vec<u8>, keeps_connection: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(respond(stream, answer.clone(), keeps_connection));
            }
        });
        Self { address, accepting }
    }
}

impl Drop for RawServer {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

/// Closing with unread bytes would reset the connection, so the request is read in full.
async fn respond(mut stream: TcpStream, answer: Vec<u8>, keeps_connection: bool) {
    let mut request = Vec::new();
    while !is_whole(&request) {
        match stream.read_buf(&mut request).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
    let _ = stream.write_all(&answer).await;
    if !keeps_connection {
        let _ = stream.shutdown().await;
    }
    while stream.read(&mut [0; 1024]).await.is_ok_and(|length| length > 0) {}
}

/// Reports whether a request with a `Content-Length` or without a body is complete.
fn is_whole(request: &[u8]) -> bool {
    let text = String::from_utf8_lossy(request).to_ascii_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
    body.len() >= length.and_then(|length| length.trim().parse().ok()).unwrap_or(0)
}
