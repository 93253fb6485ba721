//! Selection of the upstream for a request.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bilberry_config::Compiled;
use bilberry_config::Pool;
use bilberry_core::Breaker;
use bilberry_core::BreakerState;
use bilberry_core::Candidate;
use bilberry_core::Chain;
use bilberry_core::Clock;
use bilberry_core::DataCentre;
use bilberry_core::Name;
use bilberry_core::ProbeTarget;
use bilberry_core::Scope;
use bilberry_core::ScoreWeights;
use bilberry_core::SystemClock;
use bilberry_core::UnixMs;
use bilberry_core::candidates;
use bilberry_core::choose;
use bilberry_core::rendezvous;
use bilberry_core::weights_version;
use bilberry_node::Node;

use crate::Explained;
use crate::ProbeQuery;
use crate::ProbeResult;
use crate::Target;
use crate::UpstreamProber;

/// The number of candidates to probe for each depth of the chain.
const CANDIDATES_PER_DEPTH: usize = 1;

/// The age from which a reported wait is ignored when candidates are compared by load.
const WAIT_MAX_AGE_MS: u64 = 1_000;

/// The wait for a first answer to the second round of probes.
const FIRST_ANSWER_WAIT: Duration = Duration::from_millis(500);

/// The time for which an upstream that did not answer is excluded.
const EXCLUSION_MS: u64 = 500;

/// Selects upstreams. Its state is a cache and can be lost at any time.
#[derive(Debug)]
pub struct Router<K> {
    node: Arc<Node>,
    place: DataCentre,
    knowledge: K,
    probe_timeout: Duration,
    states: Mutex<HashMap<Name, UpstreamState>>,
    round_robin: AtomicUsize,
}

/// The last known state of an upstream.
#[derive(Debug, Default)]
struct UpstreamState {
    wait_ms: u64,
    updated_at: UnixMs,
    weights: Option<Name>,
    in_flight: usize,
    breaker: Breaker,
}

/// A request to be routed.
#[derive(Debug, Clone)]
pub struct RouteRequest {
    /// The ID of the request.
    pub request: String,
    /// The pool of upstreams to select from.
    pub pool: Name,
    /// The customer.
    pub customer: Name,
    /// The customer's priority.
    pub priority: u8,
    /// The cache scope of the request on the configured weights.
    pub scope: Scope,
    /// The prompt; empty for a call to a plain service.
    pub prompt: String,
    /// The weights with which a resumed stream must continue.
    pub required_weights: Option<Name>,
    /// The upstreams to exclude because they have been tried.
    pub tried: Vec<Name>,
}

/// What is asked in a round of probes.
#[derive(Debug, Copy, Clone)]
struct ProbeRound<'a> {
    pool: &'a Pool,
    request: &'a RouteRequest,
    targets: &'a [Target],
    chains: &'a HashMap<Name, Chain>,
    /// The time to wait for a first answer.
    first_wait: Duration,
}

/// What a round of probes found.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
enum RoundResult {
    /// The index of the best target.
    Chosen(usize),
    /// Targets answered, but none accepts new requests.
    NoneReady,
    /// No target answered.
    Silent,
}

/// The upstream selected for a request.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The upstream.
    pub upstream: Name,
    /// The address of its sidecar.
    pub address: SocketAddr,
    /// The block chain of the prompt for the weights of the upstream.
    pub chain: Chain,
}

impl<K: UpstreamProber> Router<K> {
    /// Creates the router of an entry located at `place`.
    pub fn new(node: Arc<Node>, place: DataCentre, knowledge: K, probe_ms: u64) -> Self {
        Self {
            node,
            place,
            knowledge,
            probe_timeout: Duration::from_millis(probe_ms),
            states: Mutex::default(),
            round_robin: AtomicUsize::new(0),
        }
    }

    /// Selects an upstream; returns `None` if none accepts new requests.
    pub async fn route(
        &self,
        compiled: &Compiled,
        request: &RouteRequest,
    ) -> Option<Choice> {
        let pool = compiled.pools.get(&request.pool)?;
        let targets = self.targets(compiled, request);
        if targets.is_empty() {
            return None;
        }
        let chains = chains(request, &targets);
        let configured_chain =
            chains.get(&request.scope.weights).cloned().unwrap_or_default();
        let ranked = self.rank_targets(pool, &targets, &configured_chain);
        let chosen = match pool.policy.as_str() {
            "probe" => {
                self.probe_and_choose(pool, request, &targets, ranked, &chains).await?
            }
            _ => ranked.first()?.index,
        };
        let target = &targets[chosen];
        let chain = chains.get(&target.weights).cloned().unwrap_or_default();
        Some(Choice { upstream: target.upstream.clone(), address: target.address, chain })
    }

