//! Helpers shared by plain responses and streams that are relayed to the caller.

use bilberry_core::Clock;
use bilberry_node::BodyChunk;
use bilberry_node::ResponseBody;
use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::Dialect;
use crate::Gateway;
use crate::RequestContext;
use crate::request_log::log_outcome;

/// How many body chunks may be queued for a slow caller.
pub(crate) const BODY_CHANNEL_CAPACITY: usize = 16;

/// How relaying a streamed body ended.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub(crate) enum BodyEnd {
    Complete,
    Broken(&'static str),
    CallerLeft,
    DeadlinePassed,
}

impl BodyEnd {
    /// Returns the name used in logs and metrics.
    pub(crate) fn outcome(self) -> &'static str {
        match self {
            Self::Complete => "served",
            Self::Broken(_) => "broken",
            Self::CallerLeft => "caller_left",
            Self::DeadlinePassed => "cut_at_deadline",
        }
    }
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Records how long the caller waited for the first byte.
    pub(crate) fn note_first_byte(&self, context: &mut RequestContext) {
        let first_byte_ms = self.clock.now().ms_since(context.arrived_at);
        context.first_byte_ms = Some(first_byte_ms);
        self.metrics.first_byte_seconds.observe(first_byte_ms as f64 / 1_000.0);
    }

    /// Builds the caller's response from an upstream's response.
    pub(crate) fn caller_response(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        body: ResponseBody,
    ) -> Response<ResponseBody> {
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = self.dialect.response_headers(headers);
        response
    }

    /// Passes a part of a response to the caller, at the latest at the deadline.
    ///
    /// Until the caller has read earlier parts, this one waits, and so does its upstream.
    pub(crate) async fn send_part(
        &self,
        context: &RequestContext,
        pieces: &mpsc::Sender<BodyChunk>,
        part: Bytes,
    ) -> Result<(), BodyEnd> {
        let left = context.deadline.remaining(self.clock.now());
        let sending = async {
            let part = context.client.hold(part).await;
            pieces.send(BodyChunk::Data(part)).await
        };
        tokio::select! {
            biased;
            sent = sending => sent.map_err(|_| BodyEnd::CallerLeft),
            _ = pieces.closed() => Err(BodyEnd::CallerLeft),
            _ = sleep(left) => Err(BodyEnd::DeadlinePassed),
        }
    }

    /// Counts and logs the outcome of a request.
    pub(crate) fn record_outcome(&self, context: &RequestContext, outcome: &'static str) {
        self.metrics.count_request(outcome);
        self.refund_unless_run(context);
        if outcome == BodyEnd::Complete.outcome() {
            self.record_served(context);
            self.record_answer_time(context);
        }
        let plain_success =
            outcome == "served" && context.sends == 1 && context.met_target();
        if self.log_budget.spend(self.clock.now(), plain_success) {
            log_outcome(context, outcome, &self.clock);
        } else {
            self.metrics.dropped_lines.inc();
        }
    }
}
