//! Conversion, recording and replay of answers from plain services.

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use bilberry_core::RecordedAnswer;
use bilberry_core::RepeatVerdict;
use bilberry_core::RunState;
use bilberry_core::retry_after_ms;
use bilberry_node::ResponseBody;
use bilberry_wire::PlainAnswer;
use bytes::Bytes;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;

use crate::ApiError;
use crate::ErrorKind;

/// The maximum size of an answer that is recorded with its claim.
const MAX_RECORDED_ANSWER_BYTES: usize = 64 * 1024;

/// Returns the record of an answer to store with its claim.
pub(crate) fn recorded_answer(answer: &PlainAnswer) -> RecordedAnswer {
    let is_recorded = answer.body.len() <= MAX_RECORDED_ANSWER_BYTES;
    RecordedAnswer {
        status: answer.status as u16,
        content_type: answer.content_type.clone(),
        body_base64: is_recorded.then(|| BASE64_STANDARD.encode(&answer.body)),
    }
}

/// Responds to a call whose key was used before.
pub(crate) fn respond_to_repeat(
    verdict: RepeatVerdict,
) -> Result<Response<ResponseBody>, ApiError> {
    let conflict = |code, message, run_state| {
        ApiError::not_run(ErrorKind::Conflict, code, message).with_run_state(run_state)
    };
    match verdict {
        RepeatVerdict::Answer(answer) => replay(answer),
        RepeatVerdict::Mismatch => {
            let message = "the key was used for another request; take a new key";
            Err(ApiError::not_run(ErrorKind::Mismatch, "key_reused", message))
        }
        RepeatVerdict::Unclear => Err(conflict(
            "outcome_unknown",
            "the call with this key may have run; check with the service before you \
             send it under a new key",
            RunState::MayHaveRun,
        )),
        RepeatVerdict::Running | RepeatVerdict::Own | RepeatVerdict::Reclaim => {
            let message = "the call with this key is running; come back for its answer";
            Err(conflict("in_progress", message, RunState::MayHaveRun)
                .retry_after(retry_after_ms(0, rand::random())))
        }
    }
}

fn replay(answer: RecordedAnswer) -> Result<Response<ResponseBody>, ApiError> {
    let recorded_body =
        answer.body_base64.and_then(|text| BASE64_STANDARD.decode(text).ok());
    let Some(body) = recorded_body else {
        let message = "the call ran; its answer was too large to be kept";
        let error = ApiError::not_run(ErrorKind::Conflict, "answer_not_kept", message);
        return Err(error.with_run_state(RunState::Ran));
    };
    Ok(into_response(PlainAnswer {
        status: u32::from(answer.status),
        content_type: answer.content_type,
        body: body.into(),
    }))
}

/// Converts the answer of a service into an HTTP response.
pub(crate) fn into_response(answer: PlainAnswer) -> Response<ResponseBody> {
    let status = u16::try_from(answer.status).unwrap_or(502);
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::builder().status(status);
    if !answer.content_type.is_empty() {
        response = response.header(CONTENT_TYPE, answer.content_type);
    }
    let response = response.body(ResponseBody::full(answer.body));
    response.unwrap_or_else(|_| Response::new(ResponseBody::full(Bytes::new())))
}
