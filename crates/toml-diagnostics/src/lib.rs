//! Reads operators' TOML files and finds everything that is wrong with them in one pass.
//!
//! An operator who learns of one mistake at a time needs a run for each. serde's derived readers stop at the first
//! error, so they are not used: [`read`] hands out a [`Table`] whose getters never fail. A getter reports what is wrong
//! with its field as a [`Problem`] (file, line, column, field, what was expected, and a suggestion where a name looks
//! misspelt) and the caller goes on with the next field.
//!
//! Invariants:
//! - the value that the caller builds is returned only if there is no problem at all;
//! - a field that no getter asked for is a problem, so that a misspelt key is never ignored;
//! - at most [`MAX_PROBLEMS`] problems are reported of one file, in the order of the file, and the rest are counted.
//!
//! The crate never opens a file, looks up no host name and knows no key of any file.
//!
//! ```
//! use sableloom_toml_diagnostics::read;
//!
//! let text = b"name = \"points\"\nworkers = 0\ntimeuot_ms = 5\n";
//! let problems = read("pool.toml", text, |table| {
//!     let name = table.required_name("name");
//!     let workers = table.integer("workers", 1..=64, "");
//!     table.number("timeout_ms", 1.0..=60_000.0, " ms");
//!     Some((name?.value, workers?.value))
//! })
//! .expect_err("two mistakes");
//! assert_eq!(problems[0].to_string(), "pool.toml:2:11: field `workers`: expected 1 to 64, found 0");
//! assert_eq!(
//!     problems[1].to_string(),
//!     "pool.toml:3:1: field `timeuot_ms`: unknown field; did you mean `timeout_ms`?"
//! );
//! ```

mod document;
mod problem;
mod read;
mod suggestion;
mod table;

pub use problem::{MAX_PROBLEMS, Problem};
pub use read::read;
pub use suggestion::{closest_name, suggestion};
pub use table::{Located, Table};
