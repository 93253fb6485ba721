//! Handlers for the peer calls that do not depend on the process's role.

use bilberry_wire::Body;
use bilberry_wire::EventsAnswer;
use bilberry_wire::PiecesAnswer;
use bilberry_wire::StateAnswer;
use bilberry_wire::StateAsk;

use crate::Node;

impl Node {
    /// Answers a call that does not depend on the role; returns `None` for other calls.
    pub fn answer_common(&self, body: Body) -> Option<Body> {
        match body {
            Body::Ping(_) => Some(Body::Pong(true)),
            Body::StateAsk(ask) => Some(Body::StateAnswer(self.answer_state(&ask))),
            Body::PiecesAsk(ask) => {
                let pieces = self.config.in_force().wire_pieces(&ask.hashes);
                Some(Body::PiecesAnswer(PiecesAnswer { pieces }))
            }
            Body::EventsAsk(ask) => {
                let events = self.events.recent(&ask.request, ask.most as usize);
                Some(Body::EventsAnswer(EventsAnswer { events }))
            }
            _ => None,
        }
    }

    fn answer_state(&self, ask: &StateAsk) -> StateAnswer {
        let in_force = self.config.in_force();
        let members = self.members.current();
        let head = match in_force.head.revision > ask.have_revision {
            true => in_force.head_text.clone(),
            false => String::new(),
        };
        let members = match members.digest == ask.members_digest {
            true => Vec::new(),
            false => members.by_process.values().cloned().collect(),
        };
        StateAnswer { head, members }
    }
}
