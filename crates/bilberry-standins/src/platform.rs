//! A stand-in for the platform's object API and host list.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use bilberry_platform::HostEntry;
use bilberry_platform::Listing;
use bilberry_platform::Object;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::Instant;

/// The faults of the platform.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Answers every call with 503.
    pub down: bool,
    /// Never answers.
    pub hang: bool,
    /// Breaks off the answers of so many writes after they took effect.
    pub lose_answers: u64,
    /// Breaks off answers only of keys with this prefix.
    pub lose_prefix: String,
    /// Holds each call back.
    pub delay_ms: u64,
}

/// The calls that the platform counted; a waiting watch is one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformCounters {
    /// Reads of one object.
    pub reads: u64,
    /// Writes and deletions.
    pub writes: u64,
    /// Listings.
    pub lists: u64,
    /// Watches.
    pub watches: u64,
    /// Reads of the host list.
    pub hosts: u64,
}

/// The position of an empty store; a watch from zero asks for everything.
const FIRST_POSITION: u64 = 1;

/// A stand-in for the platform.
#[derive(Debug)]
pub struct PlatformStandin {
    pub(crate) store: Mutex<Store>,
    pub(crate) changed: watch::Sender<u64>,
}

#[derive(Debug)]
pub(crate) struct Store {
    pub objects: BTreeMap<String, Object>,
    pub position: u64,
    pub faults: PlatformFaults,
    pub counters: PlatformCounters,
    pub hosts: Vec<(Instant, Vec<HostEntry>)>,
    pub copy: (BTreeMap<String, Object>, u64),
}

impl Default for Store {
    fn default() -> Self {
        Self {
            objects: BTreeMap::new(),
            position: FIRST_POSITION,
            faults: PlatformFaults::default(),
            counters: PlatformCounters::default(),
            hosts: Vec::new(),
            copy: (BTreeMap::new(), FIRST_POSITION),
        }
    }
}

impl PlatformStandin {
    /// Creates an empty platform.
    pub fn new() -> Arc<Self> {
        Arc::new(Self { store: Mutex::default(), changed: watch::Sender::new(0) })
    }

    /// Returns the calls that it counted.
    pub fn counters(&self) -> PlatformCounters {
        self.store.lock().unwrap().counters.clone()
    }

    /// Sets its faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.store.lock().unwrap().faults = faults;
    }

    /// Keeps a copy of its objects.
    pub(crate) fn keep_copy(&self) {
        let mut store = self.store.lock().unwrap();
        store.copy = (store.objects.clone(), store.position);
    }

    /// Comes back from the copy that it kept: what was written since is gone, and
    /// positions are given out again.
    pub(crate) fn come_back(&self) {
        let mut store = self.store.lock().unwrap();
        (store.objects, store.position) = store.copy.clone();
        drop(store);
        self.changed.send_modify(|_| {});
    }

    /// Writes an object on condition; the error is the present version.
    pub(crate) fn write(
        &self,
        key: &str,
        value: Option<String>,
        expected: u64,
    ) -> Result<u64, u64> {
        let mut store = self.store.lock().unwrap();
        store.counters.writes += 1;
        let known = store.objects.get(key).filter(|object| object.value.is_some());
        let present = known.map_or(0, |object| object.version);
        if present != expected {
            return Err(present);
        }
        store.position += 1;
        let version = store.position;
        let object = Object { key: key.to_string(), version, value };
        store.objects.insert(key.to_string(), object);
        drop(store);
        self.changed.send_replace(version);
        Ok(version)
    }

    /// Returns the objects below a prefix that changed after `after`.
    ///
    /// Deleted objects are part of a watch, but not of a listing from the start.
    pub(crate) fn listing(&self, prefix: &str, after: u64) -> Listing {
        let store = self.store.lock().unwrap();
        let objects = store
            .objects
            .values()
            .filter(|object| object.key.starts_with(prefix) && object.version > after)
            .filter(|object| after > 0 || object.value.is_some())
            .cloned()
            .collect();
        Listing { position: store.position, objects }
    }
}
