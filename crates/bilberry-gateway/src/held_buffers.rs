//! Buffers that count towards the entry's bound on held bytes until they are dropped.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bilberry_core::HeldBytes;
use bilberry_node::BodyChunk;
use bilberry_node::ResponseBody;
use bytes::Bytes;
use prometheus_client::metrics::gauge::Gauge;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::body_relay::BODY_CHANNEL_CAPACITY;
use crate::body_relay::BodyEnd;

/// The bytes of bodies that the entry holds; without a bound, nothing is counted.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeldBuffers(Option<Arc<Counted>>);

/// The counted bytes and the gauge that shows them.
#[derive(Debug)]
struct Counted {
    bytes: Mutex<HeldBytes>,
    gauge: Gauge,
}

/// The sender of a streamed body to a caller.
#[derive(Debug)]
pub(crate) struct StreamSender {
    buffers: HeldBuffers,
    pieces: mpsc::Sender<BodyChunk>,
    unwritten: Arc<Unwritten>,
}

/// The bytes of one stream that were not yet written to the caller's connection.
#[derive(Debug, Default)]
struct Unwritten {
    bytes: AtomicU64,
    all_written: Notify,
}

/// A number of held bytes, which is removed from the sum on drop.
#[derive(Debug)]
pub(crate) struct HeldCharge {
    buffers: HeldBuffers,
    bytes: u64,
    /// The stream that the bytes belong to, if they do.
    stream: Option<Arc<Unwritten>>,
}

/// A buffer with its charge.
struct ChargedBytes {
    bytes: Bytes,
    _charge: HeldCharge,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl HeldBuffers {
    /// Creates the state of an entry with this memory, if it is known.
    pub(crate) fn new(memory_bytes: Option<u64>, gauge: Gauge) -> Self {
        let counted = |bytes| Counted { bytes: Mutex::new(HeldBytes::new(bytes)), gauge };
        Self(memory_bytes.map(counted).map(Arc::new))
    }

    /// Reports whether so many more bytes may be held.
    pub(crate) fn fits(&self, bytes: u64) -> bool {
        self.0.as_ref().is_none_or(|held| held.bytes.lock().unwrap().fits(bytes))
    }

    /// Reports whether so much is held that new callers should go elsewhere.
    pub(crate) fn is_over_watermark(&self) -> bool {
        let counted = self.0.as_ref();
        counted.is_some_and(|held| held.bytes.lock().unwrap().is_over_watermark())
    }

    /// Returns an empty charge.
    pub(crate) fn charge(&self) -> HeldCharge {
        HeldCharge { buffers: self.clone(), bytes: 0, stream: None }
    }

    /// Returns the sender of a streamed body to a caller, and the body.
    pub(crate) fn stream(&self) -> (StreamSender, ResponseBody) {
        let (pieces, body) = mpsc::channel(BODY_CHANNEL_CAPACITY);
        let sender =
            StreamSender { buffers: self.clone(), pieces, unwritten: Arc::default() };
        (sender, ResponseBody::Stream(body))
    }

    fn update(&self, change: impl FnOnce(&mut HeldBytes) -> bool) -> bool {
        let Some(counted) = &self.0 else { return true };
        let (changed, was_over, is_over, held_bytes) = {
            let mut held = counted.bytes.lock().unwrap();
            let was_over = held.is_over_watermark();
            let changed = change(&mut held);
            counted.gauge.set(held.held_bytes() as i64);
            (changed, was_over, held.is_over_watermark(), held.held_bytes())
        };
        match (was_over, is_over) {
            (false, true) => {
                log::warn!(target: "memory", held_bytes; "bodies fill the entry; it is unready");
            }
            (true, false) => {
                log::info!(target: "memory", held_bytes; "bodies fill the entry no more");
            }
            _ => {}
        }
        changed
    }
}

impl StreamSender {
    /// Sends a chunk to the caller's connection.
    ///
    /// Above the watermark, it waits until all earlier chunks are written, so that a slow
    /// reader holds few chunks and not a full channel, and at most until the deadline.
    pub(crate) async fn send(&self, bytes: Bytes, left: Duration) -> Result<(), BodyEnd> {
        let waits = self.buffers.is_over_watermark();
        let mut charge = self.buffers.charge();
        charge.add(bytes.len());
        if waits {
            tokio::select! {
                _ = self.unwritten.wait_until_written() => {}
                _ = self.pieces.closed() => return Err(BodyEnd::CallerLeft),
                _ = sleep(left) => return Err(BodyEnd::DeadlinePassed),
            }
        }
        let permit = self.pieces.reserve().await.map_err(|_| BodyEnd::CallerLeft)?;
        self.unwritten.bytes.fetch_add(charge.bytes, Ordering::Relaxed);
        charge.stream = Some(self.unwritten.clone());
        permit.send(BodyChunk::Data(charge.hold(bytes)));
        Ok(())
    }

    /// Marks the body as complete.
    pub(crate) async fn end(&self) {
        let _ = self.pieces.send(BodyChunk::End).await;
    }

    /// Waits until the caller has disconnected.
    pub(crate) async fn closed(&self) {
        self.pieces.closed().await;
    }
}

impl Unwritten {
    async fn wait_until_written(&self) {
        while self.bytes.load(Ordering::Relaxed) > 0 {
            // A permit is stored if the last bytes are written in between.
            self.all_written.notified().await;
        }
    }

    fn remove(&self, bytes: u64) {
        if self.bytes.fetch_sub(bytes, Ordering::Relaxed) == bytes {
            self.all_written.notify_one();
        }
    }
}

impl HeldCharge {
    /// Adds bytes if they fit; returns whether they do.
    pub(crate) fn try_add(&mut self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        let added = self.buffers.update(|held| held.try_add(bytes));
        self.bytes += if added { bytes } else { 0 };
        added
    }

    /// Adds bytes that have been read already.
    pub(crate) fn add(&mut self, bytes: usize) {
        let bytes = bytes as u64;
        self.bytes += bytes;
        self.buffers.update(|held| {
            held.add(bytes);
            true
        });
    }

    /// Returns the buffer, which keeps the charge until its last part is dropped.
    pub(crate) fn hold(self, bytes: Bytes) -> Bytes {
        match self.buffers.0 {
            Some(_) if !bytes.is_empty() => {
                Bytes::from_owner(ChargedBytes { bytes, _charge: self })
            }
            _ => bytes,
        }
    }
}

impl Drop for HeldCharge {
    fn drop(&mut self) {
        if self.bytes > 0 {
            let bytes = self.bytes;
            self.buffers.update(|held| {
                held.remove(bytes);
                true
            });
            if let Some(stream) = &self.stream {
                stream.remove(bytes);
            }
        }
    }
}
