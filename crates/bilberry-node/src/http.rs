//! HTTP servers with graceful shutdown.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bilberry_core::ClientLimits;
use bilberry_core::ClientStage;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::ClientBody;
use crate::ClientConnection;
use crate::ClientMetrics;
use crate::ClientTimeouts;
use crate::Clients;
use crate::ResponseBody;
use crate::StartError;
use crate::client_io::ClientIo;
use crate::client_timeouts::ClientPhase;
use crate::client_timeouts::TimedBody;
use crate::request_body::UnreadBody;

/// The connections that the kernel accepts ahead of a listener, each with a receive buffer.
const LISTEN_BACKLOG: u32 = 256;

/// The bytes of a head besides those that its limit counts: its method and version.
const UNCOUNTED_HEAD_BYTES: usize = 1_024;

/// The size of the shortest line of a head.
const SHORTEST_LINE_BYTES: usize = 4;

/// The largest number of lines of a head, which are allocated for each one that is parsed.
const MAX_HEAD_LINES: usize = 4_096;

/// The room in the read buffer of a connection besides a head.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// The longest time that a stop waits for requests that are not read whole.
const INCOMPLETE_REQUESTS_TIMEOUT: Duration = Duration::from_secs(1);

/// Handles HTTP requests.
pub trait HttpHandler: Send + Sync + 'static {
    /// Returns the current client timeouts if they can change at run time.
    fn client_times(&self) -> Option<ClientTimeouts> {
        None
    }

    /// Returns the current maximum size of a request head if it can change at run time.
    fn max_head_bytes(&self) -> Option<usize> {
        None
    }

    /// Decides whether to admit a new connection; others are closed unread.
    fn admits_connection(&self) -> bool {
        true
    }

    /// Handles one request.
    fn handle(
        self: Arc<Self>,
        request: Request<ClientBody>,
    ) -> impl Future<Output = Response<ResponseBody>> + Send;
}

/// The limits of a server on its clients.
#[derive(Debug, Clone, Copy)]
pub struct HttpLimits {
    /// The maximum size of a request head.
    pub header_bytes: usize,
    /// The timeout for receiving a request head and for idle connections, unless
    /// the handler provides its own.
    pub header_ms: u64,
    /// The maximum number of open connections.
    pub connections: usize,
}

/// A server that completes requests in progress on shutdown.
#[derive(Debug)]
pub struct GracefulServer {
    stop: tokio::sync::oneshot::Sender<()>,
    serving: tokio::task::JoinHandle<GracefulShutdown>,
    clients: Arc<Clients>,
}

/// Listens on an address; an error names the settings key of the address.
pub async fn bind(
    key: &'static str,
    address: SocketAddr,
    limits: ClientLimits,
) -> Result<TcpListener, StartError> {
    listen(address, limits.receive_buffer_bytes).map_err(|error| StartError::Listen {
        key,
        address: address.to_string(),
        reason: error.to_string(),
    })
}

/// Listens with a receive buffer of a fixed size.
///
/// A receive buffer grows by itself otherwise, and holds megabytes that nobody reads.
/// Connections inherit the size only if it is set before the socket listens.
fn listen(
    address: SocketAddr,
    receive_buffer_bytes: u64,
) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    if let Err(error) = socket.set_recv_buffer_size(receive_buffer_bytes as u32) {
        log::warn!("failed to set the size of receive buffers on {address}: {error}");
    }
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

impl GracefulServer {
    /// Starts serving clients of which only the number of connections is bounded.
    pub fn start<H: HttpHandler>(
        listener: TcpListener,
        limits: HttpLimits,
        handler: Arc<H>,
    ) -> Self {
        let bound = ClientLimits {
            memory_bytes: u64::MAX / 2,
            reserved_bytes: 0,
            connection_bytes: 0,
            connections: limits.connections,
            receive_buffer_bytes: 0,
        };
        let clients = Clients::new(bound, ClientMetrics::default());
        Self::start_within(listener, limits, clients, handler)
    }

    /// Starts serving clients, which are bounded together with all others of `clients`.
    pub fn start_within<H: HttpHandler>(
        listener: TcpListener,
        limits: HttpLimits,
        clients: Arc<Clients>,
        handler: Arc<H>,
    ) -> Self {
        let (stop, stopped) = tokio::sync::oneshot::channel();
        let server = Server { limits, handler, clients: clients.clone() };
        let serving = tokio::spawn(server.accept(listener, stopped));
        Self { stop, serving, clients }
    }

