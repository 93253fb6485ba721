//! `bilberry-demo`: the whole system on loopback, shown at work.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bilberry_config::Folder;
use bilberry_load::Caller;
use bilberry_load::Fleet;
use bilberry_load::FleetError;
use bilberry_load::FleetPlan;
use bilberry_load::Shape;
use bilberry_standins::EngineTraits;
use gumdrop::Options;

/// How many questions each user asks.
const QUESTIONS: usize = 8;

/// How many tokens an answer of the demo has.
const TOKENS: u32 = 12;

/// Shows bilberrypaddle at work on loopback and ends by itself.
#[derive(Debug, Options)]
struct Arguments {
    /// print this help
    help: bool,
    /// the folder that holds the example configurations
    #[options(default = "examples", meta = "FOLDER")]
    examples: PathBuf,
    /// leave the system up and print what to try
    #[options(no_short)]
    keep: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match run(&arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bilberry-demo: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(arguments: &Arguments) -> Result<(), FleetError> {
    let shapes: Vec<_> =
        ["hsinchu", "gezeitenstrom"].into_iter().filter_map(Shape::named).collect();
    let mut folders = Vec::new();
    for shape in &shapes {
        let path = arguments.examples.join(shape.name);
        folders.push(Folder::read(&path).map_err(|error| error.to_string())?);
    }
    let port = if arguments.keep { 8080 } else { 0 };
    let fleet = Fleet::start(FleetPlan {
        folders,
        entries: 2,
        traits: EngineTraits::default(),
        processes: false,
        exact: false,
        peers: String::new(),
        callers: SocketAddr::from(([127, 0, 0, 1], port)),
    })
    .await?;
    println!(
        "2 entries, {} sidecars, {} engines and {} servers are up",
        fleet.sidecars.len(),
        fleet.engines.len(),
        fleet.services.len()
    );
    let mut last = String::new();
    for shape in &shapes {
        last = ask_questions(&fleet, shape).await;
    }
    show_timeline(&fleet, &last).await?;
    if arguments.keep {
        print_what_to_try(&fleet);
        std::future::pending::<()>().await;
    }
    Ok(())
}

/// Asks a user's questions; returns the name of the last request.
async fn ask_questions(fleet: &Fleet, shape: &Shape) -> String {
    let caller = Caller::new();
    let customer = shape.customers[0].0;
    let (mut prompt_tokens, mut cached_tokens) = (0, 0);
    let mut last = String::new();
    println!("\n{customer} asks about two documents, behind one entry after the other:");
    for at in 0..QUESTIONS {
        let question = format!("Question {at}: yes or no?");
        let prompt = shape.prompt(customer, at % 2, &question);
        let key = format!("key-{customer}");
        let entry = fleet.callers(at);
        let outcome = caller.complete(entry, &key, shape.model, &prompt, TOKENS).await;
        println!(
            "  {question} ->{}  ({} ms to the first token, {} of {} tokens cached)",
            outcome.text,
            outcome.ttft.as_millis(),
            outcome.cached_tokens,
            outcome.prompt_tokens
        );
        prompt_tokens += outcome.prompt_tokens;
        cached_tokens += outcome.cached_tokens;
        last = outcome.request;
    }
    let ratio = cached_tokens as f64 / prompt_tokens.max(1) as f64;
    println!("  hit ratio of {}: {ratio:.2}", shape.name);
    last
}

async fn show_timeline(fleet: &Fleet, request: &str) -> Result<(), FleetError> {
    let path = format!("/v1/timeline/{request}");
    let events = fleet.admin("GET", &path, String::new()).await?;
    println!("\nThe time line of request {request} over all processes:");
    for event in events.as_array().into_iter().flatten() {
        let field = |name: &str| event[name].as_str().unwrap_or_default().to_string();
        println!("  {:22} {:16} {}", field("process"), field("what"), field("detail"));
    }
    Ok(())
}

fn print_what_to_try(fleet: &Fleet) {
    let callers = fleet.callers(0);
    let administration = fleet.administration();
    println!(
        "\nThe system stays up until you press Ctrl-C. Try:\n\n\
         curl -N http://{callers}/v1/chat/completions \\\n  \
         -H 'Authorization: Bearer key-brand-identity' \\\n  \
         -d '{{\"model\":\"mark-writer\",\"stream\":true,\"messages\":\
         [{{\"role\":\"user\",\"content\":\"Is this mark good?\"}}]}}'\n\n\
         curl http://{callers}/services/portfolio/proofs \\\n  \
         -H 'Authorization: Bearer key-brand-identity' \\\n  \
         -H 'Idempotency-Key: proof-1' -d 'the proof'\n\n\
         BILBERRY_TOKEN=operator-token cargo run --release --locked --bin bilberryctl -- \
         --address {administration} status"
    );
}
