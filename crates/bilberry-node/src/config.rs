//! The active configuration of a process.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;

use arc_swap::ArcSwap;
use bilberry_config::Compiled;
use bilberry_config::ConfigError;
use bilberry_config::Head;
use bilberry_config::Piece as ParsedPiece;
use bilberry_config::PieceFile;
use bilberry_config::hash_text;
use bilberry_config::merge;
use bilberry_core::Name;
use bilberry_wire::Piece;
use thiserror::Error;
use tokio::sync::watch;

/// The maximum total size of the pieces in one answer; well below the frame limit.
const PIECES_FRAME_BYTES: usize = 2 * 1024 * 1024;

/// A revision with everything that a restarted peer needs to install it.
#[derive(Debug, Default)]
pub struct ActiveConfig {
    /// The head.
    pub head: Head,
    /// The head in its stored form.
    pub head_text: String,
    /// The pieces by hash.
    pub pieces: HashMap<String, StoredPiece>,
    /// The merged and validated pieces.
    pub compiled: Arc<Compiled>,
}

/// A piece: its text, which is sent to peers, and its parsed content.
#[derive(Debug, Clone)]
pub struct StoredPiece {
    /// The text of the piece.
    pub text: Arc<str>,
    /// The parsed content; in a sidecar without customers.
    pub parsed: Arc<ParsedPiece>,
}

/// An error on installing a revision.
#[derive(Debug, Error)]
pub enum InstallError {
    /// The head can't be parsed.
    #[error("the head can't be read: {0}; apply the configuration anew")]
    Head(#[from] serde_json::Error),
    /// A piece is missing.
    #[error("piece {0} is missing; it is fetched again")]
    Missing(String),
    /// The pieces are inconsistent.
    #[error(transparent)]
    Config(#[from] ConfigError),
}

/// Holds the active configuration and notifies subscribers of changes.
#[derive(Debug)]
pub struct ConfigStore {
    current: ArcSwap<ActiveConfig>,
    revision: watch::Sender<u64>,
    install_lock: Mutex<()>,
    knows_customers: bool,
}

impl ConfigStore {
    /// Creates a store at revision zero.
    ///
    /// A sidecar learns of customers from requests and keeps only the texts of
    /// their pieces, for peers that restart.
    pub fn new(knows_customers: bool) -> Self {
        Self {
            knows_customers,
            current: ArcSwap::default(),
            revision: watch::Sender::new(0),
            install_lock: Mutex::new(()),
        }
    }

    /// Returns the active configuration.
    pub fn active(&self) -> Arc<ActiveConfig> {
        self.current.load_full()
    }

    /// Returns the active configuration in compiled form.
    pub fn compiled(&self) -> Arc<Compiled> {
        self.current.load().compiled.clone()
    }

    /// Returns the active revision.
    pub fn revision(&self) -> u64 {
        self.current.load().head.revision
    }

    /// Returns a receiver that is notified of each new revision.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    /// Installs a head whose pieces are passed in or already present.
    ///
    /// Returns false for a revision that is not greater than the active one.
    /// Delayed answers from peers and the platform arrive in any order; without
    /// this check an accepted configuration could be reverted temporarily.
    pub fn install(
        &self,
        head_text: &str,
        given: Vec<Piece>,
    ) -> Result<bool, InstallError> {
        let _guard = self.install_lock.lock().unwrap();
        let head: Head = serde_json::from_str(head_text)?;
        let current = self.current.load_full();
        if head.revision <= current.head.revision {
            return Ok(false);
        }
        let given: HashMap<String, String> =
            given.into_iter().map(|p| (hash_text(&p.text), p.text)).collect();
        let mut pieces = HashMap::new();
        let mut files = Vec::new();
        for piece in &head.pieces {
            let held = match (current.pieces.get(&piece.hash), given.get(&piece.hash)) {
                (Some(held), _) => held.clone(),
                (None, Some(text)) => self.parse(&piece.file, text)?,
                (None, None) => return Err(InstallError::Missing(piece.hash.clone())),
            };
            files.push((piece.file.clone(), held.parsed.clone()));
            pieces.insert(piece.hash.clone(), held);
        }
        let compiled = Arc::new(merge(head.revision, &files)?);
        let revision = head.revision;
        let head_text = head_text.to_string();
        self.current.store(Arc::new(ActiveConfig { head, head_text, pieces, compiled }));
        self.revision.send_replace(revision);
        Ok(true)
    }

    fn parse(&self, file: &Name, text: &str) -> Result<StoredPiece, ConfigError> {
        let parsed = ParsedPiece::parse(&PieceFile {
            file: file.clone(),
            text: text.to_string(),
        })?;
        let parsed = match self.knows_customers {
            true => parsed,
            false => parsed.without_customers(),
        };
        Ok(StoredPiece { text: text.into(), parsed: Arc::new(parsed) })
    }
}

impl ActiveConfig {
    /// Returns the requested pieces, as many as fit into one frame.
    pub fn wire_pieces(&self, hashes: &[String]) -> Vec<Piece> {
        let mut remaining_bytes = PIECES_FRAME_BYTES;
        let mut pieces = Vec::new();
        for hash in hashes {
            let Some(StoredPiece { text, .. }) = self.pieces.get(hash) else { continue };
            // Always include the first piece, so that each answer makes progress.
            if !pieces.is_empty() && text.len() > remaining_bytes {
                break;
            }
            remaining_bytes = remaining_bytes.saturating_sub(text.len());
            pieces.push(Piece { hash: hash.clone(), text: text.to_string() });
        }
        pieces
    }
}
