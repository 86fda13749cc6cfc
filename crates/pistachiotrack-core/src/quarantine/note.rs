//! What VMs tell each other of a request that crashes endpoints.

use serde::{Deserialize, Serialize};

use crate::{fingerprint::Fingerprint, shard::EndpointKey};

/// What a VM knows of a request; what two know is merged the same on both.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNote {
    /// The request.
    pub request: Fingerprint,
    /// How often it was cleared; a higher number makes the rest of a lower one void.
    pub generation: u32,
    /// Endpoints that ended under it since then, and how often each did.
    pub crashes: Vec<(EndpointKey, u8)>,
    /// Trials since then.
    pub trials: u8,
}
