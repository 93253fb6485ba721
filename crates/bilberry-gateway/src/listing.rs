//! Listings of upstreams by the platform.

use std::net::SocketAddr;

use bilberry_core::Incarnation;
use bilberry_core::Name;
use bilberry_core::StorePosition;

/// An upstream as the platform lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct Listing {
    /// Its id.
    pub id: Name,
    /// Its service.
    pub pool: Name,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Name,
    /// The number of requests that it runs concurrently.
    pub slots: u64,
    /// Whether it is leaving: it completes its runs and takes no new ones.
    pub leaving: bool,
    /// The models that it serves, each with the version of its weights.
    pub models: Vec<(Name, u64)>,
    /// When it was first listed, as a position that grows with each new entry.
    pub listed_at: StorePosition,
    /// The version of its software, if it reports one.
    pub software: Option<Name>,
    /// Its incarnation, if it reports one.
    pub incarnation: Option<Incarnation>,
}
