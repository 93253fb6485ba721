//! TCP relay that stalls and resets connections as a lost network path does.
//!
//! `noxious` closes what it cuts, and passes on the end of a connection whose bytes it has
//! dropped; TCP does neither.

use std::io;
use std::net::SocketAddr;

use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

/// A TCP relay; its connections are reset when it is dropped.
#[derive(Debug)]
pub(crate) struct ResetRelay {
    is_stalled: watch::Sender<bool>,
    task: JoinHandle<()>,
}

/// A connection that is reset when it is dropped, unless it has ended.
struct Resetting(Option<TcpStream>);

impl ResetRelay {
    /// Relays connections to `address` to `upstream`.
    ///
    /// # Errors
    ///
    /// The address can't be listened on.
    pub(crate) async fn start(
        address: SocketAddr,
        upstream: SocketAddr,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let is_stalled = watch::Sender::new(false);
        let task = tokio::spawn(relay_all(listener, upstream, is_stalled.subscribe()));
        Ok(Self { is_stalled, task })
    }

    /// Passes nothing on, or again for new connections; resets those that were stalled.
    pub(crate) fn set_stalled(&self, is_stalled: bool) {
        self.is_stalled.send_replace(is_stalled);
    }

    /// Resets all connections and refuses new ones.
    pub(crate) async fn reset(mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
    }
}

impl Drop for ResetRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Drop for Resetting {
    fn drop(&mut self) {
        if let Some(stream) = &self.0 {
            let _ = stream.set_zero_linger();
        }
    }
}

async fn relay_all(
    listener: TcpListener,
    upstream: SocketAddr,
    is_stalled: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        connections.spawn(relay(client, upstream, is_stalled.clone()));
        while connections.try_join_next().is_some() {}
    }
}

/// Relays a connection until both sides have closed it, or one has reset it.
async fn relay(
    client: TcpStream,
    upstream: SocketAddr,
    mut is_stalled: watch::Receiver<bool>,
) {
    let mut client = Resetting(Some(client));
    let Ok(server) = TcpStream::connect(upstream).await else { return };
    let mut server = Resetting(Some(server));
    let (Some(near), Some(far)) = (&mut client.0, &mut server.0) else { return };
    let has_ended = tokio::select! {
        biased;
        () = wait_for(&mut is_stalled, true) => false,
        ended = copy_bidirectional(near, far) => ended.is_ok(),
    };
    if has_ended {
        client.0 = None;
        server.0 = None;
    }
    wait_for(&mut is_stalled, false).await;
}

async fn wait_for(is_stalled: &mut watch::Receiver<bool>, value: bool) {
    let _ = is_stalled.wait_for(|is_stalled| *is_stalled == value).await;
}
