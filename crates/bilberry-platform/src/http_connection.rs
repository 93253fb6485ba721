//! An HTTP/1.1 connection to a server.

use std::convert::Infallible;
use std::future::poll_fn;
use std::task::Poll;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::FramedBody;
use crate::HeadLimit;
use crate::HeadLimitedStream;
use crate::MAX_READ_BYTES;

/// What every response begins with.
const RESPONSE_START: &[u8] = b"HTTP/1.";

/// Why a request did not get a response.
#[derive(Debug, Error)]
pub enum SendError {
    /// No byte of the request was written, so it can't have run.
    #[error("not sent: {0}")]
    NotSent(String),
    /// At least part of the request was written, so it may have run or may still run.
    #[error("no response: {0}")]
    NoResponse(String),
    /// The server sent something other than an HTTP/1.1 response; the request may have run
    /// or may still run.
    #[error("invalid response: {0}")]
    InvalidResponse(String),
}

/// One connection, closed when dropped, whose responses have bounded heads.
#[derive(Debug)]
pub struct HttpConnection<B> {
    sender: SendRequest<B>,
    head_limit: HeadLimit,
    /// Returns the bytes that were received and belong to no response.
    driver: Option<JoinHandle<Bytes>>,
}

impl<B> Drop for HttpConnection<B> {
    fn drop(&mut self) {
        // Closing the connection cancels the request at the server.
        if let Some(driver) = &self.driver {
            driver.abort();
        }
    }
}

impl<B> HttpConnection<B>
where
    B: Body<Data = Bytes, Error = Infallible> + Send + 'static,
{
    /// Uses an open connection to a server.
    pub async fn new(stream: TcpStream) -> hyper::Result<Self> {
        let head_limit = HeadLimit::new();
        let limited = HeadLimitedStream::new(stream, head_limit.clone());
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_READ_BYTES);
        let (sender, mut connection) = builder.handshake(TokioIo::new(limited)).await?;
        let driver = tokio::spawn(async move {
            // The request that uses the connection reports its failure.
            let _ = (&mut connection).await;
            connection.into_parts().read_buf
        });
        Ok(Self { sender, head_limit, driver: Some(driver) })
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send(
        &mut self,
        request: Request<B>,
    ) -> Result<Response<FramedBody>, SendError> {
        let method = request.method().clone();
        self.head_limit.start();
        let sent = self.sender.try_send_request(request).await;
        self.head_limit.end();
        let response = sent.map_err(|mut failed| {
            // hyper returns the request only if none of it was written.
            let reason = failed.error().to_string();
            match failed.take_message() {
                Some(_) => SendError::NotSent(reason),
                None if failed.error().is_parse() => SendError::InvalidResponse(reason),
                None => SendError::NoResponse(reason),
            }
        })?;
        FramedBody::check(&method, response)
            .map_err(|error| SendError::InvalidResponse(error.to_string()))
    }

    /// Waits until another request can be sent after a response was read completely.
    pub async fn wait_until_ready(&mut self) -> Result<(), SendError> {
        let ready = self.sender.ready().await;
        ready.map_err(|error| SendError::NotSent(error.to_string()))
    }

    /// Returns whether a request can be sent now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns whether bytes have followed the last response, which was read completely, that
    /// begin no other response.
    ///
    /// Such bytes show that its length, or the size of a chunk, is wrong. What has not
    /// arrived yet is not waited for.
    pub async fn has_surplus_bytes(&mut self) -> bool {
        let ready = poll_fn(|cx| Poll::Ready(self.sender.poll_ready(cx))).await;
        let Poll::Ready(Err(_)) = ready else { return false };
        let Some(driver) = self.driver.take() else { return false };
        let received = driver.await.unwrap_or_default();
        let surplus = received.trim_ascii_start();
        let shared = surplus.len().min(RESPONSE_START.len());
        surplus[..shared] != RESPONSE_START[..shared]
    }
}
