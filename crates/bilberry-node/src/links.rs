//! The pool of connections to peers, which are opened on demand.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bilberry_wire::Body;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::Call;
use crate::Node;
use crate::PeerError;
use crate::link::PeerConnection;

/// The delay before connecting again to a peer that could not be reached.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// The pool of connections to peers.
#[derive(Debug, Clone)]
pub struct PeerPool {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    node: Arc<Node>,
    slots: Mutex<HashMap<SocketAddr, Arc<tokio::sync::Mutex<Slot>>>>,
}

/// The connection to one peer, if open.
#[derive(Debug, Default)]
struct Slot {
    link: Option<Arc<PeerConnection>>,
    retry_at: Option<Instant>,
}

impl PeerPool {
    /// Creates an empty pool.
    pub fn new(node: Arc<Node>) -> Self {
        Self { shared: Arc::new(Shared { node, slots: Mutex::default() }) }
    }

    /// Starts a call with a stream of answers.
    pub async fn call(&self, peer: SocketAddr, body: Body) -> Result<Call, PeerError> {
        self.link(peer).await?.call(body).await
    }

    /// Makes a call with a single answer.
    pub async fn ask(
        &self,
        peer: SocketAddr,
        body: Body,
        wait: Duration,
    ) -> Result<Body, PeerError> {
        let answer = async { self.call(peer, body).await?.next().await };
        match timeout(wait, answer).await {
            Ok(answer) => answer,
            Err(_) => Err(PeerError::Timeout(peer)),
        }
    }

    async fn link(&self, peer: SocketAddr) -> Result<Arc<PeerConnection>, PeerError> {
        let slot = self.shared.slots.lock().unwrap().entry(peer).or_default().clone();
        if let Some(link) = slot.lock().await.live() {
            return Ok(link);
        }
        // Connect in a separate task: a caller with a short timeout, such as a probe,
        // must not abort a connection attempt when it gives up.
        let opening = tokio::spawn(connect_slot(slot, self.shared.node.clone(), peer));
        opening.await.unwrap_or(Err(PeerError::Unreachable(peer)))
    }
}

impl Slot {
    fn live(&self) -> Option<Arc<PeerConnection>> {
        self.link.clone().filter(|link| !link.is_closed() && !link.is_silent())
    }
}

/// Opens the connection of a slot, unless another task has opened it meanwhile.
async fn connect_slot(
    slot: Arc<tokio::sync::Mutex<Slot>>,
    node: Arc<Node>,
    peer: SocketAddr,
) -> Result<Arc<PeerConnection>, PeerError> {
    let mut slot = slot.lock().await;
    if let Some(link) = slot.live() {
        return Ok(link);
    }
    // Without this delay each request would try to connect to an unreachable peer
    // and wait for the connect timeout.
    if slot.retry_at.is_some_and(|at| Instant::now() < at) {
        return Err(PeerError::Unreachable(peer));
    }
    if let Some(link) = slot.link.take() {
        link.retire();
    }
    match PeerConnection::open(node, peer).await {
        Ok(link) => {
            slot.link = Some(link.clone());
            Ok(link)
        }
        Err(error) => {
            slot.link = None;
            slot.retry_at = Some(Instant::now() + RECONNECT_DELAY);
            Err(error)
        }
    }
}
