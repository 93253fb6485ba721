//! The administration API, which has its own address and requires a token.

use std::sync::Arc;
use std::time::Duration;

use bilberry_config::Administrator;
use bilberry_config::Folder;
use bilberry_core::Name;
use bilberry_node::BodyLimits;
use bilberry_node::ClientBody;
use bilberry_node::HttpHandler;
use bilberry_node::ResponseBody;
use bilberry_node::json_response;
use bilberry_node::read_body;
use bilberry_platform::Platform;
use bilberry_wire::Body;
use bilberry_wire::DrainRequest;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use serde::Serialize;

use crate::ApiError;
use crate::Entry;
use crate::ErrorKind;
use crate::UpstreamProber;
use crate::auth::bearer;
use crate::auth::hash_secret;
use crate::fleet::fleet_events;
use crate::fleet::fleet_status;

/// The maximum size of a configuration folder.
const MAX_FOLDER_BYTES: usize = 64 * 1024 * 1024;

/// The maximum time for receiving a configuration folder.
const FOLDER_TIMEOUT_MS: u64 = 30_000;

/// How many times its size a folder is held while it is checked.
const FOLDER_COPIES: u64 = 3;

/// The time to wait for the answer of a sidecar to a drain request.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Serves the administration API of an entry.
#[derive(Debug)]
pub struct Admin<P: Platform, K: UpstreamProber> {
    entry: Arc<Entry<P, K>>,
    administrators: Vec<Administrator>,
}

#[derive(Serialize)]
struct DrainStatus {
    upstream: String,
    in_progress: u64,
}

impl<P: Platform, K: UpstreamProber> Admin<P, K> {
    /// Creates the handler.
    pub fn new(entry: Arc<Entry<P, K>>, administrators: Vec<Administrator>) -> Self {
        Self { entry, administrators }
    }

    async fn dispatch(
        &self,
        request: Request<ClientBody>,
    ) -> Result<Response<ResponseBody>, ApiError> {
        let author = self.authorise(request.headers())?;
        let method = request.method().clone();
        let path = request.uri().path().to_string();
        let entry = &self.entry;
        let segments: Vec<_> = path.trim_start_matches('/').split('/').collect();
        match (method, segments.as_slice()) {
            (Method::POST, ["v1", "config", "check" | "diff"]) => {
                let folder = read_folder(request).await?;
                ok(&entry.diff_config(&author, folder).await?)
            }
            (Method::POST, ["v1", "config", "apply"]) => {
                let folder = read_folder(request).await?;
                ok(&entry.apply_config(&author, folder).await?)
            }
            (Method::GET, ["v1", "config", "history"]) => ok(&entry.config_history()),
            (Method::GET, ["v1", "status"]) => {
                ok(&fleet_status(&entry.node, &entry.links).await)
            }
            (Method::GET, ["v1", "timeline"]) => {
                ok(&fleet_events(&entry.node, &entry.links, "").await)
            }
            (Method::GET, ["v1", "timeline" | "explain", id]) => {
                ok(&fleet_events(&entry.node, &entry.links, id).await)
            }
            (Method::POST, ["v1", "upstreams", upstream, "drain"]) => {
                ok(&self.drain(upstream).await?)
            }
            _ => {
                let message = "there is no such path; see the administration page";
                Err(ApiError::not_run(ErrorKind::NotFound, "unknown_path", message))
            }
        }
    }

    /// Returns the owner whose configuration pieces the token may change.
    fn authorise(&self, headers: &HeaderMap) -> Result<Name, ApiError> {
        let hash = bearer(headers).map(hash_secret).unwrap_or_default();
        let known = self.administrators.iter().find(|admin| admin.token_hash == hash);
        known.map(|admin| admin.owner.clone()).ok_or_else(|| {
            let message = "the token is missing or unknown; send `Authorization: \
                           Bearer TOKEN`";
            ApiError::not_run(ErrorKind::Unauthenticated, "invalid_token", message)
        })
    }

    async fn drain(&self, upstream: &str) -> Result<DrainStatus, ApiError> {
        let members = self.entry.node.members.current();
        let sidecar = members.sidecars.get(&Name::from(upstream)).ok_or_else(|| {
            let message = format!("no sidecar of `{upstream}` is known; see `status`");
            ApiError::not_run(ErrorKind::NotFound, "upstream_not_found", message)
        })?;
        let ask = Body::DrainRequest(DrainRequest { upstream: upstream.to_string() });
        match self.entry.links.ask(sidecar.address, ask, DRAIN_TIMEOUT).await {
            Ok(Body::DrainResponse(answer)) => {
                // This entry stops routing to the upstream immediately; other entries
                // learn of the drain from the sidecar's answers and the exchange of
                // members between peers.
                let is_drained = |m: &bilberry_wire::Member| m.upstream == upstream;
                self.entry.node.members.mark_leaving(is_drained);
                let in_progress = answer.in_progress;
                Ok(DrainStatus { upstream: upstream.to_string(), in_progress })
            }
            _ => {
                let message = format!("the sidecar of `{upstream}` did not answer");
                Err(ApiError::may_have_run("sidecar_silent", message).retry_after(1_000))
            }
        }
    }
}

impl<P: Platform, K: UpstreamProber> HttpHandler for Admin<P, K> {
    async fn handle(
        self: Arc<Self>,
        request: Request<ClientBody>,
    ) -> Response<ResponseBody> {
        match self.dispatch(request).await {
            Ok(response) => response,
            Err(error) => error.response(),
        }
    }
}

async fn read_folder(request: Request<ClientBody>) -> Result<Folder, ApiError> {
    let refuse = |message| ApiError::not_run(ErrorKind::Invalid, "invalid_body", message);
    let limits = BodyLimits {
        max_bytes: MAX_FOLDER_BYTES,
        timeout_ms: FOLDER_TIMEOUT_MS,
        copies: FOLDER_COPIES,
    };
    let body = read_body(request.into_body(), limits).await;
    let body = body.map_err(|error| refuse(error.to_string()))?;
    serde_json::from_slice(&body.to_bytes()).map_err(|error| {
        refuse(format!("the body is no folder: {error}; send {{\"files\": [...]}}"))
    })
}

fn ok<T: Serialize>(value: &T) -> Result<Response<ResponseBody>, ApiError> {
    Ok(json_response(StatusCode::OK, value))
}
