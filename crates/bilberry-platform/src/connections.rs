//! Keeps HTTP connections to one server between calls.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::FramedBody;
use crate::HeadLimit;
use crate::HeadLimitedStream;
use crate::MAX_READ_BYTES;

/// The largest number of connections that are kept between calls.
const MAX_IDLE: usize = 8;

/// Connections to one server, whose responses have bounded heads and bodies.
#[derive(Debug)]
pub(crate) struct Connections {
    address: SocketAddr,
    connect_ms: u64,
    max_body_bytes: usize,
    idle: Mutex<Vec<Connection>>,
}

/// A connection, which is closed on drop.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    head_limit: HeadLimit,
    driver: JoinHandle<()>,
}

impl Connections {
    /// Creates a pool without connections; opening one may take `connect_ms`.
    pub(crate) fn new(
        address: SocketAddr,
        connect_ms: u64,
        max_body_bytes: usize,
    ) -> Self {
        Self { address, connect_ms, max_body_bytes, idle: Mutex::default() }
    }

    /// Sends a request and reads the whole response.
    ///
    /// The connection is closed if this fails or is dropped.
    pub(crate) async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, String> {
        let mut connection = self.get().await?;
        let method = request.method().clone();
        connection.head_limit.start();
        let sent = connection.sender.send_request(request).await;
        connection.head_limit.end();
        let response = sent.map_err(|error| error.to_string())?;
        let response = FramedBody::check(&method, response);
        let response = response.map_err(|error| error.to_string())?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, self.max_body_bytes);
        let body = body.collect().await.map_err(|error| error.to_string())?;
        let mut idle = self.idle.lock().unwrap();
        if idle.len() < MAX_IDLE {
            idle.push(connection);
        }
        Ok(Response::from_parts(head, body.to_bytes()))
    }

    /// Returns an idle connection that is still open, or a new one.
    async fn get(&self) -> Result<Connection, String> {
        while let Some(mut connection) = self.take_idle() {
            if connection.sender.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        let allowed = Duration::from_millis(self.connect_ms);
        let opened = timeout(allowed, Connection::open(self.address)).await;
        opened.map_err(|_| "the connection was not established in time".to_string())?
    }

    fn take_idle(&self) -> Option<Connection> {
        self.idle.lock().unwrap().pop()
    }
}

impl Connection {
    async fn open(address: SocketAddr) -> Result<Self, String> {
        let stream =
            TcpStream::connect(address).await.map_err(|error| error.to_string())?;
        if let Err(error) = stream.set_nodelay(true) {
            return Err(error.to_string());
        }
        let head_limit = HeadLimit::new();
        let limited = HeadLimitedStream::new(stream, head_limit.clone());
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_READ_BYTES);
        let handshake = builder.handshake(TokioIo::new(limited)).await;
        let (sender, connection) = handshake.map_err(|error| error.to_string())?;
        let driver = tokio::spawn(async move {
            // The call that uses the connection reports its failure.
            let _ = connection.await;
        });
        Ok(Self { sender, head_limit, driver })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
