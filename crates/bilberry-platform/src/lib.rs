//! The trait for the platform's object API, and its implementation over HTTP.
//!
//! The object API holds persistent state and state that processes agree on. Each
//! call has a deadline, and a circuit breaker rejects calls immediately while the
//! platform is down.

mod bounded_read;
mod connections;
mod error;
mod framing;
mod head_limit;
mod http;
mod http_connection;
mod object;
mod port;

pub use bounded_read::poll_read_at_most;
pub use error::PlatformError;
pub use framing::BodyError;
pub use framing::BodyFraming;
pub use framing::FramedBody;
pub use framing::InvalidResponse;
pub use head_limit::HeadLimit;
pub use head_limit::HeadLimitedStream;
pub use head_limit::MAX_READ_BYTES;
pub use http::HttpPlatform;
pub use http::StoreClient;
pub use http_connection::HttpConnection;
pub use http_connection::SendError;
pub use object::HostEntry;
pub use object::HostState;
pub use object::Listing;
pub use object::Object;
pub use port::Platform;
pub use port::WriteResult;
pub use port::write_or_read_back;
