//! The clients of a process, and the memory that they make it hold.

use std::collections::HashMap;
use std::future::poll_fn;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::task::ready;
use std::time::Duration;

use bilberry_core::BootClock;
use bilberry_core::ClientBudget;
use bilberry_core::ClientId;
use bilberry_core::ClientLimits;
use bilberry_core::ClientStage;
use bilberry_core::Clock;
use bilberry_core::Growth;
use bilberry_core::StalledBytes;
use bilberry_core::UnixMs;
use bytes::Bytes;
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::client_metrics::ClientMetrics;

/// How long a new connection waits for others that yield.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// The interval between log lines about clients that yield.
const LOG_INTERVAL_MS: u64 = 10_000;

/// The bytes of a response that wait for a client without being charged to it.
const FREE_RESPONSE_BYTES: usize = 8 * 1024;

/// The size below which a part of a response is copied out of its read buffer.
const MAX_COPIED_BYTES: usize = 4 * 1024;

/// The size of the read buffer that a larger part keeps allocated.
const READ_BUFFER_BYTES: u64 = 16 * 1024;

/// There is no memory for more of a request.
#[derive(Debug, Copy, Clone, PartialEq, Eq, Error)]
#[error("there is no memory for more of this request; send it again later")]
pub struct NoRoom;

/// The connections of clients, with the bound on what they hold together.
#[derive(Debug)]
pub struct Clients {
    clock: BootClock,
    metrics: ClientMetrics,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    budget: ClientBudget,
    /// Whether each connection has to yield.
    signals: HashMap<ClientId, watch::Sender<bool>>,
    /// Tasks that wait for room.
    waiting: Vec<Waker>,
    log: YieldLog,
}

/// What has happened since the last log line.
#[derive(Debug, Default)]
struct YieldLog {
    next_at: UnixMs,
    yielded: u64,
    without_room: u64,
}

impl Clients {
    /// Creates the state of a process without clients.
    pub fn new(limits: ClientLimits, metrics: ClientMetrics) -> Arc<Self> {
        metrics.max_held_bytes.set(limits.memory_bytes as i64);
        let state = State {
            budget: ClientBudget::new(limits, StalledBytes),
            signals: HashMap::new(),
            waiting: Vec::new(),
            log: YieldLog::default(),
        };
        let clock = BootClock::new();
        Arc::new(Self { clock, metrics, state: Mutex::new(state) })
    }

    /// Returns the limits.
    pub fn limits(&self) -> ClientLimits {
        *self.lock().budget.limits()
    }

    /// Admits a new connection once there is room; `None` if there will be none soon.
    pub async fn open(self: &Arc<Self>) -> Option<Arc<ClientConnection>> {
        let opening = poll_fn(|cx| self.poll_open(cx));
        timeout(OPEN_TIMEOUT, opening).await.ok()?
    }

    /// Makes all connections without a whole request yield.
    pub fn yield_all(&self) {
        let mut state = self.lock();
        let chosen = state.budget.yield_all();
        state.request_yield(&chosen);
    }

