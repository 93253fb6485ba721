//! A model server or a plain server, as the users' pages describe them, whose answers have
//! no length and end with their connections.

use std::collections::BTreeMap;
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
use tokio::time::sleep;

/// The model of all model servers.
pub const MODEL: &str = "daka510000";

/// The service of the model servers.
pub const MODEL_SERVICE: &str = "llm";

/// The version of the model's weights; no other is named.
const VERSION: u64 = 1;

/// A server.
pub struct Engine {
    pub address: SocketAddr,
    service: &'static str,
    /// The time between two events or lines.
    step: Duration,
    state: Mutex<State>,
    boots: watch::Sender<u64>,
    is_down: watch::Sender<bool>,
}

#[derive(Default)]
struct State {
    begun: u64,
    /// The running requests, and how many events each has had.
    runs: BTreeMap<String, u64>,
}

impl Engine {
    /// Starts a server of a service.
    pub async fn start(
        service: &'static str,
        address: SocketAddr,
        step: Duration,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address).await?;
        let engine = Arc::new(Self {
            address,
            service,
            step,
            state: Mutex::default(),
            boots: watch::Sender::new(0),
            is_down: watch::Sender::new(false),
        });
        tokio::spawn(engine.clone().accept(listener));
        Ok(engine)
    }

    /// Returns its id, which is new with each start.
    pub fn id(&self) -> String {
        format!("i-{}-{}", self.address.ip(), *self.boots.borrow())
    }

    /// Returns its service.
    pub fn service(&self) -> &'static str {
        self.service
    }

    /// Returns how many requests have run.
    pub fn begun(&self) -> u64 {
        self.state.lock().unwrap().begun
    }

    /// Returns the running requests, and how many events or lines each has had.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.state.lock().unwrap().runs.clone()
    }

    /// Returns its entry in the list of servers.
    pub fn entry(&self) -> Value {
        if self.service != MODEL_SERVICE {
            return json!({
                "Service": self.service, "Address": self.address.to_string(),
                "Zone": "hall-a", "Version": "v1", "Slots": 6, "State": "ready",
                "ColdLeftMs": 0, "Seq": 1,
            });
        }
        json!({
            "Service": self.service, "Address": self.address.to_string(),
            "Zone": "hall-a", "Version": "v1", "Slots": 32, "State": "ready",
            "ColdLeftMs": 0, "Stage": "combined", "Models": models(), "Seq": 1,
        })
    }

    /// Crashes the server and starts it again after `for_`.
    ///
    /// Its connections are closed, as those of a killed process are.
    pub async fn crash(&self, for_: Duration) {
        self.is_down.send_replace(true);
        sleep(for_).await;
        self.state.lock().unwrap().runs.clear();
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
            let id = format!("X-Instance-Id: {}\r\n", self.id());
            let open = match path.as_str() {
                "/health" => answer(&mut stream, 200, &id, &json!({})).await,
                "/bilberrypaddle/report" => {
                    answer(&mut stream, 200, "", &self.report()).await
                }
                "/bilberrypaddle/kv-list" => {
                    let body =
                        json!({"BootEpoch": self.boot_epoch(), "Next": 0, "Held": []});
                    answer(&mut stream, 200, "", &body).await
                }
                "/bilberrypaddle/kv-events" => {
                    let wait_ms: u64 =
                        request.header("wait-ms").parse().unwrap_or_default();
                    sleep(Duration::from_millis(wait_ms.min(1_000))).await;
                    let body = json!({
                        "BootEpoch": self.boot_epoch(), "Next": 0, "Lost": false,
                        "Events": [],
                    });
                    answer(&mut stream, 200, "", &body).await
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

    fn boot_epoch(&self) -> u64 {
        *self.boots.borrow() + 1
    }

    fn report(&self) -> Value {
        let state = self.state.lock().unwrap();
        let runs = state.runs.iter();
        let runs: Vec<Value> =
            runs.map(|(id, events)| json!([id, 0, events, 1])).collect();
        json!({
            "Stage": "combined", "Models": models(), "Busy": false, "Seq": 0, "Queued": 0,
            "Active": runs.len(), "KvUsed": 0, "KvTotal": 123_073, "OpenHandles": 0,
            "State": "ready", "Next": 0, "Runs": runs,
        })
    }

    async fn run(&self, stream: &mut TcpStream, request: &RawRequest) -> bool {
        let expects = request.header("x-expect-instance");
        if !expects.is_empty() && expects != self.id() {
            let head = format!("X-Instance-Id: {}\r\n", self.id());
            return answer(stream, 421, &head, &json!({})).await;
        }
        let attempt = request.header("x-attempt-id").to_string();
        {
            let mut state = self.state.lock().unwrap();
            state.begun += 1;
            state.runs.insert(attempt.clone(), 0);
        }
        self.respond(stream, request, &attempt).await;
        self.state.lock().unwrap().runs.remove(&attempt);
        false
    }

    async fn respond(&self, stream: &mut TcpStream, request: &RawRequest, attempt: &str) {
        let kind = match self.service {
            MODEL_SERVICE => "text/event-stream",
            _ => "text/plain",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: {}.1\r\n\
             Content-Type: {kind}\r\nConnection: close\r\n\r\n",
            self.id()
        );
        if stream.write_all(head.as_bytes()).await.is_err() {
            return;
        }
        let counts = request.header("x-token-count").split_once(',');
        let events = counts.and_then(|(_, out)| out.parse::<u64>().ok()).unwrap_or(10);
        for id in 0..events {
            if let Some(made) = self.state.lock().unwrap().runs.get_mut(attempt) {
                *made += 1;
            }
            let event = format!("id: {id}\ndata: {VERSION}\n\n");
            if stream.write_all(event.as_bytes()).await.is_err() {
                return;
            }
            sleep(self.step).await;
        }
    }
}

fn models() -> Value {
    json!([{"Name": MODEL, "Version": VERSION, "Adapters": []}])
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
