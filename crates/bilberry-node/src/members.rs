//! The processes of the system that are known to this one.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use arc_swap::ArcSwap;
use bilberry_core::Name;
use bilberry_wire::Member;
use bilberry_wire::Role;

/// A snapshot of the members.
#[derive(Debug, Default, Clone)]
pub struct Members {
    /// All members by process.
    pub by_process: BTreeMap<String, Member>,
    /// The sidecar of each upstream.
    pub sidecars: HashMap<Name, Sidecar>,
    /// A hash of all members.
    pub digest: u64,
}

/// The address and state of an upstream's sidecar.
#[derive(Debug, Clone, Copy)]
pub struct Sidecar {
    /// The address.
    pub address: SocketAddr,
    /// Whether it no longer accepts new work.
    pub leaving: bool,
}

/// Holds the current members; each change replaces the snapshot.
#[derive(Debug, Default)]
pub struct MemberStore {
    current: ArcSwap<Members>,
    change_lock: Mutex<()>,
}

impl MemberStore {
    /// Returns the current snapshot.
    pub fn current(&self) -> Arc<Members> {
        self.current.load_full()
    }

    /// Merges members learned from elsewhere; returns whether anything changed.
    ///
    /// A registration with a higher version replaces one with a lower version, and
    /// `leaving` stays set until the process registers again. The merge is therefore
    /// idempotent and independent of the order in which updates arrive.
    pub fn merge(&self, updates: impl IntoIterator<Item = Member>) -> bool {
        let _guard = self.change_lock.lock().unwrap();
        let current = self.current.load_full();
        let mut by_process = current.by_process.clone();
        for member in updates {
            match by_process.get_mut(&member.process) {
                Some(known) if known.version > member.version => {}
                Some(known) if known.version == member.version => {
                    known.leaving |= member.leaving;
                }
                _ => {
                    by_process.insert(member.process.clone(), member);
                }
            }
        }
        self.replace_if_changed(&current, by_process)
    }

    /// Marks the matching members as leaving; returns whether anything changed.
    pub fn mark_leaving(&self, leaves: impl Fn(&Member) -> bool) -> bool {
        let _guard = self.change_lock.lock().unwrap();
        let current = self.current.load_full();
        let mut by_process = current.by_process.clone();
        for member in by_process.values_mut().filter(|member| leaves(member)) {
            member.leaving = true;
        }
        self.replace_if_changed(&current, by_process)
    }

    /// Removes the members for which `keep` returns false, as their registration is
    /// gone from the platform; returns whether anything changed.
    pub fn retain(&self, keep: impl Fn(&Member) -> bool) -> bool {
        let _guard = self.change_lock.lock().unwrap();
        let current = self.current.load_full();
        let mut by_process = current.by_process.clone();
        by_process.retain(|_, member| keep(member));
        self.replace_if_changed(&current, by_process)
    }

    fn replace_if_changed(
        &self,
        current: &Members,
        by_process: BTreeMap<String, Member>,
    ) -> bool {
        if by_process == current.by_process {
            return false;
        }
        self.current.store(Arc::new(Members::new(by_process)));
        true
    }
}

impl Members {
    fn new(by_process: BTreeMap<String, Member>) -> Self {
        let mut hasher = DefaultHasher::new();
        by_process.hash(&mut hasher);
        let mut sidecars = HashMap::new();
        let mut versions: HashMap<Name, u64> = HashMap::new();
        for member in by_process.values().filter(|m| m.role() == Role::Sidecar) {
            let Ok(address) = member.address.parse() else { continue };
            let upstream = Name::from(member.upstream.as_str());
            let newest = versions.entry(upstream.clone()).or_default();
            // A replacement host registers a different process name for the same
            // upstream; the latest registration is the valid one.
            if member.version >= *newest {
                *newest = member.version;
                let sidecar = Sidecar { address, leaving: member.leaving };
                sidecars.insert(upstream, sidecar);
            }
        }
        Self { digest: hasher.finish(), by_process, sidecars }
    }

    /// Returns the addresses of all members except `process`.
    pub fn others(&self, process: &str) -> Vec<SocketAddr> {
        self.by_process
            .values()
            .filter(|member| member.process != process)
            .filter_map(|member| member.address.parse().ok())
            .collect()
    }
}
