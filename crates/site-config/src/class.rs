//! Classes of requests.

use sableloom_toml_diagnostics::{Located, Table};
use sableloom_types::settings::ClassSettings;
use sableloom_types::{DedupScope, Idempotency};

use crate::conditions::read_methods;
use crate::fields::{DAY_MS, HOUR_MS, new_name};
use crate::location::SourceLocation;

/// How long a removed server drains at least where nothing is set, in milliseconds.
const MIN_DEFAULT_DRAIN_MS: f64 = 1000.0;

/// A class of requests; times in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// An answer within this time earns the full priority weight.
    pub latency_objective_ms: f64,
    /// The longest that a client waits; the deadline of a request that states none.
    pub deadline_ms: f64,
    /// What a repeated request does.
    pub idempotency: Idempotency,
    /// How long servers drop repeats of a request with an idempotency key; 0 for other classes.
    pub dedup_window_ms: f64,
    /// Methods that its requests may have.
    pub methods: Vec<String>,
    /// Priority weight of one request.
    pub priority_weight: f64,
    /// Share of the priority weight that an answer after the latency objective earns.
    pub late_priority_weight: f64,
    /// Where it is written.
    pub location: SourceLocation,
}

impl Class {
    /// The class as the policy knows it.
    pub(crate) fn settings(&self) -> ClassSettings {
        ClassSettings {
            name: self.name.clone(),
            latency_objective: self.latency_objective_ms,
            deadline: self.deadline_ms,
            idempotency: self.idempotency,
            dedup_scope: DedupScope::All,
            priority_weight: self.priority_weight,
            late_priority_weight: self.late_priority_weight,
            dedup_window: self.dedup_window_ms,
        }
    }
}

/// What a pool takes from the classes of its site where its own settings say nothing; times in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassDefaults {
    pub(crate) mean_latency_objective_ms: f64,
    pub(crate) longest_deadline_ms: f64,
}

impl ClassDefaults {
    /// The defaults that these classes give.
    pub fn of<'c>(classes: impl IntoIterator<Item = &'c Class>) -> Self {
        let (mut objectives, mut count, mut longest_deadline_ms) =
            (0.0, 0usize, MIN_DEFAULT_DRAIN_MS);
        for class in classes {
            objectives += class.latency_objective_ms;
            count += 1;
            longest_deadline_ms = longest_deadline_ms.max(class.deadline_ms);
        }
        let mean_latency_objective_ms = objectives / count.max(1) as f64;
        Self { mean_latency_objective_ms, longest_deadline_ms }
    }
}

/// The sections `[[class]]`.
pub(crate) fn read_classes(root: &Table<'_>) -> Vec<Class> {
    let mut classes: Vec<Class> = Vec::new();
    let tables = root.tables("class");
    for table in &tables {
        let name = new_name(table, classes.iter().map(|class| class.name.as_str()));
        let class = read_class(table, name);
        classes.extend(class);
    }
    if tables.is_empty() && !root.has("class") {
        root.report_missing("class", "at least one [[class]]");
    }
    classes
}

fn read_class(table: &Table<'_>, name: Option<String>) -> Option<Class> {
    let latency_objective = table.required_number("aim_ms", 1.0..=HOUR_MS, " ms");
    let deadline = table.required_number("deadline_ms", 1.0..=HOUR_MS, " ms");
    if let (Some(objective), Some(deadline)) = (&latency_objective, &deadline)
        && deadline.value < objective.value
    {
        let message = format!("{} ms is under the aim of {} ms", deadline.value, objective.value);
        table.report(deadline, message, None);
    }
    let idempotency = read_idempotency(table);
    let dedup_window = read_dedup_window(table, idempotency.as_ref());
    let methods = read_methods(table);
    if methods.is_empty() && !table.has("methods") {
        table.report_missing("methods", "at least one method");
    }
    let priority_weight = table.number("worth", 0.001..=1000.0, "");
    let late_priority_weight = table.number("late_worth", 0.0..=1.0, "");
    table.finish();
    Some(Class {
        name: name?,
        latency_objective_ms: latency_objective?.value,
        deadline_ms: deadline?.value,
        idempotency: idempotency?.value,
        dedup_window_ms: dedup_window.map_or(0.0, |window| window.value),
        methods,
        priority_weight: priority_weight.map_or(1.0, |weight| weight.value),
        late_priority_weight: late_priority_weight.map_or(0.0, |weight| weight.value),
        location: SourceLocation::of(table),
    })
}

fn read_idempotency(table: &Table<'_>) -> Option<Located<Idempotency>> {
    let words = [
        ("safe", Idempotency::Idempotent),
        ("keyed", Idempotency::Keyed),
        ("unsafe", Idempotency::NonIdempotent),
    ];
    let idempotency = table.choice("effect", &words);
    if idempotency.is_none() && !table.has("effect") {
        table.report_missing("effect", "\"safe\", \"keyed\" or \"unsafe\"");
    }
    idempotency
}

/// The deduplication window, which a class with idempotency keys must have and no other may.
fn read_dedup_window(
    table: &Table<'_>,
    idempotency: Option<&Located<Idempotency>>,
) -> Option<Located<f64>> {
    let keyed = idempotency.is_some_and(|found| found.value == Idempotency::Keyed);
    let window = table.number("window_ms", 1.0..=DAY_MS, " ms");
    match &window {
        None if keyed && !table.has("window_ms") => {
            table.report_missing("window_ms", "for how long servers drop repeats");
        }
        Some(window) if !keyed && idempotency.is_some() => {
            table.report(window, "only a keyed class has it", None);
        }
        _ => {}
    }
    window
}
