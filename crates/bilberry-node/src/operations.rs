//! The operations server: metrics and health checks.

use std::sync::Arc;

use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;

use crate::ClientBody;
use crate::HttpHandler;
use crate::Node;
use crate::ResponseBody;

/// Reports whether a process is ready to serve requests.
pub trait Readiness: Send + Sync + 'static {
    /// Returns the reason why the process is not ready, if any.
    fn not_ready_reason(&self) -> Option<&'static str>;

    /// Updates gauges before metrics are rendered.
    fn refresh(&self) {}
}

/// Serves metrics and health checks.
#[derive(Debug)]
pub struct Operations<R> {
    node: Arc<Node>,
    readiness: Arc<R>,
}

impl<R: Readiness> Operations<R> {
    /// Creates the handler.
    pub fn new(node: Arc<Node>, readiness: Arc<R>) -> Self {
        Self { node, readiness }
    }

    fn readyz(&self) -> Response<ResponseBody> {
        match self.readiness.not_ready_reason() {
            _ if self.node.is_leaving() => {
                text(StatusCode::SERVICE_UNAVAILABLE, "leaving\n")
            }
            Some(reason) => text(StatusCode::SERVICE_UNAVAILABLE, reason),
            None => text(StatusCode::OK, "ready\n"),
        }
    }

    fn metrics(&self) -> Response<ResponseBody> {
        self.readiness.refresh();
        self.node.metrics.revision.set(self.node.config.revision() as i64);
        text(StatusCode::OK, self.node.metrics.render())
    }
}

impl<R: Readiness> HttpHandler for Operations<R> {
    async fn handle(
        self: Arc<Self>,
        request: Request<ClientBody>,
    ) -> Response<ResponseBody> {
        match request.uri().path() {
            "/livez" => text(StatusCode::OK, "alive\n"),
            "/readyz" => self.readyz(),
            "/metrics" => self.metrics(),
            _ => text(StatusCode::NOT_FOUND, "use /livez, /readyz or /metrics\n"),
        }
    }
}

fn text(status: StatusCode, body: impl Into<String>) -> Response<ResponseBody> {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, "text/plain; charset=utf-8")
        .body(ResponseBody::full(body.into()))
        .expect("constant headers are valid")
}
