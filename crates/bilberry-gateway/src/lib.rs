//! An entry that forwards HTTP requests as they are.
//!
//! Callers' requests pass through unchanged; what is decided is where they go,
//! when they wait, what is repeated and what is refused. The headers that a
//! platform uses for this come in through the port [`Dialect`].

mod backup;
mod call;
mod connections;
mod dispatch;
mod feeds;
mod forward;
mod gateway;
mod held;
mod hubs;
mod job;
mod listed;
mod metrics;
mod pace;
mod passing;
mod placing;
mod plain_answer;
mod policy;
mod prompt_keys;
mod prompt_stores;
mod readings;
mod record;
mod refusal;
mod relay;
mod serve;
mod store_watch;
mod unattended;
mod upstream;
mod upstreams;
mod weights;

pub use call::BadCall;
pub use call::Call;
pub use call::Dialect;
pub use call::Dispatch;
pub use call::MemoryCopy;
pub use call::PromptPart;
pub use call::ServerLoad;
pub use call::Verdict;
pub use connections::Connection;
pub use connections::Connections;
pub use connections::SendError;
pub use feeds::follow_sidecars;
pub use gateway::Gateway;
pub use gateway::GatewaySettings;
pub use held::KeptParts;
pub use hubs::HubReply;
pub use hubs::Hubs;
pub use job::Job;
pub use job::Reads;
pub use listed::Listed;
pub use metrics::GatewayMetrics;
pub use pace::Pace;
pub use policy::CallKind;
pub use policy::CallerLimits;
pub use policy::Customer;
pub use policy::EngineTerms;
pub use policy::Policy;
pub use policy::Pool;
pub use policy::PromptStoreTerms;
pub use policy::Route;
pub use prompt_keys::PromptKeys;
pub use prompt_stores::PromptStore;
pub use prompt_stores::PromptStores;
pub use record::LineBudget;
pub use refusal::Refusal;
pub use store_watch::follow_prompt_stores;
pub use unattended::SidecarSigns;
pub use unattended::Unattended;
pub use upstream::Upstream;
pub use upstream::seat::Seat;
pub use upstreams::Upstreams;
pub use weights::KnownWeights;
