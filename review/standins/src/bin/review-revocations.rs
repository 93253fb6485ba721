//! The store comes back from an older copy, which still has a revoked key, while an
//! entry starts again.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bilberry_adapter_tests::Caller;
use review_standins::config::StreamRoute;
use review_standins::config::desired_state;
use review_standins::config::desired_state_with;
use review_standins::deployment::Deployment;
use review_standins::deployment::Figures;
use review_standins::deployment::until_stopped;
use review_standins::record::Record;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

const MODEL: &str = "model-a";

/// `RevokeMs`.
const REVOKE: Duration = Duration::from_millis(5_000);

/// When the store goes away, after the acknowledgement of the revocation.
const AWAY_AT: Duration = Duration::from_millis(3_800);

/// When it is back from a copy that is 4.5 s old by then.
const BACK_AT: Duration = Duration::from_millis(4_300);

/// When the operator has written the desired state again.
const WRITTEN_AGAIN_AT: Duration = Duration::from_millis(6_200);

/// How long the requests with the revoked key go on.
const REQUESTS_UNTIL: Duration = Duration::from_millis(8_500);

/// How long the killed entry is down.
const DOWN: Duration = Duration::from_millis(500);

const ROUTES: [StreamRoute; 1] = [StreamRoute {
    name: "checks",
    priority: 1,
    resumable: true,
    attempts: 2,
    target_ms: 400,
}];

/// A request with the revoked key.
struct Sent {
    attempt: String,
    after_ack: Duration,
}

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
        engines: 2,
        entries: 2,
        models: models.clone(),
        memory_tokens: 112_556,
        slots: 48,
        checks_fences: false,
        tells_era: true,
    };
    let memory = figures.memory_tokens;
    let first = desired_state(&ROUTES, &models, memory);
    let mut deployment = Deployment::start(&figures, first, 0, record).await?;
    if send(&deployment, 0, "b-before", record).await != 200 {
        return Err("the key doesn't work at first".to_string());
    }
    let copy = deployment.store.copy();
    sleep(Duration::from_millis(200)).await;
    let revoked = desired_state_with(9, &ROUTES, &models, memory, &[]);
    deployment.store.put("config", "main", revoked);
    let ack_at = Instant::now();
    record.line("operator: version 9 takes key-b away, acknowledged");
    sleep(Duration::from_millis(2_500)).await;
    if send(&deployment, 0, "b-revoked", record).await != 401 {
        return Err("the key still works 2.5 s after its revocation".to_string());
    }
    sleep_until(ack_at + AWAY_AT).await;
    if trouble {
        deployment.store.set_unavailable(true);
        record.line("store: away");
    }
    let store = deployment.store.clone();
    let writer = {
        let record = record.clone();
        tokio::spawn(async move {
            if !trouble {
                return;
            }
            sleep_until(ack_at + BACK_AT).await;
            store.restore_from(&copy);
            store.set_unavailable(false);
            record.line("store: back from a copy that is 4.5 s old");
            sleep_until(ack_at + WRITTEN_AGAIN_AT).await;
            for lost in store.lost_objects() {
                store.write_again(&lost);
                record.line(&format!("operator: writes {}/{} again", lost.0, lost.1));
            }
        })
    };
    if std::env::var("KILL").map_or(true, |kill| kill != "0") {
        record.line("an entry is killed");
        deployment.kill_entry(0, DOWN).await?;
        record.line("it is started again");
    }
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut number = 0;
    let mut requests = Vec::new();
    while ack_at.elapsed() < REQUESTS_UNTIL {
        let attempt = format!("b-{number}");
        let caller = caller(&attempt);
        let address = deployment.callers(0);
        let after_ack = ack_at.elapsed();
        sent.lock().unwrap().push(Sent { attempt: attempt.clone(), after_ack });
        let record = record.clone();
        requests.push(tokio::spawn(async move {
            let status = caller.send(address).await.status;
            record.line(&format!(
                "client: {attempt} with key-b, sent {} ms after the acknowledgement, is \
                 answered {status}",
                after_ack.as_millis()
            ));
        }));
        number += 1;
        sleep(Duration::from_millis(50)).await;
    }
    for request in requests {
        request.await.map_err(|e| e.to_string())?;
    }
    writer.await.map_err(|e| e.to_string())?;
    let sent = sent.lock().unwrap();
    let is_late = |request: &&Sent| {
        request.after_ack > REVOKE
            && deployment
                .engines
                .iter()
                .any(|engine| engine.has_arrived(&request.attempt))
    };
    let late = sent.iter().filter(is_late).count();
    record.line(&format!(
        "{late} requests ran whose key had been revoked more than {} ms before they were sent",
        REVOKE.as_millis()
    ));
    Ok(late > 0)
}

fn caller(attempt: &str) -> Caller {
    let mut caller = Caller::new("POST", "/checks/x", attempt).with(&format!(
        "X-Model: {MODEL}\r\nX-Token-Count: 120,4\r\nX-Prompt-Prefix: a1:60,c1:60\r\n"
    ));
    caller.headers = caller.headers.replace("key-a", "key-b");
    caller.body = "prompt".to_string();
    caller
}

async fn send(
    deployment: &Deployment,
    entry: usize,
    attempt: &str,
    record: &Record,
) -> u16 {
    let status = caller(attempt).send(deployment.callers(entry)).await.status;
    record.line(&format!("client: {attempt} with key-b is answered {status}"));
    status
}
