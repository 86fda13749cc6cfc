//! Endpoints that announce a limit in requests per second for all VMs together.

mod testenv;

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use http_body_util::Full;
use hyper::Response;
use pistachiotrack_core::header;
use testenv::{
    endpoint::Endpoint,
    fleet::{bounded, send_periodically, start_dispatchers},
};

/// Requests per second that the endpoint accepts from all VMs together.
const LIMIT_PER_SECOND: f64 = 2.0;
/// Time after the first request within which all VMs have to observe the limit.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Time over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// How far a window may exceed what the limit allows: a factor and a number of requests.
const TOLERANCE: (f64, f64) = (1.5, 5.0);

/// Moments at which requests arrived.
type Arrivals = Arc<Mutex<Vec<Instant>>>;

/// Starts an endpoint that announces a limit, if it has one.
async fn start_endpoint(arrivals: Arrivals, limit: Option<&'static str>) -> Endpoint {
    Endpoint::start(move |_| {
        arrivals.lock().unwrap().push(Instant::now());
        async move {
            tokio::time::sleep(Duration::from_millis(20)).await;
            let response = Response::builder();
            let named = limit
                .into_iter()
                .fold(response, |response, limit| response.header(header::RATE_LIMIT, limit));
            named.body(Full::from("free")).unwrap()
        }
    })
    .await
}

/// Returns the highest number of requests in one window that begins after `from`.
fn busiest_window(arrivals: &[Instant], from: Instant) -> usize {
    let later: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= from).collect();
    let in_window =
        |start: Instant| later.iter().filter(|at| **at >= start && **at < start + WINDOW).count();
    later.iter().map(|start| in_window(*start)).max().unwrap_or_default()
}

#[tokio::test]
async fn an_announced_rate_limit_holds_for_all_vms_together() {
    bounded(async {
        let (limited, open) = (Arrivals::default(), Arrivals::default());
        let endpoints = [
            start_endpoint(Arc::clone(&limited), Some("2.0")).await,
            start_endpoint(Arc::clone(&open), None).await,
            start_endpoint(Arc::clone(&open), None).await,
        ];
        let addresses = endpoints.each_ref().map(|endpoint| endpoint.address);
        let (_platform, vms) = start_dispatchers(3, &addresses).await;
        let until = Instant::now() + PROPAGATION_TIME + WINDOW * 2;
        let answers = send_periodically(&vms, "/slots/free", until).await;
        let limited = limited.lock().unwrap().clone();
        let highest_count = busiest_window(&limited, limited[0] + PROPAGATION_TIME);
        let allowed = LIMIT_PER_SECOND * WINDOW.as_secs_f64() * TOLERANCE.0 + TOLERANCE.1;
        assert!(
            highest_count as f64 <= allowed,
            "{highest_count} requests in {WINDOW:?}, {allowed} allowed"
        );
        let unserved = answers.iter().filter(|(_, status)| *status != 200).count();
        assert_eq!(unserved, 0, "the other endpoints have capacity");
    })
    .await;
}
