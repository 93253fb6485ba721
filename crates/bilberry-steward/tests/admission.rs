//! Admissions decided by a sidecar, over real connections of entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bilberry_core::BootClock;
use bilberry_core::ClientLimits;
use bilberry_core::HostResources;
use bilberry_node::ClientMetrics;
use bilberry_node::Clients;
use bilberry_steward::AdmissionControl;
use bilberry_steward::AdmissionLabel;
use bilberry_steward::AdmissionMetrics;
use bilberry_steward::CacheEvents;
use bilberry_steward::CacheListing;
use bilberry_steward::CacheView;
use bilberry_steward::CrashRelay;
use bilberry_steward::Engine;
use bilberry_steward::EngineError;
use bilberry_steward::EngineReport;
use bilberry_steward::EngineState;
use bilberry_steward::Feed;
use bilberry_steward::LatestWeights;
use bilberry_steward::LimitRelay;
use bilberry_steward::LoadOrder;
use bilberry_steward::OrderReply;
use bilberry_steward::OriginOwner;
use bilberry_steward::PartSharing;
use bilberry_steward::PromptStores;
use bilberry_steward::QuotaOwner;
use bilberry_steward::ReportDetail;
use bilberry_steward::RunInterest;
use bilberry_steward::SourceResponse;
use bilberry_steward::WatchHub;
use bilberry_steward::WatchSource;
use bilberry_steward::WatchSourceError;
use bilberry_steward::serve_feed;
use bilberry_wire::AdmissionOutcome;
use bilberry_wire::AdmissionRequest;
use bilberry_wire::AdmissionResponse;
use bilberry_wire::AdmissionStage;
use bilberry_wire::AdmissionUpdate;
use bilberry_wire::Body;
use bilberry_wire::EntryNotice;
use bilberry_wire::Frame;
use bilberry_wire::FrameCodec;
use bilberry_wire::UpstreamState;
use futures_util::SinkExt;
use futures_util::StreamExt;
use prometheus_client::metrics::gauge::Gauge;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// The timeout of waits in tests.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

const SLOTS: u64 = 2;
const TOTAL_TOKENS: u64 = 10_000;

/// An engine and a store that are never called.
#[derive(Debug, Clone)]
struct Unused;

impl Engine for Unused {
    async fn report(&self, _: ReportDetail) -> Result<EngineReport, EngineError> {
        std::future::pending().await
    }

    async fn load(&self, _: &LoadOrder) -> Result<OrderReply, EngineError> {
        std::future::pending().await
    }

    async fn cache_events(&self, _: u64) -> Result<CacheEvents, EngineError> {
        std::future::pending().await
    }

    async fn cache_listing(&self) -> Result<CacheListing, EngineError> {
        std::future::pending().await
    }
}

impl WatchSource for Unused {
    async fn watch(
        &self,
        _: &str,
        _: u64,
        _: u64,
    ) -> Result<SourceResponse, WatchSourceError> {
        std::future::pending().await
    }
}

/// A sidecar whose engine's state is set by a test.
struct Sidecar {
    address: SocketAddr,
    engine: watch::Sender<EngineState>,
    metrics: AdmissionMetrics,
}

impl Sidecar {
    async fn start() -> Self {
        let clock = BootClock::new();
        let upstream = UpstreamState {
            up: true,
            started_at_ms: Some(1),
            total_tokens: TOTAL_TOKENS,
            ..UpstreamState::default()
        };
        let engine = watch::Sender::new(EngineState { upstream, loads_at: None });
        let metrics = AdmissionMetrics::default();
        let admissions =
            Arc::new(AdmissionControl::new(engine.subscribe(), clock, metrics.clone()));
        tokio::spawn(admissions.clone().run());
        let sharing = Arc::new(PartSharing::new(clock, None));
        let feed = Feed {
            sharing,
            state: engine.subscribe(),
            cache: Arc::new(CacheView::new()),
            stores: PromptStores::new(|_| Unused),
            newest: Arc::new(LatestWeights::default()),
            crashes: CrashRelay::new(),
            hub: Arc::new(WatchHub::new(Unused, clock)),
            quotas: Arc::new(QuotaOwner::new(clock)),
            admissions,
            limits: LimitRelay::new(),
            origins: Arc::new(OriginOwner::new(clock, Gauge::default())),
            run_interest: RunInterest::default(),
            runs: Arc::default(),
            clock,
            clients: Clients::new(
                ClientLimits::peers(HostResources::default()),
                ClientMetrics::default(),
            ),
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(serve_feed(listener, feed));
        Self { address, engine, metrics }
    }

    async fn connect(&self) -> Entry {
        let stream = TcpStream::connect(self.address).await.unwrap();
        let mut entry = Entry { framed: Framed::new(stream, FrameCodec::new()) };
        entry.next_state().await;
        entry
    }

    fn change(&self, change: impl FnOnce(&mut UpstreamState)) {
        self.engine.send_modify(|state| change(&mut state.upstream));
    }

    fn count(&self, outcome: &'static str) -> u64 {
        self.metrics.decisions.get_or_create(&AdmissionLabel { outcome }).get()
    }
}

/// The connection of an entry.
struct Entry {
    framed: Framed<TcpStream, FrameCodec>,
}

impl Entry {
    async fn send(&mut self, call: u64, body: Body) {
        let frame = Frame { call, body: Some(body), ..Frame::default() };
        self.framed.send(frame).await.unwrap();
    }

