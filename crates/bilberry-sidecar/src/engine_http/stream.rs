//! Completion streams of an engine over HTTP, as server-sent events.

use bilberry_platform::FramedBody;
use serde::Deserialize;

use crate::EngineError;
use crate::EngineInfo;
use crate::EngineOutput;
use crate::EngineStream;
use crate::StreamEnd;
use crate::lines::Lines;

/// A completion in progress over HTTP.
#[derive(Debug)]
pub struct HttpStream {
    info: EngineInfo,
    lines: Lines,
    end: StreamEnd,
}

#[derive(Deserialize)]
struct StreamLine {
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
    #[serde(default)]
    delta: Delta,
    finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: String,
}

#[derive(Deserialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: PromptDetails,
}

#[derive(Default, Deserialize)]
struct PromptDetails {
    #[serde(default)]
    cached_tokens: u64,
}

impl HttpStream {
    /// Reads events from a response body.
    pub(super) fn new(info: EngineInfo, body: FramedBody) -> Self {
        Self { info, lines: Lines::new(body), end: StreamEnd::default() }
    }

    /// Processes an event; returns its text, if any.
    fn process(&mut self, data: &str) -> Result<Option<String>, EngineError> {
        let line: StreamLine =
            serde_json::from_str(data).map_err(|e| EngineError::Lost(e.to_string()))?;
        if let Some(usage) = line.usage {
            self.end.prompt_tokens = usage.prompt_tokens;
            self.end.completion_tokens = usage.completion_tokens;
            self.end.cached_tokens = usage.prompt_tokens_details.cached_tokens;
        }
        let Some(choice) = line.choices.into_iter().next() else { return Ok(None) };
        if let Some(reason) = choice.finish_reason {
            self.end.reason = reason;
        }
        let text =
            if choice.text.is_empty() { choice.delta.content } else { choice.text };
        Ok(Some(text).filter(|text| !text.is_empty()))
    }
}

impl EngineStream for HttpStream {
    fn info(&self) -> &EngineInfo {
        &self.info
    }

    async fn next(&mut self) -> Result<EngineOutput, EngineError> {
        loop {
            let line = self.lines.next().await.map_err(EngineError::Lost)?;
            // An engine that crashes may close its connection like one that has
            // finished. Only `[DONE]` marks a complete stream.
            let Some(line) = line else {
                return Err(EngineError::Lost("the stream has no end mark".into()));
            };
            match line.trim_end().strip_prefix("data: ") {
                None => {}
                Some("[DONE]") => return Ok(EngineOutput::End(self.end.clone())),
                Some(data) => {
                    if let Some(text) = self.process(data)? {
                        return Ok(EngineOutput::Text(text));
                    }
                }
            }
        }
    }
}
