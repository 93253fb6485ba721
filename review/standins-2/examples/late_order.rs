//! An order that got no answer is carried out after its server has crashed and started
//! again, and after newer orders.

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
use review_standins_2::engine::World;
use review_standins_2::engine::start_kv_store;
use review_standins_2::has_trouble;
use review_standins_2::process::Process;
use review_standins_2::process::next_ip;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

/// The number of model servers, each with a sidecar; one of them has trouble.
const ENGINES: usize = 4;

/// `HeartbeatMs` of the deployment.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// How late the unanswered order is carried out at the earliest; the pages say 2 to 12 s.
const LATE: Duration = Duration::from_millis(7_000);

/// How long the crashed server is down.
const CRASH: Duration = Duration::from_secs(1);

/// The interval between two requests of the clients.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

const PORT: u16 = 8_080;

fn desired(kept: SocketAddr) -> Value {
    json!({
        "Version": 1,
        "Routes": [{
            "Name": "outlook", "Host": "api.example", "PathPrefix": "/outlook/",
            "Kind": "streaming", "TimeoutMs": 5000, "TargetLatencyMs": 400, "Priority": 1,
            "Service": "llm", "MaxAttempts": 2, "Public": false, "Sticky": true,
            "Resumable": true, "GapTargetMs": 250,
        }],
        "Services": [
            {"Name": "llm", "HealthPath": "/health", "MaxConns": 250, "Protocol": "h1",
                "TlsMode": false, "EngineKind": {"Slots": 32, "KvCapacityTokens": 123_073,
                "KvTokenBytes": 192_512, "LinkMbps": 1_500_000.0, "Migrations": true,
                "Replicas": true, "Stride": 4, "MaxInflight": 12, "PinMs": 4000.0,
                "HoldMs": 2000.0, "handle_s": 5.0, "Models": [{"Name": MODEL}]}},
            {"Name": "kept", "KvStoreAddr": kept.to_string(), "Zone": "hall-a",
                "KvCapacityTokens": 3_640_621, "LinkMbps": 670_000.0, "MaxInflight": 12},
        ],
        "Limits": {"MaxHeaderBytes": 16_384, "MaxBodyBytes": 4_194_304,
            "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15_000},
        "Tenants": [{"Name": "sese880", "ApiKeys": ["key-a"], "Priority": 1,
            "Isolated": false}],
    })
}

/// Sends a request on a subject; all requests on it share the first two parts.
fn send(entry: SocketAddr, subject: usize, round: usize) -> tokio::task::JoinHandle<u16> {
    let mut caller =
        Caller::new("POST", "/outlook/1", &format!("attempt-{round}-{subject}"));
    caller.headers.push_str(&format!(
        "X-Model: {MODEL}\r\nX-Token-Count: 6700,13\r\n\
         X-Prompt-Prefix: a{subject:x}:2520,b{subject:x}:3780,c{round:x}{subject:x}:400\r\n"
    ));
    caller.body = format!("{{\"subject\":{subject},\"round\":{round}}}");
    tokio::spawn(async move { caller.send(entry).await.status })
}

async fn name_version(store: &ObjectStoreStandin, engines: &[Arc<Engine>], version: u64) {
    engines.iter().for_each(|engine| engine.name_version(version));
    store.put("versions", MODEL, json!({"Model": MODEL, "Version": version}));
}

/// Waits until all servers have a version; returns whether they had it in time.
async fn have_version(engines: &[Arc<Engine>], version: u64) -> bool {
    let until = Instant::now() + Duration::from_secs(8);
    while Instant::now() < until {
        if engines.iter().all(|engine| engine.version() == version) {
            return true;
        }
        sleep(Duration::from_millis(20)).await;
    }
    false
}

/// Writes the entries of the servers into the list as they change, and removes those of
/// earlier starts after three intervals of silence.
async fn register(store: Arc<ObjectStoreStandin>, engines: Vec<Arc<Engine>>) {
    let mut listed: Vec<Option<(String, Value, Instant)>> = vec![None; engines.len()];
    let mut silent: Vec<(String, Instant)> = Vec::new();
    loop {
        for (engine, listed) in engines.iter().zip(&mut listed) {
            let (id, entry) = (engine.id(), engine.entry());
            match listed {
                Some((known, _, at)) if *known != id => {
                    silent.push((known.clone(), *at + HEARTBEAT * 3));
                    *listed = None;
                }
                Some((_, known, at)) if *known == entry => {
                    *at = Instant::now();
                    continue;
                }
                _ => {}
            }
            store.put("servers", &id, entry.clone());
            *listed = Some((id, entry, Instant::now()));
        }
        silent.retain(|(id, until)| {
            let is_over = *until <= Instant::now();
            if is_over {
                store.remove("servers", id);
            }
            !is_over
        });
        sleep(HEARTBEAT / 4).await;
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let mut record = Record::begin();
    let trouble = has_trouble();
    let world = Arc::new(World::default());
    let store_address = SocketAddr::from((next_ip(), 8_784));
    let Ok((store, _served)) = ObjectStoreStandin::start(store_address).await else {
        return ExitCode::from(2);
    };
    store.hide_era();
    let kept = SocketAddr::from((next_ip(), 8_781));
    if start_kv_store(kept, world.clone()).await.is_err() {
        return ExitCode::from(2);
    }
    let mut engines = Vec::new();
    for _ in 0..ENGINES {
        let address = SocketAddr::from((next_ip(), PORT));
        match Engine::start(address, world.clone()).await {
            Ok(engine) => engines.push(engine),
            Err(_) => return ExitCode::from(2),
        }
    }
    store.put("config", "main", desired(kept));
    name_version(&store, &engines, 1).await;
    tokio::spawn(register(store.clone(), engines.clone()));
    let common = format!("{SETTINGS}Platform.Address={store_address}\n");
    let mut processes = Vec::new();
    for engine in &engines {
        let std::net::IpAddr::V4(ip) = engine.address.ip() else { continue };
        let settings = format!("{common}MachineClass=side\napp={}\n", engine.address);
        processes
            .push(Process::start("sidecar", ip, &settings).expect("a sidecar starts"));
    }
    let entry_ip = next_ip();
    let entry = SocketAddr::from((entry_ip, 8_782));
    let settings = format!(
        "{common}MachineClass=edge\nListen.Front={entry}\nListen.Ready={entry_ip}:8789\n"
    );
    processes
        .push(Process::start("entry", entry_ip, &settings).expect("an entry starts"));
    // The sidecars have been in touch with the entry for longer than they count one as
    // unknown after their start.
    sleep(Duration::from_secs(12)).await;
    if send(entry, 0, 0).await.unwrap_or_default() != 200 {
        record.line("the deployment does not serve");
        return ExitCode::from(2);
    }
    let mut warm = Vec::new();
    for subject in 1_000..1_050 {
        warm.push(send(entry, subject, 0));
        sleep(REQUEST_INTERVAL).await;
    }
    for answer in warm {
        let _ = answer.await;
    }
    let chosen = engines.iter().max_by_key(|engine| engine.begun()).cloned();
    let chosen = chosen.expect("there are servers");
    record.line(format!("server {} has had the most requests", chosen.id()));
    if trouble {
        chosen.leave_next_order_unanswered(LATE);
    }
    record.line("operator: names weights 2");
    name_version(&store, &engines, 2).await;
    let begun = Instant::now();
    let has_second = have_version(&engines, 2).await;
    record.line("operator: names weights 3");
    name_version(&store, &engines, 3).await;
    if !has_second || !have_version(&engines, 3).await {
        record.line("the weights were not loaded in time");
        return ExitCode::from(2);
    }
    if trouble {
        record.line(format!("server {} crashes", chosen.id()));
        chosen.crash(CRASH).await;
        record.line(format!("server {} has started", chosen.id()));
    }
    sleep_until(begun + LATE - Duration::from_millis(500)).await;
    let mut answers = Vec::new();
    let first = 1..=150;
    for subject in first.clone() {
        answers.push(send(entry, subject, 1));
        sleep(REQUEST_INTERVAL).await;
    }
    sleep(Duration::from_secs(1)).await;
    for subject in first {
        answers.push(send(entry, subject, 2));
        sleep(REQUEST_INTERVAL / 2).await;
    }
    let mut statuses = std::collections::BTreeMap::new();
    for answer in answers {
        *statuses.entry(answer.await.unwrap_or_default()).or_insert(0) += 1;
    }
    for (at, text) in world.take_notes() {
        record.line_at(at.into_std(), text);
    }
    record.line(format!("clients: answers by status {statuses:?}"));
    for engine in &engines {
        record.line(format!(
            "server {}: {} requests have run",
            engine.id(),
            engine.begun()
        ));
    }
    let ended = processes.iter_mut().filter_map(|it| it.has_ended().then_some(it.id()));
    let ended: Vec<u32> = ended.collect();
    if !ended.is_empty() {
        record.line(format!("processes {ended:?} have ended"));
        return ExitCode::from(2);
    }
    let stale = world.stale();
    record.line(format!("STALE: {} uses of parts of other weights", stale.len()));
    record.end(!stale.is_empty())
}
