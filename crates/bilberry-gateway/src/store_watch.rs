//! Liveness monitoring of the prompt stores.

use std::sync::Arc;
use std::time::Duration;

use bilberry_core::Clock;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::Dialect;
use crate::Gateway;
use crate::PromptStore;
use crate::connections::set_tcp_options;

/// The timeout of a connection attempt to a store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The delay before the next connection attempt to a store, and the longest interval at
/// which the monitored stores are compared with the configuration.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// The delay between the end of a connection and the next attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

/// The idle time before a TCP keepalive probe, and the interval of further probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Monitors each store that the configuration names, for as long as it does.
pub async fn follow_prompt_stores<D: Dialect, C: Clock>(gateway: Arc<Gateway<D, C>>) {
    let mut monitors: Vec<StoreMonitor> = Vec::new();
    loop {
        let configured = gateway.stores.all();
        let is_configured = |store: &Arc<PromptStore>| {
            configured.iter().any(|other| Arc::ptr_eq(other, store))
        };
        monitors.retain(|monitor| is_configured(&monitor.store));
        for store in &configured {
            if !monitors.iter().any(|monitor| Arc::ptr_eq(&monitor.store, store)) {
                let task = tokio::spawn(monitor_store(store.clone()));
                monitors.push(StoreMonitor { store: store.clone(), task });
            }
        }
        // Woken by a new configuration, as an entry that has just started would otherwise
        // have prompts prefilled that the stores hold.
        let _ = timeout(RETRY_INTERVAL, gateway.stores.config_changed.notified()).await;
    }
}

/// A store and the task that monitors it, which is aborted on drop.
struct StoreMonitor {
    store: Arc<PromptStore>,
    task: JoinHandle<()>,
}

impl Drop for StoreMonitor {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Keeps one idle connection to a store to detect when the store goes down.
///
/// A fetch from a dead store delays a request by a few hundred milliseconds. An idle
/// connection detects the failure without the cost of periodic health checks. The store
/// occasionally closes idle connections, so it counts as down only if the next connection
/// attempt fails as well.
async fn monitor_store(store: Arc<PromptStore>) {
    let address = store.terms.address;
    let mut was_up = false;
    loop {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connected.ok().and_then(Result::ok);
        if was_up != stream.is_some() {
            was_up = stream.is_some();
            log::info!(target: "prompt_store", address = address.to_string().as_str(), up = was_up; "changed");
        }
        store.set_reachable(was_up);
        match stream {
            Some(stream) => wait_for_close(stream).await,
            None => sleep(RETRY_INTERVAL).await,
        }
    }
}

/// Keeps a connection open until it ends.
async fn wait_for_close(mut stream: TcpStream) {
    set_tcp_options(&stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    if let Err(error) = SockRef::from(&stream).set_tcp_keepalive(&keepalive) {
        log::warn!(
            "no TCP keepalive to the prompt store, failures may be detected late: {error}"
        );
    }
    let mut byte = [0];
    if let Err(error) = stream.read(&mut byte).await {
        log::debug!("the connection to the prompt store ended: {error}");
    }
    // Prevents a busy loop if a store closes each connection immediately.
    sleep(RECONNECT_DELAY).await;
}
