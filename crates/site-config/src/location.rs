//! Where a part of a site is written.

use std::ops::Range;

use sableloom_toml_diagnostics::Table;

/// Where a part of a site is written in its file.
///
/// All locations are equal: two sites that differ only in where their parts are written are the same configuration.
/// Otherwise a comment that moves a section down would look like a change that needs a restart.
#[derive(Clone, Debug, Default)]
pub struct SourceLocation {
    /// The bytes, from the start of the file.
    pub span: Range<usize>,
    /// The line, from 1.
    pub line: usize,
    /// The path of the field.
    pub field: String,
}

impl SourceLocation {
    /// The location of a table.
    pub(crate) fn of(table: &Table<'_>) -> Self {
        let location = table.location();
        Self { span: location.span, line: table.line(), field: location.field }
    }
}

impl PartialEq for SourceLocation {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}
