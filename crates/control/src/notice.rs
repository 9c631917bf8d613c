//! What an operator must know about the folder of change files.

use std::fmt;

use sableloom_toml_diagnostics::Problem;

use crate::change_file::change_file_name;

/// A condition of the folder that an operator must know of. It is reported once, when it begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The folder or a file can't be read.
    Unreadable {
        /// The file or folder.
        file: String,
        /// Why.
        cause: String,
    },
    /// The next file has no end yet: it is still being written, or was cut off.
    Unfinished {
        /// The file.
        file: String,
    },
    /// A file is missing and a later one is there.
    Gap {
        /// The missing file.
        missing: String,
        /// The latest file that is there.
        latest: String,
    },
    /// The next file is wrong; neither it nor a later one is applied.
    Invalid(Vec<Problem>),
    /// The contents of a file changed after it was applied; the first contents stay in force.
    Modified {
        /// The file.
        file: String,
    },
    /// A file was removed after it was applied; its contents stay in force.
    Removed {
        /// The file.
        file: String,
    },
    /// A file appeared with a lower number than the log begins with; it is not applied.
    BeforeFirst {
        /// The file.
        file: String,
        /// The file that the log begins with.
        first: String,
    },
    /// A TOML file whose name is not a number; it is not read.
    NotNumbered {
        /// The file.
        file: String,
    },
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::Unreadable { file, cause } => write!(f, "{file}: it can't be read: {cause}"),
            Notice::Unfinished { file } => {
                write!(f, "{file}: unfinished, no [end] yet; it is read again when it changes")
            }
            Notice::Gap { missing, latest } => {
                write!(f, "{missing}: missing, and {latest} is there; waiting for it")
            }
            Notice::Invalid(problems) => {
                for problem in problems {
                    writeln!(f, "{problem}")?;
                }
                f.write_str("not applied, nor any later file, until it is corrected")
            }
            Notice::Modified { file } => {
                write!(f, "{file}: altered after it was read; not applied, write a new change")
            }
            Notice::Removed { file } => {
                write!(f, "{file}: removed after it was read; its contents stay in force")
            }
            Notice::BeforeFirst { file, first } => {
                write!(f, "{file}: not applied, the log begins with {first}")
            }
            Notice::NotNumbered { file } => {
                write!(f, "{file}: not read, a change file is named as {}", change_file_name(124))
            }
        }
    }
}
