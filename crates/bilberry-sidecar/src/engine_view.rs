//! The last reported state of the engine, which is polled and can be outdated.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use arc_swap::ArcSwap;
use bilberry_core::Name;
use bilberry_core::Scope;
use bilberry_core::weights_with_marker;

use crate::Admission;
use crate::Engine;
use crate::EngineInfo;
use crate::cache::SharedIndex;
use crate::health::Health;

/// The interval at which the engine is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The last reported state of the engine.
#[derive(Debug, Default)]
pub(crate) struct EngineView {
    info: ArcSwap<EngineInfo>,
    marks: Mutex<SaltMarks>,
}

/// Marks for weights whose salt was used while the engine ran other weights.
#[derive(Debug, Default)]
struct SaltMarks {
    incarnation: u64,
    by_version: HashMap<String, u32>,
}

impl EngineView {
    /// Returns the last reported state.
    pub(crate) fn info(&self) -> Arc<EngineInfo> {
        self.info.load_full()
    }

    /// Stores a reported state.
    pub(crate) fn store(&self, info: EngineInfo) {
        self.info.store(Arc::new(info));
    }

    /// Changes the salt of a version, so that blocks cached under the current salt are
    /// no longer used.
    ///
    /// This is necessary after an attempt with the salt of this version was run by an
    /// engine with other weights, which may have cached blocks under that salt. The
    /// attempt is discarded, but the blocks remain: if the version were loaded again,
    /// requests would use them.
    pub(crate) fn mark(&self, version: &str) {
        let incarnation = self.info().incarnation;
        let mut marks = self.marks.lock().unwrap();
        if marks.incarnation != incarnation {
            *marks = SaltMarks { incarnation, by_version: HashMap::new() };
        }
        marks.by_version.insert(version.to_string(), rand::random());
    }

    /// Returns the name of the weights in a state for cache salts, including any mark.
    pub(crate) fn weights(&self, info: &EngineInfo) -> Name {
        let marks = self.marks.lock().unwrap();
        match marks.by_version.get(&info.weights) {
            Some(&mark) if marks.incarnation == info.incarnation => {
                weights_with_marker(&info.weights, mark)
            }
            _ => info.weights.as_str().into(),
        }
    }

    /// Returns the cache scope of a request on the weights in a state.
    pub(crate) fn scope(
        &self,
        info: &EngineInfo,
        customer: &str,
        model: &str,
        adapter: &str,
    ) -> Scope {
        Scope {
            customer: customer.into(),
            model: model.into(),
            adapter: adapter.into(),
            weights: self.weights(info),
        }
    }
}

/// Polls the engine; runs until the task is dropped.
pub(crate) async fn track_engine<E: Engine>(
    engine: E,
    view: Arc<EngineView>,
    admission: Admission,
    index: SharedIndex,
    health: Arc<Health>,
) {
    loop {
        let report = engine.info().await;
        health.record_report(report.is_ok());
        if let Ok(info) = report {
            if info.max_running > 0 {
                admission.set_reported_limit(info.max_running);
            }
            clear_index_after_restart(&index, info.incarnation);
            view.store(info);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Clears the index if the engine was restarted, that is, has another incarnation.
///
/// The event stream may not show the restart for a long time, because no block has been
/// cached yet or because the old connection was not closed. Until then, probe answers
/// would include blocks that no longer exist.
fn clear_index_after_restart(index: &SharedIndex, incarnation: u64) {
    let mut index = index.lock().unwrap();
    if index.incarnation() != incarnation {
        index.reset(incarnation);
    }
}
