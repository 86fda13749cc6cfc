//! Latency histograms by customer and request class.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use hdrhistogram::Histogram;
use pistachiotrack_core::{admin::HistogramStatus, name::Name, request::Class};
use rustc_hash::FxHashMap;

/// Maximum number of customers and classes with a histogram of their own; further
/// customers share one per class, so that callers can't make memory grow without bound.
const MAX_HISTOGRAMS: usize = 256;
/// Customer name of the shared histograms.
const OTHER_CUSTOMERS: &str = "(others)";
/// Largest latency that is recorded; longer ones count as this.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant digits of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Histograms of one kind of latency, by customer and class.
#[derive(Debug, Default)]
pub(crate) struct Histograms {
    by_key: Mutex<FxHashMap<(Name, Class), Histogram<u32>>>,
}

impl Histograms {
    /// Records a latency.
    pub(crate) fn record(&self, customer: &Name, class: Class, latency: Duration) {
        let latency_us = (latency.as_micros() as u64).clamp(1, MAX_LATENCY_US);
        let mut by_key = self.by_key.lock().unwrap_or_else(PoisonError::into_inner);
        let mut key = (customer.clone(), class);
        if by_key.len() >= MAX_HISTOGRAMS && !by_key.contains_key(&key) {
            key.0 = Name::from(OTHER_CUSTOMERS);
        }
        let histogram = by_key.entry(key).or_insert_with(new_histogram);
        histogram.saturating_record(latency_us);
    }

    /// Returns the histograms for the admin port, sorted by customer and class.
    pub(crate) fn statuses(&self) -> Vec<HistogramStatus> {
        let by_key = self.by_key.lock().unwrap_or_else(PoisonError::into_inner);
        let mut statuses: Vec<HistogramStatus> =
            by_key.iter().map(|((customer, class), h)| status(customer, *class, h)).collect();
        statuses.sort_by(|a, b| (&a.customer, &a.class).cmp(&(&b.customer, &b.class)));
        statuses
    }
}

fn new_histogram() -> Histogram<u32> {
    Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .expect("the bounds are valid constants")
}

fn status(customer: &Name, class: Class, histogram: &Histogram<u32>) -> HistogramStatus {
    HistogramStatus {
        customer: customer.clone(),
        class: Name::from(class.as_str()),
        count: histogram.len(),
        p50_us: histogram.value_at_quantile(0.5),
        p90_us: histogram.value_at_quantile(0.9),
        p99_us: histogram.value_at_quantile(0.99),
        max_us: histogram.max(),
    }
}
