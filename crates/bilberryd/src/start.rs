//! Starts a process from its settings.

use std::sync::Arc;
use std::time::Duration;

use bilberry_config::ProcessRole;
use bilberry_config::Settings;
use bilberry_config::UpstreamSettings;
use bilberry_core::ClientLimits;
use bilberry_core::HostResources;
use bilberry_entry::Admin;
use bilberry_entry::Entry;
use bilberry_entry::EntryLimits;
use bilberry_entry::SidecarProber;
use bilberry_entry::UpstreamProber;
use bilberry_node::ClientMetrics;
use bilberry_node::Clients;
use bilberry_node::GracefulServer;
use bilberry_node::HttpLimits;
use bilberry_node::Node;
use bilberry_node::Operations;
use bilberry_node::PeerHandler;
use bilberry_node::PeerPool;
use bilberry_node::Readiness;
use bilberry_node::StartError;
use bilberry_node::SyncParameters;
use bilberry_node::bind;
use bilberry_node::register;
use bilberry_node::serve_peers;
use bilberry_node::start_sync;
use bilberry_platform::HttpPlatform;
use bilberry_sidecar::HttpEngine;
use bilberry_sidecar::HttpPlainService;
use bilberry_sidecar::Sidecar;
use bilberry_wire::Member;
use bilberry_wire::Role;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::Addresses;
use crate::Process;
use crate::process::ActiveWork;
use crate::resources::usable_resources;

/// The connection limit of the operations and administration servers.
const MAX_OPERATOR_CONNECTIONS: usize = 64;

/// The components that both roles need.
struct Base {
    settings: Settings,
    resources: HostResources,
    node: Arc<Node>,
    links: PeerPool,
    platform: HttpPlatform,
    peers: TcpListener,
    operations: TcpListener,
}

/// Starts a process from its settings.
pub async fn start(settings: Settings) -> Result<Process, StartError> {
    start_with(settings, SidecarProber::new).await
}

/// Starts a process whose entry uses the given source of upstream information.
pub async fn start_with<K: UpstreamProber>(
    settings: Settings,
    knowledge: impl FnOnce(PeerPool) -> K,
) -> Result<Process, StartError> {
    let role = settings.role;
    let base = Base::new(settings).await?;
    match (role, base.settings.upstream.clone()) {
        (ProcessRole::Sidecar, Some(upstream)) => base.start_sidecar(&upstream),
        _ => base.start_entry(knowledge).await,
    }
}

impl Base {
    async fn new(settings: Settings) -> Result<Self, StartError> {
        let resources = usable_resources(settings.resources());
        let (address, limits) = (settings.listen.peers, ClientLimits::peers(resources));
        let peers = bind("listen.peers", address, limits).await?;
        let limits = ClientLimits::operators(resources, MAX_OPERATOR_CONNECTIONS);
        let address = settings.listen.operations;
        let operations = bind("listen.operations", address, limits).await?;
        let own = peers.local_addr().unwrap_or(settings.listen.peers);
        let member = member(&settings, settings.listen.advertise.unwrap_or(own));
        let node = Node::new(member, settings.peers.piggyback_revision);
        let platform = &settings.platform;
        let platform =
            HttpPlatform::new(platform.address, platform.call_ms, platform.watch_ms);
        let links = PeerPool::new(node.clone());
        Ok(Self { settings, resources, node, links, platform, peers, operations })
    }

    fn start_sidecar(self, upstream: &UpstreamSettings) -> Result<Process, StartError> {
        let sidecar = Sidecar::new(
            self.node.clone(),
            self.platform.clone(),
            upstream.name.clone(),
            HttpEngine::new(upstream.address),
            HttpPlainService::new(upstream.address),
        );
        sidecar.start_tracking();
        let counter = sidecar.clone();
        let in_progress = Box::new(move || counter.in_progress());
        Ok(self.run(sidecar, ActiveWork::Sidecar { in_progress }, None, None))
    }

