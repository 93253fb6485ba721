//! Splitting of streamed HTTP bodies into lines.

use bilberry_platform::FramedBody;
use bytes::Buf;
use bytes::BytesMut;
use http_body_util::BodyExt;

/// The maximum length of a line.
const MAX_LINE_BYTES: usize = 1024 * 1024;

/// The lines of a streamed body.
#[derive(Debug)]
pub(crate) struct Lines {
    body: FramedBody,
    buffer: BytesMut,
}

impl Lines {
    /// Creates a reader for the lines of a body.
    pub(crate) fn new(body: FramedBody) -> Self {
        Self { body, buffer: BytesMut::new() }
    }

    /// Waits for the next line; `None` at the end of the body.
    pub(crate) async fn next(&mut self) -> Result<Option<String>, String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|&byte| byte == b'\n') {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.advance(end + 1);
                return Ok(Some(line));
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err("a line is too long".to_string());
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(error)) => return Err(error.to_string()),
                None => return Ok(None),
            }
        }
    }
}
