//! Tracking of the engine's cache by its events.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bilberry_core::CacheIndex;
use bilberry_core::IndexState;
use bilberry_node::Node;

use crate::Engine;
use crate::EngineError;
use crate::EngineEvents;

/// The delay before a new subscription to cache events.
const RESUBSCRIBE_DELAY: Duration = Duration::from_millis(200);

/// The shared index of the engine's cached blocks.
pub(crate) type SharedIndex = Arc<Mutex<CacheIndex>>;

/// Keeps the index up to date; runs until the task is dropped.
pub(crate) async fn track_cache<E: Engine>(
    engine: E,
    node: Arc<Node>,
    index: SharedIndex,
) {
    loop {
        if let Err(error) = subscribe(&engine, &node, &index).await {
            log::debug!("resubscribing to cache events: {error}");
        }
        // Events were missed, possibly including restarts of the engine, so the index
        // is unreliable until the next snapshot.
        index.lock().unwrap().mark_incomplete();
        tokio::time::sleep(RESUBSCRIBE_DELAY).await;
    }
}

async fn subscribe<E: Engine>(
    engine: &E,
    node: &Node,
    index: &SharedIndex,
) -> Result<(), EngineError> {
    // The subscription starts before the snapshot is taken, so that no event is
    // missed; events that the snapshot already includes are ignored.
    let mut events = engine.events().await?;
    resync(engine, index).await?;
    loop {
        let event = events.next().await?;
        node.metrics.cache_events.inc();
        let state = index.lock().unwrap().apply(event);
        if state == IndexState::Incomplete {
            node.metrics.cache_event_gaps.inc();
            node.events.record("", "cache_events_lost", "the index is fetched anew");
            resync(engine, index).await?;
        }
    }
}

async fn resync<E: Engine>(engine: &E, index: &SharedIndex) -> Result<(), EngineError> {
    let snapshot = engine.snapshot().await?;
    let mut index = index.lock().unwrap();
    index.load_snapshot(snapshot.incarnation, snapshot.next_sequence, snapshot.blocks);
    Ok(())
}
