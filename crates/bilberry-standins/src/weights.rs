//! A stand-in for the rate-limited weight store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bilberry_node::ClientBody;
use bilberry_node::HttpHandler;
use bilberry_node::ResponseBody;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::Request;
use hyper::Response;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;

use crate::server::ok;

/// A stand-in for the weight store; slower when too many load at once.
#[derive(Debug)]
pub struct WeightsStandin {
    load_ms: u64,
    at_once: usize,
    state: Mutex<Loads>,
}

#[derive(Debug, Clone, Default, Serialize)]
struct Loads {
    running: usize,
    most_running: usize,
    loads: u64,
}

impl WeightsStandin {
    /// Creates a store that serves `at_once` loads within `load_ms`.
    pub fn new(load_ms: u64, at_once: usize) -> Arc<Self> {
        Arc::new(Self { load_ms, at_once, state: Mutex::default() })
    }

    async fn load(&self) -> Response<ResponseBody> {
        let running = {
            let mut state = self.state.lock().unwrap();
            state.running += 1;
            state.loads += 1;
            state.most_running = state.most_running.max(state.running);
            state.running
        };
        let crowding = running.div_ceil(self.at_once) as u64;
        tokio::time::sleep(Duration::from_millis(self.load_ms * crowding)).await;
        self.state.lock().unwrap().running -= 1;
        ok(&true)
    }
}

impl HttpHandler for WeightsStandin {
    async fn handle(
        self: Arc<Self>,
        request: Request<ClientBody>,
    ) -> Response<ResponseBody> {
        match request.uri().path() {
            "/standin/counters" => ok(&self.state.lock().unwrap().clone()),
            _ => self.load().await,
        }
    }
}

/// Fetches weights, for an engine that was ordered to load them.
pub(crate) async fn fetch(store: SocketAddr, weights: &str) {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let uri = format!("http://{store}/weights/{weights}").parse();
    let Ok(uri) = uri else { return };
    if let Ok(answer) = client.get(uri).await {
        let _ = answer.into_body().collect().await;
    }
}
