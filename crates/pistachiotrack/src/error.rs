//! Errors with an exit code of their own; all others are untyped.

use crate::http_client::HttpError;

/// An error with an exit code of its own.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The command line is invalid.
    #[error("{0}\nTry 'pistachiotrack --help'.")]
    Usage(String),
    /// An address sent no usable response.
    #[error(transparent)]
    Http(#[from] HttpError),
}

impl Error {
    /// Returns a usage error with a message.
    pub(crate) fn usage(message: impl Into<String>) -> anyhow::Error {
        Error::Usage(message.into()).into()
    }
}
