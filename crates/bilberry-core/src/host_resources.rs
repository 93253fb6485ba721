//! The memory and the descriptors that a process may use on its host.

/// What a process may use on its host.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub struct HostResources {
    /// The memory, in bytes.
    pub memory_bytes: u64,
    /// The number of open descriptors.
    pub descriptors: usize,
}

impl HostResources {
    /// The smallest memory, in MB of 10^6 bytes.
    pub const MIN_MEMORY_MB: f64 = 8.0;

    /// The smallest number of descriptors.
    pub const MIN_DESCRIPTORS: usize = 64;

    /// The memory if the settings name none, in MB of 10^6 bytes.
    pub const DEFAULT_MEMORY_MB: f64 = 1_024.0;

    /// The number of descriptors if the settings name none.
    pub const DEFAULT_DESCRIPTORS: usize = 16_384;

    /// Returns the resources, or `None` if the memory or the descriptors are too few.
    pub fn new(memory_mb: f64, descriptors: usize) -> Option<Self> {
        let is_valid = memory_mb.is_finite()
            && memory_mb >= Self::MIN_MEMORY_MB
            && descriptors >= Self::MIN_DESCRIPTORS;
        let memory_bytes = (memory_mb * 1e6) as u64;
        is_valid.then_some(Self { memory_bytes, descriptors })
    }
}

impl Default for HostResources {
    fn default() -> Self {
        Self {
            memory_bytes: (Self::DEFAULT_MEMORY_MB * 1e6) as u64,
            descriptors: Self::DEFAULT_DESCRIPTORS,
        }
    }
}
