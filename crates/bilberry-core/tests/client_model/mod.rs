//! Clients of one entry in virtual time: a crowd beside ordinary ones.

use bilberry_core::ClientBudget;
use bilberry_core::ClientId;
use bilberry_core::ClientLimits;
use bilberry_core::ClientStage;
use bilberry_core::Growth;
use bilberry_core::UnixMs;
use bilberry_core::YieldOrder;

/// The length of a step.
const STEP_MS: u64 = 10;

/// The length of a replay.
const REPLAY_MS: u64 = 20_000;

/// The time after which a client of the crowd comes again.
const RETURN_MS: u64 = 500;

/// The time after which an incomplete request is refused.
const BODY_TIMEOUT_MS: u64 = 10_000;

/// How long a request is answered once it is whole.
const ANSWER_MS: u64 = 100;

/// The size of the segments in which bodies are charged.
const SEGMENT_BYTES: u64 = 16 * 1024;

/// The limits of an entry, small so that few clients fill it.
const LIMITS: ClientLimits = ClientLimits {
    memory_bytes: 4_000_000,
    reserved_bytes: 500_000,
    connection_bytes: 40_000,
    connections: 80,
    receive_buffer_bytes: 16_384,
};

/// What the clients of a crowd do.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum Crowd {
    /// Stop short of the end and stay.
    Stall,
    /// Send a part now and then, and never the end.
    Trickle,
    /// Stop short of the end, leave and come again.
    Churn,
}

/// A load.
#[derive(Debug, Copy, Clone)]
pub struct Load {
    /// What the crowd does.
    pub crowd: Crowd,
    /// The number of its clients.
    pub clients: usize,
    /// The size of their bodies.
    pub body_bytes: u64,
}

/// The shares of ordinary requests that were served, in percent.
#[derive(Debug, Copy, Clone, Default)]
pub struct Served {
    /// Of small requests.
    pub small: f64,
    /// Of large requests.
    pub large: f64,
    /// Of requests whose clients send slowly.
    pub slow: f64,
}

#[derive(Debug, Copy, Clone, PartialEq, Eq)]
enum Kind {
    Crowd(Crowd),
    Small,
    Large,
    Slow,
}

struct Client {
    kind: Kind,
    id: Option<ClientId>,
    body_bytes: u64,
    sent_bytes: u64,
    charged_bytes: u64,
    begun_ms: u64,
    whole_ms: Option<u64>,
}

impl Client {
    fn new(kind: Kind, now_ms: u64, crowd_bytes: u64) -> Self {
        let body_bytes = match kind {
            Kind::Crowd(_) => crowd_bytes,
            Kind::Small => 2_000,
            Kind::Large => 500_000,
            Kind::Slow => 50_000,
        };
        Self {
            kind,
            id: None,
            body_bytes,
            sent_bytes: 0,
            charged_bytes: 0,
            begun_ms: now_ms,
            whole_ms: None,
        }
    }

    /// Returns what the client has sent by the end of the next step.
    fn next_sent_bytes(&self) -> u64 {
        let step_bytes = match self.kind {
            Kind::Crowd(Crowd::Trickle) if self.sent_bytes >= self.body_bytes / 2 => 100,
            Kind::Crowd(_) => 20_000,
            Kind::Small => 2_000,
            Kind::Large => 20_000,
            Kind::Slow => 500,
        };
        let most_bytes = match self.kind {
            Kind::Crowd(_) => self.body_bytes - 1,
            _ => self.body_bytes,
        };
        (self.sent_bytes + step_bytes).min(most_bytes)
    }
}

/// What became of a client in a step.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
enum Step {
    Stays,
    Served,
    Refused,
    Leaves,
}

/// Replays a load under an order.
pub fn replay<O: YieldOrder>(order: O, load: Load) -> Served {
    let mut budget = ClientBudget::new(LIMITS, order);
    let crowd = Kind::Crowd(load.crowd);
    let mut clients: Vec<_> =
        (0..load.clients).map(|_| Client::new(crowd, 0, load.body_bytes)).collect();
    let mut counts = [(0_u32, 0_u32); 3];
    let mut now_ms = 0;
    while now_ms < REPLAY_MS {
        now_ms += STEP_MS;
        if now_ms % 20 == 0 {
            clients.push(Client::new(Kind::Small, now_ms, 0));
        }
        if now_ms % 1_000 == 0 {
            clients.push(Client::new(Kind::Large, now_ms, 0));
            clients.push(Client::new(Kind::Slow, now_ms, 0));
        }
        let mut next = Vec::new();
        for mut client in clients {
            let step = advance(&mut client, &mut budget, now_ms);
            let limits = budget.limits();
            assert!(budget.held_bytes() <= limits.memory_bytes);
            let at = match client.kind {
                Kind::Crowd(_) => None,
                Kind::Small => Some(0),
                Kind::Large => Some(1),
                Kind::Slow => Some(2),
            };
            if let (Some(at), Step::Served | Step::Refused) = (at, step) {
                counts[at].0 += u32::from(step == Step::Served);
                counts[at].1 += 1;
            }
            if step != Step::Stays
                && let Some(id) = client.id
            {
                budget.close(id);
            }
            match (step, client.kind) {
                (Step::Stays, _) => next.push(client),
                (_, Kind::Crowd(_)) => {
                    let begins_ms = now_ms + RETURN_MS;
                    next.push(Client::new(crowd, begins_ms, load.body_bytes));
                }
                _ => {}
            }
        }
        clients = next;
    }
    let percent = |(served, all): (u32, u32)| {
        (f64::from(served) / f64::from(all.max(1)) * 1_000.0).round() / 10.0
    };
    let [small, large, slow] = counts.map(percent);
    Served { small, large, slow }
}

fn advance<O: YieldOrder>(
    client: &mut Client,
    budget: &mut ClientBudget<O>,
    now_ms: u64,
) -> Step {
    let now = UnixMs(now_ms);
    if now_ms < client.begun_ms {
        return Step::Stays;
    }
    if let Some(whole_ms) = client.whole_ms {
        let is_answered = now_ms >= whole_ms + ANSWER_MS;
        return if is_answered { Step::Served } else { Step::Stays };
    }
    if now_ms >= client.begun_ms + BODY_TIMEOUT_MS {
        return Step::Refused;
    }
    let id = match client.id {
        Some(id) if budget.is_yielding(id) => return Step::Refused,
        Some(id) => id,
        None => match budget.open(now) {
            Growth::Granted(id) => {
                budget.set_stage(id, ClientStage::Body, now);
                client.id = Some(id);
                id
            }
            Growth::AwaitsRoom(_) => return Step::Stays,
            Growth::Refused => return Step::Refused,
        },
    };
    let sent_bytes = client.next_sent_bytes();
    let due_bytes = sent_bytes.next_multiple_of(SEGMENT_BYTES).min(client.body_bytes);
    if due_bytes > client.charged_bytes {
        match budget.grow(id, due_bytes - client.charged_bytes, now) {
            Growth::Granted(()) => client.charged_bytes = due_bytes,
            Growth::AwaitsRoom(_) => return Step::Stays,
            Growth::Refused => return Step::Refused,
        }
    }
    let has_stopped = sent_bytes == client.sent_bytes;
    client.sent_bytes = sent_bytes;
    match client.kind {
        Kind::Crowd(Crowd::Churn) if has_stopped => Step::Leaves,
        Kind::Crowd(_) => Step::Stays,
        _ if sent_bytes == client.body_bytes => {
            budget.set_stage(id, ClientStage::Whole, now);
            client.whole_ms = Some(now_ms);
            Step::Stays
        }
        _ => Step::Stays,
    }
}
