//! Errors in settings and configuration pieces, each with a remedy.

use thiserror::Error;

/// An error in the daemon's settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{file}: can't be read: {reason}; give the path of an existing TOML file")]
    Unreadable {
        /// The settings file.
        file: String,
        /// The error of the operating system.
        reason: String,
    },
    /// The text is not valid TOML, or a value has the wrong type.
    #[error("{file}:{line}: {problem}; {remedy}")]
    Malformed {
        /// The settings file.
        file: String,
        /// The line number, starting at one.
        line: usize,
        /// What is wrong.
        problem: String,
        /// How to fix it.
        remedy: String,
    },
    /// A key is missing or its value is invalid.
    #[error("{file}: key `{key}`: {problem}; {remedy}")]
    Key {
        /// The settings file.
        file: String,
        /// The key, qualified with its table.
        key: String,
        /// What is wrong.
        problem: String,
        /// How to fix it.
        remedy: String,
    },
}

/// An error in a folder of configuration pieces.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The folder can't be read.
    #[error("{path}: can't be read: {reason}; give a folder that holds .toml files")]
    Unreadable {
        /// The folder or file.
        path: String,
        /// The error of the operating system.
        reason: String,
    },
    /// A piece is not valid TOML or has an unknown key.
    #[error("{file}:{line}: {problem}; {remedy}")]
    Malformed {
        /// The piece.
        file: String,
        /// The line, from one.
        line: usize,
        /// What is wrong.
        problem: String,
        /// How to fix it.
        remedy: String,
    },
    /// Two pieces contain a definition of the same kind and name.
    #[error(
        "{kind} `{name}` is defined in both {first} and {second}; \
         remove it from one of them"
    )]
    Duplicate {
        /// The kind of the definition.
        kind: &'static str,
        /// Its name.
        name: String,
        /// The first file.
        first: String,
        /// The second file.
        second: String,
    },
    /// A piece refers to a name that no piece defines.
    #[error(
        "{file}: {kind} `{name}` names the {wanted_kind} `{wanted}`, which no piece \
         defines; define it or correct the name"
    )]
    UndefinedReference {
        /// The piece.
        file: String,
        /// The kind of the referring definition.
        kind: &'static str,
        /// Its name.
        name: String,
        /// The kind of the undefined name.
        wanted_kind: &'static str,
        /// The undefined name.
        wanted: String,
    },
    /// A value is invalid or out of range.
    #[error("{file}: {kind} `{name}`: `{key}` {problem}; {remedy}")]
    Value {
        /// The piece.
        file: String,
        /// The kind of the definition.
        kind: &'static str,
        /// Its name.
        name: String,
        /// The key.
        key: &'static str,
        /// What is wrong.
        problem: &'static str,
        /// How to fix it.
        remedy: &'static str,
    },
    /// A piece is owned by a different business than the one that applies it.
    #[error(
        "{file}: the piece is owned by `{owner}`, but you apply as `{applier}`; \
         leave it to its owner or use that owner's token"
    )]
    WrongOwner {
        /// The piece.
        file: String,
        /// Who owns it.
        owner: String,
        /// Who applies it.
        applier: String,
    },
}

/// Converts an error of the TOML parser into a line number, problem and remedy.
pub(crate) fn describe_toml_error(
    text: &str,
    error: &toml::de::Error,
) -> (usize, String, String) {
    let start = error.span().map_or(0, |span| span.start);
    let line = text[..start.min(text.len())].matches('\n').count() + 1;
    let problem = error.message().replace('\n', " ");
    let remedy = suggest_remedy(&problem);
    (line, problem, remedy)
}

/// Returns the remedy for an error message of the TOML parser.
fn suggest_remedy(problem: &str) -> String {
    let Some(known) = problem.strip_prefix("unknown field `") else {
        return match problem {
            p if p.starts_with("missing field") => "add the key",
            p if p.starts_with("invalid type") => {
                "write the value in the key's own type; units are in the key's name"
            }
            _ => "correct the TOML",
        }
        .to_string();
    };
    let field = known.split('`').next().unwrap_or_default();
    match find_key_with_other_unit(field, known) {
        Some(other) => format!("the unit is part of the name: use `{other}`"),
        None => "remove the key or correct its spelling".to_string(),
    }
}

/// Finds a known key that differs from `field` only in its unit suffix.
fn find_key_with_other_unit(field: &str, problem: &str) -> Option<String> {
    let (stem, _) = field.rsplit_once('_').unwrap_or((field, ""));
    problem
        .split('`')
        .skip(2)
        .step_by(2)
        .find(|known| {
            let known_stem = known.rsplit_once('_').map(|(stem, _)| stem);
            known_stem == Some(stem) || known_stem == Some(field)
        })
        .map(str::to_string)
}
