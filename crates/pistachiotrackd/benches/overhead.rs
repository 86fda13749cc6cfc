//! Measures the latency that a daemon adds on loopback: sends the same requests
//! directly to the endpoints and through the daemon, in alternating rounds.
//!
//! Run with `cargo bench -p pistachiotrackd`.

#[path = "../tests/testenv/mod.rs"]
mod testenv;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::{Method, Request};
use testenv::{Deployment, client, endpoint::Endpoint};
use tokio::runtime::Runtime;

/// Endpoints of each service.
const ENDPOINTS_PER_SERVICE: usize = 8;
/// Requests per caller in a round.
const REQUESTS_PER_CALLER: usize = 1_000;
/// Numbers of concurrent callers.
const CALLER_COUNTS: [usize; 3] = [1, 4, 8];
/// Pause of a caller between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_micros(500);
/// Size of a response body.
const RESPONSE_BYTES: usize = 1_024;

fn runtime(threads: usize) -> Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .unwrap()
}

fn main() {
    let endpoint_runtime = runtime(2);
    let daemon_runtime = runtime(daemon_threads());
    let caller_runtime = runtime(2);
    let endpoints: Vec<Endpoint> = endpoint_runtime.block_on(async {
        let mut endpoints = Vec::new();
        for _ in 0..2 * ENDPOINTS_PER_SERVICE {
            endpoints.push(Endpoint::answering(&[b'x'; RESPONSE_BYTES]).await);
        }
        endpoints
    });
    let addresses: Vec<SocketAddr> = endpoints.iter().map(|endpoint| endpoint.address).collect();
    let (search, booking) = addresses.split_at(ENDPOINTS_PER_SERVICE);
    let deployment = daemon_runtime.block_on(Deployment::start(search, booking));
    let entry = [deployment.address()];
    println!("path callers kind count p50_us p90_us p99_us p999_us max_us");
    for callers in CALLER_COUNTS {
        for (kind, request, targets) in
            [("lookup", lookup as fn() -> _, search), ("booking", booking_request, booking)]
        {
            for (path, targets) in [("direct", targets), ("daemon", &entry[..])] {
                let round = round(targets, callers, request);
                print(path, callers, kind, &caller_runtime.block_on(round));
            }
        }
    }
    let admin = deployment.daemon.admin_address();
    let added = caller_runtime.block_on(client::admin(admin, "/histograms/added"));
    println!("added, as the daemon counts it: {added}");
}

/// Returns the daemon's worker threads: the first number on the command line,
/// or the daemon's default.
fn daemon_threads() -> usize {
    let argument_threads = std::env::args().find_map(|argument| argument.parse().ok());
    argument_threads.unwrap_or(pistachiotrackd::settings::Limits::default().worker_threads)
}

fn lookup() -> Request<Full<Bytes>> {
    client::get("/slots?day=3")
}

fn booking_request() -> Request<Full<Bytes>> {
    client::request(Method::POST, "/bookings", "slot 7")
}

async fn round(
    targets: &[SocketAddr],
    callers: usize,
    request: fn() -> Request<Full<Bytes>>,
) -> Histogram<u64> {
    let tasks: Vec<_> = (0..callers)
        .map(|caller| tokio::spawn(call(targets[caller % targets.len()], request)))
        .collect();
    let mut all = Histogram::new(3).unwrap();
    for task in tasks {
        all.add(task.await.unwrap()).unwrap();
    }
    all
}

async fn call(target: SocketAddr, request: fn() -> Request<Full<Bytes>>) -> Histogram<u64> {
    let mut connection = client::Connection::open(target).await;
    let mut latencies = Histogram::new(3).unwrap();
    for _ in 0..REQUESTS_PER_CALLER {
        let start = Instant::now();
        let response = connection.send(request()).await.unwrap();
        latencies.record(start.elapsed().as_micros() as u64).unwrap();
        assert_eq!(response.body().len(), RESPONSE_BYTES, "{response:?}");
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    latencies
}

fn print(path: &str, callers: usize, kind: &str, latencies: &Histogram<u64>) {
    println!(
        "{path} {callers} {kind} {} {} {} {} {} {}",
        latencies.len(),
        latencies.value_at_quantile(0.5),
        latencies.value_at_quantile(0.9),
        latencies.value_at_quantile(0.99),
        latencies.value_at_quantile(0.999),
        latencies.max()
    );
}
