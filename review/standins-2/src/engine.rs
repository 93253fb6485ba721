//! A model server and a store of kept KV cache, as the users' pages describe them.
//!
//! They know of each cached part under which version of the weights it was made.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bilberry_adapter_tests::RawRequest;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

/// The model of all servers.
pub const MODEL: &str = "daka510000";

/// The second model of servers that have two.
pub const SECOND_MODEL: &str = "daka520000";

/// How many prompt tokens are read in a millisecond, and in one piece.
const TOKENS_PER_MS: u64 = 110;
const CHUNK_TOKENS: u64 = 4_096;

/// How long a server loads new weights.
const LOAD: Duration = Duration::from_millis(420);

/// The time between two events of a stream.
const STEP: Duration = Duration::from_millis(7);

/// How an order that gets no answer is late at most.
const MAX_LATE: Duration = Duration::from_secs(12);

/// The caches of all servers and stores by address, and what was seen.
#[derive(Default)]
pub struct World {
    caches: Mutex<HashMap<SocketAddr, Cache>>,
    seen: Mutex<Vec<(Instant, String)>>,
    stale: Mutex<Vec<String>>,
}

/// Parts by salt and id, with the version of the weights that made them.
#[derive(Default)]
struct Cache {
    parts: BTreeMap<(String, String), (u64, u64)>,
    events: Vec<Value>,
    epoch: u64,
}

impl Cache {
    fn add(&mut self, key: &(String, String), tokens: u64, version: u64) {
        if self.parts.contains_key(key) {
            return;
        }
        self.parts.insert(key.clone(), (tokens, version));
        self.note("+", key, tokens);
    }

    fn clear(&mut self) {
        for (key, (tokens, _)) in std::mem::take(&mut self.parts) {
            self.note("-", &key, tokens);
        }
    }

    fn note(&mut self, sign: &str, key: &(String, String), tokens: u64) {
        let number = self.events.len() as u64 + 1;
        self.events.push(json!([number, sign, key.0, key.1, tokens, MODEL]));
    }
}

impl World {
    /// Notes something that a server sees or does.
    pub fn note(&self, text: String) {
        self.seen.lock().unwrap().push((Instant::now(), text));
    }

    /// Returns what was noted since the last call.
    pub fn take_notes(&self) -> Vec<(Instant, String)> {
        std::mem::take(&mut self.seen.lock().unwrap())
    }

    /// Returns the requests that ran on parts made under another version.
    pub fn stale(&self) -> Vec<String> {
        self.stale.lock().unwrap().clone()
    }

    fn with<T>(&self, address: SocketAddr, act: impl FnOnce(&mut Cache) -> T) -> T {
        act(self.caches.lock().unwrap().entry(address).or_default())
    }

    fn find(&self, address: SocketAddr, key: &(String, String)) -> Option<(u64, u64)> {
        self.caches.lock().unwrap().get(&address)?.parts.get(key).copied()
    }
}

/// A model server.
pub struct Engine {
    pub address: SocketAddr,
    world: Arc<World>,
    state: Mutex<State>,
    boots: watch::Sender<u64>,
    is_down: watch::Sender<bool>,
    /// Held while a prompt is read.
    reading: tokio::sync::Mutex<()>,
    /// The time between two events, if answers have no length and end with their connection.
    unframed_step: Option<Duration>,
    service: &'static str,
}

struct State {
    version: u64,
    orders: u64,
    is_loading: bool,
    active: u64,
    queued: u64,
    begun: u64,
    runs: BTreeMap<String, (u64, u64)>,
    orderable: u64,
    /// The order that gets no answer, and when it is carried out at the earliest.
    late: Late,
    second: Option<SecondModel>,
    /// Whether orders with a lower fencing token than an earlier one are rejected.
    checks_fences: bool,
    /// The fencing tokens of all orders since the server has started.
    tokens: Vec<u64>,
}

struct SecondModel {
    version: u64,
    orderable: u64,
}

enum Late {
    No,
    Next(Duration),
    Order { order: Value, due_at: Instant, at_latest: Instant },
    Done,
}

impl Engine {
    /// Starts a server with version 1.
    pub async fn start(
        address: SocketAddr,
        world: Arc<World>,
    ) -> std::io::Result<Arc<Self>> {
        Self::start_as("llm", address, world, None).await
    }

