//! The faults of the simulation.

use bilberry_core::SoftwareId;
use rand::RngExt;

use super::Server;
use super::Way;
use super::World;

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An entry is killed and starts again.
    KillEntry(usize),
    /// A sidecar is killed and starts again; its server goes on.
    KillSidecar(usize),
    /// A server is lost with the host that it shares with its sidecar.
    KillServer(usize),
    /// The links between an entry and half of the sidecars are cut for some time.
    CutLinks(usize, u64),
    /// An entry is cut off from the list, or reaches it again.
    CutFromStore(usize, bool),
    /// A server with this software starts and another one leaves.
    Replace(usize, u64),
}

impl Fault {
    /// Applies the fault; names of processes are taken modulo their number.
    pub fn apply(self, world: &mut World, way: &mut impl Way) {
        match self {
            Self::KillEntry(entry) => {
                let entry = entry % world.entries.len();
                world.restart_entry(entry);
                way.lose_entry(entry);
                world.break_streams(|at, _| at == entry);
            }
            Self::KillSidecar(sidecar) => way.lose_sidecar(sidecar % world.servers.len()),
            Self::KillServer(server) => {
                let server = server % world.servers.len();
                let now = world.now;
                // No longer serves; the list names it for some time.
                world.servers[server]
                    .delisted_at
                    .get_or_insert(now.saturating_sub(2_500));
                way.lose_sidecar(server);
                world.break_streams(|_, at| at == server);
            }
            Self::CutLinks(entry, for_ms) => {
                let entry = entry % world.entries.len();
                let until = world.now + for_ms;
                for sidecar in 0..world.servers.len() {
                    if world.random.random_bool(0.5) {
                        world.cut_links.insert((entry, sidecar), until);
                    }
                }
            }
            Self::CutFromStore(entry, is_cut) => {
                let entry = entry % world.entries.len();
                world.entries[entry].cut_from_store = is_cut;
            }
            Self::Replace(server, software) => {
                let server = server % world.servers.len();
                let now = world.now;
                world.servers[server].delisted_at.get_or_insert(now + 1_000);
                world.servers.push(Server {
                    software: SoftwareId(software),
                    listed_from: now,
                    delisted_at: None,
                });
            }
        }
    }
}
