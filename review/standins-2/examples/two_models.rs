//! A server with two models gets orders for new weights of both.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use bilberry_adapter_tests::Caller;
use bilberry_adapter_tests::ObjectStoreStandin;
use review_standins_2::Record;
use review_standins_2::SETTINGS;
use review_standins_2::engine::Engine;
use review_standins_2::engine::MODEL;
use review_standins_2::engine::SECOND_MODEL;
use review_standins_2::engine::World;
use review_standins_2::has_trouble;
use review_standins_2::process::Process;
use review_standins_2::process::next_ip;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;

/// How long weights may take from their naming until they are in place: `VersionMs`, and
/// some time to load them.
const PATIENCE: Duration = Duration::from_secs(10);

const REQUESTS: usize = 6;

fn desired() -> Value {
    json!({
        "Version": 1,
        "Routes": [{
            "Name": "quote", "Host": "api.example", "PathPrefix": "/quote/",
            "Kind": "streaming", "TimeoutMs": 2000, "TargetLatencyMs": 300, "Priority": 1,
            "Service": "llm", "MaxAttempts": 3, "Public": false, "Sticky": true,
            "Resumable": true, "GapTargetMs": 500,
        }],
        "Services": [{
            "Name": "llm", "HealthPath": "/health", "MaxConns": 250, "Protocol": "h1",
            "TlsMode": false, "EngineKind": {"Slots": 32, "KvCapacityTokens": 123_073,
            "KvTokenBytes": 192_512, "LinkMbps": 1_500_000.0, "Migrations": true,
            "Replicas": true, "Stride": 4, "MaxInflight": 12, "PinMs": 4000.0,
            "HoldMs": 2000.0, "handle_s": 5.0,
            "Models": [{"Name": MODEL}, {"Name": SECOND_MODEL}]},
        }],
        "Limits": {"MaxHeaderBytes": 16_384, "MaxBodyBytes": 4_194_304,
            "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15_000},
        "Tenants": [{"Name": "sese880", "ApiKeys": ["key-a"], "Priority": 1,
            "Isolated": false}],
    })
}

/// Waits for up to [`PATIENCE`] until the server has the weights.
async fn is_in_place(version: impl Fn() -> Option<u64>, named: u64) -> bool {
    let begun = Instant::now();
    while begun.elapsed() < PATIENCE {
        if version() == Some(named) {
            return true;
        }
        sleep(Duration::from_millis(20)).await;
    }
    false
}

async fn ask(callers: SocketAddr, record: &mut Record, model: &str, number: usize) {
    let mut caller =
        Caller::new("POST", "/quote/1", &format!("attempt-{model}-{number}"));
    caller.headers.push_str(&format!(
        "X-Model: {model}\r\nX-Token-Count: 120,5\r\nX-Prompt-Prefix: a{number}:120\r\n"
    ));
    caller.body = "prompt".to_string();
    let reply = caller.send(callers).await;
    record.line(format!(
        "client: request {number} for {model} is answered {}",
        reply.status
    ));
}

#[tokio::main]
async fn main() -> ExitCode {
    let mut record = Record::begin();
    let checks_fences = std::env::var("FENCED").as_deref() == Ok("1");
    let world = Arc::new(World::default());
    let store_address = SocketAddr::from((next_ip(), 8_784));
    let Ok((store, _served)) = ObjectStoreStandin::start(store_address).await else {
        return ExitCode::from(2);
    };
    store.hide_era();
    let address = SocketAddr::from((next_ip(), 8_080));
    let Ok(server) = Engine::start(address, world.clone()).await else {
        return ExitCode::from(2);
    };
    server.add_second_model(checks_fences);
    store.put("config", "main", desired());
    for model in [MODEL, SECOND_MODEL] {
        store.put("versions", model, json!({"Model": model, "Version": 1}));
    }
    store.put("servers", &server.id(), server.entry());
    let settings = SETTINGS
        .replace("FenceRequired=false", &format!("FenceRequired={checks_fences}"));
    let common = format!("{settings}Platform.Address={store_address}\n");
    let IpAddr::V4(ip) = address.ip() else { return ExitCode::from(2) };
    let side = format!("{common}MachineClass=side\napp={address}\n");
    let _sidecar = Process::start("sidecar", ip, &side).expect("a sidecar starts");
    let entry_ip = next_ip();
    let callers = SocketAddr::from((entry_ip, 8_782));
    let edge = format!(
        "{common}MachineClass=edge\nListen.Front={callers}\nListen.Ready={entry_ip}:8789\n"
    );
    let _entry = Process::start("entry", entry_ip, &edge).expect("an entry starts");
    sleep(Duration::from_secs(4)).await;

    for model in [MODEL, SECOND_MODEL] {
        ask(callers, &mut record, model, 0).await;
    }
    let versions = if has_trouble() { 2..=3 } else { 2..=0 };
    for version in versions {
        server.name_version(version);
        store.put("versions", MODEL, json!({"Model": MODEL, "Version": version}));
        record.line(format!("operator: version {version} of {MODEL} is acknowledged"));
        if !is_in_place(|| Some(server.version()), version).await {
            return ExitCode::from(2);
        }
        store.put("servers", &server.id(), server.entry());
    }
    server.name_second_version(2);
    store.put("versions", SECOND_MODEL, json!({"Model": SECOND_MODEL, "Version": 2}));
    record.line(format!("operator: version 2 of {SECOND_MODEL} is acknowledged"));
    let arrived = is_in_place(|| server.second_version(), 2).await;
    store.put("servers", &server.id(), server.entry());
    record.line(format!(
        "server: version 2 of {SECOND_MODEL} in place within {PATIENCE:?}: {arrived}"
    ));
    for number in 1..=REQUESTS {
        ask(callers, &mut record, SECOND_MODEL, number).await;
    }
    for (at, text) in world.take_notes() {
        record.line_at(at.into_std(), text);
    }
    let lower = server.lower_token();
    if let Some((higher, token)) = lower {
        record.line(format!("server: fencing token {token} came after {higher}"));
    }
    // Where servers check fences, a lower token breaks nothing by itself.
    record.end(lower.is_some() && !checks_fences)
}