    /// Starts a server of a service whose answers have no length if `unframed_step` is set.
    pub async fn start_as(
        service: &'static str,
        address: SocketAddr,
        world: Arc<World>,
        unframed_step: Option<Duration>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address).await?;
        world.with(address, |cache| cache.epoch = 1);
        let state = State {
            version: 1,
            orders: 0,
            is_loading: false,
            active: 0,
            queued: 0,
            begun: 0,
            runs: BTreeMap::new(),
            orderable: 1,
            late: Late::No,
            second: None,
            checks_fences: false,
            tokens: Vec::new(),
        };
        let engine = Arc::new(Self {
            address,
            world,
            state: Mutex::new(state),
            boots: watch::Sender::new(0),
            is_down: watch::Sender::new(false),
            reading: tokio::sync::Mutex::default(),
            unframed_step,
            service,
        });
        tokio::spawn(engine.clone().accept(listener));
        Ok(engine)
    }

    /// Returns its id, which is new with each start.
    pub fn id(&self) -> String {
        format!("i-{}-{}", self.address.ip(), *self.boots.borrow())
    }

    /// Returns the version of its weights.
    pub fn version(&self) -> u64 {
        self.state.lock().unwrap().version
    }

    /// Gives the server a second model, with version 1.
    pub fn add_second_model(&self, checks_fences: bool) {
        let mut state = self.state.lock().unwrap();
        state.second = Some(SecondModel { version: 1, orderable: 1 });
        state.checks_fences = checks_fences;
    }

    /// Sets the newest version of the second model that can be ordered.
    pub fn name_second_version(&self, version: u64) {
        if let Some(second) = &mut self.state.lock().unwrap().second {
            second.orderable = version;
        }
    }

    /// Returns the version of the second model.
    pub fn second_version(&self) -> Option<u64> {
        self.state.lock().unwrap().second.as_ref().map(|second| second.version)
    }

    /// Returns the first fencing token below an earlier one, after the highest before it.
    pub fn lower_token(&self) -> Option<(u64, u64)> {
        let state = self.state.lock().unwrap();
        let mut highest = 0;
        for &token in &state.tokens {
            if token < highest {
                return Some((highest, token));
            }
            highest = token;
        }
        None
    }

    /// Returns the version of the model that a request is for.
    fn version_for(&self, request: &RawRequest) -> u64 {
        match request.header("x-model") {
            SECOND_MODEL => self.second_version().unwrap_or_default(),
            _ => self.version(),
        }
    }

    fn models(&self) -> Value {
        let state = self.state.lock().unwrap();
        let models = [
            Some((MODEL, state.version)),
            state.second.as_ref().map(|second| (SECOND_MODEL, second.version)),
        ];
        let models = models.into_iter().flatten();
        let model =
            |(name, version)| json!({"Name": name, "Version": version, "Adapters": []});
        models.map(model).collect()
    }

    /// Returns how many requests have run.
    pub fn begun(&self) -> u64 {
        self.state.lock().unwrap().begun
    }

    /// Sets the newest version that can be ordered.
    pub fn name_version(&self, version: u64) {
        self.state.lock().unwrap().orderable = version;
    }

    /// Gives the next order no answer, and carries it out after `late` at the earliest.
    pub fn leave_next_order_unanswered(&self, late: Duration) {
        self.state.lock().unwrap().late = Late::Next(late);
    }

    /// Returns its entry in the list of servers.
    pub fn entry(&self) -> Value {
        if self.service != "llm" {
            return json!({
                "Service": self.service, "Address": self.address.to_string(),
                "Zone": "hall-a", "Version": "v1", "Slots": 6, "State": "ready",
                "ColdLeftMs": 0, "Seq": 1,
            });
        }
        json!({
            "Service": "llm", "Address": self.address.to_string(), "Zone": "hall-a",
            "Version": "v1", "Slots": 32, "State": "ready", "ColdLeftMs": 0,
            "Stage": "combined",
            "Models": self.models(),
            "Seq": 1,
        })
    }

    /// Crashes the server and starts it again after `for_`, with the version that it had.
    pub async fn crash(&self, for_: Duration) {
        self.is_down.send_replace(true);
        sleep(for_).await;
        {
            let mut state = self.state.lock().unwrap();
            state.orders = 0;
            state.is_loading = false;
            state.active = 0;
            state.queued = 0;
            state.runs.clear();
            state.tokens.clear();
        }
        self.world.with(self.address, |cache| {
            *cache = Cache { epoch: cache.epoch + 1, ..Cache::default() };
        });
        self.boots.send_modify(|boots| *boots += 1);
        self.is_down.send_replace(false);
    }

    async fn accept(self: Arc<Self>, mut listener: TcpListener) {
        let mut down = self.is_down.subscribe();
        loop {
            let accepted = tokio::select! {
                biased;
                _ = down.wait_for(|down| *down) => None,
                accepted = listener.accept() => Some(accepted),
            };
            let Some(accepted) = accepted else {
                drop(listener);
                let _ = down.wait_for(|down| !*down).await;
                listener =
                    TcpListener::bind(self.address).await.expect("the address is free");
                continue;
            };
            let Ok((stream, _)) = accepted else { continue };
            let engine = self.clone();
            tokio::spawn(async move {
                let mut down = engine.is_down.subscribe();
                tokio::select! {
                    _ = engine.clone().serve(stream) => {}
                    _ = down.wait_for(|down| *down) => {}
                }
            });
        }
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(request) = RawRequest::read(&mut stream, &mut buffer).await {
            let path = request.path.split('?').next().unwrap_or_default().to_string();
            let open = match path.as_str() {
                "/bilberrypaddle/report" => {
                    answer(&mut stream, 200, "", &self.report()).await
                }
                "/bilberrypaddle/order" => self.order(&mut stream, &request).await,
                "/bilberrypaddle/kv-events" => {
                    kv_events(&self.world, self.address, &mut stream, &request).await
                }
                "/bilberrypaddle/kv-list" => {
                    kv_list(&self.world, self.address, &mut stream).await
                }
                path if path.starts_with("/bilberrypaddle/") => {
                    answer(&mut stream, 404, "", &json!({})).await
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
        let runs = state.runs.iter();
        let runs: Vec<Value> =
            runs.map(|(id, (tokens, events))| json!([id, tokens, events, 1])).collect();
        json!({
            "Stage": "combined",
            "Models": models,
            "Busy": state.is_loading, "Seq": state.orders, "Queued": state.queued,
            "Active": state.active, "KvUsed": 0, "KvTotal": 123_073, "OpenHandles": 0,
            "State": "ready", "Next": 0, "Runs": runs,
        })
    }

    async fn order(
        self: &Arc<Self>,
        stream: &mut TcpStream,
        request: &RawRequest,
    ) -> bool {
        let order: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let expects = request.header("x-expect-instance");
        self.world.note(format!(
            "server {}: order {order}, X-Expect-Instance {expects:?}",
            self.id()
        ));
        if !expects.is_empty() && expects != self.id() {
            let head = format!("X-Instance-Id: {}\r\n", self.id());
            return answer(stream, 421, &head, &json!({})).await;
        }
        let is_late = {
            let mut state = self.state.lock().unwrap();
            match state.late {
                Late::Next(late) => {
                    let now = Instant::now();
                    let (due_at, at_latest) = (now + late, now + MAX_LATE);
                    state.late = Late::Order { order: order.clone(), due_at, at_latest };
                    true
                }
                _ => false,
            }
        };
        if is_late {
            self.world.note(format!("server {}: leaves it unanswered", self.id()));
            let engine = self.clone();
            tokio::spawn(async move { engine.carry_out_at_latest().await });
            std::future::pending::<()>().await;
        }
        let status = self.check(&order);
        self.world.note(format!("server {}: answers {status}", self.id()));
        if status == 202 {
            let engine = self.clone();
            tokio::spawn(async move { engine.load(&order).await });
        }
        answer(stream, status, "", &json!({})).await
    }

    /// Returns the answer to an order, and accepts it if it is 202.
    fn check(&self, order: &Value) -> u16 {
        let mut state = self.state.lock().unwrap();
        let version = order["Version"].as_u64().unwrap_or_default();
        let (current, orderable) = match (&state.second, order["Model"].as_str()) {
            (Some(second), Some(SECOND_MODEL)) => (second.version, second.orderable),
            _ => (state.version, state.orderable),
        };
        let token = order["FenceToken"].as_u64().unwrap_or_default();
        let highest = state.tokens.iter().max().copied().unwrap_or_default();
        state.tokens.push(token);
        match order["Expected"].as_u64() {
            _ if order["Holder"].is_null() || order["FenceToken"].is_null() => 400,
            _ if state.checks_fences && token < highest => 412,
            _ if version == 0 || version > orderable => 400,
            Some(expected) if expected != state.orders => 409,
            _ if state.is_loading => 409,
            _ if version == current => 200,
            _ => {
                state.orders += 1;
                state.is_loading = true;
                202
            }
        }
    }

    async fn load(&self, order: &Value) {
        if order["SwapMode"] == "wait" {
            while self.state.lock().unwrap().active > 0 {
                sleep(Duration::from_millis(2)).await;
            }
        }
        let boot = *self.boots.borrow();
        sleep(LOAD).await;
        if boot != *self.boots.borrow() || *self.is_down.borrow() {
            return;
        }
        self.world.with(self.address, Cache::clear);
        let mut state = self.state.lock().unwrap();
        state.is_loading = false;
        let version = order["Version"].as_u64().unwrap_or_default();
        let model = order["Model"].as_str().unwrap_or(MODEL);
        match &mut state.second {
            Some(second) if model == SECOND_MODEL => second.version = version,
            _ => state.version = version,
        }
        let runs = state.active;
        drop(state);
        self.world.note(format!(
            "server {}: has weights {version} of {model} now, {runs} runs went on ({})",
            self.id(),
            order["SwapMode"]
        ));
    }

    /// Carries out the unanswered order if it is due; returns once it is loaded.
    async fn carry_out_if_due(&self) {
        let order = {
            let mut state = self.state.lock().unwrap();
            match &state.late {
                Late::Order { order, due_at, .. } if *due_at <= Instant::now() => {
                    let order = order.clone();
                    state.late = Late::Done;
                    order
                }
                _ => return,
            }
        };
        let status = self.check(&order);
        self.world.note(format!(
            "server {}: carries out the unanswered order {order} now: {status}",
            self.id()
        ));
        if status == 202 {
            self.load(&order).await;
        }
    }

    async fn carry_out_at_latest(&self) {
        let at_latest = match self.state.lock().unwrap().late {
            Late::Order { at_latest, .. } => at_latest,
            _ => return,
        };
        sleep_until(at_latest).await;
        self.carry_out_if_due().await;
    }

    async fn run(&self, stream: &mut TcpStream, request: &RawRequest) -> bool {
        let expects = request.header("x-expect-instance");
        if !expects.is_empty() && expects != self.id() {
            let head = format!("X-Instance-Id: {}\r\n", self.id());
            return answer(stream, 421, &head, &json!({})).await;
        }
        self.state.lock().unwrap().queued += 1;
        let turn = self.reading.lock().await;
        let version = self.version_for(request);
        let rejected = {
            let mut state = self.state.lock().unwrap();
            state.queued = state.queued.saturating_sub(1);
            let weights = request.header("x-expect-version");
            match () {
                _ if state.is_loading => Some(503),
                _ if !weights.is_empty() && weights != version.to_string() => Some(421),
                _ => {
                    state.active += 1;
                    state.begun += 1;
                    None
                }
            }
        };
        if let Some(status) = rejected {
            drop(turn);
            let head = format!("X-Instance-Id: {}\r\nX-Not-Executed: 1\r\n", self.id());
            return answer(stream, status, &head, &json!({})).await;
        }
        let attempt = request.header("x-attempt-id").to_string();
        self.state.lock().unwrap().runs.insert(attempt.clone(), (0, 0));
        self.read_prompt(request).await;
        drop(turn);
        let open = self.stream(stream, request).await;
        let mut state = self.state.lock().unwrap();
        state.active = state.active.saturating_sub(1);
        state.runs.remove(&attempt);
        open
    }

    /// Reads the prompt, as far as its parts are not found here or where it says.
    ///
    /// A late order is carried out while a shared part is still to be read.
    async fn read_prompt(&self, request: &RawRequest) {
        let attempt = request.header("x-attempt-id");
        let salt = request.header("x-cache-salt").to_string();
        let source = request.header("x-kv-fetch").parse::<SocketAddr>().ok();
        let save_to = request.header("x-kv-save").parse::<SocketAddr>().ok();
        let began_on = self.version_for(request);
        let prefix = request.header("x-prompt-prefix").split(',');
        let parts: Vec<(String, u64)> = prefix
            .filter_map(|part| part.split_once(':'))
            .map(|(id, tokens)| (id.to_string(), tokens.parse().unwrap_or_default()))
            .collect();
        let mut is_found = true;
        let last = parts.len().saturating_sub(1);
        for (index, (id, tokens)) in parts.into_iter().enumerate() {
            let key = (salt.clone(), id.clone());
            let here =
                self.world.find(self.address, &key).map(|made| (self.address, made));
            let found = here
                .or_else(|| source.and_then(|at| Some((at, self.world.find(at, &key)?))));
            let found = found.filter(|_| is_found);
            is_found &= found.is_some();
            let version = match found {
                Some((at, (_, made_on))) => {
                    let version = self.version_for(request);
                    if made_on != version {
                        let text = format!(
                            "server {}: {attempt} runs on weights {version} and uses part \
                             {id} from {at}, which was made under weights {made_on} \
                             (salt {salt})",
                            self.id()
                        );
                        self.world.note(text.clone());
                        self.world.stale.lock().unwrap().push(text);
                    }
                    made_on
                }
                None => {
                    let mut left = tokens;
                    while left > 0 {
                        let chunk = left.min(CHUNK_TOKENS);
                        sleep(Duration::from_millis(chunk.div_ceil(TOKENS_PER_MS))).await;
                        left -= chunk;
                    }
                    self.version_for(request)
                }
            };
            if version != began_on && found.is_none() {
                self.world.note(format!(
                    "server {}: {attempt} began on weights {began_on}, reads part {id} on \
                     weights {version} (salt {salt}, X-Kv-Save {save_to:?})",
                    self.id()
                ));
            }
            self.world.with(self.address, |cache| cache.add(&key, tokens, version));
            if let Some(store) = save_to {
                self.world.with(store, |cache| cache.add(&key, tokens, version));
            }
            if index + 1 < last {
                self.carry_out_if_due().await;
            }
        }
    }

    async fn stream(&self, stream: &mut TcpStream, request: &RawRequest) -> bool {
        let attempt = request.header("x-attempt-id");
        let framing = match self.unframed_step {
            Some(_) => "Connection: close",
            None => "Transfer-Encoding: chunked",
        };
        let kind = if self.service == "llm" { "text/event-stream" } else { "text/plain" };
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: {}.1\r\n\
             Content-Type: {kind}\r\n{framing}\r\n\r\n",
            self.id()
        );
        if stream.write_all(head.as_bytes()).await.is_err() {
            return false;
        }
        let counts = request.header("x-token-count").split_once(',');
        let events = counts.and_then(|(_, out)| out.parse::<u64>().ok()).unwrap_or(10);
        for id in 0..events {
            if let Some(run) = self.state.lock().unwrap().runs.get_mut(attempt) {
                run.1 += 1;
            }
            let event = format!("id: {id}\ndata: {}\n\n", self.version_for(request));
            let piece = match self.unframed_step {
                Some(_) => event,
                None => format!("{:x}\r\n{event}\r\n", event.len()),
            };
            if stream.write_all(piece.as_bytes()).await.is_err() {
                return false;
            }
            sleep(self.unframed_step.unwrap_or(STEP)).await;
        }
        self.unframed_step.is_none() && stream.write_all(b"0\r\n\r\n").await.is_ok()
    }
}

/// Starts a store of kept KV cache.
pub async fn start_kv_store(
    address: SocketAddr,
    world: Arc<World>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    world.with(address, |cache| cache.epoch = 1);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let world = world.clone();
            tokio::spawn(async move {
                let mut buffer = Vec::new();
                while let Some(request) = RawRequest::read(&mut stream, &mut buffer).await
                {
                    let open = match request.path.contains("kv-events") {
                        true => kv_events(&world, address, &mut stream, &request).await,
                        false => kv_list(&world, address, &mut stream).await,
                    };
                    if !open {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

async fn kv_list(world: &World, address: SocketAddr, stream: &mut TcpStream) -> bool {
    let body = world.with(address, |cache| {
        let held = cache.parts.iter();
        let held: Vec<Value> = held
            .map(|((salt, id), (tokens, _))| json!([salt, id, tokens, MODEL]))
            .collect();
        json!({"BootEpoch": cache.epoch, "Next": cache.events.len(), "Held": held})
    });
    answer(stream, 200, "", &body).await
}

async fn kv_events(
    world: &World,
    address: SocketAddr,
    stream: &mut TcpStream,
    request: &RawRequest,
) -> bool {
    let since =
        request.path.split_once("Since=").and_then(|(_, since)| since.parse().ok());
    let since: usize = since.unwrap_or_default();
    let wait_ms: u64 = request.header("wait-ms").parse().unwrap_or_default();
    let until = Instant::now() + Duration::from_millis(wait_ms.min(1_000));
    loop {
        let (body, has_any) = world.with(address, |cache| {
            let events = cache.events.get(since..).unwrap_or_default().to_vec();
            let has_any = !events.is_empty() || cache.events.len() < since;
            let next = cache.events.len();
            let body = json!({
                "BootEpoch": cache.epoch, "Next": next, "Lost": next < since, "Events": events,
            });
            (body, has_any)
        });
        if has_any || Instant::now() >= until {
            return answer(stream, 200, "", &body).await;
        }
        sleep(Duration::from_millis(10)).await;
    }
}

async fn answer(stream: &mut TcpStream, status: u16, head: &str, body: &Value) -> bool {
    let body = body.to_string();
    let text = format!(
        "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n{head}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).await.is_ok()
}
