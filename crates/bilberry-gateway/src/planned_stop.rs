//! Requests that come or are in progress while the entry stops as planned.

use std::collections::HashMap;
use std::sync::Mutex;

use bilberry_core::AnswerTimes;
use bilberry_core::Clock;
use bilberry_core::Name;
use bilberry_core::PlannedStop;
use bilberry_core::UnixMs;
use tokio::time::sleep;

use crate::CallKind;
use crate::Dialect;
use crate::Gateway;
use crate::Refusal;
use crate::RequestContext;

/// The number of routes from which those without recent answers are forgotten.
const MAX_ROUTES: usize = 1_024;

/// The share of recent answers on a route that must fit into the time that is left.
///
/// A refused caller needs another entry, which may be stopping too.
const IN_TIME_SHARE: f64 = 0.9;

/// How long recent answers took, by route.
#[derive(Debug, Default)]
pub(crate) struct RouteTimes(Mutex<HashMap<Name, AnswerTimes>>);

impl RouteTimes {
    fn record(&self, route: &Name, took_ms: u64, now: UnixMs) {
        let mut times = self.0.lock().unwrap();
        if times.len() >= MAX_ROUTES {
            times.retain(|_, times| times.has_recent(now));
        }
        times.entry(route.clone()).or_default().record(took_ms, now);
    }

    fn usual_ms(&self, route: &Name, now: UnixMs) -> Option<u64> {
        self.0.lock().unwrap().get(route)?.quantile_ms(IN_TIME_SHARE, now)
    }
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Begins a planned stop, so that the entry becomes unready for new callers.
    pub fn stop(&self, grace_ms: u64) -> PlannedStop {
        let stop = PlannedStop::begin(self.clock.now(), grace_ms);
        self.planned_stop.send_replace(Some(stop));
        stop
    }

    /// Reports whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.planned_stop.borrow().is_some()
    }

    /// Records how long the answer to a request took.
    pub(crate) fn record_answer_time(&self, context: &RequestContext) {
        let now = self.clock.now();
        let took_ms = now.ms_since(context.arrived_at);
        self.route_times.record(&context.route.name, took_ms, now);
    }

    /// Refuses a request that can't be answered before the entry ends.
    pub(crate) fn check_stop(&self, context: &RequestContext) -> Result<(), Refusal> {
        let Some(stop) = *self.planned_stop.borrow() else { return Ok(()) };
        let now = self.clock.now();
        let route = &context.route;
        // A call that may be repeated gets a final answer in time if it takes longer.
        let assumed_ms = (route.kind == CallKind::Idempotent).then_some(route.target_ms);
        let usual_ms = self.route_times.usual_ms(&route.name, now).or(assumed_ms);
        match stop.can_answer(context.deadline, usual_ms, now) {
            true => Ok(()),
            false => Err(Refusal::Stopping),
        }
    }

    /// Waits until requests get a final answer, as the entry is about to end.
    pub(crate) async fn wait_until_final_answers(&self) {
        let mut planned_stop = self.planned_stop.subscribe();
        let begun = planned_stop.wait_for(Option::is_some).await.map(|stop| *stop);
        match begun {
            Ok(Some(stop)) => sleep(stop.answers_at.remaining(self.clock.now())).await,
            Ok(None) | Err(_) => std::future::pending().await,
        }
    }
}
