//! Retries of a process that has just started.

mod testenv;

use hyper::StatusCode;
use pistachiotrackd::{daemon::Daemon, settings::Settings};
use serde_json::json;
use testenv::{
    client,
    endpoint::{Endpoint, Received},
    fleet::{bounded, dispatched_config},
    platform::Platform,
};

const LOOKUPS: usize = 5;

/// Returns how many retries a process sends of lookups that all endpoints answer with an error.
async fn retries_after_start(first_start: bool) -> usize {
    let failing = |_: Received| async {
        let response = hyper::Response::builder().status(StatusCode::INTERNAL_SERVER_ERROR);
        response.body("failed".into()).unwrap()
    };
    let endpoints = [Endpoint::start(failing).await, Endpoint::start(failing).await];
    let mut config = dispatched_config(&endpoints.each_ref().map(|endpoint| endpoint.address));
    config["services"][0]["retry_limit"] = json!({"ratio": 1.0, "slack": 8, "window_ms": 60_000});
    let platform = Platform::start().await;
    platform.publish_config(config);
    let settings = testenv::settings("vm-01", platform.address, json!({}));
    let daemon = Daemon::start(Settings { first_start, ..settings }).await.unwrap();
    client::wait_until_serving(daemon.admin_address()).await;
    for _ in 0..LOOKUPS {
        client::send(daemon.caller_address(), client::get("/slots/7")).await.unwrap();
    }
    let lookups = |endpoint: &Endpoint| {
        let received = endpoint.received().into_iter();
        received.filter(|request| request.uri().path() == "/slots/7").count()
    };
    endpoints.iter().map(lookups).sum::<usize>().saturating_sub(LOOKUPS)
}

/// Guards against a restarted process that uses what its requests earn, while retries of the process
/// before it still count.
#[tokio::test(flavor = "multi_thread")]
async fn only_the_first_process_of_a_fleet_sends_retries_at_once() {
    bounded(async {
        assert!(retries_after_start(true).await > 0);
        assert_eq!(retries_after_start(false).await, 0);
    })
    .await;
}
