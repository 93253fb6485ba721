//! Attributes crashes of servers to what they had begun to run.

mod cause;
mod completed;
mod ledger;
mod part_causes;
mod report;
mod standing;

pub use cause::CrashCause;
pub use completed::CompletedRequests;
pub use ledger::CrashLedger;
pub use part_causes::PartCauses;
pub use report::CrashReport;
pub use standing::RequestStanding;
pub use standing::RequestStatus;