    async fn next_frame(&mut self) -> Frame {
        let frame = timeout(WAIT_TIMEOUT, self.framed.next()).await;
        frame.expect("timed out").expect("connection closed").expect("invalid frame")
    }

    async fn next_state(&mut self) -> UpstreamState {
        loop {
            if let Some(Body::UpstreamState(state)) = self.next_frame().await.body {
                return state;
            }
        }
    }

    async fn next_response(&mut self) -> (u64, AdmissionResponse) {
        loop {
            let frame = self.next_frame().await;
            if let Some(Body::AdmissionResponse(response)) = frame.body {
                return (frame.call, response);
            }
        }
    }

    async fn expect(&mut self, call: u64, outcome: AdmissionOutcome) -> u64 {
        let (answered, response) = self.next_response().await;
        assert_eq!((answered, response.outcome()), (call, outcome));
        response.wait_ms
    }

    async fn request(&mut self, call: u64, request: AdmissionRequest) {
        self.send(call, Body::AdmissionRequest(request)).await;
    }

    async fn update(&mut self, call: u64, stage: AdmissionStage) {
        let update = AdmissionUpdate { stage: stage.into() };
        self.send(call, Body::AdmissionUpdate(update)).await;
    }
}

fn request() -> AdmissionRequest {
    AdmissionRequest {
        customer: "customer-a".to_string(),
        priority: 0,
        target_in_ms: 20_000,
        max_wait_ms: 60_000,
        prefill_tokens: 100,
        memory_tokens: 200,
        slots: SLOTS,
        key: 1,
        target_ms: 20_000,
        max_return_ms: 60_000,
        shortest_target_ms: 20_000,
    }
}

#[tokio::test]
async fn a_queued_request_gets_a_second_response_when_another_ends() {
    let sidecar = Sidecar::start().await;
    let (mut first, mut second) = (sidecar.connect().await, sidecar.connect().await);
    for call in 1..=SLOTS {
        first.request(call, request()).await;
        first.expect(call, AdmissionOutcome::Admitted).await;
    }
    second.request(7, request()).await;
    second.expect(7, AdmissionOutcome::Queued).await;
    first.update(1, AdmissionStage::Prefilled).await;
    first.update(1, AdmissionStage::Ended).await;
    second.expect(7, AdmissionOutcome::Admitted).await;
    assert_eq!(sidecar.count("admitted"), SLOTS + 1);
    assert_eq!(sidecar.count("queued"), 1);
}

#[tokio::test]
async fn a_lost_entry_frees_its_places() {
    // Guards against places that are held for ever by the requests of a killed entry.
    let sidecar = Sidecar::start().await;
    let (mut lost, mut other) = (sidecar.connect().await, sidecar.connect().await);
    for call in 1..=SLOTS {
        lost.request(call, request()).await;
        lost.expect(call, AdmissionOutcome::Admitted).await;
    }
    lost.request(9, request()).await;
    lost.expect(9, AdmissionOutcome::Queued).await;
    for call in 1..=SLOTS {
        other.request(call, request()).await;
        other.expect(call, AdmissionOutcome::Queued).await;
    }
    drop(lost);
    let mut admitted = Vec::new();
    for _ in 1..=SLOTS {
        let (call, response) = other.next_response().await;
        assert_eq!(response.outcome(), AdmissionOutcome::Admitted);
        admitted.push(call);
    }
    admitted.sort_unstable();
    assert_eq!(admitted, Vec::from_iter(1..=SLOTS));
}

#[tokio::test]
async fn a_restart_of_the_engine_empties_the_queue() {
    // Guards against requests of an earlier incarnation that hold places in the new one.
    let sidecar = Sidecar::start().await;
    let mut entry = sidecar.connect().await;
    for call in 1..=SLOTS {
        entry.request(call, request()).await;
        entry.expect(call, AdmissionOutcome::Admitted).await;
    }
    entry.request(7, request()).await;
    entry.expect(7, AdmissionOutcome::Queued).await;
    sidecar.change(|upstream| upstream.started_at_ms = Some(2));
    entry.expect(7, AdmissionOutcome::Withdrawn).await;
    for call in 11..=10 + SLOTS {
        entry.request(call, request()).await;
        entry.expect(call, AdmissionOutcome::Admitted).await;
    }
    // Late updates of the earlier incarnation free no place of the new one.
    for call in 1..=SLOTS {
        entry.update(call, AdmissionStage::Ended).await;
    }
    entry.request(20, request()).await;
    entry.expect(20, AdmissionOutcome::Queued).await;
}

#[tokio::test]
async fn requests_that_are_not_asked_for_are_counted_by_the_engine_alone() {
    // Guards against an entry of an older release that is served differently, and against
    // its requests being overlooked.
    let sidecar = Sidecar::start().await;
    let (mut old, mut new) = (sidecar.connect().await, sidecar.connect().await);
    sidecar.change(|upstream| {
        upstream.running = 1;
        upstream.used_tokens = TOTAL_TOKENS - 100;
    });
    while old.next_state().await.running != 1 {}
    new.request(1, request()).await;
    new.expect(1, AdmissionOutcome::Queued).await;
    sidecar.change(|upstream| (upstream.running, upstream.used_tokens) = (0, 0));
    new.expect(1, AdmissionOutcome::Admitted).await;
    assert!(old.next_state().await.up);
    assert_eq!(sidecar.count("rejected"), 0);
}

#[tokio::test]
async fn a_queued_request_is_rejected_when_its_time_has_passed() {
    // Guards against decisions that wait for the next message of an entry.
    let sidecar = Sidecar::start().await;
    let mut entry = sidecar.connect().await;
    for call in 1..=SLOTS {
        entry.request(call, request()).await;
        entry.expect(call, AdmissionOutcome::Admitted).await;
    }
    entry.request(7, AdmissionRequest { max_wait_ms: 150, ..request() }).await;
    entry.expect(7, AdmissionOutcome::Queued).await;
    let wait_ms = entry.expect(7, AdmissionOutcome::Rejected).await;
    assert!(wait_ms >= 100, "{wait_ms}");
}

#[tokio::test]
async fn an_engine_that_is_down_or_leaving_admits_nothing() {
    // Guards against callers that wait for an engine that can't serve them.
    for is_leaving in [false, true] {
        let sidecar = Sidecar::start().await;
        let mut entry = sidecar.connect().await;
        for call in 1..=SLOTS {
            entry.request(call, request()).await;
            entry.expect(call, AdmissionOutcome::Admitted).await;
        }
        entry.request(7, request()).await;
        entry.expect(7, AdmissionOutcome::Queued).await;
        sidecar.change(|upstream| match is_leaving {
            true => upstream.leaving = true,
            false => upstream.up = false,
        });
        entry.expect(7, AdmissionOutcome::Withdrawn).await;
        entry.request(8, request()).await;
        entry.expect(8, AdmissionOutcome::Withdrawn).await;
    }
}

#[tokio::test]
async fn the_state_tells_the_work_ahead_by_priority_to_entries_that_use_it() {
    let sidecar = Sidecar::start().await;
    let (mut entry, mut other) = (sidecar.connect().await, sidecar.connect().await);
    let notice = EntryNotice { observes_runs: true, ..EntryNotice::default() };
    entry.send(0, Body::EntryNotice(notice)).await;
    assert!(entry.next_state().await.admission.is_some());
    for call in 1..=SLOTS {
        entry.request(call, request()).await;
        entry.expect(call, AdmissionOutcome::Admitted).await;
    }
    entry.request(7, AdmissionRequest { priority: 3, ..request() }).await;
    entry.expect(7, AdmissionOutcome::Queued).await;
    let load = loop {
        let load = entry.next_state().await.admission.expect("no work ahead");
        if !load.waiting.is_empty() {
            break load;
        }
    };
    assert_eq!(load.admitted_tokens, 200);
    let waiting = load.waiting.iter().map(|load| (load.priority, load.tokens));
    assert_eq!(waiting.collect::<Vec<_>>(), [(3, 100)]);
    other.send(0, Body::EntryNotice(EntryNotice::default())).await;
    assert_eq!(other.next_state().await.admission, None);
}

#[tokio::test]
async fn an_entry_that_leaves_the_queue_is_not_admitted() {
    let sidecar = Sidecar::start().await;
    let mut entry = sidecar.connect().await;
    for call in 1..=SLOTS {
        entry.request(call, request()).await;
        entry.expect(call, AdmissionOutcome::Admitted).await;
    }
    for call in [7, 8] {
        entry.request(call, request()).await;
        entry.expect(call, AdmissionOutcome::Queued).await;
    }
    entry.update(7, AdmissionStage::Ended).await;
    entry.update(1, AdmissionStage::Ended).await;
    entry.expect(8, AdmissionOutcome::Admitted).await;
}
