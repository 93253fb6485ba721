//! Tests of the admission of requests by the sidecars of engines, against sidecars on
//! loopback that follow a script.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bilberry_core::BootClock;
use bilberry_core::BudgetLimits;
use bilberry_core::Clock;
use bilberry_core::CrashCause;
use bilberry_core::CrashReport;
use bilberry_core::Incarnation;
use bilberry_core::Name;
use bilberry_core::StorePosition;
use bilberry_gateway::CallKind;
use bilberry_gateway::Dialect;
use bilberry_gateway::Dispatch;
use bilberry_gateway::EngineConfig;
use bilberry_gateway::Gateway;
use bilberry_gateway::GatewaySettings;
use bilberry_gateway::IdentityCall;
use bilberry_gateway::InvalidHeader;
use bilberry_gateway::Listing;
use bilberry_gateway::Policy;
use bilberry_gateway::Pool;
use bilberry_gateway::RequestMetadata;
use bilberry_gateway::ResponseClass;
use bilberry_gateway::Route;
use bilberry_gateway::ServerIdentity;
use bilberry_gateway::ServerStatus;
use bilberry_gateway::StopCall;
use bilberry_gateway::StopReply;
use bilberry_gateway::follow_sidecars;
use bilberry_node::GracefulServer;
use bilberry_node::HttpLimits;
use bilberry_wire::AdmissionLoad;
use bilberry_wire::AdmissionOutcome;
use bilberry_wire::AdmissionRequest;
use bilberry_wire::AdmissionResponse;
use bilberry_wire::AdmissionStage;
use bilberry_wire::Body;
use bilberry_wire::CrashNotice;
use bilberry_wire::CrashedRun;
use bilberry_wire::Frame;
use bilberry_wire::FrameCodec;
use bilberry_wire::ModelVersion;
use bilberry_wire::PriorityLoad;
use bilberry_wire::UpstreamState;
use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// The port of every sidecar; each has an own address.
const SIDECAR_PORT: u16 = 7_355;

/// Longer than any step of a test takes.
const STEP_TIMEOUT: Duration = Duration::from_secs(5);

/// The slots of an engine.
const SLOTS: u64 = 1;

type Entry = Gateway<TestDialect, BootClock>;

const MODEL: &str = "model-a";

/// A dialect in which each request has an attempt, and a prompt of 100 tokens for a model.
struct TestDialect;

impl Dialect for TestDialect {
    fn decode(&self, headers: &HeaderMap) -> Result<RequestMetadata, InvalidHeader> {
        let attempt = headers.get("attempt").and_then(|value| value.to_str().ok());
        let attempt = attempt.unwrap_or_default().into();
        let model = Some(MODEL.into());
        let metadata = RequestMetadata::default();
        Ok(RequestMetadata { attempt, model, prompt_tokens: 100, ..metadata })
    }

    fn request_headers(&self, inbound: &HeaderMap, _: &Dispatch) -> HeaderMap {
        inbound.clone()
    }

    fn response_headers(&self, outbound: &HeaderMap) -> HeaderMap {
        outbound.clone()
    }

    fn classify_response(
        &self,
        _: StatusCode,
        _: &HeaderMap,
        _: &str,
        _: &str,
    ) -> ResponseClass {
        ResponseClass::Valid
    }

    fn stop_call(&self, _: &StopCall) -> Request<Full<Bytes>> {
        Request::default()
    }

    fn stop_reply(&self, _: StatusCode, _: &[u8]) -> StopReply {
        StopReply::Unknown
    }

    fn start_call(&self, _: SocketAddr) -> Request<Full<Bytes>> {
        Request::default()
    }

    fn start_reply(&self, _: StatusCode, _: &[u8]) -> Option<Incarnation> {
        None
    }

    fn identity_call(&self, _: &IdentityCall) -> Request<Full<Bytes>> {
        Request::default()
    }

