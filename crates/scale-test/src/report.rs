//! The result of a run: measured values by size, as a table, as JSON and as fitted lines.

use comfy_table::{Table, presets};
use serde::Serialize;

use crate::fit::Fit;

/// One measured value.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Measurement {
    /// What was measured, and its unit.
    pub what: String,
    /// By what it is expected to grow, such as `balancers`.
    pub size_name: String,
    /// How many of these there were.
    pub size: f64,
    /// The value.
    pub value: f64,
    /// Why it does not count: the machine was short while it was taken.
    pub void: Option<String>,
}

/// Everything that a run found.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RunReport {
    /// Measured values in the order in which they were taken.
    pub measurements: Vec<Measurement>,
    /// What the run did not reach, and why.
    pub not_reached: Vec<String>,
    /// Lines through the values of each kind that count.
    pub fits: Vec<NamedFit>,
}

/// The line through the values of one kind.
#[derive(Clone, Debug, Serialize)]
pub struct NamedFit {
    /// What was measured.
    pub what: String,
    /// By what it grows.
    pub size_name: String,
    /// The line.
    pub fit: Fit,
}

impl RunReport {
    /// Adds a value.
    pub fn add(&mut self, what: &str, size_name: &str, size: f64, value: f64, void: Option<&str>) {
        let (what, size_name) = (what.to_string(), size_name.to_string());
        let void = void.map(str::to_string);
        self.measurements.push(Measurement { what, size_name, size, value, void });
    }

    /// The value of one kind at one size, if it was taken.
    pub fn value(&self, what: &str, size: f64) -> Option<f64> {
        let found = self.measurements.iter().find(|m| m.what == what && m.size == size);
        found.map(|m| m.value)
    }

    /// Fits a line to each kind of which two sizes or more count.
    pub fn fit(&mut self) {
        let mut fits: Vec<NamedFit> = Vec::new();
        for measurement in &self.measurements {
            let Measurement { what, size_name, .. } = measurement;
            let done = |fit: &NamedFit| fit.what == *what && fit.size_name == *size_name;
            if fits.iter().any(done) {
                continue;
            }
            let same = |m: &&Measurement| m.what == *what && m.size_name == *size_name;
            let counting = self.measurements.iter().filter(same).filter(|m| m.void.is_none());
            let points: Vec<(f64, f64)> = counting.map(|m| (m.size, m.value)).collect();
            if let Some(fit) = Fit::of(&points) {
                fits.push(NamedFit { what: what.clone(), size_name: size_name.clone(), fit });
            }
        }
        self.fits = fits;
    }

    /// The values as a table, a row for each kind and a column for each size.
    pub fn table(&self) -> String {
        let mut size_names: Vec<&str> = Vec::new();
        for measurement in &self.measurements {
            if !size_names.contains(&measurement.size_name.as_str()) {
                size_names.push(&measurement.size_name);
            }
        }
        let tables = size_names.into_iter().map(|name| self.table_by(name));
        let mut text = tables.collect::<Vec<_>>().join("\n");
        for missing in &self.not_reached {
            text += &format!("\nnot reached: {missing}");
        }
        text
    }

    fn table_by(&self, size_name: &str) -> String {
        let of = || self.measurements.iter().filter(|m| m.size_name == size_name);
        let (mut sizes, mut kinds): (Vec<f64>, Vec<&str>) = (Vec::new(), Vec::new());
        for measurement in of() {
            if !sizes.contains(&measurement.size) {
                sizes.push(measurement.size);
            }
            if !kinds.contains(&measurement.what.as_str()) {
                kinds.push(&measurement.what);
            }
        }
        let mut table = Table::new();
        table.load_preset(presets::ASCII_MARKDOWN);
        let columns = sizes.iter().map(|size| format!("{size}"));
        let ends = ["slope", "R2", "max residual"].map(str::to_string);
        table.set_header([size_name.to_string()].into_iter().chain(columns).chain(ends));
        for kind in kinds {
            let cell = |size: &f64| {
                let found = of().find(|m| m.what == kind && m.size == *size);
                found.map_or(String::new(), |m| match &m.void {
                    Some(why) => format!("{} VOID: {why}", number(m.value)),
                    None => number(m.value),
                })
            };
            let cells = sizes.iter().map(cell);
            let fit = self.fits.iter().find(|f| f.what == kind && f.size_name == size_name);
            let ends = match fit.map(|f| f.fit) {
                Some(fit) => [fit.slope, fit.r_squared, fit.max_residual].map(number),
                None => Default::default(),
            };
            table.add_row([kind.to_string()].into_iter().chain(cells).chain(ends));
        }
        table.to_string()
    }
}

/// Four digits that count, and no more.
fn number(value: f64) -> String {
    let size = value.abs();
    match size {
        0.0 => "0".to_string(),
        _ if size >= 1000.0 => format!("{value:.0}"),
        _ if size >= 100.0 => format!("{value:.1}"),
        _ if size >= 1.0 => format!("{value:.2}"),
        _ if size >= 0.001 => format!("{value:.4}"),
        _ => format!("{value:.2e}"),
    }
}
