//! The limits on what clients make a process hold.

use crate::HostResources;

/// What an open connection costs besides the bytes of its request, with its buffers, its
/// task and the state of a request in progress.
const CONNECTION_BYTES: u64 = 40 * 1024;

/// What a connection between processes of the system costs.
const PEER_CONNECTION_BYTES: u64 = 16 * 1024;

/// The descriptors that are left to files and to the process itself, half of them at most.
const OWN_DESCRIPTORS: usize = 200;

/// The largest share of a request that may take the room kept for small requests.
const SMALL_REQUEST_BYTES: u64 = 32 * 1024;

/// The part of the memory for clients that large requests leave to small ones.
const SMALL_REQUESTS_DIVISOR: u64 = 8;

/// The part of the memory that a receive buffer of the kernel may take.
const RECEIVE_BUFFER_DIVISOR: u64 = 4_096;

/// The smallest and the largest receive buffer, in bytes.
const RECEIVE_BUFFER_RANGE: (u64, u64) = (16 * 1024, 256 * 1024);

/// The limits on what clients make a process hold.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub struct ClientLimits {
    /// The sum over all connections, in bytes.
    pub memory_bytes: u64,
    /// The part of it that only small requests may take.
    pub reserved_bytes: u64,
    /// The cost of a connection without the bytes of its request.
    pub connection_bytes: u64,
    /// The number of connections.
    pub connections: usize,
    /// The size of a connection's receive buffer in the kernel.
    pub receive_buffer_bytes: u64,
}

impl ClientLimits {
    /// The limits on callers: a quarter of the memory and half of the descriptors.
    ///
    /// The rest is for the process itself, for what its allocator keeps, for the receive
    /// buffers of connections that are not read, and for connections to upstreams.
    pub fn callers(resources: HostResources) -> Self {
        let own = OWN_DESCRIPTORS.min(resources.descriptors / 2);
        let descriptors = resources.descriptors - own;
        Self::with(
            resources,
            resources.memory_bytes / 4,
            CONNECTION_BYTES,
            descriptors / 2,
        )
    }

    /// The limits on peers: a quarter of the memory and of the descriptors.
    pub fn peers(resources: HostResources) -> Self {
        Self::with(
            resources,
            resources.memory_bytes / 4,
            PEER_CONNECTION_BYTES,
            resources.descriptors / 4,
        )
    }

    /// The limits on the clients of one listener for readiness or metrics.
    pub fn operators(resources: HostResources, connections: usize) -> Self {
        let memory_bytes = connections as u64 * CONNECTION_BYTES;
        Self::with(resources, memory_bytes, CONNECTION_BYTES, connections)
    }

    fn with(
        resources: HostResources,
        memory_bytes: u64,
        connection_bytes: u64,
        connections: usize,
    ) -> Self {
        let (min, max) = RECEIVE_BUFFER_RANGE;
        let buffer_bytes = resources.memory_bytes / RECEIVE_BUFFER_DIVISOR;
        Self {
            memory_bytes,
            reserved_bytes: memory_bytes / SMALL_REQUESTS_DIVISOR,
            connection_bytes,
            connections,
            receive_buffer_bytes: buffer_bytes.clamp(min, max),
        }
    }

    /// Allows at most this many connections.
    pub fn at_most(self, connections: usize) -> Self {
        Self { connections: self.connections.min(connections), ..self }
    }

    /// Returns the largest request that is served while nothing else is held, in bytes.
    pub fn max_request_bytes(&self) -> u64 {
        self.memory_bytes - self.reserved_bytes - self.connection_bytes
    }

    /// Returns the part of what a connection holds that counts as a large request's.
    pub(super) fn large_bytes(&self, held_bytes: u64) -> u64 {
        match held_bytes <= self.connection_bytes + SMALL_REQUEST_BYTES {
            true => 0,
            false => held_bytes,
        }
    }
}
