//! Measures processor time and heap.

use std::hint::black_box;

use cpu_time::ThreadTime;
use peak_alloc::PeakAlloc;

#[global_allocator]
static COUNTING_ALLOCATOR: PeakAlloc = PeakAlloc;

/// Number of batches; the result is their lower quartile.
const BATCHES: usize = 16;
/// Number of inputs prepared for each batch.
const INPUTS_PER_BATCH: usize = 16;
/// Number of batches for slow calls.
const SLOW_CALL_BATCHES: usize = 4;
/// Processor time above which a call is slow.
const SLOW_CALL_S: f64 = 0.05;
/// Minimum processor time of a batch.
const MIN_BATCH_S: f64 = 0.004;

/// Returns the processor time of one call in microseconds.
///
/// Other load on the machine only increases it, through caches and shared execution units of a
/// core, so the lower quartile of several batches is taken.
pub(crate) fn cpu_us<T>(mut call: impl FnMut() -> T) -> f64 {
    let mut calls = 1_u32;
    while measure_batch_s(calls, &mut call) < MIN_BATCH_S {
        calls *= 2;
    }
    let count = if calls == 1 && measure_batch_s(1, &mut call) > SLOW_CALL_S {
        SLOW_CALL_BATCHES
    } else {
        BATCHES
    };
    let mut batches: Vec<f64> = (0..count).map(|_| measure_batch_s(calls, &mut call)).collect();
    batches.sort_by(f64::total_cmp);
    batches[count / 4] * 1e6 / f64::from(calls)
}

/// Returns the processor time of `call` on one value from `prepare`, in
/// microseconds, excluding the time of `prepare`.
pub(crate) fn cpu_us_with_setup<P, T>(prepare: impl Fn() -> P, call: impl Fn(&mut P) -> T) -> f64 {
    let mut batches: Vec<f64> = (0..BATCHES)
        .map(|_| {
            let mut prepared: Vec<P> = (0..INPUTS_PER_BATCH).map(|_| prepare()).collect();
            let start = ThreadTime::now();
            for value in &mut prepared {
                black_box(call(value));
            }
            start.elapsed().as_secs_f64() * 1e6 / INPUTS_PER_BATCH as f64
        })
        .collect();
    batches.sort_by(f64::total_cmp);
    batches[BATCHES / 4]
}

fn measure_batch_s<T>(calls: u32, call: &mut impl FnMut() -> T) -> f64 {
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

/// Returns the result of `build` and the heap bytes that it retains.
pub(crate) fn measure_heap<T>(build: impl FnOnce() -> T) -> (T, f64) {
    let before = COUNTING_ALLOCATOR.current_usage();
    let built = build();
    let after = COUNTING_ALLOCATOR.current_usage();
    (built, after as f64 - before as f64)
}

/// Returns the peak of the heap bytes that `work` holds.
pub(crate) fn measure_peak_heap<T>(work: impl FnOnce() -> T) -> f64 {
    let before = COUNTING_ALLOCATOR.current_usage();
    COUNTING_ALLOCATOR.reset_peak_usage();
    drop(work());
    COUNTING_ALLOCATOR.peak_usage() as f64 - before as f64
}