    fn identity_reply(&self, _: &HeaderMap, _: &[u8]) -> Option<ServerIdentity> {
        None
    }

    fn server_status(&self, _: StatusCode, _: &HeaderMap) -> ServerStatus {
        ServerStatus::default()
    }
}

/// What a sidecar sends to the entry.
#[derive(Debug)]
enum Command {
    State(UpstreamState),
    Respond(u64, AdmissionOutcome, u64),
    /// Relays that a request crashed three servers.
    Crashes(u64),
    /// Closes the connection and the listener.
    End,
    /// Sends nothing more on the open connection.
    Freeze,
}

/// An engine that responds to each request, and its sidecar.
struct Engine {
    id: String,
    address: SocketAddr,
    runs: Arc<Mutex<Vec<String>>>,
    sidecar: mpsc::UnboundedSender<Command>,
    requests: mpsc::UnboundedReceiver<(u64, AdmissionRequest)>,
    updates: mpsc::UnboundedReceiver<(u64, AdmissionStage)>,
    /// The number of notices that the sidecar has received from the entry.
    notices: Arc<AtomicU32>,
}

impl Engine {
    async fn start(number: usize) -> Self {
        let ip = next_ip();
        let engine = TcpListener::bind((ip, 0)).await.expect("failed to bind");
        let address = engine.local_addr().expect("no local address");
        let runs = Arc::new(Mutex::new(Vec::new()));
        tokio::spawn(serve_engine(engine, runs.clone()));
        let sidecar =
            TcpListener::bind((ip, SIDECAR_PORT)).await.expect("failed to bind");
        let (commands, received) = mpsc::unbounded_channel();
        let (requests, requested) = mpsc::unbounded_channel();
        let (updates, updated) = mpsc::unbounded_channel();
        let notices = Arc::new(AtomicU32::new(0));
        tokio::spawn(serve_sidecar(
            sidecar,
            received,
            requests,
            updates,
            notices.clone(),
        ));
        let id = format!("engine-{number}");
        Self {
            id,
            address,
            runs,
            sidecar: commands,
            requests: requested,
            updates: updated,
            notices,
        }
    }

    fn listing(&self) -> Listing {
        Listing {
            id: self.id.as_str().into(),
            pool: "llm".into(),
            address: self.address,
            data_centre: "hall-a".into(),
            slots: SLOTS,
            leaving: false,
            models: vec![(MODEL.into(), 1)],
            listed_at: StorePosition { era: None, revision: 1 },
            software: None,
            incarnation: None,
        }
    }

    fn send(&self, command: Command) {
        self.sidecar.send(command).expect("the sidecar has ended");
    }

    fn respond(&self, call: u64, outcome: AdmissionOutcome, wait_ms: u64) {
        self.send(Command::Respond(call, outcome, wait_ms));
    }

    async fn requested(&mut self) -> (u64, AdmissionRequest) {
        let request = timeout(STEP_TIMEOUT, self.requests.recv()).await;
        request.expect("no admission request").expect("the sidecar has ended")
    }

    /// Asserts the next update of a call.
    async fn assert_update(&mut self, call: u64, stage: AdmissionStage) {
        let update = timeout(STEP_TIMEOUT, self.updates.recv()).await;
        assert_eq!(update.expect("no update"), Some((call, stage)));
    }

    /// Admits the next request at once.
    async fn admit(&mut self) -> u64 {
        let (call, _) = self.requested().await;
        self.respond(call, AdmissionOutcome::Admitted, 0);
        call
    }

    fn runs(&self, attempt: &str) -> usize {
        self.runs.lock().unwrap().iter().filter(|run| *run == attempt).count()
    }
}

/// Responds to each request with its attempt, and records the attempt.
async fn serve_engine(listener: TcpListener, runs: Arc<Mutex<Vec<String>>>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let runs = runs.clone();
        tokio::spawn(async move {
            while let Some(attempt) = read_attempt(&mut stream).await {
                runs.lock().unwrap().push(attempt);
                sleep(Duration::from_millis(5)).await;
                let response =
                    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\ndata: ok\n\n";
                let _ = stream.write_all(response.as_bytes()).await;
            }
        });
    }
}

