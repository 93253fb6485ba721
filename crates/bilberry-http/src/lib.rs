//! HTTP connections to servers that may send bytes without end.
//!
//! What is read before the head of a response is complete is bounded, for single
//! connections and for clients that keep several.

mod connector;
mod head_limit;

pub use connector::LimitedConnection;
pub use connector::LimitedConnector;
pub use connector::MAX_READ_BYTES;
pub use connector::end_head;
pub use head_limit::HeadLimit;
pub use head_limit::HeadLimitedStream;
