//! The origins of streams that a process holds.

use std::collections::BTreeSet;
use std::collections::HashMap;

use super::OriginAnswer;
use super::SoftwareId;
use super::StreamId;
use super::StreamOrigin;
use crate::RequestKey;
use crate::UnixMs;

/// The origins of streams, bounded in number and age.
///
/// A record never changes its version: a late or repeated message agrees with it. If an
/// attempt's name is used again and its stream begins at another version, both are
/// recorded, and neither is returned.
#[derive(Debug)]
pub struct OriginLedger {
    capacity: usize,
    by_request: HashMap<RequestKey, Vec<StreamOrigin>>,
    by_expiry: BTreeSet<(UnixMs, StreamId)>,
    by_customer: HashMap<u32, BTreeSet<(UnixMs, StreamId)>>,
}

impl OriginLedger {
    /// Creates an empty ledger for at most `capacity` streams.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            by_request: HashMap::new(),
            by_expiry: BTreeSet::new(),
            by_customer: HashMap::new(),
        }
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.by_expiry.len()
    }

    /// Reports whether it holds no stream.
    pub fn is_empty(&self) -> bool {
        self.by_expiry.is_empty()
    }

    /// Adds an origin; returns whether anything has changed.
    pub fn record(&mut self, origin: StreamOrigin, now: UnixMs) -> bool {
        self.prune(now);
        if origin.expires_at.has_passed_at(now) {
            return false;
        }
        match self.remove(origin.stream) {
            Some(known) => {
                let agreed = known.software.filter(|_| known.software == origin.software);
                let expires_at = known.expires_at.max(origin.expires_at);
                let merged = StreamOrigin { software: agreed, expires_at, ..known };
                self.insert(merged);
                merged != known
            }
            None => {
                if self.len() >= self.capacity {
                    self.evict();
                }
                self.insert(origin);
                true
            }
        }
    }

    /// Returns what is known of a stream.
    ///
    /// Without the attempt that began it, all streams of the request must agree.
    pub fn look_up(
        &mut self,
        request: RequestKey,
        attempt: Option<u64>,
        now: UnixMs,
    ) -> OriginAnswer {
        self.prune(now);
        let known = self.by_request.get(&request).map_or(&[][..], Vec::as_slice);
        let meant = known.iter().filter(|origin| {
            attempt.is_none_or(|attempt| attempt == origin.stream.attempt)
        });
        let answers = meant.map(|origin| match origin.software {
            Some(software) => OriginAnswer::Known(software),
            None => OriginAnswer::Conflicting,
        });
        answers.reduce(OriginAnswer::merge).unwrap_or(OriginAnswer::Unknown)
    }

    /// Returns all origins.
    pub fn origins(&mut self, now: UnixMs) -> impl Iterator<Item = &StreamOrigin> {
        self.prune(now);
        self.by_request.values().flatten()
    }

    /// Returns the origins of a request's streams, possibly with expired ones.
    pub fn origins_of(&self, request: RequestKey) -> impl Iterator<Item = &StreamOrigin> {
        self.by_request.get(&request).into_iter().flatten()
    }

    /// Reports whether it holds the origin of a stream.
    pub fn contains(&self, stream: StreamId) -> bool {
        self.origins_of(stream.request).any(|origin| origin.stream == stream)
    }

    /// Removes what has expired.
    fn prune(&mut self, now: UnixMs) {
        while let Some(&(expires_at, stream)) = self.by_expiry.first()
            && expires_at.has_passed_at(now)
        {
            self.remove(stream);
        }
    }

    /// Removes the stream that expires first, of the customer with the most streams.
    fn evict(&mut self) {
        let largest = self.by_customer.values().max_by_key(|streams| streams.len());
        let first = largest.and_then(|streams| streams.first().copied());
        if let Some((_, stream)) = first {
            self.remove(stream);
        }
    }

    fn insert(&mut self, origin: StreamOrigin) {
        let at = (origin.expires_at, origin.stream);
        self.by_expiry.insert(at);
        self.by_customer.entry(origin.customer).or_default().insert(at);
        self.by_request.entry(origin.stream.request).or_default().push(origin);
    }

    fn remove(&mut self, stream: StreamId) -> Option<StreamOrigin> {
        let known = self.by_request.get_mut(&stream.request)?;
        let index = known.iter().position(|origin| origin.stream == stream)?;
        let origin = known.swap_remove(index);
        if known.is_empty() {
            self.by_request.remove(&stream.request);
        }
        let at = (origin.expires_at, stream);
        self.by_expiry.remove(&at);
        if let Some(streams) = self.by_customer.get_mut(&origin.customer) {
            streams.remove(&at);
            if streams.is_empty() {
                self.by_customer.remove(&origin.customer);
            }
        }
        Some(origin)
    }
}

impl OriginAnswer {
    /// Combines the answers for two streams of which one is meant, or of two sidecars.
    pub(super) fn merge(self, other: Self) -> Self {
        match (self, other) {
            (Self::Unknown, known) | (known, Self::Unknown) => known,
            (Self::Known(a), Self::Known(b)) if a == b => self,
            _ => Self::Conflicting,
        }
    }
}

impl SoftwareId {
    /// Returns the number for a message, in which zero stands for an uncertain version.
    pub fn to_number(software: Option<Self>) -> u64 {
        software.map_or(0, |software| software.0)
    }

    /// Returns the version for the number in a message.
    pub fn from_number(number: u64) -> Option<Self> {
        (number != 0).then_some(Self(number))
    }
}
