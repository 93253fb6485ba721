//! The port through which the router learns about upstreams, and the adapter
//! that asks their sidecars.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bilberry_core::Chain;
use bilberry_core::Name;
use bilberry_core::ProbeView;
use bilberry_core::Scope;
use bilberry_node::Links;
use bilberry_wire::Body;
use bilberry_wire::Probe;
use bilberry_wire::ProbeAnswer;
use bilberry_wire::Readiness;
use futures_util::stream::FuturesUnordered;

use crate::collect_answers;

/// One upstream to be asked.
#[derive(Debug, Clone)]
pub struct Target {
    /// The upstream.
    pub upstream: Name,
    /// Where its sidecar is reached.
    pub address: SocketAddr,
    /// The estimated round trip.
    pub distance_ms: u64,
    /// Whether the prompt's ranks lead to it; taken as such until they are known.
    pub is_ranked: bool,
    /// The weights that it ran when it was heard of last.
    pub weights: Name,
}

/// What is to be known.
#[derive(Debug)]
pub struct Question<'a> {
    /// The customer.
    pub customer: &'a Name,
    /// The customer's priority.
    pub priority: u8,
    /// The prompt; empty for a plain call.
    pub prompt: &'a str,
    /// The prompt's chain for each of the weights that targets run.
    pub chains: &'a HashMap<Name, Chain>,
    /// The scope of the request on the configured weights.
    pub scope: &'a Scope,
    /// Until when answers are of use.
    pub wait: Duration,
}

/// The answer of one upstream.
#[derive(Debug, Clone)]
pub struct Answered {
    /// The position among the targets.
    pub target: usize,
    /// What it holds and how busy it is.
    pub view: ProbeView,
    /// Whether it takes new work.
    pub readiness: Readiness,
    /// The weights that it runs.
    pub weights: Name,
}

impl Answered {
    /// Reports whether the upstream takes new work.
    pub fn is_ready(&self) -> bool {
        self.readiness == Readiness::Ready
    }
}

/// A source of knowledge about upstreams.
pub trait Knowledge: Send + Sync + 'static {
    /// Whether all upstreams are asked, and not only the likely ones.
    ///
    /// Only a bound for experiments can afford that.
    const ASKS_ALL: bool = false;

    /// Asks the targets; those that don't answer in time are left out.
    fn ask(
        &self,
        targets: &[Target],
        question: &Question<'_>,
    ) -> impl Future<Output = Vec<Answered>> + Send;
}

/// Asks the sidecars of the targets, all at once.
#[derive(Debug, Clone)]
pub struct Probing {
    links: Links,
}

impl Probing {
    /// Creates the adapter.
    pub fn new(links: Links) -> Self {
        Self { links }
    }

    async fn probe(
        &self,
        at: usize,
        target: &Target,
        question: &Question<'_>,
    ) -> Option<Answered> {
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

impl Knowledge for Probing {
    async fn ask(&self, targets: &[Target], question: &Question<'_>) -> Vec<Answered> {
        let asking: FuturesUnordered<_> = targets
            .iter()
            .enumerate()
            .map(|(at, target)| self.probe(at, target, question))
            .collect();
        collect_answers(asking, question).await
    }
}

fn answered(at: usize, target: &Target, answer: &ProbeAnswer) -> Answered {
    let weights = Name::from(answer.weights.as_str());
    // The fingerprints were made for other weights: nothing held counts.
    let held_blocks = match weights == target.weights {
        true => u64::from(answer.held_blocks),
        false => 0,
    };
    Answered {
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
