//! Queries to all processes, for the administration API.

use std::net::SocketAddr;
use std::time::Duration;

use bilberry_node::Node;
use bilberry_node::PeerPool;
use bilberry_wire::Body;
use bilberry_wire::Event;
use bilberry_wire::EventsRequest;
use bilberry_wire::Role;
use bilberry_wire::StatusResponse;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use serde::Deserialize;
use serde::Serialize;

/// The time to wait for the answer of a process.
const QUERY_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The maximum number of events to request from a process.
const MAX_EVENTS: u32 = 1_000;

/// The status of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// The name of the process.
    pub process: String,
    /// `entry` or `sidecar`.
    pub role: String,
    /// The upstream of a sidecar; empty for an entry.
    pub upstream: String,
    /// The address for peers.
    pub address: String,
    /// Whether the process answered.
    pub answers: bool,
    /// Whether it has stopped accepting new requests.
    pub leaving: bool,
    /// The configuration revision in force.
    pub revision: u64,
    /// The number of requests in progress.
    pub in_progress: u64,
    /// The number of queued requests.
    pub queued: u64,
    /// The number of blocks in a sidecar's cache index.
    pub cached_blocks: u64,
    /// The weights that the engine runs.
    pub weights: String,
    /// Whether the process can reach the platform.
    pub platform_ok: bool,
}

/// An event of the timeline.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TimelineEvent {
    /// The hybrid logical timestamp, by which the timeline is ordered.
    pub hlc: u64,
    /// The wall-clock part of the timestamp.
    pub unix_ms: u64,
    /// The name of the process.
    pub process: String,
    /// The ID of the request; empty for an event of the process itself.
    pub request: String,
    /// The kind of event.
    pub what: String,
    /// The details.
    pub detail: String,
}

/// Queries the status of all members.
pub(crate) async fn fleet_status(node: &Node, links: &PeerPool) -> Vec<ProcessStatus> {
    let members = node.members.current();
    let mut queries: FuturesUnordered<_> = members
        .by_process
        .values()
        .map(|member| async move {
            let body = Body::StatusRequest(true);
            let response = match member.address.parse::<SocketAddr>() {
                Ok(address) => links.ask(address, body, QUERY_TIMEOUT).await.ok(),
                Err(_) => None,
            };
            let answer = match response {
                Some(Body::StatusResponse(answer)) => Some(answer),
                _ => None,
            };
            let answers = answer.is_some();
            let StatusResponse { member: reported, .. } =
                answer.clone().unwrap_or_default();
            let answer = answer.unwrap_or_default();
            let role = if member.role() == Role::Entry { "entry" } else { "sidecar" };
            ProcessStatus {
                process: member.process.clone(),
                role: role.to_string(),
                upstream: member.upstream.clone(),
                address: member.address.clone(),
                answers,
                leaving: reported.map_or(member.leaving, |reported| reported.leaving),
                revision: answer.revision,
                in_progress: answer.in_progress,
                queued: answer.queued,
                cached_blocks: answer.cached_blocks,
                weights: answer.weights,
                platform_ok: answer.platform_ok,
            }
        })
        .collect();
    let mut statuses = Vec::new();
    while let Some(status) = queries.next().await {
        statuses.push(status);
    }
    statuses.sort_by(|a, b| a.process.cmp(&b.process));
    statuses
}

/// Merges the events of all members into a causally ordered timeline.
pub(crate) async fn fleet_events(
    node: &Node,
    links: &PeerPool,
    request: &str,
) -> Vec<TimelineEvent> {
    let ask = EventsRequest { request: request.to_string(), limit: MAX_EVENTS };
    let others = node.members.current().others(&node.process());
    let mut queries: FuturesUnordered<_> = others
        .into_iter()
        .map(|peer| links.ask(peer, Body::EventsRequest(ask.clone()), QUERY_TIMEOUT))
        .collect();
    let mut events = node.events.recent(request, MAX_EVENTS as usize);
    while let Some(answer) = queries.next().await {
        if let Ok(Body::EventsResponse(answer)) = answer {
            events.extend(answer.events);
        }
    }
    let mut timeline: Vec<_> = events.into_iter().map(timeline_event).collect();
    timeline.sort();
    timeline
}

fn timeline_event(event: Event) -> TimelineEvent {
    TimelineEvent {
        hlc: event.hlc,
        unix_ms: bilberry_core::Hlc(event.hlc).unix_ms(),
        process: event.process,
        request: event.request,
        what: event.what,
        detail: event.detail,
    }
}
