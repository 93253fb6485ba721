//! A model server as the platform's pages describe it: it runs requests in batches, keeps
//! read parts of prompts under their salt, preempts runs when its memory runs out, and
//! loads new weights on orders.
//!
//! It does nothing that the pages don't allow a sound server to do.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bilberry_adapter_tests::RawRequest;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::record::Record;

/// The duration of a step, in which each run makes a token.
const STEP: Duration = Duration::from_millis(6);

/// How many prompt tokens are read in a step.
const TOKENS_READ_PER_STEP: u64 = 660;

/// How late events of the cache are told.
const EVENTS_LATE_MS: u64 = 80;

/// How long a load of weights takes.
const LOAD_MS: u64 = 420;

/// How many requests wait at most.
const QUEUE: usize = 96;

/// Marks the salt of parts that runs still use and no other request finds.
const HIDDEN: char = '\u{1}';

/// The settings of a server.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Its id.
    pub id: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its models, each with version 1 at first.
    pub models: Vec<String>,
    /// Its memory in tokens.
    pub memory_tokens: u64,
    /// How many requests run at once.
    pub slots: usize,
    /// Whether it rejects orders with a lower fencing token than one already seen.
    pub checks_fences: bool,
}

/// An order that arrived.
#[derive(Debug, Clone)]
pub struct SeenOrder {
    /// When, in milliseconds since the start of the case.
    pub at_ms: u64,
    /// Who gave it.
    pub holder: String,
    /// Its fencing token.
    pub fence: u64,
    /// The model.
    pub model: String,
    /// The version to load.
    pub version: u64,
    /// The answer.
    pub status: u16,
}

/// A request that began to run on memory that was made under another version.
#[derive(Debug, Clone)]
pub struct StaleRun {
    /// The request.
    pub attempt: String,
    /// The version under which it runs.
    pub runs_on: u64,
    /// The version under which the part was made.
    pub made_under: u64,
    /// The part.
    pub part: String,
    /// Where the part came from.
    pub from: String,
}

/// The servers of a deployment by address, between which parts are fetched.
pub type Peers = Arc<Mutex<HashMap<String, Arc<Engine>>>>;

/// A model server.
#[derive(Debug)]
pub struct Engine {
    /// Its settings.
    pub settings: EngineSettings,
    record: Record,
    peers: Peers,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    versions: BTreeMap<String, u64>,
    named: BTreeMap<String, u64>,
    loading: Option<(String, u64, Instant)>,
    orders: u64,
    highest_fence: u64,
    seen_orders: Vec<SeenOrder>,
    cache: HashMap<(String, String), CachedPart>,
    events: Vec<(Instant, Value)>,
    runs: Vec<Run>,
    arrivals: u64,
    arrived: BTreeSet<String>,
    uses: u64,
    stale: Vec<StaleRun>,
    begun: u64,
    preempted: u64,
    read_again_after_load: u64,
    versions_changed: bool,
}

#[derive(Debug, Clone)]
struct CachedPart {
    tokens: u64,
    made_under: u64,
    used: u64,
    pins: u32,
    model: String,
}

#[derive(Debug, Clone, PartialEq)]
enum Phase {
    Waiting,
    Reading { left: u64 },
    Running,
}

#[derive(Debug)]
struct Run {
    attempt: String,
    model: String,
    salt: String,
    priority: u64,
    arrival: u64,
    admitted: u64,
    shared: Vec<(String, u64)>,
    own_tokens: u64,
    fetch_from: Option<String>,
    first: u64,
    events: u64,
    made: u64,
    phase: Phase,
    /// The version under which it began, once its first token was made.
    began_under: Option<u64>,
    told_version: u64,
    pinned: Vec<(String, String)>,
    /// Memory of its own beyond the pinned parts.
    private_tokens: u64,
    out: mpsc::UnboundedSender<Output>,
}

