//! Changes to the active configuration.

use std::sync::Arc;

use bilberry_config::Change;
use bilberry_config::ConfigError;
use bilberry_config::Folder;
use bilberry_config::Head;
use bilberry_config::Piece;
use bilberry_config::PieceFile;
use bilberry_config::PieceRef;
use bilberry_config::RevisionRecord;

use bilberry_config::hash_text;
use bilberry_config::merge;
use bilberry_core::Clock;
use bilberry_core::Name;
use bilberry_core::SystemClock;
use bilberry_node::HEAD_KEY;
use bilberry_node::PIECES_PREFIX;
use bilberry_platform::Platform;
use bilberry_platform::PlatformError;
use bilberry_platform::WriteResult;
use bilberry_platform::write_or_read_back;
use bilberry_wire::Piece as WirePiece;
use serde::Deserialize;
use serde::Serialize;

use crate::ApiError;
use crate::Entry;
use crate::ErrorKind;
use crate::UpstreamProber;

/// The result of a check, diff or apply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// The stored revision, or the one created by an apply.
    pub revision: u64,
    /// The changes.
    pub changes: Vec<Change>,
}

/// A configuration that was validated together with the pieces of other authors.
struct CheckedConfig {
    head: Head,
    head_version: u64,
    changes: Vec<Change>,
    refs: Vec<PieceRef>,
    files: Vec<PieceFile>,
}

impl<P: Platform, K: UpstreamProber> Entry<P, K> {
    /// Validates a folder and returns the changes that it would make.
    pub(crate) async fn diff_config(
        &self,
        author: &Name,
        folder: Folder,
    ) -> Result<ConfigStatus, ApiError> {
        let checked = self.check_config(author, folder).await?;
        Ok(ConfigStatus { revision: checked.head.revision, changes: checked.changes })
    }

    /// Replaces the author's pieces with those of a folder.
    pub(crate) async fn apply_config(
        self: &Arc<Self>,
        author: &Name,
        folder: Folder,
    ) -> Result<ConfigStatus, ApiError> {
        let checked = self.check_config(author, folder).await?;
        let in_force = self.node.config.revision();
        // The stored revision can be older than the active one, for example after the
        // platform lost data. The configuration must then be stored again.
        if checked.changes.is_empty() && checked.head.revision >= in_force {
            let revision = checked.head.revision;
            return Ok(ConfigStatus { revision, changes: Vec::new() });
        }
        // Pieces are stored before the head, so that a head never refers to a missing
        // piece. Pieces of the stored head exist already; those of the active head may
        // not, if the platform lost them.
        for file in &checked.files {
            let hash = hash_text(&file.text);
            if checked.head.pieces.iter().all(|piece| piece.hash != hash) {
                self.store_piece(file).await.map_err(platform_error)?;
            }
        }
        let token = format!("{:032x}", rand::random::<u128>());
        let revised = RevisionRecord {
            revision: 0,
            token: token.clone(),
            author: author.clone(),
            at: SystemClock.now(),
            changes: checked.changes.clone(),
        };
        let head = checked.head.next(in_force, checked.refs, revised);
        let text = serde_json::to_string(&head).expect("a head is serializable");
        let is_ours = |found: &str| found.contains(&token);
        let expected = checked.head_version;
        let outcome =
            write_or_read_back(&self.platform, HEAD_KEY, &text, expected, is_ours).await;
        match outcome.map_err(outcome_unknown_error)? {
            WriteResult::Written(_) => {
                self.install_applied(&text, checked.files);
                Ok(ConfigStatus { revision: head.revision, changes: checked.changes })
            }
            WriteResult::Conflict(winner) => Err(conflict_error(winner.value.as_deref())),
        }
    }

    /// Returns the history of the active configuration.
    pub(crate) fn config_history(&self) -> Vec<RevisionRecord> {
        self.node.config.active().head.history.clone()
    }

    async fn check_config(
        &self,
        author: &Name,
        folder: Folder,
    ) -> Result<CheckedConfig, ApiError> {
        let stored = self.platform.read(HEAD_KEY).await.map_err(platform_error)?;
        let (head, head_version) = match stored {
            Some(object) => {
                let text = object.value.unwrap_or_default();
                let head = serde_json::from_str(&text).map_err(|error| {
                    invalid(format!("the stored head can't be read: {error}"))
                })?;
                (head, object.version)
            }
            None => (Head::default(), 0),
        };
        let own = self.author_pieces(author, &folder)?;
        let owners = own.iter().map(|(piece, _)| piece.owner.clone()).collect();
        let changes = head.changes(&owners, &folder.files);
        let mut all = own;
        for piece in head.other_owners_pieces(&owners) {
            let parsed = self.stored_piece(&piece).await?;
            all.push((piece, parsed));
        }
        all.sort_by(|a, b| a.0.file.cmp(&b.0.file));
        let (refs, parsed): (Vec<_>, Vec<_>) = all.into_iter().unzip();
        let named = refs.iter().map(|piece| piece.file.clone()).zip(parsed);
        let named: Vec<_> = named.collect();
        merge(head.revision + 1, &named).map_err(|error| invalid(error.to_string()))?;
        Ok(CheckedConfig { head, head_version, changes, refs, files: folder.files })
    }

