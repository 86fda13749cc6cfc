//! Properties of the attempts of a request: limits hold over all VMs that work on it.

mod attempts_support;
mod shared_support;

use attempts_support::{Fleet, History};

const HISTORIES: u64 = 300;

/// VMs send requests on, send copies of them, crash and serve in place of others while endpoints
/// fail, refuse and stay silent. A request would run at more endpoints than its route allows.
#[test]
fn no_history_exceeds_the_attempts_of_a_request() {
    let mut exhausted = 0;
    for seed in 0..HISTORIES {
        let fleet = Fleet::run(History::new(seed, 1_000));
        for request in &fleet.requests {
            assert!(request.runs.len() <= request.max_attempts, "seed {seed}: {request:?}");
            exhausted += u32::from(request.runs.len() == request.max_attempts);
        }
    }
    assert!(exhausted > 0);
}

/// VMs send copies of requests to each other while endpoints fail. Arrivals of the copies would
/// count as requests, or not at all.
#[test]
fn no_history_has_more_repeated_arrivals_than_its_retry_limit() {
    const RETRIES: u32 = 30;
    let mut at_limit = 0;
    for seed in 0..HISTORIES {
        let fleet = Fleet::run(History::without_crashes(seed, RETRIES));
        let arrivals = fleet.requests.iter().map(|request| request.arrivals);
        let repeats: u32 = arrivals.map(|arrivals| arrivals.saturating_sub(1)).sum();
        assert!(repeats <= RETRIES, "seed {seed}: {repeats} repeats");
        at_limit += u32::from(repeats * 2 > RETRIES);
    }
    assert!(at_limit > 0);
}