#[derive(Debug)]
enum Output {
    NotRun,
    Head(u64),
    Event(String),
    End,
}

impl Engine {
    /// Starts a server.
    pub async fn start(
        settings: EngineSettings,
        record: Record,
        peers: Peers,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(settings.address).await?;
        let versions: BTreeMap<String, u64> =
            settings.models.iter().map(|model| (model.clone(), 1)).collect();
        let state = State {
            named: versions.clone(),
            versions,
            loading: None,
            orders: 0,
            highest_fence: 0,
            seen_orders: Vec::new(),
            cache: HashMap::new(),
            events: Vec::new(),
            runs: Vec::new(),
            arrivals: 0,
            arrived: BTreeSet::new(),
            uses: 0,
            stale: Vec::new(),
            begun: 0,
            preempted: 0,
            read_again_after_load: 0,
            versions_changed: false,
        };
        let address = settings.address.to_string();
        let engine = Arc::new(Self {
            settings,
            record,
            peers: peers.clone(),
            state: Mutex::new(state),
        });
        peers.lock().unwrap().insert(address, engine.clone());
        tokio::spawn(engine.clone().accept(listener));
        tokio::spawn(engine.clone().work());
        Ok(engine)
    }

    /// Names a version, which may be ordered from now on.
    pub fn name_version(&self, model: &str, version: u64) {
        self.state.lock().unwrap().named.insert(model.to_string(), version);
    }

    /// Returns the version of a model's weights.
    pub fn version(&self, model: &str) -> u64 {
        self.state.lock().unwrap().versions.get(model).copied().unwrap_or_default()
    }

    /// Returns whether its versions have changed since the last call.
    pub fn take_versions_changed(&self) -> bool {
        std::mem::take(&mut self.state.lock().unwrap().versions_changed)
    }

    /// Returns the models as they stand in reports and in the list of servers.
    pub fn models(&self) -> Value {
        let state = self.state.lock().unwrap();
        let model = |(name, version): (&String, &u64)| json!({"Name": name, "Version": version, "Adapters": []});
        state.versions.iter().map(model).collect()
    }

    /// Returns the orders that arrived.
    pub fn orders(&self) -> Vec<SeenOrder> {
        self.state.lock().unwrap().seen_orders.clone()
    }

    /// Returns the requests that began on memory of another version.
    pub fn stale_runs(&self) -> Vec<StaleRun> {
        self.state.lock().unwrap().stale.clone()
    }

    /// Returns whether a request has arrived and was put into the queue.
    pub fn has_arrived(&self, attempt: &str) -> bool {
        self.state.lock().unwrap().arrived.contains(attempt)
    }