/// Reads a request without a body; returns its attempt.
async fn read_attempt(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    while !text.contains("\r\n\r\n") {
        let mut bytes = [0; 1_024];
        let length = stream.read(&mut bytes).await.ok().filter(|&length| length > 0)?;
        text.push_str(&String::from_utf8_lossy(&bytes[..length]));
    }
    let attempt = text.lines().find_map(|line| line.strip_prefix("attempt: "));
    attempt.map(str::to_string)
}

/// Repeats the last state, and sends responses as commanded.
async fn serve_sidecar(
    listener: TcpListener,
    mut commands: mpsc::UnboundedReceiver<Command>,
    requests: mpsc::UnboundedSender<(u64, AdmissionRequest)>,
    updates: mpsc::UnboundedSender<(u64, AdmissionStage)>,
    notices: Arc<AtomicU32>,
) {
    let (stream, _) = listener.accept().await.expect("failed to accept");
    let mut framed = Framed::new(stream, FrameCodec::new());
    let mut state = state(true);
    loop {
        let sent = tokio::select! {
            command = commands.recv() => match command {
                Some(Command::Respond(call, outcome, wait_ms)) => {
                    let outcome = outcome.into();
                    let response = AdmissionResponse { outcome, wait_ms };
                    let body = Some(Body::AdmissionResponse(response));
                    Some(Frame { call, body, ..Frame::default() })
                }
                Some(Command::State(changed)) => {
                    state = changed;
                    Some(state_frame(&state))
                }
                Some(Command::Crashes(request)) => {
                    let crash = |server| CrashedRun { cause: request, server, ..Default::default() };
                    // The last of them was in a run that began while it was suspect.
                    let trial = CrashReport::of_request_trial(CrashCause(request), 3);
                    let crashes = (1..=3).map(crash).chain([trial.into()]);
                    let notice = CrashNotice { runs: crashes.collect() };
                    let body = Some(Body::CrashNotice(notice));
                    Some(Frame { body, ..Frame::default() })
                }
                Some(Command::Freeze) => std::future::pending().await,
                Some(Command::End) | None => return,
            },
            frame = framed.next() => {
                let Some(Ok(Frame { call, body, .. })) = frame else { return };
                match body {
                    Some(Body::AdmissionRequest(request)) => {
                        let _ = requests.send((call, request));
                    }
                    Some(Body::AdmissionUpdate(update)) => {
                        let _ = updates.send((call, update.stage()));
                    }
                    Some(Body::EntryNotice(_)) => {
                        notices.fetch_add(1, Ordering::Relaxed);
                    }
                    _ => {}
                }
                None
            }
            _ = sleep(Duration::from_millis(100)) => Some(state_frame(&state)),
        };
        if let Some(frame) = sent {
            framed.send(frame).await.expect("the entry closed the connection");
        }
    }
}

fn state_frame(state: &UpstreamState) -> Frame {
    let body = Some(Body::UpstreamState(state.clone()));
    Frame { body, ..Frame::default() }
}

/// Returns the state of an idle engine whose sidecar decides on admissions or not.
fn state(decides: bool) -> UpstreamState {
    let admission = decides.then(AdmissionLoad::default);
    let models = vec![ModelVersion { model: MODEL.to_string(), version: 1 }];
    UpstreamState { up: true, models, admission, ..UpstreamState::default() }
}

/// Returns an address that no other test uses.
fn next_ip() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let process = std::process::id();
    let host = NEXT.fetch_add(1, Ordering::Relaxed) as u8;
    Ipv4Addr::new(127, 128 + (process >> 8 & 0x3f) as u8, process as u8, host)
}

