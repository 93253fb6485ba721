//! A fault-injecting proxy in front of one address, by the library `noxious`.

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

/// How many changes may wait for the proxy.
const CHANGES: usize = 16;

/// A proxy between two processes, with faults that a test switches.
#[derive(Debug)]
pub struct FaultProxy {
    /// Where the proxy listens.
    pub address: SocketAddr,
    upstream: SocketAddr,
    live: Option<Live>,
}

#[derive(Debug)]
struct Live {
    stopper: Stopper,
    changes: RequestSender<ToxicEvent, ToxicEventResult>,
    running: JoinHandle<()>,
}

impl FaultProxy {
    /// Starts a proxy in front of `upstream`.
    pub async fn start(upstream: SocketAddr) -> Self {
        Self::start_at(free_address(), upstream).await
    }

    /// Starts a proxy at `address` in front of `upstream`.
    pub async fn start_at(address: SocketAddr, upstream: SocketAddr) -> Self {
        let live = run(address, upstream, Toxics::empty()).await;
        assert!(live.is_some(), "{address} was taken meanwhile");
        Self { address, upstream, live }
    }

    /// Cuts all connections and refuses new ones.
    pub async fn cut(&mut self) {
        if let Some(live) = self.live.take() {
            live.stopper.stop();
            let _ = live.running.await;
        }
    }

    /// Takes connections again.
    pub async fn heal(&mut self) {
        if self.live.is_none() {
            self.run_again(Toxics::empty()).await;
        }
        self.clear().await;
    }

    /// Swallows everything in both directions, as a link that lost its other end.
    pub async fn swallow(&self) {
        let kind = ToxicKind::Timeout { timeout: 0 };
        self.add("swallow_up", kind, StreamDirection::Upstream).await;
        self.add("swallow_down", kind, StreamDirection::Downstream).await;
    }

    /// Delays everything that comes back.
    pub async fn delay_answers(&self, latency_ms: u64) {
        let kind = ToxicKind::Latency { latency: latency_ms, jitter: 0 };
        self.add("delay_down", kind, StreamDirection::Downstream).await;
    }

    /// Cuts each new connection after `bytes` have gone towards the upstream.
    pub async fn cut_after_sent(&mut self, bytes: u64) {
        self.cut_after(bytes, StreamDirection::Upstream).await;
    }

    /// Cuts each new connection after `bytes` have come back.
    pub async fn cut_after_answered(&mut self, bytes: u64) {
        self.cut_after(bytes, StreamDirection::Downstream).await;
    }

    /// Starts anew with a limit, which the library counts for new connections only.
    async fn cut_after(&mut self, bytes: u64, direction: StreamDirection) {
        self.cut().await;
        let kind = ToxicKind::LimitData { bytes };
        let toxic = Toxic { kind, name: "limit".to_string(), toxicity: 1.0, direction };
        let mut toxics = Toxics::empty();
        match direction {
            StreamDirection::Upstream => toxics.upstream.push(toxic),
            StreamDirection::Downstream => toxics.downstream.push(toxic),
        }
        self.run_again(toxics).await;
    }

    /// Listens again at the same address.
    ///
    /// On a busy machine the port may still be in use for a moment after the proxy
    /// has ended. Tried once, a test fails before any link is cut.
    async fn run_again(&mut self, toxics: Toxics) {
        let (address, upstream) = (self.address, self.upstream);
        let again = eventually("the proxy's port is free again", async || {
            run(address, upstream, toxics.clone()).await
        });
        self.live = Some(again.await);
    }

    /// Removes all faults; connections stay.
    pub async fn clear(&self) {
        self.change(ToxicEventKind::RemoveAllToxics).await;
    }

    async fn add(&self, name: &str, kind: ToxicKind, direction: StreamDirection) {
        let name = name.to_string();
        let toxic = Toxic { kind, name, toxicity: 1.0, direction };
        self.change(ToxicEventKind::AddToxic(toxic)).await;
    }

    async fn change(&self, kind: ToxicEventKind) {
        if let Some(live) = &self.live {
            let event = ToxicEvent::new(self.address.to_string(), kind);
            let _ = live.changes.send_receive(event).await;
        }
    }
}

async fn run(address: SocketAddr, upstream: SocketAddr, toxics: Toxics) -> Option<Live> {
    let config = ProxyConfig {
        name: address.to_string(),
        listen: address.to_string(),
        upstream: upstream.to_string(),
        enabled: true,
        rand_seed: Some(7),
    };
    let started = ProxyRunner::initialize_proxy::<TcpListener>(config, toxics);
    let (listener, info) = started.await.ok()?;
    let (changes, receiver) = bmrng::channel(CHANGES);
    let (stop, stopper) = Stop::new();
    let (_closed, closer) = closing();
    let running = tokio::spawn(async move {
        let _ = ProxyRunner::run_proxy(listener, info, receiver, stop, closer).await;
    });
    Some(Live { stopper, changes, running })
}

fn closing() -> (noxious::signal::Close, Closer) {
    noxious::signal::Close::new()
}
