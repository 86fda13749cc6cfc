//! Status of the shards that run on this VM, which the shards publish.

use std::sync::{Arc, RwLock};

use pistachiotrack_core::{name::Name, ownership::ShardId};
use rustc_hash::FxHashMap;

/// Current status of a shard, used by the conditions of rules.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ShardStatus {
    /// Whether no further endpoint is ejected because the minimum is reached.
    pub(crate) at_floor: bool,
    /// Expected queueing time of a new request.
    pub(crate) queue_wait_ms: u64,
}

/// Status of all shards that run on this VM.
pub(crate) type ShardStatusTable = Arc<RwLock<FxHashMap<ShardId, ShardStatus>>>;

/// Returns the name of a shard in logs and on the admin port.
pub(crate) fn shard_name(shard: &ShardId) -> Name {
    Name::from(format!("{}/{}", shard.service, shard.index))
}
