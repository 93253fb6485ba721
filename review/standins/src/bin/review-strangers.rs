//! The list of servers has an entry of another writer while all processes are killed.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bilberry_adapter_tests::Caller;
use review_standins::config::StreamRoute;
use review_standins::config::desired_state;
use review_standins::deployment::Deployment;
use review_standins::deployment::Figures;
use review_standins::deployment::until_stopped;
use review_standins::record::Record;
use serde_json::json;
use tokio::time::sleep;

const MODEL: &str = "model-a";

/// `RecoveryS`.
const RECOVERY: Duration = Duration::from_secs(12);

/// How long the processes are down.
const DOWN: Duration = Duration::from_secs(1);

/// The time between two requests.
const REQUEST_EVERY: Duration = Duration::from_millis(100);

const ROUTES: [StreamRoute; 1] = [StreamRoute {
    name: "checks",
    priority: 1,
    resumable: true,
    attempts: 2,
    target_ms: 400,
}];

#[tokio::main]
async fn main() -> ExitCode {
    let trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let path = PathBuf::from(std::env::args().nth(1).unwrap_or("record.txt".to_string()));
    let Ok(record) = Record::create(&path) else { return ExitCode::from(2) };
    match until_stopped(play(trouble, &record)).await {
        Some(Ok(is_broken)) => {
            record.line(if is_broken { "a rule was broken" } else { "the rules held" });
            ExitCode::from(u8::from(is_broken))
        }
        Some(Err(reason)) => {
            record.line(&format!("could not run: {reason}"));
            ExitCode::from(2)
        }
        None => {
            record.line("could not run: stopped, or out of time");
            ExitCode::from(2)
        }
    }
}

async fn play(trouble: bool, record: &Record) -> Result<bool, String> {
    let models = vec![MODEL.to_string()];
    let figures = Figures {
        engines: 3,
        entries: 2,
        models: models.clone(),
        memory_tokens: 112_556,
        slots: 48,
        checks_fences: false,
        tells_era: false,
    };
    let state = desired_state(&ROUTES, &models, figures.memory_tokens);
    let mut deployment = Deployment::start(&figures, state, 0, record).await?;
    let first = ask(&deployment, "first", 20, record).await;
    if trouble {
        let now =
            SystemTime::now().duration_since(UNIX_EPOCH).map_err(|e| e.to_string())?;
        let entry = json!({
            "Service": "notice-board", "Address": deployment.unused_address().to_string(),
            "Zone": "hall-b", "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0,
            "Stage": "combined", "Models": [], "Seq": 1, "born": now.as_millis() as u64,
        });
        record.line(&format!("another writer: puts servers/i-notice-1 {entry}"));
        deployment.store.put("servers", "i-notice-1", entry);
    }
    sleep(Duration::from_secs(3)).await;
    let before = ask(&deployment, "before", 20, record).await;
    record.line("all processes of the system are killed");
    deployment.kill_all(DOWN).await?;
    record.line("all processes of the system are started again");
    sleep(RECOVERY).await;
    let after = ask(&deployment, "after", 40, record).await;
    record.line(&format!(
        "served: {first} of 20 at first, {before} of 20 before the final fault, {after} of 40 \
         that were sent later than {} s after it",
        RECOVERY.as_secs()
    ));
    // A quarter or more before the final fault, and less than a quarter after it.
    Ok(before * 4 >= 20 && after * 4 < 40)
}

/// Sends requests to both entries; returns how many were served.
async fn ask(
    deployment: &Deployment,
    label: &str,
    count: usize,
    record: &Record,
) -> usize {
    let mut served = 0;
    for number in 0..count {
        let attempt = format!("{label}-{number}");
        let mut caller = Caller::new("POST", "/checks/x", &attempt).with(&format!(
            "X-Model: {MODEL}\r\nX-Token-Count: 120,4\r\nX-Prompt-Prefix: a1:60,c{number}:60\r\n"
        ));
        caller.body = "prompt".to_string();
        let reply = caller.send(deployment.callers(number % 2)).await;
        record.line(&format!(
            "client: {attempt} is answered {} {}",
            reply.status,
            if reply.status == 200 { "" } else { &reply.body }
        ));
        served += usize::from(reply.status == 200 && reply.complete);
        sleep(REQUEST_EVERY).await;
    }
    served
}
