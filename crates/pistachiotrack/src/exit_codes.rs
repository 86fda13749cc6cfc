//! Exit codes, so that scripts can tell a verdict from a failure to reach one.

use crate::Error;

/// How the process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExitCode {
    /// The question was answered and nothing is wrong.
    Success,
    /// The question was answered and the answer is no: a file is not accepted,
    /// no rule matches, or a VM refuses.
    Rejected,
    /// The command line is wrong.
    Usage,
    /// At least one address gave no usable answer.
    NoAnswer,
    /// Something else went wrong, such as a file that can't be read.
    GeneralError,
}

impl ExitCode {
    fn as_u8(self) -> u8 {
        match self {
            ExitCode::Success => 0,
            ExitCode::Rejected => 1,
            ExitCode::Usage => 2,
            ExitCode::NoAnswer => 3,
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
            Some(Error::Http(_)) => ExitCode::NoAnswer,
            None => ExitCode::GeneralError,
        }
    }
}
