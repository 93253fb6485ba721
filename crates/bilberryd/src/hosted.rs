//! Processes that are started and configured by the users' platform.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bilberry_adapter::AnnouncedWeightsFollower;
use bilberry_adapter::Claims;
use bilberry_adapter::ConfigFollower;
use bilberry_adapter::HostRole;
use bilberry_adapter::HostSettings;
use bilberry_adapter::HostsFollower;
use bilberry_adapter::HttpEngine;
use bilberry_adapter::MAX_ORDER_DELAY_MS;
use bilberry_adapter::NoHubs;
use bilberry_adapter::ObjectStore;
use bilberry_adapter::OrderSettings;
use bilberry_adapter::PlatformDialect;
use bilberry_adapter::WeightsFollower;
use bilberry_adapter::allow_first_order;
use bilberry_adapter::follow;
use bilberry_adapter::monitor_store_reachability;
use bilberry_adapter::order_engines_without_sidecar;
use bilberry_core::BootClock;
use bilberry_core::BudgetLimits;
use bilberry_core::ClientLimits;
use bilberry_core::Clock;
use bilberry_core::HostResources;
use bilberry_core::QuotaTolerance;
use bilberry_gateway::Gateway;
use bilberry_gateway::GatewaySettings;
use bilberry_gateway::follow_prompt_stores;
use bilberry_gateway::follow_sidecars;
use bilberry_node::ClientMetrics;
use bilberry_node::Clients;
use bilberry_node::GracefulServer;
use bilberry_node::HttpLimits;
use bilberry_node::StartError;
use bilberry_node::bind;
use bilberry_steward::AdmissionControl;
use bilberry_steward::CacheView;
use bilberry_steward::CrashRelay;
use bilberry_steward::EngineController;
use bilberry_steward::Feed;
use bilberry_steward::LatestWeights;
use bilberry_steward::LimitRelay;
use bilberry_steward::OrderGate;
use bilberry_steward::OriginOwner;
use bilberry_steward::PromptStores;
use bilberry_steward::QuotaOwner;
use bilberry_steward::RunInterest;
use bilberry_steward::RunTracker;
use bilberry_steward::WatchHub;
use bilberry_steward::serve_feed;
use thiserror::Error;
use tokio::time::sleep;

use crate::on_hangup;
use crate::resources::usable_resources;
use crate::status::Status;
use crate::status::StatusPage;
use crate::wait_for_signal;

/// The port of the metrics server.
const METRICS_PORT: u16 = 9464;

/// The limits on callers until the operators' configuration is active.
///
/// The size of request heads is checked against the operators' limit after they
/// are read. The timeout also applies to idle connections, so it is longer than
/// any idle timeout in use.
const CALLER_LIMITS: HttpLimits =
    HttpLimits { header_bytes: 128 * 1024, header_ms: 60_000, connections: 3_000 };

/// The limits on clients of the readiness and metrics servers.
const OPERATOR_LIMITS: HttpLimits =
    HttpLimits { header_bytes: 16 * 1024, header_ms: 60_000, connections: 32 };

/// The time in which a stopping entry releases the prompt parts of engines.
const RELEASE_TIME: Duration = Duration::from_millis(20);

/// The margin by which the validity of a key is shorter than the platform allows.
///
/// Covers the rounding of two clock readings.
const KEY_VALIDITY_MARGIN_MS: u64 = 50;

/// The interval at which connections to upstreams are checked for idle ones.
const CLOSE_IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// An error on running a hosted process.
#[derive(Debug, Error)]
pub enum PlatformRunError {
    /// Listening on an address or setting up the log failed.
    #[error(transparent)]
    Start(#[from] StartError),
    /// An address required by the role is missing in the settings.
    #[error(
        "the settings lack the address for {0}; add the address that the role requires"
    )]
    NoAddress(&'static str),
}

/// Runs a process with the platform's settings until it is stopped.
///
/// Returns whether all requests in progress were completed.
pub async fn run_on_platform(
    settings: HostSettings,
    path: PathBuf,
) -> Result<bool, PlatformRunError> {
    log::info!(
        target: "process",
        host = settings.host.as_str(),
        place = settings.place.as_str(),
        role = format!("{:?}", settings.role).as_str();
        "starts"
    );
    let in_force = settings.clone();
    on_hangup(move || log_reload(&path, &in_force));
    let whole = match settings.role {
        HostRole::Entry => run_entry(settings).await?,
        HostRole::Sidecar => run_sidecar(settings).await?,
    };
    log::info!(target: "process", whole; "stops");
    // Leave time for the log thread to write the remaining lines.
    sleep(Duration::from_millis(20)).await;
    Ok(whole)
}