    /// Parses the pieces of a folder; fails if `author` may not change one of them.
    fn author_pieces(
        &self,
        author: &Name,
        folder: &Folder,
    ) -> Result<Vec<(PieceRef, Arc<Piece>)>, ApiError> {
        let mut pieces = Vec::new();
        for file in &folder.files {
            let hash = hash_text(&file.text);
            let piece = self.parsed(file, &hash)?;
            let owner = piece.owner.clone();
            if author != "*" && owner != *author {
                let error = ConfigError::WrongOwner {
                    file: file.file.to_string(),
                    owner: owner.to_string(),
                    applier: author.to_string(),
                };
                let kind = ErrorKind::Forbidden;
                return Err(ApiError { kind, ..invalid(error.to_string()) });
            }
            pieces.push((PieceRef { file: file.file.clone(), owner, hash }, piece));
        }
        Ok(pieces)
    }

    /// Parses a file, or returns the parsed piece if it is active already.
    fn parsed(&self, file: &PieceFile, hash: &str) -> Result<Arc<Piece>, ApiError> {
        match self.node.config.active().pieces.get(hash) {
            Some(active) => Ok(active.parsed.clone()),
            None => {
                let piece = Piece::parse(file);
                piece.map(Arc::new).map_err(|error| invalid(error.to_string()))
            }
        }
    }

    async fn stored_piece(&self, piece: &PieceRef) -> Result<Arc<Piece>, ApiError> {
        let active = self.node.config.active();
        if let Some(active) = active.pieces.get(&piece.hash) {
            return Ok(active.parsed.clone());
        }
        let key = format!("{PIECES_PREFIX}{}", piece.hash);
        let object = self.platform.read(&key).await.map_err(platform_error)?;
        let text = object.and_then(|object| object.value).unwrap_or_default();
        let file = PieceFile { file: piece.file.clone(), text };
        self.parsed(&file, &piece.hash)
    }

    async fn store_piece(&self, file: &PieceFile) -> Result<(), PlatformError> {
        let key = format!("{PIECES_PREFIX}{}", hash_text(&file.text));
        // The key contains the hash of the piece, so an existing object is identical.
        let is_ours = |found: &str| found == file.text;
        write_or_read_back(&self.platform, &key, &file.text, 0, is_ours).await.map(|_| ())
    }

    fn install_applied(&self, head_text: &str, files: Vec<PieceFile>) {
        let pieces = files
            .into_iter()
            .map(|file| WirePiece { hash: hash_text(&file.text), text: file.text })
            .collect();
        match self.node.config.install(head_text, pieces) {
            Ok(_) => self.node.events.record("", "config_applied", ""),
            // The watch delivers the revision shortly, with the pieces missing here.
            Err(error) => {
                log::info!("waiting for the new revision from the watch: {error}")
            }
        }
    }
}

fn invalid(message: String) -> ApiError {
    ApiError::not_run(ErrorKind::Invalid, "invalid_config", message)
}

fn platform_error(error: PlatformError) -> ApiError {
    let message = format!("nothing was changed: {error}");
    ApiError::not_run(ErrorKind::Unavailable, "platform_unavailable", message)
        .retry_after(1_000)
}

/// Returns the error for a write of the head whose outcome is unknown.
fn outcome_unknown_error(error: PlatformError) -> ApiError {
    let message = format!(
        "the change may be in force: {error}; look at `config history` before you \
         apply again"
    );
    ApiError::may_have_run("platform_unavailable", message).retry_after(1_000)
}

fn conflict_error(winner: Option<&str>) -> ApiError {
    let head: Head =
        winner.and_then(|t| serde_json::from_str(t).ok()).unwrap_or_default();
    let author = head.history.last().map_or("", |revised| revised.author.as_str());
    let message = format!(
        "revision {} by `{author}` came first and yours was not applied; look at \
         `config diff` and apply again",
        head.revision
    );
    ApiError::not_run(ErrorKind::Conflict, "config_conflict", message)
}
