//! Serving a stand-in on loopback.

use std::net::SocketAddr;
use std::sync::Arc;

use bilberry_node::ClientBody;
use bilberry_node::GracefulServer;
use bilberry_node::HttpHandler;
use bilberry_node::HttpLimits;
use bilberry_node::ResponseBody;
use bilberry_node::json_response;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;

/// A stand-in that is being served.
#[derive(Debug)]
pub struct Served {
    /// Where it listens.
    pub address: SocketAddr,
    _server: GracefulServer,
}

/// Serves a stand-in at `address`; port zero lets the system choose.
pub async fn serve<H: HttpHandler>(
    address: SocketAddr,
    handler: Arc<H>,
) -> std::io::Result<Served> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let limits =
        HttpLimits { header_bytes: 64 * 1024, header_ms: 60_000, connections: 100_000 };
    let server = GracefulServer::start(listener, limits, handler);
    Ok(Served { address, _server: server })
}

/// Reads a whole body.
pub(crate) async fn whole(request: Request<ClientBody>) -> Bytes {
    let collected = request.into_body().collect().await;
    collected.map(|body| body.to_bytes()).unwrap_or_default()
}

/// Reads a JSON body; one that can't be read counts as the default.
pub(crate) async fn json<T: DeserializeOwned + Default>(
    request: Request<ClientBody>,
) -> T {
    serde_json::from_slice(&whole(request).await).unwrap_or_default()
}

/// Answers with JSON.
pub(crate) fn ok<T: Serialize>(value: &T) -> Response<ResponseBody> {
    json_response(StatusCode::OK, value)
}

/// Answers with a status and a text.
pub(crate) fn status(status: StatusCode, text: &str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(text.to_string()));
    *response.status_mut() = status;
    response
}

/// Answers by breaking off in the middle of the body.
pub(crate) fn cut() -> Response<ResponseBody> {
    let (_, pieces) = tokio::sync::mpsc::channel(1);
    Response::new(ResponseBody::Stream(pieces))
}
