//! The sidecar of one engine.
//!
//! The sidecar polls its engine, publishes the engine's state to the entries, and orders
//! the engine to load the newest weights. While it runs, it is the only process that
//! sends orders to the engine, so orders cannot race.

mod cache;
mod crash_relay;
mod engine;
mod feed;
mod first_order;
mod metrics;
mod newest;
mod prompt_stores;
mod steward;
mod watch_hub;

pub use cache::CacheEvents;
pub use cache::CacheListing;
pub use cache::CacheView;
pub use cache::CachedPart;
pub use crash_relay::CrashRelay;
pub use engine::Engine;
pub use engine::EngineReport;
pub use engine::EngineSilent;
pub use engine::LoadOrder;
pub use engine::OrderReply;
pub use engine::SwapMode;
pub use feed::Feed;
pub use feed::serve_feed;
pub use first_order::FirstOrder;
pub use metrics::StewardMetrics;
pub use newest::Newest;
pub use prompt_stores::FollowedStore;
pub use prompt_stores::PromptStores;
pub use steward::EngineState;
pub use steward::Steward;
pub use watch_hub::SourceAnswer;
pub use watch_hub::SourceLost;
pub use watch_hub::WatchHub;
pub use watch_hub::WatchSource;
