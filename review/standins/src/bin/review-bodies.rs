//! Many clients send bodies at once that are as long as the desired state allows.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bilberry_adapter_tests::Caller;
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use review_standins::config::StreamRoute;
use review_standins::config::desired_state;
use review_standins::deployment::Deployment;
use review_standins::deployment::Figures;
use review_standins::deployment::until_stopped;
use review_standins::record::Record;
use tokio::net::TcpStream;
use tokio::time::sleep;

const MODEL: &str = "model-a";

/// `Limits.MemoryMb` of an entry on the site, in kilobytes.
const MEMORY_KB: u64 = 110 * 1_024;

/// The clients; the site has 61, for four entries.
const CLIENTS: usize = 56;

/// The length of a body; `MaxBodyBytes` is 4,194,304.
const BODY_BYTES: usize = 4_000_000;

/// The time between the starts of two bodies, of which a link of 1,000 Mbit/s carries 31 a
/// second.
const BODY_EVERY: Duration = Duration::from_millis(35);

/// The tokens of a long request's own part; the sheet's longest has 18,300.
const LONG_PROMPT_TOKENS: u64 = 12_000;

const ROUTES: [StreamRoute; 1] = [StreamRoute {
    name: "digests",
    priority: 1,
    resumable: false,
    attempts: 1,
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
        engines: 2,
        entries: 1,
        models: models.clone(),
        memory_tokens: 112_556,
        slots: 48,
        checks_fences: false,
    };
    let state = desired_state(&ROUTES, &models, figures.memory_tokens);
    let deployment = Deployment::start(&figures, state, 0, record).await?;
    let pid = deployment.entries[0].pid();
    let peak_kb: Arc<Mutex<u64>> = Arc::default();
    let limit = tokio::spawn(enforce_memory_limit(pid, peak_kb.clone(), record.clone()));
    // Without the trouble, the same clients send the same bodies, two at a time.
    let at_once = if trouble { CLIENTS } else { 2 };
    let mut answers: BTreeMap<String, (u16, bool)> = BTreeMap::new();
    let numbers: Vec<usize> = (0..CLIENTS).collect();
    for group in numbers.chunks(at_once) {
        let clients: Vec<_> = group
            .iter()
            .enumerate()
            .map(|(place, &number)| {
                let wait = Duration::from_millis(500) + BODY_EVERY * place as u32;
                tokio::spawn(client(number, deployment.callers(0), wait, record.clone()))
            })
            .collect();
        for client in clients {
            let (attempt, status, whole) = client.await.map_err(|e| e.to_string())?;
            answers.insert(attempt, (status, whole));
        }
    }
    let was_killed = limit.is_finished();
    limit.abort();
    let peak_kb = *peak_kb.lock().unwrap();
    record.line(&format!("the entry held {peak_kb} kB at most, of {MEMORY_KB} kB"));
    // The request was passed on, and its connection was closed without an answer.
    let is_lost = |(attempt, (status, _)): &(&String, &(u16, bool))| {
        *status == 0
            && deployment.engines.iter().any(|engine| engine.has_arrived(attempt))
    };
    let lost = answers.iter().filter(is_lost).count();
    let served =
        answers.values().filter(|(status, whole)| *status == 200 && *whole).count();
    let cut =
        answers.values().filter(|(status, whole)| *status == 200 && !*whole).count();
    record.line(&format!(
        "{served} of {CLIENTS} requests were served, {cut} got a part of their answer, {lost} were \
         passed on and got none; killed: {was_killed}"
    ));
    Ok(lost > 3)
}

/// Kills the process once it holds more memory than the platform allows it, as the platform
/// does.
async fn enforce_memory_limit(pid: i32, peak_kb: Arc<Mutex<u64>>, record: Record) {
    loop {
        let text =
            std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let resident = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = resident.and_then(|rest| rest.split_whitespace().next());
        let resident_kb: u64 =
            resident.and_then(|kb| kb.parse().ok()).unwrap_or_default();
        {
            let mut peak_kb = peak_kb.lock().unwrap();
            *peak_kb = (*peak_kb).max(resident_kb);
        }
        if resident_kb > MEMORY_KB {
            record.line(&format!(
                "platform: the entry holds {resident_kb} kB, more than {MEMORY_KB} kB, and is \
                 killed"
            ));
            let _ = kill(Pid::from_raw(pid), Signal::SIGKILL);
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Sends a short request and then, on the same connection, one with a long body.
async fn client(
    number: usize,
    address: std::net::SocketAddr,
    wait: Duration,
    record: Record,
) -> (String, u16, bool) {
    let attempt = format!("long-{number}");
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return (attempt, 0, false);
    };
    let prompt = |caller: Caller, own: u64, out: u64| {
        caller.with(&format!(
            "X-Model: {MODEL}\r\nX-Token-Count: {},{out}\r\n\
             X-Prompt-Prefix: a1:500,b1:500,c{number}:{own}\r\n",
            own + 1_000
        ))
    };
    let mut short =
        prompt(Caller::new("POST", "/digests/x", &format!("short-{number}")), 100, 4);
    short.body = "prompt".to_string();
    let reply = short.send_on(&mut stream).await;
    record.line(&format!("client: {} is answered {}", short.attempt, reply.status));
    sleep(wait).await;
    let mut long =
        prompt(Caller::new("POST", "/digests/x", &attempt), LONG_PROMPT_TOKENS, 73);
    long.headers = long.headers.replace("X-Deadline-Ms: 5000", "X-Deadline-Ms: 15000");
    long.body = "x".repeat(BODY_BYTES);
    record.line(&format!(
        "client: {attempt} sends {BODY_BYTES} bytes on the same connection"
    ));
    let reply = long.send_on(&mut stream).await;
    let whole = if reply.complete { "whole" } else { "without a whole answer" };
    record.line(&format!("client: {attempt} ends with {} {whole}", reply.status));
    (attempt, reply.status, reply.complete)
}
