//! The sidecar of one engine.
//!
//! The sidecar polls its engine, publishes the engine's state to the entries, and orders
//! the engine to load the newest weights. While it runs, it is the only process that
//! sends orders to the engine, so orders cannot race.

mod admission;
mod cache;
mod crash_relay;
mod engine;
mod engine_controller;
mod engine_identities;
mod feed;
mod latest_weights;
mod limit_relay;
mod metrics;
mod next_load;
mod order_gate;
mod origin_owner;
mod part_sharing;
mod prompt_stores;
mod quota_owner;
mod run_interest;
mod run_progress;
mod watch_hub;

pub use admission::AdmissionControl;
pub use cache::CacheEvents;
pub use cache::CacheListing;
pub use cache::CacheView;
pub use cache::CachedPart;
pub use crash_relay::CrashRelay;
pub use engine::Engine;
pub use engine::EngineError;
pub use engine::EngineReport;
pub use engine::LoadOrder;
pub use engine::OrderReply;
pub use engine::ReportDetail;
pub use engine::SwapMode;
pub use engine_controller::EngineController;
pub use engine_controller::EngineState;
pub use feed::Feed;
pub use feed::serve_feed;
pub use latest_weights::LatestWeights;
pub use limit_relay::LimitRelay;
pub use metrics::AdmissionLabel;
pub use metrics::AdmissionMetrics;
pub use metrics::SidecarMetrics;
pub use order_gate::OrderGate;
pub use origin_owner::MAX_ORIGIN_LIFETIME_MS;
pub use origin_owner::OriginOwner;
pub use part_sharing::PartSharing;
pub use prompt_stores::FollowedStore;
pub use prompt_stores::PromptStores;
pub use quota_owner::QuotaOwner;
pub use run_interest::RunInterest;
pub use run_progress::RunTracker;
pub use watch_hub::SourceResponse;
pub use watch_hub::WatchHub;
pub use watch_hub::WatchSource;
pub use watch_hub::WatchSourceError;
