//! What ends the adapter.

use std::io;

use sableloom_types::PolicySettingsError;

/// Why the adapter ends before its input does. Its message names the batch, the message in it and the field.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdapterError {
    /// Standard input can't be read.
    #[error("standard input: {0}")]
    Input(#[source] io::Error),
    /// Standard output can't be written.
    #[error("standard output: {0}")]
    Output(#[source] io::Error),
    /// A line is no batch.
    #[error("{batch}: {problem}")]
    Malformed {
        /// Which batch, as far as it could be read.
        batch: String,
        /// The field, and what is wrong with it.
        problem: String,
    },
    /// A message of a batch can't be taken.
    #[error("batch {batch}: message {index}: {error}")]
    Message {
        /// The number of the batch.
        batch: u64,
        /// Index of the message in the batch.
        index: usize,
        /// What is wrong with it.
        error: MessageError,
    },
}

/// Why a message can't be taken.
#[derive(Debug, thiserror::Error)]
pub(crate) enum MessageError {
    /// The settings of an instance can't be used.
    #[error("field `Facts`: {0}")]
    Settings(#[from] PolicySettingsError),
    /// A request is of a class that the settings don't name.
    #[error("field `TierClass`: no class {0}")]
    UnknownClass(usize),
    /// The result code of an attempt is none of the simulator's.
    #[error("field `Rc`: no outcome {0}")]
    UnknownOutcome(u16),
}
