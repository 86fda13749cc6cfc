//! Exit codes, which let scripts distinguish a negative result from a failure to get one.

use crate::Error;

/// Exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExitCode {
    /// The command succeeded and its result is positive.
    Success,
    /// The command succeeded and its result is negative: a file is not accepted, no rule
    /// matches, a VM refuses, no log has the request, or no log has a failed attempt or a
    /// refusal.
    Rejected,
    /// The command line is invalid.
    Usage,
    /// At least one address sent no usable response.
    NoResponse,
    /// Any other failure, such as a file that can't be read.
    GeneralError,
}

impl ExitCode {
    fn as_u8(self) -> u8 {
        match self {
            ExitCode::Success => 0,
            ExitCode::Rejected => 1,
            ExitCode::Usage => 2,
            ExitCode::NoResponse => 3,
            ExitCode::GeneralError => 4,
        }
    }
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> Self {
        code.as_u8().into()
    }
}

impl From<&anyhow::Error> for ExitCode {
    fn from(error: &anyhow::Error) -> Self {
        match error.downcast_ref::<Error>() {
            Some(Error::Usage(_)) => ExitCode::Usage,
            Some(Error::Http(_)) => ExitCode::NoResponse,
            None => ExitCode::GeneralError,
        }
    }
}