    fn poll_open(
        self: &Arc<Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Arc<ClientConnection>>> {
        let now = self.clock.now();
        let mut state = self.lock();
        let opened = state.budget.open(now);
        let id = match ready!(self.record_growth(&mut state, opened, cx, now)) {
            Ok(id) => id,
            Err(NoRoom) => return Poll::Ready(None),
        };
        let (signal, yields) = watch::channel(false);
        state.signals.insert(id, signal);
        Poll::Ready(Some(Arc::new(ClientConnection {
            clients: self.clone(),
            id,
            yields,
            unsent_bytes: AtomicUsize::new(0),
        })))
    }

    /// Records a decision of the budget, and has the task woken if it has to wait.
    fn record_growth<T>(
        &self,
        state: &mut State,
        growth: Growth<T>,
        cx: &mut Context<'_>,
        now: UnixMs,
    ) -> Poll<Result<T, NoRoom>> {
        match growth {
            Growth::Granted(granted) => {
                self.update_metrics(state);
                Poll::Ready(Ok(granted))
            }
            Growth::AwaitsRoom(chosen) => {
                self.record_yields(state, &chosen, now);
                state.wait(cx.waker());
                Poll::Pending
            }
            Growth::Refused => {
                self.metrics.without_room.inc();
                state.log.without_room += 1;
                state.write_log(now);
                Poll::Ready(Err(NoRoom))
            }
        }
    }

    fn record_yields(&self, state: &mut State, chosen: &[ClientId], now: UnixMs) {
        for id in chosen {
            if let Some(stage) = state.budget.stage(*id) {
                self.metrics.count_yielded(stage);
            }
        }
        state.request_yield(chosen);
        state.log.yielded += chosen.len() as u64;
        state.write_log(now);
    }

    fn update_metrics(&self, state: &State) {
        let budget = &state.budget;
        self.metrics.set_held(
            budget.whole_bytes(),
            budget.held_bytes(),
            budget.connections(),
        );
    }

    /// Changes the budget and wakes the tasks that wait for room.
    fn release(&self, change: impl FnOnce(&mut State, UnixMs)) {
        let mut state = self.lock();
        change(&mut state, self.clock.now());
        self.update_metrics(&state);
        let waiting = std::mem::take(&mut state.waiting);
        drop(state);
        waiting.into_iter().for_each(Waker::wake);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }
}

impl State {
    fn request_yield(&self, chosen: &[ClientId]) {
        for signal in chosen.iter().filter_map(|id| self.signals.get(id)) {
            signal.send_replace(true);
        }
    }

    fn wait(&mut self, waker: &Waker) {
        if !self.waiting.iter().any(|waiting| waiting.will_wake(waker)) {
            self.waiting.push(waker.clone());
        }
    }

    /// Writes a log line unless there was one a short time ago.
    fn write_log(&mut self, now: UnixMs) {
        if !self.log.next_at.has_passed_at(now) {
            return;
        }
        log::warn!(
            target: "clients",
            connections = self.budget.connections(),
            held_bytes = self.budget.held_bytes(),
            whole_bytes = self.budget.whole_bytes(),
            max_bytes = self.budget.limits().memory_bytes,
            yielded = self.log.yielded,
            without_room = self.log.without_room;
            "incomplete requests make room for others"
        );
        let next_at = now.plus_ms(LOG_INTERVAL_MS);
        self.log = YieldLog { next_at, ..YieldLog::default() };
    }
}

/// One connection of a client; its memory is returned when the last reference is dropped.
#[derive(Debug)]
pub struct ClientConnection {
    clients: Arc<Clients>,
    id: ClientId,
    yields: watch::Receiver<bool>,
    /// The bytes of responses that wait for the client.
    unsent_bytes: AtomicUsize,
}

impl ClientConnection {
    /// Returns the largest request that the memory holds while nothing else is held.
    pub(crate) fn max_request_bytes(&self) -> u64 {
        self.clients.limits().max_request_bytes()
    }

    /// Records the stage of the connection's request.
    pub(crate) fn set_stage(&self, stage: ClientStage) {
        self.clients.release(|state, now| {
            state.budget.set_stage(self.id, stage, now);
            if stage == ClientStage::Whole {
                state.signals[&self.id].send_replace(false);
            }
        });
    }

    /// Returns the stage of the connection's request.
    pub(crate) fn stage(&self) -> ClientStage {
        self.clients.lock().budget.stage(self.id).unwrap_or(ClientStage::Closing)
    }

    /// Records that the bytes of an incomplete request were given up.
    pub(crate) fn settle(&self) {
        self.clients.release(|state, now| {
            state.budget.settle(self.id, now);
            state.signals[&self.id].send_replace(false);
        });
    }

    /// Waits until the connection has to yield.
    pub(crate) async fn yield_requested(&self) {
        let mut yields = self.yields.clone();
        let _ = yields.wait_for(|yields| *yields).await;
    }

    /// Waits until the connection has to yield while no handler reads a body from it.
    pub(crate) async fn close_requested(&self) {
        let mut yields = self.yields.clone();
        loop {
            let _ = yields.wait_for(|yields| *yields).await;
            match self.stage() {
                ClientStage::Idle | ClientStage::Head | ClientStage::Closing => return,
                ClientStage::Body | ClientStage::Whole => {}
            }
            let _ = yields.wait_for(|yields| !*yields).await;
        }
    }

