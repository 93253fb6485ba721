//! Keeps streams at the software version that began them.

mod client;
mod incarnation_check;
mod required;
mod takeup;

pub(crate) use client::ORIGIN_QUEUE_CAPACITY;
pub(crate) use client::OriginClient;
pub(crate) use client::PendingOriginQueries;
pub(crate) use required::RequiredSoftware;
pub(crate) use required::StreamStart;
