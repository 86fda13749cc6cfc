//! Whether this VM reaches endpoints, as published to the other modules.

use pistachiotrack_core::reachability::EndpointReach;

/// Whether this VM reaches endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReachView {
    /// Whether it does.
    pub(crate) reach: EndpointReach,
    /// Whether broken connections say nothing about endpoints.
    pub(crate) is_in_doubt: bool,
}

impl Default for ReachView {
    fn default() -> ReachView {
        ReachView { reach: EndpointReach::Normal, is_in_doubt: false }
    }
}
