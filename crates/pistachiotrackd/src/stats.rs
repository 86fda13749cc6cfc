//! Counters, histograms and statuses, as operators see them.

pub(crate) mod attempt_report;
pub(crate) mod forward_stats;
pub(crate) mod histogram;
pub(crate) mod metrics;
pub(crate) mod shard_status;
pub(crate) mod traffic;
pub(crate) mod work_times;
