//! Attempts of requests that more than one VM works on.

mod testenv;

use std::{
    collections::{BTreeMap, BTreeSet},
    future,
    net::SocketAddr,
    time::{Duration, Instant},
};

use pistachiotrack_core::header;
use serde_json::{Value, json};
use testenv::{
    client,
    endpoint::{Endpoint, Received},
    fleet::{Fleet, bounded, dispatched_config, send_periodically, start_with_config, wait_until},
};

/// Number of endpoints that a request may be sent to.
const ATTEMPTS: usize = 2;

/// Starts endpoints that answer requests for a path with `slow` too late for any caller.
async fn start_endpoints<const N: usize>() -> [Endpoint; N] {
    let mut endpoints = Vec::new();
    for _ in 0..N {
        let handler = |request: Received| async move {
            if is_slow(&request) {
                future::pending::<()>().await;
            }
            hyper::Response::new("found".into())
        };
        endpoints.push(Endpoint::start(handler).await);
    }
    endpoints.try_into().unwrap_or_else(|_| panic!("{N} endpoints"))
}

fn is_slow(request: &Received) -> bool {
    request.uri().path().contains("slow")
}

/// Sets the number of endpoints to which lookups may be sent.
fn with_attempts(mut config: Value, attempts: usize) -> Value {
    config["rules"][0]["then"]["route"]["attempts"] = json!(attempts);
    config
}

/// Returns the requests for slow lookups that ran at more endpoints than they may, with the number
/// of these.
fn beyond_attempts(endpoints: &[Endpoint]) -> Vec<(String, usize)> {
    let mut ran_at: BTreeMap<String, BTreeSet<SocketAddr>> = BTreeMap::new();
    for endpoint in endpoints {
        // Health checks have no ID.
        for request in endpoint.received().into_iter().filter(is_slow) {
            let id = request.headers()[header::REQUEST_ID].to_str().unwrap().to_owned();
            ran_at.entry(id).or_default().insert(endpoint.address);
        }
    }
    assert!(!ran_at.is_empty());
    let counts = ran_at.into_iter().map(|(id, endpoints)| (id, endpoints.len()));
    counts.filter(|(_, count)| *count > ATTEMPTS).collect()
}

/// Guards against a request that runs at more endpoints than its route allows because the VM that
/// it is handed to gets a second copy of it.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_is_handed_over_keeps_to_the_attempts_of_its_route() {
    bounded(async {
        let endpoints = start_endpoints::<6>().await;
        let addresses = endpoints.each_ref().map(|endpoint| endpoint.address);
        let config = with_attempts(dispatched_config(&addresses), ATTEMPTS);
        let (_platform, vms) = start_with_config(3, config).await;
        vms[0].set_paths_blocked(&endpoints.each_ref(), true);
        let learns_until = Instant::now() + Duration::from_secs(3);
        send_periodically(&vms[..1], "/slots/7", learns_until).await;
        let until = Instant::now() + Duration::from_secs(1);
        send_periodically(&vms[..1], "/slots/slow", until).await;
        assert!(vms[0].counter("forwarded_again").await > 0);
        assert_eq!(beyond_attempts(&endpoints), []);
    })
    .await;
}

/// Guards against a request that runs at more endpoints than its route allows because its owner
/// crashes and the VM at which it entered serves it anew.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_owner_crashes_keeps_to_the_attempts_of_its_route() {
    bounded(async {
        let endpoints = start_endpoints::<6>().await;
        let addresses = endpoints.each_ref().map(|endpoint| endpoint.address);
        let config = with_attempts(testenv::config(1, &addresses, &[]), ATTEMPTS);
        let mut fleet = Fleet::start(3, config).await;
        let owner = fleet.owner("slot-search/0").await;
        let entry = (owner + 1) % 3;
        let lookup = client::with_header(client::get("/slots/slow"), header::DEADLINE_MS, "2500");
        let caller = tokio::spawn(client::send(fleet.vms[entry].caller, lookup));
        let arrivals = || endpoints.iter().map(|it| it.received().len()).sum::<usize>();
        wait_until(|| future::ready(arrivals() >= ATTEMPTS)).await;
        fleet.vms[owner].crash();
        caller.await.unwrap().unwrap();
        assert_eq!(beyond_attempts(&endpoints), []);
    })
    .await;
}
