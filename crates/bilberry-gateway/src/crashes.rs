//! Which runs were in progress at an upstream when it crashed.
//!
//! A run whose connection ends early may have been cut by anything; it counts as in progress
//! at a crash only once the upstream's end is confirmed by its sidecar, by a later start,
//! or, where no sidecar reports, by a refused connection.

use std::sync::Arc;
use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::Name;
use bilberry_core::RequestKey;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::Dialect;
use crate::Gateway;
use crate::Job;
use crate::Upstream;
use crate::connections::ConnectError;
use crate::connections::connect;

/// How long the confirmation of a crash is waited for; sidecars report one within a
/// tenth of a second.
const CONFIRM_WITHIN: Duration = Duration::from_secs(2);

/// How long after a connection ended an upstream without a sidecar is probed, so that a
/// process that is about to exit has closed its listening socket.
const PROBE_AFTER: Duration = Duration::from_millis(50);

/// A run whose connection ended before its answer was whole.
#[derive(Debug)]
struct InterruptedRun {
    attempt: Name,
    key: RequestKey,
    upstream: Arc<Upstream>,
    ran_ms: u64,
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Records that a run's connection ended early, and whether its upstream crashed.
    ///
    /// An upstream that leaves ends as planned.
    pub(crate) fn record_interrupted_run(&self, job: &Job, upstream: &Arc<Upstream>) {
        if upstream.is_leaving() && !upstream.has_ended() {
            return;
        }
        let now = self.clock.now();
        let run = InterruptedRun {
            attempt: job.call.attempt.clone(),
            key: job.key,
            upstream: upstream.clone(),
            ran_ms: now.ms_since(job.sent_at),
        };
        let is_followed = upstream.is_followed(now);
        let crashed_runs = self.metrics.crashed_runs.clone();
        tokio::spawn(async move {
            if has_crashed(&run.upstream, is_followed).await {
                crashed_runs.inc();
                log_crash(&run);
            }
        });
    }
}

/// Returns whether an upstream that has closed a connection has crashed.
async fn has_crashed(upstream: &Upstream, is_followed: bool) -> bool {
    if is_followed || upstream.has_ended() {
        return timeout(CONFIRM_WITHIN, upstream.lost()).await.is_ok();
    }
    sleep(PROBE_AFTER).await;
    matches!(connect(upstream.address).await, Err(ConnectError::Refused))
}

fn log_crash(run: &InterruptedRun) {
    log::warn!(
        target: "crash",
        request = run.attempt.as_str(),
        key = run.key.to_string().as_str(),
        upstream = run.upstream.id.as_str(),
        ran_ms = run.ran_ms;
        "the upstream crashed during a run"
    );
}
