//! The head, which lists the active configuration pieces.

use std::collections::BTreeSet;

use bilberry_core::Name;
use bilberry_core::UnixMs;
use serde::Deserialize;
use serde::Serialize;

use crate::PieceFile;
use crate::hash_text;

/// The maximum number of revisions in the head's history.
const HISTORY_LENGTH: usize = 50;

/// The stored object that lists the active pieces.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The revision, which increases with each change.
    pub revision: u64,
    /// The active pieces, in merge order.
    pub pieces: Vec<PieceRef>,
    /// The most recent revisions, latest last.
    pub history: Vec<RevisionRecord>,
}

/// A reference to an active piece.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceRef {
    /// The file's name.
    pub file: Name,
    /// The business that owns it.
    pub owner: Name,
    /// The hash of the text, under which the piece is stored.
    pub hash: String,
}

/// A revision in the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionRecord {
    /// The revision.
    pub revision: u64,
    /// The random token of the apply request; identifies the write if its response
    /// is lost.
    pub token: String,
    /// The owner of the token that made the change.
    pub author: Name,
    /// The time at which it was accepted.
    pub at: UnixMs,
    /// The files that changed.
    pub changes: Vec<Change>,
}

/// A changed file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The file's name.
    pub file: Name,
    /// The kind of change: `added`, `changed` or `removed`.
    pub what: Name,
}

impl Head {
    /// Returns the changes from replacing the files of `owners` with `files`.
    pub fn changes(&self, owners: &BTreeSet<Name>, files: &[PieceFile]) -> Vec<Change> {
        let mut changes = Vec::new();
        let mut push = |file: &Name, what: &str| {
            changes.push(Change { file: file.clone(), what: what.into() });
        };
        for piece in files {
            match self.pieces.iter().find(|known| known.file == piece.file) {
                None => push(&piece.file, "added"),
                Some(known) if known.hash != hash_text(&piece.text) => {
                    push(&piece.file, "changed");
                }
                Some(_) => {}
            }
        }
        for known in self.pieces.iter().filter(|known| owners.contains(&known.owner)) {
            if !files.iter().any(|piece| piece.file == known.file) {
                push(&known.file, "removed");
            }
        }
        changes
    }

    /// Returns the pieces that remain when those of `owners` are replaced.
    pub fn other_owners_pieces(&self, owners: &BTreeSet<Name>) -> Vec<PieceRef> {
        let kept = self.pieces.iter().filter(|known| !owners.contains(&known.owner));
        kept.cloned().collect()
    }

    /// Returns the next head, whose revision is also greater than `in_force`.
    ///
    /// Processes install only a revision greater than their own. After the platform
    /// is restored from an older copy its revision is lower, and a change numbered
    /// from it would not be installed anywhere.
    pub fn next(
        &self,
        in_force: u64,
        mut pieces: Vec<PieceRef>,
        mut revised: RevisionRecord,
    ) -> Self {
        pieces.sort_by(|a, b| (&a.file, &a.owner).cmp(&(&b.file, &b.owner)));
        let revision = self.revision.max(in_force) + 1;
        revised.revision = revision;
        let mut history = self.history.clone();
        history.push(revised);
        let surplus = history.len().saturating_sub(HISTORY_LENGTH);
        history.drain(..surplus);
        Self { revision, pieces, history }
    }
}
