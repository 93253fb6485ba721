//! Watching whether the store of cached prompts answers.

use std::sync::Arc;
use std::time::Duration;

use bilberry_core::Clock;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::Dialect;
use crate::Gateway;
use crate::connections::set_options;

/// How long a connection to the store may take.
const CONNECT: Duration = Duration::from_millis(300);

/// How long to wait before the store is tried again.
const PAUSE: Duration = Duration::from_millis(400);

/// The least time between two connections.
const BREATH: Duration = Duration::from_millis(20);

/// How often an idle connection asks whether the store's host still lives.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Keeps one idle connection to the store, which ends when the store does.
///
/// A fetch from a dead store costs a request some hundred milliseconds. An idle
/// connection shows the end at no cost, where asking it regularly would be paid
/// for as health checks are. The store also closes idle connections now and then,
/// so only one that can't be opened again at once means that it is down.
pub async fn follow_prompt_store<D: Dialect, C: Clock>(gateway: Arc<Gateway<D, C>>) {
    let mut was_up = false;
    loop {
        let policy = gateway.policy();
        let store = policy.as_ref().and_then(|policy| policy.prompt_store());
        let store = store.map(|store| store.address);
        let Some(address) = store else {
            sleep(PAUSE).await;
            continue;
        };
        let connected = timeout(CONNECT, TcpStream::connect(address)).await;
        let stream = connected.ok().and_then(Result::ok);
        if was_up != stream.is_some() {
            was_up = stream.is_some();
            log::info!(target: "prompt_store", address = address.to_string().as_str(), up = was_up; "changed");
        }
        gateway.set_prompt_store(was_up);
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
