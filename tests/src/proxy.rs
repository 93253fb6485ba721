//! Fault-injecting TCP proxy, based on `noxious`.

use std::net::SocketAddr;

use bmrng::RequestSender;
use noxious::proxy::ProxyConfig;
use noxious::proxy::ProxyRunner;
use noxious::proxy::Runner;
use noxious::proxy::Toxics;
use noxious::signal::Closer;
use noxious::signal::Stop;
use noxious::signal::Stopper;
use noxious::socket::TcpListener;
use noxious::toxic::StreamDirection;
use noxious::toxic::Toxic;
use noxious::toxic::ToxicEvent;
use noxious::toxic::ToxicEventKind;
use noxious::toxic::ToxicEventResult;
use noxious::toxic::ToxicKind;
use tokio::task::JoinHandle;

use crate::eventually;
use crate::process::free_address;
use crate::reset_relay::ResetRelay;

/// Capacity of the queue of toxic events.
const EVENT_QUEUE_CAPACITY: usize = 16;

/// A TCP proxy between two processes with faults that a test can toggle.
#[derive(Debug)]
pub struct FaultProxy {
    /// The listening address.
    pub address: SocketAddr,
    upstream: SocketAddr,
    handle: Option<ProxyHandle>,
    link_ends: LinkEnds,
}

/// How connections end at a disconnection.
#[derive(Debug)]
enum LinkEnds {
    /// They are closed, as by the processes at their ends.
    Closed,
    /// They are reset, and what was dropped before stays lost. A relay does both at the
    /// proxy's address, and `noxious` listens at `inner`.
    Reset { inner: SocketAddr, relay: Option<ResetRelay> },
}

#[derive(Debug)]
struct ProxyHandle {
    stopper: Stopper,
    events: RequestSender<ToxicEvent, ToxicEventResult>,
    task: JoinHandle<()>,
}

impl FaultProxy {
    /// Starts a proxy in front of `upstream`.
    pub async fn start(upstream: SocketAddr) -> Self {
        Self::start_at(free_address(), upstream).await
    }

    /// Starts a proxy at `address` in front of `upstream`.
    pub async fn start_at(address: SocketAddr, upstream: SocketAddr) -> Self {
        let handle = run(address, upstream, Toxics::empty()).await;
        assert!(handle.is_some(), "{address} was taken meanwhile");
        Self { address, upstream, handle, link_ends: LinkEnds::Closed }
    }

    /// Starts a proxy at `address` that resets connections, as a lost network path does.
    pub async fn start_resetting_at(address: SocketAddr, upstream: SocketAddr) -> Self {
        let inner = free_address();
        let handle = run(inner, upstream, Toxics::empty()).await;
        assert!(handle.is_some(), "{inner} was taken meanwhile");
        let relay = ResetRelay::start(address, inner).await;
        let relay = Some(relay.expect("the address can't be listened on"));
        let link_ends = LinkEnds::Reset { inner, relay };
        Self { address, upstream, handle, link_ends }
    }

    /// Ends all connections and refuses new ones.
    pub async fn disconnect(&mut self) {
        if let LinkEnds::Reset { relay, .. } = &mut self.link_ends
            && let Some(relay) = relay.take()
        {
            relay.reset().await;
        }
        if let Some(handle) = self.handle.take() {
            handle.stopper.stop();
            let _ = handle.task.await;
        }
    }

    /// Removes all faults and accepts connections again.
    pub async fn restore(&mut self) {
        if self.handle.is_none() {
            self.restart(Toxics::empty()).await;
        }
        self.clear().await;
    }

    /// Drops all data in both directions while connections stay open, like a
    /// network partition without resets.
    pub async fn drop_traffic(&self) {
        if let LinkEnds::Reset { relay: Some(relay), .. } = &self.link_ends {
            return relay.set_stalled(true);
        }
        let kind = ToxicKind::Timeout { timeout: 0 };
        self.add_toxic("swallow_up", kind, StreamDirection::Upstream).await;
        self.add_toxic("swallow_down", kind, StreamDirection::Downstream).await;
    }

