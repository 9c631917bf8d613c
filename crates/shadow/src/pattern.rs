//! Patterns that select members of JSON answers.

use std::str::FromStr;

/// Selects members of answers: a JSON Pointer (RFC 6901) in which `*` matches any one name or index. It includes
/// everything below.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pattern(Vec<Option<String>>);

/// Why a text is not a valid pattern.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PatternError {
    /// It does not begin with a slash.
    #[error("it begins with \"/\"")]
    NoSlash,
    /// A tilde is not escaped.
    #[error("\"~\" is written as \"~0\", \"/\" as \"~1\" (RFC 6901)")]
    InvalidEscape,
}

/// A step from a value to one of its members.
pub(crate) enum Step<'a> {
    Member(&'a str),
    Index(usize),
}

impl FromStr for Pattern {
    type Err = PatternError;

    fn from_str(text: &str) -> Result<Self, PatternError> {
        let parts = text.strip_prefix('/').ok_or(PatternError::NoSlash)?;
        let part = |part: &str| {
            let escapes = part.split('~').skip(1);
            if !escapes.clone().all(|rest| rest.starts_with(['0', '1'])) {
                return Err(PatternError::InvalidEscape);
            }
            Ok((part != "*").then(|| part.replace("~1", "/").replace("~0", "~")))
        };
        parts.split('/').map(part).collect::<Result<_, _>>().map(Self)
    }
}

impl Pattern {
    /// Whether it selects exactly the value at a path, and not only a part of it.
    pub(crate) fn selects(&self, path: &[Step<'_>]) -> bool {
        self.0.len() == path.len() && self.includes(path)
    }

    /// Whether it selects the value at a path or a value that contains it.
    pub(crate) fn includes(&self, path: &[Step<'_>]) -> bool {
        self.0.len() <= path.len()
            && self.0.iter().zip(path).all(|(part, step)| match (part, step) {
                (None, _) => true,
                (Some(name), Step::Member(member)) => name == member,
                (Some(index), Step::Index(n)) => *index == n.to_string(),
            })
    }
}
