//! A server crashes in the middle of an answer that ends with its connection, and is back
//! while the entry stands still.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use bilberry_adapter_tests::Caller;
use bilberry_adapter_tests::ObjectStoreStandin;
use bilberry_adapter_tests::Reply;
use review_standins_2::Record;
use review_standins_2::SETTINGS;
use review_standins_2::engine::Engine;
use review_standins_2::engine::MODEL;
use review_standins_2::engine::MODEL_SERVICE;
use review_standins_2::has_trouble;
use review_standins_2::process::Process;
use review_standins_2::process::Signal;
use review_standins_2::process::next_ip;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

/// The events of a stream, and the lines of a plain answer.
const EVENTS: usize = 20;

/// The time between two of them.
const STEP: Duration = Duration::from_millis(40);

/// How long the server that crashes is down.
const CRASH: Duration = Duration::from_secs(1);

/// How long the entry stands still.
const FREEZE: Duration = Duration::from_millis(1_500);

/// The servers of each service, of which one crashes.
const SERVERS: usize = 4;

/// The entries, of which one stands still.
const ENTRIES: usize = 10;

const PLAIN_SERVICE: &str = "desk";

const PORT: u16 = 8_080;

fn desired() -> Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({
            "Name": name, "Host": "api.example", "PathPrefix": format!("/{name}/"),
            "Kind": kind, "TimeoutMs": 5000, "TargetLatencyMs": 300, "Priority": 1,
            "Service": service, "MaxAttempts": 1, "Public": false,
            "Sticky": service == "llm", "Resumable": false, "GapTargetMs": 500,
        })
    };
    json!({
        "Version": 1,
        "Routes": [
            route("quote", "streaming", "llm"),
            route("status", "idempotent", "desk"),
        ],
        "Services": [
            {"Name": "llm", "HealthPath": "/health", "MaxConns": 250, "Protocol": "h1",
                "TlsMode": false, "EngineKind": {"Slots": 32, "KvCapacityTokens": 123_073,
                "KvTokenBytes": 192_512, "LinkMbps": 1_500_000.0, "Migrations": true,
                "Replicas": true, "Stride": 4, "MaxInflight": 12, "PinMs": 4000.0,
                "HoldMs": 2000.0, "handle_s": 5.0, "Models": [{"Name": MODEL}]}},
            {"Name": "desk", "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1",
                "TlsMode": false},
        ],
        "Limits": {"MaxHeaderBytes": 16_384, "MaxBodyBytes": 4_194_304,
            "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15_000},
        "Tenants": [{"Name": "sese880", "ApiKeys": ["key-a"], "Priority": 1,
            "Isolated": false}],
    })
}

fn stream() -> Caller {
    let mut caller = Caller::new("POST", "/quote/1", "attempt-stream");
    caller.headers.push_str(&format!(
        "X-Model: {MODEL}\r\nX-Token-Count: 120,{EVENTS}\r\n\
         X-Prompt-Prefix: a1:60,b2:40,c3:20\r\n"
    ));
    caller.body = "prompt".to_string();
    caller
}

fn plain() -> Caller {
    let mut caller = Caller::new("GET", "/status/1", "attempt-plain");
    caller.headers.push_str(&format!("X-Token-Count: 0,{EVENTS}\r\n"));
    caller
}

/// Notes an answer; reports whether it is a success that looks complete and isn't.
fn is_broken(record: &mut Record, name: &str, reply: &Reply) -> bool {
    let events = reply.event_ids().len();
    record.line(format!(
        "client: {name} is answered {}, seal {:?}, complete for the client: {}, {events} of \
         {EVENTS} events or lines",
        reply.status,
        reply.header("x-server-seal"),
        reply.complete
    ));
    reply.status == 200 && reply.complete && events < EVENTS
}

