//! Connections to upstreams, kept open between requests.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::UnixMs;
use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// How long a connection may take to be made.
///
/// A hundred round trips within a region. A host without power never answers,
/// and its requests have to reach another one within their target.
const CONNECT_MS: u64 = 150;

/// After which time without an acknowledgement a connection is given up.
///
/// A host that loses power or is cut off sends no reset; without this, streams
/// to it would hang until their callers leave.
const UNACKNOWLEDGED_MS: u64 = 1_500;

/// After which silence, and how often, a host is asked whether a connection is there.
///
/// The shortest that systems allow.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// How long an idle connection is kept if the upstream names no time.
const DEFAULT_IDLE_MS: u64 = 4_000;

/// How much sooner than the upstream an idle connection is closed.
///
/// A request that crosses the upstream's close would be lost.
const IDLE_MARGIN_MS: u64 = 700;

/// Why a request did not get an answer.
#[derive(Debug, Error)]
pub enum SendError {
    /// No byte of the request left; it can't have run.
    #[error("not sent: {0}")]
    NotSent(String),
    /// It was sent, or part of it; it may have run, and may still run.
    #[error("no answer: {0}")]
    Unanswered(String),
}

/// Why a connection was not made.
#[derive(Debug, Error)]
pub(crate) enum ConnectError {
    /// Nothing listens there.
    #[error("the connection is refused")]
    Refused,
    /// There was no sign in time, or no way.
    #[error("no connection in time: {0}")]
    Silent(String),
    /// It failed for another reason, which says nothing of the other side.
    #[error("no connection: {0}")]
    Failed(String),
}

impl From<ConnectError> for SendError {
    fn from(error: ConnectError) -> Self {
        Self::NotSent(error.to_string())
    }
}

/// Connections to upstreams.
#[derive(Debug)]
pub struct Connections<C> {
    clock: C,
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: UnixMs,
}

/// One connection; closed at once when dropped.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Closing is how an upstream learns that its work is no longer wanted.
        self.driver.abort();
    }
}

impl<C: Clock> Connections<C> {
    /// Creates a pool with no connection.
    pub fn new(clock: C) -> Self {
        Self { clock, idle: Mutex::new(HashMap::new()) }
    }

    /// Returns a connection, one that is kept open if `reuse` allows it.
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

    /// Keeps a connection for later requests, if its last answer allows it.
    pub fn keep(&self, connection: Connection, answer: &HeaderMap) {
        let Some(idle_ms) = idle_ms(answer) else { return };
        if connection.sender.is_closed() {
            return;
        }
        let until = self.clock.now().plus_ms(idle_ms);
        let mut idle = self.idle.lock().unwrap();
        idle.entry(connection.address).or_default().push(Idle { connection, until });
    }

    /// Closes connections that have been idle for too long.
    pub fn close_idle(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap();
        for connections in idle.values_mut() {
            connections.retain(|idle| {
                !idle.until.has_passed_at(now) && !idle.connection.sender.is_closed()
            });
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Closes all idle connections to an address, which may hang unnoticed.
    pub fn drop_idle(&self, address: SocketAddr) {
        self.idle.lock().unwrap().remove(&address);
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap();
        let connections = idle.get_mut(&address)?;
        // The one used last is the least likely to have been closed meanwhile.
        while let Some(Idle { connection, until }) = connections.pop() {
            if !until.has_passed_at(now) && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }
}

impl Connection {
    /// Sends a request and waits for the head of its answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.sender.try_send_request(request).await.map_err(|mut failed| {
            // The library hands a request back only if none of it was written.
            let reason = failed.error().to_string();
            match failed.take_message() {
                Some(_) => SendError::NotSent(reason),
                None => SendError::Unanswered(reason),
            }
        })
    }
}

/// Makes a new connection.
pub(crate) async fn connect(address: SocketAddr) -> Result<Connection, ConnectError> {
    let connecting = TcpStream::connect(address);
    let stream = match timeout(Duration::from_millis(CONNECT_MS), connecting).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(connect_error(&error)),
        Err(late) => return Err(ConnectError::Silent(late.to_string())),
    };
    set_options(&stream);
    keep_alive(&stream);
    reset_on_close(&stream);
    let handshake = http1::Builder::new().handshake(TokioIo::new(stream)).await;
    let failed = |error: hyper::Error| ConnectError::Failed(error.to_string());
    let (sender, connection) = handshake.map_err(failed)?;
    let driver = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("a connection to {address} ended: {error}");
        }
    });
    Ok(Connection { address, sender, driver })
}

fn connect_error(error: &std::io::Error) -> ConnectError {
    match error.kind() {
        ErrorKind::ConnectionRefused => ConnectError::Refused,
        ErrorKind::TimedOut
        | ErrorKind::HostUnreachable
        | ErrorKind::NetworkUnreachable => ConnectError::Silent(error.to_string()),
        _ => ConnectError::Failed(error.to_string()),
    }
}

/// Has a connection end on which a host acknowledges nothing though nothing is sent.
///
/// A stream that waits for its engine sends nothing, so it would stay open for ever at a
/// host without power, and could not be told from one at a host that stands still.
fn keep_alive(stream: &TcpStream) {
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE);
    if let Err(error) = SockRef::from(stream).set_tcp_keepalive(&keepalive) {
        log::warn!("no keepalive to an upstream, a lost host shows late: {error}");
    }
}

/// Has a close discard what has not arrived yet.
///
/// Closed in the usual way, a connection to a host that is cut off still delivers
/// its request once the link heals, seconds after its caller has left.
fn reset_on_close(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::warn!("a socket option was refused, given up requests may arrive: {error}");
    }
}

/// Sends small writes at once and notices a silent peer.
pub fn set_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let unacknowledged = Duration::from_millis(UNACKNOWLEDGED_MS);
    let options =
        [socket.set_tcp_nodelay(true), socket.set_tcp_user_timeout(Some(unacknowledged))];
    for error in options.into_iter().filter_map(Result::err) {
        log::warn!("a socket option was refused, silent peers show later: {error}");
    }
}

/// Returns for how long a connection may stay idle; `None` if it is closing.
fn idle_ms(answer: &HeaderMap) -> Option<u64> {
    let text = |name: &str| answer.get(name).and_then(|value| value.to_str().ok());
    if text("connection").is_some_and(|c| c.eq_ignore_ascii_case("close")) {
        return None;
    }
    let named_s = text("keep-alive").and_then(|value| {
        let parameters = value.split(',').map(str::trim);
        parameters.filter_map(|p| p.strip_prefix("timeout=")).next()?.parse::<u64>().ok()
    });
    let named_ms = named_s.map_or(DEFAULT_IDLE_MS, |seconds| seconds * 1_000);
    named_ms.checked_sub(IDLE_MARGIN_MS)
}
