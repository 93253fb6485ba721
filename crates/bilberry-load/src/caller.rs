//! Callers that measure what they get.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::header::AUTHORIZATION;
use hyper::header::RETRY_AFTER;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;

/// What a caller got.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// The status; zero if the connection failed.
    pub status: u16,
    /// Whether the answer was whole.
    pub whole: bool,
    /// The time until the first text.
    pub ttft: Duration,
    /// The time until the end.
    pub total: Duration,
    /// The text.
    pub text: String,
    /// The code of the error, in place of the answer or within it.
    pub code: String,
    /// The name of the request.
    pub request: String,
    /// Whether a refusal said when to come back.
    pub retry_after: bool,
    /// The prompt's tokens.
    pub prompt_tokens: u64,
    /// The prompt's tokens that were cached.
    pub cached_tokens: u64,
}

/// A caller that reuses its connections.
#[derive(Debug, Clone)]
pub struct Caller {
    http: Client<HttpConnector, Full<Bytes>>,
}

impl Caller {
    /// Creates a caller.
    pub fn new() -> Self {
        Self { http: Client::builder(TokioExecutor::new()).build_http() }
    }

    /// Asks for a streamed completion and reads it to its end.
    pub async fn complete(
        &self,
        entry: SocketAddr,
        key: &str,
        model: &str,
        prompt: &str,
        tokens: u32,
    ) -> Outcome {
        let body = json!({
            "model": model, "prompt": prompt, "max_tokens": tokens, "stream": true,
            "stream_options": { "include_usage": true }, "user": key,
        });
        let request = Request::post(format!("http://{entry}/v1/completions"))
            .header(AUTHORIZATION, format!("Bearer {key}"))
            .body(Full::new(Bytes::from(body.to_string())));
        let Ok(request) = request else { return Outcome::default() };
        let started = Instant::now();
        let Ok(answer) = self.http.request(request).await else {
            return Outcome { total: started.elapsed(), ..Outcome::default() };
        };
        let header = |name: &str| {
            let value = answer.headers().get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_string()
        };
        let mut outcome = Outcome {
            status: answer.status().as_u16(),
            request: header("x-request-id"),
            retry_after: answer.headers().contains_key(RETRY_AFTER),
            ..Outcome::default()
        };
        let mut body = answer.into_body();
        let mut held = Vec::new();
        while let Some(Ok(frame)) = body.frame().await {
            held.extend_from_slice(&frame.into_data().unwrap_or_default());
            take_events(&mut held, &mut outcome, started);
        }
        outcome.total = started.elapsed();
        if let Some(code) = code_of(&held) {
            outcome.code = code;
        }
        outcome
    }
}

impl Default for Caller {
    fn default() -> Self {
        Self::new()
    }
}

fn take_events(held: &mut Vec<u8>, outcome: &mut Outcome, started: Instant) {
    while let Some(end) = held.windows(2).position(|two| two == b"\n\n") {
        let event: Vec<u8> = held.drain(..end + 2).collect();
        let event = String::from_utf8_lossy(&event);
        match event.trim().strip_prefix("data: ") {
            Some("[DONE]") => outcome.whole = true,
            Some(data) => take_event(data, outcome, started),
            None => {}
        }
    }
}

fn take_event(data: &str, outcome: &mut Outcome, started: Instant) {
    let event: Value = serde_json::from_str(data).unwrap_or_default();
    if let Some(code) = event["error"]["code"].as_str() {
        outcome.code = code.to_string();
    }
    let choice = &event["choices"][0];
    let text = choice["text"].as_str().or(choice["delta"]["content"].as_str());
    if let Some(text) = text.filter(|text| !text.is_empty()) {
        if outcome.text.is_empty() {
            outcome.ttft = started.elapsed();
        }
        outcome.text.push_str(text);
    }
    if let Some(tokens) = event["usage"]["prompt_tokens"].as_u64() {
        let details = &event["usage"]["prompt_tokens_details"];
        outcome.prompt_tokens = tokens;
        outcome.cached_tokens = details["cached_tokens"].as_u64().unwrap_or(0);
    }
}

/// Returns the code of an error that came in place of a stream.
fn code_of(body: &[u8]) -> Option<String> {
    let error: Value = serde_json::from_slice(body).ok()?;
    Some(error["error"]["code"].as_str()?.to_string())
}
