//! Open-loop load: sends requests at a given rate, regardless of their outcomes.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::task::JoinSet;

use crate::{
    caller::{Caller, Operation, Sample},
    work::WorkId,
};

/// Generates work ids that are unique in a run.
#[derive(Clone, Debug, Default)]
pub struct WorkIds(Arc<AtomicU64>);

impl WorkIds {
    /// Returns a new unique id.
    pub fn next(&self) -> WorkId {
        WorkId(self.0.fetch_add(1, Ordering::Relaxed))
    }
}

/// Settings of the load.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Time for which new requests are sent.
    pub duration: Duration,
    /// Source of work ids.
    pub ids: WorkIds,
    /// Seed of the times between requests.
    pub seed: u64,
}

/// Sends each operation at its rate and returns the samples.
///
/// Requests are sent without waiting for earlier answers, by the callers in turn.
pub async fn generate_load(
    callers: &[Caller],
    operations: &[Operation],
    settings: LoadSettings,
) -> Vec<Sample> {
    let mut senders = JoinSet::new();
    for (index, operation) in operations.iter().enumerate() {
        let settings = LoadSettings { seed: settings.seed + index as u64, ..settings.clone() };
        senders.spawn(send_at_rate(callers.to_vec(), operation.clone(), settings));
    }
    senders.join_all().await.into_iter().flatten().collect()
}

async fn send_at_rate(
    callers: Vec<Caller>,
    operation: Operation,
    settings: LoadSettings,
) -> Vec<Sample> {
    let mut random = Pcg64Mcg::seed_from_u64(settings.seed);
    let end = Instant::now() + settings.duration;
    let mut next = Instant::now();
    let mut requests = JoinSet::new();
    let operation = Arc::new(operation);
    loop {
        next += next_interval(&mut random, operation.rate_per_s);
        if next >= end {
            break;
        }
        tokio::time::sleep_until(next.into()).await;
        let id = settings.ids.next();
        let caller = callers[id.0 as usize % callers.len()].clone();
        let operation = Arc::clone(&operation);
        requests.spawn(async move { caller.send(&operation, id).await });
    }
    requests.join_all().await
}

/// Returns the time to the next request of a Poisson process.
fn next_interval(random: &mut Pcg64Mcg, rate_per_s: f64) -> Duration {
    let uniform: f64 = random.random();
    let interval_s = -(1.0 - uniform).ln() / rate_per_s;
    Duration::try_from_secs_f64(interval_s).unwrap_or(MAX_INTERVAL).min(MAX_INTERVAL)
}

/// Longest time between two requests, so that a rate of zero gives a finite time.
const MAX_INTERVAL: Duration = Duration::from_secs(3_600);
