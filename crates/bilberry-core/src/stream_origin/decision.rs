//! The software version at which a caller's stream may go on.

use super::SoftwareId;

/// What a process knows of a stream's origin.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum OriginAnswer {
    /// Nothing.
    Unknown,
    /// It began at this version.
    Known(SoftwareId),
    /// It may have begun at one of several versions.
    Conflicting,
}

/// All that an entry knows about the origin of a stream that a caller takes up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OriginEvidence {
    /// The answers of the entry itself and of the sidecars that responded.
    pub answers: Vec<OriginAnswer>,
    /// Whether the caller named the attempt that began the stream.
    pub is_named: bool,
    /// The only version of the service that the entry has seen, if there is just one and the
    /// list was confirmed after the caller had come.
    pub seen_alone: Option<SoftwareId>,
    /// The only version at which the stream can have begun, whoever began it.
    pub proven: Option<SoftwareId>,
}

impl OriginEvidence {
    /// Returns what all answers together say.
    pub fn agreed(&self) -> OriginAnswer {
        let answers = self.answers.iter().copied();
        answers.reduce(OriginAnswer::merge).unwrap_or(OriginAnswer::Unknown)
    }
}

/// Returns the version at which a stream goes on; `None` if that is not known.
///
/// A caller that does not name the attempt may have several equal requests in progress,
/// so the answers count only while no other version has been seen.
pub fn decide_origin(evidence: &OriginEvidence) -> Option<SoftwareId> {
    match evidence.agreed() {
        OriginAnswer::Known(software) if evidence.is_named => Some(software),
        OriginAnswer::Known(software) => {
            (evidence.seen_alone == Some(software)).then_some(software)
        }
        OriginAnswer::Conflicting => None,
        OriginAnswer::Unknown => evidence.proven,
    }
}
