//! The sidecars that keep customer quotas, as known to this entry.

use std::collections::HashMap;
use std::sync::Mutex;

use bilberry_core::ABSENCE_LIMIT_MS;
use bilberry_core::Clock;
use bilberry_core::IsolatedQuotas;
use bilberry_core::Name;
use bilberry_core::OwnerRanking;
use bilberry_core::OwnerReply;
use bilberry_core::QuotaDecision;
use bilberry_core::RankedOwner;
use bilberry_core::UnixMs;
use bilberry_wire::LimitNotice;
use bilberry_wire::QuotaRefund;
use bilberry_wire::QuotaRequest;
use bilberry_wire::QuotaResponse;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// The capacity of the queue of questions to one sidecar.
pub(crate) const QUOTA_QUEUE_CAPACITY: usize = 256;

/// The sidecars in contact that keep quotas, and the entry's state without them.
#[derive(Debug)]
pub(crate) struct QuotaClient {
    pub(crate) state: Mutex<QuotaState>,
}

#[derive(Debug)]
pub(crate) struct QuotaState {
    ranking: OwnerRanking,
    /// By the sidecar's seed.
    pub(crate) links: HashMap<u64, OwnerLink>,
    pub(crate) isolated: IsolatedQuotas,
    pub(crate) entries: KnownEntries,
    contact_lost_at: Option<UnixMs>,
}

/// A connected sidecar that keeps quotas.
#[derive(Debug)]
pub(crate) struct OwnerLink {
    pub(crate) upstream: Name,
    pub(crate) questions: mpsc::Sender<QuotaQuestion>,
    pub(crate) silent_until: UnixMs,
}

/// The largest number of entries that an owner told recently.
#[derive(Debug, Default)]
pub(crate) struct KnownEntries {
    count: usize,
    told_at: UnixMs,
}

/// A message to an owner.
#[derive(Debug)]
pub(crate) enum QuotaQuestion {
    /// Charges a request.
    Charge {
        /// The charge.
        request: QuotaRequest,
        /// The channel for the decision.
        reply: oneshot::Sender<QuotaResponse>,
    },
    /// Takes back a charge.
    Refund(QuotaRefund),
    /// Reports the request limit of a server.
    Limit(LimitNotice),
}

/// The charge of a request at its owners.
#[derive(Debug, Clone)]
pub(crate) struct ChargedQuota {
    customer: Name,
    pub(crate) cost: f64,
    owners: Vec<u64>,
}

/// The registration of a connected sidecar, which is removed on drop.
pub(crate) struct QuotaRegistration<'a, C: Clock> {
    client: &'a QuotaClient,
    clock: &'a C,
    seed: u64,
    questions: mpsc::Sender<QuotaQuestion>,
}

/// A reply and the owner that sent it.
pub(crate) struct OwnerAnswer {
    pub(crate) seed: u64,
    pub(crate) upstream: Name,
    pub(crate) response: QuotaResponse,
}

/// The answers of a request's owners.
///
/// Their charges are refunded on drop, as when the caller leaves before the decision.
pub(crate) struct OwnerAnswers<'a> {
    client: &'a QuotaClient,
    charged: ChargedQuota,
    answers: Vec<OwnerAnswer>,
}

impl QuotaClient {
    /// Creates a client without contact.
    pub(crate) fn new(now: UnixMs) -> Self {
        let state = QuotaState {
            ranking: OwnerRanking::default(),
            links: HashMap::new(),
            isolated: IsolatedQuotas::new(now),
            entries: KnownEntries::default(),
            contact_lost_at: None,
        };
        Self { state: Mutex::new(state) }
    }

