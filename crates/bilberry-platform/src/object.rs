//! Data types of the platform's object API.

use serde::Deserialize;
use serde::Serialize;

/// A stored object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// The key.
    pub key: String,
    /// The version, which increases with each write.
    pub version: u64,
    /// The value; `None` in a watch result if the object was deleted.
    pub value: Option<String>,
}

/// The objects under a prefix, or those that changed since a position.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The position in the store's change history at which the listing was taken.
    pub position: u64,
    /// The objects.
    pub objects: Vec<Object>,
}

/// The availability of a host.
#[derive(Debug, Copy, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host is up.
    Live,
    /// The host is about to be removed.
    Leaving,
}

/// An entry of the host list, which lags behind the actual state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The name of the host.
    pub host: String,
    /// The availability of the host.
    pub state: HostState,
}
