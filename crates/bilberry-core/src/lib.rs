//! Decisions of the router, free of I/O: names, prompt chains, routing,
//! admission, retries, claims and stream order.
//!
//! Nothing here reads a clock or a socket. Time comes in as a [`UnixMs`], random
//! choices as a seed, so each decision can be tested and replayed exactly.

mod breaker;
mod chain;
mod claim;
mod cursor;
mod entry_count;
mod event_split;
mod freshness;
mod hlc;
mod index;
mod lease;
mod limits;
mod link_share;
mod outage;
mod outcome;
mod placement;
mod queue;
mod retry;
mod rollout;
mod routing;
mod shared_budget;
mod source;
mod time;

pub use breaker::Breaker;
pub use breaker::BreakerState;
pub use chain::BLOCK_BYTES;
pub use chain::Chain;
pub use chain::Fingerprint;
pub use chain::Scope;
pub use chain::TOKENS_PER_BLOCK;
pub use chain::marked_weights;
pub use chain::sample_depths;
pub use chain::weights_version;
pub use claim::Claim;
pub use claim::ClaimState;
pub use claim::RecordedAnswer;
pub use claim::RepeatVerdict;
pub use cursor::Accept;
pub use cursor::StreamCursor;
pub use entry_count::EntryCount;
pub use event_split::EventSplitter;
pub use freshness::Freshness;
pub use hlc::Hlc;
pub use hlc::HlcClock;
pub use index::CacheEvent;
pub use index::CacheIndex;
pub use index::EventKind;
pub use index::IndexState;
pub use lease::Lease;
pub use lease::LeaseStep;
pub use lease::Slot;
pub use lease::Slots;
pub use limits::Allowance;
pub use limits::CustomerLimits;
pub use limits::Overrun;
pub use link_share::LinkShare;
pub use link_share::Transfer;
pub use outage::Outage;
pub use outcome::RunState;
pub use placement::Demand;
pub use placement::Offer;
pub use placement::OldWeights;
pub use placement::part_key;
pub use placement::place;
pub use queue::FairQueue;
pub use queue::Pushed;
pub use queue::QueueKey;
pub use retry::RetryBudget;
pub use retry::backoff_ms;
pub use retry::retry_after_ms;
pub use rollout::Rollout;
pub use rollout::RolloutPlace;
pub use routing::Candidate;
pub use routing::Place;
pub use routing::ProbeView;
pub use routing::Weighing;
pub use routing::candidates;
pub use routing::choose;
pub use routing::patience_ms;
pub use routing::rendezvous;
pub use shared_budget::BudgetTerms;
pub use shared_budget::SharedBudget;
pub use source::PeerCopy;
pub use source::Source;
pub use source::choose_source;
pub use source::is_worth_keeping;
pub use time::BootClock;
pub use time::Clock;
pub use time::SystemClock;
pub use time::UnixMs;

/// A shared immutable name of a customer, upstream, model, place or process.
pub type Name = ecow::EcoString;
