//! Handlers for the peer calls that do not depend on the process's role.

use bilberry_wire::Body;
use bilberry_wire::EventsResponse;
use bilberry_wire::PiecesResponse;
use bilberry_wire::StateRequest;
use bilberry_wire::StateResponse;

use crate::Node;

impl Node {
    /// Answers a call that does not depend on the role; returns `None` for other calls.
    pub fn handle_common_call(&self, body: Body) -> Option<Body> {
        match body {
            Body::Ping(_) => Some(Body::Pong(true)),
            Body::StateRequest(ask) => Some(Body::StateResponse(self.answer_state(&ask))),
            Body::PiecesRequest(ask) => {
                let pieces = self.config.active().wire_pieces(&ask.hashes);
                Some(Body::PiecesResponse(PiecesResponse { pieces }))
            }
            Body::EventsRequest(ask) => {
                let events = self.events.recent(&ask.request, ask.limit as usize);
                Some(Body::EventsResponse(EventsResponse { events }))
            }
            _ => None,
        }
    }

    fn answer_state(&self, ask: &StateRequest) -> StateResponse {
        let in_force = self.config.active();
        let members = self.members.current();
        let head = match in_force.head.revision > ask.have_revision {
            true => in_force.head_text.clone(),
            false => String::new(),
        };
        let members = match members.digest == ask.members_digest {
            true => Vec::new(),
            false => members.by_process.values().cloned().collect(),
        };
        StateResponse { head, members }
    }
}
