//! Conditions of the folder of change files that are reported to the operator.

use std::fmt;

use sableloom_toml_diagnostics::Problem;

use crate::change_file::change_file_name;

/// A condition of the folder of change files that is reported to the operator.
///
/// The `Display` form names the file. It has one line, except for [`Notice::Invalid`], which has several.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The folder or a file can't be read.
    Unreadable {
        /// The name of the file, or the path of the folder.
        file: String,
        /// The text of the read error.
        cause: String,
    },
    /// The next file has no complete `[end]` table yet: it is still being written, or was truncated.
    Unfinished {
        /// The name of the file.
        file: String,
    },
    /// The next file is missing, and a file with a later number exists.
    Gap {
        /// The name of the missing file.
        missing: String,
        /// The name of a later file that exists. A [`crate::ChangeFolder`] names the latest one, and
        /// [`crate::check_folder`] the first one after the gap.
        later: String,
    },
    /// The next file has these problems. Neither this file nor a later one is applied until it is corrected.
    Invalid(Vec<Problem>),
    /// The contents of a file changed after it was applied. The contents that were applied stay in force.
    Modified {
        /// The name of the file.
        file: String,
    },
    /// A file was removed after it was applied. Its contents stay in force.
    Removed {
        /// The name of the file.
        file: String,
    },
    /// The number of a file is lower than the first number of the log. The file is not applied.
    BeforeFirst {
        /// The name of the file.
        file: String,
        /// The name of the file that the log begins with.
        first: String,
    },
    /// The name of a TOML file is not that of a change file. The file is not read.
    NotNumbered {
        /// The name of the file.
        file: String,
    },
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::Unreadable { file, cause } => write!(f, "{file}: it can't be read: {cause}"),
            Notice::Unfinished { file } => {
                write!(
                    f,
                    "{file}: incomplete: the [end] table is missing; the file is read again when it changes"
                )
            }
            Notice::Gap { missing, later } => {
                write!(
                    f,
                    "{missing}: missing, and {later} is there; no later file is applied before it"
                )
            }
            Notice::Invalid(problems) => {
                for problem in problems {
                    writeln!(f, "{problem}")?;
                }
                f.write_str(
                    "neither this file nor a later one is applied until this file is corrected",
                )
            }
            Notice::Modified { file } => {
                write!(
                    f,
                    "{file}: modified after it was applied; the modification has no effect, write a new \
                     change file"
                )
            }
            Notice::Removed { file } => {
                write!(f, "{file}: removed after it was applied; its contents stay in force")
            }
            Notice::BeforeFirst { file, first } => {
                write!(f, "{file}: not applied: the log begins with {first}")
            }
            Notice::NotNumbered { file } => {
                write!(
                    f,
                    "{file}: not read: the name of a change file is its number, as in {}",
                    change_file_name(124)
                )
            }
        }
    }
}
