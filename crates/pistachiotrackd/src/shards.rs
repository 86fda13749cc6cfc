//! Shards on this VM: the actors around the decisions of the core.

pub(crate) mod probe;
pub(crate) mod shard_actor;
pub(crate) mod shard_table;
