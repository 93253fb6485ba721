//! Checks of hosts whose sidecars have stopped reporting, and answers to callers whose runs
//! are there.

use std::sync::Arc;
use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::UnixMs;
use tokio::time::sleep;

use crate::Dialect;
use crate::Gateway;
use crate::RequestContext;
use crate::Upstream;
use crate::connections::ConnectError;
use crate::connections::connect;
use crate::quota::SILENT_PAUSE_MS;

/// The interval at which hosts are looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Checks hosts whose reports are overdue, for as long as the entry runs.
    pub(crate) async fn check_hosts(self: Arc<Self>) {
        loop {
            sleep(LOOK_INTERVAL).await;
            let now = self.clock.now();
            for upstream in self.upstreams.all() {
                if upstream.with_host_life(|life| life.begin_check(now)) {
                    tokio::spawn(self.clone().check_host(upstream));
                }
            }
        }
    }

    async fn check_host(self: Arc<Self>, upstream: Arc<Upstream>) {
        let began_at = self.clock.now();
        let is_answered = match connect(upstream.address).await {
            Ok(mut connection) => self.shows_life(&mut connection).await,
            // The host answers, though the upstream has ended.
            Err(ConnectError::Refused) => true,
            Err(ConnectError::Unreachable(_) | ConnectError::Failed(_)) => false,
        };
        let now = self.clock.now();
        let (was_silent, is_silent) = upstream.with_host_life(|life| {
            let was_silent = life.is_silent();
            life.record_check(is_answered, began_at, now);
            (was_silent, life.is_silent())
        });
        if is_silent {
            self.quotas.record_silent(upstream.seed, now.plus_ms(SILENT_PAUSE_MS));
        }
        if was_silent != is_silent {
            log::info!(
                target: "upstream",
                upstream = upstream.id.as_str(),
                is_silent;
                "its host was checked, as its sidecar does not report"
            );
            self.upstreams.changed.notify_waiters();
        }
    }

    /// Counts a caller that left by what is known of the host of its run.
    pub(crate) fn count_left_caller(&self, context: &RequestContext) {
        let now = self.clock.now();
        self.metrics.count_left_caller(match &context.sent_to {
            None => "not_sent",
            Some(upstream) if upstream.is_host_silent() => "host_silent",
            Some(upstream) if upstream.is_host_doubtful(now) => "host_doubtful",
            Some(upstream) if upstream.heard_at().is_some() => "host_alive",
            Some(_) => "host_unknown",
        });
    }

    /// Waits until a caller of a stream would leave without an answer, while the host of its
    /// run shows no sign of life.
    ///
    /// Before that the host may go on, and the run may complete the answer.
    pub(crate) async fn wait_until_answer_is_due(
        &self,
        answer_at: Option<UnixMs>,
        upstream: &Upstream,
    ) {
        let Some(answer_at) = answer_at else { return std::future::pending().await };
        sleep(answer_at.remaining(self.clock.now())).await;
        upstream.wait_until_host_silent().await;
    }
}
