//! The possible causes of crashes that the shared parts of a prompt are.

use crate::CrashCause;

/// The scope of parts of customers that are not isolated.
///
/// The names of scopes are those of earlier releases, with whose processes reports are
/// shared.
const SHARED_SCOPE: &str = "shared";

/// The possible causes of crashes that the shared parts of a request's prompt are.
///
/// A part is one cause for all customers that are not isolated, and another one for each
/// customer that is. A customer may have been either when a part crashed servers, so its
/// requests are judged by both causes of each part.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartCauses {
    ids: Vec<u64>,
    /// The shared causes, then the customer's own ones if there is a customer.
    causes: Vec<CrashCause>,
}

impl PartCauses {
    /// Returns the causes that the parts with these ids are, in prompt order.
    pub fn new(customer: Option<&str>, ids: impl IntoIterator<Item = u64>) -> Self {
        let ids: Vec<u64> = ids.into_iter().collect();
        let shared = ids.iter().map(|&id| CrashCause::part(SHARED_SCOPE, id));
        let mut causes: Vec<_> = shared.collect();
        if let Some(customer) = customer {
            let scope = format!("only-{customer}");
            causes.extend(ids.iter().map(|&id| CrashCause::part(&scope, id)));
        }
        Self { ids, causes }
    }

    /// Returns all causes, by which the request is judged.
    pub fn all(&self) -> &[CrashCause] {
        &self.causes
    }

    /// Returns the causes on which runs of the request are evidence, besides those of which
    /// they are trials.
    ///
    /// The runs of an isolated customer say nothing of others' prompts.
    pub fn of_runs(&self, is_isolated: bool) -> &[CrashCause] {
        match is_isolated {
            true => &self.causes[self.ids.len()..],
            false => &self.causes[..self.ids.len()],
        }
    }

    /// Returns the id of the part that a cause is, if it is one of them.
    pub fn id_of(&self, cause: CrashCause) -> Option<u64> {
        let at = self.causes.iter().position(|other| *other == cause)?;
        Some(self.ids[at % self.ids.len()])
    }
}
