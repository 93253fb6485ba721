//! The daemon's settings, and the shared configuration in the operators' folder.
//!
//! [`Settings`] holds what one process needs to start. Operators apply a
//! [`Folder`] of configuration pieces; [`compile`] merges and validates the
//! pieces, and the [`Head`] lists the active ones.

mod compile;
mod error;
mod folder;
mod head;
mod piece;
mod settings;

pub use compile::Compiled;
pub use compile::compile;
pub use compile::merge;
pub use error::ConfigError;
pub use error::SettingsError;
pub use folder::Folder;
pub use folder::PieceFile;
pub use folder::hash_text;
pub use head::Change;
pub use head::Head;
pub use head::PieceRef;
pub use head::RevisionRecord;
pub use piece::Customer;
pub use piece::KeyHash;
pub use piece::Model;
pub use piece::Piece;
pub use piece::Pool;
pub use piece::Service;
pub use piece::Upstream;
pub use piece::UpstreamKind;
pub use settings::Administrator;
pub use settings::BODY_COPIES;
pub use settings::Limits;
pub use settings::Listen;
pub use settings::LogSettings;
pub use settings::PeerSettings;
pub use settings::PlatformSettings;
pub use settings::ProcessRole;
pub use settings::Settings;
pub use settings::UpstreamSettings;
