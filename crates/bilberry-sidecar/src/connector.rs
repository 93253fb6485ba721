//! Connects clients that keep connections, with bounded heads of responses.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bilberry_platform::HeadLimit;
use bilberry_platform::HeadLimitedStream;
use hyper::Response;
use hyper::Uri;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use hyper_util::client::legacy::connect::Connected;
use hyper_util::client::legacy::connect::Connection;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tower_service::Service;

/// Opens TCP connections whose responses have bounded heads.
///
/// A client of this connector calls [`end_head`] with each response.
#[derive(Debug, Clone)]
pub(crate) struct LimitedConnector(HttpConnector);

/// A TCP connection on which reads before the head of a response are bounded.
#[derive(Debug)]
pub(crate) struct LimitedConnection {
    stream: TokioIo<HeadLimitedStream<TcpStream>>,
    limit: HeadLimit,
}

/// Ends the limit of a response's head, which is complete.
pub(crate) fn end_head<B>(response: &Response<B>) {
    if let Some(limit) = response.extensions().get::<HeadLimit>() {
        limit.end();
    }
}

impl LimitedConnector {
    /// Creates a connector on top of a connector without limits.
    pub(crate) fn new(connector: HttpConnector) -> Self {
        Self(connector)
    }
}

impl Default for LimitedConnector {
    fn default() -> Self {
        Self::new(HttpConnector::new())
    }
}

impl Service<Uri> for LimitedConnector {
    type Response = LimitedConnection;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future =
        Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.0.call(uri);
        Box::pin(async move { Ok(LimitedConnection::new(connecting.await?)) })
    }
}

impl LimitedConnection {
    fn new(stream: TokioIo<TcpStream>) -> Self {
        let limit = HeadLimit::new();
        let stream = HeadLimitedStream::new(stream.into_inner(), limit.clone());
        Self { stream: TokioIo::new(stream), limit }
    }
}

impl Connection for LimitedConnection {
    fn connected(&self) -> Connected {
        Connected::new().extra(self.limit.clone())
    }
}

impl Read for LimitedConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl Write for LimitedConnection {
    /// Writes a part of a request, whose response has a head of its own.
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.limit.start();
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.limit.start();
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }
}
