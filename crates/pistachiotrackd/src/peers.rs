//! What VMs tell and ask each other, and what a VM keeps of it.

pub(crate) mod customer_limits;
pub(crate) mod endpoint_notices;
pub(crate) mod hand_over;
pub(crate) mod path_check;
pub(crate) mod peer_client;
pub(crate) mod quarantine;
pub(crate) mod shard_update_link;
pub(crate) mod udp;
