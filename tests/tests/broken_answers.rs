//! Broken answers of engines, plain services and the object API.

use std::time::Duration;

use bilberry_platform::PlatformError;
use bilberry_platform::StoreClient;
use bilberry_sidecar::Engine;
use bilberry_sidecar::EngineCall;
use bilberry_sidecar::EngineError;
use bilberry_sidecar::EngineOutput;
use bilberry_sidecar::EngineStream;
use bilberry_sidecar::HttpEngine;
use bilberry_sidecar::HttpPlainService;
use bilberry_sidecar::PlainError;
use bilberry_sidecar::PlainRequest;
use bilberry_sidecar::PlainService;
use bilberry_tests::BrokenAnswer;
use bilberry_tests::RawServer;
use bytes::Bytes;
use hyper::Method;
use tokio::time::timeout;

/// The time within which a broken answer is recognized.
const MAX_TIME: Duration = Duration::from_secs(5);

/// The header lines of a sound answer, besides its length.
const LINES: &str = "Content-Type: application/json\r\n";

/// Returns the broken answers that `is_right` does not recognize.
async fn unrecognized<T: std::fmt::Debug>(
    status: u16,
    body: &str,
    call: impl AsyncFn(std::net::SocketAddr) -> T,
    is_right: impl Fn(BrokenAnswer, &T) -> bool,
) -> Vec<String> {
    let mut wrong = Vec::new();
    for answer in BrokenAnswer::ALL {
        let bytes = answer.bytes(status, LINES, body);
        let server = RawServer::start(bytes, answer.keeps_connection()).await;
        let result = timeout(MAX_TIME, call(server.address)).await;
        if !result.as_ref().is_ok_and(|result| is_right(answer, result)) {
            wrong.push(format!("{answer:?}: {result:?}"));
        }
    }
    wrong
}

fn completion() -> EngineCall {
    EngineCall {
        path: "/v1/completions".to_string(),
        body: Bytes::from_static(b"{}"),
        cache_salt: String::new(),
        priority: 0,
        resume_text: String::new(),
    }
}

fn proof() -> PlainRequest {
    PlainRequest {
        method: "POST".to_string(),
        path: "/send".to_string(),
        content_type: String::new(),
        body: Bytes::from_static(b"proof"),
        idempotency_key: String::new(),
    }
}

/// Guards against a part of an answer that counts as whole, as a crash ended its connection.
#[tokio::test]
async fn an_answer_without_a_length_of_a_plain_service_is_lost() {
    let answer = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\na part".to_vec();
    let server = RawServer::start(answer, false).await;
    let result = HttpPlainService::new(server.address).call(proof()).await;
    assert!(matches!(result, Err(PlainError::Lost(_))), "{result:?}");
}

/// Guards against answers of a service that callers get though they are not its own.
#[tokio::test]
async fn a_broken_answer_of_a_plain_service_is_lost() {
    let call = async |address| HttpPlainService::new(address).call(proof()).await;
    let is_lost = |_, result: &Result<_, _>| matches!(result, Err(PlainError::Lost(_)));
    for status in [200, 500] {
        let wrong = unrecognized(status, "{\"sent\":true}", call, is_lost).await;
        assert!(wrong.is_empty(), "{status}: {}", wrong.join("\n"));
    }
}

/// Guards against streams that look complete though their bytes are not the engine's.
#[tokio::test]
async fn a_broken_stream_of_an_engine_is_lost() {
    let body = "data: {\"choices\":[{\"text\":\"yes\"}]}\n\ndata: [DONE]\n\n";
    let run = async |address| {
        let mut stream = HttpEngine::new(address).run(completion()).await?;
        loop {
            if let EngineOutput::End(end) = stream.next().await? {
                return Ok::<_, EngineError>(end);
            }
        }
    };
    // The end mark shows that a stream is complete, whatever follows it.
    let is_lost = |answer: BrokenAnswer, result: &Result<_, _>| {
        !answer.is_in_head() || matches!(result, Err(EngineError::Lost(_)))
    };
    let wrong = unrecognized(200, body, run, is_lost).await;
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Guards against sidecars that act on what a broken answer says of their engine.
#[tokio::test]
async fn a_broken_answer_to_a_query_of_an_engine_is_lost() {
    let info = "{\"incarnation\":7,\"weights\":\"w2\",\"max_running\":8}";
    let query = async |address| HttpEngine::new(address).info().await;
    let is_lost = |_, result: &Result<_, _>| matches!(result, Err(EngineError::Lost(_)));
    let wrong = unrecognized(200, info, query, is_lost).await;
    assert!(wrong.is_empty(), "info: {}", wrong.join("\n"));
    let blocks = "{\"incarnation\":7,\"next_sequence\":1,\"blocks\":[1,2,3]}";
    let query = async |address| HttpEngine::new(address).snapshot().await.map(|_| ());
    let is_lost = |_, result: &Result<_, _>| matches!(result, Err(EngineError::Lost(_)));
    let wrong = unrecognized(200, blocks, query, is_lost).await;
    assert!(wrong.is_empty(), "snapshot: {}", wrong.join("\n"));
    let events = async |address| HttpEngine::new(address).events().await.map(|_| ());
    let is_lost = |answer: BrokenAnswer, result: &Result<_, _>| {
        !answer.is_in_head() || matches!(result, Err(EngineError::Lost(_)))
    };
    let wrong = unrecognized(200, "{}\n", events, is_lost).await;
    assert!(wrong.is_empty(), "events: {}", wrong.join("\n"));
}

/// Guards against orders that count as carried out after a broken answer.
#[tokio::test]
async fn a_broken_answer_does_not_confirm_an_order() {
    let order = async |address| HttpEngine::new(address).load_weights("w2", 1).await;
    // The status alone confirms an order, so a part of the body says as much as all of it.
    let is_lost = |answer: BrokenAnswer, result: &Result<_, _>| {
        answer.is_body_cut_short() || matches!(result, Err(EngineError::Lost(_)))
    };
    let wrong = unrecognized(200, "{\"loaded\":true}", order, is_lost).await;
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Guards against reports, orders, lists and objects that are read from a broken answer.
#[tokio::test]
async fn a_broken_answer_to_a_call_has_an_unknown_outcome() {
    for (status, method) in [(200, Method::GET), (202, Method::POST), (404, Method::GET)]
    {
        let call = async |address| {
            let client = StoreClient::new(address, 2_000, 200);
            client.call(method.clone(), "/v1/objects/a", Bytes::new(), 0).await
        };
        let is_unknown = |_, result: &Result<_, _>| {
            matches!(result, Err(PlatformError::UnknownOutcome(_)))
        };
        let wrong = unrecognized(status, "{\"version\":3}", call, is_unknown).await;
        assert!(wrong.is_empty(), "{status}: {}", wrong.join("\n"));
    }
}
