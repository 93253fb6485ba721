//! A pool of HTTP connections to upstreams.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::UnixMs;
use bilberry_node::RequestBody;
use bilberry_platform::FramedBody;
use bilberry_platform::HttpConnection;
pub use bilberry_platform::SendError;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use socket2::SockRef;
use socket2::TcpKeepalive;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The timeout for establishing a connection.
///
/// About a hundred round trips within a region. A host without power never answers, and
/// the request must still get to another host within its target latency.
const CONNECT_TIMEOUT_MS: u64 = 150;

/// How long sent data may stay unacknowledged before the connection is closed.
///
/// A host that loses power or is partitioned sends no reset. Without this timeout,
/// streams from it would hang until their callers disconnect.
const TCP_USER_TIMEOUT_MS: u64 = 1_500;

/// The idle time before the first TCP keepalive probe, and the interval between probes.
///
/// The shortest value that operating systems allow.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// How long an idle connection is kept if the upstream sends no keep-alive timeout.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 4_000;

/// How long before the upstream's own timeout an idle connection is closed.
///
/// A request sent while the upstream closes the connection would be lost.
const IDLE_MARGIN_MS: u64 = 700;

/// Why a connection could not be established.
#[derive(Debug, Error)]
pub(crate) enum ConnectError {
    /// Nothing listens on the port.
    #[error("connection refused")]
    Refused,
    /// The connection attempt timed out, or there is no route to the host.
    #[error("host unreachable or connection timed out: {0}")]
    Unreachable(String),
    /// The attempt failed for a reason unrelated to the state of the host.
    #[error("could not connect: {0}")]
    Failed(String),
}

impl From<ConnectError> for SendError {
    fn from(error: ConnectError) -> Self {
        Self::NotSent(error.to_string())
    }
}

/// A pool of idle connections to upstreams.
#[derive(Debug)]
pub struct ConnectionPool<C> {
    clock: C,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: UnixMs,
}

/// One connection, closed when dropped.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    http: HttpConnection<RequestBody>,
}

impl<C: Clock> ConnectionPool<C> {
    /// Creates an empty pool.
    pub fn new(clock: C) -> Self {
        Self { clock, idle: Mutex::new(HashMap::new()) }
    }

    /// Returns a connection, preferably an idle one if `reuse` is set.
    pub async fn get(
        &self,
        address: SocketAddr,
        reuse: bool,
    ) -> Result<Connection, SendError> {
        match reuse.then(|| self.take_idle(address)).flatten() {
            Some(connection) => Ok(connection),
            None => Ok(connect(address).await?),
        }
    }

    /// Returns a connection to the pool if its last response allows reuse.
    pub fn put_idle(&self, connection: Connection, response_headers: &HeaderMap) {
        let Some(idle_timeout_ms) = idle_timeout_ms(response_headers) else { return };
        if connection.http.is_closed() {
            return;
        }
        let expires_at = self.clock.now().plus_ms(idle_timeout_ms);
        let mut idle = self.idle.lock().unwrap();
        idle.entry(connection.address)
            .or_default()
            .push(IdleConnection { connection, expires_at });
    }

    /// Closes connections whose idle timeout has passed.
    pub fn close_idle(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap();
        for connections in idle.values_mut() {
            connections.retain(|idle| {
                !idle.expires_at.has_passed_at(now) && !idle.connection.http.is_closed()
            });
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Closes all idle connections to an address, as they may be dead without a reset.
    pub fn close_idle_to(&self, address: SocketAddr) {
        self.idle.lock().unwrap().remove(&address);
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap();
        let connections = idle.get_mut(&address)?;
        // The most recently used connection is the least likely to have been closed.
        while let Some(IdleConnection { connection, expires_at }) = connections.pop() {
            if !expires_at.has_passed_at(now) && connection.http.is_ready() {
                return Some(connection);
            }
        }
        None
    }
}

impl Connection {
    /// Returns the address of the upstream.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until another request can be sent after a response was read completely.
    pub(crate) async fn wait_until_ready(&mut self) -> Result<(), SendError> {
        self.http.wait_until_ready().await
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<FramedBody>, SendError> {
        let sent = self.http.send(request).await;
        sent.inspect_err(|error| log::debug!("request to {}: {error}", self.address))
    }

    /// Returns whether bytes that begin no response follow one that was read completely.
    pub(crate) async fn has_surplus_bytes(&mut self) -> bool {
        self.http.has_surplus_bytes().await
    }
}

/// Opens a new connection.
pub(crate) async fn connect(address: SocketAddr) -> Result<Connection, ConnectError> {
    let connecting = TcpStream::connect(address);
    let stream =
        match timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(connect_error(&error)),
            Err(elapsed) => return Err(ConnectError::Unreachable(elapsed.to_string())),
        };
    set_tcp_options(&stream);
    enable_keepalive(&stream);
    reset_on_close(&stream);
    let http = HttpConnection::new(stream).await;
    let http = http.map_err(|error| ConnectError::Failed(error.to_string()))?;
    Ok(Connection { address, http })
}

fn connect_error(error: &std::io::Error) -> ConnectError {
    match error.kind() {
        ErrorKind::ConnectionRefused => ConnectError::Refused,
        ErrorKind::TimedOut
        | ErrorKind::HostUnreachable
        | ErrorKind::NetworkUnreachable => ConnectError::Unreachable(error.to_string()),
        _ => ConnectError::Failed(error.to_string()),
    }
}

/// Enables TCP keepalive, so that a connection to a lost host fails while it is idle.
///
/// A connection that waits for a stream's next event sends nothing. Without probes it
/// would stay open forever if the host lost power, and would look like one to a
/// suspended host.
fn enable_keepalive(stream: &TcpStream) {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    if let Err(error) = SockRef::from(stream).set_tcp_keepalive(&keepalive) {
        log::warn!("could not enable TCP keepalive; host loss is detected late: {error}");
    }
}

/// Makes closing the socket send a reset and discard undelivered data.
///
/// After an ordinary close, the kernel still delivers the request to a partitioned host
/// once the link recovers, seconds after the caller disconnected.
fn reset_on_close(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::warn!(
            "could not set SO_LINGER; cancelled requests may still be delivered: {error}"
        );
    }
}

/// Disables Nagle's algorithm and sets the timeout for unacknowledged data.
pub fn set_tcp_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let user_timeout = Duration::from_millis(TCP_USER_TIMEOUT_MS);
    let options =
        [socket.set_tcp_nodelay(true), socket.set_tcp_user_timeout(Some(user_timeout))];
    for error in options.into_iter().filter_map(Result::err) {
        log::warn!(
            "could not set a TCP option; unresponsive peers are detected late: {error}"
        );
    }
}

/// Returns how long a connection may stay idle, or `None` if the upstream closes it.
fn idle_timeout_ms(response_headers: &HeaderMap) -> Option<u64> {
    let text =
        |name: &str| response_headers.get(name).and_then(|value| value.to_str().ok());
    if text("connection").is_some_and(|c| c.eq_ignore_ascii_case("close")) {
        return None;
    }
    let timeout_s = text("keep-alive").and_then(|value| {
        let parameters = value.split(',').map(str::trim);
        parameters.filter_map(|p| p.strip_prefix("timeout=")).next()?.parse::<u64>().ok()
    });
    let timeout_ms = timeout_s.map_or(DEFAULT_IDLE_TIMEOUT_MS, |seconds| seconds * 1_000);
    timeout_ms.checked_sub(IDLE_MARGIN_MS)
}
