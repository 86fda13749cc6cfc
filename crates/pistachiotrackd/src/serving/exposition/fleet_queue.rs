//! Metrics of the queues over the fleet.

use std::fmt;

use pistachiotrack_core::{name::Name, shard::FleetQueueStatus};
use prometheus_client::{
    encoding::{DescriptorEncoder, EncodeMetric},
    metrics::{counter::ConstCounter, gauge::ConstGauge},
};

/// Encodes what is queued over all dispatchers of each shard, and how often this VM left slots
/// to others.
pub(super) fn encode(
    encoder: &mut DescriptorEncoder<'_>,
    queues: &[(Name, FleetQueueStatus)],
) -> Result<(), fmt::Error> {
    let gauges = [
        (
            "fleet_queue_requests",
            "Requests queued at this VM",
            (|status| status.queued) as fn(&FleetQueueStatus) -> u64,
        ),
        ("fleet_queue_peer_requests", "Requests queued at other dispatchers", |status| {
            status.queued_at_peers
        }),
    ];
    for (name, help, value) in gauges {
        let kind = ConstGauge::new(0_i64).metric_type();
        let mut metric = encoder.encode_descriptor(name, help, None, kind)?;
        for (shard, status) in queues {
            let labels = [("shard", shard.as_str())];
            ConstGauge::new(value(status) as i64).encode(metric.encode_family(&labels)?)?;
        }
    }
    let counters = [
        (
            "fleet_queue_deferred",
            "Free slots left to other dispatchers",
            (|status| status.deferrals.deferred) as fn(&FleetQueueStatus) -> u64,
        ),
        ("fleet_queue_deferrals_unused", "Deferrals after which no other had used a slot", |it| {
            it.deferrals.unused
        }),
    ];
    for (name, help, value) in counters {
        let kind = ConstCounter::new(0_u64).metric_type();
        let mut metric = encoder.encode_descriptor(name, help, None, kind)?;
        for (shard, status) in queues {
            let labels = [("shard", shard.as_str())];
            ConstCounter::new(value(status)).encode(metric.encode_family(&labels)?)?;
        }
    }
    Ok(())
}
