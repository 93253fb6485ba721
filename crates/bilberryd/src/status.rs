//! Readiness and metrics endpoints of a platform-hosted process.

use std::sync::Arc;

use bilberry_adapter::HttpEngine;
use bilberry_adapter::PlatformDialect;
use bilberry_core::BootClock;
use bilberry_gateway::Gateway;
use bilberry_node::ClientBody;
use bilberry_node::HttpHandler;
use bilberry_node::ResponseBody;
use bilberry_steward::EngineController;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;

/// The status of a process.
pub trait Status: Send + Sync + 'static {
    /// Returns whether the process accepts new callers.
    fn is_ready(&self) -> bool;

    /// Returns all metrics in text format.
    fn metrics(&self) -> String;
}

impl Status for Gateway<PlatformDialect, BootClock> {
    fn is_ready(&self) -> bool {
        Gateway::is_ready(self)
    }

    fn metrics(&self) -> String {
        self.metrics.render()
    }
}

impl Status for EngineController<HttpEngine, BootClock> {
    fn is_ready(&self) -> bool {
        self.state().borrow().upstream.up
    }

    fn metrics(&self) -> String {
        self.metrics.render()
    }
}

/// Serves readiness checks and metrics.
pub struct StatusPage<S> {
    /// The process.
    pub process: Arc<S>,
}

impl<S: Status> HttpHandler for StatusPage<S> {
    async fn handle(
        self: Arc<Self>,
        request: Request<ClientBody>,
    ) -> Response<ResponseBody> {
        let (status, text) = match request.uri().path() {
            "/metrics" => (StatusCode::OK, self.process.metrics()),
            _ if self.process.is_ready() => (StatusCode::OK, "ready\n".to_string()),
            _ => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_string()),
        };
        let mut answer = Response::new(ResponseBody::full(text));
        *answer.status_mut() = status;
        answer
    }
}
