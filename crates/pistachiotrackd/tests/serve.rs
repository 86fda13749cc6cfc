//! Requests from a caller through a daemon to an endpoint.

mod testenv;

use hyper::Method;
use pistachiotrack_core::{header, steering::UNSTABLE_LIFETIME_DIVISOR};
use testenv::{Deployment, ENTRY_LIFETIME_MS, client, endpoint::Endpoint};

#[tokio::test]
async fn responses_come_from_an_endpoint_of_the_matching_rule() {
    let search = Endpoint::answering("free slots").await;
    let booking = Endpoint::answering("booked").await;
    let deployment = Deployment::start(&[search.address], &[booking.address]).await;

    let found = client::send(deployment.address(), client::get("/slots?day=3")).await.unwrap();
    assert_eq!(found.status(), 200);
    assert_eq!(found.body(), "free slots");
    assert_eq!(client::header_text(&found, header::ENDPOINT), Some("slot-search-0"));
    assert_eq!(client::header_text(&found, header::OWNER), Some("vm-01"));
    assert_eq!(client::header_text(&found, header::OUTCOME), None);

    let request = client::request(Method::POST, "/bookings", "slot 7");
    let booked = client::send(deployment.address(), request).await.unwrap();
    assert_eq!(booked.body(), "booked");

    let searches = search.received();
    assert_eq!(searches.len(), 1);
    assert_eq!(searches[0].uri(), "/slots?day=3");
    assert!(searches[0].headers().contains_key(header::REQUEST_ID));
    assert!(searches[0].headers().contains_key(header::DEADLINE_MS));
    let bookings = booking.received();
    assert_eq!(bookings.len(), 1);
    assert_eq!(bookings[0].body(), "slot 7");
}

#[tokio::test]
async fn entries_contain_the_owner() {
    let search = Endpoint::answering("").await;
    let deployment = Deployment::start(&[search.address], &[]).await;
    let path = format!("{}?service=slot-search", header::ENTRIES_PATH);
    let answer = client::admin(deployment.address(), &path).await;
    assert_eq!(answer["entries"][0]["address"], deployment.address().to_string());
    // A daemon that has just started is not a stable owner yet, which shortens the lifetime.
    let lifetimes_ms = [ENTRY_LIFETIME_MS / UNSTABLE_LIFETIME_DIVISOR, ENTRY_LIFETIME_MS];
    assert!(lifetimes_ms.contains(&answer["lifetime_ms"].as_u64().unwrap()));
}

#[tokio::test]
async fn a_rule_refuses_without_running() {
    let search = Endpoint::answering("").await;
    let deployment = Deployment::start(&[search.address], &[]).await;
    let refused = client::send(deployment.address(), client::get("/closed")).await.unwrap();
    assert_eq!(refused.status(), 403);
    assert_eq!(client::header_text(&refused, header::OUTCOME), Some("not-run"));
    assert_eq!(client::header_text(&refused, header::REASON), Some("rule"));
    assert_eq!(client::header_text(&refused, header::RETRY_AFTER_MS), Some("250"));
    assert!(search.received().is_empty());
}

/// A query with a mistyped service must get an error, not the addresses of VMs
/// that don't serve it.
#[tokio::test]
async fn an_unknown_service_has_no_entries() {
    let search = Endpoint::answering("").await;
    let deployment = Deployment::start(&[search.address], &[]).await;
    for (query, named) in [("?service=slot%20search", "slot search"), ("", "missing")] {
        let path = format!("{}{query}", header::ENTRIES_PATH);
        let answer = client::send(deployment.address(), client::get(&path)).await.unwrap();
        assert_eq!(answer.status(), 404);
        let body: serde_json::Value = serde_json::from_slice(answer.body()).unwrap();
        assert!(body["error"].as_str().unwrap().contains(named), "{body}");
    }
    let escaped = format!("{}?x=1&service=slot%2Dsearch", header::ENTRIES_PATH);
    let answer = client::admin(deployment.address(), &escaped).await;
    assert_eq!(answer["entries"][0]["address"], deployment.address().to_string());
}
