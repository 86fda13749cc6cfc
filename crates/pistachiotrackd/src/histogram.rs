//! Latency histograms of each customer and class.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use hdrhistogram::Histogram;
use pistachiotrack_core::{admin::HistogramStatus, name::Name, request::Class};
use rustc_hash::FxHashMap;

/// Customers and classes that have a histogram of their own; all others share
/// one, so that memory stays bounded whatever callers send.
const MAX_HISTOGRAMS: usize = 256;
/// Name under which the others are counted.
const OTHERS: &str = "(others)";
/// Largest latency told apart, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant digits of a latency.
const DIGITS: u8 = 2;

/// The histograms of one latency, by customer and class.
#[derive(Debug, Default)]
pub(crate) struct Histograms {
    by_key: Mutex<FxHashMap<(Name, Class), Histogram<u32>>>,
}

impl Histograms {
    /// Counts a latency.
    pub(crate) fn record(&self, customer: &Name, class: Class, latency: Duration) {
        let latency_us = (latency.as_micros() as u64).clamp(1, MAX_LATENCY_US);
        let mut by_key = self.by_key.lock().unwrap_or_else(PoisonError::into_inner);
        let mut key = (customer.clone(), class);
        if by_key.len() >= MAX_HISTOGRAMS && !by_key.contains_key(&key) {
            key.0 = Name::from(OTHERS);
        }
        let histogram = by_key.entry(key).or_insert_with(new_histogram);
        histogram.saturating_record(latency_us);
    }

    /// Returns the histograms for the admin port, in the order of their names.
    pub(crate) fn statuses(&self) -> Vec<HistogramStatus> {
        let by_key = self.by_key.lock().unwrap_or_else(PoisonError::into_inner);
        let mut statuses: Vec<HistogramStatus> =
            by_key.iter().map(|((customer, class), h)| status(customer, *class, h)).collect();
        statuses.sort_by(|a, b| (&a.customer, &a.class).cmp(&(&b.customer, &b.class)));
        statuses
    }
}

fn new_histogram() -> Histogram<u32> {
    Histogram::new_with_max(MAX_LATENCY_US, DIGITS).expect("the bounds are valid constants")
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
