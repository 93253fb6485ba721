//! A stand-in for a plain service that counts its runs by key.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bilberry_node::ClientBody;
use bilberry_node::HttpHandler;
use bilberry_node::ResponseBody;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::server::cut;
use crate::server::json as read_json;
use crate::server::ok;
use crate::server::status;
use crate::server::whole;

/// The faults of a plain service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// Holds each call back before it runs.
    pub hold_ms: u64,
    /// Runs each call and then breaks off the answer.
    pub cut_after_run: bool,
    /// Fails each call before it runs.
    pub fail_fast: bool,
    /// Holds the answer back after the run.
    pub answer_after_ms: u64,
    /// Pads the answer by this many bytes.
    pub padding_bytes: usize,
}

/// What a plain service counts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceCounters {
    /// Runs by key; the path stands for calls without one.
    pub by_key: BTreeMap<String, u64>,
    /// All runs.
    pub runs: u64,
}

/// A stand-in for a plain service.
#[derive(Debug, Default)]
pub struct ServiceStandin {
    faults: Mutex<ServiceFaults>,
    counters: Mutex<ServiceCounters>,
}

impl ServiceStandin {
    /// Creates a service.
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Returns what it counted.
    pub fn counters(&self) -> ServiceCounters {
        self.counters.lock().unwrap().clone()
    }

    /// Sets its faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        *self.faults.lock().unwrap() = faults;
    }

    async fn run(&self, request: Request<ClientBody>) -> Response<ResponseBody> {
        let faults = self.faults.lock().unwrap().clone();
        if faults.fail_fast {
            return status(StatusCode::INTERNAL_SERVER_ERROR, "fails fast");
        }
        tokio::time::sleep(Duration::from_millis(faults.hold_ms)).await;
        let key = request.headers().get("idempotency-key");
        let key = key.and_then(|value| value.to_str().ok());
        let key = key.unwrap_or(request.uri().path()).to_string();
        let body = whole(request).await;
        let run = {
            let mut counters = self.counters.lock().unwrap();
            counters.runs += 1;
            let count = counters.by_key.entry(key.clone()).or_default();
            *count += 1;
            *count
        };
        tokio::time::sleep(Duration::from_millis(faults.answer_after_ms)).await;
        match faults.cut_after_run {
            true => cut(),
            false if faults.padding_bytes > 0 => {
                ok(&json!({ "key": key, "padding": "x".repeat(faults.padding_bytes) }))
            }
            false => ok(&json!({ "key": key, "run": run, "bytes": body.len() })),
        }
    }
}

impl HttpHandler for ServiceStandin {
    async fn handle(
        self: Arc<Self>,
        request: Request<ClientBody>,
    ) -> Response<ResponseBody> {
        match (request.method().clone(), request.uri().path()) {
            (Method::PUT, "/standin/faults") => {
                self.set_faults(read_json(request).await);
                ok(&true)
            }
            (Method::GET, "/standin/counters") => ok(&self.counters()),
            _ => self.run(request).await,
        }
    }
}
