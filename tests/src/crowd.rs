//! Clients that break off, send without end or read nothing, all at once.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

/// How long a client waits for its peer to read before it stops sending.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// The pause between two pieces, in which the peer reads the first one.
const PIECE_INTERVAL: Duration = Duration::from_millis(1);

/// Clients with a connection each, which stay connected until the crowd is dropped.
#[derive(Debug)]
pub struct Crowd {
    address: SocketAddr,
    clients: Vec<TcpStream>,
}

impl Crowd {
    /// Connects `count` clients; connections that fail are left out.
    pub async fn connect(address: SocketAddr, count: usize) -> Self {
        let mut clients = Vec::new();
        for _ in 0..count {
            let connecting = timeout(WRITE_TIMEOUT, TcpStream::connect(address)).await;
            clients.extend(connecting.ok().and_then(Result::ok));
        }
        Self { address, clients }
    }

    /// Sends the same bytes on every connection at once, as far as they are read.
    pub async fn send(&mut self, bytes: &[u8]) {
        let shared = bytes::Bytes::copy_from_slice(bytes);
        let mut sending = JoinSet::new();
        for mut client in self.clients.drain(..) {
            let bytes = shared.clone();
            sending.spawn(async move {
                let _ = timeout(WRITE_TIMEOUT, client.write_all(&bytes)).await;
                client
            });
        }
        self.clients = sending.join_all().await;
    }

    /// Sends a piece `count` times on every connection, so that each arrives alone.
    pub async fn send_in_pieces(&mut self, piece: &[u8], count: usize) {
        for client in &self.clients {
            let _ = client.set_nodelay(true);
        }
        for _ in 0..count {
            for client in &self.clients {
                let _ = client.try_write(piece);
            }
            sleep(PIECE_INTERVAL).await;
        }
    }

    /// Sends bytes over and over, `rounds` times, on new connections in place of closed ones.
    pub async fn send_repeatedly(&mut self, bytes: &[u8], rounds: usize) {
        for _ in 0..rounds {
            self.send(bytes).await;
            for client in &mut self.clients {
                if is_closed(client) {
                    let connecting =
                        timeout(WRITE_TIMEOUT, TcpStream::connect(self.address));
                    if let Ok(Ok(replacement)) = connecting.await {
                        *client = replacement;
                    }
                }
            }
        }
    }

    /// Reads what each client was answered, until its connection is closed or silent for
    /// `silence`.
    pub async fn read(self, silence: Duration) -> Vec<String> {
        let mut reading = JoinSet::new();
        for mut client in self.clients {
            reading.spawn(async move {
                let mut bytes = Vec::new();
                while let Ok(Ok(1..)) =
                    timeout(silence, client.read_buf(&mut bytes)).await
                {}
                String::from_utf8_lossy(&bytes).into_owned()
            });
        }
        reading.join_all().await
    }
}

/// Returns whether the peer has closed a connection on which it has nothing to say.
fn is_closed(client: &TcpStream) -> bool {
    match client.try_read(&mut [0; 1024]) {
        Ok(length) => length == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}
