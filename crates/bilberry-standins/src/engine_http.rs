//! The HTTP interface of the stand-in engine.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bilberry_node::BodyChunk;
use bilberry_node::ClientBody;
use bilberry_node::HttpHandler;
use bilberry_node::ResponseBody;
use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::EngineFaults;
use crate::EngineStandin;
use crate::answer::count_tokens;
use crate::answer::prompt_seed;
use crate::answer::token;
use crate::server::json as read_json;
use crate::server::ok;
use crate::server::status;

/// How many tokens an answer has when the request does not say.
const DEFAULT_TOKENS: u32 = 16;

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Ask {
    prompt: String,
    messages: Vec<Value>,
    max_tokens: Option<u32>,
    cache_salt: String,
    resume_text: String,
    user: String,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Order {
    weights: String,
    fencing: u64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Look {
    salt: String,
    prompt: String,
}

impl HttpHandler for EngineStandin {
    async fn handle(
        self: Arc<Self>,
        request: Request<ClientBody>,
    ) -> Response<ResponseBody> {
        match (request.method().clone(), request.uri().path()) {
            (Method::POST, "/v1/completions") => self.complete(request, false).await,
            (Method::POST, "/v1/chat/completions") => self.complete(request, true).await,
            (Method::GET, "/v1/engine") => self.describe(),
            (Method::GET, "/v1/cache/events") => self.follow(),
            (Method::GET, "/v1/cache/blocks") => self.snapshot(),
            (Method::POST, "/v1/orders/load") => self.order(request).await,
            (Method::PUT, "/standin/faults") => {
                self.set_faults(read_json::<EngineFaults>(request).await);
                ok(&true)
            }
            (Method::POST, "/standin/crash") => {
                self.crash();
                ok(&true)
            }
            (Method::POST, "/standin/look") => {
                let look: Look = read_json(request).await;
                ok(&EngineStandin::look(&self, &look.salt, &look.prompt))
            }
            (Method::GET, "/standin/counters") => ok(&self.counters()),
            _ => status(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

impl EngineStandin {
    fn describe(&self) -> Response<ResponseBody> {
        let state = self.state.lock().unwrap();
        ok(&json!({
            "incarnation": state.incarnation,
            "weights": state.weights,
            "max_running": self.traits.max_running,
            "running": state.counters.running,
        }))
    }

    fn snapshot(&self) -> Response<ResponseBody> {
        let state = self.state.lock().unwrap();
        ok(&json!({
            "incarnation": state.incarnation,
            "next_sequence": state.sequence,
            "blocks": state.cache.all(),
        }))
    }

    async fn order(&self, request: Request<ClientBody>) -> Response<ResponseBody> {
        let order: Order = read_json(request).await;
        match self.load(&order.weights, order.fencing).await {
            Ok(()) => ok(&true),
            Err(highest) => {
                let text = format!("fencing number {highest} was seen");
                status(StatusCode::CONFLICT, &text)
            }
        }
    }

    /// Publishes cache events, each held back by the lag.
    fn follow(self: Arc<Self>) -> Response<ResponseBody> {
        let (pieces, body) = mpsc::channel(64);
        let mut events = self.events.subscribe();
        let lag = Duration::from_millis(self.traits.event_lag_ms);
        let generation = self.generation.load(Ordering::SeqCst);
        tokio::spawn(async move {
            let mut held = VecDeque::new();
            loop {
                let due = held.front().map(|(at, _): &(Instant, _)| *at);
                let wait = async {
                    match due {
                        Some(at) => tokio::time::sleep_until(at).await,
                        None => std::future::pending().await,
                    }
                };
                tokio::select! {
                    event = events.recv() => match event {
                        Ok(event) => held.push_back((Instant::now() + lag, event)),
                        Err(RecvError::Lagged(_)) => {}
                        Err(RecvError::Closed) => return,
                    },
                    () = wait => {}
                }
                let now = Instant::now();
                let mut lines = Vec::new();
                while held.front().is_some_and(|(at, _)| *at <= now) {
                    let Some((_, event)) = held.pop_front() else { break };
                    lines.extend(serde_json::to_vec(&event).unwrap_or_default());
                    lines.push(b'\n');
                }
                if self.generation.load(Ordering::SeqCst) != generation {
                    return;
                }
                let lines = BodyChunk::Data(Bytes::from(lines));
                if due.is_some_and(|at| at <= now) && pieces.send(lines).await.is_err() {
                    return;
                }
            }
        });
        Response::new(ResponseBody::Stream(body))
    }

    async fn complete(
        self: Arc<Self>,
        request: Request<ClientBody>,
        is_chat: bool,
    ) -> Response<ResponseBody> {
        let faults = self.faults();
        if faults.fail_fast {
            return status(StatusCode::INTERNAL_SERVER_ERROR, "fails fast");
        }
        let mut ask: Ask = read_json(request).await;
        if is_chat {
            ask.prompt = bilberry_entry::render_prompt(&ask.messages);
        }
        tokio::time::sleep(Duration::from_millis(faults.hold_ms)).await;
        let (pieces, body) = mpsc::channel(64);
        let engine = self.clone();
        // The weights stay as the head names them until the answer has ended.
        let steady = self.loading.clone().read_owned().await;
        let (incarnation, weights) = {
            let mut state = self.state.lock().unwrap();
            state.counters.runs += 1;
            (state.incarnation, state.weights.clone())
        };
        let response = Response::builder()
            .header("content-type", "text/event-stream")
            .header("x-engine-incarnation", incarnation)
            .header("x-engine-weights", &weights)
            .body(ResponseBody::Stream(body));
        tokio::spawn(async move {
            let done = engine.generate(ask, is_chat, &weights, &pieces).await;
            drop(steady);
            let mut state = engine.state.lock().unwrap();
            match done {
                true => state.counters.finished += 1,
                false => state.counters.cancelled += 1,
            }
        });
        response.expect("constant headers are valid")
    }

    /// Generates an answer; returns false if it was not sent to its end.
    async fn generate(
        &self,
        ask: Ask,
        is_chat: bool,
        weights: &str,
        pieces: &mpsc::Sender<BodyChunk>,
    ) -> bool {
        let generation = self.generation.load(Ordering::SeqCst);
        let Ok(_place) = self.places.acquire().await else { return false };
        let _running = Running::new(self);
        let prefilled = tokio::select! {
            prefilled = self.prefill(&ask.cache_salt, &ask.prompt, &ask.user) => prefilled,
            () = pieces.closed() => return false,
        };
        // An answer that is computed from blocks of other weights or another user differs.
        let seed = prompt_seed(&ask.prompt, weights).wrapping_add(prefilled.violations);
        let most = ask.max_tokens.unwrap_or(DEFAULT_TOKENS);
        let first = count_tokens(&ask.resume_text);
        let EngineFaults { cut_after, end_after, .. } = self.faults();
        for at in first..most {
            if cut_after > 0 && at - first >= cut_after {
                return false;
            }
            if end_after > 0 && at - first >= end_after {
                let _ = pieces.send(BodyChunk::End).await;
                return false;
            }
            self.work(self.traits.token_us as f64).await;
            if self.generation.load(Ordering::SeqCst) != generation {
                return false;
            }
            if !send(pieces, &chunk(is_chat, &token(seed, at), None)).await {
                return false;
            }
        }
        let usage = json!({
            "choices": [],
            "usage": {
                "prompt_tokens": prefilled.prompt_tokens,
                "completion_tokens": most,
                "prompt_tokens_details": { "cached_tokens": prefilled.cached_tokens },
            },
        });
        let is_sent = send(pieces, &chunk(is_chat, "", Some("length"))).await
            && send(pieces, &usage).await
            && pieces.send(BodyChunk::Data("data: [DONE]\n\n".into())).await.is_ok()
            && pieces.send(BodyChunk::End).await.is_ok();
        if is_sent {
            self.state.lock().unwrap().counters.violations += prefilled.violations;
        }
        is_sent
    }
}

/// Counts a request as running for as long as it lives.
struct Running<'a> {
    engine: &'a EngineStandin,
    generation: u64,
}

impl<'a> Running<'a> {
    fn new(engine: &'a EngineStandin) -> Self {
        engine.state.lock().unwrap().counters.running += 1;
        Self { engine, generation: engine.generation.load(Ordering::SeqCst) }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        if self.engine.generation.load(Ordering::SeqCst) == self.generation {
            self.engine.state.lock().unwrap().counters.running -= 1;
        }
    }
}

fn chunk(is_chat: bool, text: &str, reason: Option<&str>) -> Value {
    match is_chat {
        true => json!({
            "choices": [{ "index": 0, "delta": { "content": text },
                "finish_reason": reason }],
        }),
        false => json!({
            "choices": [{ "index": 0, "text": text, "finish_reason": reason }],
        }),
    }
}

async fn send(pieces: &mpsc::Sender<BodyChunk>, value: &Value) -> bool {
    let line = format!("data: {value}\n\n");
    pieces.send(BodyChunk::Data(line.into())).await.is_ok()
}
