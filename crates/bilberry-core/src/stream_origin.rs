//! Which software version began a stream, so that it is resumed at that version only.
//!
//! What two software versions of an engine generate does not fit together, and an engine
//! does not check what it resumes. A caller whose stream broke off may return to another
//! entry, after the entry, the engine and its sidecar have all failed. Entries therefore
//! record the origin of each resumable stream at two sidecars, and ask them when a caller
//! takes a stream up. What is not known is never assumed to be the version at hand.
//!
//! - [`OriginLedger`] holds records within bounds on their number and age.
//! - [`SoftwareHistory`] tells whether a service has had a single version for long enough.
//! - [`decide_origin`] combines what is known of a stream.

mod decision;
mod ledger;
mod owners;
mod software_history;

use crate::RequestKey;
use crate::UnixMs;

pub use decision::OriginAnswer;
pub use decision::OriginEvidence;
pub use decision::decide_origin;
pub use ledger::OriginLedger;
pub use owners::ORIGIN_OWNERS;
pub use owners::OriginRecords;
pub use software_history::SoftwareHistory;

/// A version of the software of a service's servers.
#[derive(Debug, Copy, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SoftwareId(pub u64);

impl SoftwareId {
    /// Returns the id of a version of a service.
    ///
    /// Two services have nothing in common, whatever their versions are called.
    pub fn new(service: &str, version: &str) -> Self {
        Self(RequestKey::from_parts(&[service.as_bytes(), version.as_bytes()]).0)
    }
}

/// A stream, as identified by the request that began it.
#[derive(Debug, Copy, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId {
    /// The key shared by all attempts of the request.
    ///
    /// It includes the customer, so nobody else can refer to the stream.
    pub request: RequestKey,
    /// A hash of the attempt that brought the first event.
    pub attempt: u64,
}

/// The origin of a stream.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamId,
    /// The software that made its first event; `None` if that turned out to be uncertain.
    pub software: Option<SoftwareId>,
    /// A hash of the customer, none of whom may displace the records of the others.
    pub customer: u32,
    /// Until when a caller may take the stream up.
    pub expires_at: UnixMs,
}
