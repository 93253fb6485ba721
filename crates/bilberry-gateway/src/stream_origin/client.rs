//! The sidecars that hold the origins of streams, as known to this entry.

use std::collections::HashMap;
use std::sync::Mutex;

use bilberry_core::Clock;
use bilberry_core::ORIGIN_OWNERS;
use bilberry_core::OriginAnswer;
use bilberry_core::OriginRecords;
use bilberry_core::OwnerRanking;
use bilberry_core::RequestKey;
use bilberry_core::StreamId;
use bilberry_core::StreamOrigin;
use bilberry_core::UnixMs;
use bilberry_wire::Body;
use bilberry_wire::Frame;
use bilberry_wire::OriginNotice;
use bilberry_wire::OriginQuery;
use bilberry_wire::OriginReply;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// The capacity of the queue of messages to one sidecar.
///
/// After the loss of a sidecar, the origins of many streams are passed on at once.
pub(crate) const ORIGIN_QUEUE_CAPACITY: usize = 512;

/// The largest number of this entry's streams whose origins are held.
const RECORDS_CAPACITY: usize = 8_192;

/// How many sidecars are asked about a stream.
///
/// Twice as many as hold its origin, as the entry that recorded it may have known other
/// sidecars.
const ASKED_SIDECARS: usize = 2 * ORIGIN_OWNERS;

/// The sidecars in contact that hold origins, and the origins that this entry recorded.
#[derive(Debug)]
pub(crate) struct OriginClient {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    ranking: OwnerRanking,
    /// By the sidecar's seed.
    links: HashMap<u64, mpsc::Sender<OriginMessage>>,
    records: OriginRecords,
    /// The sidecars that came into contact since the origins were last completed.
    added: Vec<u64>,
    /// Whether a sidecar may lack an origin that it should hold.
    is_incomplete: bool,
}

/// A message to a sidecar that holds origins.
#[derive(Debug)]
pub(crate) enum OriginMessage {
    /// Records an origin.
    Notice(OriginNotice),
    /// Asks for the origin of a stream.
    Query {
        /// The query.
        query: OriginQuery,
        /// The channel for the reply.
        reply: oneshot::Sender<OriginReply>,
    },
}

/// The questions to sidecars about one stream.
#[derive(Debug)]
pub(crate) struct PendingAnswers {
    /// What this entry knows itself.
    pub(crate) own: OriginAnswer,
    /// The replies, those of the owners first.
    pub(crate) replies: Vec<oneshot::Receiver<OriginReply>>,
    /// Whether a sidecar that should hold the origin is not in contact.
    pub(crate) lacks_owner: bool,
}

/// The registration of a connected sidecar, which is removed on drop.
pub(crate) struct OriginRegistration<'a, C: Clock> {
    client: &'a OriginClient,
    clock: &'a C,
    seed: u64,
    messages: mpsc::Sender<OriginMessage>,
}

impl OriginClient {
    /// Creates a client without contact.
    pub(crate) fn new() -> Self {
        let state = State {
            ranking: OwnerRanking::default(),
            links: HashMap::new(),
            records: OriginRecords::new(RECORDS_CAPACITY),
            added: Vec::new(),
            is_incomplete: false,
        };
        Self { state: Mutex::new(state) }
    }

