//! Reconciliation of the engine's weights with the configuration.
//!
//! An actor compares the weights that the engine runs with the configured ones. An
//! order to load weights requires the lease of the upstream, whose object version is
//! the fencing token, and a slot of the pool, which limits how many engines load
//! weights at the same time.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bilberry_config::Pool;
use bilberry_core::Clock;
use bilberry_core::Lease;
use bilberry_core::LeaseStep;
use bilberry_core::Name;
use bilberry_core::Slots;
use bilberry_core::SystemClock;
use bilberry_platform::Platform;
use bilberry_platform::PlatformError;
use bilberry_platform::WriteResult;
use bilberry_platform::write_or_read_back;
use serde::de::DeserializeOwned;
use xtra::prelude::*;

use crate::Engine;
use crate::EngineError;
use crate::PlainService;
use crate::Sidecar;

/// The key prefix of leases, which are stored by upstream.
const LEASES_PREFIX: &str = "leases/";

/// The key prefix of load slots, which are stored by pool.
const ROLLOUTS_PREFIX: &str = "rollouts/";

/// The interval between comparisons of the engine with the configuration.
const COMPARE_INTERVAL: Duration = Duration::from_millis(250);

/// The duration of a lease, which is renewed only while an order is pending.
const LEASE_DURATION_MS: u64 = 3_000;

/// The time that an order may take to reach the engine.
const ORDER_DELIVERY_MS: u64 = 500;

/// The time that a new holder waits after the expiry of the previous lease if the
/// upstream does not check fencing tokens.
const UNFENCED_MARGIN_MS: u64 = 1_000;

/// The time after which the slot of a failed holder expires; longer than any load.
const SLOT_TTL_MS: u64 = 90_000;

/// The maximum time to wait for running requests before weights are loaded.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(45);

/// The interval at which a drain polls the number of running requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The actor that sends load orders to an engine.
struct WeightOrders<P, E, S> {
    sidecar: Arc<Sidecar<P, E, S>>,
    holder: Name,
}

// The derive macro only requires the type parameters to be `Send`, which does not
// suffice for a shared sidecar.
impl<P: Platform, E: Engine, S: PlainService> Actor for WeightOrders<P, E, S> {
    type Stop = ();

    async fn stopped(self) {}
}

/// Triggers a comparison.
struct Compare;

/// The configured state of the engine.
struct DesiredState {
    weights: Name,
    pool: Arc<Pool>,
    checks_fencing: bool,
}

/// The reason why no order was sent; the next comparison tries again.
enum Postponed {
    Platform(PlatformError),
    Engine(EngineError),
    Waiting,
}

/// Starts the actor for a sidecar.
pub(crate) fn start_orders<P: Platform, E: Engine, S: PlainService>(
    sidecar: Arc<Sidecar<P, E, S>>,
) {
    let member = sidecar.node.member();
    let holder = Name::from(format!("{}/{:x}", member.process, member.incarnation));
    let actor = xtra::spawn_tokio(WeightOrders { sidecar, holder }, Mailbox::unbounded());
    tokio::spawn(async move {
        while actor.send(Compare).await.is_ok() {
            tokio::time::sleep(COMPARE_INTERVAL).await;
        }
    });
}

impl<P: Platform, E: Engine, S: PlainService> Handler<Compare> for WeightOrders<P, E, S> {
    type Return = ();

    async fn handle(&mut self, _: Compare, _: &mut Context<Self>) {
        let Some(desired) = self.desired() else { return };
        match self.load(&desired).await {
            Ok(()) | Err(Postponed::Waiting) => {}
            Err(Postponed::Platform(error)) => log::debug!("order postponed: {error}"),
            Err(Postponed::Engine(error)) => {
                let events = &self.sidecar.node.events;
                events.record("", "order_failed", error.to_string());
            }
        }
    }
}

impl<P: Platform, E: Engine, S: PlainService> WeightOrders<P, E, S> {
    /// Returns the configured state if the engine runs other weights.
    fn desired(&self) -> Option<DesiredState> {
        let compiled = self.sidecar.node.config.compiled();
        let upstream = compiled.upstreams.get(&self.sidecar.upstream)?;
        let model = compiled.models.values().find(|model| model.pool == upstream.pool)?;
        let current = self.sidecar.view.info();
        if current.weights.is_empty() || model.weights == current.weights {
            return None;
        }
        Some(DesiredState {
            weights: model.weights.clone(),
            pool: compiled.pools.get(&upstream.pool)?.clone(),
            checks_fencing: upstream.checks_fencing,
        })
    }