    /// Stops accepting connections and waits up to `wait` for open ones to finish.
    ///
    /// Requests that are not read whole are refused after a part of that time. Returns false
    /// if some connections did not finish in time.
    pub async fn stop(self, wait: Duration) -> bool {
        let _ = self.stop.send(());
        let Ok(graceful) = self.serving.await else { return false };
        let mut finished = std::pin::pin!(graceful.shutdown());
        let first_wait = INCOMPLETE_REQUESTS_TIMEOUT.min(wait / 2);
        if timeout(first_wait, &mut finished).await.is_ok() {
            return true;
        }
        self.clients.yield_all();
        timeout(wait - first_wait, finished).await.is_ok()
    }
}

/// Serves the clients of one listener.
struct Server<H> {
    limits: HttpLimits,
    handler: Arc<H>,
    clients: Arc<Clients>,
}

impl<H: HttpHandler> Server<H> {
    async fn accept(
        self,
        listener: TcpListener,
        mut stopped: tokio::sync::oneshot::Receiver<()>,
    ) -> GracefulShutdown {
        let graceful = GracefulShutdown::new();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = &mut stopped => return graceful,
            };
            let Ok((socket, _)) = accepted else {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            if !self.handler.admits_connection() {
                continue;
            }
            let client = tokio::select! {
                client = self.clients.open() => client,
                _ = &mut stopped => return graceful,
            };
            // Without room, close the connection immediately instead of queueing it.
            if let Some(client) = client {
                self.serve(socket, client, &graceful);
            }
        }
    }

    fn serve(
        &self,
        socket: TcpStream,
        client: Arc<ClientConnection>,
        graceful: &GracefulShutdown,
    ) {
        let _ = socket.set_nodelay(true);
        let (handler, limits) = (self.handler.clone(), self.limits);
        let times = {
            let handler = handler.clone();
            move || client_times(handler.as_ref(), limits)
        };
        let phase = ClientPhase::new(times());
        let unread = Arc::new(UnreadBody::default());
        let io =
            ClientIo::new(socket, times, phase.clone(), client.clone(), unread.clone());
        let builder = self.connection_builder();
        let requests_client = client.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let handler = handler.clone();
            let phase = phase.clone();
            let client = requests_client.clone();
            phase.begin_response();
            client.set_stage(ClientStage::Whole);
            unread.set(false);
            let unread = unread.clone();
            let request = request.map(|body| ClientBody::new(body, client, unread));
            async move {
                let answer = handler.clone().handle(request).await;
                let times = client_times(handler.as_ref(), limits);
                let answer = answer.map(|body| TimedBody::new(body, times, phase));
                Ok::<_, Infallible>(answer)
            }
        });
        let connection = builder.serve_connection(TokioIo::new(io), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            tokio::select! {
                _ = connection => {}
                _ = client.close_requested() => {}
            }
        });
    }

    /// Returns the settings of a connection, with the current limit on heads.
    fn connection_builder(&self) -> http1::Builder {
        let max_head_bytes =
            self.handler.max_head_bytes().unwrap_or(self.limits.header_bytes);
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            // Timeouts are enforced by the connection, see `client_times`.
            .header_read_timeout(None)
            .max_header_size(max_head_bytes + UNCOUNTED_HEAD_BYTES)
            .max_headers((max_head_bytes / SHORTEST_LINE_BYTES).min(MAX_HEAD_LINES))
            .max_buf_size(max_head_bytes + UNCOUNTED_HEAD_BYTES + READ_BUFFER_BYTES)
            // Clients that close only their sending half still read the response.
            .half_close(false);
        builder
    }
}

fn client_times<H: HttpHandler>(handler: &H, limits: HttpLimits) -> ClientTimeouts {
    let fixed = ClientTimeouts { header_ms: limits.header_ms, idle_ms: limits.header_ms };
    handler.client_times().unwrap_or(fixed)
}

/// Returns a response with a JSON body.
pub fn json_response<T: Serialize>(
    status: StatusCode,
    value: &T,
) -> Response<ResponseBody> {
    let text = serde_json::to_vec(value).expect("response types are serializable");
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, "application/json")
        .body(ResponseBody::full(text))
        .expect("constant headers are valid")
}