    /// Charges bytes to the connection once there is room.
    pub(crate) async fn grow(&self, bytes: u64) -> Result<(), NoRoom> {
        poll_fn(|cx| self.poll_grow(bytes, cx)).await
    }

    /// Polls for room for bytes of the connection.
    pub(crate) fn poll_grow(
        &self,
        bytes: u64,
        cx: &mut Context<'_>,
    ) -> Poll<Result<(), NoRoom>> {
        let clients = &self.clients;
        let now = clients.clock.now();
        let mut state = clients.lock();
        let grown = state.budget.grow(self.id, bytes, now);
        clients.record_growth(&mut state, grown, cx, now)
    }

    /// Returns bytes that were charged to the connection.
    pub(crate) fn shrink(&self, bytes: u64) {
        if bytes > 0 {
            self.clients.release(|state, _| state.budget.shrink(self.id, bytes));
        }
    }

    /// Charges a part of a response to the connection until it is written.
    ///
    /// A response is never given up; while there is no room, its next part waits until
    /// earlier ones were written.
    pub async fn hold(self: &Arc<Self>, part: Bytes) -> Bytes {
        let is_small = part.len() <= MAX_COPIED_BYTES;
        let unsent_bytes = self.unsent_bytes.fetch_add(part.len(), Ordering::Relaxed);
        let mut held = HeldPart { part, client: self.clone(), charged_bytes: 0 };
        if unsent_bytes > 0 && unsent_bytes + held.part.len() > FREE_RESPONSE_BYTES {
            let bytes = match is_small {
                true => held.part.len() as u64,
                false => READ_BUFFER_BYTES.max(held.part.len() as u64),
            };
            poll_fn(|cx| self.poll_hold(bytes, cx)).await;
            held.charged_bytes = bytes;
        }
        if is_small {
            held.part = Bytes::copy_from_slice(&held.part);
        }
        Bytes::from_owner(held)
    }

    fn poll_hold(&self, bytes: u64, cx: &mut Context<'_>) -> Poll<()> {
        if self.poll_grow(bytes, cx) == Poll::Ready(Ok(())) {
            return Poll::Ready(());
        }
        self.clients.lock().wait(cx.waker());
        Poll::Pending
    }

    /// Starts a charge for a buffer, which is returned when it is dropped.
    pub fn charge(self: &Arc<Self>) -> ClientCharge {
        ClientCharge { client: self.clone(), bytes: 0 }
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.clients.release(|state, _| {
            state.budget.close(self.id);
            state.signals.remove(&self.id);
        });
    }
}

/// Bytes of a buffer that are charged to a connection until this is dropped.
#[derive(Debug)]
pub struct ClientCharge {
    client: Arc<ClientConnection>,
    bytes: u64,
}

impl ClientCharge {
    /// Charges more bytes once there is room.
    pub async fn add(&mut self, bytes: u64) -> Result<(), NoRoom> {
        self.client.grow(bytes).await?;
        self.bytes += bytes;
        Ok(())
    }

    /// Charges more bytes if there is room now.
    pub fn try_add(&mut self, bytes: u64) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        let is_granted = self.client.poll_grow(bytes, &mut cx) == Poll::Ready(Ok(()));
        self.bytes += if is_granted { bytes } else { 0 };
        is_granted
    }

    /// Attaches the charge to the bytes of the buffer.
    pub fn attach(self, part: Bytes) -> Bytes {
        Bytes::from_owner(ChargedPart { part, _charge: self })
    }
}

impl Drop for ClientCharge {
    fn drop(&mut self) {
        self.client.shrink(self.bytes);
    }
}

/// A part of a response that waits for its client.
struct HeldPart {
    part: Bytes,
    client: Arc<ClientConnection>,
    charged_bytes: u64,
}

impl AsRef<[u8]> for HeldPart {
    fn as_ref(&self) -> &[u8] {
        &self.part
    }
}

impl Drop for HeldPart {
    fn drop(&mut self) {
        self.client.unsent_bytes.fetch_sub(self.part.len(), Ordering::Relaxed);
        self.client.shrink(self.charged_bytes);
    }
}

/// A buffer with its charge.
struct ChargedPart {
    part: Bytes,
    _charge: ClientCharge,
}

impl AsRef<[u8]> for ChargedPart {
    fn as_ref(&self) -> &[u8] {
        &self.part
    }
}