    /// Registers a connected sidecar.
    pub(crate) fn register<'a, C: Clock>(
        &'a self,
        upstream: &Name,
        seed: u64,
        questions: mpsc::Sender<QuotaQuestion>,
        clock: &'a C,
    ) -> QuotaRegistration<'a, C> {
        let mut state = self.state.lock().unwrap();
        state.ranking.add(seed);
        let link = OwnerLink {
            upstream: upstream.clone(),
            questions: questions.clone(),
            silent_until: UnixMs::default(),
        };
        state.links.insert(seed, link);
        QuotaRegistration { client: self, clock, seed, questions }
    }

    /// Records a listed sidecar before the first contact with it.
    pub(crate) fn expect(&self, seed: u64, now: UnixMs) {
        self.state.lock().unwrap().ranking.expect(seed, now);
    }

    /// Records a message from a sidecar that keeps quotas.
    pub(crate) fn record_contact(&self, now: UnixMs) {
        self.state.lock().unwrap().isolated.record_contact(now);
    }

    /// Records that a sidecar is not to be asked until `until`, as its host is silent.
    pub(crate) fn record_silent(&self, seed: u64, until: UnixMs) {
        if let Some(link) = self.state.lock().unwrap().links.get_mut(&seed) {
            link.silent_until = link.silent_until.max(until);
        }
    }

    /// Records that a sidecar replied, so that it is asked again at once.
    ///
    /// Entries that asked other owners for longer than necessary would double the rate.
    pub(crate) fn record_late_reply(&self, seed: u64) {
        if let Some(link) = self.state.lock().unwrap().links.get_mut(&seed) {
            link.silent_until = UnixMs::default();
        }
    }

    /// Takes back the charge of a request that did not run.
    pub(crate) fn refund(&self, charged: &ChargedQuota) {
        let state = self.state.lock().unwrap();
        let owners = charged.owners.iter().filter_map(|seed| state.links.get(seed));
        for owner in owners {
            let customer = charged.customer.to_string();
            let refund = QuotaRefund { customer, cost: charged.cost };
            // A refund that is lost leaves less to the customer, never more.
            let _ = owner.questions.try_send(QuotaQuestion::Refund(refund));
        }
    }
}

impl QuotaState {
    /// Returns the owners of a customer that are expected to reply.
    ///
    /// Those in `answered` are left out.
    pub(crate) fn owners(
        &self,
        customer: u64,
        answered: &[u64],
        now: UnixMs,
    ) -> Vec<RankedOwner> {
        let links = self.links.iter();
        let silent = links.filter(|(_, link)| !link.silent_until.has_passed_at(now));
        let excluded = silent.map(|(&seed, _)| seed).chain(answered.iter().copied());
        self.ranking.owners(customer, &excluded.collect::<Vec<_>>(), now)
    }

    /// Returns since when no owner has replied; `now` if that is not known.
    pub(crate) fn contact_lost_at(&mut self, now: UnixMs) -> UnixMs {
        *self.contact_lost_at.get_or_insert(now)
    }

    pub(crate) fn record_answer(&mut self, answer: &OwnerAnswer, now: UnixMs) {
        self.isolated.record_contact(now);
        self.contact_lost_at = None;
        let entries = answer.response.entries as usize;
        if entries >= self.entries.current(now) {
            self.entries = KnownEntries { count: entries, told_at: now };
        }
    }
}

impl<'a> OwnerAnswers<'a> {
    /// Creates an empty set for a request.
    pub(crate) fn new(client: &'a QuotaClient, request: &QuotaRequest) -> Self {
        let customer = request.customer.as_str().into();
        let charged = ChargedQuota { customer, cost: request.cost, owners: Vec::new() };
        Self { client, charged, answers: Vec::new() }
    }

    /// Adds the answer of an owner.
    pub(crate) fn add(&mut self, answer: OwnerAnswer) {
        if answer.response.admitted {
            self.charged.owners.push(answer.seed);
        }
        self.answers.push(answer);
    }

    /// Returns the cost of the request, in units.
    pub(crate) fn cost(&self) -> f64 {
        self.charged.cost
    }

    /// Returns the answers so far.
    pub(crate) fn get(&self) -> &[OwnerAnswer] {
        &self.answers
    }

    /// Returns the charge, which the caller has to refund if the request does not run.
    pub(crate) fn into_charge(mut self) -> ChargedQuota {
        let owners = std::mem::take(&mut self.charged.owners);
        ChargedQuota { owners, ..self.charged.clone() }
    }
}

impl Drop for OwnerAnswers<'_> {
    fn drop(&mut self) {
        self.client.refund(&self.charged);
    }
}

impl KnownEntries {
    pub(crate) fn current(&self, now: UnixMs) -> usize {
        match now.ms_since(self.told_at) < ABSENCE_LIMIT_MS {
            true => self.count,
            false => 0,
        }
    }
}

impl<C: Clock> Drop for QuotaRegistration<'_, C> {
    fn drop(&mut self) {
        let now = self.clock.now();
        let mut state = self.client.state.lock().unwrap();
        // A restarted server is listed under two identities for a while, with one seed.
        let link = state.links.get(&self.seed);
        if link.is_some_and(|link| link.questions.same_channel(&self.questions)) {
            state.ranking.remove(self.seed, now);
            state.links.remove(&self.seed);
        }
    }
}

impl OwnerAnswer {
    /// Returns the reply as the decision uses it.
    pub(crate) fn reply(&self) -> OwnerReply {
        let QuotaResponse { admitted, wait_ms, known_for_ms, .. } = self.response;
        let decision = match admitted {
            true => QuotaDecision::Admitted,
            false => QuotaDecision::Denied { wait_ms },
        };
        OwnerReply { decision, known_for_ms }
    }
}