fn route(name: &str, target_ms: u64) -> Arc<Route> {
    Arc::new(Route {
        name: name.into(),
        prefix: format!("/{name}/").into(),
        kind: CallKind::ResumableStream,
        timeout_ms: 6_000,
        target_ms,
        priority: 3,
        targets: vec![("llm".into(), 1)],
        max_attempts: 2,
        public: true,
        gap_ms: None,
        patience_ms: None,
    })
}

/// Returns a configuration of a service with routes of these target latencies.
fn policy(short_ms: u64, long_ms: u64) -> Policy {
    let engine = EngineConfig {
        memory_tokens: 1_000,
        keeps_backups: false,
        stops_runs: false,
        token_bytes: 0,
    };
    let pool = Pool { name: "llm".into(), engine: Some(engine), ..Pool::default() };
    let pools: HashMap<Name, Arc<Pool>> = [("llm".into(), Arc::new(pool))].into();
    let routes = vec![route("short", short_ms), route("long", long_ms)];
    let routes = [("api".into(), routes)].into();
    let ordered_pools = Policy::ordered_pools(&routes, &pools);
    Policy { version: 1, routes, pools, ordered_pools, ..Policy::default() }
}

/// An entry with its engines.
struct Deployment {
    entry: Arc<Entry>,
    callers: SocketAddr,
    engines: Vec<Engine>,
}

impl Deployment {
    async fn start(engines: usize, policy: Policy) -> Self {
        let settings = GatewaySettings {
            host: "entry".into(),
            quota_tolerance: Default::default(),
            data_centre: "hall-a".into(),
            key_max_age_ms: None,
            outdated_weights_max_ms: None,
            budget: BudgetLimits { ratio: 0.2, slack: 54.0, window_ms: 10_000 },
        };
        let entry = Arc::new(Gateway::new(TestDialect, BootClock::new(), settings));
        entry.apply_policy(policy);
        let mut started = Vec::new();
        for number in 0..engines {
            let engine = Engine::start(number).await;
            entry.apply_listing(&engine.listing());
            started.push(engine);
        }
        tokio::spawn(follow_sidecars(entry.clone(), SIDECAR_PORT));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("failed to bind");
        let callers = listener.local_addr().expect("no local address");
        let limits =
            HttpLimits { header_bytes: 65_536, header_ms: 60_000, connections: 100 };
        // Runs until the test ends.
        std::mem::forget(GracefulServer::start(listener, limits, entry.clone()));
        let deployment = Self { entry, callers, engines: started };
        deployment.wait_for_sidecars().await;
        deployment
    }