    /// Registers a connected sidecar.
    pub(crate) fn register<'a, C: Clock>(
        &'a self,
        seed: u64,
        messages: mpsc::Sender<OriginMessage>,
        clock: &'a C,
    ) -> OriginRegistration<'a, C> {
        let mut state = self.state.lock().unwrap();
        state.ranking.add(seed);
        state.links.insert(seed, messages.clone());
        state.records.forget_sidecar(seed);
        state.added.push(seed);
        state.is_incomplete = true;
        OriginRegistration { client: self, clock, seed, messages }
    }

    /// Records a listed sidecar before the first contact with it.
    pub(crate) fn expect(&self, seed: u64, now: UnixMs) {
        self.state.lock().unwrap().ranking.expect(seed, now);
    }

    /// Records the origin of a stream, here and at its owners.
    pub(crate) fn record(&self, origin: StreamOrigin, now: UnixMs) {
        let mut state = self.state.lock().unwrap();
        state.records.record(origin, now);
        let State { records, ranking, .. } = &mut *state;
        let missing = records.missing(origin.stream, ranking, now);
        state.send(missing, now);
    }

    /// Sends origins to sidecars that have become their owners.
    pub(crate) fn complete(&self, now: UnixMs) {
        let mut state = self.state.lock().unwrap();
        if std::mem::take(&mut state.is_incomplete) {
            let added = std::mem::take(&mut state.added);
            let State { records, ranking, .. } = &mut *state;
            let missing = records.all_missing(ranking, &added, now);
            state.send(missing, now);
        }
    }

    /// Asks the sidecars that may hold the origin of a stream.
    pub(crate) fn ask(
        &self,
        request: RequestKey,
        attempt: Option<u64>,
        now: UnixMs,
    ) -> PendingAnswers {
        let mut state = self.state.lock().unwrap();
        let own = state.records.ledger().look_up(request, attempt, now);
        let seeds = state.ranking.live_owners(request.0, ASKED_SIDECARS, now);
        let query = OriginQuery { request: request.0, attempt };
        let links = seeds.iter().filter_map(|seed| state.links.get(seed));
        let asked = links.filter_map(|link| {
            let (reply, response) = oneshot::channel();
            let message = OriginMessage::Query { query, reply };
            link.try_send(message).is_ok().then_some(response)
        });
        let replies = asked.collect();
        let lacks_owner = state.ranking.lacks_owner(request.0, ORIGIN_OWNERS, now);
        PendingAnswers { own, replies, lacks_owner }
    }
}

impl State {
    fn send(&mut self, missing: Vec<(u64, StreamOrigin)>, now: UnixMs) {
        for (seed, origin) in missing {
            let message = OriginMessage::Notice(OriginNotice::new(&origin, now));
            let sent = self.links.get(&seed).map(|link| link.try_send(message));
            match sent {
                Some(Ok(())) => self.records.mark_told(origin.stream, seed),
                _ => {
                    self.records.mark_missed(origin.stream);
                    self.is_incomplete = true;
                }
            }
        }
    }
}

impl<C: Clock> Drop for OriginRegistration<'_, C> {
    fn drop(&mut self) {
        let now = self.clock.now();
        let mut state = self.client.state.lock().unwrap();
        // A restarted server is listed under two identities for a while, with one seed.
        let link = state.links.get(&self.seed);
        if link.is_some_and(|link| link.same_channel(&self.messages)) {
            state.ranking.remove(self.seed, now);
            state.links.remove(&self.seed);
            state.records.forget_sidecar(self.seed);
            state.is_incomplete = true;
        }
    }
}

/// The queries that a sidecar has not answered yet, by call id.
#[derive(Debug, Default)]
pub(crate) struct PendingOriginQueries {
    last_call: u64,
    replies: HashMap<u64, oneshot::Sender<OriginReply>>,
}

impl PendingOriginQueries {
    /// Registers a message and returns the frame that sends it.
    pub(crate) fn register(&mut self, message: OriginMessage) -> Frame {
        match message {
            OriginMessage::Notice(notice) => {
                Frame { body: Some(Body::OriginNotice(notice)), ..Frame::default() }
            }
            OriginMessage::Query { query, reply } => {
                // Queries whose senders have given up are dropped.
                self.replies.retain(|_, reply| !reply.is_closed());
                self.last_call += 1;
                self.replies.insert(self.last_call, reply);
                let body = Some(Body::OriginQuery(query));
                Frame { call: self.last_call, body, ..Frame::default() }
            }
        }
    }

    /// Passes a reply to the sender of its query; a late one is ignored.
    pub(crate) fn resolve(&mut self, call: u64, reply: OriginReply) {
        if let Some(waiting) = self.replies.remove(&call) {
            let _ = waiting.send(reply);
        }
    }
}

/// Returns the stream that an attempt of a request began.
pub(crate) fn stream_id(request: RequestKey, attempt: &str) -> StreamId {
    StreamId { request, attempt: attempt_hash(attempt) }
}

/// Returns the hash of an attempt's name.
pub(crate) fn attempt_hash(attempt: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(attempt.as_bytes())
}
