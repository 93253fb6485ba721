//! Notification of stalls of an engine.

use tokio::sync::watch;

use crate::Upstream;
use crate::run_query::RunQuestion;

/// A subscription to the stalls of an engine that its sidecar reports from now on.
#[derive(Debug)]
pub(crate) struct StallSubscription {
    stalled: watch::Receiver<bool>,
}

impl StallSubscription {
    /// Waits until the sidecar reports another stall.
    pub(crate) async fn wait_for_next(&mut self) {
        while self.stalled.changed().await.is_ok() {
            if *self.stalled.borrow_and_update() {
                return;
            }
        }
        std::future::pending().await
    }
}

impl Upstream {
    /// Subscribes to the stalls that its sidecar reports from now on.
    pub(crate) fn subscribe_to_stalls(&self) -> StallSubscription {
        StallSubscription { stalled: self.stalled.subscribe() }
    }

    /// Reports whether its sidecar reports that its runs make no progress.
    pub(crate) fn is_stalled(&self) -> bool {
        *self.stalled.borrow()
    }

    /// Records whether its sidecar reports that its runs make no progress.
    pub(super) fn set_stalled(&self, stalled: bool) {
        self.stalled
            .send_if_modified(|known| std::mem::replace(known, stalled) != stalled);
    }

    /// Queues a query to its sidecar; returns whether the queue took it.
    pub(crate) fn send_run_query(&self, question: RunQuestion) -> bool {
        let queue = self.run_queries.lock().unwrap();
        queue.as_ref().is_some_and(|queue| queue.try_send(question).is_ok())
    }
}
