//! The sidecar and its handling of messages from entries and peers.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bilberry_config::UpstreamKind;
use bilberry_core::CacheIndex;
use bilberry_core::Fingerprint;
use bilberry_core::Name;
use bilberry_node::Node;
use bilberry_node::PeerHandler;
use bilberry_node::Readiness as OperationsReadiness;
use bilberry_node::Reply;
use bilberry_platform::Platform;
use bilberry_wire::Body;
use bilberry_wire::Dispatch;
use bilberry_wire::DrainRequest;
use bilberry_wire::DrainResponse;
use bilberry_wire::Probe;
use bilberry_wire::ProbeAnswer;
use bilberry_wire::Readiness;
use bilberry_wire::RequestKind;
use bilberry_wire::StatusResponse;

use crate::Admission;
use crate::Engine;
use crate::PlainService;
use crate::attempts::RecentAttempts;
use crate::cache::SharedIndex;
use crate::cache::track_cache;
use crate::engine_view::EngineView;
use crate::engine_view::track_engine;
use crate::health::Health;
use crate::orders::start_orders;
use crate::refusals::not_run;

/// The limit on running requests before a configuration is active.
const INITIAL_RUNNING_LIMIT: usize = 16;

/// The limit on queued requests before a configuration is active.
const INITIAL_QUEUE_LIMIT: usize = 256;

/// The proxy of one upstream.
#[derive(Debug)]
pub struct Sidecar<P, E, S> {
    pub(crate) node: Arc<Node>,
    pub(crate) platform: P,
    pub(crate) upstream: Name,
    pub(crate) engine: E,
    pub(crate) service: S,
    pub(crate) admission: Admission,
    pub(crate) index: SharedIndex,
    pub(crate) view: Arc<EngineView>,
    pub(crate) health: Arc<Health>,
    pub(crate) fencing: AtomicU64,
    attempts: RecentAttempts,
}

impl<P: Platform, E: Engine, S: PlainService> Sidecar<P, E, S> {
    /// Creates the sidecar of `upstream`.
    pub fn new(
        node: Arc<Node>,
        platform: P,
        upstream: Name,
        engine: E,
        service: S,
    ) -> Arc<Self> {
        Arc::new(Self {
            node,
            platform,
            upstream,
            engine,
            service,
            admission: Admission::new(INITIAL_RUNNING_LIMIT, INITIAL_QUEUE_LIMIT),
            index: Arc::new(Mutex::new(CacheIndex::new())),
            view: Arc::default(),
            health: Arc::default(),
            fencing: AtomicU64::new(0),
            attempts: RecentAttempts::default(),
        })
    }

    /// Starts the background tasks that track the configuration and, for an engine, its
    /// state and cache. Plain services report no state.
    pub fn start_tracking(self: &Arc<Self>) {
        tokio::spawn(self.clone().track_limits());
        let cache =
            track_cache(self.engine.clone(), self.node.clone(), self.index.clone());
        let engine = track_engine(
            self.engine.clone(),
            self.view.clone(),
            self.admission.clone(),
            self.index.clone(),
            self.health.clone(),
        );
        let sidecar = self.clone();
        tokio::spawn(async move {
            if sidecar.wait_for_kind().await == UpstreamKind::Engine {
                start_orders(sidecar);
                tokio::join!(cache, engine);
            }
        });
    }

