//! Choosing the upstream of a request.

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
use bilberry_core::Name;
use bilberry_core::Place;
use bilberry_core::Scope;
use bilberry_core::Seat;
use bilberry_core::SystemClock;
use bilberry_core::UnixMs;
use bilberry_core::Weighing;
use bilberry_core::candidates;
use bilberry_core::choose;
use bilberry_core::rendezvous;
use bilberry_core::weights_version;
use bilberry_node::Node;

use crate::Answered;
use crate::Explained;
use crate::Knowledge;
use crate::Question;
use crate::Target;

/// How many upstreams are asked for each depth of the chain.
const PER_DEPTH: usize = 1;

/// How long a waiting time that was heard counts for the least loaded.
const WAIT_KNOWN_MS: u64 = 1_000;

/// How long an upstream that did not answer is left out.
const LEFT_OUT_MS: u64 = 500;

/// Chooses upstreams; what it remembers may be lost without harm.
#[derive(Debug)]
pub struct Router<K> {
    node: Arc<Node>,
    place: Place,
    knowledge: K,
    probe_wait: Duration,
    known: Mutex<HashMap<Name, Known>>,
    turn: AtomicUsize,
}

/// What was heard of one upstream last.
#[derive(Debug, Default)]
struct Known {
    wait_ms: u64,
    heard_at: UnixMs,
    weights: Option<Name>,
    in_flight: usize,
    breaker: Breaker,
}

/// What is to be routed.
#[derive(Debug, Clone)]
pub struct RouteAsk {
    /// The request.
    pub request: String,
    /// The pool.
    pub pool: Name,
    /// The customer.
    pub customer: Name,
    /// The customer's priority.
    pub priority: u8,
    /// The scope on the configured weights.
    pub scope: Scope,
    /// The prompt; empty for a plain call.
    pub prompt: String,
    /// The weights that a resumed stream needs.
    pub only_weights: Option<Name>,
    /// Upstreams that were tried already.
    pub tried: Vec<Name>,
}

/// The upstream of a request.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The upstream.
    pub upstream: Name,
    /// Where its sidecar is reached.
    pub address: SocketAddr,
    /// The prompt's chain for the weights that it runs.
    pub chain: Chain,
}

impl<K: Knowledge> Router<K> {
    /// Creates a router of an entry at `place`.
    pub fn new(node: Arc<Node>, place: Place, knowledge: K, probe_ms: u64) -> Self {
        Self {
            node,
            place,
            knowledge,
            probe_wait: Duration::from_millis(probe_ms),
            known: Mutex::default(),
            turn: AtomicUsize::new(0),
        }
    }

    /// Chooses an upstream, or returns `None` if none takes new work.
    pub async fn route(&self, compiled: &Compiled, ask: &RouteAsk) -> Option<Choice> {
        let pool = compiled.pools.get(&ask.pool)?;
        let targets = self.targets(compiled, ask);
        if targets.is_empty() {
            return None;
        }
        let chains = chains(ask, &targets);
        let home = chains.get(&ask.scope.weights).cloned().unwrap_or_default();
        let order = self.order(pool, &targets, &home);
        let chosen = match pool.policy.as_str() {
            "probe" => self.ask_and_choose(pool, ask, &targets, order, &chains).await?,
            _ => order.first()?.at,
        };
        let target = &targets[chosen];
        let chain = chains.get(&target.weights).cloned().unwrap_or_default();
        Some(Choice { upstream: target.upstream.clone(), address: target.address, chain })
    }

    /// Notes that a request was given to an upstream.
    pub fn note_start(&self, upstream: &Name) {
        let mut known = self.known.lock().unwrap();
        known.entry(upstream.clone()).or_default().in_flight += 1;
    }

    /// Notes that a request at an upstream ended.
    pub fn note_end(&self, upstream: &Name) {
        if let Some(known) = self.known.lock().unwrap().get_mut(upstream) {
            known.in_flight = known.in_flight.saturating_sub(1);
        }
    }

    /// Notes that an upstream was lost, so that it is left out for a while.
    pub fn note_lost(&self, upstream: &Name) {
        let retry_at = SystemClock.now().plus_ms(LEFT_OUT_MS);
        let mut known = self.known.lock().unwrap();
        known.entry(upstream.clone()).or_default().breaker.fail(retry_at);
    }

    /// Returns the upstreams of the pool that may be used.
    fn targets(&self, compiled: &Compiled, ask: &RouteAsk) -> Vec<Target> {
        let members = self.node.members.current();
        let known = self.known.lock().unwrap();
        let pool = compiled.by_pool.get(&ask.pool).map_or(&[][..], Vec::as_slice);
        let usable = pool.iter().filter_map(|upstream| {
            let sidecar = members.sidecars.get(&upstream.name)?;
            if sidecar.leaving || ask.tried.contains(&upstream.name) {
                return None;
            }
            let heard = known.get(&upstream.name).and_then(|k| k.weights.clone());
            let weights = heard.unwrap_or_else(|| ask.scope.weights.clone());
            let version = weights_version(&weights);
            if ask.only_weights.as_ref().is_some_and(|only| *only != version) {
                return None;
            }
            let place = Place::parse(&upstream.place)?;
            Some(Target {
                upstream: upstream.name.clone(),
                address: sidecar.address,
                distance_ms: self.place.distance_ms(&place),
                is_ranked: true,
                weights,
            })
        });
        let usable: Vec<_> = usable.collect();
        // An upstream that does not answer costs each request a wait. Yet when all
        // of them are left out, asking again is better than refusing.
        let now = SystemClock.now();
        let answers = |target: &&Target| {
            let state = known.get(&target.upstream).map(|k| k.breaker.state(now));
            state != Some(BreakerState::Open)
        };
        match usable.iter().any(|target| answers(&target)) {
            true => usable.iter().filter(answers).cloned().collect(),
            false => usable,
        }
    }

