//! Small stand-ins for the outside systems, for tests, the demo and experiments.
//!
//! Each is an HTTP server whose faults are switches set with `PUT /standin/faults`.
//! None of them is meant to be used for anything else.

mod answer;
mod cache;
mod engine;
mod engine_http;
mod platform;
mod platform_http;
mod server;
mod service;
mod weights;

pub use answer::expected_answer;
pub use cache::BlockCache;
pub use cache::Holders;
pub use engine::EngineCounters;
pub use engine::EngineFaults;
pub use engine::EngineStandin;
pub use engine::EngineTraits;
pub use platform::PlatformCounters;
pub use platform::PlatformFaults;
pub use platform::PlatformStandin;
pub use server::Served;
pub use server::serve;
pub use service::ServiceCounters;
pub use service::ServiceFaults;
pub use service::ServiceStandin;
pub use weights::WeightsStandin;
