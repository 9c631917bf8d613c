//! A problem in a file, as operators see it.

use std::fmt;
use std::ops::Range;

/// Maximum number of problems that are reported of one file: a file of the wrong kind has one in every line.
pub const MAX_PROBLEMS: usize = 50;

/// Something that is wrong in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The file, as the operator named it.
    pub file: String,
    /// The bytes that it is about, from the start of the file; empty if it is about the file as a whole.
    pub span: Range<usize>,
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// The path of the field, as in `pool[0].files`, with list indices from 0; empty if it is about no field.
    pub field: String,
    /// What is wrong, and what was expected.
    pub message: String,
    /// How to mend it, or a name that may be meant.
    pub help: Option<String>,
}

impl Problem {
    /// A problem of a file as a whole: it has no field, and its location is the first line.
    pub fn of_file(file: &str, message: impl Into<String>) -> Self {
        Self {
            file: file.to_string(),
            span: 0..0,
            line: 1,
            column: 1,
            field: String::new(),
            message: message.into(),
            help: None,
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: ", self.file, self.line, self.column)?;
        if !self.field.is_empty() {
            write!(f, "field `{}`: ", self.field)?;
        }
        f.write_str(&self.message)?;
        self.help.iter().try_for_each(|help| write!(f, "; {help}"))
    }
}
