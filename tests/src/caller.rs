//! Client of an entry.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;

use crate::Reply;
use crate::http::open;
use crate::send;

/// A client that authenticates with its customer's API key.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Address of the entry.
    pub entry: SocketAddr,
    /// API key of the customer.
    pub key: String,
}

/// The part of a streamed completion that the caller has received.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Answer {
    /// The HTTP status code.
    pub status: u16,
    /// The concatenated completion text.
    pub text: String,
    /// Whether the `[DONE]` event has arrived.
    pub done: bool,
    /// The error, sent either as the response body or as an event of the stream.
    pub error: Option<Value>,
    /// The value of the `Retry-After` header.
    pub retry_after: Option<String>,
    /// Whether the connection failed before the end of the body.
    pub broken: bool,
}

impl Answer {
    /// Returns a string field of the error, or an empty string.
    pub fn error_field(&self, name: &str) -> &str {
        let error = self.error.as_ref();
        error.and_then(|error| error[name].as_str()).unwrap_or("")
    }
}

/// A streamed completion that is being read.
#[derive(Debug)]
pub struct Streaming {
    body: Option<Incoming>,
    buffer: Vec<u8>,
    answer: Answer,
}

impl Caller {
    /// Creates a client with an API key.
    pub fn new(entry: SocketAddr, key: &str) -> Self {
        Self { entry, key: key.to_string() }
    }

    /// Requests a streamed completion and reads it to the end.
    pub async fn complete(&self, prompt: &str, tokens: u32) -> Answer {
        self.start(prompt, tokens).await.finish().await
    }

    /// Requests a streamed completion and returns once the response head has arrived.
    pub async fn start(&self, prompt: &str, tokens: u32) -> Streaming {
        let body = json!({
            "model": "m", "prompt": prompt, "max_tokens": tokens, "stream": true,
            "user": self.key,
        });
        let url = format!("http://{}/v1/completions", self.entry);
        let authorization = format!("Bearer {}", self.key);
        let headers = [("authorization", authorization.as_str())];
        match open("POST", &url, &headers, body.to_string().into()).await {
            Ok(answer) => {
                let status = answer.status().as_u16();
                let retry_after = answer.headers().get("retry-after");
                let retry_after = retry_after.and_then(|value| value.to_str().ok());
                let retry_after = retry_after.map(str::to_string);
                Streaming {
                    body: Some(answer.into_body()),
                    buffer: Vec::new(),
                    answer: Answer { status, retry_after, ..Answer::default() },
                }
            }
            Err(_) => Streaming {
                body: None,
                buffer: Vec::new(),
                answer: Answer { broken: true, ..Answer::default() },
            },
        }
    }

    /// Sends a request with the caller's API key.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Reply, String> {
        let authorization = format!("Bearer {}", self.key);
        let mut all = vec![("authorization", authorization.as_str())];
        all.extend_from_slice(headers);
        send(method, &format!("http://{}{path}", self.entry), &all, body).await
    }

    /// Calls the non-idempotent path of the service with an idempotency key.
    pub async fn call_with_key(&self, key: &str, body: &str) -> Result<Reply, String> {
        self.send(
            "POST",
            "/services/s/run",
            &[("idempotency-key", key)],
            body.to_string(),
        )
        .await
    }
}

impl Streaming {
    /// Returns what has been received so far.
    pub fn received(&self) -> &Answer {
        &self.answer
    }

    /// Reads until at least `tokens` tokens have arrived or the stream ends.
    pub async fn read_tokens(&mut self, tokens: usize) {
        while self.answer.text.split_whitespace().count() < tokens {
            if !self.read_frame().await {
                return;
            }
        }
    }

    /// Reads the stream to the end.
    pub async fn finish(mut self) -> Answer {
        while self.read_frame().await {}
        self.answer
    }

    async fn read_frame(&mut self) -> bool {
        let Some(body) = &mut self.body else { return false };
        match body.frame().await {
            Some(Ok(frame)) => {
                let data = frame.into_data().unwrap_or_default();
                self.buffer.extend_from_slice(&data);
                self.parse_events();
                true
            }
            Some(Err(_)) => {
                self.answer.broken = true;
                false
            }
            None => {
                self.parse_error_body();
                false
            }
        }
    }

    fn parse_events(&mut self) {
        while let Some(end) = self.buffer.windows(2).position(|two| two == b"\n\n") {
            let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let event = String::from_utf8_lossy(&event);
            match event.trim().strip_prefix("data: ") {
                Some("[DONE]") => self.answer.done = true,
                Some(data) => self.apply_event(data),
                None => {}
            }
        }
    }

    fn apply_event(&mut self, data: &str) {
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        let text = event["choices"][0]["text"].as_str().unwrap_or_default();
        self.answer.text.push_str(text);
        if !event["error"].is_null() {
            self.answer.error = Some(event["error"].clone());
        }
    }

    /// Parses an error that was sent as the response body.
    fn parse_error_body(&mut self) {
        let rest: Value = serde_json::from_slice(&self.buffer).unwrap_or_default();
        if !rest["error"].is_null() {
            self.answer.error = Some(rest["error"].clone());
        }
    }
}
