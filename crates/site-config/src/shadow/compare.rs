//! How the responses of a shadow are compared, and which header fields are copied.

use sableloom_shadow::{ComparisonRules, Pattern};
use sableloom_toml_diagnostics::{Located, Table};

use crate::fields::header_name;

/// Header fields that are compared where nothing is set.
const DEFAULT_COMPARED_HEADERS: [&str; 1] = ["content-type"];

/// The section `compare` of a shadow.
pub(super) fn read_rules(table: Option<Table<'_>>) -> ComparisonRules {
    let Some(table) = table else {
        let headers = DEFAULT_COMPARED_HEADERS.iter().map(ToString::to_string).collect();
        return ComparisonRules { headers, ..ComparisonRules::default() };
    };
    let rules = ComparisonRules {
        headers: read_header_names(&table, "fields", &DEFAULT_COMPARED_HEADERS),
        ignore: read_patterns(&table, "ignore"),
        unordered: read_patterns(&table, "unordered"),
    };
    table.finish();
    rules
}

fn read_patterns(table: &Table<'_>, field: &'static str) -> Vec<Pattern> {
    let parse = |text: Located<String>| match text.value.parse() {
        Ok(pattern) => Some(pattern),
        Err(error) => {
            let message = format!("{:?} is no pointer into an answer: {error}", text.value);
            table.report(&text, message, None);
            None
        }
    };
    table.strings(field).into_iter().filter_map(parse).collect()
}

/// Names of header fields, or the defaults where nothing is set.
pub(super) fn read_header_names(
    table: &Table<'_>,
    field: &'static str,
    defaults: &[&str],
) -> Vec<String> {
    let names = table.strings(field);
    match table.has(field) {
        true => names.iter().filter_map(|name| header_name(table, name)).collect(),
        false => defaults.iter().map(ToString::to_string).collect(),
    }
}
