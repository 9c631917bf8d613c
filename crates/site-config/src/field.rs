//! Fields that several parts of a site have.

use sableloom_toml_diagnostics::{Located, Table, suggestion};

use crate::Place;

/// Times in a site are at most this, but where it says else.
pub(crate) const HOUR_MS: f64 = 3_600_000.0;

/// Where a table stands.
pub(crate) fn place(table: &Table<'_>, starts: &[usize]) -> Place {
    let here = table.location();
    let line = starts.partition_point(|start| *start <= here.span.start);
    Place { span: here.span, line, field: here.field }
}

/// Parts of a site by their names, in its order.
pub(crate) type Named<T> = Vec<(String, T)>;

/// A name that is not yet taken.
pub(crate) fn new_name<T>(table: &Table<'_>, taken: &Named<T>) -> Option<String> {
    let name = table.required_name("name")?;
    if taken.iter().any(|(other, _)| *other == name.value) {
        table.report(&name, format!("{:?} is named twice", name.value), None);
        return None;
    }
    Some(name.value)
}

/// The number of what a name means.
pub(crate) fn index<T>(
    table: &Table<'_>,
    name: &Located<String>,
    known: &Named<T>,
    what: &str,
) -> Option<usize> {
    let at = known.iter().position(|(other, _)| *other == name.value);
    if at.is_none() {
        let help = suggestion(&name.value, known.iter().map(|(name, _)| name.as_str()));
        table.report(name, format!("no {what} {:?}", name.value), Some(help));
    }
    at
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
