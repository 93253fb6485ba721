//! The load and experiment tool, and the demo.
//!
//! Stand-ins for the engines, services and the platform run inside the tool;
//! entries and sidecars run as tasks (the demo) or as processes of their own
//! (experiments), which are this same program started again.

mod caller;
mod compare;
mod decide;
mod exact;
mod experiment;
mod fleet;
mod node;
mod plot;
mod policy;
mod propagation;
mod shape;
mod slopes;
mod small;

pub use caller::Caller;
pub use caller::Outcome;
pub use compare::CompareArguments;
pub use compare::compare;
pub use decide::DecideArguments;
pub use decide::LoadFile;
pub use decide::Policy;
pub use decide::Report;
pub use decide::decide;
pub use decide::replay;
pub use exact::Exact;
pub use experiment::Measured;
pub use experiment::Offered;
pub use experiment::measure;
pub use experiment::with_pool;
pub use fleet::Fleet;
pub use fleet::FleetError;
pub use fleet::FleetPlan;
pub use node::Node;
pub use node::Usage;
pub use plot::plot;
pub use policy::fair;
pub use policy::hot;
pub use policy::overload;
pub use policy::restart;
pub use propagation::propagation;
pub use shape::Arrival;
pub use shape::Shape;
pub use slopes::slopes;
