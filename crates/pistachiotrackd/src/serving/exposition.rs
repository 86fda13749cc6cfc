//! Metrics in the text format of Prometheus.

mod fleet_queue;

use std::{fmt, sync::Arc};

use pistachiotrack_core::{
    admin::CustomerUsage,
    shard::{HeldRetryCounts, RetryCounts},
};
use prometheus_client::{
    collector::Collector,
    encoding::{DescriptorEncoder, EncodeMetric, text},
    metrics::{MetricType, counter::ConstCounter, gauge::ConstGauge},
    registry::Registry,
};

use crate::{
    membership::fleet::ConfigStatus, serving::context::Context, stats::traffic::LinkCount,
};

/// Prefix of every metric name.
const METRIC_PREFIX: &str = "pistachiotrack";

/// Maximum number of customers with a metric of their own.
const MAX_CUSTOMERS: usize = 256;

/// Collects the daemon's counters and latencies when metrics are requested.
struct DaemonCollector {
    context: Arc<Context>,
    config: ConfigStatus,
}

impl fmt::Debug for DaemonCollector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Daemon")
    }
}

impl Collector for DaemonCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let context = &self.context;
        let mut counters = context.metrics.counters();
        counters.extend(context.traffic.counters());
        if let Some(source) = &context.source {
            counters.extend(source.counters());
        }
        for counter in counters {
            let value = ConstCounter::new(counter.value);
            let metric =
                encoder.encode_descriptor(&counter.name, "Events", None, value.metric_type())?;
            value.encode(metric)?;
        }
        encode_links(&mut encoder, &context.traffic.links())?;
        let view = context.view();
        let version = view.active.as_ref().map(|active| active.config.version);
        let gauges = [
            ("live_vms", Some(u64::from(view.live_vms()))),
            ("config_version", version.or(Some(0))),
            ("config_behind_ms", self.config.behind_ms.or(Some(0))),
            ("platform_age_ms", self.config.platform_age_ms),
            ("config_confirmed_age_ms", context.confirmed_age().map(|age| age.as_millis() as u64)),
        ];
        let known = gauges.into_iter().filter_map(|(name, value)| Some((name, value? as i64)));
        for (name, value) in known {
            let value = ConstGauge::new(value);
            let metric = encoder.encode_descriptor(name, "State", None, value.metric_type())?;
            value.encode(metric)?;
        }
        encode_retries(&mut encoder, context.shards.retries())?;
        encode_held_retries(&mut encoder, context.shards.held_retries())?;
        encode_customers(&mut encoder, &context.customer_limits.usage())?;
        fleet_queue::encode(&mut encoder, &context.shards.fleet_queues())?;
        let [total, added, queued] = [
            "Time to the answer's head",
            "Part of it in which no endpoint had a hand",
            "Time until a request is first sent to an endpoint",
        ];
        encode_latencies(&mut encoder, "latency_us", total, context.total_latency.statuses())?;
        encode_latencies(
            &mut encoder,
            "added_latency_us",
            added,
            context.added_latency.statuses(),
        )?;
        encode_latencies(&mut encoder, "queued_us", queued, context.queue_latency.statuses())
    }
}

/// Encodes the message and byte counts by topic, locality and direction.
fn encode_links(
    encoder: &mut DescriptorEncoder<'_>,
    links: &[LinkCount],
) -> Result<(), fmt::Error> {
    let families = [
        ("link_messages", "Messages", LinkCount::messages as fn(&LinkCount) -> u64),
        ("link_bytes", "Payload without the heads of HTTP, TCP and UDP", LinkCount::bytes),
    ];
    for (name, help, value) in families {
        let kind = ConstCounter::new(0_u64).metric_type();
        let mut metric = encoder.encode_descriptor(name, help, None, kind)?;
        for link in links {
            let labels =
                [("topic", link.topic), ("place", link.locality), ("direction", link.direction)];
            ConstCounter::new(value(link)).encode(metric.encode_family(&labels)?)?;
        }
    }
    Ok(())
}

