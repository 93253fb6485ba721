//! Execution of completions on the engine.

use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::Name;
use bilberry_core::SystemClock;
use bilberry_core::TOKENS_PER_BLOCK;
use bilberry_core::UnixMs;
use bilberry_node::Reply;
use bilberry_platform::Platform;
use bilberry_wire::Body;
use bilberry_wire::Chunk;
use bilberry_wire::Dispatch;
use bilberry_wire::Finished;
use bilberry_wire::Refused;
use tokio::time::timeout;

use crate::Engine;
use crate::EngineCall;
use crate::EngineError;
use crate::EngineInfo;
use crate::EngineOutput;
use crate::EngineStream;
use crate::Permit;
use crate::PlainService;
use crate::Sidecar;
use crate::StreamEnd;
use crate::Work;
use crate::exchange::with_timeout;
use crate::refusals::may_have_run;
use crate::refusals::not_admitted;
use crate::refusals::not_run;

/// The maximum number of starts of a request while the weights change.
const MAX_STARTS: usize = 3;

/// The error message for an engine that exceeds the silence timeout.
const SILENCE_MESSAGE: &str = "the engine is silent";

impl<P: Platform, E: Engine, S: PlainService> Sidecar<P, E, S> {
    /// Serves a completion; sends exactly one final message.
    pub(crate) async fn serve_completion(&self, dispatch: Dispatch, reply: Reply) {
        let work = self.work_of(&dispatch);
        let final_message =
            match self.admission.acquire_permit(work, SystemClock.now()).await {
                Ok(permit) => self.run_completion(&dispatch, &reply, permit).await,
                Err(refusal) => not_admitted(refusal),
            };
        if let Body::Refused(refused) = &final_message {
            self.node.events.record(&dispatch.request, "refused", refused.code.clone());
        }
        reply.send(final_message).await;
    }

    fn work_of(&self, dispatch: &Dispatch) -> Work {
        let held = self.held_blocks(dispatch.blocks as usize, &dispatch.sample);
        let missing = u64::from(dispatch.blocks).saturating_sub(held as u64);
        Work {
            customer: Name::from(dispatch.customer.as_str()),
            weight: u64::from(dispatch.weight),
            priority: dispatch.priority.min(255) as u8,
            prefill_tokens: missing * TOKENS_PER_BLOCK + TOKENS_PER_BLOCK / 2,
            output_tokens: u64::from(dispatch.max_tokens),
            deadline: UnixMs(dispatch.deadline_unix_ms),
        }
    }

    /// Starts the request on the engine and forwards the stream; returns the final
    /// message.
    async fn run_completion(
        &self,
        dispatch: &Dispatch,
        reply: &Reply,
        permit: Permit,
    ) -> Body {
        for _ in 0..MAX_STARTS {
            // Each request may store a newer state, so the state is read once.
            let info = self.view.info();
            let weights = &info.weights;
            // An answer must be continued with the weights that started it.
            if !dispatch.weights.is_empty() && dispatch.weights != *weights {
                let message = "the engine runs other weights; another upstream is tried";
                return not_run("wrong_weights", message, None);
            }
            if !self.health.admit() {
                let message = "the engine fails; another upstream is tried";
                return not_run("upstream_down", message, None);
            }
            let call = self.engine_call(dispatch, &info);
            self.node.events.record(&dispatch.request, "engine_started", weights);
            let silence = permit.silence_timeout();
            let start = self.engine.run(call);
            let stream = match self.await_engine(dispatch, reply, silence, start).await {
                Ok(stream) => stream,
                Err(error) => return self.engine_refusal(error),
            };
            // The salt was computed for other weights than the engine runs now, so the
            // request could use cached blocks of the wrong weights. As nothing was
            // forwarded yet, it can be restarted.
            if stream.info().weights != *weights {
                self.view.mark(weights);
                let max_running = self.view.info().max_running;
                self.view.store(EngineInfo { max_running, ..stream.info().clone() });
                continue;
            }
            return self.forward(dispatch, reply, permit, stream).await;
        }
        not_run("weights_changing", "the engine's weights keep changing", None)
    }

    /// Returns the call for an engine in a state, whose weights its salt names.
    fn engine_call(&self, dispatch: &Dispatch, info: &EngineInfo) -> EngineCall {
        let Dispatch { cache_scope, model, adapter, .. } = dispatch;
        EngineCall {
            path: dispatch.path.clone(),
            body: dispatch.body.clone(),
            cache_salt: self.view.scope(info, cache_scope, model, adapter).salt(),
            priority: dispatch.priority,
            resume_text: dispatch.resume_text.clone(),
        }
    }

    /// Waits for an operation of the engine, and reports its silence to the entry.
    ///
    /// An entry that does not handle the report has to send the request elsewhere.
    async fn await_engine<T>(
        &self,
        dispatch: &Dispatch,
        reply: &Reply,
        silence: Duration,
        operation: impl Future<Output = Result<T, EngineError>>,
    ) -> Result<T, EngineError> {
        if !dispatch.handles_silence {
            return with_timeout(silence, SILENCE_MESSAGE, operation).await;
        }
        tokio::pin!(operation);
        loop {
            if let Ok(result) = timeout(silence, &mut operation).await {
                return result;
            }
            self.health.fail();
            reply.send(Body::Silent(true)).await;
        }
    }

    /// Forwards the stream as numbered chunks; returns the final message.
    async fn forward(
        &self,
        dispatch: &Dispatch,
        reply: &Reply,
        mut permit: Permit,
        mut stream: E::Stream,
    ) -> Body {
        let weights = stream.info().weights.clone();
        let attempt = dispatch.attempt;
        let mut number = 0;
        loop {
            let silence = permit.silence_timeout();
            let next = stream.next();
            let text = match self.await_engine(dispatch, reply, silence, next).await {
                Ok(EngineOutput::Text(text)) => text,
                Ok(EngineOutput::End(end)) => {
                    self.health.succeed();
                    let computed = end.prompt_tokens.saturating_sub(end.cached_tokens);
                    permit.record_served(computed, end.completion_tokens);
                    return finished(attempt, number, end);
                }
                Err(error) => return self.engine_refusal(error),
            };
            permit.record_first_token();
            let weights = if number == 0 { weights.clone() } else { String::new() };
            let chunk = Chunk { attempt, number, text, weights };
            if !reply.send(Body::Chunk(chunk)).await {
                return may_have_run("caller_gone", "the caller went away");
            }
            number += 1;
        }
    }

    fn engine_refusal(&self, error: EngineError) -> Body {
        match error {
            // A rejected request does not indicate that the engine is unhealthy.
            EngineError::Refused { status, message } if (400..500).contains(&status) => {
                self.health.succeed();
                Body::Refused(Refused {
                    code: "upstream_refused".to_string(),
                    message,
                    may_have_run: false,
                    retry_after_ms: 0,
                    upstream_status: u32::from(status),
                })
            }
            EngineError::Unreachable(_) => {
                self.health.fail();
                not_run("upstream_down", &error.to_string(), None)
            }
            EngineError::Lost(_) | EngineError::Refused { .. } => {
                self.health.fail();
                may_have_run("upstream_lost", &error.to_string())
            }
        }
    }
}

fn finished(attempt: u32, chunks: u64, end: StreamEnd) -> Body {
    Body::Finished(Finished {
        attempt,
        chunks,
        reason: end.reason,
        prompt_tokens: end.prompt_tokens,
        cached_tokens: end.cached_tokens,
        completion_tokens: end.completion_tokens,
    })
}