    async fn load(&mut self, desired: &DesiredState) -> Result<(), Postponed> {
        self.acquire_lease(desired).await?;
        self.acquire_slot(desired).await?;
        let result = self.load_in_slot(desired).await;
        self.release_slot(desired).await?;
        result
    }

    async fn load_in_slot(&mut self, desired: &DesiredState) -> Result<(), Postponed> {
        // Running requests complete on their current weights; new ones wait.
        let pause = self.sidecar.admission.pause();
        self.drain().await;
        // The lease may have expired during the drain, or while this process was
        // suspended. It is therefore renewed, and its stored deadline is checked
        // immediately before the order.
        let (lease, fencing) = self.acquire_lease(desired).await?;
        if !lease.allows_order(SystemClock.now(), ORDER_DELIVERY_MS) {
            return Err(Postponed::Waiting);
        }
        let result = self.sidecar.engine.load_weights(&desired.weights, fencing).await;
        let detail = format!("{} under {fencing}", desired.weights);
        self.sidecar.node.events.record("", "weights_ordered", detail);
        // The engine is queried for its weights even if the order failed, as an order
        // whose response was lost may have been executed.
        if let Ok(info) = self.sidecar.engine.info().await {
            self.sidecar.view.store(info);
        }
        drop(pause);
        result.map_err(Postponed::Engine)
    }

    async fn drain(&self) {
        let running = async {
            while self.sidecar.admission.running() > 0 {
                tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        let _ = tokio::time::timeout(DRAIN_TIMEOUT, running).await;
    }

    /// Acquires or renews the lease; returns it with its fencing token.
    async fn acquire_lease(
        &self,
        desired: &DesiredState,
    ) -> Result<(Lease, u64), Postponed> {
        let key = format!("{LEASES_PREFIX}{}", self.sidecar.upstream);
        let (found, version) = self.read::<Lease>(&key).await?;
        let now = SystemClock.now();
        let until = now.plus_ms(LEASE_DURATION_MS);
        let margin_ms = if desired.checks_fencing { 0 } else { UNFENCED_MARGIN_MS };
        match (Lease::step(found.as_ref(), &self.holder, now, until, margin_ms), found) {
            (LeaseStep::Held, Some(lease)) => Ok((lease, version)),
            (LeaseStep::Write(lease), _) => {
                let version = self.write(&key, &lease, version).await?;
                self.sidecar.fencing.store(version, Ordering::Relaxed);
                Ok((lease, version))
            }
            _ => Err(Postponed::Waiting),
        }
    }

    async fn acquire_slot(&self, desired: &DesiredState) -> Result<(), Postponed> {
        let key = format!("{ROLLOUTS_PREFIX}{}", desired.pool.name);
        let (found, version) = self.read::<Slots>(&key).await?;
        let now = SystemClock.now();
        let until = now.plus_ms(SLOT_TTL_MS);
        let max_loads = desired.pool.max_loads;
        let slots = found.unwrap_or_default();
        let taken = slots.take(&self.sidecar.upstream, max_loads, now, until);
        let taken = taken.ok_or(Postponed::Waiting)?;
        self.write(&key, &taken, version).await.map(|_| ())
    }

    async fn release_slot(&self, desired: &DesiredState) -> Result<(), Postponed> {
        let key = format!("{ROLLOUTS_PREFIX}{}", desired.pool.name);
        loop {
            let (found, version) = self.read::<Slots>(&key).await?;
            let now = SystemClock.now();
            let slots = found.unwrap_or_default();
            if !slots.holds(&self.sidecar.upstream, now) {
                return Ok(());
            }
            let released = slots.release(&self.sidecar.upstream, now);
            match self.write(&key, &released, version).await {
                // The slots were changed concurrently by another upstream.
                Err(Postponed::Waiting) => {}
                done => return done.map(|_| ()),
            }
        }
    }

    async fn read<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<(Option<T>, u64), Postponed> {
        let object =
            self.sidecar.platform.read(key).await.map_err(Postponed::Platform)?;
        let version = object.as_ref().map_or(0, |object| object.version);
        let value = object.and_then(|object| object.value);
        Ok((value.and_then(|text| serde_json::from_str(&text).ok()), version))
    }

    async fn write<T: serde::Serialize>(
        &self,
        key: &str,
        value: &T,
        expected: u64,
    ) -> Result<u64, Postponed> {
        let text =
            serde_json::to_string(value).expect("leases and slots are serializable");
        let is_ours = |found: &str| found == text;
        let platform = &self.sidecar.platform;
        match write_or_read_back(platform, key, &text, expected, is_ours).await {
            Ok(WriteResult::Written(version)) => Ok(version),
            Ok(WriteResult::Conflict(_)) => Err(Postponed::Waiting),
            Err(error) => Err(Postponed::Platform(error)),
        }
    }
}
