//! Faults of the paths from this VM to endpoints, which a test injects.

use std::str::FromStr;

/// A fault of the paths to all endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PathFault {
    /// Open connections break, and new ones are refused.
    Refused,
    /// Open connections break, and new ones get no answer.
    Silent,
    /// Open connections live on, and new ones are refused.
    NewRefused,
}

impl PathFault {
    /// Returns whether open connections break.
    pub(crate) fn breaks_open_connections(self) -> bool {
        self != PathFault::NewRefused
    }
}

/// The name of a fault is unknown.
#[derive(Debug, thiserror::Error)]
#[error("unknown path fault")]
pub(crate) struct UnknownPathFault;

impl FromStr for PathFault {
    type Err = UnknownPathFault;

    fn from_str(name: &str) -> Result<PathFault, UnknownPathFault> {
        match name {
            "refused" => Ok(PathFault::Refused),
            "silent" => Ok(PathFault::Silent),
            "new-refused" => Ok(PathFault::NewRefused),
            _ => Err(UnknownPathFault),
        }
    }
}
