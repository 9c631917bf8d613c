//! Getters of single values.

use std::ops::RangeInclusive;

use toml::de::DeValue;

use super::{Located, Table};
use crate::suggestion::suggestion;

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// What [`Table::required_name`] accepts.
const EXPECTED_NAME: &str = "1 to 128 visible ASCII characters";
/// What [`Table::date`] accepts.
const EXPECTED_DATE: &str = "a date and time with an offset, as 2026-12-01T08:30:00Z";

impl Table<'_> {
    /// A string.
    pub fn string(&self, name: &'static str) -> Option<Located<String>> {
        let located = self.get(name)?;
        match located.value {
            DeValue::String(text) => Some(located.map(|_| text.to_string())),
            _ => {
                self.report_type(&located, "a text in quotes");
                None
            }
        }
    }

    /// A string that must be set.
    pub fn required_string(&self, name: &'static str, expected: &str) -> Option<Located<String>> {
        self.require(name, expected);
        self.string(name)
    }

    /// A name that must be set: visible characters without spaces.
    pub fn required_name(&self, name: &'static str) -> Option<Located<String>> {
        let located = self.required_string(name, EXPECTED_NAME)?;
        let fits = (1..=MAX_NAME_BYTES).contains(&located.value.len())
            && located.value.bytes().all(|b| b.is_ascii_graphic());
        if !fits {
            let message = format!("expected {EXPECTED_NAME}, found {:?}", located.value);
            self.report(&located, message, None);
        }
        fits.then_some(located)
    }

    /// A number within bounds; `unit` follows them in messages.
    pub fn number(
        &self,
        name: &'static str,
        bounds: RangeInclusive<f64>,
        unit: &str,
    ) -> Option<Located<f64>> {
        let located = self.get(name)?;
        let Some(value) = as_f64(located.value) else {
            self.report_type(&located, "a number");
            return None;
        };
        if !bounds.contains(&value) {
            let (min, max) = (bounds.start(), bounds.end());
            let message = format!("expected {min} to {max}{unit}, found {value}");
            self.report(&located, message, None);
            return None;
        }
        Some(located.map(|_| value))
    }

    /// A number within bounds that must be set.
    pub fn required_number(
        &self,
        name: &'static str,
        bounds: RangeInclusive<f64>,
        unit: &str,
    ) -> Option<Located<f64>> {
        self.require(name, &format!("{} to {}{unit}", bounds.start(), bounds.end()));
        self.number(name, bounds, unit)
    }

    /// A whole number within bounds.
    pub fn integer(
        &self,
        name: &'static str,
        bounds: RangeInclusive<usize>,
        unit: &str,
    ) -> Option<Located<usize>> {
        let located = self.number(name, *bounds.start() as f64..=*bounds.end() as f64, unit)?;
        if located.value.fract() != 0.0 {
            let message = format!("expected a whole number, found {}", located.value);
            self.report(&located, message, None);
            return None;
        }
        Some(located.map(|value| value as usize))
    }

    /// True or false.
    pub fn boolean(&self, name: &'static str) -> Option<Located<bool>> {
        let located = self.get(name)?;
        match *located.value {
            DeValue::Boolean(value) => Some(located.map(|_| value)),
            _ => {
                self.report_type(&located, "true or false");
                None
            }
        }
    }

    /// A date and time with its offset from UTC, as its text in the form of RFC 3339.
    pub fn date(&self, name: &'static str) -> Option<Located<String>> {
        let located = self.get(name)?;
        match located.value {
            DeValue::Datetime(date)
                if date.date.is_some() && date.time.is_some() && date.offset.is_some() =>
            {
                Some(located.map(|_| date.to_string()))
            }
            _ => {
                self.report_type(&located, EXPECTED_DATE);
                None
            }
        }
    }

    /// The value of one of some words.
    pub fn choice<T: Copy>(&self, name: &'static str, words: &[(&str, T)]) -> Option<Located<T>> {
        let located = self.string(name)?;
        match words.iter().find(|(word, _)| *word == located.value) {
            Some((_, value)) => Some(located.map(|_| *value)),
            None => {
                let message = format!("{:?} is none of the words known here", located.value);
                let help = suggestion(&located.value, words.iter().map(|(word, _)| *word));
                self.report(&located, message, Some(help));
                None
            }
        }
    }
}

fn as_f64(value: &DeValue<'_>) -> Option<f64> {
    match value {
        DeValue::Integer(n) => i64::from_str_radix(n.as_str(), n.radix()).ok().map(|n| n as f64),
        DeValue::Float(n) => n.as_str().parse().ok(),
        _ => None,
    }
}
