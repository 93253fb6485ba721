//! The software versions that began streams, recorded by entries at sidecars.

use bilberry_core::OriginAnswer;
use bilberry_core::RequestKey;
use bilberry_core::SoftwareId;
use bilberry_core::StreamId;
use bilberry_core::StreamOrigin;
use bilberry_core::UnixMs;

/// Tells a sidecar which software version began a stream.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct OriginNotice {
    /// The key shared by all attempts of the request.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// A hash of the attempt that brought the first event.
    #[prost(fixed64, tag = "2")]
    pub attempt: u64,
    /// A hash of service and version; zero if the version is uncertain.
    #[prost(fixed64, tag = "3")]
    pub software: u64,
    /// A hash of the customer.
    #[prost(fixed32, tag = "4")]
    pub customer: u32,
    /// For how long a caller may take the stream up, in milliseconds.
    ///
    /// Relative, because the receiving host's clock may differ.
    #[prost(uint64, tag = "5")]
    pub expires_in_ms: u64,
}

/// Asks a sidecar which software version began a stream.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct OriginQuery {
    /// The key shared by all attempts of the request.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// A hash of the attempt that brought the first event, if the caller names it.
    #[prost(fixed64, optional, tag = "2")]
    pub attempt: Option<u64>,
}

/// The reply to an [`OriginQuery`].
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct OriginReply {
    /// Whether the sidecar holds a record of the stream.
    #[prost(bool, tag = "1")]
    pub is_known: bool,
    /// A hash of service and version; zero if the records disagree.
    #[prost(fixed64, tag = "2")]
    pub software: u64,
}

impl OriginNotice {
    /// Creates the notice of an origin at `now`.
    pub fn new(origin: &StreamOrigin, now: UnixMs) -> Self {
        Self {
            request: origin.stream.request.0,
            attempt: origin.stream.attempt,
            software: SoftwareId::to_number(origin.software),
            customer: origin.customer,
            expires_in_ms: origin.expires_at.ms_since(now),
        }
    }

    /// Returns the origin, at `now` by the receiver's clock.
    ///
    /// The lifetime is bounded by `max_lifetime_ms`, whatever the sender states.
    pub fn origin(&self, max_lifetime_ms: u64, now: UnixMs) -> StreamOrigin {
        let request = RequestKey(self.request);
        StreamOrigin {
            stream: StreamId { request, attempt: self.attempt },
            software: SoftwareId::from_number(self.software),
            customer: self.customer,
            expires_at: now.plus_ms(self.expires_in_ms.min(max_lifetime_ms)),
        }
    }
}

impl From<OriginAnswer> for OriginReply {
    fn from(answer: OriginAnswer) -> Self {
        let (is_known, software) = match answer {
            OriginAnswer::Unknown => (false, 0),
            OriginAnswer::Known(software) => {
                (true, SoftwareId::to_number(Some(software)))
            }
            OriginAnswer::Conflicting => (true, 0),
        };
        Self { is_known, software }
    }
}

impl From<OriginReply> for OriginAnswer {
    fn from(reply: OriginReply) -> Self {
        match SoftwareId::from_number(reply.software) {
            _ if !reply.is_known => Self::Unknown,
            Some(software) => Self::Known(software),
            None => Self::Conflicting,
        }
    }
}
