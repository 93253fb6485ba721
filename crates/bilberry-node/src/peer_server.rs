//! The server for calls from peers.

use std::collections::HashMap;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bilberry_wire::Body;
use bilberry_wire::Frame;
use bilberry_wire::FrameCodec;
use futures_util::StreamExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_util::codec::FramedRead;
use tokio_util::codec::FramedWrite;

use crate::ClientConnection;
use crate::Clients;
use crate::FrameMeter;
use crate::MeteredStream;
use crate::Node;
use crate::link::send_frames;

/// The time without a frame after which a connection with calls in progress is
/// closed.
///
/// A peer with calls in progress sends pings at a much shorter interval.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// The capacity of the send queue of one connection, in frames.
const SEND_QUEUE_FRAMES: usize = 256;

/// Finished tasks are removed when the number of tasks is a multiple of this.
const CLEANUP_INTERVAL: usize = 64;

/// Handles calls from peers.
pub trait PeerHandler: Send + Sync + 'static {
    /// Handles one call; the future is dropped if the peer cancels the call or
    /// disconnects.
    fn handle(&self, body: Body, reply: Reply) -> impl Future<Output = ()> + Send;
}

/// Sends answers to the peer that made a call.
#[derive(Debug, Clone)]
pub struct Reply {
    call: u64,
    node: Arc<Node>,
    frames: mpsc::Sender<Frame>,
}

impl Reply {
    /// Sends a message; returns false if the peer has disconnected.
    pub async fn send(&self, body: Body) -> bool {
        self.frames.send(self.node.frame(self.call, body)).await.is_ok()
    }
}

/// Accepts peer connections until the task is dropped.
pub async fn serve_peers<H: PeerHandler>(
    node: Arc<Node>,
    listener: TcpListener,
    clients: Arc<Clients>,
    handler: Arc<H>,
) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                let Some(client) = clients.open().await else { continue };
                tokio::spawn(serve_peer(node.clone(), socket, client, handler.clone()));
            }
            Err(error) => {
                log::warn!("failed to accept a peer connection: {error}");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_peer<H: PeerHandler>(
    node: Arc<Node>,
    socket: TcpStream,
    client: Arc<ClientConnection>,
    handler: Arc<H>,
) {
    let _ = socket.set_nodelay(true);
    let (reader, writer) = socket.into_split();
    let (reader, meter) = MeteredStream::new(reader, client);
    let (frames, queue) = mpsc::channel(SEND_QUEUE_FRAMES);
    let writer = FramedWrite::new(writer, FrameCodec::new());
    let sending = tokio::spawn(send_frames(writer, queue));
    let mut calls = Calls { node, frames, handler, tasks: HashMap::new() };
    tokio::select! {
        _ = calls.serve(FramedRead::new(reader, FrameCodec::new()), &meter) => {}
        _ = meter.close_requested() => {}
    }
    // Abort the calls of a disconnected peer, which cancels them down to the engine.
    // Otherwise they would occupy capacity until they complete.
    for task in calls.tasks.values() {
        task.abort();
    }
    sending.abort();
}

/// The calls in progress on one connection.
struct Calls<H> {
    node: Arc<Node>,
    frames: mpsc::Sender<Frame>,
    handler: Arc<H>,
    tasks: HashMap<u64, JoinHandle<()>>,
}

impl<H: PeerHandler> Calls<H> {
    async fn serve<R>(
        &mut self,
        mut frames: FramedRead<R, FrameCodec>,
        meter: &FrameMeter,
    ) where
        R: tokio::io::AsyncRead + Unpin,
    {
        let mut from = String::new();
        loop {
            match timeout(IDLE_TIMEOUT, frames.next()).await {
                Ok(Some(Ok(frame))) => {
                    meter.record_frame();
                    if let Some(Body::Hello(hello)) = &frame.body {
                        from.clone_from(&hello.address);
                    }
                    self.node.observe(&frame, &from);
                    self.handle_frame(frame).await;
                }
                Ok(_) => return,
                Err(_) => {
                    self.remove_finished();
                    if !self.tasks.is_empty() {
                        return;
                    }
                }
            }
        }
    }

    async fn handle_frame(&mut self, frame: Frame) {
        match frame.body {
            None | Some(Body::Hello(_)) => {}
            Some(Body::Ping(_)) => {
                let pong = self.node.frame(frame.call, Body::Pong(true));
                let _ = self.frames.send(pong).await;
            }
            Some(Body::Cancel(_)) => {
                if let Some(task) = self.tasks.remove(&frame.call) {
                    task.abort();
                }
            }
            Some(body) => self.start(frame.call, body),
        }
    }

    fn start(&mut self, call: u64, body: Body) {
        // Ignore duplicate frames, so that a call is not started twice.
        if self.tasks.contains_key(&call) {
            return;
        }
        let reply = Reply { call, node: self.node.clone(), frames: self.frames.clone() };
        let handler = self.handler.clone();
        let task = tokio::spawn(async move { handler.handle(body, reply).await });
        self.tasks.insert(call, task);
        if self.tasks.len().is_multiple_of(CLEANUP_INTERVAL) {
            self.remove_finished();
        }
    }

    fn remove_finished(&mut self) {
        self.tasks.retain(|_, task| !task.is_finished());
    }
}
