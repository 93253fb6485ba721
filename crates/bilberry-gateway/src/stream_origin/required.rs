//! The software version that a request's next server must have.

use std::sync::Arc;

use bilberry_core::SoftwareId;
use bilberry_core::UnixMs;

use crate::Upstream;

/// The software version that a request's next server must have.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub(crate) enum RequiredSoftware {
    /// Any, as the caller has no event yet.
    Any,
    /// The version that made the caller's first event.
    Only(SoftwareId),
    /// The version that made the caller's first event is not known.
    Unknown,
}

/// What determines the software version of a request's stream.
#[derive(Debug, Clone, Default)]
pub(crate) struct StreamStart {
    /// The version at which the caller takes the stream up.
    pub(crate) taken_up_at: Option<SoftwareId>,
    /// The server that made the first event of this response, and when it arrived.
    pub(crate) first_server: Option<(Arc<Upstream>, UnixMs)>,
}

impl RequiredSoftware {
    /// Reports whether a server may serve the request.
    pub(crate) fn allows(self, upstream: &Upstream) -> bool {
        match self {
            Self::Any => true,
            Self::Only(software) => upstream.software_id() == Some(software),
            Self::Unknown => false,
        }
    }
}

impl StreamStart {
    /// Returns the version that the next server must have.
    pub(crate) fn required(&self) -> RequiredSoftware {
        match (self.taken_up_at, &self.first_server) {
            (Some(software), _) => RequiredSoftware::Only(software),
            (None, Some((upstream, at))) => upstream
                .software_at(*at)
                .map_or(RequiredSoftware::Unknown, RequiredSoftware::Only),
            (None, None) => RequiredSoftware::Any,
        }
    }

    /// Reports whether a server may continue the stream.
    pub(crate) fn may_continue_at(&self, upstream: &Upstream) -> bool {
        self.required().allows(upstream)
    }

    /// Returns the version that made the first event, unless that is uncertain.
    pub(crate) fn origin(&self) -> Option<SoftwareId> {
        match self.required() {
            RequiredSoftware::Only(software) => Some(software),
            RequiredSoftware::Any | RequiredSoftware::Unknown => None,
        }
    }
}
