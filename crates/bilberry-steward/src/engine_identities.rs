//! The identities that an engine is said to have.

use std::collections::VecDeque;

use bilberry_core::Name;

/// The number of identities that are remembered.
const MAX_IDENTITIES: usize = 8;

/// The identities that an engine is said to have, by entries that list it or by itself.
///
/// The engine has another one after each restart. An entry that is out of step still names
/// an earlier one; the engine refuses what is addressed to that, and never has it again.
#[derive(Debug, Default)]
pub(crate) struct EngineIdentities {
    /// The one that was named last is at the back.
    named: VecDeque<NamedIdentity>,
}

#[derive(Debug)]
struct NamedIdentity {
    name: Name,
    is_refused: bool,
}

impl EngineIdentities {
    /// Records that the engine is said to have an identity; an empty one is ignored.
    pub(crate) fn record(&mut self, name: &str) {
        let last = self.named.back();
        if name.is_empty() || last.is_some_and(|last| *last.name == *name) {
            return;
        }
        let known = self.named.iter().position(|named| *named.name == *name);
        let named = match known.and_then(|index| self.named.remove(index)) {
            Some(named) => named,
            None => NamedIdentity { name: name.into(), is_refused: false },
        };
        self.named.push_back(named);
        if self.named.len() > MAX_IDENTITIES {
            self.named.pop_front();
        }
    }

    /// Records that the engine does not have an identity.
    pub(crate) fn refuse(&mut self, name: &Name) {
        for named in self.named.iter_mut().filter(|named| named.name == *name) {
            named.is_refused = true;
        }
    }

    /// Returns the identity that was named last among those that were not refused.
    pub(crate) fn current(&self) -> Option<Name> {
        let current = self.named.iter().rev().find(|named| !named.is_refused);
        current.map(|named| named.name.clone())
    }
}
