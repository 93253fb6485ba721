//! Handling of completion requests.

use std::sync::Arc;
use std::time::Duration;

use bilberry_core::Name;
use bilberry_node::BodyChunk;
use bilberry_node::ClientConnection;
use bilberry_node::RequestBody;
use bilberry_node::ResponseBody;
use bilberry_platform::Platform;
use bytes::Bytes;
use hyper::Response;
use hyper::header::CACHE_CONTROL;
use hyper::header::CONTENT_TYPE;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::ApiError;
use crate::CompletionRequest;
use crate::CompletionStyle;
use crate::Entry;
use crate::ErrorKind;
use crate::UpstreamProber;
use crate::entry::Admitted;
use crate::run::Run;
use crate::run::RunOutput;
use crate::run::RunParams;
use crate::sse::CompletionWriter;

/// The maximum number of events buffered for a caller that reads slowly.
const MAX_BUFFERED_EVENTS: usize = 64;

impl<P: Platform, K: UpstreamProber> Entry<P, K> {
    /// Handles a completion request.
    pub(crate) async fn complete(
        self: Arc<Self>,
        mut admitted: Admitted<P, K>,
        style: CompletionStyle,
        body: RequestBody,
    ) -> Result<Response<ResponseBody>, ApiError> {
        let request = CompletionRequest::parse(style, &body.to_bytes())?;
        admitted.charge = body.charge();
        drop(body);
        let Admitted { compiled, customer, deadline, id, .. } = &admitted;
        let configured = compiled.models.get(&request.model);
        let model = configured
            .filter(|model| customer.models.contains(&model.name))
            .ok_or_else(|| unknown_model(&request.model))?;
        let params = RunParams {
            compiled: compiled.clone(),
            customer: customer.clone(),
            model: model.clone(),
            request,
            id: id.clone(),
            deadline: *deadline,
        };
        let run = Run::new(self.clone(), params);
        let writer = CompletionWriter::new(style, run.id(), &run.request().model);
        match run.request().stream {
            true => self.stream(admitted, run, writer).await,
            false => collect(run, writer).await,
        }
    }

    /// Streams a response.
    ///
    /// Nothing is sent until the first output has arrived, so that a rejection can
    /// still be returned with its own status code.
    async fn stream(
        self: Arc<Self>,
        admitted: Admitted<P, K>,
        mut run: Run<P, K>,
        writer: CompletionWriter,
    ) -> Result<Response<ResponseBody>, ApiError> {
        let first = run.next().await?;
        let (pieces, body) = mpsc::channel(MAX_BUFFERED_EVENTS);
        let write_timeout = Duration::from_millis(self.limits.write_timeout_ms);
        let entry = self.clone();
        let client = admitted.client.clone();
        let send = async move {
            let end =
                send_stream(&mut run, &writer, first, &pieces, &client, write_timeout)
                    .await;
            entry.node.metrics.count_answer(end);
            // The customer's concurrency slot is held until the stream ends.
            drop(admitted);
        };
        self.tasks.spawn(send);
        let response = Response::builder()
            .header(CONTENT_TYPE, "text/event-stream")
            .header(CACHE_CONTROL, "no-cache")
            .body(ResponseBody::Stream(body));
        Ok(response.expect("constant headers are valid"))
    }
}

/// Sends a stream until it ends; returns the code under which it is counted.
async fn send_stream<P: Platform, K: UpstreamProber>(
    run: &mut Run<P, K>,
    writer: &CompletionWriter,
    first: RunOutput,
    pieces: &mpsc::Sender<BodyChunk>,
    client: &Arc<ClientConnection>,
    write_timeout: Duration,
) -> &'static str {
    let include_usage = run.request().include_usage;
    let mut output = Ok(first);
    let mut is_first = true;
    loop {
        let (bytes, last) = match &output {
            Ok(RunOutput::Text(text)) => (writer.text(text, is_first), None),
            Ok(RunOutput::End(end)) => (writer.end(end, include_usage), Some("ok")),
            Err(error) => (writer.error(error), Some("stream_interrupted")),
        };
        is_first = false;
        let held = timeout(write_timeout, client.hold(bytes)).await;
        let Ok(bytes) = held else { return "caller_gone" };
        if !send_piece(pieces, BodyChunk::Data(bytes), write_timeout).await {
            return "caller_gone";
        }
        if let Some(code) = last {
            send_piece(pieces, BodyChunk::End, write_timeout).await;
            return code;
        }
        output = run.next().await;
    }
}

/// Sends a piece of the body; returns false if the caller has disconnected or does
/// not read within `write_timeout`.
///
/// Without the timeout, a caller that stops reading would occupy the engine forever.
async fn send_piece(
    pieces: &mpsc::Sender<BodyChunk>,
    piece: BodyChunk,
    write_timeout: Duration,
) -> bool {
    matches!(timeout(write_timeout, pieces.send(piece)).await, Ok(Ok(())))
}

/// Collects a response that is not streamed.
async fn collect<P: Platform, K: UpstreamProber>(
    mut run: Run<P, K>,
    writer: CompletionWriter,
) -> Result<Response<ResponseBody>, ApiError> {
    let mut text = String::new();
    loop {
        match run.next().await? {
            RunOutput::Text(piece) => text.push_str(&piece),
            RunOutput::End(end) => {
                let body = Bytes::from(writer.full_response(&text, &end));
                let response = Response::builder()
                    .header(CONTENT_TYPE, "application/json")
                    .body(ResponseBody::full(body));
                return Ok(response.expect("constant headers are valid"));
            }
        }
    }
}

fn unknown_model(model: &Name) -> ApiError {
    let message =
        format!("model `{model}` is not yours to use; GET /v1/models lists those");
    ApiError::not_run(ErrorKind::NotFound, "model_not_found", message)
}
