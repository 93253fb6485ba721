//! The JSON lines that the processes log.

use std::path::PathBuf;

use serde::Deserialize;
use serde_json::Map;
use serde_json::Value;

use crate::error::CtlError;

/// The lines of some log files, in the order of their times.
#[derive(Debug, Default)]
pub(crate) struct Logs {
    pub lines: Vec<LogLine>,
    /// What could not be read, as the file, the number of the line and the reason.
    pub unreadable: Vec<String>,
}

/// One line of a log.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct LogLine {
    /// When it was written, by its host's clock.
    pub unix_ms: u64,
    /// The process that wrote it.
    #[serde(default)]
    pub process: String,
    /// What it is about.
    #[serde(default)]
    pub target: String,
    /// What happened.
    #[serde(default)]
    pub message: String,
    /// Everything else.
    #[serde(flatten)]
    pub fields: Map<String, Value>,
}

impl Logs {
    /// Reads files; a line that can't be understood is left out and named.
    pub(crate) fn read(files: &[PathBuf]) -> Result<Self, CtlError> {
        let mut logs = Self::default();
        for file in files {
            let name = file.display().to_string();
            let bytes = std::fs::read(file).map_err(|error| CtlError::Logs {
                file: name.clone(),
                reason: error.to_string(),
            })?;
            // A process that is killed leaves half a character at times.
            let text = String::from_utf8_lossy(&bytes);
            for (number, line) in text.lines().enumerate() {
                logs.take(&name, number + 1, line);
            }
        }
        logs.lines.sort_by_key(|line| line.unix_ms);
        Ok(logs)
    }

    fn take(&mut self, file: &str, number: usize, text: &str) {
        if text.trim().is_empty() {
            return;
        }
        // Collectors put times and hosts before the line itself.
        let begin = text.find('{').unwrap_or_default();
        match serde_json::from_str(&text[begin..]) {
            Ok(line) => self.lines.push(line),
            Err(error) => self.unreadable.push(format!("{file}:{number}: {error}")),
        }
    }

    /// Says how many lines could not be read, and names the first ones.
    pub(crate) fn complaint(&self) -> String {
        const NAMED: usize = 3;
        if self.unreadable.is_empty() {
            return String::new();
        }
        let named: Vec<&str> =
            self.unreadable.iter().take(NAMED).map(String::as_str).collect();
        format!("{} lines not read: {}\n", self.unreadable.len(), named.join("; "))
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

    /// Reports whether it says what became of a request.
    pub(crate) fn is_outcome(&self) -> bool {
        self.target == "request"
    }
}
