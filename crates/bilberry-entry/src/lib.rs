//! The entry role: accepts requests from callers, routes each to an upstream and
//! returns the complete response.
//!
//! Entries keep no durable state, so any number of them can run side by side and
//! are interchangeable.

mod admin;
mod admin_config;
mod api_error;
mod auth;
mod chat;
mod claims;
mod collect;
mod completion;
mod entry;
mod explain;
mod fleet;
mod http_api;
mod knowledge;
mod plain;
mod replay;
mod request;
mod router;
mod run;
mod sse;

pub use admin::Admin;
pub use admin_config::ConfigStatus;
pub use api_error::ApiError;
pub use api_error::ErrorKind;
pub use chat::render_prompt;
pub use claims::ClaimOutcome;
pub use claims::Claims;
pub use collect::collect_answers;
pub use entry::Entry;
pub use entry::EntryLimits;
pub use explain::Explained;
pub use fleet::ProcessStatus;
pub use fleet::TimelineEvent;
pub use knowledge::ProbeQuery;
pub use knowledge::ProbeResult;
pub use knowledge::SidecarProber;
pub use knowledge::Target;
pub use knowledge::UpstreamProber;
pub use request::CompletionRequest;
pub use request::CompletionStyle;
pub use router::Choice;
pub use router::RouteRequest;
pub use router::Router;