    /// Returns those worth asking, or worth trying in turn.
    fn order(&self, pool: &Pool, targets: &[Target], home: &Chain) -> Vec<Seat> {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let positions = match pool.policy.as_str() {
            "round_robin" => vec![turn % targets.len()],
            "least_loaded" => self.least_in_flight(targets, turn),
            _ if K::ASKS_ALL => (0..targets.len()).collect(),
            "rendezvous" => by_deepest(home, &self.as_candidates(targets), turn),
            _ => {
                let upstreams = self.as_candidates(targets);
                return candidates(home, &upstreams, PER_DEPTH, pool.probes, turn as u64);
            }
        };
        positions.into_iter().map(|at| Seat { at, is_ranked: true }).collect()
    }

    fn as_candidates(&self, targets: &[Target]) -> Vec<Candidate> {
        let now = SystemClock.now();
        let known = self.known.lock().unwrap();
        let wait_of = |target: &Target| match known.get(&target.upstream) {
            Some(k) if now.ms_since(k.heard_at) < WAIT_KNOWN_MS => k.wait_ms,
            _ => 0,
        };
        targets.iter().map(|t| Candidate::new(t.upstream.clone(), wait_of(t))).collect()
    }

    fn least_in_flight(&self, targets: &[Target], turn: usize) -> Vec<usize> {
        let known = self.known.lock().unwrap();
        let busy = |at: &usize| {
            let known = known.get(&targets[*at].upstream);
            // The turn decides between equals, or the first would take them all.
            let tie = (at + turn) % targets.len();
            (known.map_or(0, |k| k.in_flight), tie)
        };
        (0..targets.len()).min_by_key(busy).into_iter().collect()
    }

    async fn ask_and_choose(
        &self,
        pool: &Pool,
        ask: &RouteAsk,
        targets: &[Target],
        order: Vec<Seat>,
        chains: &HashMap<Name, Chain>,
    ) -> Option<usize> {
        let asked = order.iter().map(|&Seat { at, is_ranked }| {
            let target = targets[at].clone();
            Target { is_ranked, ..target }
        });
        let asked: Vec<_> = asked.collect();
        let question = Question {
            customer: &ask.customer,
            priority: ask.priority,
            prompt: &ask.prompt,
            chains,
            scope: &ask.scope,
            wait: self.probe_wait,
        };
        let answers = self.knowledge.ask(&asked, &question).await;
        self.note_answers(&asked, &answers);
        let ready: Vec<_> = answers.iter().filter(|a| a.is_ready()).collect();
        let views: Vec<_> = ready.iter().map(|answer| answer.view.clone()).collect();
        let blocks = chains.values().map(Chain::len).max().unwrap_or(0) as u64;
        let weighing = Weighing { recompute_weight: pool.recompute_weight };
        let best = choose(&views, blocks, weighing).map(|at| ready[at].target);
        let explained = Explained::new(&asked, &answers, blocks, weighing, best);
        self.node.events.record(&ask.request, "routed", explained.detail());
        // Without an answer the first guess stands, unless it said it is leaving.
        best.or_else(|| views.is_empty().then_some(0)).map(|at| order[at].at)
    }

    fn note_answers(&self, asked: &[Target], answers: &[Answered]) {
        let now = SystemClock.now();
        let mut known = self.known.lock().unwrap();
        for (at, target) in asked.iter().enumerate() {
            let entry = known.entry(target.upstream.clone()).or_default();
            match answers.iter().find(|answer| answer.target == at) {
                Some(answer) => {
                    entry.wait_ms = answer.view.wait_ms as u64;
                    entry.heard_at = now;
                    entry.weights =
                        Some(answer.weights.clone()).filter(|w| !w.is_empty());
                    entry.breaker.succeed();
                }
                None => entry.breaker.fail(now.plus_ms(LEFT_OUT_MS)),
            }
        }
    }
}

/// Returns the prompt's chain for each of the weights that targets run.
fn chains(ask: &RouteAsk, targets: &[Target]) -> HashMap<Name, Chain> {
    let mut chains = HashMap::new();
    let of_targets = targets.iter().map(|target| &target.weights);
    for weights in of_targets.chain([&ask.scope.weights]) {
        if !chains.contains_key(weights) {
            let scope = Scope { weights: weights.clone(), ..ask.scope.clone() };
            chains.insert(weights.clone(), Chain::new(&scope.salt(), &ask.prompt));
        }
    }
    chains
}

/// Ranks all upstreams for the deepest power-of-two prefix of the prompt.
fn by_deepest(home: &Chain, upstreams: &[Candidate], turn: usize) -> Vec<usize> {
    let depth = home.len().checked_ilog2().map(|bits| 1 << bits);
    let hash = depth.map_or(turn as u64, |depth: usize| home.hashes()[depth - 1]);
    rendezvous(hash, upstreams, 1)
}
