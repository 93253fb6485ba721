//! Limits that servers set on the requests from all entries together.
//!
//! A server reports in its responses how many requests per second it accepts from all
//! entries. Each entry keeps the most recent report that it knows of, its own or another
//! entry's, and has a request charged to the limit before it sends it. The owners of
//! customer quotas keep the bucket, so the sum over all entries stays within the limit.
//! Designed for some requests per second to one server, asked for by hundreds of entries.
//!
//! - [`LimitReport`] orders reports, so that they can be merged in any order.
//! - [`LimitGate`] decides when an entry may ask again after a denied charge.

mod admitted_rate;
mod gate;
mod limit;
mod report;

pub use admitted_rate::AdmittedRate;
pub use gate::LimitGate;
pub use limit::ReportedLimit;
pub use limit::RequestLimit;
pub use limit::time_to_admit_ms;
pub use report::LimitReport;
