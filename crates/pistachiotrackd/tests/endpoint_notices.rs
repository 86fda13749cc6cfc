//! Endpoints that say in their answers that they leave, or for how long they want no requests.

mod testenv;

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, header::RETRY_AFTER};
use pistachiotrack_core::header;
use serde_json::{Value, json};
use testenv::{
    Deployment, SEARCH, client, config,
    endpoint::Endpoint,
    fleet::{Fleet, bounded, counter},
};

/// Requests after which each of two endpoints has been used several times.
const MANY: usize = 40;

fn leaving(body: &'static str) -> Response<Full<Bytes>> {
    Response::builder().header(header::LEAVING, "true").body(Full::from(body)).unwrap()
}

/// Guards against requests that are lost when the endpoint stops, as its answers were not read.
#[tokio::test]
async fn an_endpoint_whose_answer_says_that_it_leaves_gets_no_more_requests() {
    bounded(async {
        let leaver = Endpoint::start(|_| async { leaving("free") }).await;
        let other = Endpoint::answering("free").await;
        let vm = Deployment::start(&[leaver.address, other.address], &[]).await;
        for _ in 0..MANY {
            let answer = client::send(vm.address(), client::get("/slots")).await.unwrap();
            assert_eq!(answer.body(), "free");
        }
        assert_eq!(leaver.received().len(), 1);
    })
    .await;
}

/// Guards against a VM that learns nothing from the answers of an owner that it forwards to, and
/// sends to the leaving endpoint itself when it can't reach the owner.
#[tokio::test]
async fn a_vm_that_passes_on_a_forwarded_answer_sends_nothing_to_its_leaving_endpoint() {
    bounded(async {
        let leaver = Endpoint::start(|_| async { leaving("free") }).await;
        let mut fleet = Fleet::start(2, config(1, &[leaver.address], &[])).await;
        let owner = fleet.owner("slot-search/0").await;
        let other = fleet.vms[1 - owner].caller;
        let answer = client::send(other, client::get("/slots")).await.unwrap();
        assert_eq!(client::header_text(&answer, header::OWNER), Some(&*fleet.vms[owner].name));
        fleet.vms[owner].crash();
        let refused = client::send(other, client::get("/slots")).await.unwrap();
        assert!(client::header_text(&refused, header::OUTCOME).is_some());
        assert_eq!(leaver.received().len(), 1);
    })
    .await;
}

/// Guards against a VM whose shard stops and starts again, and then has forgotten the notice.
#[tokio::test]
async fn a_notice_outlives_the_shard_that_got_it() {
    bounded(async {
        let leaver = Endpoint::start(|_| async { leaving("free") }).await;
        let limits = json!({"careful_idle_ms": 100});
        let vm = Deployment::start_with_limits(&[leaver.address], &[], limits).await;
        let served = client::send(vm.address(), client::get("/slots")).await.unwrap();
        assert_eq!(served.body(), "free");
        vm.platform.publish_config(without_search(2));
        let admin = vm.daemon.admin_address();
        client::wait_for(admin, "/status", |status| status["config_version"] == 2).await;
        vm.platform.publish_config(config(3, &[leaver.address], &[]));
        client::wait_for(admin, "/status", |status| status["config_version"] == 3).await;
        let refused = client::send(vm.address(), client::get("/slots")).await.unwrap();
        assert_eq!(client::header_text(&refused, header::OUTCOME), Some("not-run"));
        assert_eq!(leaver.received().len(), 1);
        let status = client::admin(admin, "/status").await;
        assert_eq!(counter(&status, "held_back"), 0, "the new shard has the notice on record");
    })
    .await;
}

/// Guards against a relay that passes on an answer with a notice, and sends the endpoint the next
/// request that another VM asks it to relay.
#[tokio::test]
async fn a_relay_sends_nothing_to_an_endpoint_that_has_said_that_it_leaves() {
    bounded(async {
        let leaver = Endpoint::start(|_| async { leaving("free") }).await;
        let vm = Deployment::start(&[leaver.address], &[]).await;
        let relayed = json!({
            "endpoint": "slot-search-0", "address": leaver.address, "fresh": true, "any": true,
            "not_after_us": 1_000_000, "time_limit_us": 1_000_000,
        });
        let request =
            || client::with_header(client::get("/slots"), header::VIA, &relayed.to_string());
        let peer = vm.daemon.peer_address();
        assert_eq!(client::send(peer, request()).await.unwrap().body(), "free");
        let second = client::send(peer, request()).await.unwrap();
        let result = client::header_text(&second, header::VIA_END).unwrap();
        assert!(result.contains("closed"), "{result}");
        assert_eq!(leaver.received().len(), 1);
    })
    .await;
}

/// Returns a configuration without the service of the leaving endpoint.
fn without_search(version: u64) -> Value {
    let mut config = config(version, &[], &[]);
    let keep_booking = |list: &mut Value, field: &str| {
        list.as_array_mut().unwrap().retain(|item| !item[field].to_string().contains(SEARCH));
    };
    keep_booking(&mut config["services"], "name");
    keep_booking(&mut config["customers"][0]["contracts"], "service");
    keep_booking(&mut config["rules"], "then");
    config
}

/// Guards against an endpoint that gets requests from a VM in the time in which it asked that VM for
/// none, as it refuses at once and so always seems to be free.
#[tokio::test]
async fn an_endpoint_that_refuses_with_retry_after_gets_no_requests_before_its_end() {
    bounded(async {
        let refusing = Endpoint::start(|_| async { refusal("1.5") }).await;
        let other = Endpoint::answering("free").await;
        let vm = Deployment::start(&[refusing.address, other.address], &[]).await;
        let until = Instant::now() + Duration::from_secs(1);
        while Instant::now() < until {
            let answer = client::send(vm.address(), client::get("/slots")).await.unwrap();
            assert_eq!(answer.body(), "free");
        }
        assert_eq!(refusing.received().len(), 1);
    })
    .await;
}

fn refusal(retry_after: &'static str) -> Response<Full<Bytes>> {
    let refusal = Response::builder().status(503).header(header::NOT_RUN, "true");
    refusal.header(RETRY_AFTER, retry_after).body(Full::default()).unwrap()
}
