//! Counts of a run's requests, checked against the recorded executions.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{
    caller::{RequestOutcome, Sample},
    execution_counter::ExecutionCounter,
};

/// Counts of a run's requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Requests sent.
    pub requests: u64,
    /// Complete and successful answers.
    pub ok: u64,
    /// Failures answered by endpoints.
    pub endpoint_failed: u64,
    /// Refusals that say the request was not run.
    pub refused_not_run: u64,
    /// Refusals that say the request may have run.
    pub unknown: u64,
    /// Requests for which no VM could be connected to.
    pub no_vm: u64,
    /// Requests with neither a complete answer nor a refusal, and successes that no endpoint
    /// ran.
    pub lost: u64,
    /// Non-idempotent requests that ran more than once.
    pub doubled: u64,
    /// Complete answers that belong to another request.
    pub wrong_answer: u64,
    /// Refusals that say the request was not run although it ran.
    pub false_not_run: u64,
    /// Refused and lost requests by reason.
    pub reasons: BTreeMap<String, u64>,
}

impl Counts {
    /// Counts the samples of one deployment.
    pub fn of(samples: &[Sample], execution_counter: &ExecutionCounter) -> Counts {
        let mut counts = Counts::default();
        for sample in samples {
            counts.add(sample, execution_counter.executions(sample.id));
        }
        counts
    }

    /// Adds the counts of another deployment.
    pub fn merge(&mut self, other: &Counts) {
        self.requests += other.requests;
        self.ok += other.ok;
        self.endpoint_failed += other.endpoint_failed;
        self.refused_not_run += other.refused_not_run;
        self.unknown += other.unknown;
        self.no_vm += other.no_vm;
        self.lost += other.lost;
        self.doubled += other.doubled;
        self.wrong_answer += other.wrong_answer;
        self.false_not_run += other.false_not_run;
        for (reason, count) in &other.reasons {
            *self.reasons.entry(reason.clone()).or_default() += count;
        }
    }

    /// Returns whether no request was lost, run twice, answered with another request's answer
    /// or wrongly reported as not run.
    pub fn is_clean(&self) -> bool {
        self.lost + self.doubled + self.wrong_answer + self.false_not_run == 0
    }

    /// Returns the share of requests that succeeded.
    pub fn goodput(&self) -> f64 {
        self.ok as f64 / self.requests.max(1) as f64
    }

    fn add(&mut self, sample: &Sample, executions: u32) {
        self.requests += 1;
        if sample.non_idempotent && executions > 1 {
            self.doubled += 1;
        }
        match sample.outcome {
            RequestOutcome::Ok if executions == 0 => self.lost += 1,
            RequestOutcome::Ok => self.ok += 1,
            RequestOutcome::Failed => self.endpoint_failed += 1,
            RequestOutcome::WrongAnswer => self.wrong_answer += 1,
            RequestOutcome::RefusedNotRun => self.refused_not_run += 1,
            RequestOutcome::Unknown => self.unknown += 1,
            RequestOutcome::NoVm => self.no_vm += 1,
            RequestOutcome::Lost => self.lost += 1,
        }
        if sample.outcome == RequestOutcome::RefusedNotRun && executions > 0 {
            self.false_not_run += 1;
        }
        if let Some(reason) = &sample.reason {
            *self.reasons.entry(reason.to_string()).or_default() += 1;
        }
    }
}

/// Percentiles of the latency added between the caller and the endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct AddedLatency {
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}

impl AddedLatency {
    /// Computes the percentiles of the caller's latency minus the endpoint's service time, over
    /// all successful requests.
    pub fn of<'a>(samples: impl IntoIterator<Item = &'a Sample>) -> AddedLatency {
        let mut added_us: Vec<u64> = samples
            .into_iter()
            .filter(|sample| sample.outcome == RequestOutcome::Ok)
            .filter_map(|sample| Some(sample.latency_us.saturating_sub(sample.service_us?)))
            .collect();
        added_us.sort_unstable();
        AddedLatency {
            p50_ms: percentile_ms(&added_us, 0.5),
            p99_ms: percentile_ms(&added_us, 0.99),
        }
    }
}

/// Returns the nearest-rank percentile of sorted microseconds, in milliseconds.
pub fn percentile_ms(sorted_us: &[u64], share: f64) -> f64 {
    let rank = (share * sorted_us.len() as f64).ceil() as usize;
    let value_us = sorted_us.get(rank.saturating_sub(1)).copied().unwrap_or(0);
    value_us as f64 / 1_000.0
}
