//! Serialization of completions in the format of the OpenAI API.

use bilberry_core::Clock;
use bilberry_core::SystemClock;
use bilberry_wire::Finished;
use bytes::Bytes;
use serde::Serialize;

use crate::ApiError;
use crate::CompletionStyle;

/// Serializes the response to one completion request.
#[derive(Debug)]
pub(crate) struct CompletionWriter {
    style: CompletionStyle,
    id: String,
    model: String,
    created: u64,
}

#[derive(Serialize)]
struct Envelope<'a, C> {
    id: &'a str,
    object: &'a str,
    created: u64,
    model: &'a str,
    choices: Vec<C>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct ChatChunk<'a> {
    index: u32,
    delta: Delta<'a>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Serialize)]
struct TextChoice<'a> {
    index: u32,
    text: &'a str,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct ChatChoice<'a> {
    index: u32,
    message: Message<'a>,
    finish_reason: &'a str,
}

#[derive(Serialize)]
struct Message<'a> {
    role: &'a str,
    content: &'a str,
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
    prompt_tokens_details: PromptDetails,
}

#[derive(Serialize)]
struct PromptDetails {
    cached_tokens: u64,
}

impl CompletionWriter {
    pub(crate) fn new(style: CompletionStyle, id: &str, model: &str) -> Self {
        let prefix = match style {
            CompletionStyle::Chat => "chatcmpl",
            CompletionStyle::Text => "cmpl",
        };
        Self {
            style,
            id: format!("{prefix}-{id}"),
            model: model.to_string(),
            created: SystemClock.now().0 / 1_000,
        }
    }

    /// Returns the event for a piece of text.
    pub(crate) fn text(&self, text: &str, is_first: bool) -> Bytes {
        match self.style {
            CompletionStyle::Chat => {
                let role = is_first.then_some("assistant");
                self.chat_event(Delta { role, content: Some(text) }, None)
            }
            CompletionStyle::Text => self.text_event(text, None),
        }
    }

    /// Returns the events that complete a stream.
    pub(crate) fn end(&self, end: &Finished, include_usage: bool) -> Bytes {
        let last = match self.style {
            CompletionStyle::Chat => {
                self.chat_event(Delta { role: None, content: None }, Some(&end.reason))
            }
            CompletionStyle::Text => self.text_event("", Some(&end.reason)),
        };
        let mut events = last.to_vec();
        if include_usage {
            let no_choices: Vec<TextChoice> = Vec::new();
            events.extend(event(&self.envelope(
                self.chunk_object(),
                no_choices,
                Some(end),
            )));
        }
        events.extend_from_slice(b"data: [DONE]\n\n");
        events.into()
    }

    /// Returns the event that ends an interrupted stream.
    ///
    /// It is not followed by `[DONE]`, so a client that ignores the error does not
    /// mistake the stream for a complete one.
    pub(crate) fn error(&self, error: &ApiError) -> Bytes {
        event(&error.body())
    }

    /// Returns the body of a response that is not streamed.
    pub(crate) fn full_response(&self, text: &str, end: &Finished) -> Vec<u8> {
        let body = match self.style {
            CompletionStyle::Chat => {
                let message = Message { role: "assistant", content: text };
                let choice = ChatChoice { index: 0, message, finish_reason: &end.reason };
                let object = "chat.completion";
                serde_json::to_vec(&self.envelope(object, vec![choice], Some(end)))
            }
            CompletionStyle::Text => {
                let finish_reason = Some(end.reason.as_str());
                let choice = TextChoice { index: 0, text, finish_reason };
                let object = "text_completion";
                serde_json::to_vec(&self.envelope(object, vec![choice], Some(end)))
            }
        };
        body.expect("a completion is serializable")
    }

    fn chat_event(&self, delta: Delta<'_>, finish_reason: Option<&str>) -> Bytes {
        let choice = ChatChunk { index: 0, delta, finish_reason };
        event(&self.envelope(self.chunk_object(), vec![choice], None))
    }

    fn text_event(&self, text: &str, finish_reason: Option<&str>) -> Bytes {
        let choice = TextChoice { index: 0, text, finish_reason };
        event(&self.envelope(self.chunk_object(), vec![choice], None))
    }

    fn chunk_object(&self) -> &'static str {
        match self.style {
            CompletionStyle::Chat => "chat.completion.chunk",
            CompletionStyle::Text => "text_completion",
        }
    }

    fn envelope<'a, C>(
        &'a self,
        object: &'a str,
        choices: Vec<C>,
        end: Option<&Finished>,
    ) -> Envelope<'a, C> {
        let usage = end.map(|end| Usage {
            prompt_tokens: end.prompt_tokens,
            completion_tokens: end.completion_tokens,
            total_tokens: end.prompt_tokens + end.completion_tokens,
            prompt_tokens_details: PromptDetails { cached_tokens: end.cached_tokens },
        });
        Envelope {
            id: &self.id,
            object,
            created: self.created,
            model: &self.model,
            choices,
            usage,
        }
    }
}

/// Encodes a value as a server-sent event.
fn event<T: Serialize>(value: &T) -> Bytes {
    let mut bytes = b"data: ".to_vec();
    serde_json::to_writer(&mut bytes, value).expect("an event is serializable");
    bytes.extend_from_slice(b"\n\n");
    bytes.into()
}
