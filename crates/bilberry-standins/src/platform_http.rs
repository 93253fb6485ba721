//! The HTTP interface of the stand-in platform.

use std::sync::Arc;
use std::time::Duration;

use bilberry_node::ClientBody;
use bilberry_node::HttpHandler;
use bilberry_node::ResponseBody;
use bilberry_node::json_response;
use bilberry_platform::HostEntry;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use serde::Deserialize;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::PlatformFaults;
use crate::PlatformStandin;
use crate::server::cut;
use crate::server::json as read_json;
use crate::server::ok;
use crate::server::status;
use crate::server::whole;

/// The largest value.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct HostsOrder {
    lag_ms: u64,
    hosts: Vec<HostEntry>,
}

impl HttpHandler for PlatformStandin {
    async fn handle(
        self: Arc<Self>,
        request: Request<ClientBody>,
    ) -> Response<ResponseBody> {
        let path = request.uri().path().to_string();
        if path.starts_with("/standin/") {
            return self.answer_standin(&path, request).await;
        }
        let faults = self.store.lock().unwrap().faults.clone();
        if faults.hang {
            std::future::pending::<()>().await;
        }
        if faults.down {
            return status(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        match (request.method().clone(), path.as_str()) {
            (Method::GET, "/v1/list") => self.answer_list(&request),
            (Method::GET, "/v1/watch") => self.answer_watch(&request).await,
            (Method::GET, "/v1/hosts") => self.answer_hosts(),
            (method, path) => match path.strip_prefix("/v1/objects/") {
                Some(key) => self.answer_object(method, key, request).await,
                None => status(StatusCode::NOT_FOUND, "no such path"),
            },
        }
    }
}

impl PlatformStandin {
    async fn answer_standin(
        &self,
        path: &str,
        request: Request<ClientBody>,
    ) -> Response<ResponseBody> {
        match path {
            "/standin/faults" => {
                self.set_faults(read_json::<PlatformFaults>(request).await);
                // Waiting watches end with the fault, as they would in an outage.
                self.changed.send_modify(|_| {});
                ok(&true)
            }
            "/standin/hosts" => {
                let order: HostsOrder = read_json(request).await;
                let from = Instant::now() + Duration::from_millis(order.lag_ms);
                self.store.lock().unwrap().hosts.push((from, order.hosts));
                ok(&true)
            }
            "/standin/copy" => {
                self.keep_copy();
                ok(&true)
            }
            "/standin/return" => {
                self.come_back();
                ok(&true)
            }
            "/standin/counters" => ok(&self.counters()),
            _ => status(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn answer_object(
        &self,
        method: Method,
        key: &str,
        request: Request<ClientBody>,
    ) -> Response<ResponseBody> {
        if method == Method::GET {
            let mut store = self.store.lock().unwrap();
            store.counters.reads += 1;
            let found = store.objects.get(key).filter(|o| o.value.is_some());
            return match found {
                Some(object) => ok(object),
                None => status(StatusCode::NOT_FOUND, "no such object"),
            };
        }
        let expected = number(&request, "if_version");
        let value = match method {
            Method::PUT => Some(whole(request).await),
            _ => None,
        };
        if value.as_ref().is_some_and(|value| value.len() > MAX_VALUE_BYTES) {
            return status(StatusCode::PAYLOAD_TOO_LARGE, "over a megabyte");
        }
        let value = value.map(|value| String::from_utf8_lossy(&value).into_owned());
        match self.write(key, value, expected) {
            Ok(_) if self.loses_answer(key) => cut(),
            Ok(version) => ok(&json!({ "version": version })),
            Err(version) => {
                json_response(StatusCode::CONFLICT, &json!({ "version": version }))
            }
        }
    }

    fn loses_answer(&self, key: &str) -> bool {
        let mut store = self.store.lock().unwrap();
        let faults = &mut store.faults;
        if faults.lose_answers == 0 || !key.starts_with(&faults.lose_prefix) {
            return false;
        }
        faults.lose_answers -= 1;
        true
    }

    fn answer_list(&self, request: &Request<ClientBody>) -> Response<ResponseBody> {
        self.store.lock().unwrap().counters.lists += 1;
        ok(&self.listing(&text(request, "prefix"), 0))
    }

    async fn answer_watch(
        &self,
        request: &Request<ClientBody>,
    ) -> Response<ResponseBody> {
        self.store.lock().unwrap().counters.watches += 1;
        let prefix = text(request, "prefix");
        let after = number(request, "after");
        let wait = Duration::from_millis(number(request, "wait_ms"));
        let until = Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            let listing = self.listing(&prefix, after);
            if self.store.lock().unwrap().faults.down {
                return status(StatusCode::SERVICE_UNAVAILABLE, "down");
            }
            let waited = match listing.objects.is_empty() {
                true => timeout_at(until, changed.changed()).await.is_err(),
                false => true,
            };
            if waited {
                return ok(&listing);
            }
        }
    }

    fn answer_hosts(&self) -> Response<ResponseBody> {
        let mut store = self.store.lock().unwrap();
        store.counters.hosts += 1;
        let now = Instant::now();
        let visible = store.hosts.iter().rev().find(|(from, _)| *from <= now);
        ok(&visible.map(|(_, hosts)| hosts.clone()).unwrap_or_default())
    }
}

fn text(request: &Request<ClientBody>, name: &str) -> String {
    let query = request.uri().query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.into_iter().find(|(key, _)| *key == name);
    found.map(|(_, value)| value.to_string()).unwrap_or_default()
}

fn number(request: &Request<ClientBody>, name: &str) -> u64 {
    text(request, name).parse().unwrap_or(0)
}
