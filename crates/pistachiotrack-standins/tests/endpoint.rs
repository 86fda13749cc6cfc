//! Tests that the endpoint stand-in exhibits each injected fault and that the caller stand-in
//! reports the outcome.

use std::{sync::Arc, time::Instant};

use pistachiotrack_core::request::Class;
use pistachiotrack_standins::{
    caller::{Caller, Operation, RequestOutcome},
    endpoint::{Endpoint, EndpointSettings},
    execution_counter::ExecutionCounter,
    fault::{COLD_START_FACTOR, Faults},
    work::{BODY_BYTES, WorkId, answer_body, is_answer_to},
};

const OPERATION: Operation = Operation {
    customer: "timeliten",
    api_key: None,
    service: "slot-search",
    method: "POST",
    path: "/bookings",
    class: Class::Interactive,
    non_idempotent: true,
    deadline_ms: 20_000,
    rate_per_s: 1.0,
};

async fn endpoint(settings: EndpointSettings) -> (Endpoint, Arc<ExecutionCounter>, Caller) {
    let execution_counter = Arc::new(ExecutionCounter::default());
    let endpoint =
        Endpoint::start(settings, Arc::clone(&execution_counter)).await.expect("endpoint");
    let caller = Caller::direct(vec![endpoint.address()]);
    (endpoint, execution_counter, caller)
}

fn fast_settings() -> EndpointSettings {
    EndpointSettings { median_ms: 1.0, probe_ms: 1, ..EndpointSettings::default() }
}

#[tokio::test]
async fn each_request_runs_once_and_receives_its_own_answer() {
    let (endpoint, execution_counter, caller) = endpoint(fast_settings()).await;
    for id in (0..20).map(WorkId) {
        let sample = caller.send(&OPERATION, id).await;
        assert_eq!(sample.outcome, RequestOutcome::Ok);
        assert!(sample.service_us.is_some_and(|spent| spent <= sample.latency_us));
        assert_eq!(execution_counter.executions(id), 1);
    }
    assert_eq!(endpoint.counts().arrivals, 20);
}

#[test]
fn a_truncated_or_mismatched_body_is_not_the_answer() {
    let body = answer_body(WorkId(7));
    assert_eq!(body.len(), BODY_BYTES);
    assert!(is_answer_to(WorkId(7), &body));
    assert!(!is_answer_to(WorkId(8), &body));
    assert!(!is_answer_to(WorkId(7), &body[..BODY_BYTES - 1]));
}

/// Gray failure: requests to the endpoint fail while its health check passes.
#[tokio::test]
async fn gray_failure_affects_requests_but_not_health_checks() {
    let (endpoint, execution_counter, caller) = endpoint(fast_settings()).await;
    endpoint.set_faults(Faults::gray());
    assert_eq!(caller.send(&OPERATION, WorkId(1)).await.outcome, RequestOutcome::Failed);
    assert_eq!(execution_counter.executions(WorkId(1)), 1, "a failed run is a run");
    let probe = Operation { path: "/healthz", ..OPERATION };
    caller.send(&probe, WorkId(2)).await;
    assert_eq!(endpoint.counts().probes, 1);
    assert_eq!(endpoint.counts().shed, 0);
}

/// An endpoint receives more requests than its slots and queue hold: the rest is refused and
/// was not run.
#[tokio::test]
async fn requests_beyond_the_queue_are_shed_without_running() {
    let settings = EndpointSettings { slots: 1, queue_limit: 1, ..EndpointSettings::default() };
    let (endpoint, execution_counter, caller) = endpoint(settings).await;
    endpoint.set_faults(Faults { slow_factor: 10.0, ..Faults::default() });
    let sends = (0..5).map(|id| caller.send(&OPERATION, WorkId(id)));
    let samples = futures_util::future::join_all(sends).await;
    let run = samples.iter().filter(|sample| sample.outcome == RequestOutcome::Ok).count();
    assert_eq!(run, 2);
    assert_eq!(endpoint.counts().shed, 3);
    assert_eq!(endpoint.counts().peak, 2);
    for sample in samples {
        let executions = u32::from(sample.outcome == RequestOutcome::Ok);
        assert_eq!(execution_counter.executions(sample.id), executions);
    }
}

/// A caller abandons a request that hangs: its connection is closed and the slot is free for
/// the next request.
#[tokio::test]
async fn a_closed_connection_frees_the_slot() {
    let (endpoint, _, caller) =
        endpoint(EndpointSettings { slots: 1, queue_limit: 8, ..fast_settings() }).await;
    endpoint.set_faults(Faults::hang());
    let given_up = tokio::spawn({
        let caller = caller.clone();
        async move { caller.send(&OPERATION, WorkId(1)).await }
    });
    while endpoint.counts().arrivals == 0 {
        tokio::task::yield_now().await;
    }
    given_up.abort();
    while endpoint.counts().cancelled == 0 {
        tokio::task::yield_now().await;
    }
    endpoint.set_faults(Faults::default());
    assert_eq!(caller.send(&OPERATION, WorkId(2)).await.outcome, RequestOutcome::Ok);
}

/// A middlebox has lost the state of the open connections: requests on them are neither run
/// nor answered, and requests on new connections succeed.
#[tokio::test]
async fn old_connections_are_silent_and_new_ones_work() {
    let (endpoint, execution_counter, caller) = endpoint(fast_settings()).await;
    assert_eq!(caller.send(&OPERATION, WorkId(1)).await.outcome, RequestOutcome::Ok);
    endpoint.set_faults(Faults::silent_connections(Instant::now()));
    let short = Operation { deadline_ms: 10, ..OPERATION };
    assert_eq!(caller.send(&short, WorkId(2)).await.outcome, RequestOutcome::Lost);
    assert_eq!(execution_counter.executions(WorkId(2)), 0);
    let other = Caller::direct(vec![endpoint.address()]);
    assert_eq!(other.send(&OPERATION, WorkId(3)).await.outcome, RequestOutcome::Ok);
}

#[tokio::test]
async fn requests_stop_at_the_deadline() {
    let (endpoint, _, caller) = endpoint(fast_settings()).await;
    endpoint.set_faults(Faults { slow_factor: 1e6, ..Faults::default() });
    let short = Operation { deadline_ms: 20, ..OPERATION };
    assert_eq!(caller.send(&short, WorkId(1)).await.outcome, RequestOutcome::Failed);
}

#[test]
fn faults_flap_and_a_cold_start_ends() {
    let now = Instant::now();
    let after = |ms| now + std::time::Duration::from_millis(ms);
    let flapping = Faults::gray().flapping(now, 100);
    assert_eq!(flapping.active_at(after(50)).failing_share, 1.0);
    assert_eq!(flapping.active_at(after(150)), Faults::default());
    assert_eq!(flapping.active_at(after(250)).failing_share, 1.0);
    let cold = Faults::cold_start(now);
    assert_eq!(cold.latency_factor(now), COLD_START_FACTOR);
    assert!(cold.latency_factor(after(1_000)) < COLD_START_FACTOR);
    assert_eq!(cold.latency_factor(after(60_000)), 1.0);
}
