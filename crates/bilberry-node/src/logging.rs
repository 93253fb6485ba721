//! Logging as JSON lines through a bounded queue, without blocking the caller.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;

use bilberry_core::Clock;
use bilberry_core::Name;
use bilberry_core::SystemClock;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use serde::Serialize;
use serde_json::Map;

use crate::StartError;

/// The maximum number of lines that are queued for a slow reader of the log.
///
/// At about 200 bytes per line this is half a megabyte. Without the queue, a pipe
/// that is not read would block the process in the middle of a request.
const MAX_QUEUED_LINES: usize = 2_048;

/// The destination of log lines.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum LogSink {
    /// Standard output, from which the platform collects logs.
    Output,
    /// Standard error, for processes that print their addresses to standard output.
    Error,
}

/// A log line.
#[derive(Serialize)]
struct Line<'a> {
    unix_ms: u64,
    level: &'a str,
    process: &'a str,
    target: &'a str,
    message: String,
    #[serde(flatten)]
    fields: Map<String, serde_json::Value>,
}

/// Collects the key-value pairs of a log record.
#[derive(Default)]
struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(
        &mut self,
        key: Key<'kvs>,
        value: Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        let value = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(number), _, _) => number.into(),
            (_, Some(number), _) => number.into(),
            (_, _, Some(boolean)) => boolean.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// Starts logging at `level` and above.
pub fn start_logging(
    process: Name,
    level: &str,
    sink: LogSink,
) -> Result<(), StartError> {
    let level = level.parse().unwrap_or(log::LevelFilter::Info);
    let queue = LineQueue::start(sink)?;
    fern::Dispatch::new()
        .level(level)
        .format(move |out, message, record| {
            let mut fields = Fields::default();
            // The only source of errors is the visitor, which never fails.
            let _ = record.key_values().visit(&mut fields);
            let line = Line {
                unix_ms: SystemClock.now().0,
                level: record.level().as_str(),
                process: &process,
                target: record.target(),
                message: message.to_string(),
                fields: fields.0,
            };
            let line = serde_json::to_string(&line).unwrap_or_default();
            out.finish(format_args!("{line}"));
        })
        .chain(fern::Output::call(move |record| queue.push(record.args().to_string())))
        .apply()
        .map_err(|error| StartError::Logging(error.to_string()))
}

/// A bounded queue to the thread that writes the log.
struct LineQueue {
    lines: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    fn start(sink: LogSink) -> Result<Self, StartError> {
        let (lines, queued) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_lines = dropped.clone();
        std::thread::Builder::new()
            .name("log".to_string())
            .spawn(move || match sink {
                LogSink::Output => write_all(&queued, &dropped_lines, std::io::stdout()),
                LogSink::Error => write_all(&queued, &dropped_lines, std::io::stderr()),
            })
            .map_err(|error| StartError::Logging(error.to_string()))?;
        Ok(Self { lines, dropped })
    }

    fn push(&self, line: String) {
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_all(lines: &Receiver<String>, dropped: &AtomicU64, mut out: impl Write) {
    while let Ok(line) = lines.recv() {
        let mut text = line;
        text.push('\n');
        // Batch the lines that are already queued into one write.
        while let Ok(line) = lines.try_recv() {
            text.push_str(&line);
            text.push('\n');
        }
        match dropped.swap(0, Ordering::Relaxed) {
            0 => {}
            count => text.push_str(&format!("{{\"dropped_lines\":{count}}}\n")),
        }
        // Failing to write the log must not end the process.
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    }
}
