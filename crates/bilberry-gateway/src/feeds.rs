//! Listening to the sidecars of upstreams.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::Name;
use bilberry_wire::Body;
use bilberry_wire::EntryNotice;
use bilberry_wire::Frame;
use bilberry_wire::FrameCodec;
use bilberry_wire::ModelVersion;
use bilberry_wire::WireError;
use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::Dialect;
use crate::Gateway;
use crate::Upstream;
use crate::connections::set_options;

/// How often the set of sidecars is compared with the list.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// How long a connection to a sidecar may take.
const CONNECT: Duration = Duration::from_millis(300);

/// How long a sidecar may be silent; it repeats itself three times as often.
const SILENCE: Duration = Duration::from_millis(1_500);

/// How long a lost sidecar is left alone.
const PAUSE: Duration = Duration::from_millis(300);

/// Keeps a connection to the sidecar of each engine, for as long as it is listed.
pub async fn follow_sidecars<D: Dialect, C: Clock>(
    gateway: Arc<Gateway<D, C>>,
    sidecar_port: u16,
) {
    let mut feeds: HashMap<Name, JoinHandle<()>> = HashMap::new();
    loop {
        let upstreams = gateway.upstreams.all();
        feeds.retain(|id, feed| {
            let listed = upstreams.iter().any(|upstream| upstream.id == *id);
            if !listed {
                feed.abort();
            }
            listed
        });
        for upstream in upstreams.iter().filter(|upstream| is_engine(&gateway, upstream))
        {
            feeds.entry(upstream.id.clone()).or_insert_with(|| {
                let address = SocketAddr::new(upstream.address.ip(), sidecar_port);
                tokio::spawn(follow(gateway.clone(), upstream.clone(), address))
            });
        }
        sleep(LOOK_EVERY).await;
    }
}

fn is_engine<D: Dialect, C: Clock>(gateway: &Gateway<D, C>, upstream: &Upstream) -> bool {
    let policy = gateway.policy();
    let pool = policy.as_ref().and_then(|policy| policy.pools.get(&upstream.pool));
    pool.is_some_and(|pool| pool.engine.is_some())
}

async fn follow<D: Dialect, C: Clock>(
    gateway: Arc<Gateway<D, C>>,
    upstream: Arc<Upstream>,
    address: SocketAddr,
) {
    let mut told = false;
    loop {
        let outcome = listen(&gateway, &upstream, address, &mut told).await;
        upstream.forget_feed();
        gateway.kept.forget_teller(&upstream.id);
        if std::mem::take(&mut told) {
            let reason =
                outcome.err().map_or_else(String::new, |error| error.to_string());
            log::info!(target: "sidecar", upstream = upstream.id.as_str(), reason = reason.as_str(); "lost");
        }
        sleep(PAUSE).await;
    }
}

async fn listen<D: Dialect, C: Clock>(
    gateway: &Gateway<D, C>,
    upstream: &Arc<Upstream>,
    address: SocketAddr,
    told: &mut bool,
) -> Result<(), WireError> {
    let late = |_| std::io::Error::from(std::io::ErrorKind::TimedOut);
    let connecting = timeout(CONNECT, TcpStream::connect(address));
    let stream = connecting.await.map_err(late)??;
    set_options(&stream);
    let mut framed = Framed::new(stream, FrameCodec::new());
    let mut noticed = None;
    loop {
        let notice = notice(gateway, upstream);
        if notice.prompt_store.is_empty() {
            gateway.kept.forget_teller(&upstream.id);
        }
        if noticed.as_ref() != Some(&notice) {
            let body = Some(Body::EntryNotice(notice.clone()));
            framed.send(Frame { body, ..Frame::default() }).await?;
            noticed = Some(notice);
        }
        let frame = timeout(SILENCE, framed.next()).await.map_err(late)?;
        let Some(frame) = frame else { return Ok(()) };
        let state = match frame?.body {
            Some(Body::UpstreamState(state)) => Some(state),
            Some(Body::CacheChange(change)) => {
                gateway.note_cache(upstream, &change);
                None
            }
            Some(Body::StoreChange(change)) => {
                gateway.kept.tell(&upstream.id, &change);
                None
            }
            _ => None,
        };
        if let Some(state) = state {
            if !std::mem::replace(told, true) {
                let address = address.to_string();
                log::info!(target: "sidecar", upstream = upstream.id.as_str(), address = address.as_str(); "heard");
            }
            gateway.note_state(upstream, state);
        }
    }
}

/// Returns what the sidecar is told of its service.
fn notice<D: Dialect, C: Clock>(
    gateway: &Gateway<D, C>,
    upstream: &Arc<Upstream>,
) -> EntryNotice {
    let now = gateway.clock.now();
    let peers = gateway.upstreams.of(&upstream.pool);
    // Ordered by hash, as the order of addresses would take all servers of one
    // data centre away at once.
    let before = peers.iter().filter(|peer| peer.seed < upstream.seed).count();
    let down = peers.iter().filter(|peer| peer.is_down(now)).count();
    let newest = |(model, _): (Name, u64)| ModelVersion {
        version: gateway
            .upstreams
            .newest_weights(&upstream.pool, &model, now)
            .unwrap_or_default(),
        model: model.to_string(),
    };
    EntryNotice {
        position: before as u64,
        servers: peers.len() as u64,
        down: down as u64,
        newest: upstream.models(now).into_iter().map(newest).collect(),
        prompt_store: store_to_follow(gateway, upstream, &peers),
    }
}

/// Returns the address of the store that this sidecar is to follow, if any.
///
/// The first in the agreed order whose sidecar is heard does it, so that all
/// entries ask the same one and the store answers one question for all of them.
fn store_to_follow<D: Dialect, C: Clock>(
    gateway: &Gateway<D, C>,
    upstream: &Arc<Upstream>,
    peers: &[Arc<Upstream>],
) -> String {
    let now = gateway.clock.now();
    let heard = peers.iter().filter(|peer| peer.is_followed(now) && !peer.is_leaving());
    let first = heard.min_by_key(|peer| peer.seed);
    match gateway.prompt_store() {
        Some(store) if first.is_some_and(|first| first.id == upstream.id) => {
            store.to_string()
        }
        _ => String::new(),
    }
}
