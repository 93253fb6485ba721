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
use bilberry_core::patience_ms;
use bilberry_node::Links;
use bilberry_wire::Body;
use bilberry_wire::Probe;
use bilberry_wire::ProbeAnswer;
use bilberry_wire::Readiness;
use futures_util::Stream;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::Instant;
use tokio::time::timeout_at;

/// How much longer late answers are waited for at the most.
const LAST_WAIT: Duration = Duration::from_millis(50);

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
        let mut intake = Intake::new(asking);
        let until = Instant::now() + question.wait;
        while intake.take(until).await {}
        // Any answer beats a guess, and a holder that is late, as over a link that
        // is just being opened after a restart, beats recomputing a long prompt.
        while intake.take(until + patience(&intake.answers, question)).await {}
        // Answers that came while this process stood still lie in its sockets. Were
        // they not read, the silence would be its own, and put down to its peers.
        let until = Instant::now() + intake.stood_still.min(question.wait);
        while intake.take(until).await {}
        // Equal scores are decided by order, which must not be that of arrival.
        intake.answers.sort_by_key(|answer| answer.target);
        intake.answers
    }
}

/// Answers as they come in.
struct Intake<S> {
    asking: S,
    answers: Vec<Answered>,
    /// By how much waits ended late, as this process had no processor time.
    stood_still: Duration,
}

impl<S: Stream<Item = Option<Answered>> + Unpin> Intake<S> {
    fn new(asking: S) -> Self {
        Self { asking, answers: Vec::new(), stood_still: Duration::ZERO }
    }

    /// Takes in the next answer; returns false if none is left or `until` has come.
    async fn take(&mut self, until: Instant) -> bool {
        let until = until.max(Instant::now());
        match timeout_at(until, self.asking.next()).await {
            Ok(Some(answer)) => {
                self.answers.extend(answer);
                true
            }
            Ok(None) => false,
            Err(_) => {
                self.stood_still += until.elapsed();
                false
            }
        }
    }
}

/// Returns how much longer late answers are waited for.
fn patience(answers: &[Answered], question: &Question<'_>) -> Duration {
    let blocks = question.chains.values().map(Chain::len).max().unwrap_or(0) as u64;
    let views: Vec<_> = answers.iter().map(|answer| answer.view.clone()).collect();
    let most_ms = LAST_WAIT.as_secs_f64() * 1e3;
    Duration::from_secs_f64(patience_ms(&views, blocks, most_ms) / 1e3)
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
