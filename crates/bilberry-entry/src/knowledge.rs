//! The interface through which the router queries the state of upstreams, and its
//! implementation by probes to their sidecars.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bilberry_core::Chain;
use bilberry_core::Name;
use bilberry_core::ProbeView;
use bilberry_core::Scope;
use bilberry_node::PeerPool;
use bilberry_wire::Body;
use bilberry_wire::Probe;
use bilberry_wire::ProbeAnswer;
use bilberry_wire::Readiness;
use futures_util::stream::FuturesUnordered;

use crate::collect_answers;

/// An upstream to be probed.
#[derive(Debug, Clone)]
pub struct Target {
    /// The upstream.
    pub upstream: Name,
    /// The address of its sidecar.
    pub address: SocketAddr,
    /// The estimated round-trip time.
    pub distance_ms: u64,
    /// Whether the upstream was ranked by the prompt; true until the ranks are computed.
    pub is_ranked: bool,
    /// The weights that it last reported.
    pub weights: Name,
}

/// The parameters of a probe.
#[derive(Debug)]
pub struct ProbeQuery<'a> {
    /// The customer.
    pub customer: &'a Name,
    /// The customer's priority.
    pub priority: u8,
    /// The prompt; empty for a call to a plain service.
    pub prompt: &'a str,
    /// The block chain of the prompt for all weights that the targets run.
    pub chains: &'a HashMap<Name, Chain>,
    /// The cache scope of the request on the configured weights.
    pub scope: &'a Scope,
    /// The time to wait for answers.
    pub wait: Duration,
    /// The time to wait for a first answer beyond that.
    pub first_wait: Duration,
}

/// The answer of one upstream.
#[derive(Debug, Clone)]
pub struct ProbeResult {
    /// The index of the target.
    pub target: usize,
    /// The cached blocks and the load of the upstream.
    pub view: ProbeView,
    /// Whether it accepts new requests.
    pub readiness: Readiness,
    /// The weights that it runs.
    pub weights: Name,
}

impl ProbeResult {
    /// Returns whether the upstream accepts new requests.
    pub fn is_ready(&self) -> bool {
        self.readiness == Readiness::Ready
    }
}

/// A source of the current state of upstreams.
pub trait UpstreamProber: Send + Sync + 'static {
    /// Whether all upstreams are queried instead of the most likely candidates.
    ///
    /// This is too expensive outside of experiments that determine an upper bound.
    const PROBES_ALL: bool = false;

    /// Queries the targets; the result omits those that do not answer in time.
    fn probe(
        &self,
        targets: &[Target],
        question: &ProbeQuery<'_>,
    ) -> impl Future<Output = Vec<ProbeResult>> + Send;
}

/// Probes the sidecars of all targets concurrently.
#[derive(Debug, Clone)]
pub struct SidecarProber {
    links: PeerPool,
}

impl SidecarProber {
    /// Creates a prober that uses the given links.
    pub fn new(links: PeerPool) -> Self {
        Self { links }
    }

    async fn probe(
        &self,
        at: usize,
        target: &Target,
        question: &ProbeQuery<'_>,
    ) -> Option<ProbeResult> {
        let chain = question.chains.get(&target.weights);
        let probe = Probe {
            customer: question.customer.to_string(),
            priority: u32::from(question.priority),
            blocks: chain.map_or(0, |chain| chain.len() as u32),
            sample: chain.map(Chain::sample).unwrap_or_default(),
        };
        let mut call = self.links.call(target.address, Body::Probe(probe)).await.ok()?;
        match call.next().await {
            Ok(Body::ProbeAnswer(answer)) => Some(answered(at, target, &answer)),
            _ => None,
        }
    }
}

impl UpstreamProber for SidecarProber {
    async fn probe(
        &self,
        targets: &[Target],
        question: &ProbeQuery<'_>,
    ) -> Vec<ProbeResult> {
        let probes: FuturesUnordered<_> = targets
            .iter()
            .enumerate()
            .map(|(at, target)| self.probe(at, target, question))
            .collect();
        collect_answers(probes, question).await
    }
}

fn answered(at: usize, target: &Target, answer: &ProbeAnswer) -> ProbeResult {
    let weights = Name::from(answer.weights.as_str());
    // The fingerprints were computed for other weights, so no reported block matches.
    let held_blocks = match weights == target.weights {
        true => u64::from(answer.held_blocks),
        false => 0,
    };
    ProbeResult {
        target: at,
        view: ProbeView {
            upstream: target.upstream.clone(),
            held_blocks,
            wait_ms: f64::from(answer.wait_ms),
            prefill_us_per_token: f64::from(answer.prefill_ns_per_token) / 1_000.0,
            distance_ms: target.distance_ms as f64,
            is_ranked: target.is_ranked,
        },
        readiness: answer.readiness(),
        weights,
    }
}
