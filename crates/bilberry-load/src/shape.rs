//! The two users' traffic: nested prefixes, a few hot ones, few large customers.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The traffic of one user.
#[derive(Debug, Clone)]
pub struct Shape {
    /// The user, which is also the name of its folder of examples.
    pub name: &'static str,
    /// The model.
    pub model: &'static str,
    /// The customers with their shares of the traffic.
    pub customers: &'static [(&'static str, f64)],
    /// The bytes of the level that all requests of a customer begin with.
    pub root_bytes: usize,
    /// How many documents of the second level a customer has.
    pub documents: usize,
    /// The bytes of a document, least and most.
    pub document_bytes: (usize, usize),
    /// How strongly the popular documents are preferred.
    pub skew: f64,
    /// The bytes of a question.
    pub question_bytes: (usize, usize),
    /// The tokens of an answer.
    pub answer_tokens: (u32, u32),
}

/// One request and when it arrives.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When it arrives, from the start.
    pub at_us: u64,
    /// The customer.
    pub customer: &'static str,
    /// The prompt.
    pub prompt: String,
    /// The tokens of the answer.
    pub tokens: u32,
}

/// Hsinchu: style notes, a client's brief, a question.
const HSINCHU: Shape = Shape {
    name: "hsinchu",
    model: "mark-writer",
    customers: &[
        ("brand-identity", 0.34),
        ("tea-houses", 0.26),
        ("night-market", 0.10),
        ("small-makers", 0.08),
        ("shopfronts", 0.07),
        ("packaging", 0.06),
        ("signage", 0.05),
        ("account-staff", 0.04),
    ],
    root_bytes: 8 * 1024,
    documents: 40,
    document_bytes: (4 * 1024, 16 * 1024),
    skew: 0.9,
    question_bytes: (120, 600),
    answer_tokens: (4, 40),
};

/// Gezeitenstrom: a member's context, a bulletin, a question.
const GEZEITENSTROM: Shape = Shape {
    name: "gezeitenstrom",
    model: "tide-outlook",
    customers: &[
        ("nordtide", 0.30),
        ("fjordstrom", 0.24),
        ("ebbe-energie", 0.12),
        ("flutwerk", 0.10),
        ("priel-power", 0.08),
        ("wattkraft", 0.06),
        ("sundwerke", 0.06),
        ("deichnetz", 0.04),
    ],
    root_bytes: 12 * 1024,
    documents: 60,
    document_bytes: (6 * 1024, 20 * 1024),
    skew: 1.1,
    question_bytes: (120, 400),
    answer_tokens: (8, 48),
};

impl Shape {
    /// Returns the shape of a user by name.
    pub fn named(name: &str) -> Option<Self> {
        [HSINCHU, GEZEITENSTROM].into_iter().find(|shape| shape.name == name)
    }

    /// Draws arrivals at `rate_per_s` for `duration_ms`, the same for one seed.
    ///
    /// Arrivals follow a Poisson process and don't wait for answers, so a slow
    /// system is offered as much as a fast one.
    pub fn arrivals(&self, seed: u64, rate_per_s: f64, duration_ms: u64) -> Vec<Arrival> {
        let mut random = StdRng::seed_from_u64(seed);
        let mut at_us = 0.0;
        let mut arrivals = Vec::new();
        loop {
            let unit: f64 = random.random_range(f64::EPSILON..1.0);
            at_us -= unit.ln() / rate_per_s * 1e6;
            if at_us > duration_ms as f64 * 1e3 {
                return arrivals;
            }
            arrivals.push(self.draw(&mut random, at_us as u64));
        }
    }

    /// Returns the prompt of a customer's question on one of its documents.
    pub fn prompt(&self, customer: &str, document: usize, question: &str) -> String {
        let root = filler(&format!("{customer} notes"), self.root_bytes);
        let (least, most) = self.document_bytes;
        let name = format!("{customer} document {document}");
        let spread = fingerprint(&name) as usize % (most - least);
        let document = filler(&name, least + spread);
        format!("{root}{document}{question}")
    }

    fn draw(&self, random: &mut StdRng, at_us: u64) -> Arrival {
        let customer = self.draw_customer(random);
        let document = self.draw_document(random);
        let (least, most) = self.question_bytes;
        let length = random.random_range(least..most);
        let question = filler(&format!("question {}", random.random::<u64>()), length);
        let (least, most) = self.answer_tokens;
        Arrival {
            at_us,
            customer,
            prompt: self.prompt(customer, document, &question),
            tokens: random.random_range(least..most),
        }
    }

    fn draw_customer(&self, random: &mut StdRng) -> &'static str {
        let mut unit: f64 = random.random();
        for (name, share) in self.customers {
            if unit < *share {
                return name;
            }
            unit -= share;
        }
        self.customers[0].0
    }

    fn draw_document(&self, random: &mut StdRng) -> usize {
        let weights = (1..=self.documents).map(|rank| (rank as f64).powf(-self.skew));
        let total: f64 = weights.clone().sum();
        let mut unit = random.random::<f64>() * total;
        for (at, weight) in weights.enumerate() {
            if unit < weight {
                return at;
            }
            unit -= weight;
        }
        0
    }
}

/// Returns text of a length that depends on `name` alone.
fn filler(name: &str, bytes: usize) -> String {
    let mut text = String::with_capacity(bytes + 32);
    let mut word = fingerprint(name);
    while text.len() < bytes {
        word = word.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695);
        text.push_str(&format!("{:012x} ", word >> 16));
    }
    text.truncate(bytes);
    text
}

fn fingerprint(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    })
}
