//! What the platform lists of an upstream.

use std::net::SocketAddr;

use bilberry_core::Incarnation;
use bilberry_core::Name;
use bilberry_core::StorePosition;

/// An upstream as the platform lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct Listed {
    /// Its identity.
    pub id: Name,
    /// Its service.
    pub pool: Name,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub place: Name,
    /// Requests that it runs at once.
    pub slots: u64,
    /// Whether it leaves.
    pub leaving: bool,
    /// The models that it serves, with the versions of their weights.
    pub models: Vec<(Name, u64)>,
    /// When it was first listed, as a position that grows with each new entry.
    pub listed_at: StorePosition,
    /// Which of its starts this is, if it tells it.
    pub incarnation: Option<Incarnation>,
}