    /// Returns how many requests began, were preempted, and were read in again after a load.
    pub fn counts(&self) -> (u64, u64, u64) {
        let state = self.state.lock().unwrap();
        (state.begun, state.preempted, state.read_again_after_load)
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            tokio::spawn(self.clone().serve(stream));
        }
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(request) = RawRequest::read(&mut stream, &mut buffer).await {
            let path = request.path.split('?').next().unwrap_or_default().to_string();
            let open = match path.as_str() {
                "/bilberrypaddle/report" => {
                    answer_json(&mut stream, 200, &self.report()).await
                }
                "/bilberrypaddle/order" => {
                    let status = self.order(&request);
                    answer_json(&mut stream, status, &json!({})).await
                }
                "/bilberrypaddle/kv-list" => {
                    answer_json(&mut stream, 200, &self.listing()).await
                }
                "/bilberrypaddle/kv-events" => {
                    let body = self.cache_events(&request).await;
                    answer_json(&mut stream, 200, &body).await
                }
                "/health" => {
                    let head = format!("X-Instance-Id: {}\r\n", self.settings.id);
                    answer(&mut stream, 200, &head, "").await
                }
                _ => self.run(&mut stream, &request).await,
            };
            if !open {
                return;
            }
        }
    }

    fn report(&self) -> Value {
        let models = self.models();
        let state = self.state.lock().unwrap();
        let waiting = state.runs.iter().filter(|run| run.phase == Phase::Waiting);
        let active = state.runs.iter().filter(|run| run.phase != Phase::Waiting);
        let runs: Vec<Value> = active
            .clone()
            .map(|run| {
                json!([run.attempt, run.memory(&state.cache), run.made, run.priority])
            })
            .collect();
        json!({
            "Stage": "combined", "Models": models, "Busy": state.loading.is_some(),
            "Seq": state.orders, "Queued": waiting.count(), "Active": active.count(),
            "KvUsed": state.used_tokens(), "KvTotal": self.settings.memory_tokens,
            "OpenHandles": 0, "Pinned": 0, "Held": 0, "State": "ready", "Runs": runs,
        })
    }

    fn listing(&self) -> Value {
        let state = self.state.lock().unwrap();
        let part = |((salt, id), part): (&(String, String), &CachedPart)| {
            json!([salt, id, part.tokens, part.model])
        };
        let found = state.cache.iter().filter(|((salt, _), _)| !salt.starts_with(HIDDEN));
        let held: Vec<Value> = found.map(part).collect();
        json!({"BootEpoch": 7, "Next": state.events.len(), "Held": held})
    }

    async fn cache_events(&self, request: &RawRequest) -> Value {
        let since = request.path.split_once("Since=").map_or("0", |(_, since)| since);
        let since: usize = since.parse().unwrap_or_default();
        let wait_ms: u64 = request.header("wait-ms").parse().unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(wait_ms.min(1_000));
        loop {
            {
                let state = self.state.lock().unwrap();
                let told_until = Instant::now() - Duration::from_millis(EVENTS_LATE_MS);
                let told =
                    state.events.iter().take_while(|(at, _)| *at <= told_until).count();
                if told > since || Instant::now() >= until {
                    let next = told.max(since);
                    let events: Vec<Value> = (since..next)
                        .map(|number| {
                            let mut event = state.events[number].1.clone();
                            event[0] = json!(number);
                            event
                        })
                        .collect();
                    return json!({
                        "BootEpoch": 7, "Next": next, "Lost": false, "Events": events
                    });
                }
            }
            sleep(Duration::from_millis(10)).await;
        }
    }

    fn order(&self, request: &RawRequest) -> u16 {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let model = body["Model"].as_str().unwrap_or_default().to_string();
        let version = body["Version"].as_u64().unwrap_or_default();
        let holder = body["Holder"].as_str().unwrap_or_default().to_string();
        let fence = body["FenceToken"].as_u64();
        let expected_id = request.header("x-expect-instance");
        let mut state = self.state.lock().unwrap();
        let is_named = state.named.get(&model).is_some_and(|named| version <= *named);
        let status = match fence {
            _ if !expected_id.is_empty() && expected_id != self.settings.id => 421,
            None => 400,
            Some(_) if holder.is_empty() || !is_named => 400,
            Some(fence) if self.settings.checks_fences && fence < state.highest_fence => {
                412
            }
            Some(_) if state.versions.get(&model) == Some(&version) => 200,
            Some(_) if state.loading.is_some() => 409,
            Some(_)
                if body["Expected"].as_u64().is_some_and(|seq| seq != state.orders) =>
            {
                409
            }
            Some(_) => 202,
        };
        state.highest_fence = state.highest_fence.max(fence.unwrap_or_default());
        state.seen_orders.push(SeenOrder {
            at_ms: self.record.now_ms(),
            holder: holder.clone(),
            fence: fence.unwrap_or_default(),
            model: model.clone(),
            version,
            status,
        });
        let seen = |order: &SeenOrder| (order.model.clone(), order.version, order.status);
        let repeats = state.seen_orders.iter().rev().skip(1);
        let repeats =
            repeats.take_while(|order| seen(order) == (model.clone(), version, status));
        // Repeated rejections fill the record otherwise.
        if repeats.count() < 3 {
            self.record.line(&format!(
                "{}: order {model} version {version} by {holder}, fencing token {}: {status}",
                self.settings.id,
                fence.unwrap_or_default()
            ));
        }
        if status == 202 {
            state.orders += 1;
            let done_at = Instant::now() + Duration::from_millis(LOAD_MS);
            state.reject_not_started(&model);
            state.loading = Some((model, version, done_at));
        }
        status
    }

    async fn run(&self, stream: &mut TcpStream, request: &RawRequest) -> bool {
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != self.settings.id {
            let head = format!("X-Instance-Id: {}\r\n", self.settings.id);
            return answer(stream, 421, &head, "").await;
        }
        let attempt = request.header("x-attempt-id").to_string();
        let (out, mut outputs) = mpsc::unbounded_channel();
        let status = self.enqueue(request, out);
        if status != 200 {
            let head = format!(
                "X-Not-Executed: 1\r\nX-Attempt-Id: {attempt}\r\n{}",
                self.load()
            );
            self.record
                .line(&format!("{}: {attempt} not run, {status}", self.settings.id));
            return answer(stream, status, &head, "").await;
        }
        let mut byte = [0];
        loop {
            let output = tokio::select! {
                output = outputs.recv() => output,
                // The caller sends nothing while it waits, so this is the close.
                _ = stream.read(&mut byte) => {
                    self.drop_run(&attempt);
                    return false;
                }
            };
            let text = match output {
                Some(Output::NotRun) => {
                    let head = format!(
                        "X-Not-Executed: 1\r\nX-Attempt-Id: {attempt}\r\n{}",
                        self.load()
                    );
                    self.record
                        .line(&format!("{}: {attempt} not run, 503", self.settings.id));
                    return answer(stream, 503, &head, "").await;
                }
                Some(Output::Head(version)) => format!(
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: {}.1\r\n\
                     X-Weight-Versions: {version}\r\n{}Content-Type: text/event-stream\r\n\
                     Transfer-Encoding: chunked\r\n\r\n",
                    self.settings.id,
                    self.load()
                ),
                Some(Output::Event(event)) => format!("{:x}\r\n{event}\r\n", event.len()),
                Some(Output::End) => {
                    return stream.write_all(b"0\r\n\r\n").await.is_ok();
                }
                None => return false,
            };
            if stream.write_all(text.as_bytes()).await.is_err() {
                self.drop_run(&attempt);
                return false;
            }
        }
    }

    fn load(&self) -> String {
        let state = self.state.lock().unwrap();
        let waiting = state.runs.iter().filter(|run| run.phase == Phase::Waiting).count();
        let running = state.runs.len() - waiting;
        format!("X-Server-Load: {running},{waiting},{}\r\n", self.settings.slots)
    }

    /// Puts a request into the queue; returns the status of a rejection, or else 200.
    fn enqueue(&self, request: &RawRequest, out: mpsc::UnboundedSender<Output>) -> u16 {
        let model = request.header("x-model").to_string();
        let mut state = self.state.lock().unwrap();
        let Some(&version) = state.versions.get(&model) else { return 503 };
        let expected = request.header("x-expect-version");
        if !expected.is_empty() && expected != version.to_string() {
            return 421;
        }
        let is_loading =
            state.loading.as_ref().is_some_and(|(loading, ..)| *loading == model);
        let waiting = state.runs.iter().filter(|run| run.phase == Phase::Waiting).count();
        if is_loading || waiting >= QUEUE {
            return 503;
        }
        let mut parts: Vec<(String, u64)> = request
            .header("x-prompt-prefix")
            .split(',')
            .filter_map(|part| part.split_once(':'))
            .map(|(id, tokens)| (id.to_string(), tokens.parse().unwrap_or_default()))
            .collect();
        let own = parts.pop().map_or(0, |(_, tokens)| tokens);
        let counts = request.header("x-token-count");
        let made_most = counts.split_once(',').and_then(|(_, out)| out.parse().ok());
        let first: u64 =
            request.header("last-event-id").parse().map_or(0, |id: u64| id + 1);
        let fetch_from = request.header("x-kv-fetch");
        state.arrivals += 1;
        state.arrived.insert(request.header("x-attempt-id").to_string());
        let arrival = state.arrivals;
        self.record.line(&format!(
            "{}: {} of {} arrives, version {expected}, salt {}, parts {}, fetch from {:?}",
            self.settings.id,
            request.header("x-attempt-id"),
            request.header("x-tenant"),
            request.header("x-cache-salt"),
            request.header("x-prompt-prefix"),
            fetch_from
        ));
        state.runs.push(Run {
            attempt: request.header("x-attempt-id").to_string(),
            model,
            salt: request.header("x-cache-salt").to_string(),
            priority: request.header("x-request-priority").parse().unwrap_or(5),
            arrival,
            admitted: 0,
            shared: parts,
            own_tokens: own,
            fetch_from: Some(fetch_from.to_string()).filter(|from| !from.is_empty()),
            first,
            events: made_most.unwrap_or(1),
            made: 0,
            phase: Phase::Waiting,
            began_under: None,
            told_version: version,
            pinned: Vec::new(),
            private_tokens: 0,
            out,
        });
        200
    }

    fn drop_run(&self, attempt: &str) {
        let mut state = self.state.lock().unwrap();
        while let Some(at) = state.runs.iter().position(|run| run.attempt == attempt) {
            let run = state.runs.remove(at);
            state.unpin(&run.pinned);
        }
    }

    async fn work(self: Arc<Self>) {
        let mut next = Instant::now();
        loop {
            next += STEP;
            tokio::time::sleep_until(next).await;
            self.step();
        }
    }

    fn step(&self) {
        if self.finish_load() {
            return;
        }
        if self.state.lock().unwrap().loading.is_some() {
            return;
        }
        while self.admit_next() {}
        self.read_prompts();
        self.make_tokens();
    }

    /// Completes a load that is due.
    fn finish_load(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        let is_due = |(_, _, at): &(String, u64, Instant)| *at <= Instant::now();
        if !state.loading.as_ref().is_some_and(is_due) {
            return false;
        }
        let Some((model, version, _)) = state.loading.take() else { return false };
        state.versions.insert(model.clone(), version);
        state.versions_changed = true;
        state.discard(&model);
        self.record
            .line(&format!("{}: {model} is at version {version}", self.settings.id));
        true
    }

    /// Admits the first waiting request if there is room or it may preempt others.
    fn admit_next(&self) -> bool {
        let fetched = {
            let mut state = self.state.lock().unwrap();
            let active =
                state.runs.iter().filter(|run| run.phase != Phase::Waiting).count();
            let waiting = state.runs.iter().enumerate();
            let waiting = waiting.filter(|(_, run)| run.phase == Phase::Waiting);
            let first = waiting.min_by_key(|(_, run)| {
                (run.priority, run.began_under.is_none(), run.arrival)
            });
            let Some((at, _)) = first else { return false };
            if active >= self.settings.slots {
                return false;
            }
            let attempt = state.runs[at].attempt.clone();
            if !state.make_room(
                at,
                self.settings.memory_tokens,
                &self.record,
                &self.settings.id,
            ) {
                return false;
            }
            let at = state.runs.iter().position(|run| run.attempt == attempt);
            let Some(at) = at else { return false };
            let run = &state.runs[at];
            let wants =
                (run.began_under.is_none()).then(|| run.fetch_from.clone()).flatten();
            wants
                .map(|from| (attempt.clone(), from, run.salt.clone(), run.shared.clone()))
                .ok_or(attempt)
        };
        let (attempt, found, from) = match fetched {
            Ok((attempt, from, salt, shared)) => {
                let peer = self.peers.lock().unwrap().get(&from).cloned();
                let found =
                    peer.map(|peer| peer.kept(&salt, &shared)).unwrap_or_default();
                (attempt, found, from)
            }
            Err(attempt) => (attempt, Vec::new(), String::new()),
        };
        self.begin_reading(&attempt, &found, &from);
        true
    }

    /// Returns the leading parts that it keeps, each with the version it was made under.
    fn kept(&self, salt: &str, shared: &[(String, u64)]) -> Vec<(String, u64)> {
        let state = self.state.lock().unwrap();
        let find = |(id, _): &(String, u64)| {
            let part = state.cache.get(&(salt.to_string(), id.clone()))?;
            Some((id.clone(), part.made_under))
        };
        shared.iter().map_while(find).collect()
    }

    fn begin_reading(&self, attempt: &str, found: &[(String, u64)], from: &str) {
        let mut state = self.state.lock().unwrap();
        let Some(at) = state.runs.iter().position(|run| run.attempt == attempt) else {
            return;
        };
        let Run { salt, model, shared, .. } = &state.runs[at];
        let (salt, model) = (salt.clone(), model.clone());
        let shared = shared.clone();
        let Run { own_tokens: own, made, began_under, .. } = state.runs[at];
        let version = state.versions.get(&model).copied().unwrap_or_default();
        let has_changed = began_under.is_some_and(|began| began != version);
        if has_changed {
            state.read_again_after_load += 1;
            self.record.line(&format!(
                "{}: {attempt} is read in again under version {version}, salt {salt}",
                self.settings.id
            ));
        }
        state.uses += 1;
        let used = state.uses;
        let mut left = own + made;
        let mut is_leading = true;
        let mut pinned = Vec::new();
        let mut sources = Vec::new();
        for (id, tokens) in &shared {
            let key = (salt.clone(), id.clone());
            let fetched = found.iter().find(|(found, _)| found == id);
            let (made_under, source) = match state.cache.get(&key) {
                Some(part) if is_leading => (part.made_under, "kept here".to_string()),
                _ => match fetched {
                    Some((_, made_under)) => {
                        (*made_under, format!("fetched from {from}"))
                    }
                    None => {
                        is_leading = false;
                        left += tokens;
                        (version, "read".to_string())
                    }
                },
            };
            sources.push((id.clone(), made_under, source));
            let is_new = !state.cache.contains_key(&key);
            let (tokens, model) = (*tokens, model.clone());
            let part = state.cache.entry(key.clone()).or_insert(CachedPart {
                tokens,
                made_under,
                used,
                pins: 0,
                model: model.clone(),
            });
            part.used = used;
            part.pins += 1;
            pinned.push(key);
            if is_new {
                let event = json!([0, "+", salt, id, tokens, model]);
                state.events.push((Instant::now(), event));
            }
        }
        if began_under.is_none() {
            let stale =
                sources.iter().filter(|(_, made_under, _)| *made_under != version);
            let stale: Vec<StaleRun> = stale
                .map(|(part, made_under, from)| StaleRun {
                    attempt: attempt.to_string(),
                    runs_on: version,
                    made_under: *made_under,
                    part: part.clone(),
                    from: from.clone(),
                })
                .collect();
            for run in &stale {
                self.record.line(&format!(
                    "{}: STALE {attempt} runs on version {}, part {} was made under version {}, \
                     {}",
                    self.settings.id, run.runs_on, run.part, run.made_under, run.from
                ));
            }
            state.stale.extend(stale);
        }
        state.uses += 1;
        let admitted = state.uses;
        let run = &mut state.runs[at];
        run.pinned = pinned;
        run.private_tokens = own + made;
        run.admitted = admitted;
        run.phase = Phase::Reading { left };
    }

    fn read_prompts(&self) {
        let mut state = self.state.lock().unwrap();
        let mut budget = TOKENS_READ_PER_STEP;
        let mut order: Vec<usize> = (0..state.runs.len()).collect();
        order.sort_by_key(|&at| (state.runs[at].priority, state.runs[at].admitted));
        for at in order {
            let Phase::Reading { left } = state.runs[at].phase else { continue };
            let read = left.min(budget);
            budget -= read;
            state.runs[at].phase = match left - read {
                0 => Phase::Running,
                left => Phase::Reading { left },
            };
        }
    }

    fn make_tokens(&self) {
        let mut state = self.state.lock().unwrap();
        let running: Vec<String> = state
            .runs
            .iter()
            .filter(|run| run.phase == Phase::Running)
            .map(|run| run.attempt.clone())
            .collect();
        for attempt in running {
            let free = self.settings.memory_tokens.saturating_sub(state.used_tokens());
            if free == 0 {
                state.preempt(&self.record, &self.settings.id, u64::MAX);
            }
            let find = |run: &Run| run.attempt == attempt && run.phase == Phase::Running;
            let Some(at) = state.runs.iter().position(find) else { continue };
            let model = state.runs[at].model.clone();
            let version = state.versions.get(&model).copied().unwrap_or_default();
            if state.runs[at].began_under.is_none() {
                state.begun += 1;
                let run = &mut state.runs[at];
                run.began_under = Some(version);
                run.told_version = version;
                let _ = run.out.send(Output::Head(version));
                self.record.line(&format!("{}: {attempt} runs", self.settings.id));
            }
            let run = &mut state.runs[at];
            let id = run.first + run.made;
            let line = match run.told_version == version {
                true => String::new(),
                false => format!("x-weight-versions: {version}\n"),
            };
            run.told_version = version;
            run.made += 1;
            run.private_tokens += 1;
            let _ =
                run.out.send(Output::Event(format!("{line}id: {id}\ndata: token\n\n")));
            if run.first + run.made >= run.events {
                let _ = run.out.send(Output::End);
                let run = state.runs.remove(at);
                state.unpin(&run.pinned);
            }
        }
    }
}

