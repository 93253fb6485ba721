//! The head: which pieces are in force.

use std::collections::BTreeSet;

use bilberry_core::Name;
use bilberry_core::UnixMs;
use serde::Deserialize;
use serde::Serialize;

use crate::PieceFile;
use crate::hash_text;

/// How many earlier revisions the head remembers.
const HISTORY_LENGTH: usize = 50;

/// The object that says which pieces are in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The revision; each change adds one.
    pub revision: u64,
    /// The pieces in force, in the order of merging.
    pub pieces: Vec<PieceRef>,
    /// How it came about, latest last.
    pub history: Vec<Revised>,
}

/// A piece in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceRef {
    /// The file's name.
    pub file: Name,
    /// The business that owns it.
    pub owner: Name,
    /// The hash of the text, which is the name of the stored piece.
    pub hash: String,
}

/// One revision in the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revised {
    /// The revision.
    pub revision: u64,
    /// The random token of the apply, by which a lost answer is recognised.
    pub token: String,
    /// Whose token made the change.
    pub author: Name,
    /// When it was accepted.
    pub at: UnixMs,
    /// The files that changed.
    pub changes: Vec<Change>,
}

/// One changed file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The file's name.
    pub file: Name,
    /// What happened to it: `added`, `changed` or `removed`.
    pub what: Name,
}

impl Head {
    /// Returns what would change if the files of `owners` became `files`.
    pub fn changes(&self, owners: &BTreeSet<Name>, files: &[PieceFile]) -> Vec<Change> {
        let mut changes = Vec::new();
        let mut note = |file: &Name, what: &str| {
            changes.push(Change { file: file.clone(), what: what.into() });
        };
        for piece in files {
            match self.pieces.iter().find(|known| known.file == piece.file) {
                None => note(&piece.file, "added"),
                Some(known) if known.hash != hash_text(&piece.text) => {
                    note(&piece.file, "changed");
                }
                Some(_) => {}
            }
        }
        for known in self.pieces.iter().filter(|known| owners.contains(&known.owner)) {
            if !files.iter().any(|piece| piece.file == known.file) {
                note(&known.file, "removed");
            }
        }
        changes
    }

    /// Returns the pieces that stay when those of `owners` are replaced.
    pub fn kept(&self, owners: &BTreeSet<Name>) -> Vec<PieceRef> {
        let kept = self.pieces.iter().filter(|known| !owners.contains(&known.owner));
        kept.cloned().collect()
    }

    /// Returns the next head, whose revision is above `in_force` too.
    ///
    /// Processes take only a higher revision than they have. A platform that came back
    /// from an older copy has a lower one, and a change that was given the next would
    /// be in force nowhere.
    pub fn next(
        &self,
        in_force: u64,
        mut pieces: Vec<PieceRef>,
        mut revised: Revised,
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