/// Encodes for how many requests the retry limit left a retry, and for how many none.
fn encode_retries(
    encoder: &mut DescriptorEncoder<'_>,
    counts: RetryCounts,
) -> Result<(), fmt::Error> {
    let totals = [
        ("retries_granted", "Failed attempts after which a retry was left", counts.granted_total),
        ("retries_denied", "Failed attempts after which none was left", counts.denied_total),
    ];
    for (name, help, total) in totals {
        let total = ConstCounter::new(total);
        let metric = encoder.encode_descriptor(name, help, None, total.metric_type())?;
        total.encode(metric)?;
    }
    Ok(())
}

/// Encodes the numbers of requests whose retries were held.
///
/// A counter is named without the ending `_total`, which its format adds. The gauge and the
/// counter of held requests would have the same name then, so the counter has no type.
fn encode_held_retries(
    encoder: &mut DescriptorEncoder<'_>,
    counts: HeldRetryCounts,
) -> Result<(), fmt::Error> {
    let numbers = [
        ("retries_held", "Requests held now", MetricType::Gauge, counts.held),
        ("retries_held_total", "Requests held", MetricType::Unknown, counts.held_total),
    ];
    for (name, help, kind, value) in numbers {
        let metric = encoder.encode_descriptor(name, help, None, kind)?;
        ConstGauge::new(value as i64).encode(metric)?;
    }
    let refused = ConstCounter::new(counts.refused_total);
    let help = "Held requests refused because they could not be sent in time";
    let metric =
        encoder.encode_descriptor("retries_held_refused", help, None, refused.metric_type())?;
    refused.encode(metric)
}

/// Encodes the requests of customers with a rate limit, of the first ones by name only.
fn encode_customers(
    encoder: &mut DescriptorEncoder<'_>,
    customers: &[CustomerUsage],
) -> Result<(), fmt::Error> {
    let families = [
        (
            "customer_admitted",
            "Requests admitted",
            (|usage| usage.admitted) as fn(&CustomerUsage) -> u64,
        ),
        ("customer_over_limit", "Requests refused beyond the rate limit", |usage| usage.refused),
    ];
    for (name, help, value) in families {
        let kind = ConstCounter::new(0_u64).metric_type();
        let mut metric = encoder.encode_descriptor(name, help, None, kind)?;
        for usage in customers.iter().take(MAX_CUSTOMERS) {
            let labels = [("customer", usage.customer.as_str())];
            ConstCounter::new(value(usage)).encode(metric.encode_family(&labels)?)?;
        }
    }
    Ok(())
}

fn encode_latencies(
    encoder: &mut DescriptorEncoder<'_>,
    name: &str,
    help: &str,
    histograms: Vec<pistachiotrack_core::admin::HistogramStatus>,
) -> Result<(), fmt::Error> {
    let gauge = ConstGauge::new(0_i64);
    let mut metric = encoder.encode_descriptor(name, help, None, gauge.metric_type())?;
    for histogram in histograms {
        let values = [
            ("0.5", histogram.p50_us),
            ("0.9", histogram.p90_us),
            ("0.99", histogram.p99_us),
            ("1", histogram.max_us),
            ("count", histogram.count),
        ];
        for (quantile, value) in values {
            let labels = [
                ("customer", histogram.customer.as_str()),
                ("class", histogram.class.as_str()),
                ("quantile", quantile),
            ];
            ConstGauge::new(value as i64).encode(metric.encode_family(&labels)?)?;
        }
    }
    Ok(())
}

/// Returns all metrics in text format.
///
/// # Errors
///
/// Returns an error if a metric can't be encoded.
pub(crate) fn text(context: &Arc<Context>, config: ConfigStatus) -> Result<String, fmt::Error> {
    let mut registry = Registry::with_prefix(METRIC_PREFIX);
    registry.register_collector(Box::new(DaemonCollector { context: Arc::clone(context), config }));
    let mut text = String::new();
    text::encode(&mut text, &registry)?;
    Ok(text)
}
