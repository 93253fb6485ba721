//! The bytes of bodies that an entry holds for its callers and upstreams.
//!
//! Answers callers that send or read slowly, many at once, at an entry with little
//! memory: a body counts from its first byte read until its last one is written.

/// The divisor of a process's memory that gives the bytes of bodies that it may hold.
///
/// The rest is for the process itself, the buffers of connections and kept state.
const MEMORY_DIVISOR: u64 = 2;

/// The share of the bytes, in percent, above which new callers should go elsewhere.
///
/// A balancer takes a second or two to notice, in which callers still come.
const HIGH_WATERMARK_PERCENT: u64 = 75;

/// The share of the bytes, in percent, at which new callers may come again.
///
/// Between the two, an entry would otherwise become ready and unready with each body.
const LOW_WATERMARK_PERCENT: u64 = 50;

/// The bytes of bodies that an entry holds, and their bound.
#[derive(Debug)]
pub struct HeldBytes {
    max_bytes: u64,
    held_bytes: u64,
    is_over_watermark: bool,
}

impl HeldBytes {
    /// Creates the state of a process with this memory that holds nothing.
    pub fn new(memory_bytes: u64) -> Self {
        let max_bytes = memory_bytes / MEMORY_DIVISOR;
        Self { max_bytes, held_bytes: 0, is_over_watermark: false }
    }

    /// Returns the bytes held.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Reports whether so many more bytes may be held.
    pub fn fits(&self, bytes: u64) -> bool {
        self.held_bytes.saturating_add(bytes) <= self.max_bytes
    }

    /// Adds bytes if they fit; returns whether they do.
    pub fn try_add(&mut self, bytes: u64) -> bool {
        let fits = self.fits(bytes);
        if fits {
            self.add(bytes);
        }
        fits
    }

    /// Adds bytes that have been read already, as those of a response in progress.
    pub fn add(&mut self, bytes: u64) {
        self.held_bytes += bytes;
        self.update_watermark();
    }

    /// Removes bytes that are no longer held.
    pub fn remove(&mut self, bytes: u64) {
        self.held_bytes = self.held_bytes.saturating_sub(bytes);
        self.update_watermark();
    }

    /// Reports whether so much is held that new callers should go elsewhere.
    pub fn is_over_watermark(&self) -> bool {
        self.is_over_watermark
    }

    fn update_watermark(&mut self) {
        let percent = match self.is_over_watermark {
            true => LOW_WATERMARK_PERCENT,
            false => HIGH_WATERMARK_PERCENT,
        };
        self.is_over_watermark = self.held_bytes > self.max_bytes * percent / 100;
    }
}
