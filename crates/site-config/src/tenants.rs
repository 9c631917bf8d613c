//! The tenants of requests.

use sableloom_toml_diagnostics::Table;

use crate::fields::header_name;
use crate::location::SourceLocation;

/// Headers that concern one connection (RFC 9110, section 7.6.1, and what replaces framing): they are not
/// forwarded with a request, so a limit by one of them would limit nothing.
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Tenants of requests, whose limits come from control machines.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenants {
    /// The header that names a request's tenant, in lower case.
    pub header: String,
    /// Where it is written.
    pub location: SourceLocation,
}

/// The section `[tenants]`.
pub(crate) fn read_tenants(root: &Table<'_>) -> Option<Tenants> {
    let table = root.table("tenants")?;
    let header = table.required_string("header", "the header that names a request's tenant");
    if !root.has("control") {
        let help = "limits come from control machines; name them in [control]".to_string();
        table.report(&table.location(), "there are no limits without [control]", Some(help));
    }
    table.finish();
    let found = header?;
    let header = header_name(&table, &found)?;
    if CONNECTION_HEADERS.contains(&header.as_str()) {
        let message = format!("{header:?} concerns a connection and goes with no request");
        table.report(&found, message, None);
    }
    Some(Tenants { header, location: SourceLocation::of(&table) })
}
