//! Why params, a result or an error are not as the specification of the mapping says.

/// What is wrong with the parts of a message; names are cut to 40 characters.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FormatError {
    /// The params are no array.
    #[error("params are no array")]
    ParamsNotArray,
    /// The params have another number of elements.
    #[error("expected the params [meta, body], found {0}")]
    ParamsLength(usize),
    /// The result is no array of a meta and a body.
    #[error("no result [meta, body]")]
    ResultNotPair,
    /// The error is no array of four elements.
    #[error("no error [code, text, may_try_again, come_back_ms]")]
    ErrorNotFour,
    /// An element of the error has another type, or a code that is not specified.
    #[error("an error with parts that are not as specified")]
    ErrorPart,
    /// The meta is no map.
    #[error("meta is no map")]
    MetaNotMap,
    /// The meta has more names than the limit.
    #[error("meta has over {0} names")]
    TooManyNames(usize),
    /// A name is no text, or longer than the limit.
    #[error("meta has a name that is no text")]
    NameNotText,
    /// A name stands twice.
    #[error("meta has {0} twice")]
    DuplicateName(String),
    /// A value is no text, or longer than the limit.
    #[error("{0} is no text")]
    ValueNotText(String),
    /// A value is longer than the limit.
    #[error("{name} is over {limit} bytes")]
    ValueTooLong {
        /// The name of the value.
        name: String,
        /// The limit in bytes.
        limit: usize,
    },
    /// `expires_ms` is no whole number from 0.
    #[error("expires_ms is no whole number from 0")]
    ExpiresNotNumber,
}
