//! Stand-ins for model servers, and the processes of a small deployment, for the cases
//! of the review.

pub mod config;
pub mod deployment;
pub mod engine;
pub mod record;