    /// Records that a request was sent to an upstream.
    pub fn record_start(&self, upstream: &Name) {
        let mut states = self.states.lock().unwrap();
        states.entry(upstream.clone()).or_default().in_flight += 1;
    }

    /// Records that a request at an upstream ended.
    pub fn record_end(&self, upstream: &Name) {
        if let Some(state) = self.states.lock().unwrap().get_mut(upstream) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Records that an upstream failed, which excludes it temporarily.
    pub fn record_failure(&self, upstream: &Name) {
        let now = SystemClock.now();
        let mut states = self.states.lock().unwrap();
        let state = states.entry(upstream.clone()).or_default();
        state.breaker.record_failure(now, EXCLUSION_MS);
    }

    /// Returns the eligible upstreams of the pool.
    fn targets(&self, compiled: &Compiled, request: &RouteRequest) -> Vec<Target> {
        let members = self.node.members.current();
        let states = self.states.lock().unwrap();
        let pool = compiled.by_pool.get(&request.pool).map_or(&[][..], Vec::as_slice);
        let usable = pool.iter().filter_map(|upstream| {
            let sidecar = members.sidecars.get(&upstream.name)?;
            if sidecar.leaving || request.tried.contains(&upstream.name) {
                return None;
            }
            let reported_weights =
                states.get(&upstream.name).and_then(|k| k.weights.clone());
            let weights =
                reported_weights.unwrap_or_else(|| request.scope.weights.clone());
            let version = weights_version(&weights);
            if request
                .required_weights
                .as_ref()
                .is_some_and(|required| *required != version)
            {
                return None;
            }
            let place = DataCentre::parse(&upstream.place)?;
            Some(Target {
                upstream: upstream.name.clone(),
                address: sidecar.address,
                distance_ms: self.place.distance_ms(&place),
                is_ranked: true,
                weights,
            })
        });
        let usable: Vec<_> = usable.collect();
        // Probing an unresponsive upstream delays every request, so such upstreams
        // are excluded. If this would exclude all of them, they are tried anyway,
        // which is better than rejecting the request.
        let now = SystemClock.now();
        let is_responsive = |target: &&Target| {
            let state = states.get(&target.upstream).map(|k| k.breaker.state(now));
            state != Some(BreakerState::Open)
        };
        match usable.iter().any(|target| is_responsive(&target)) {
            true => usable.iter().filter(is_responsive).cloned().collect(),
            false => usable,
        }
    }

    /// Returns the targets to probe or try, in order of preference.
    fn rank_targets(
        &self,
        pool: &Pool,
        targets: &[Target],
        configured_chain: &Chain,
    ) -> Vec<ProbeTarget> {
        let round_robin = self.round_robin.fetch_add(1, Ordering::Relaxed);
        let positions = match pool.policy.as_str() {
            "round_robin" => vec![round_robin % targets.len()],
            "least_loaded" => self.least_in_flight(targets, round_robin),
            _ if K::PROBES_ALL => (0..targets.len()).collect(),
            "rendezvous" => rank_by_longest_prefix(
                configured_chain,
                &self.load_candidates(targets),
                round_robin,
            ),
            _ => {
                let upstreams = self.load_candidates(targets);
                return candidates(
                    configured_chain,
                    &upstreams,
                    CANDIDATES_PER_DEPTH,
                    pool.probes,
                    round_robin as u64,
                );
            }
        };
        positions
            .into_iter()
            .map(|at| ProbeTarget { index: at, is_ranked: true })
            .collect()
    }

    fn load_candidates(&self, targets: &[Target]) -> Vec<Candidate> {
        let now = SystemClock.now();
        let states = self.states.lock().unwrap();
        let wait_of = |target: &Target| match states.get(&target.upstream) {
            Some(k) if now.ms_since(k.updated_at) < WAIT_MAX_AGE_MS => k.wait_ms,
            _ => 0,
        };
        targets.iter().map(|t| Candidate::new(t.upstream.clone(), wait_of(t))).collect()
    }

    fn least_in_flight(&self, targets: &[Target], round_robin: usize) -> Vec<usize> {
        let states = self.states.lock().unwrap();
        let load = |at: &usize| {
            let state = states.get(&targets[*at].upstream);
            // Ties are broken round robin; otherwise the first target would get all
            // requests.
            let tie = (at + round_robin) % targets.len();
            (state.map_or(0, |state| state.in_flight), tie)
        };
        (0..targets.len()).min_by_key(load).into_iter().collect()
    }

    /// Selects the best of the upstreams that answer a probe.
    ///
    /// If none of the candidates is ready, others are probed with them: a request that is
    /// sent to a silent upstream waits there for seconds. If none of these is ready either,
    /// the first candidate is used.
    async fn probe_and_choose(
        &self,
        pool: &Pool,
        request: &RouteRequest,
        targets: &[Target],
        ranked: Vec<ProbeTarget>,
        chains: &HashMap<Name, Chain>,
    ) -> Option<usize> {
        let first = ranked.first()?.index;
        let round =
            ProbeRound { pool, request, targets, chains, first_wait: Duration::ZERO };
        let is_silent = match self.probe_round(&round, &ranked).await {
            RoundResult::Chosen(index) => return Some(index),
            RoundResult::NoneReady => false,
            RoundResult::Silent => true,
        };
        let probed = ranked.len();
        let widened = self.add_others(ranked, targets.len(), pool.probes);
        if widened.len() > probed || (is_silent && probed > 1) {
            let round = ProbeRound { first_wait: FIRST_ANSWER_WAIT, ..round };
            if let RoundResult::Chosen(index) = self.probe_round(&round, &widened).await {
                return Some(index);
            }
        }
        Some(first)
    }

    /// Adds up to `count` of the targets that were not probed, other ones each time.
    fn add_others(
        &self,
        mut probed: Vec<ProbeTarget>,
        targets: usize,
        count: usize,
    ) -> Vec<ProbeTarget> {
        let start = self.round_robin.fetch_add(1, Ordering::Relaxed);
        let is_new = |index: &usize| probed.iter().all(|target| target.index != *index);
        let others = (0..targets).map(|at| (start + at) % targets).filter(is_new);
        let others: Vec<_> = others.take(count).collect();
        probed
            .extend(others.iter().map(|&index| ProbeTarget { index, is_ranked: false }));
        probed
    }

    async fn probe_round(
        &self,
        round: &ProbeRound<'_>,
        ranked: &[ProbeTarget],
    ) -> RoundResult {
        let ProbeRound { pool, request, targets, chains, first_wait } = *round;
        let probed = ranked.iter().map(|&ProbeTarget { index: at, is_ranked }| {
            let target = targets[at].clone();
            Target { is_ranked, ..target }
        });
        let probed: Vec<_> = probed.collect();
        let question = ProbeQuery {
            customer: &request.customer,
            priority: request.priority,
            prompt: &request.prompt,
            chains,
            scope: &request.scope,
            wait: self.probe_timeout,
            first_wait,
        };
        let answers = self.knowledge.probe(&probed, &question).await;
        self.record_answers(&probed, &answers);
        let ready: Vec<_> = answers.iter().filter(|a| a.is_ready()).collect();
        let views: Vec<_> = ready.iter().map(|answer| answer.view.clone()).collect();
        let blocks = chains.values().map(Chain::len).max().unwrap_or(0) as u64;
        let weighing = ScoreWeights { recompute_weight: pool.recompute_weight };
        let best = choose(&views, blocks, weighing).map(|at| ready[at].target);
        let explained = Explained::new(&probed, &answers, blocks, weighing, best);
        self.node.events.record(&request.request, "routed", explained.detail());
        match best {
            Some(at) => RoundResult::Chosen(ranked[at].index),
            None if answers.is_empty() => RoundResult::Silent,
            None => RoundResult::NoneReady,
        }
    }

    fn record_answers(&self, probed: &[Target], answers: &[ProbeResult]) {
        let now = SystemClock.now();
        let mut states = self.states.lock().unwrap();
        for (at, target) in probed.iter().enumerate() {
            let entry = states.entry(target.upstream.clone()).or_default();
            match answers.iter().find(|answer| answer.target == at) {
                Some(answer) => {
                    entry.wait_ms = answer.view.wait_ms as u64;
                    entry.updated_at = now;
                    entry.weights =
                        Some(answer.weights.clone()).filter(|w| !w.is_empty());
                    entry.breaker.record_success();
                }
                None => entry.breaker.record_failure(now, EXCLUSION_MS),
            }
        }
    }
}

/// Returns the block chain of the prompt for all weights that the targets run.
fn chains(request: &RouteRequest, targets: &[Target]) -> HashMap<Name, Chain> {
    let mut chains = HashMap::new();
    let of_targets = targets.iter().map(|target| &target.weights);
    for weights in of_targets.chain([&request.scope.weights]) {
        if !chains.contains_key(weights) {
            let scope = Scope { weights: weights.clone(), ..request.scope.clone() };
            chains.insert(weights.clone(), Chain::new(&scope.salt(), &request.prompt));
        }
    }
    chains
}

/// Ranks all upstreams by rendezvous hashing of the longest prefix of the prompt
/// whose number of blocks is a power of two.
fn rank_by_longest_prefix(
    configured_chain: &Chain,
    upstreams: &[Candidate],
    round_robin: usize,
) -> Vec<usize> {
    let depth = configured_chain.len().checked_ilog2().map(|bits| 1 << bits);
    let hash = depth
        .map_or(round_robin as u64, |depth: usize| configured_chain.hashes()[depth - 1]);
    rendezvous(hash, upstreams, 1)
}
