//! What is counted in one window of time.

use std::collections::{BTreeMap, BTreeSet};

use super::names::OTHER;

/// Cells that a row of refusals takes, by its size in memory compared with that of a count.
const CELLS_OF_REFUSALS: usize = 16;
/// Largest value of which percentiles are kept: a day in milliseconds.
const MAX_VALUE: u32 = 24 * 60 * 60 * 1_000;
/// Significant bits of a value of which percentiles are kept: the error is below 1/32. With one
/// more bit, an hour of 4 million lines on 97 VMs needs more than the 4 million cells.
const SIGNIFICANT_BITS: u32 = 6;

/// Rows, counts and values that may still be kept, over all windows.
#[derive(Debug)]
pub(super) struct Cells {
    left: usize,
    /// How often a new row, count or value could not be kept.
    pub(super) exhausted: u64,
}

impl Cells {
    /// Returns a budget of this many cells.
    pub(super) fn new(left: usize) -> Cells {
        Cells { left, exhausted: 0 }
    }

    /// Gives cells back.
    pub(super) fn release(&mut self, cells: usize) {
        self.left += cells;
    }

    fn take(&mut self, cells: usize, used: &mut usize) -> bool {
        let is_enough = self.left >= cells;
        if is_enough {
            self.left -= cells;
            *used += cells;
        } else {
            self.exhausted += 1;
        }
        is_enough
    }
}

/// Service of a refused request, as far as the line tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ServiceOf {
    /// The service itself.
    Service(u32),
    /// That of an endpoint to which the request was sent, which may become known later.
    Endpoint(u32),
    /// The line doesn't tell.
    Unknown,
}

/// Refusals of one reason.
#[derive(Debug, Default)]
pub(super) struct Refusals {
    pub(super) to_callers: u64,
    pub(super) to_vms: u64,
    pub(super) age_ms: Values,
    pub(super) retry_after_ms: Values,
    pub(super) vms: BTreeSet<u32>,
}

impl Refusals {
    /// Adds the refusals of another row.
    pub(super) fn merge(&mut self, other: &Refusals) {
        self.to_callers += other.to_callers;
        self.to_vms += other.to_vms;
        self.age_ms.merge(&other.age_ms);
        self.retry_after_ms.merge(&other.retry_after_ms);
        self.vms.extend(&other.vms);
    }
}

/// A refusal to count.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refusal {
    pub(super) service: ServiceOf,
    pub(super) reason: u32,
    pub(super) is_to_vm: bool,
    pub(super) vm: Option<u32>,
    pub(super) age_ms: u64,
    pub(super) retry_after_ms: Option<u64>,
}

/// A failed attempt to count.
#[derive(Clone, Copy, Debug)]
pub(super) struct Failure {
    pub(super) service: u32,
    pub(super) endpoint: u32,
    pub(super) outcome: u32,
    pub(super) choice: u32,
}

/// Counts of one window.
#[derive(Debug, Default)]
pub(super) struct Window {
    /// Failed attempts and refusals.
    pub(super) lines: u64,
    pub(super) lines_left_out: u64,
    /// Failed attempts by service, outcome and choice.
    pub(super) failures: BTreeMap<(u32, u32, u32), u64>,
    /// Failed attempts by service and endpoint.
    pub(super) by_endpoint: BTreeMap<(u32, u32), u64>,
    /// Refusals by service and reason.
    pub(super) refusals: BTreeMap<(ServiceOf, u32), Refusals>,
    /// Refusals to callers by the VM that decided them.
    pub(super) by_vm: BTreeMap<u32, u64>,
    /// Cells that this window took.
    pub(super) cells: usize,
}

impl Window {
    /// Counts a failed attempt.
    pub(super) fn on_failure(&mut self, failure: Failure, cells: &mut Cells) {
        let Failure { service, endpoint, outcome, choice } = failure;
        self.lines += 1;
        let used = &mut self.cells;
        let key = (service, outcome, choice);
        *row(&mut self.failures, key, (OTHER, OTHER, OTHER), cells.take_for(used, 1)) += 1;
        let key = (service, endpoint);
        *row(&mut self.by_endpoint, key, (OTHER, OTHER), cells.take_for(used, 1)) += 1;
    }

    /// Counts a refusal.
    pub(super) fn on_refusal(&mut self, refusal: &Refusal, cells: &mut Cells) {
        self.lines += 1;
        let used = &mut self.cells;
        let key = (refusal.service, refusal.reason);
        let other = (ServiceOf::Service(OTHER), OTHER);
        let take = cells.take_for(used, CELLS_OF_REFUSALS);
        let refusals = row(&mut self.refusals, key, other, take);
        if let Some(vm) = refusal.vm
            && !refusals.vms.contains(&vm)
            && cells.take(1, used)
        {
            refusals.vms.insert(vm);
        }
        if refusal.is_to_vm {
            refusals.to_vms += 1;
            return;
        }
        refusals.to_callers += 1;
        refusals.age_ms.record(refusal.age_ms, || cells.take(1, used));
        if let Some(retry_after_ms) = refusal.retry_after_ms {
            refusals.retry_after_ms.record(retry_after_ms, || cells.take(1, used));
        }
        if let Some(vm) = refusal.vm {
            *row(&mut self.by_vm, vm, OTHER, cells.take_for(used, 1)) += 1;
        }
    }
}

impl Cells {
    fn take_for<'a>(&'a mut self, used: &'a mut usize, cells: usize) -> impl FnOnce() -> bool + 'a {
        move || self.take(cells, used)
    }
}

/// Returns the row of a key, or that of `other` if the key has none and gets no cell.
fn row<K: Ord, V: Default>(
    rows: &mut BTreeMap<K, V>,
    key: K,
    other: K,
    take: impl FnOnce() -> bool,
) -> &mut V {
    let key = if rows.contains_key(&key) || take() { key } else { other };
    rows.entry(key).or_default()
}

/// Values of which percentiles are wanted, rounded down to [`SIGNIFICANT_BITS`].
///
/// Thousands of rows are kept and most have few values, so a histogram with all its buckets
/// would take several times the memory.
#[derive(Debug, Default)]
pub(super) struct Values {
    counts: BTreeMap<u32, u32>,
}

impl Values {
    fn record(&mut self, value: u64, take: impl FnOnce() -> bool) {
        let value = u32::try_from(value).unwrap_or(MAX_VALUE).min(MAX_VALUE);
        let shift = (u32::BITS - value.leading_zeros()).saturating_sub(SIGNIFICANT_BITS);
        let rounded = value >> shift << shift;
        if let Some(count) = self.counts.get_mut(&rounded) {
            *count = count.saturating_add(1);
        } else if take() {
            self.counts.insert(rounded, 1);
        }
    }

    fn merge(&mut self, other: &Values) {
        for (&value, &count) in &other.counts {
            let sum = self.counts.entry(value).or_default();
            *sum = sum.saturating_add(count);
        }
    }

    /// Returns the value that this percentage of the values doesn't exceed.
    pub(super) fn percentile(&self, percent: u64) -> Option<u32> {
        let total: u64 = self.counts.values().copied().map(u64::from).sum();
        let rank = (total * percent).div_ceil(100).max(1);
        let mut seen = 0;
        self.counts.iter().find_map(|(&value, &count)| {
            seen += u64::from(count);
            (seen >= rank).then_some(value)
        })
    }
}
