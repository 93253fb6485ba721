//! Reading of the processes' JSON log lines.

use std::path::PathBuf;

use serde::Deserialize;
use serde_json::Map;
use serde_json::Value;

use crate::error::CtlError;

/// The lines of a set of log files, sorted by time.
#[derive(Debug, Default)]
pub(crate) struct Logs {
    pub lines: Vec<LogLine>,
    /// The lines that could not be parsed, as file, line number and reason.
    pub unreadable: Vec<String>,
}

/// A log line.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct LogLine {
    /// The time at which it was written, by its host's clock.
    pub unix_ms: u64,
    /// The process that wrote it.
    #[serde(default)]
    pub process: String,
    /// The log target.
    #[serde(default)]
    pub target: String,
    /// The log message.
    #[serde(default)]
    pub message: String,
    /// All other fields.
    #[serde(flatten)]
    pub fields: Map<String, Value>,
}

impl Logs {
    /// Reads files; lines that can't be parsed are skipped and recorded.
    pub(crate) fn read(files: &[PathBuf]) -> Result<Self, CtlError> {
        let mut logs = Self::default();
        for file in files {
            let name = file.display().to_string();
            let bytes = std::fs::read(file).map_err(|error| CtlError::Logs {
                file: name.clone(),
                reason: error.to_string(),
            })?;
            // A log can end in the middle of a character if the process was killed.
            let text = String::from_utf8_lossy(&bytes);
            for (number, line) in text.lines().enumerate() {
                logs.add_line(&name, number + 1, line);
            }
        }
        logs.lines.sort_by_key(|line| line.unix_ms);
        Ok(logs)
    }

    fn add_line(&mut self, file: &str, number: usize, text: &str) {
        if text.trim().is_empty() {
            return;
        }
        // Log collectors may prefix lines with a time and a host.
        let start = text.find('{').unwrap_or_default();
        match serde_json::from_str(&text[start..]) {
            Ok(line) => self.lines.push(line),
            Err(error) => self.unreadable.push(format!("{file}:{number}: {error}")),
        }
    }

    /// Returns the number of unparsable lines and the first of them.
    pub(crate) fn unreadable_summary(&self) -> String {
        const MAX_LISTED: usize = 3;
        if self.unreadable.is_empty() {
            return String::new();
        }
        let listed: Vec<&str> =
            self.unreadable.iter().take(MAX_LISTED).map(String::as_str).collect();
        format!("{} lines not read: {}\n", self.unreadable.len(), listed.join("; "))
    }
}

impl LogLine {
    /// Returns a field as text; empty if it is missing.
    pub(crate) fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or_default()
    }

    /// Returns a field as a number; zero if it is missing.
    pub(crate) fn number(&self, field: &str) -> u64 {
        self.fields.get(field).and_then(Value::as_u64).unwrap_or_default()
    }

    /// Returns whether the line records the outcome of a request.
    pub(crate) fn is_outcome(&self) -> bool {
        self.target == "request"
    }
}
