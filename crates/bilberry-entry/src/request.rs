//! Parsing of completion requests.

use bilberry_core::Name;
use bytes::Bytes;
use serde_json::Map;
use serde_json::Value;

use crate::ApiError;
use crate::ErrorKind;
use crate::render_prompt;

/// Fields of engine requests that callers cannot set.
///
/// With a salt of its choice, a caller could access cached blocks of another
/// customer; with a priority of its choice, it could overtake other customers.
const RESERVED_FIELDS: [&str; 5] =
    ["cache_salt", "priority", "resume_text", "stream", "stream_options"];

/// The maximum number of output tokens that a caller may request.
const MAX_OUTPUT_TOKENS: u64 = 65_536;

/// The API of a completion request.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum CompletionStyle {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// A parsed completion request.
#[derive(Debug, Clone)]
pub struct CompletionRequest {
    /// The API.
    pub style: CompletionStyle,
    /// The model.
    pub model: Name,
    /// The prompt text, for matching cached prefixes.
    pub prompt: String,
    /// The JSON object for the engine, without reserved fields.
    pub body: Bytes,
    /// Whether the response is streamed.
    pub stream: bool,
    /// Whether the stream ends with the token usage.
    pub include_usage: bool,
    /// The maximum number of output tokens, if set by the caller.
    pub max_tokens: Option<u32>,
}

impl CompletionStyle {
    /// Returns the path of the API.
    pub fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }
}

impl CompletionRequest {
    /// Parses the body of a request.
    pub fn parse(style: CompletionStyle, body: &[u8]) -> Result<Self, ApiError> {
        let text = std::str::from_utf8(body).map_err(|_| {
            invalid("invalid_utf8", "the body is not UTF-8; encode it so")
        })?;
        let mut fields: Map<String, Value> =
            serde_json::from_str(text).map_err(|error| {
                let message =
                    format!("the body is no JSON object: {error}; correct it there");
                invalid("invalid_json", message)
            })?;
        let model = string_field(&fields, "model")?;
        let prompt = match style {
            CompletionStyle::Chat => render_prompt(messages(&fields)?),
            CompletionStyle::Text => string_field(&fields, "prompt")?,
        };
        let stream = bool_field(&fields, "stream")?;
        let include_usage =
            fields.get("stream_options").and_then(|o| o["include_usage"].as_bool());
        let max_tokens = max_tokens(&fields)?;
        for field in RESERVED_FIELDS {
            fields.remove(field);
        }
        let body = serde_json::to_vec(&fields).expect("a parsed object is serializable");
        Ok(Self {
            style,
            model: model.into(),
            prompt,
            body: body.into(),
            stream,
            include_usage: include_usage.unwrap_or(false),
            max_tokens,
        })
    }
}

fn messages(fields: &Map<String, Value>) -> Result<&[Value], ApiError> {
    let list = fields.get("messages").and_then(Value::as_array);
    let list = list.filter(|list| !list.is_empty() && list.iter().all(Value::is_object));
    list.map(Vec::as_slice).ok_or_else(|| {
        let message = "`messages` must be a list of objects with `role` and `content`";
        invalid("invalid_messages", message)
    })
}

fn string_field(fields: &Map<String, Value>, name: &str) -> Result<String, ApiError> {
    match fields.get(name) {
        Some(Value::String(text)) if !text.is_empty() => Ok(text.clone()),
        Some(_) => {
            let message = format!("`{name}` must be a string that is not empty");
            Err(invalid("invalid_field", message))
        }
        None => {
            let message = format!("`{name}` is missing; add it to the body");
            Err(invalid("missing_field", message))
        }
    }
}

fn bool_field(fields: &Map<String, Value>, name: &str) -> Result<bool, ApiError> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(value)) => Ok(*value),
        Some(_) => {
            let message = format!("`{name}` must be true or false");
            Err(invalid("invalid_field", message))
        }
    }
}

fn max_tokens(fields: &Map<String, Value>) -> Result<Option<u32>, ApiError> {
    let given = fields.get("max_completion_tokens").or_else(|| fields.get("max_tokens"));
    match given {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_u64() {
            Some(tokens @ 1..=MAX_OUTPUT_TOKENS) => Ok(Some(tokens as u32)),
            _ => {
                let message = format!(
                    "`max_tokens` must be a whole number in 1 to {MAX_OUTPUT_TOKENS}"
                );
                Err(invalid("invalid_field", message))
            }
        },
    }
}

fn invalid(code: &str, message: impl Into<String>) -> ApiError {
    ApiError::not_run(ErrorKind::Invalid, code, message)
}
