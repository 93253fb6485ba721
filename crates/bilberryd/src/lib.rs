//! The daemon, which starts and runs a process of the system from its settings.

mod hosted;
mod process;
mod resources;
mod signals;
mod start;
mod status;

pub use hosted::PlatformRunError;
pub use hosted::run_on_platform;
pub use process::Addresses;
pub use process::Process;
pub use signals::on_hangup;
pub use signals::wait_for_signal;
pub use start::start;
pub use start::start_with;
