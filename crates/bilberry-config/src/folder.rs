//! The operators' folder of configuration files.

use std::path::Path;

use bilberry_core::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::ConfigError;

/// One file of the folder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceFile {
    /// The file's name, which determines the merge order.
    pub file: Name,
    /// The content of the file.
    pub text: String,
}

/// The files of a folder, sorted by name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Folder {
    /// The files.
    pub files: Vec<PieceFile>,
}

impl Folder {
    /// Reads all `.toml` files of a folder.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let unreadable = |error: std::io::Error| ConfigError::Unreadable {
            path: path.display().to_string(),
            reason: error.to_string(),
        };
        let mut files = Vec::new();
        for entry in std::fs::read_dir(path).map_err(unreadable)? {
            let entry = entry.map_err(unreadable)?.path();
            if entry.extension().is_none_or(|extension| extension != "toml") {
                continue;
            }
            let name = entry.file_name().unwrap_or_default().to_string_lossy();
            let text = std::fs::read_to_string(&entry).map_err(unreadable)?;
            files.push(PieceFile { file: name.as_ref().into(), text });
        }
        if files.is_empty() {
            return Err(ConfigError::Unreadable {
                path: path.display().to_string(),
                reason: "it holds no .toml file".to_string(),
            });
        }
        files.sort_by(|a, b| a.file.cmp(&b.file));
        Ok(Self { files })
    }
}

/// Returns the hash under which a piece is stored.
pub fn hash_text(text: &str) -> String {
    blake3::hash(text.as_bytes()).to_hex().to_string()
}
