//! Rendering of chat messages into text for matching cached prefixes.

use serde_json::Value;

/// Renders the messages of a chat as text.
///
/// The text is not sent to engines, which apply their own templates. It only has to
/// map equal leading messages to equal prefixes.
pub fn render_prompt(messages: &[Value]) -> String {
    let mut text = String::new();
    for message in messages {
        text.push_str(message["role"].as_str().unwrap_or("user"));
        text.push('\n');
        push_content(&mut text, &message["content"]);
        text.push('\n');
    }
    text
}

fn push_content(text: &mut String, content: &Value) {
    match content {
        Value::String(content) => text.push_str(content),
        Value::Array(parts) => {
            for part in parts {
                text.push_str(part["text"].as_str().unwrap_or_default());
            }
        }
        _ => {}
    }
}