#[tokio::main]
async fn main() -> ExitCode {
    let mut record = Record::begin();
    let trouble = has_trouble();
    let freezes = trouble && std::env::var("FREEZE").as_deref() != Ok("0");
    // The service of which a server crashes.
    let crashing = match std::env::var("CRASH").as_deref() {
        _ if !trouble => None,
        Ok("0") => None,
        Ok(PLAIN_SERVICE) => Some(PLAIN_SERVICE),
        _ => Some(MODEL_SERVICE),
    };
    let store_address = SocketAddr::from((next_ip(), 8_784));
    let Ok((store, _served)) = ObjectStoreStandin::start(store_address).await else {
        return ExitCode::from(2);
    };
    store.hide_era();
    let mut callers_of = Vec::new();
    let mut servers = Vec::new();
    for service in [[MODEL_SERVICE; SERVERS], [PLAIN_SERVICE; SERVERS]].as_flattened() {
        let address = SocketAddr::from((next_ip(), PORT));
        match Engine::start(service, address, STEP).await {
            Ok(server) => servers.push(server),
            Err(_) => return ExitCode::from(2),
        }
    }
    store.put("config", "main", desired());
    store.put("versions", MODEL, json!({"Model": MODEL, "Version": 1}));
    for server in &servers {
        store.put("servers", &server.id(), server.entry());
    }
    let common = format!("{SETTINGS}Platform.Address={store_address}\n");
    let mut others = Vec::new();
    for server in &servers[..SERVERS] {
        let IpAddr::V4(ip) = server.address.ip() else { return ExitCode::from(2) };
        let settings = format!("{common}MachineClass=side\napp={}\n", server.address);
        others.push(Process::start("sidecar", ip, &settings).expect("a sidecar starts"));
    }
    let mut entries = Vec::new();
    for _ in 0..ENTRIES {
        let ip = next_ip();
        let callers = SocketAddr::from((ip, 8_782));
        let settings = format!(
            "{common}MachineClass=edge\nListen.Front={callers}\nListen.Ready={ip}:8789\n"
        );
        entries.push(Process::start("entry", ip, &settings).expect("an entry starts"));
        callers_of.push(callers);
    }
    sleep(Duration::from_secs(5)).await;
    let (callers, entry) = (callers_of[0], &entries[0]);

    let answers = [stream(), plain()]
        .map(|caller| tokio::spawn(async move { caller.send(callers).await }));
    sleep(STEP * 8).await;
    let is_busy = |server: &&Arc<Engine>| server.begun() > 0;
    let busy: Vec<&Arc<Engine>> = servers.iter().filter(is_busy).collect();
    if busy.len() != 2 {
        record.line(format!("{} servers work on the two requests", busy.len()));
        return ExitCode::from(2);
    }
    record
        .line("client: has sent attempt-stream and attempt-plain, of 20 events or lines");
    for server in &busy {
        record.line(format!("server {} runs {:?}", server.id(), server.runs()));
    }
    let crashing = busy.into_iter().find(|server| Some(server.service()) == crashing);
    if freezes {
        record.line(format!("the machine of the entry, 1 of {ENTRIES}, stands still"));
        entry.signal(Signal::SIGSTOP);
    }
    sleep(Duration::from_millis(100)).await;
    if let Some(server) = crashing {
        let before = server.id();
        record.line(format!(
            "server {before}, 1 of {SERVERS} of service {}, crashes; it runs {:?}",
            server.service(),
            server.runs()
        ));
        server.crash(CRASH).await;
        store.put("servers", &server.id(), server.entry());
        record.line(format!("it has started again as {}", server.id()));
        sleep(FREEZE.saturating_sub(CRASH)).await;
    } else {
        sleep(FREEZE).await;
    }
    if freezes {
        entry.signal(Signal::SIGCONT);
        record.line("the machine of the entry goes on");
    }
    let mut broken = false;
    for (name, answer) in ["the stream", "the plain request"].iter().zip(answers) {
        let reply = answer.await.unwrap_or_default();
        broken |= is_broken(&mut record, name, &reply);
        if !trouble && (reply.status != 200 || !reply.complete) {
            return ExitCode::from(2);
        }
    }
    let mut processes = others.iter_mut().chain(&mut entries);
    if processes.any(|process| process.has_ended()) {
        return ExitCode::from(2);
    }
    record.end(broken)
}
