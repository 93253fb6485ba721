//! The port to the engine beside this sidecar.

use std::future::Future;

use bilberry_core::Incarnation;
use bilberry_wire::ModelVersion;
use thiserror::Error;

use crate::CacheEvents;
use crate::CacheListing;

/// How the engine fares.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// The weights that it serves.
    pub models: Vec<ModelVersion>,
    /// Whether it carries an order out.
    pub busy: bool,
    /// How many orders it has accepted since it started.
    pub orders: u64,
    /// Requests that run.
    pub running: u64,
    /// Requests that wait.
    pub queued: u64,
    /// Tokens of memory that can't be freed now.
    pub used_tokens: u64,
    /// Tokens of memory in all.
    pub total_tokens: u64,
    /// Which start of the engine this tells of, if it says so.
    pub incarnation: Option<Incarnation>,
    /// Whether it announces its shutdown.
    pub is_leaving: bool,
}

/// What becomes of the requests that run while an engine takes new weights.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum SwapMode {
    /// They end first.
    Finish,
    /// They go on, with the new weights.
    Continue,
}

/// An order to load weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadOrder {
    /// The model and the version to load.
    pub weights: ModelVersion,
    /// What becomes of the requests that run.
    pub mode: SwapMode,
    /// Who gives the order.
    pub holder: String,
    /// A number that never falls, so that engines can refuse an older order.
    pub fencing_number: u64,
    /// The count of orders that the engine must have accepted so far.
    ///
    /// An order whose answer was lost may be carried out seconds later; by then
    /// a newer one was accepted, and this makes the engine refuse it.
    pub expected_orders: u64,
    /// The incarnation that is meant, if it is known.
    pub incarnation: Option<Incarnation>,
}

/// What the engine said to an order.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum OrderReply {
    /// It carries the order out.
    Accepted,
    /// The order holds already.
    Holds,
    /// Another order is in progress, or another one was accepted meanwhile.
    Conflict,
    /// The weights were never named, or the order is malformed.
    Rejected(u16),
    /// The engine has started again; what was known of it says nothing any more.
    OtherIncarnation,
}

/// The engine gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the engine gave no answer: {0}; it is asked again")]
pub struct EngineSilent(pub String);

/// The engine beside this sidecar.
pub trait Engine: Send + Sync + 'static {
    /// Asks how the engine fares.
    fn report(&self) -> impl Future<Output = Result<EngineReport, EngineSilent>> + Send;

    /// Orders the engine to load weights.
    fn load(
        &self,
        order: &LoadOrder,
    ) -> impl Future<Output = Result<OrderReply, EngineSilent>> + Send;

    /// Waits for changes of the engine's cache after a position.
    fn cache_events(
        &self,
        since: u64,
    ) -> impl Future<Output = Result<CacheEvents, EngineSilent>> + Send;

    /// Lists all that the engine's cache holds; this stalls the engine.
    fn cache_listing(
        &self,
    ) -> impl Future<Output = Result<CacheListing, EngineSilent>> + Send;
}