    /// Waits until the entry has a state from each sidecar.
    async fn wait_for_sidecars(&self) {
        let waiting = async {
            let now = || self.entry.clock.now();
            while !self.entry.upstreams.all().iter().all(|it| it.has_current_feed(now()))
            {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(STEP_TIMEOUT, waiting).await.expect("no state from a sidecar");
    }

    /// Makes the entry choose the first engine before the others.
    async fn prefer_first(&self) {
        for (number, engine) in self.engines.iter().enumerate() {
            let queued = number as u64;
            self.apply(engine, UpstreamState { queued, ..state(true) }).await;
        }
    }

    /// Sends a state with an own number of queued requests, and waits until the entry has
    /// applied it.
    async fn apply(&self, engine: &Engine, state: UpstreamState) {
        let queued = state.queued;
        engine.send(Command::State(state));
        let upstream = self.entry.upstreams.get(&engine.id).expect("it is listed");
        let waiting = async {
            while upstream.offer(self.entry.clock.now(), "hall-a", None).queued != queued
            {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(STEP_TIMEOUT, waiting).await.expect("the state was not applied");
    }

    /// Sends a request in the background.
    fn send(&self, attempt: &str) -> JoinHandle<String> {
        let text =
            format!("GET /long/a HTTP/1.1\r\nHost: api\r\nattempt: {attempt}\r\n\r\n");
        let callers = self.callers;
        tokio::spawn(async move {
            let mut stream =
                TcpStream::connect(callers).await.expect("failed to connect");
            stream.write_all(text.as_bytes()).await.expect("failed to send");
            let mut response = String::new();
            while !response.contains("\r\n\r\n") {
                let mut bytes = [0; 4_096];
                let length = stream.read(&mut bytes).await.expect("failed to read");
                assert!(length > 0, "closed without a response");
                response.push_str(&String::from_utf8_lossy(&bytes[..length]));
            }
            response
        })
    }

    /// Returns how often an attempt ran, over all engines.
    fn runs(&self, attempt: &str) -> usize {
        self.engines.iter().map(|engine| engine.runs(attempt)).sum()
    }
}

async fn response(sent: JoinHandle<String>) -> String {
    let response = timeout(STEP_TIMEOUT, sent).await.expect("no response");
    response.expect("the caller failed")
}

async fn assert_served(sent: JoinHandle<String>) {
    let response = response(sent).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

/// Returns the `Retry-After` of a refused request.
async fn retry_after(sent: JoinHandle<String>) -> Duration {
    let response = response(sent).await;
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    let value = response.lines().find_map(|line| line.strip_prefix("retry-after: "));
    let seconds: f64 = value.expect("no Retry-After").parse().expect("not a number");
    Duration::from_secs_f64(seconds)
}

#[tokio::test]
async fn an_admitted_request_reports_its_prefill_and_its_end() {
    let mut deployment = Deployment::start(1, policy(300, 1_000)).await;
    let sent = deployment.send("a");
    let engine = &mut deployment.engines[0];
    let (call, request) = engine.requested().await;
    assert_eq!((request.prefill_tokens, request.memory_tokens), (100, 100));
    assert_eq!((request.priority, request.slots), (3, SLOTS));
    assert!((1..=1_000).contains(&request.target_in_ms), "{request:?}");
    assert!((1..=2_000).contains(&request.max_wait_ms), "{request:?}");
    assert_eq!(engine.runs("a"), 0);
    engine.respond(call, AdmissionOutcome::Admitted, 0);
    assert_served(sent).await;
    engine.assert_update(call, AdmissionStage::Prefilled).await;
    engine.assert_update(call, AdmissionStage::Ended).await;
    assert_eq!(engine.runs("a"), 1);
}

#[tokio::test]
async fn a_queued_request_runs_once_it_is_admitted() {
    // Guards against a request that is sent before its turn, or takes the time limit of
    // the first response for the limit of its turn.
    let mut deployment = Deployment::start(1, policy(300, 1_000)).await;
    let sent = deployment.send("a");
    let engine = &mut deployment.engines[0];
    let (call, _) = engine.requested().await;
    engine.respond(call, AdmissionOutcome::Queued, 400);
    sleep(Duration::from_millis(400)).await;
    assert_eq!(engine.runs("a"), 0);
    engine.respond(call, AdmissionOutcome::Admitted, 0);
    assert_served(sent).await;
    assert_eq!(deployment.runs("a"), 1);
}

#[tokio::test]
async fn an_entry_that_has_asked_repeats_its_notice() {
    // Guards against a sidecar that takes an entry without new requests for suspended, and
    // ends its places.
    let mut deployment = Deployment::start(1, policy(300, 1_000)).await;
    let sent = deployment.send("a");
    deployment.engines[0].admit().await;
    assert_served(sent).await;
    let notices = || deployment.engines[0].notices.load(Ordering::Relaxed);
    let before = notices();
    let began = Instant::now();
    while notices() < before + 3 {
        assert!(began.elapsed() < STEP_TIMEOUT, "{} notices", notices() - before);
        sleep(Duration::from_millis(10)).await;
    }
    assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
}

#[tokio::test]
async fn slots_in_use_do_not_keep_a_request_from_the_sidecar() {
    // Guards against entries that queue requests themselves, where no sidecar can order
    // them.
    let mut deployment = Deployment::start(1, policy(300, 1_000)).await;
    let sent = ["a", "b", "c"].map(|attempt| deployment.send(attempt));
    let mut calls = Vec::new();
    for _ in 0..3 {
        let (call, _) = deployment.engines[0].requested().await;
        deployment.engines[0].respond(call, AdmissionOutcome::Queued, 100);
        calls.push(call);
    }
    for call in calls {
        deployment.engines[0].respond(call, AdmissionOutcome::Admitted, 0);
    }
    for sent in sent {
        assert_served(sent).await;
    }
}

#[tokio::test]
async fn without_a_response_in_time_another_engine_is_asked() {
    let mut deployment = Deployment::start(2, policy(300, 1_000)).await;
    deployment.prefer_first().await;
    let sent = deployment.send("a");
    let (silent, _) = deployment.engines[0].requested().await;
    let asked_at = Instant::now();
    deployment.engines[1].admit().await;
    assert!(asked_at.elapsed() < Duration::from_millis(200), "{:?}", asked_at.elapsed());
    assert_served(sent).await;
    deployment.engines[0].assert_update(silent, AdmissionStage::Ended).await;
    assert_eq!((deployment.engines[0].runs("a"), deployment.runs("a")), (0, 1));
}

#[tokio::test]
async fn without_any_response_requests_are_placed_as_before() {
    // Guards against an outage of a service whose sidecars hang while its engines work.
    let mut deployment = Deployment::start(1, policy(300, 1_000)).await;
    let sent = deployment.send("a");
    let (call, _) = deployment.engines[0].requested().await;
    assert_served(sent).await;
    deployment.engines[0].assert_update(call, AdmissionStage::Ended).await;
    assert_eq!(deployment.runs("a"), 1);
}

#[tokio::test]
async fn an_admission_after_the_time_limit_is_ended() {
    // Guards against places that are taken until the connection ends.
    let mut deployment = Deployment::start(2, policy(300, 1_000)).await;
    deployment.prefer_first().await;
    let sent = deployment.send("a");
    let (late, _) = deployment.engines[0].requested().await;
    deployment.engines[1].admit().await;
    assert_served(sent).await;
    deployment.engines[0].assert_update(late, AdmissionStage::Ended).await;
    deployment.engines[0].respond(late, AdmissionOutcome::Admitted, 0);
    deployment.engines[0].assert_update(late, AdmissionStage::Ended).await;
    assert_eq!(deployment.engines[0].runs("a"), 0);
}

#[tokio::test]
async fn a_rejected_request_asks_one_more_engine() {
    let mut deployment = Deployment::start(3, policy(300, 1_000)).await;
    deployment.prefer_first().await;
    let sent = deployment.send("a");
    let (call, _) = deployment.engines[0].requested().await;
    deployment.engines[0].respond(call, AdmissionOutcome::Rejected, 700);
    deployment.engines[1].admit().await;
    assert_served(sent).await;
    assert_eq!((deployment.engines[1].runs("a"), deployment.runs("a")), (1, 1));
}

#[tokio::test]
async fn a_request_that_two_engines_rejected_is_refused_at_once_with_the_shorter_time() {
    let mut deployment = Deployment::start(3, policy(300, 1_000)).await;
    deployment.prefer_first().await;
    let began = Instant::now();
    let sent = deployment.send("a");
    for (engine, wait_ms) in [(0, 900), (1, 600)] {
        let (call, _) = deployment.engines[engine].requested().await;
        deployment.engines[engine].respond(call, AdmissionOutcome::Rejected, wait_ms);
    }
    let named = retry_after(sent).await;
    assert!(began.elapsed() < Duration::from_millis(500), "{:?}", began.elapsed());
    let allowed = Duration::from_millis(600)..=Duration::from_millis(700);
    assert!(allowed.contains(&named), "{named:?}");
    assert_eq!(deployment.runs("a"), 0);
    assert!(deployment.engines[2].requests.try_recv().is_err());
}

#[tokio::test]
async fn the_end_of_a_caller_ends_its_place_in_the_queue() {
    let mut deployment = Deployment::start(1, policy(300, 1_000)).await;
    let sent = deployment.send("a");
    let (call, _) = deployment.engines[0].requested().await;
    deployment.engines[0].respond(call, AdmissionOutcome::Queued, 500);
    sleep(Duration::from_millis(50)).await;
    sent.abort();
    deployment.engines[0].assert_update(call, AdmissionStage::Ended).await;
    deployment.engines[0].respond(call, AdmissionOutcome::Admitted, 0);
    deployment.engines[0].assert_update(call, AdmissionStage::Ended).await;
    assert_eq!(deployment.runs("a"), 0);
}

#[tokio::test]
async fn a_queued_request_leaves_an_engine_that_loads_or_goes_down() {
    let changes = [
        UpstreamState { loading: true, ..state(true) },
        UpstreamState { up: false, ..state(true) },
        UpstreamState { leaving: true, ..state(true) },
    ];
    for change in changes {
        let mut deployment = Deployment::start(2, policy(300, 1_000)).await;
        deployment.prefer_first().await;
        let sent = deployment.send("a");
        let (call, _) = deployment.engines[0].requested().await;
        deployment.engines[0].respond(call, AdmissionOutcome::Queued, 500);
        sleep(Duration::from_millis(50)).await;
        deployment.engines[0].send(Command::State(change));
        deployment.engines[1].admit().await;
        assert_served(sent).await;
        deployment.engines[0].assert_update(call, AdmissionStage::Ended).await;
        assert_eq!(deployment.engines[0].runs("a"), 0);
    }
}

#[tokio::test]
async fn a_queued_request_that_is_quarantined_does_not_run() {
    // Guards against a request that crashes one more engine because it was queued before
    // its crashes were known.
    let mut deployment = Deployment::start(1, policy(300, 1_000)).await;
    let sent = deployment.send("a");
    let (call, request) = deployment.engines[0].requested().await;
    deployment.engines[0].respond(call, AdmissionOutcome::Queued, 500);
    deployment.engines[0].send(Command::Crashes(request.key));
    deployment.engines[0].assert_update(call, AdmissionStage::Ended).await;
    deployment.engines[0].respond(call, AdmissionOutcome::Admitted, 0);
    let named = retry_after(sent).await;
    assert!(named > Duration::from_secs(60), "{named:?}");
    assert_eq!(deployment.runs("a"), 0);
}

#[tokio::test]
async fn a_queued_request_asks_again_when_the_weights_change() {
    // Guards against a request that is sent for weights which the engine no longer has.
    let mut deployment = Deployment::start(1, policy(300, 1_000)).await;
    let sent = deployment.send("a");
    let (call, _) = deployment.engines[0].requested().await;
    deployment.engines[0].respond(call, AdmissionOutcome::Queued, 500);
    let models = vec![ModelVersion { model: MODEL.to_string(), version: 2 }];
    let changed = UpstreamState { models, ..state(true) };
    deployment.engines[0].send(Command::State(changed));
    let again = deployment.engines[0].admit().await;
    assert_served(sent).await;
    assert!(again > call, "{again} after {call}");
    deployment.engines[0].assert_update(call, AdmissionStage::Ended).await;
    assert_eq!(deployment.runs("a"), 1);
}

#[tokio::test]
async fn requests_queued_at_a_sidecar_that_dies_run_once_elsewhere() {
    let mut deployment = Deployment::start(2, policy(300, 1_000)).await;
    deployment.prefer_first().await;
    let attempts = ["a", "b", "c", "d"];
    let sent = attempts.map(|attempt| deployment.send(attempt));
    for _ in attempts {
        let (call, _) = deployment.engines[0].requested().await;
        deployment.engines[0].respond(call, AdmissionOutcome::Queued, 500);
    }
    deployment.engines[0].send(Command::End);
    for _ in attempts {
        deployment.engines[1].admit().await;
    }
    for sent in sent {
        assert_served(sent).await;
    }
    assert_eq!(attempts.map(|attempt| deployment.runs(attempt)), [1; 4]);
}

#[tokio::test]
async fn a_request_queued_at_a_frozen_sidecar_runs_elsewhere() {
    // Guards against requests that wait until their deadline behind a suspended host.
    let mut deployment = Deployment::start(2, policy(300, 1_000)).await;
    deployment.prefer_first().await;
    let sent = deployment.send("a");
    let (call, _) = deployment.engines[0].requested().await;
    deployment.engines[0].respond(call, AdmissionOutcome::Queued, 500);
    sleep(Duration::from_millis(50)).await;
    deployment.engines[0].send(Command::Freeze);
    deployment.engines[1].admit().await;
    assert_served(sent).await;
    assert_eq!((deployment.engines[0].runs("a"), deployment.runs("a")), (0, 1));
}

#[tokio::test]
async fn a_queued_request_is_refused_while_its_caller_can_still_return() {
    let mut deployment = Deployment::start(1, policy(300, 1_000)).await;
    let sent = deployment.send("a");
    let (call, request) = deployment.engines[0].requested().await;
    deployment.engines[0].respond(call, AdmissionOutcome::Queued, 500);
    let began = Instant::now();
    retry_after(sent).await;
    let allowed = Duration::from_millis(request.max_wait_ms + 500);
    assert!(began.elapsed() < allowed, "{:?} of {allowed:?}", began.elapsed());
    deployment.engines[0].assert_update(call, AdmissionStage::Ended).await;
    assert_eq!(deployment.runs("a"), 0);
}

#[tokio::test]
async fn the_time_to_return_leaves_the_caller_time_for_another_attempt() {
    let mut deployment = Deployment::start(1, policy(300, 1_000)).await;
    let sent = deployment.send("a");
    let (call, _) = deployment.engines[0].requested().await;
    deployment.engines[0].respond(call, AdmissionOutcome::Rejected, 60_000);
    let named = retry_after(sent).await;
    assert!(named <= Duration::from_millis(6_000 / 3), "{named:?}");
}

#[tokio::test]
async fn requests_go_where_the_least_work_of_their_priority_is_ahead() {
    // Work of a lower priority does not delay the request, and neither does the work of
    // one engine that of another.
    let mut deployment = Deployment::start(3, policy(300, 1_000)).await;
    let waiting = |priority, tokens| vec![PriorityLoad { priority, tokens }];
    let loads = [
        AdmissionLoad { admitted_tokens: 9_000, waiting: Vec::new() },
        AdmissionLoad { admitted_tokens: 0, waiting: waiting(3, 9_000) },
        AdmissionLoad { admitted_tokens: 0, waiting: waiting(4, 9_000) },
    ];
    for (engine, load) in deployment.engines.iter().zip(loads) {
        let state = UpstreamState { queued: 1, ..state(true) };
        let admission = Some(load);
        deployment.apply(engine, UpstreamState { admission, ..state }).await;
    }
    let sent = deployment.send("a");
    deployment.engines[2].admit().await;
    assert_served(sent).await;
}

#[tokio::test]
async fn a_sidecar_without_admissions_is_not_asked() {
    let mut deployment = Deployment::start(1, policy(300, 1_000)).await;
    let older = UpstreamState { queued: 1, ..state(false) };
    deployment.apply(&deployment.engines[0], older).await;
    deployment.apply(&deployment.engines[0], state(false)).await;
    assert_served(deployment.send("a")).await;
    assert!(deployment.engines[0].requests.try_recv().is_err());
}

#[tokio::test]
async fn a_service_without_competing_routes_does_not_ask() {
    let mut deployment = Deployment::start(1, policy(300, 400)).await;
    assert_served(deployment.send("a")).await;
    assert!(deployment.engines[0].requests.try_recv().is_err());
}