    async fn start_entry<K: UpstreamProber>(
        self,
        knowledge: impl FnOnce(PeerPool) -> K,
    ) -> Result<Process, StartError> {
        let limits = &self.settings.limits;
        let entry = Entry::new(
            self.node.clone(),
            self.links.clone(),
            self.platform.clone(),
            self.settings.parsed_place(),
            knowledge(self.links.clone()),
            EntryLimits {
                max_body_bytes: limits.body_bytes,
                body_timeout_ms: limits.body_ms,
                write_timeout_ms: limits.unread_ms,
                probe_timeout_ms: limits.probe_ms,
            },
        );
        let listen = &self.settings.listen;
        let address = listen.callers.unwrap_or(listen.peers);
        let bound = ClientLimits::callers(self.resources).at_most(limits.connections);
        let clients = Clients::new(bound, self.node.metrics.clients.clone());
        let callers = bind("listen.callers", address, bound).await?;
        let callers_address = callers.local_addr().ok();
        let http = HttpLimits {
            header_bytes: limits.header_bytes,
            header_ms: limits.header_ms,
            connections: limits.connections,
        };
        let callers =
            GracefulServer::start_within(callers, http, clients.clone(), entry.clone());
        let mut admin_address = None;
        let mut administration = None;
        if let Some(address) = listen.administration {
            let listener = bind("listen.administration", address, bound).await?;
            admin_address = listener.local_addr().ok();
            let admins = self.settings.administrator.clone();
            let admin = Arc::new(Admin::new(entry.clone(), admins));
            let server = GracefulServer::start_within(listener, http, clients, admin);
            administration = Some(server);
        }
        let (stop, stopped) = tokio::sync::oneshot::channel();
        let finishing = entry.clone();
        let finish = tokio::spawn(async move {
            let _ = stopped.await;
            finishing.finish_tasks().await;
        });
        let work = ActiveWork::Entry { callers, administration, finish, stop };
        Ok(self.run(entry, work, callers_address, admin_address))
    }

    /// Starts the servers and tasks that both roles have in common.
    fn run<H: PeerHandler + Readiness>(
        self,
        handler: Arc<H>,
        work: ActiveWork,
        callers: Option<std::net::SocketAddr>,
        administration: Option<std::net::SocketAddr>,
    ) -> Process {
        let listen = &self.settings.listen;
        let addresses = Addresses {
            callers,
            peers: self.peers.local_addr().unwrap_or(listen.peers),
            operations: self.operations.local_addr().unwrap_or(listen.operations),
            administration,
        };
        let limits = &self.settings.limits;
        let http = HttpLimits {
            header_bytes: limits.header_bytes,
            header_ms: limits.header_ms,
            connections: MAX_OPERATOR_CONNECTIONS,
        };
        let operations = Arc::new(Operations::new(self.node.clone(), handler.clone()));
        let bound = ClientLimits::operators(self.resources, MAX_OPERATOR_CONNECTIONS);
        let clients = Clients::new(bound, ClientMetrics::default());
        let operations =
            GracefulServer::start_within(self.operations, http, clients, operations);
        let peers = &self.settings.peers;
        start_sync(SyncParameters {
            node: self.node.clone(),
            links: self.links,
            platform: self.platform.clone(),
            seeds: peers.seeds.clone(),
            exchange_ms: peers.exchange_ms,
            head_watchers: peers.head_watchers,
        });
        let background: Vec<JoinHandle<()>> = vec![
            tokio::spawn(serve_peers(
                self.node.clone(),
                self.peers,
                Clients::new(
                    ClientLimits::peers(self.resources),
                    ClientMetrics::default(),
                ),
                handler,
            )),
            tokio::spawn(register(self.node.clone(), self.platform)),
            tokio::spawn(async move {
                // Keeps the operations server running until the process ends.
                std::future::pending::<()>().await;
                drop(operations);
            }),
        ];
        let stop_timeout = Duration::from_millis(limits.stop_ms);
        Process { node: self.node, addresses, stop_timeout, work, background }
    }
}

fn member(settings: &Settings, address: std::net::SocketAddr) -> Member {
    let role = match settings.role {
        ProcessRole::Entry => Role::Entry,
        ProcessRole::Sidecar => Role::Sidecar,
    };
    let upstream = settings.upstream.as_ref().map(|upstream| upstream.name.to_string());
    Member {
        process: settings.process.to_string(),
        host: settings.host.to_string(),
        role: role.into(),
        upstream: upstream.unwrap_or_default(),
        address: address.to_string(),
        incarnation: rand::random(),
        version: 0,
        leaving: false,
    }
}
