//! Each caller receives the complete answer to its own request.

use std::sync::Arc;

use bilberry_core::ClientLimits;
use bilberry_core::HostResources;
use bilberry_node::ClientMetrics;
use bilberry_node::Clients;
use bilberry_node::Node;
use bilberry_node::PeerHandler;
use bilberry_node::Reply;
use bilberry_node::register;
use bilberry_node::serve_peers;
use bilberry_platform::HttpPlatform;
use bilberry_standins::EngineTraits;
use bilberry_standins::expected_answer;
use bilberry_tests::Answer;
use bilberry_tests::Fleet;
use bilberry_tests::FleetConfig;
use bilberry_tests::eventually;
use bilberry_wire::Body;
use bilberry_wire::Chunk;
use bilberry_wire::Dispatch;
use bilberry_wire::Finished;
use bilberry_wire::Member;
use bilberry_wire::ProbeAnswer;
use bilberry_wire::Role;
use tokio::net::TcpListener;

/// Number of concurrent callers.
const CALLERS: usize = 300;

#[tokio::test(flavor = "multi_thread")]
async fn hundreds_at_once_get_their_own_answers_over_links_that_break() {
    // Three hundred callers share a few connections that are cut and restored under
    // load. Attempts are retried and late frames interleave with newer ones; each
    // caller must still receive the answer to its own prompt.
    let traits =
        EngineTraits { token_us: 5_000, max_running: 200, ..EngineTraits::default() };
    let mut fleet = Fleet::start(FleetConfig {
        entries: 2,
        engines: vec![traits; 3],
        proxied_sidecars: true,
        upstream: "max_running = 200\nqueue_limit = 400".to_string(),
        ..FleetConfig::default()
    })
    .await;
    let callers: Vec<_> = (0..CALLERS)
        .map(|at| {
            let caller = fleet.caller(at % 2, ["anna", "ben"][at / 2 % 2]);
            tokio::spawn(async move {
                let prompt = format!("caller {at} asks");
                let tokens = 20 + (at % 60) as u32;
                let answer = caller.complete(&prompt, tokens).await;
                (answer, expected_answer(&prompt, "w1", tokens))
            })
        })
        .collect();
    eventually("all engines run", || async {
        (fleet.engine_runs().await >= 100).then_some(())
    })
    .await;
    fleet.sidecar_proxies[0].delay_responses(150).await;
    fleet.sidecar_proxies[1].disconnect().await;
    fleet.sidecar_proxies[1].restore().await;
    fleet.sidecar_proxies[2].disconnect().await;
    fleet.sidecar_proxies[2].restore().await;
    let mut complete = 0;
    for running in callers {
        let (answer, expected) = running.await.expect("a caller ends");
        if answer.done {
            assert_eq!(answer.text, expected);
            complete += 1;
        } else {
            assert!(expected.starts_with(&answer.text));
            assert!(answer.error.is_some(), "a silent end: {answer:?}");
        }
    }
    assert!(complete >= CALLERS * 9 / 10, "only {complete} answers were whole");
}

/// Faults of a fake sidecar.
#[derive(Debug, Clone, Copy)]
enum SidecarFault {
    /// Sends duplicate and stale frames, and frames of another attempt.
    Duplicates,
    /// Omits a frame and reports the stream as complete.
    Omits,
}

impl PeerHandler for SidecarFault {
    async fn handle(&self, body: Body, reply: Reply) {
        match body {
            Body::Probe(_) => {
                let answer = ProbeAnswer { weights: "w1".to_string(), ..<_>::default() };
                reply.send(Body::ProbeAnswer(answer)).await;
            }
            Body::Dispatch(dispatch) => self.answer(&dispatch, &reply).await,
            _ => {}
        }
    }
}

impl SidecarFault {
    async fn answer(self, dispatch: &Dispatch, reply: &Reply) {
        let chunk = |attempt: u32, number: u64, text: &str| {
            let (text, weights) = (text.to_string(), "w1".to_string());
            Body::Chunk(Chunk { attempt, number, text, weights })
        };
        let attempt = dispatch.attempt;
        for (number, text) in [" one", " two", " three"].into_iter().enumerate() {
            let number = number as u64;
            match self {
                Self::Omits if number == 2 => {}
                Self::Omits => {
                    reply.send(chunk(attempt, number, text)).await;
                }
                Self::Duplicates => {
                    reply.send(chunk(attempt + 9, number, " another attempt's")).await;
                    reply.send(chunk(attempt, number, text)).await;
                    reply.send(chunk(attempt, number, text)).await;
                    reply.send(chunk(attempt, 0, " one")).await;
                }
            }
        }
        let reason = "stop".to_string();
        let end = Finished { attempt, chunks: 3, reason, ..Finished::default() };
        reply.send(Body::Finished(end)).await;
    }
}

/// Requests a completion from a fleet whose only sidecar is a fake one.
async fn ask_fake_sidecar(fault: SidecarFault) -> Answer {
    let fleet =
        Fleet::start(FleetConfig { engines: Vec::new(), ..FleetConfig::default() }).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let member = Member {
        process: "sidecar-e0".to_string(),
        role: Role::Sidecar.into(),
        upstream: "e0".to_string(),
        address: listener.local_addr().expect("bound").to_string(),
        ..Member::default()
    };
    let node = Node::new(member, false);
    let limits = ClientLimits::peers(HostResources::default());
    let clients = Clients::new(limits, ClientMetrics::default());
    tokio::spawn(serve_peers(node.clone(), listener, clients, Arc::new(fault)));
    let platform = HttpPlatform::new(fleet.platform.address("address"), 500, 500);
    register(node, platform).await;
    let piece = FleetConfig::engines(1).config_file();
    fleet.apply(0, &[("10-tests.toml", &piece)]).await.expect("applied");
    eventually("the fake sidecar is known", || async {
        let answer = fleet.caller(0, "anna").complete("?", 3).await;
        (answer.status == 200).then_some(answer)
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn doubled_and_crossed_frames_reach_nobody() {
    // A sidecar duplicates each frame, repeats an old one and sends frames of another
    // attempt. The caller must receive each token once and in order.
    let answer = ask_fake_sidecar(SidecarFault::Duplicates).await;
    assert_eq!(answer.text, " one two three");
    assert!(answer.done);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_end_without_all_its_frames_is_no_end() {
    // The last frame of each attempt is lost, but its end frame arrives. The entry
    // detects the loss by the frame count; otherwise the caller would take a
    // truncated answer for a complete one.
    let answer = ask_fake_sidecar(SidecarFault::Omits).await;
    assert!(!answer.done, "{answer:?}");
    assert_eq!(answer.error_field("code"), "stream_interrupted");
}