    /// Applies the limits of each new configuration.
    async fn track_limits(self: Arc<Self>) {
        let mut revisions = self.node.config.subscribe();
        loop {
            let compiled = self.node.config.compiled();
            if let Some(upstream) = compiled.upstreams.get(&self.upstream) {
                self.admission
                    .set_configured_limits(upstream.max_running, upstream.queue_limit);
            }
            if revisions.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns how many leading blocks of a chain the engine has cached.
    pub(crate) fn held_blocks(&self, blocks: usize, sample: &[Fingerprint]) -> usize {
        self.index.lock().unwrap().depth(blocks, sample)
    }

    /// Returns the number of running and queued requests.
    pub fn in_progress(&self) -> usize {
        self.admission.running() + self.admission.queued()
    }

    /// Waits until a configuration defines the kind of the upstream.
    async fn wait_for_kind(&self) -> UpstreamKind {
        let mut revisions = self.node.config.subscribe();
        loop {
            let compiled = self.node.config.compiled();
            if let Some(upstream) = compiled.upstreams.get(&self.upstream) {
                return upstream.kind;
            }
            if revisions.changed().await.is_err() {
                return UpstreamKind::Service;
            }
        }
    }

    fn answer_probe(&self, probe: &Probe) -> ProbeAnswer {
        let customer = Name::from(probe.customer.as_str());
        let priority = probe.priority.min(255) as u8;
        let wait_ms = self.admission.wait_ms(&customer, priority);
        let info = self.view.info();
        let held_blocks = self.held_blocks(probe.blocks as usize, &probe.sample);
        ProbeAnswer {
            held_blocks: held_blocks as u32,
            wait_ms: wait_ms.ceil() as u32,
            prefill_ns_per_token: (self.admission.prefill_us_per_token() * 1e3) as u32,
            readiness: self.readiness().into(),
            weights: self.view.weights(&info).to_string(),
            incarnation: info.incarnation as u32,
        }
    }

    fn readiness(&self) -> Readiness {
        match self.node.is_leaving() {
            true => Readiness::Leaving,
            false if self.health.is_down() => Readiness::Down,
            false => Readiness::Ready,
        }
    }

    async fn serve(&self, dispatch: Dispatch, reply: Reply) {
        if !self.attempts.insert(dispatch.attempt_token) {
            // A duplicate; the first copy is answered, and a second answer would
            // interleave with it.
            return;
        }
        self.node.events.record(&dispatch.request, "dispatched", &self.upstream);
        if self.node.is_leaving() {
            let message = "the upstream is leaving; another one is tried";
            reply.send(not_run("upstream_leaving", message, None)).await;
            return;
        }
        match dispatch.kind() {
            RequestKind::Completion => self.serve_completion(dispatch, reply).await,
            RequestKind::Plain => self.serve_plain(dispatch, reply).await,
        }
    }

    fn answer_drain(&self, ask: &DrainRequest) -> DrainResponse {
        // The address may have been reassigned to the sidecar of another upstream.
        if ask.upstream == self.upstream {
            self.node.start_leaving("drained by an operator");
        }
        DrainResponse { in_progress: self.in_progress() as u64 }
    }

    fn answer_status(&self) -> StatusResponse {
        StatusResponse {
            member: Some(self.node.member()),
            revision: self.node.config.revision(),
            in_progress: self.admission.running() as u64,
            queued: self.admission.queued() as u64,
            cached_blocks: self.index.lock().unwrap().len() as u64,
            weights: self.view.info().weights.clone(),
            fencing: self.fencing.load(Ordering::Relaxed),
            platform_ok: self.platform.is_up(),
        }
    }
}

impl<P: Platform, E: Engine, S: PlainService> PeerHandler for Sidecar<P, E, S> {
    async fn handle(&self, body: Body, reply: Reply) {
        let answer = match body {
            Body::Dispatch(dispatch) => return self.serve(dispatch, reply).await,
            Body::Probe(probe) => Body::ProbeAnswer(self.answer_probe(&probe)),
            Body::DrainRequest(ask) => Body::DrainResponse(self.answer_drain(&ask)),
            Body::StatusRequest(_) => Body::StatusResponse(self.answer_status()),
            body => match self.node.handle_common_call(body) {
                Some(answer) => answer,
                None => return,
            },
        };
        reply.send(answer).await;
    }
}

impl<P: Platform, E: Engine, S: PlainService> OperationsReadiness for Sidecar<P, E, S> {
    fn not_ready_reason(&self) -> Option<&'static str> {
        match self.node.config.revision() {
            0 => Some("no configuration is in force yet\n"),
            _ if self.health.is_down() => Some("the upstream fails\n"),
            _ => None,
        }
    }

    fn refresh(&self) {
        let metrics = &self.node.metrics;
        metrics.in_progress.set(self.admission.running() as i64);
        metrics.queued.set(self.admission.queued() as i64);
        metrics.cached_blocks.set(self.index.lock().unwrap().len() as i64);
    }
}
