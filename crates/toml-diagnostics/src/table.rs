//! A table of a file, whose getters report what is wrong instead of failing.

mod address;
mod collections;
mod scalars;

use std::cell::RefCell;
use std::ops::Range;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::document::Document;
use crate::suggestion::suggestion;

/// A value and where it stands in its file.
#[derive(Clone, Debug)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// Where it stands, in bytes.
    pub span: Range<usize>,
    /// The path of its field.
    pub field: String,
}

impl<T> Located<T> {
    /// Another value at the same location.
    pub fn map<U>(self, to: impl FnOnce(T) -> U) -> Located<U> {
        Located { value: to(self.value), span: self.span, field: self.field }
    }
}

/// A table of a file. Each getter reports what is wrong with its field; none of them fails.
pub struct Table<'a> {
    document: &'a Document<'a>,
    path: String,
    span: Range<usize>,
    entries: &'a DeTable<'a>,
    /// Names that a getter asked for: all others are unknown fields.
    known_fields: RefCell<Vec<&'static str>>,
}

impl<'a> Table<'a> {
    pub(crate) fn new(
        document: &'a Document<'a>,
        path: String,
        span: Range<usize>,
        entries: &'a DeTable<'a>,
    ) -> Self {
        Self { document, path, span, entries, known_fields: RefCell::default() }
    }

    /// Reports a problem with a value.
    pub fn report<T>(
        &self,
        located: &Located<T>,
        message: impl Into<String>,
        help: Option<String>,
    ) {
        let (span, field) = (located.span.clone(), located.field.clone());
        self.document.report(span, field, message.into(), help);
    }

    /// Reports that a required field is missing.
    pub fn report_missing(&self, name: &str, expected: &str) {
        let message = format!("missing; expected {expected}");
        self.document.report(self.span.clone(), self.field_path(name), message, None);
    }

    /// Reports the fields that no getter asked for. To be called after the last getter.
    pub fn finish(&self) {
        let known = self.known_fields.borrow();
        for (key, _) in self.entries {
            let name: &str = key.get_ref();
            if !known.contains(&name) {
                let help = suggestion(name, known.iter().copied());
                let message = "unknown field".to_string();
                self.document.report(key.span(), self.field_path(name), message, Some(help));
            }
        }
    }

    /// The location of this table.
    pub fn location(&self) -> Located<()> {
        Located { value: (), span: self.span.clone(), field: self.path.clone() }
    }

    /// The line that this table begins in, from 1.
    pub fn line(&self) -> usize {
        self.document.line_and_column(self.span.start).0
    }

    /// Whether a field is set.
    pub fn has(&self, name: &str) -> bool {
        self.entries.contains_key(name)
    }

    fn field_path(&self, name: &str) -> String {
        match self.path.as_str() {
            "" => name.to_string(),
            path => format!("{path}.{name}"),
        }
    }

    /// The value of a field, which is known from now on.
    fn get(&self, name: &'static str) -> Option<Located<&'a DeValue<'a>>> {
        self.known_fields.borrow_mut().push(name);
        let value: &'a Spanned<DeValue<'a>> = self.entries.get(name)?;
        Some(Located { value: value.get_ref(), span: value.span(), field: self.field_path(name) })
    }

    /// Reports that a required field is missing, if it is.
    fn require(&self, name: &'static str, expected: &str) {
        if !self.has(name) {
            self.known_fields.borrow_mut().push(name);
            self.report_missing(name, expected);
        }
    }

    /// Reports a value of the wrong type.
    fn report_type(&self, located: &Located<&DeValue<'_>>, expected: &str) {
        let found = type_name(located.value);
        self.report(located, format!("expected {expected}, found {found}"), None);
    }
}

/// What operators call the type of a value.
fn type_name(value: &DeValue<'_>) -> &'static str {
    match value {
        DeValue::String(_) => "a text",
        DeValue::Integer(_) => "a whole number",
        DeValue::Float(_) => "a number",
        DeValue::Boolean(_) => "true or false",
        DeValue::Datetime(_) => "a date",
        DeValue::Array(_) => "a list",
        DeValue::Table(_) => "a table",
    }
}
