//! The sidecar role: a proxy through which all traffic to one upstream passes.
//!
//! Decisions that must be exact for an upstream are made here, without coordination
//! between processes: fair queueing, admission, draining, cache tracking and orders
//! to load weights.

mod admission;
mod attempts;
mod cache;
mod completion;
mod connector;
mod engine;
mod engine_http;
mod engine_view;
mod estimates;
mod exchange;
mod gate;
mod health;
mod lines;
mod orders;
mod permit;
mod plain;
mod plain_call;
mod refusals;
mod sidecar;
mod work;

pub use admission::Admission;
pub use admission::Refusal;
pub use engine::Engine;
pub use engine::EngineCall;
pub use engine::EngineError;
pub use engine::EngineEvents;
pub use engine::EngineInfo;
pub use engine::EngineOutput;
pub use engine::EngineStream;
pub use engine::Snapshot;
pub use engine::StreamEnd;
pub use engine_http::HttpEngine;
pub use permit::Pause;
pub use permit::Permit;
pub use plain::HttpPlainService;
pub use plain::PlainError;
pub use plain::PlainRequest;
pub use plain::PlainService;
pub use sidecar::Sidecar;
pub use work::Work;
