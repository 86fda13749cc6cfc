//! Measures processor time and heap.

use std::hint::black_box;

use cpu_time::ThreadTime;
use peak_alloc::PeakAlloc;

#[global_allocator]
static COUNTING_ALLOCATOR: PeakAlloc = PeakAlloc;

/// Batches of which the lower quartile is taken.
const BATCHES: usize = 16;
/// Values that a batch prepares.
const PREPARED: usize = 16;
/// As many for slow calls.
const FEW_BATCHES: usize = 4;
/// Processor time that makes a call slow.
const SLOW_S: f64 = 0.05;
/// Processor time that a batch takes at least.
const BATCH_S: f64 = 0.004;

/// Returns the processor time of one call in microseconds.
///
/// Other work on the machine only ever adds to it, by caches and by sharing a
/// core's units, so the lower quartile of several batches is taken.
pub(crate) fn cpu_us<T>(mut call: impl FnMut() -> T) -> f64 {
    let mut calls = 1_u32;
    while batch_s(calls, &mut call) < BATCH_S {
        calls *= 2;
    }
    let count = if calls == 1 && batch_s(1, &mut call) > SLOW_S { FEW_BATCHES } else { BATCHES };
    let mut batches: Vec<f64> = (0..count).map(|_| batch_s(calls, &mut call)).collect();
    batches.sort_by(f64::total_cmp);
    batches[count / 4] * 1e6 / f64::from(calls)
}

/// Returns the processor time of `call` on one of `prepare`'s values in
/// microseconds, without the time of `prepare`.
pub(crate) fn cpu_us_on<P, T>(prepare: impl Fn() -> P, call: impl Fn(&mut P) -> T) -> f64 {
    let mut batches: Vec<f64> = (0..BATCHES)
        .map(|_| {
            let mut prepared: Vec<P> = (0..PREPARED).map(|_| prepare()).collect();
            let start = ThreadTime::now();
            for value in &mut prepared {
                black_box(call(value));
            }
            start.elapsed().as_secs_f64() * 1e6 / PREPARED as f64
        })
        .collect();
    batches.sort_by(f64::total_cmp);
    batches[BATCHES / 4]
}

fn batch_s<T>(calls: u32, call: &mut impl FnMut() -> T) -> f64 {
    let start = ThreadTime::now();
    for _ in 0..calls {
        black_box(call());
    }
    start.elapsed().as_secs_f64()
}

/// Returns the median of the values, which must not be empty.
pub(crate) fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Returns what `build` makes and the heap bytes that it still holds.
pub(crate) fn heap<T>(build: impl FnOnce() -> T) -> (T, f64) {
    let before = COUNTING_ALLOCATOR.current_usage();
    let built = build();
    let after = COUNTING_ALLOCATOR.current_usage();
    (built, after as f64 - before as f64)
}

/// Returns the heap bytes that `work` holds at its worst moment.
pub(crate) fn peak_heap<T>(work: impl FnOnce() -> T) -> f64 {
    let before = COUNTING_ALLOCATOR.current_usage();
    COUNTING_ALLOCATOR.reset_peak_usage();
    drop(work());
    COUNTING_ALLOCATOR.peak_usage() as f64 - before as f64
}