    /// Delays all data from the upstream.
    pub async fn delay_responses(&self, latency_ms: u64) {
        let kind = ToxicKind::Latency { latency: latency_ms, jitter: 0 };
        self.add_toxic("delay_down", kind, StreamDirection::Downstream).await;
    }

    /// Closes each new connection after `bytes` have been sent to the upstream.
    pub async fn cut_after_sent(&mut self, bytes: u64) {
        self.cut_after(bytes, StreamDirection::Upstream).await;
    }

    /// Closes each new connection after `bytes` have been received from the upstream.
    pub async fn cut_after_received(&mut self, bytes: u64) {
        self.cut_after(bytes, StreamDirection::Downstream).await;
    }

    /// Restarts the proxy with a byte limit, because `noxious` applies limits to new
    /// connections only.
    async fn cut_after(&mut self, bytes: u64, direction: StreamDirection) {
        self.disconnect().await;
        let kind = ToxicKind::LimitData { bytes };
        let toxic = Toxic { kind, name: "limit".to_string(), toxicity: 1.0, direction };
        let mut toxics = Toxics::empty();
        match direction {
            StreamDirection::Upstream => toxics.upstream.push(toxic),
            StreamDirection::Downstream => toxics.downstream.push(toxic),
        }
        self.restart(toxics).await;
    }

    /// Starts listening on the same address again.
    ///
    /// Retries the bind: on a busy machine the port can remain in use briefly after
    /// the proxy has stopped, and a single attempt fails the test before any link
    /// is cut.
    async fn restart(&mut self, toxics: Toxics) {
        let upstream = self.upstream;
        let address = match &self.link_ends {
            LinkEnds::Closed => self.address,
            LinkEnds::Reset { inner, .. } => *inner,
        };
        let handle = eventually("the proxy's port is free again", async || {
            run(address, upstream, toxics.clone()).await
        });
        self.handle = Some(handle.await);
        if let LinkEnds::Reset { inner, relay } = &mut self.link_ends {
            let (outer, inner) = (self.address, *inner);
            let started = eventually("the relay's port is free again", async || {
                ResetRelay::start(outer, inner).await.ok()
            });
            *relay = Some(started.await);
        }
    }

    /// Removes all faults without closing connections.
    ///
    /// A proxy that resets connections resets those whose traffic was dropped.
    pub async fn clear(&self) {
        if let LinkEnds::Reset { relay: Some(relay), .. } = &self.link_ends {
            relay.set_stalled(false);
        }
        self.send_event(ToxicEventKind::RemoveAllToxics).await;
    }

    async fn add_toxic(&self, name: &str, kind: ToxicKind, direction: StreamDirection) {
        let name = name.to_string();
        let toxic = Toxic { kind, name, toxicity: 1.0, direction };
        self.send_event(ToxicEventKind::AddToxic(toxic)).await;
    }

    async fn send_event(&self, kind: ToxicEventKind) {
        if let Some(handle) = &self.handle {
            let event = ToxicEvent::new(self.address.to_string(), kind);
            let _ = handle.events.send_receive(event).await;
        }
    }
}

async fn run(
    address: SocketAddr,
    upstream: SocketAddr,
    toxics: Toxics,
) -> Option<ProxyHandle> {
    let config = ProxyConfig {
        name: address.to_string(),
        listen: address.to_string(),
        upstream: upstream.to_string(),
        enabled: true,
        rand_seed: Some(7),
    };
    let started = ProxyRunner::initialize_proxy::<TcpListener>(config, toxics);
    let (listener, info) = started.await.ok()?;
    let (events, receiver) = bmrng::channel(EVENT_QUEUE_CAPACITY);
    let (stop, stopper) = Stop::new();
    let (_closed, closer) = close_signal();
    let task = tokio::spawn(async move {
        let _ = ProxyRunner::run_proxy(listener, info, receiver, stop, closer).await;
    });
    Some(ProxyHandle { stopper, events, task })
}

fn close_signal() -> (noxious::signal::Close, Closer) {
    noxious::signal::Close::new()
}