/// Logs whether the settings file has changed.
///
/// Addresses and limits are fixed for the lifetime of a process; configuration that
/// can change at run time comes from the store. Other changes require a restart.
fn log_reload(path: &Path, in_force: &HostSettings) {
    match HostSettings::load(path) {
        Ok(read) => {
            let changed = read != *in_force;
            log::info!(target: "process", changed; "settings reloaded; changes require a restart");
        }
        Err(error) => {
            log::warn!(target: "process", reason = error.to_string().as_str(); "failed to reload the settings; the active settings remain");
        }
    }
}

async fn run_entry(settings: HostSettings) -> Result<bool, PlatformRunError> {
    let callers = settings.callers.ok_or(PlatformRunError::NoAddress("callers"))?;
    let readiness = settings.readiness.ok_or(PlatformRunError::NoAddress("readiness"))?;
    let resources = usable_resources(settings.resources);
    let clock = BootClock::new();
    let gateway = Arc::new(Gateway::new(
        PlatformDialect,
        clock,
        GatewaySettings {
            host: settings.host.clone(),
            data_centre: settings.place.clone(),
            key_max_age_ms: settings.key_max_age_ms.map(|ms| ms - KEY_VALIDITY_MARGIN_MS),
            outdated_weights_max_ms: settings.outdated_weights_max_ms,
            budget: BudgetLimits {
                ratio: settings.retry_budget_ratio,
                slack: settings.retry_slack,
                window_ms: settings.retry_budget_window_ms,
            },
            quota_tolerance: QuotaTolerance {
                overrun: settings.quota_overrun,
                slack: settings.quota_slack,
            },
        },
    ));
    let era_changes = gateway.metrics.era_changes.clone();
    let store = ObjectStore::new(settings.store, era_changes);
    let config = ConfigFollower {
        gateway: gateway.clone(),
        config_apply_ms: settings.config_apply_ms,
    };
    tokio::spawn(follow(store.clone(), gateway.clone(), clock, config));
    let hosts =
        HostsFollower::new(gateway.clone(), settings.drain_ms, settings.heartbeat_ms);
    tokio::spawn(follow(store.clone(), gateway.clone(), clock, hosts));
    let weights = AnnouncedWeightsFollower::new(gateway.clone(), settings.settle_ms);
    tokio::spawn(follow(store.clone(), gateway.clone(), clock, weights));
    tokio::spawn(monitor_store_reachability(store, gateway.clone()));
    tokio::spawn(follow_sidecars(gateway.clone(), settings.peers_port));
    if let Some(lease_ms) = settings.lease_ms {
        let terms = OrderSettings {
            host: settings.host.clone(),
            lease_ms,
            settle_ms: settings.settle_ms,
            sidecar_port: settings.peers_port,
            outdated_weights_max_ms: settings.outdated_weights_max_ms,
        };
        let claims = Claims::new(settings.store);
        tokio::spawn(order_engines_without_sidecar(claims, gateway.clone(), terms));
    }
    tokio::spawn(follow_prompt_stores(gateway.clone()));
    let bound = ClientLimits::callers(resources).at_most(CALLER_LIMITS.connections);
    let clients = Clients::new(bound, gateway.metrics.clients.clone());
    let listener = bind("callers", callers, bound).await?;
    let server =
        GracefulServer::start_within(listener, CALLER_LIMITS, clients, gateway.clone());
    let status = Arc::new(StatusPage { process: gateway.clone() });
    let _readiness =
        serve_operators("readiness", readiness, resources, status.clone()).await?;
    let metrics = SocketAddr::new(settings.bind, METRICS_PORT);
    let _metrics = serve_operators("metrics", metrics, resources, status).await?;
    let measuring = gateway.clone();
    tokio::spawn(async move { measuring.measure_overload().await });
    let closing = gateway.clone();
    tokio::spawn(async move {
        loop {
            sleep(CLOSE_IDLE_INTERVAL).await;
            closing.connections.close_idle();
        }
    });
    wait_for_signal().await;
    log::info!(target: "process", grace_ms = settings.grace_ms; "stopping");
    let stop = gateway.stop(settings.grace_ms);
    sleep(stop.accepts_until.remaining(clock.now())).await;
    let whole = server.stop(stop.ends_at.remaining(clock.now())).await;
    gateway.release_parts();
    sleep(RELEASE_TIME).await;
    Ok(whole)
}

