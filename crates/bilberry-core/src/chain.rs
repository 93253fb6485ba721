//! Prompt hash chains: one hash per block of text, each including its parent's hash.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Name;

/// The number of bytes of prompt text per block.
pub const BLOCK_BYTES: usize = 256;

/// The number of prompt tokens assumed per block when estimating work.
pub const TOKENS_PER_BLOCK: u64 = 64;

/// The growth factor of the distances from the chain's end, as a fraction.
const SAMPLE_GROWTH: (usize, usize) = (3, 2);

/// The low half of a block hash, as used in the sidecar's index and in probes.
///
/// Four bytes halve the size of both. Two blocks of one upstream share a
/// fingerprint about once in 30,000. A collision only skews an estimate, because
/// the engine compares full hashes under the caller's own salt.
pub type Fingerprint = u32;

/// The attributes that must match for equal texts to share cached state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Scope {
    /// The customer, or the group of customers, that may share the state.
    pub customer: Name,
    /// The model.
    pub model: Name,
    /// The adapter; empty for the base model.
    pub adapter: Name,
    /// The version of the weights that computed the state.
    pub weights: Name,
}

impl Scope {
    /// Returns the salt that is sent to the engine and seeds the hash chain.
    pub fn salt(&self) -> String {
        let mut hasher = blake3::Hasher::new();
        for part in [&self.customer, &self.model, &self.adapter, &self.weights] {
            // The length prefix distinguishes ("ab", "c") from ("a", "bc"). Without
            // it two customers could get the same salt and share cached blocks.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.finalize().to_hex()[..32].to_string()
    }
}

/// Separates a weights version from the marker that isolates its cached blocks.
const MARKER_SEPARATOR: char = '#';

/// Returns a name for weights whose previously cached blocks must not be reused.
pub fn weights_with_marker(version: &str, marker: u32) -> Name {
    ecow::eco_format!("{version}{MARKER_SEPARATOR}{marker:08x}")
}

/// Returns the version part of a weights name, without its marker if it has one.
pub fn weights_version(weights: &str) -> &str {
    weights.split(MARKER_SEPARATOR).next().unwrap_or(weights)
}

/// The block hashes of one prompt in one scope, shallowest first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Chain {
    hashes: Vec<u64>,
}

impl Chain {
    /// Hashes each complete block of `text` under `salt`.
    pub fn new(salt: &str, text: &str) -> Self {
        let mut parent = xxh3_64_with_seed(salt.as_bytes(), 0);
        let hashes = text
            .as_bytes()
            .chunks_exact(BLOCK_BYTES)
            .map(|block| {
                parent = xxh3_64_with_seed(block, parent);
                parent
            })
            .collect();
        Self { hashes }
    }

    /// Returns the full hashes, shallowest first.
    pub fn hashes(&self) -> &[u64] {
        &self.hashes
    }

    /// Returns the number of complete blocks in the prompt.
    pub fn len(&self) -> usize {
        self.hashes.len()
    }

    /// Reports whether the prompt is shorter than one block.
    pub fn is_empty(&self) -> bool {
        self.hashes.is_empty()
    }

    /// Returns the fingerprints at the depths of [`sample_depths`], shallowest first.
    pub fn sample(&self) -> Vec<Fingerprint> {
        sample_depths(self.len())
            .into_iter()
            .map(|depth| self.hashes[depth - 1] as Fingerprint)
            .collect()
    }
}

/// Returns the depths, in blocks, at which a chain of `len` blocks is probed.
///
/// The distances from the chain's end grow geometrically, which keeps probes
/// small. The cost of a request is the uncached part at its end; it is known to
/// within a third, whether that is only the last message or the whole prompt.
pub fn sample_depths(len: usize) -> Vec<usize> {
    let mut depths = Vec::new();
    let mut missing = 0;
    while missing < len {
        depths.push(len - missing);
        missing = (missing * SAMPLE_GROWTH.0 / SAMPLE_GROWTH.1).max(missing + 1);
    }
    depths.reverse();
    depths
}
