//! A running process of the system.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bilberry_node::GracefulServer;
use bilberry_node::Node;
use tokio::task::JoinHandle;

/// The interval at which a stopping sidecar checks for requests in progress.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The addresses on which a process listens, with ports that the system has chosen.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// For callers.
    pub callers: Option<SocketAddr>,
    /// For peers.
    pub peers: SocketAddr,
    /// For metrics and health checks.
    pub operations: SocketAddr,
    /// For the administration API.
    pub administration: Option<SocketAddr>,
}

impl fmt::Display for Addresses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "peers={} operations={}", self.peers, self.operations)?;
        if let Some(callers) = self.callers {
            write!(f, " callers={callers}")?;
        }
        if let Some(administration) = self.administration {
            write!(f, " administration={administration}")?;
        }
        Ok(())
    }
}

/// The work that must end before a process exits.
pub(crate) enum ActiveWork {
    /// The servers and background tasks of an entry.
    Entry {
        callers: GracefulServer,
        administration: Option<GracefulServer>,
        finish: JoinHandle<()>,
        stop: tokio::sync::oneshot::Sender<()>,
    },
    /// The requests in progress in a sidecar.
    Sidecar { in_progress: Box<dyn Fn() -> usize + Send + Sync> },
}

/// A running process of the system.
pub struct Process {
    pub(crate) node: Arc<Node>,
    pub(crate) addresses: Addresses,
    pub(crate) stop_timeout: Duration,
    pub(crate) work: ActiveWork,
    pub(crate) background: Vec<JoinHandle<()>>,
}

impl Process {
    /// Returns the addresses on which the process listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns the state shared by all components.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Shuts down gracefully; returns false if requests were aborted.
    pub async fn stop(self) -> bool {
        self.node.start_leaving("planned stop");
        log::info!("stopping; waiting for requests in progress");
        let stop_timeout = self.stop_timeout;
        let all_completed = match self.work {
            ActiveWork::Entry { callers, administration, finish, stop } => {
                let all_completed = callers.stop(stop_timeout).await;
                let _ = stop.send(());
                let finished = tokio::time::timeout(stop_timeout, finish).await.is_ok();
                if let Some(administration) = administration {
                    administration.stop(POLL_INTERVAL).await;
                }
                all_completed && finished
            }
            ActiveWork::Sidecar { in_progress } => {
                let drained = async {
                    while in_progress() > 0 {
                        tokio::time::sleep(POLL_INTERVAL).await;
                    }
                    // Leave time for the last frames to be sent.
                    tokio::time::sleep(POLL_INTERVAL * 5).await;
                };
                tokio::time::timeout(stop_timeout, drained).await.is_ok()
            }
        };
        for task in self.background {
            task.abort();
        }
        all_completed
    }
}
