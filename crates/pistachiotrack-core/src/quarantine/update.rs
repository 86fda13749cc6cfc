//! Gossip message about a request that crashes endpoints.

use serde::{Deserialize, Serialize};

use crate::{fingerprint::Fingerprint, shard::EndpointKey};

/// Crash counts of a request at one VM; merging is commutative, so that all VMs converge.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// The request.
    pub request: Fingerprint,
    /// Number of times the request was cleared; an update with a higher number supersedes all
    /// state with a lower one.
    pub generation: u32,
    /// Endpoints that crashed while running it since it was last cleared, with crash counts.
    pub crashes: Vec<(EndpointKey, u8)>,
    /// Trials since it was last cleared.
    pub trials: u8,
}
