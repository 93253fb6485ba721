//! Retries that requests take from the budget of their service.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use bilberry_core::BudgetLimits;
use bilberry_core::Clock;
use bilberry_core::Name;
use bilberry_core::QuotaDecision;
use bilberry_core::RetryKind;
use bilberry_core::RetrySource;
use bilberry_core::SharedRetryBudget;
use bilberry_wire::QuotaRequest;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use crate::Dialect;
use crate::Gateway;
use crate::metrics::OutcomeLabel;
use crate::quota_client::ChargedQuota;
use crate::quota_client::QuotaClient;
use crate::request_permit::OwnerRounds;

/// This entry's parts of the retry budgets of all services.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    limits: BudgetLimits,
    /// Retries by what became of them.
    outcomes: Family<OutcomeLabel, Counter>,
    by_pool: Mutex<HashMap<Name, SharedRetryBudget>>,
}

/// A retry that was taken from the budget.
///
/// It counts as arrived once it is dropped after the send, and is returned if it is dropped
/// before.
#[derive(Debug)]
pub(crate) struct RetryPermit {
    budgets: Arc<RetryBudgets>,
    quotas: Arc<QuotaClient>,
    pool: Name,
    /// What was taken from the entry's own part.
    own: f64,
    /// What was charged to the shared bucket.
    charged: Option<ChargedQuota>,
    /// Whether the budget has granted it.
    is_granted: bool,
    is_sent: AtomicBool,
}

impl RetryBudgets {
    /// Creates the budgets of an entry that has had no requests.
    pub(crate) fn new(
        limits: BudgetLimits,
        outcomes: Family<OutcomeLabel, Counter>,
    ) -> Self {
        Self { limits, outcomes, by_pool: Mutex::default() }
    }

    fn count(&self, outcome: &'static str) {
        self.outcomes.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Changes or reads the budget of a service.
    pub(crate) fn with<T>(
        &self,
        pool: &Name,
        act: impl FnOnce(&mut SharedRetryBudget) -> T,
    ) -> T {
        let mut by_pool = self.by_pool.lock().unwrap();
        let fresh = || SharedRetryBudget::new(self.limits);
        act(by_pool.entry(pool.clone()).or_insert_with(fresh))
    }
}

impl RetryPermit {
    /// Records whether the request may have reached its upstream.
    pub(crate) fn set_sent(&self, is_sent: bool) {
        self.is_sent.store(is_sent, Ordering::Relaxed);
    }
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        let own = self.own;
        if *self.is_sent.get_mut() {
            self.budgets.count("arrived");
            self.budgets.with(&self.pool, |budget| budget.record_arrival(own));
            return;
        }
        self.budgets.with(&self.pool, |budget| budget.cancel(own));
        if let Some(charged) = &self.charged {
            self.quotas.refund(charged);
        }
        if self.is_granted {
            self.budgets.count("returned");
        }
    }
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Counts a client request towards its service's retry budget.
    pub(crate) fn count_request(&self, pool: &Name) {
        let now = self.clock.now();
        self.retries.with(pool, |budget| budget.count_request(now));
    }

    /// Reports whether the service's retry budget may have a retry left.
    pub(crate) fn may_take_retry(&self, pool: &Name, kind: RetryKind) -> bool {
        let now = self.clock.now();
        self.retries.with(pool, |budget| budget.has_left(now, kind))
    }

    /// Takes a retry from the service's budget; `None` if none is left.
    pub(crate) async fn take_retry(
        &self,
        pool: &Name,
        kind: RetryKind,
    ) -> Option<Arc<RetryPermit>> {
        let now = self.clock.now();
        let source = self.retries.with(pool, |budget| budget.take(now, kind));
        let mut permit = RetryPermit {
            budgets: self.retries.clone(),
            quotas: self.quotas.clone(),
            pool: pool.clone(),
            own: source.own(),
            charged: None,
            is_granted: false,
            is_sent: AtomicBool::new(false),
        };
        let outcome = match source {
            RetrySource::Own => Some("own"),
            RetrySource::Shared { own } => {
                let (is_admitted, charged) =
                    self.charge_shared_retry(pool, 1.0 - own).await;
                permit.charged = charged;
                is_admitted.then_some("shared")
            }
            RetrySource::Denied => None,
        };
        self.retries.count(outcome.unwrap_or("denied"));
        permit.is_granted = outcome.is_some();
        permit.is_granted.then(|| Arc::new(permit))
    }

    /// Charges a retry, or the rest of it, to the bucket that all entries share; returns
    /// whether the bucket had it, and what was charged at owners.
    async fn charge_shared_retry(
        &self,
        pool: &Name,
        cost: f64,
    ) -> (bool, Option<ChargedQuota>) {
        let limits = &self.settings.budget;
        let Some(quota) = limits.shared_quota() else { return (false, None) };
        let request = QuotaRequest {
            customer: bucket_name(pool),
            rate_per_s: quota.rate_per_s,
            burst: quota.burst,
            cost,
            initial: limits.shared_initial(),
            is_uniform: true,
            ..QuotaRequest::default()
        };
        let (decision, charged) = self.charge_bucket(request, OwnerRounds::Several).await;
        let now = self.clock.now();
        self.retries.with(pool, |budget| match decision {
            QuotaDecision::Admitted => budget.record_shared_granted(),
            QuotaDecision::Denied { wait_ms } => {
                budget.record_shared_denied(wait_ms, now);
            }
        });
        (decision == QuotaDecision::Admitted, charged)
    }
}

/// Returns the name of the bucket of a service's retries.
///
/// Begins with a character that no customer's name contains.
fn bucket_name(pool: &str) -> String {
    format!("\0retries/{pool}")
}