impl Run {
    fn memory(&self, cache: &HashMap<(String, String), CachedPart>) -> u64 {
        let pinned = self.pinned.iter().filter_map(|key| cache.get(key));
        self.private_tokens + pinned.map(|part| part.tokens).sum::<u64>()
    }
}

impl State {
    /// Returns the memory that can't yield.
    fn used_tokens(&self) -> u64 {
        let pinned = self.cache.values().filter(|part| part.pins > 0);
        let own: u64 = self.runs.iter().map(|run| run.private_tokens).sum();
        own + pinned.map(|part| part.tokens).sum::<u64>()
    }

    fn unpin(&mut self, pinned: &[(String, String)]) {
        for key in pinned {
            let Some(part) = self.cache.get_mut(key) else { continue };
            part.pins = part.pins.saturating_sub(1);
            if part.pins == 0 && key.0.starts_with(HIDDEN) {
                self.cache.remove(key);
            }
        }
    }

    /// Rejects the requests of a model that have not begun.
    fn reject_not_started(&mut self, model: &str) {
        let (rejected, kept): (Vec<Run>, Vec<Run>) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.model == model && run.began_under.is_none());
        self.runs = kept;
        for run in rejected {
            self.unpin(&run.pinned);
            let _ = run.out.send(Output::NotRun);
        }
    }

    /// Discards the stored parts of a model; its runs keep those that they use, which no
    /// other request finds any more.
    fn discard(&mut self, model: &str) {
        self.uses += 1;
        let hidden_salt = |salt: &str, at: u64| format!("{HIDDEN}{at}/{salt}");
        let at = self.uses;
        let is_found = |(salt, _): &(String, String)| !salt.starts_with(HIDDEN);
        let gone: Vec<(String, String)> = self
            .cache
            .iter()
            .filter(|(key, part)| part.model == model && is_found(key))
            .map(|(key, _)| key.clone())
            .collect();
        for key in gone {
            let Some(part) = self.cache.get(&key).cloned() else { continue };
            self.evict(&key);
            if part.pins > 0 {
                self.cache.insert((hidden_salt(&key.0, at), key.1), part);
            }
        }
        for run in self.runs.iter_mut().filter(|run| run.model == model) {
            for key in run.pinned.iter_mut().filter(|key| is_found(key)) {
                key.0 = hidden_salt(&key.0, at);
            }
        }
    }

    fn evict(&mut self, key: &(String, String)) {
        if let Some(part) = self.cache.remove(key) {
            let event = json!([0, "-", key.0, key.1, 0, part.model]);
            self.events.push((Instant::now(), event));
        }
    }

    /// Makes room for a waiting request; more urgent ones preempt others.
    fn make_room(&mut self, at: usize, total: u64, record: &Record, id: &str) -> bool {
        let attempt = self.runs[at].attempt.clone();
        loop {
            let Some(run) = self.runs.iter().find(|run| run.attempt == attempt) else {
                return false;
            };
            let key = |part: &str| (run.salt.clone(), part.to_string());
            let unpinned = run.shared.iter().filter(|(part, _)| {
                self.cache.get(&key(part)).is_none_or(|cached| cached.pins == 0)
            });
            let needed: u64 = unpinned.map(|(_, tokens)| tokens).sum::<u64>()
                + run.own_tokens
                + run.made
                + 1;
            let keep: Vec<(String, String)> =
                run.shared.iter().map(|(part, _)| key(part)).collect();
            let priority = run.priority;
            if self.used_tokens() + needed <= total {
                // Parts that no run uses yield, the least recently used first.
                loop {
                    let idle: u64 = self
                        .cache
                        .values()
                        .filter(|part| part.pins == 0)
                        .map(|part| part.tokens)
                        .sum();
                    let kept_idle: u64 = keep
                        .iter()
                        .filter_map(|key| self.cache.get(key))
                        .filter(|part| part.pins == 0)
                        .map(|part| part.tokens)
                        .sum();
                    if self.used_tokens() + needed + idle - kept_idle <= total {
                        return true;
                    }
                    let oldest = self
                        .cache
                        .iter()
                        .filter(|(key, part)| part.pins == 0 && !keep.contains(key))
                        .min_by_key(|(_, part)| part.used)
                        .map(|(key, _)| key.clone());
                    match oldest {
                        Some(key) => self.evict(&key),
                        None => return true,
                    }
                }
            }
            if !self.preempt(record, id, priority) {
                return false;
            }
        }
    }

    /// Preempts the newest of the least urgent runs that are less urgent than `priority`, or
    /// any if that is the largest number.
    fn preempt(&mut self, record: &Record, id: &str, priority: u64) -> bool {
        let least = self
            .runs
            .iter()
            .enumerate()
            .filter(|(_, run)| run.phase != Phase::Waiting)
            .filter(|(_, run)| priority == u64::MAX || run.priority > priority)
            .max_by_key(|(_, run)| (run.priority, run.admitted));
        let Some((at, _)) = least else { return false };
        let pinned = std::mem::take(&mut self.runs[at].pinned);
        self.unpin(&pinned);
        let run = &mut self.runs[at];
        run.private_tokens = 0;
        run.phase = Phase::Waiting;
        record.line(&format!("{id}: {} is preempted", run.attempt));
        self.preempted += 1;
        true
    }
}

async fn answer_json(stream: &mut TcpStream, status: u16, body: &Value) -> bool {
    answer(stream, status, "Content-Type: application/json\r\n", &body.to_string()).await
}

async fn answer(stream: &mut TcpStream, status: u16, head: &str, body: &str) -> bool {
    let length = body.len();
    let text = format!(
        "HTTP/1.1 {status} Status\r\n{head}Content-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes()).await.is_ok()
}
