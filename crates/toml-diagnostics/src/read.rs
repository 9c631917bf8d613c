//! From the bytes of a file to a value, or to all of its problems.

use toml::de::{DeTable, Error};

use crate::document::Document;
use crate::problem::Problem;
use crate::table::Table;

/// Reads a file's bytes; `file` is what problems call it.
///
/// `build` gets the root table. Fields that it asks for in no getter are reported as unknown.
///
/// # Errors
///
/// Everything that is wrong, if anything is: with the text, with the TOML, or with a field. What `build` returned is
/// dropped then. A `build` that returns `None` without a problem is an error as well.
pub fn read<T>(
    file: &str,
    bytes: &[u8],
    build: impl FnOnce(&Table<'_>) -> Option<T>,
) -> Result<T, Vec<Problem>> {
    let text = std::str::from_utf8(bytes)
        .map_err(|error| invalid_utf8(file, &bytes[..error.valid_up_to()]))?;
    let document = Document::new(file, text);
    let (root, errors) = DeTable::parse_recoverable(text);
    if !errors.is_empty() {
        errors.iter().for_each(|error| report_syntax_error(&document, error));
        return Err(document.into_problems());
    }
    let entries = root.into_inner();
    let value = {
        let root = Table::new(&document, String::new(), 0..0, &entries);
        let value = build(&root);
        root.finish();
        value
    };
    let problems = document.into_problems();
    match value {
        Some(value) if problems.is_empty() => Ok(value),
        _ if problems.is_empty() => Err(vec![Problem::of_file(file, "it can't be read")]),
        _ => Err(problems),
    }
}

/// The problem of a file that is no UTF-8 text after these bytes.
fn invalid_utf8(file: &str, valid: &[u8]) -> Vec<Problem> {
    let text = String::from_utf8_lossy(valid);
    let document = Document::new(file, &text);
    document.report(text.len()..text.len(), String::new(), "no UTF-8 text".into(), None);
    document.into_problems()
}

fn report_syntax_error(document: &Document<'_>, error: &Error) {
    let span = error.span().unwrap_or(0..0);
    let message = error.message().lines().collect::<Vec<_>>().join(", ");
    document.report(span, String::new(), message, None);
}
