//! Getters of lists and of tables in a table.

use toml::de::DeValue;

use super::{Located, Table};

impl<'a> Table<'a> {
    /// Strings: a list of them, or a single one.
    pub fn strings(&self, name: &'static str) -> Vec<Located<String>> {
        let Some(located) = self.get(name) else { return Vec::new() };
        match located.value {
            DeValue::String(text) => vec![located.map(|_| text.to_string())],
            DeValue::Array(list) => {
                let mut strings = Vec::new();
                for (i, value) in list.iter().enumerate() {
                    let field = format!("{}[{i}]", located.field);
                    let item = Located { value: value.get_ref(), span: value.span(), field };
                    match item.value {
                        DeValue::String(text) => strings.push(item.map(|_| text.to_string())),
                        _ => self.report_type(&item, "a text in quotes"),
                    }
                }
                strings
            }
            _ => {
                self.report_type(&located, "a text or a list of texts");
                Vec::new()
            }
        }
    }

    /// A table in this one.
    pub fn table(&self, name: &'static str) -> Option<Table<'a>> {
        let located = self.get(name)?;
        match located.value {
            DeValue::Table(entries) => {
                Some(Table::new(self.document, located.field, located.span, entries))
            }
            _ => {
                self.report_type(&located, "a table");
                None
            }
        }
    }

    /// The tables of a list, as `[[name]]` writes it.
    pub fn tables(&self, name: &'static str) -> Vec<Table<'a>> {
        let Some(located) = self.get(name) else { return Vec::new() };
        let DeValue::Array(list) = located.value else {
            self.report_type(&located, &format!("tables, each begun with [[{name}]]"));
            return Vec::new();
        };
        let mut tables = Vec::new();
        for (i, value) in list.iter().enumerate() {
            let field = format!("{}[{i}]", located.field);
            match value.get_ref() {
                DeValue::Table(entries) => {
                    tables.push(Table::new(self.document, field, value.span(), entries));
                }
                other => {
                    let item = Located { value: other, span: value.span(), field };
                    self.report_type(&item, "a table");
                }
            }
        }
        tables
    }

    /// The entries of a table whose keys the operator chooses. Each has a string as its value, or `true`, which is
    /// returned as `None` and stands for any value.
    pub fn string_entries(&self, name: &'static str) -> Vec<(Located<String>, Option<String>)> {
        let Some(table) = self.table(name) else { return Vec::new() };
        let mut entries = Vec::new();
        for (key, value) in table.entries {
            let field = table.field_path(key.get_ref());
            let located = Located { value: value.get_ref(), span: value.span(), field };
            let value = match located.value {
                DeValue::String(text) => Some(text.to_string()),
                DeValue::Boolean(true) => None,
                _ => {
                    self.report_type(&located, "a text in quotes, or true for any");
                    continue;
                }
            };
            entries.push((located.map(|_| key.get_ref().to_string()), value));
        }
        entries
    }
}
