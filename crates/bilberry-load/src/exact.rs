//! Full knowledge, as a bound: every engine's cache is read exactly.

use std::collections::HashMap;
use std::sync::Arc;

use bilberry_core::Scope;
use bilberry_entry::ProbeQuery;
use bilberry_entry::ProbeResult;
use bilberry_entry::SidecarProber;
use bilberry_entry::Target;
use bilberry_entry::UpstreamProber;
use bilberry_node::PeerPool;
use bilberry_standins::EngineStandin;

/// Asks every sidecar for its waiting time and reads every engine's cache.
pub struct Exact {
    probing: SidecarProber,
    engines: HashMap<String, Arc<EngineStandin>>,
}

impl Exact {
    /// Creates the bound for engines that run in this process.
    pub fn new(links: PeerPool, engines: Vec<(String, Arc<EngineStandin>)>) -> Self {
        Self {
            probing: SidecarProber::new(links),
            engines: engines.into_iter().collect(),
        }
    }
}

impl UpstreamProber for Exact {
    const PROBES_ALL: bool = true;

    async fn probe(
        &self,
        targets: &[Target],
        question: &ProbeQuery<'_>,
    ) -> Vec<ProbeResult> {
        let mut answers = self.probing.probe(targets, question).await;
        for answer in &mut answers {
            let target = &targets[answer.target];
            let Some(engine) = self.engines.get(target.upstream.as_str()) else {
                continue;
            };
            let scope =
                Scope { weights: target.weights.clone(), ..question.scope.clone() };
            let (depth, _) = engine.look(&scope.salt(), question.prompt);
            answer.view.held_blocks = depth as u64;
        }
        answers
    }
}
