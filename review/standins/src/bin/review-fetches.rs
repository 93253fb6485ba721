//! New weights are named while servers preempt runs and requests share parts of prompts.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bilberry_adapter_tests::Caller;
use review_standins::config::StreamRoute;
use review_standins::config::desired_state;
use review_standins::deployment::Deployment;
use review_standins::deployment::Figures;
use review_standins::deployment::until_stopped;
use review_standins::record::Record;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

const MODEL: &str = "model-a";

/// The time between two versions.
const NAMED_EVERY: Duration = Duration::from_millis(3_000);

/// How often versions are named.
const VERSIONS: u64 = 28;

/// The time between two requests.
const REQUEST_EVERY: Duration = Duration::from_millis(13);

/// The number of subjects that requests share.
const SUBJECTS: u64 = 60;

const ROUTES: [StreamRoute; 2] = [
    StreamRoute {
        name: "checks",
        priority: 0,
        resumable: true,
        attempts: 2,
        target_ms: 400,
    },
    StreamRoute {
        name: "digests",
        priority: 3,
        resumable: false,
        attempts: 1,
        target_ms: 400,
    },
];

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
        engines: 9,
        entries: 2,
        models: models.clone(),
        memory_tokens: 112_556,
        slots: 48,
        checks_fences: false,
        tells_era: false,
    };
    let state = desired_state(&ROUTES, &models, figures.memory_tokens);
    let deployment = Deployment::start(&figures, state, 0, record).await?;
    let answers: Arc<Mutex<std::collections::BTreeMap<String, u64>>> = Arc::default();
    let begun = Instant::now();
    let until = begun + NAMED_EVERY * (VERSIONS as u32 + 1);
    let mut draw = 12_345_u64;
    let mut named = 1;
    let mut number = 0_u64;
    while Instant::now() < until {
        if trouble && named <= VERSIONS && begun.elapsed() >= NAMED_EVERY * named as u32 {
            named += 1;
            deployment.name_version(MODEL, named, record);
        }
        draw = draw
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let random = draw >> 33;
        let subject = random % SUBJECTS;
        let is_digest = (random / SUBJECTS) % 4 == 0;
        let (path, output) = match is_digest {
            true => ("/digests/x", 800),
            false => ("/checks/x", 13),
        };
        number += 1;
        let mut caller = Caller::new("POST", path, &format!("r{number}")).with(&format!(
            "X-Model: {MODEL}\r\nX-Token-Count: {},{output}\r\n\
             X-Prompt-Prefix: a{}:1300,b{subject}:5000,c{number}:2890\r\n",
            1_300 + 5_000 + 2_890,
            subject % 4,
        ));
        caller.headers =
            caller.headers.replace("X-Deadline-Ms: 5000", "X-Deadline-Ms: 15000");
        caller.body = "prompt".to_string();
        let address = deployment.callers((number % 2) as usize);
        record.line(&format!(
            "client: r{number} to {path}, subject {subject}, at {address}"
        ));
        let answers = answers.clone();
        let record = record.clone();
        tokio::spawn(async move {
            let reply = caller.send(address).await;
            let whole = if reply.complete { "whole" } else { "not whole" };
            record.line(&format!(
                "client: {} is answered {} {whole}",
                caller.attempt, reply.status
            ));
            *answers
                .lock()
                .unwrap()
                .entry(format!("{} {whole}", reply.status))
                .or_default() += 1;
        });
        sleep_until(begun + REQUEST_EVERY * number as u32).await;
    }
    sleep(Duration::from_secs(3)).await;
    let mut stale = 0;
    for engine in &deployment.engines {
        let (begun, preempted, read_again) = engine.counts();
        let found = engine.stale_runs();
        record.line(&format!(
            "{}: {begun} requests began, {preempted} were preempted, {read_again} of them were \
             read in again after a load, {} began on memory of another version",
            engine.settings.id,
            found.len()
        ));
        stale += found.len();
    }
    record.line(&format!("answers: {:?}", answers.lock().unwrap()));
    record.line(&format!("{stale} parts of another version were used"));
    Ok(stale > 0)
}
