//! The cache salt of a request while the weights of its engine change.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bilberry_core::CacheEvent;
use bilberry_core::ClientLimits;
use bilberry_core::HostResources;
use bilberry_node::ClientMetrics;
use bilberry_node::Clients;
use bilberry_node::Node;
use bilberry_node::PeerPool;
use bilberry_node::serve_peers;
use bilberry_platform::HttpPlatform;
use bilberry_sidecar::Engine;
use bilberry_sidecar::EngineCall;
use bilberry_sidecar::EngineError;
use bilberry_sidecar::EngineEvents;
use bilberry_sidecar::EngineInfo;
use bilberry_sidecar::EngineOutput;
use bilberry_sidecar::EngineStream;
use bilberry_sidecar::HttpPlainService;
use bilberry_sidecar::Sidecar;
use bilberry_sidecar::Snapshot;
use bilberry_sidecar::StreamEnd;
use bilberry_wire::Body;
use bilberry_wire::Dispatch;
use bilberry_wire::Member;
use bilberry_wire::RequestKind;
use tokio::net::TcpListener;

/// An engine whose weights change all the time, and whose answers are the salt.
#[derive(Debug, Clone, Default)]
struct ChangingEngine {
    calls: Arc<AtomicU64>,
}

struct SaltStream {
    info: EngineInfo,
    salt: Option<String>,
}

struct NoEvents;

impl Engine for ChangingEngine {
    type Stream = SaltStream;
    type Events = NoEvents;

    async fn run(&self, call: EngineCall) -> Result<SaltStream, EngineError> {
        let info = self.info().await?;
        Ok(SaltStream { info, salt: Some(call.cache_salt) })
    }

    async fn info(&self) -> Result<EngineInfo, EngineError> {
        let call = self.calls.fetch_add(1, Ordering::Relaxed);
        let weights = if call.is_multiple_of(3) { "w1" } else { "w2" }.to_string();
        Ok(EngineInfo { incarnation: 1, weights, max_running: 16 })
    }

    async fn events(&self) -> Result<NoEvents, EngineError> {
        Ok(NoEvents)
    }

    async fn snapshot(&self) -> Result<Snapshot, EngineError> {
        Ok(Snapshot::default())
    }

    async fn load_weights(&self, _: &str, _: u64) -> Result<(), EngineError> {
        Ok(())
    }
}

impl EngineStream for SaltStream {
    fn info(&self) -> &EngineInfo {
        &self.info
    }

    async fn next(&mut self) -> Result<EngineOutput, EngineError> {
        Ok(match self.salt.take() {
            Some(salt) => EngineOutput::Text(salt),
            None => EngineOutput::End(StreamEnd::default()),
        })
    }
}

impl EngineEvents for NoEvents {
    async fn next(&mut self) -> Result<CacheEvent, EngineError> {
        std::future::pending().await
    }
}

/// Serves the peers of a sidecar of an engine whose weights change.
async fn start_sidecar() -> SocketAddr {
    let nobody = SocketAddr::from(([127, 0, 0, 1], 9));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("no port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let node = Node::new(Member::default(), false);
    let sidecar = Sidecar::new(
        node.clone(),
        HttpPlatform::new(nobody, 100, 100),
        "a-0".into(),
        ChangingEngine::default(),
        HttpPlainService::new(nobody),
    );
    let limits = ClientLimits::peers(HostResources::default());
    let clients = Clients::new(limits, ClientMetrics::default());
    tokio::spawn(serve_peers(node, listener, clients, sidecar));
    address
}

fn dispatch(attempt_token: u64) -> Dispatch {
    Dispatch {
        attempt_token,
        kind: RequestKind::Completion.into(),
        cache_scope: "anna".to_string(),
        model: "m".to_string(),
        path: "/v1/completions".to_string(),
        deadline_unix_ms: u64::MAX,
        ..Dispatch::default()
    }
}

/// Guards against a salt for weights that the engine no longer runs: the blocks under it
/// were computed with other weights.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_answer_is_sent_from_a_salt_of_other_weights() {
    let address = start_sidecar().await;
    let callers = (0..8).map(|caller| {
        tokio::spawn(async move {
            let links = PeerPool::new(Node::new(Member::default(), false));
            let mut answers = Vec::new();
            for at in 0..3_000 {
                let dispatch = dispatch(caller * 10_000 + at);
                let mut call =
                    links.call(address, Body::Dispatch(dispatch)).await.unwrap();
                if let Body::Chunk(chunk) = call.next().await.unwrap() {
                    answers.push((chunk.text, chunk.weights));
                }
            }
            answers
        })
    });
    let mut weights_by_salt = HashMap::new();
    for caller in callers.collect::<Vec<_>>() {
        for (salt, weights) in caller.await.unwrap() {
            let first = weights_by_salt.entry(salt).or_insert_with(|| weights.clone());
            assert_eq!(*first, weights, "a salt of two versions");
        }
    }
    assert!(weights_by_salt.len() > 1, "no answers of both versions");
}
