//! Measures the cost of comparing a prompt with all engines of a service.
//!
//! Run it with `cargo run --release --example prompt_keys -p bilberry-gateway`.
//! Compares hashing the salt for each part and engine with computing the keys once per
//! request.

use std::hint::black_box;
use std::time::Instant;

use bilberry_core::StorePosition;
use bilberry_core::UnixMs;
use bilberry_core::part_key;
use bilberry_gateway::Listing;
use bilberry_gateway::PromptKeys;
use bilberry_gateway::PromptPart;
use bilberry_gateway::Upstream;

/// The numbers of engines: those of the two current deployments, and a large one.
const ENGINES: [u16; 3] = [9, 20, 200];

/// The number of measurements of each variant; the median is printed.
const ROUNDS: usize = 51;

/// The number of requests in one round.
const REQUESTS: u32 = 1_000;

/// The salt of an isolated customer's prompts.
const SALT: &str = "only-brand-identity/mark-writer/17";

/// The shared parts of a prompt: style notes and a client's brief.
const PARTS: [PromptPart; 2] = [
    PromptPart { id: 0x5c1e_07a2, tokens: 2_520 },
    PromptPart { id: 0x91bd_3f06, tokens: 3_780 },
];

fn main() {
    let now = UnixMs(1_000_000);
    for count in ENGINES {
        let engines: Vec<Upstream> = (1..=count).map(engine).collect();
        for engine in &engines {
            for part in PARTS {
                engine.expect_part(part_key(SALT, part.id), now);
            }
        }
        let each_time_ns = median_ns(|| hash_each_time(&engines, now));
        let once_ns = median_ns(|| hash_once(&engines, now));
        println!(
            "{count} engines, {} parts held by all: {each_time_ns:.0} ns a request \
             hashed each time, {once_ns:.0} ns hashed once",
            PARTS.len()
        );
    }
}

fn hash_each_time(engines: &[Upstream], now: UnixMs) -> u64 {
    let salt = black_box(SALT).to_string();
    let held = |engine: &Upstream| -> u64 {
        let held =
            PARTS.iter().take_while(|part| engine.holds(part_key(&salt, part.id), now));
        held.map(|part| part.tokens).sum()
    };
    engines.iter().map(held).sum()
}

fn hash_once(engines: &[Upstream], now: UnixMs) -> u64 {
    let keys = PromptKeys::new(black_box(SALT).to_string(), &PARTS);
    engines.iter().map(|engine| keys.cached_tokens(engine, now)).sum()
}

fn median_ns(compare: impl Fn() -> u64) -> f64 {
    let round = |_| {
        let began = Instant::now();
        for _ in 0..REQUESTS {
            black_box(compare());
        }
        began.elapsed().as_nanos() as f64 / f64::from(REQUESTS)
    };
    let mut rounds: Vec<f64> = (0..ROUNDS).map(round).collect();
    rounds.sort_by(f64::total_cmp);
    rounds[ROUNDS / 2]
}

fn engine(number: u16) -> Upstream {
    Upstream::new(&Listing {
        id: format!("engine-{number}").into(),
        pool: "llm".into(),
        address: ([127, 0, 0, 1], number).into(),
        data_centre: "hall-a".into(),
        slots: 48,
        leaving: false,
        models: Vec::new(),
        listed_at: StorePosition { era: None, revision: 1 },
        software: None,
        incarnation: None,
    })
}
