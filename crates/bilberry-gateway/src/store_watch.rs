//! Watching whether the stores of cached prompts answer.

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
use crate::connections::set_options;

/// How long a connection to the store may take.
const CONNECT: Duration = Duration::from_millis(300);

/// How long to wait before a store is tried again, and how often the set of stores is
/// compared with the configuration.
const PAUSE: Duration = Duration::from_millis(400);

/// The least time between two connections.
const BREATH: Duration = Duration::from_millis(20);

/// How often an idle connection asks whether the store's host still lives.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Watches each store that the configuration names, for as long as it does.
pub async fn follow_prompt_stores<D: Dialect, C: Clock>(gateway: Arc<Gateway<D, C>>) {
    let mut followed: Vec<Followed> = Vec::new();
    loop {
        let named = gateway.stores.all();
        let is_named = |store: &Arc<PromptStore>| {
            named.iter().any(|named| Arc::ptr_eq(named, store))
        };
        followed.retain(|followed| is_named(&followed.store));
        for store in &named {
            if !followed.iter().any(|followed| Arc::ptr_eq(&followed.store, store)) {
                let following = tokio::spawn(follow(store.clone()));
                followed.push(Followed { store: store.clone(), following });
            }
        }
        // An entry that has just started would read anew what the stores have.
        let _ = timeout(PAUSE, gateway.stores.renamed.notified()).await;
    }
}

/// A store that is watched until this is dropped.
struct Followed {
    store: Arc<PromptStore>,
    following: JoinHandle<()>,
}

impl Drop for Followed {
    fn drop(&mut self) {
        self.following.abort();
    }
}

/// Keeps one idle connection to a store, which ends when the store does.
///
/// A fetch from a dead store costs a request some hundred milliseconds. An idle
/// connection shows the end at no cost, where asking it regularly would be paid
/// for as health checks are. The store also closes idle connections now and then,
/// so only one that can't be opened again at once means that it is down.
async fn follow(store: Arc<PromptStore>) {
    let address = store.terms.address;
    let mut was_up = false;
    loop {
        let connected = timeout(CONNECT, TcpStream::connect(address)).await;
        let stream = connected.ok().and_then(Result::ok);
        if was_up != stream.is_some() {
            was_up = stream.is_some();
            log::info!(target: "prompt_store", address = address.to_string().as_str(), up = was_up; "changed");
        }
        store.set_answers(was_up);
        match stream {
            Some(stream) => hold(stream).await,
            None => sleep(PAUSE).await,
        }
    }
}

/// Holds the connection until it ends.
async fn hold(mut stream: TcpStream) {
    set_options(&stream);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE);
    if let Err(error) = SockRef::from(&stream).set_tcp_keepalive(&keepalive) {
        log::warn!("no keepalive to the prompt store, a silent loss shows late: {error}");
    }
    let mut byte = [0];
    if let Err(error) = stream.read(&mut byte).await {
        log::debug!("the connection to the prompt store ended: {error}");
    }
    // A store that closed each connection at once must not be asked in a loop.
    sleep(BREATH).await;
}
