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
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::HttpConnection;

/// The largest number of connections that are kept between calls.
const MAX_IDLE: usize = 8;

/// Connections to one server, whose responses have bounded heads and bodies.
#[derive(Debug)]
pub(crate) struct Connections {
    address: SocketAddr,
    connect_ms: u64,
    max_body_bytes: usize,
    idle: Mutex<Vec<HttpConnection<Full<Bytes>>>>,
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
        let response = connection.send(request).await;
        let (head, body) = response.map_err(|error| error.to_string())?.into_parts();
        let body = Limited::new(body, self.max_body_bytes);
        let body = body.collect().await.map_err(|error| error.to_string())?;
        if connection.has_surplus_bytes().await {
            return Err("the body is longer than the head says".to_string());
        }
        let mut idle = self.idle.lock().unwrap();
        if idle.len() < MAX_IDLE {
            idle.push(connection);
        }
        Ok(Response::from_parts(head, body.to_bytes()))
    }

    /// Returns an idle connection that is still open, or a new one.
    async fn get(&self) -> Result<HttpConnection<Full<Bytes>>, String> {
        while let Some(mut connection) = self.take_idle() {
            if connection.wait_until_ready().await.is_ok() {
                return Ok(connection);
            }
        }
        let allowed = Duration::from_millis(self.connect_ms);
        let opened = timeout(allowed, open(self.address)).await;
        opened.map_err(|_| "the connection was not established in time".to_string())?
    }

    fn take_idle(&self) -> Option<HttpConnection<Full<Bytes>>> {
        self.idle.lock().unwrap().pop()
    }
}

async fn open(address: SocketAddr) -> Result<HttpConnection<Full<Bytes>>, String> {
    let stream = TcpStream::connect(address).await.map_err(|error| error.to_string())?;
    stream.set_nodelay(true).map_err(|error| error.to_string())?;
    HttpConnection::new(stream).await.map_err(|error| error.to_string())
}
