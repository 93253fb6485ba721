//! The state shared by all components of a process.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use bilberry_wire::Body;
use bilberry_wire::Frame;
use bilberry_wire::Member;
use bilberry_wire::Role;
use prost::Message;
use thiserror::Error;
use tokio::sync::mpsc;

use crate::ConfigStore;
use crate::EventLog;
use crate::MemberStore;
use crate::Metrics;
use crate::NewerPeer;

/// The capacity of the queue of peers with a higher revision. Further entries are
/// dropped, as any entry leads to the newest revision.
const NEWER_PEERS_QUEUE: usize = 16;

/// An error on starting a process.
#[derive(Debug, Error)]
pub enum StartError {
    /// Listening on an address failed.
    #[error(
        "{key}: can't listen on {address}: {reason}; give a free address of this host"
    )]
    Listen {
        /// The settings key of the address.
        key: &'static str,
        /// The address.
        address: String,
        /// The error of the operating system.
        reason: String,
    },
    /// Setting up the log failed.
    #[error("log: can't be set up: {0}; start only one daemon in a process")]
    Logging(String),
}

/// The state shared by all components of a process.
#[derive(Debug)]
pub struct Node {
    member: Mutex<Member>,
    piggyback: bool,
    newer_peers: mpsc::Sender<NewerPeer>,
    newer_peers_receiver: Mutex<Option<mpsc::Receiver<NewerPeer>>>,
    leaving: AtomicBool,
    /// Recent events and the clock that stamps them.
    pub events: EventLog,
    /// The active configuration.
    pub config: ConfigStore,
    /// The known processes of the system.
    pub members: MemberStore,
    /// The metrics of this process.
    pub metrics: Metrics,
}

impl Node {
    /// Creates the shared state of a process.
    pub fn new(member: Member, piggyback: bool) -> Arc<Self> {
        let (newer_peers, newer_peers_receiver) = mpsc::channel(NEWER_PEERS_QUEUE);
        let knows_customers = member.role() == Role::Entry;
        Arc::new(Self {
            events: EventLog::new(member.process.as_str().into()),
            member: Mutex::new(member),
            piggyback,
            newer_peers,
            newer_peers_receiver: Mutex::new(Some(newer_peers_receiver)),
            leaving: AtomicBool::new(false),
            config: ConfigStore::new(knows_customers),
            members: MemberStore::default(),
            metrics: Metrics::new(),
        })
    }

    /// Returns the member entry of this process, as sent to peers.
    pub fn member(&self) -> Member {
        let mut member = self.member.lock().unwrap().clone();
        member.leaving = self.is_leaving();
        member
    }

    /// Returns the name of this process.
    pub fn process(&self) -> String {
        self.member.lock().unwrap().process.clone()
    }

    /// Stores the version that the platform assigned to the registration.
    pub fn set_registration_version(&self, version: u64) {
        self.member.lock().unwrap().version = version;
        self.members.merge([self.member()]);
    }

    /// Returns whether this process no longer accepts new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Permanently stops accepting new work; returns false if already stopped.
    pub fn start_leaving(&self, reason: &str) -> bool {
        let newly_leaving = !self.leaving.swap(true, Ordering::Relaxed);
        if newly_leaving {
            self.events.record("", "leaving", reason);
            self.members.merge([self.member()]);
        }
        newly_leaving
    }

    /// Merges a peer's members, which may include this process.
    ///
    /// A peer may learn first that this process is leaving, as only some processes
    /// read the host list. Entries for an earlier incarnation of this process are
    /// ignored.
    pub fn merge_members(&self, updates: Vec<Member>) {
        let own = self.member();
        let (about_own, others): (Vec<_>, Vec<_>) =
            updates.into_iter().partition(|member| member.process == own.process);
        let is_me = |member: &Member| member.incarnation == own.incarnation;
        if about_own.iter().any(|member| member.leaving && is_me(member)) {
            self.start_leaving("a peer read it in the host list");
        }
        self.members.merge(others);
    }

    /// Wraps a message in a frame and updates the metrics.
    pub fn frame(&self, call: u64, body: Body) -> Frame {
        let revision = if self.piggyback { self.config.revision() } else { 0 };
        let hlc = self.events.stamp();
        let frame = Frame { call, revision, hlc, body: Some(body) };
        if let Some(body) = &frame.body {
            self.metrics.count_frame("sent", body, frame.encoded_len());
        }
        frame
    }

    /// Processes the metadata of an incoming frame: clock, size and revision.
    pub fn observe(&self, frame: &Frame, from: &str) {
        self.events.observe(frame.hlc);
        if let Some(body) = &frame.body {
            self.metrics.count_frame("received", body, frame.encoded_len());
        }
        if self.piggyback && frame.revision > self.config.revision() && !from.is_empty() {
            let notification =
                NewerPeer { revision: frame.revision, address: from.to_string() };
            // If the queue is full, its entries already lead to the newest revision.
            let _ = self.newer_peers.try_send(notification);
        }
    }

    /// Returns the receiver of peers with a higher revision; can be called once.
    pub(crate) fn take_newer_peers(&self) -> mpsc::Receiver<NewerPeer> {
        self.newer_peers_receiver
            .lock()
            .unwrap()
            .take()
            .expect("the sync actor starts once")
    }
}
