//! Readers of fields that several sections have.

use sableloom_toml_diagnostics::{Located, Table, suggestion};

/// Largest time of most fields, in milliseconds.
pub(crate) const HOUR_MS: f64 = 3_600_000.0;
/// Largest time of fields that concern a pool as a whole, in milliseconds.
pub(crate) const DAY_MS: f64 = 24.0 * HOUR_MS;

/// The name of a new item; a name that is taken already is reported.
pub(crate) fn new_name<'n>(
    table: &Table<'_>,
    taken: impl IntoIterator<Item = &'n str>,
) -> Option<String> {
    let name = table.required_name("name")?;
    if taken.into_iter().any(|other| other == name.value) {
        table.report(&name, format!("{:?} is named twice", name.value), None);
        return None;
    }
    Some(name.value)
}

/// The index of the item that a name refers to; `kind` is what messages call such an item.
pub(crate) fn index_of<'n>(
    table: &Table<'_>,
    name: &Located<String>,
    known: impl IntoIterator<Item = &'n str> + Clone,
    kind: &str,
) -> Option<usize> {
    let index = known.clone().into_iter().position(|other| other == name.value);
    if index.is_none() {
        let help = suggestion(&name.value, known);
        table.report(name, format!("no {kind} {:?}", name.value), Some(help));
    }
    index
}

/// A header's name, in lower case.
pub(crate) fn header_name(table: &Table<'_>, name: &Located<String>) -> Option<String> {
    // RFC 9110, section 5.6.2.
    let token = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
    let fits = !name.value.is_empty() && name.value.bytes().all(token);
    if !fits {
        table.report(name, format!("{:?} is no header's name", name.value), None);
    }
    fits.then(|| name.value.to_ascii_lowercase())
}

/// The name of a file, if it is set; an empty one is reported.
pub(crate) fn file_name(table: &Table<'_>, field: &'static str) -> Option<String> {
    let name = table.string(field)?;
    report_empty_file_name(table, &name);
    Some(name.value)
}

/// Reports a file's name that is empty, and returns whether it is.
pub(crate) fn report_empty_file_name(table: &Table<'_>, name: &Located<String>) -> bool {
    if name.value.is_empty() {
        table.report(name, "a file has a name", None);
    }
    name.value.is_empty()
}
