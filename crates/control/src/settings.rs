//! The settings of a control machine, which are read from a TOML file.

use std::net::SocketAddr;

use sableloom_distribution::{PublisherOptions, StoreLimits};
use sableloom_resources::MAX_CHANGE_NUMBER;
use sableloom_toml_diagnostics::{self as toml_diagnostics, Problem, Table};
use sableloom_types::Span;

/// Number of connections allowed in addition to [`PublisherOptions::max_sessions`], for tools that request the status
/// and subscribers that have not sent their hello yet.
pub const NON_SESSION_CONNECTIONS: usize = 64;

/// The settings of a control machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The address that subscribers and status clients connect to.
    pub listen: SocketAddr,
    /// The path of the folder of change files. A relative path starts at the folder of the settings file.
    pub changes_folder: String,
    /// The number of the change file that the log begins with; at least 1.
    pub first_number: u64,
    /// The limits of the store.
    pub store_limits: StoreLimits,
    /// The limits and timeouts of the publisher.
    pub publisher_options: PublisherOptions,
    /// Maximum number of open connections, with and without a session. A connection beyond it is closed at once.
    pub max_connections: usize,
}

/// Parses the text of a settings file. `file` is the name of the file in problems.
///
/// # Errors
///
/// Returns all problems that were found in the text.
pub fn read_settings(file: &str, text: &[u8]) -> Result<Settings, Vec<Problem>> {
    toml_diagnostics::read(file, text, read_root)
}

fn read_root(root: &Table<'_>) -> Option<Settings> {
    let listen = root.required_address("listen");
    let changes = root.required_string("changes", "the folder of change files");
    if let Some(changes) = changes.as_ref().filter(|changes| changes.value.is_empty()) {
        root.report(changes, "expected the path of a folder, found an empty string", None);
    }
    let first = root.integer("first", 1..=MAX_CHANGE_NUMBER, "").map_or(1, |first| first.value);
    let mut settings = Settings {
        listen: listen?.value,
        changes_folder: changes?.value,
        first_number: first as u64,
        store_limits: StoreLimits::default(),
        publisher_options: PublisherOptions::default(),
        max_connections: 0,
    };
    if let Some(table) = root.table("limits") {
        read_limits(&table, &mut settings);
        table.finish();
    }
    settings.max_connections = settings.publisher_options.max_sessions + NON_SESSION_CONNECTIONS;
    Some(settings)
}

/// Reads the `[limits]` table. A limit that is not set keeps its default.
fn read_limits(table: &Table<'_>, settings: &mut Settings) {
    let set = |field: &'static str, max: usize, unit: &str, value: &mut usize| {
        if let Some(found) = table.integer(field, 1..=max, unit) {
            *value = found.value;
        }
    };
    let store = &mut settings.store_limits;
    set("log_changes", 1 << 24, "", &mut store.log_entries);
    set("log_bytes", 1 << 32, " bytes", &mut store.log_bytes);
    set("services", 1 << 20, "", &mut store.services);
    let publisher = &mut settings.publisher_options;
    set("sessions", 1 << 20, "", &mut publisher.max_sessions);
    set("scope_services", 1 << 20, "", &mut publisher.max_scope_services);
    set("snapshots_at_once", 1 << 20, "", &mut publisher.max_concurrent_snapshots);
    set("queued_bytes", 1 << 30, " bytes", &mut publisher.max_queued_bytes);
    let rate = |field: &'static str, value: &mut u64| {
        if let Some(found) = table.integer(field, 1024..=1 << 40, " bytes") {
            *value = found.value as u64;
        }
    };
    rate("bytes_per_second", &mut publisher.bytes_per_second);
    rate("burst_bytes", &mut publisher.burst_bytes);
    let time = |field: &'static str, value: &mut Span| {
        if let Some(found) = table.integer(field, 10..=3_600_000, " ms") {
            *value = Span(found.value as i64 * 1000);
        }
    };
    time("stall_ms", &mut publisher.stall_timeout);
    time("acknowledge_ms", &mut publisher.acknowledge_timeout);
    time("silence_ms", &mut publisher.silence_timeout);
}
