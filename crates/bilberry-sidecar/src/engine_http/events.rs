//! The cache events of an engine over HTTP, as JSON lines.

use bilberry_core::CacheEvent;
use bilberry_core::EventKind;
use bilberry_core::Fingerprint;
use bilberry_platform::FramedBody;
use serde::Deserialize;

use crate::EngineError;
use crate::EngineEvents;
use crate::lines::Lines;

/// The cache events of an engine over HTTP.
#[derive(Debug)]
pub struct HttpEvents {
    lines: Lines,
}

#[derive(Deserialize)]
struct EventLine {
    sequence: u64,
    incarnation: u64,
    kind: EventLineKind,
    block: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum EventLineKind {
    Stored,
    Evicted,
}

impl HttpEvents {
    /// Reads events from a response body.
    pub(super) fn new(body: FramedBody) -> Self {
        Self { lines: Lines::new(body) }
    }
}

impl EngineEvents for HttpEvents {
    async fn next(&mut self) -> Result<CacheEvent, EngineError> {
        let line = self.lines.next().await.map_err(EngineError::Lost)?;
        let line =
            line.ok_or_else(|| EngineError::Lost("the event stream ended".into()))?;
        let event: EventLine =
            serde_json::from_str(&line).map_err(|e| EngineError::Lost(e.to_string()))?;
        Ok(CacheEvent {
            sequence: event.sequence,
            incarnation: event.incarnation,
            kind: match event.kind {
                EventLineKind::Stored => EventKind::Stored,
                EventLineKind::Evicted => EventKind::Evicted,
            },
            block: event.block as Fingerprint,
        })
    }
}
