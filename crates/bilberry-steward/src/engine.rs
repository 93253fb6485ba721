//! The interface to the sidecar's engine.

use std::future::Future;

use bilberry_core::Incarnation;
use bilberry_core::Name;
use bilberry_core::ObservedRun;
use bilberry_wire::ModelVersion;
use thiserror::Error;

use crate::CacheEvents;
use crate::CacheListing;

/// The state that an engine reports.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// The models that it serves and the versions of their weights.
    pub models: Vec<ModelVersion>,
    /// Whether it is executing an order.
    pub busy: bool,
    /// The number of orders that it has accepted since its start.
    pub orders: u64,
    /// The number of running requests.
    pub running: u64,
    /// The number of queued requests.
    pub queued: u64,
    /// Memory that cannot be freed at present, in tokens.
    pub used_tokens: u64,
    /// Total memory, in tokens.
    pub total_tokens: u64,
    /// The incarnation of the engine that reported this, if known.
    pub incarnation: Option<Incarnation>,
    /// Whether it announces its shutdown.
    pub is_leaving: bool,
    /// Its runs, if they were asked for.
    pub runs: Option<Vec<ObservedRun>>,
}

/// How much of an engine's state is queried.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum ReportDetail {
    /// Everything but its runs.
    Load,
    /// Its runs as well.
    Runs,
}

/// How running requests are handled when an engine swaps its weights.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum SwapMode {
    /// They complete before the swap.
    Finish,
    /// They continue on the new weights.
    Continue,
}

/// An order to load weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadOrder {
    /// The model and the version to load.
    pub weights: ModelVersion,
    /// How running requests are handled.
    pub mode: SwapMode,
    /// The name of the sender.
    pub holder: String,
    /// A monotonic fencing token by which engines can reject older orders.
    pub fencing_number: u64,
    /// The number of orders that the engine must have accepted so far.
    ///
    /// An order whose response was lost may arrive at the engine seconds later, after a
    /// newer order was accepted. The engine then rejects it because of this count.
    pub expected_orders: u64,
    /// The incarnation of the engine that the order is meant for, if known.
    pub incarnation: Option<Incarnation>,
    /// The identity that the order is addressed to, if known.
    ///
    /// A restart resets the count of orders. An engine that restarts under another identity
    /// refuses an order that arrives late.
    pub addressee: Option<Name>,
}

/// The engine's reply to an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderReply {
    /// The engine executes the order.
    Accepted,
    /// The order is already in effect.
    AlreadyApplied,
    /// Another order is in progress or has been accepted in the meantime.
    Conflict,
    /// The weights are unknown or the order is malformed.
    Rejected(u16),
    /// The engine has restarted, so its previously known state is obsolete.
    OtherIncarnation,
    /// The engine has another identity than the order is addressed to: this one, if it
    /// tells it.
    Misdirected(Option<Name>),
}

/// The engine did not respond.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("no response from the engine: {0}; it is queried again")]
pub struct EngineError(pub String);

/// A client of the sidecar's engine.
pub trait Engine: Send + Sync + 'static {
    /// Queries the engine's state.
    fn report(
        &self,
        detail: ReportDetail,
    ) -> impl Future<Output = Result<EngineReport, EngineError>> + Send;

    /// Orders the engine to load weights.
    fn load(
        &self,
        order: &LoadOrder,
    ) -> impl Future<Output = Result<OrderReply, EngineError>> + Send;

    /// Waits for cache events after a position.
    fn cache_events(
        &self,
        since: u64,
    ) -> impl Future<Output = Result<CacheEvents, EngineError>> + Send;

    /// Lists the contents of the engine's cache; this stalls the engine.
    fn cache_listing(
        &self,
    ) -> impl Future<Output = Result<CacheListing, EngineError>> + Send;
}
