//! Readers of texts that the tests of all sections share.

use sableloom_site_config::{Site, changes_requiring_restart, read};
use sableloom_toml_diagnostics::Problem;

/// The site of a text without problems.
pub(crate) fn good(text: &str) -> Site {
    read("s.toml", text.as_bytes()).unwrap_or_else(|problems| panic!("{problems:#?}"))
}

/// All problems of a text, a line each.
pub(crate) fn problems(text: &str) -> Vec<String> {
    let problems = read("s.toml", text.as_bytes()).expect_err(text);
    problems.iter().map(Problem::to_string).collect()
}

/// The changes between two sites that need a restart, as `file:line field`.
pub(crate) fn restart_changes(old: &Site, new: &Site) -> Vec<String> {
    let changes = changes_requiring_restart("s.toml", old, new);
    changes.iter().map(|p| format!("{}:{} {}", p.file, p.line, p.field)).collect()
}