async fn run_sidecar(settings: HostSettings) -> Result<bool, PlatformRunError> {
    let engine = settings.engine.ok_or(PlatformRunError::NoAddress("the engine"))?;
    let clock = BootClock::new();
    let newest = Arc::new(LatestWeights::default());
    let holder = settings.host.to_string();
    let cache = Arc::new(CacheView::new());
    // Bind first: from now on no entry sends orders to this engine.
    let resources = usable_resources(settings.resources);
    let bound = ClientLimits::peers(resources);
    let peers = SocketAddr::new(settings.bind, settings.peers_port);
    let feed = bind("peers", peers, bound).await?;
    let first_order_delay_ms =
        settings.lease_ms.map_or(0, |lease_ms| lease_ms + MAX_ORDER_DELAY_MS);
    let first_order = Arc::new(OrderGate::at(clock.now().plus_ms(first_order_delay_ms)));
    // Use a separate client, so that long polling for cache events does not delay the
    // health checks of the engine.
    tokio::spawn(cache.clone().follow(HttpEngine::new(engine)));
    let steward = EngineController::new(
        HttpEngine::new(engine),
        clock,
        holder,
        settings.outdated_weights_max_ms,
        newest.clone(),
        cache.clone(),
    );
    let run_interest = RunInterest::default();
    let runs = Arc::new(RunTracker::default());
    let steward = steward.with_order_gate(first_order.clone());
    let steward = steward.with_run_tracker(runs.clone());
    let steward = Arc::new(steward.with_run_interest(run_interest.clone()));
    let claims = Claims::new(settings.store);
    tokio::spawn(allow_first_order(claims, clock, steward.state(), first_order));
    let unreadable = steward.metrics.unreadable.clone();
    let weights = WeightsFollower { newest: newest.clone(), clock, unreadable };
    let era_changes = steward.metrics.era_changes.clone();
    let store = ObjectStore::new(settings.store, era_changes);
    tokio::spawn(follow(store.clone(), NoHubs, clock, weights));
    let hub = Arc::new(WatchHub::new(store, clock));
    let status = Arc::new(StatusPage { process: steward.clone() });
    let metrics = SocketAddr::new(settings.bind, METRICS_PORT);
    let _metrics = serve_operators("metrics", metrics, resources, status).await?;
    let stores = PromptStores::new(HttpEngine::new);
    let crashes = CrashRelay::new();
    let quotas = Arc::new(QuotaOwner::new(clock));
    tokio::spawn(quotas.clone().run());
    let state = steward.state();
    let metrics = steward.metrics.admissions.clone();
    let admissions = Arc::new(AdmissionControl::new(steward.state(), clock, metrics));
    tokio::spawn(admissions.clone().run());
    let limits = LimitRelay::new();
    let origins =
        Arc::new(OriginOwner::new(clock, steward.metrics.stream_origins.clone()));
    let feed_state = Feed {
        state,
        cache,
        stores,
        newest,
        crashes,
        hub,
        quotas,
        admissions,
        limits,
        origins,
        run_interest,
        runs,
        sharing: steward.sharing(),
        clock,
        clients: Clients::new(bound, steward.metrics.clients.clone()),
    };
    tokio::spawn(serve_feed(feed, feed_state));
    tokio::spawn(steward.run());
    wait_for_signal().await;
    Ok(true)
}

/// Serves readiness checks or metrics, whose clients are bounded on their own.
async fn serve_operators<S: Status>(
    key: &'static str,
    address: SocketAddr,
    resources: HostResources,
    status: Arc<StatusPage<S>>,
) -> Result<GracefulServer, PlatformRunError> {
    let bound = ClientLimits::operators(resources, OPERATOR_LIMITS.connections);
    let clients = Clients::new(bound, ClientMetrics::default());
    let listener = bind(key, address, bound).await?;
    Ok(GracefulServer::start_within(listener, OPERATOR_LIMITS, clients, status))
}
