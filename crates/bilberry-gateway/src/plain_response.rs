//! Relays plain responses to the caller, buffering short ones in full.

use std::sync::Arc;

use bilberry_core::Clock;
use bilberry_node::BodyChunk;
use bilberry_node::ClientCharge;
use bilberry_node::ResponseBody;
use bilberry_platform::BodyError;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Body;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::Dialect;
use crate::Gateway;
use crate::Refusal;
use crate::RequestContext;
use crate::body_relay::BODY_CHANNEL_CAPACITY;
use crate::body_relay::BodyEnd;
use crate::forward::UpstreamResponse;
use crate::relay::SURPLUS_BYTES;

/// The largest plain response that is buffered in full before it is relayed.
///
/// If a buffered response is cut off, the request can still be retried on another
/// upstream.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// The part of a buffer that the cost of a caller's connection covers.
const UNCHARGED_BYTES: usize = 16 * 1024;

/// A plain response, complete or with the part that was buffered.
pub(crate) enum PlainResponse {
    Complete(Response<ResponseBody>),
    Partial(Box<UpstreamResponse>, Bytes),
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Buffers a plain response, in full unless it is too large; fails if it is cut off.
    pub(crate) async fn buffer_response(
        self: &Arc<Self>,
        context: &mut RequestContext,
        mut response: UpstreamResponse,
    ) -> Result<PlainResponse, Refusal> {
        self.record_prompt_read(context, &mut response.reservation);
        let left = context.deadline.remaining(self.clock.now());
        let mut read = BytesMut::new();
        let mut charge = context.client.charge();
        let buffering = buffer_body(&mut response, &mut read, &mut charge);
        let is_complete = match timeout(left, buffering).await {
            Ok(Ok(is_complete)) => is_complete,
            Ok(Err(error)) => {
                self.record_interrupted_run(context, &response.reservation.upstream);
                context.detail = format!("the response was cut off: {error}");
                return Err(Refusal::OutcomeUnknown);
            }
            Err(_) => return Err(Refusal::DeadlinePassed),
        };
        self.note_first_byte(context);
        let buffered = charge.attach(read.freeze());
        if !is_complete {
            return Ok(PlainResponse::Partial(Box::new(response), buffered));
        }
        let upstream = response.reservation.upstream.clone();
        if !response.http.body().framing().is_delimited()
            && !self.has_outlived_response(context, &upstream).await
        {
            self.record_interrupted_run(context, &upstream);
            context.detail = "the response was ended by a crash".to_string();
            return Err(Refusal::OutcomeUnknown);
        }
        if response.connection.has_surplus_bytes().await {
            self.record_interrupted_run(context, &upstream);
            context.detail = SURPLUS_BYTES.to_string();
            return Err(Refusal::OutcomeUnknown);
        }
        if response.http.status().is_success() {
            self.record_sound_parts(context);
        }
        let body = ResponseBody::full(buffered);
        let head = response.http.headers();
        let complete = self.caller_response(response.http.status(), head, body);
        self.keep_connection(response);
        Ok(PlainResponse::Complete(complete))
    }

    /// Streams a large plain response, of which `buffered` has been read, to the caller.
    ///
    /// As it is not buffered in full, the caller's response is cut off if this one is.
    pub(crate) fn stream_partial(
        self: Arc<Self>,
        mut context: RequestContext,
        mut response: UpstreamResponse,
        buffered: Bytes,
    ) -> Response<ResponseBody> {
        let (pieces, body) = mpsc::channel(BODY_CHANNEL_CAPACITY);
        let head = response.http.headers();
        let body = ResponseBody::Stream(body);
        let started = self.caller_response(response.http.status(), head, body);
        tokio::spawn(async move {
            let ended =
                self.stream_body(&context, &mut response, buffered, &pieces).await;
            match ended {
                BodyEnd::CallerLeft => self.record_abandoned_run(&context),
                BodyEnd::Complete if response.http.status().is_success() => {
                    self.record_sound_parts(&mut context);
                }
                BodyEnd::Complete | BodyEnd::Broken(_) | BodyEnd::DeadlinePassed => {}
            }
            self.record_outcome(&context, ended.outcome());
            if ended == BodyEnd::Complete {
                self.keep_connection(response);
                let _ = pieces.send(BodyChunk::End).await;
            }
        });
        started
    }

    async fn stream_body(
        self: &Arc<Self>,
        context: &RequestContext,
        response: &mut UpstreamResponse,
        buffered: Bytes,
        pieces: &mpsc::Sender<BodyChunk>,
    ) -> BodyEnd {
        let mut next = buffered;
        let upstream = response.reservation.upstream.clone();
        let is_delimited = response.http.body().framing().is_delimited();
        loop {
            // With its last part, a response with a length is complete for its caller.
            if response.http.body().is_end_stream()
                && response.connection.has_surplus_bytes().await
            {
                return BodyEnd::Broken(SURPLUS_BYTES);
            }
            if let Err(end) = self.send_part(context, pieces, next).await {
                return end;
            }
            let left = context.deadline.remaining(self.clock.now());
            let frame = tokio::select! {
                frame = response.http.body_mut().frame() => frame,
                _ = pieces.closed() => return BodyEnd::CallerLeft,
                _ = sleep(left) => return BodyEnd::DeadlinePassed,
            };
            next = match frame {
                None if response.connection.has_surplus_bytes().await => {
                    return BodyEnd::Broken(SURPLUS_BYTES);
                }
                None if is_delimited
                    || self.has_outlived_response(context, &upstream).await =>
                {
                    return BodyEnd::Complete;
                }
                None | Some(Err(_)) => {
                    self.record_interrupted_run(context, &upstream);
                    return BodyEnd::Broken("cut off");
                }
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
        }
    }
}

/// Reads a body up to the buffer limit, or as long as there is memory; returns false if
/// there is more.
async fn buffer_body(
    response: &mut UpstreamResponse,
    read: &mut BytesMut,
    charge: &mut ClientCharge,
) -> Result<bool, BodyError> {
    let mut charged_bytes = UNCHARGED_BYTES;
    while let Some(frame) = response.http.body_mut().frame().await {
        if let Ok(data) = frame?.into_data() {
            read.extend_from_slice(&data);
        }
        if read.len() > MAX_BUFFERED_BYTES {
            return Ok(false);
        }
        if read.capacity() > charged_bytes {
            if !charge.try_add((read.capacity() - charged_bytes) as u64) {
                return Ok(false);
            }
            charged_bytes = read.capacity();
        }
    }
    Ok(true)
}
