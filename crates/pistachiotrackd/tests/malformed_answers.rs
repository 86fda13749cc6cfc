//! Endpoints whose answers HTTP doesn't allow, or have no final status: health checks, and requests with
//! an idempotency key.

mod testenv;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use pistachiotrack_core::{header, service::DEFAULT_PROBE_PATH};
use testenv::{
    Deployment, client,
    endpoint::{Endpoint, read_request_line},
    fleet::bounded,
    malformed_answer::{STATUSES, malformed_lines},
};
use tokio::{io::AsyncWriteExt, task::JoinSet};

/// Time between two checks of an endpoint's state.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Deployments that run at the same time.
const DEPLOYMENTS: usize = 32;

fn answer_with(status: &str) -> String {
    format!("HTTP/1.1 {status} Status\r\ncontent-length: 5\r\n\r\nslots")
}

/// Starts an endpoint that fails lookups and sends `answer` to other requests, behind which it closes the
/// connection if `closes`. Returns it with the number of its requests of `counted_path`.
async fn start_endpoint(
    answer: &str,
    closes: bool,
    counted_path: &'static str,
) -> (Endpoint, Arc<AtomicUsize>) {
    let count = Arc::<AtomicUsize>::default();
    let (counted, sent) = (Arc::clone(&count), Arc::<str>::from(answer));
    let endpoint = Endpoint::serve(move |mut stream| {
        let (counted, sent) = (Arc::clone(&counted), Arc::clone(&sent));
        async move {
            while let Some(line) = read_request_line(&mut stream).await {
                let is_lookup = line.contains("/slots");
                counted.fetch_add(usize::from(line.contains(counted_path)), Ordering::SeqCst);
                let bytes = if is_lookup { answer_with("500") } else { sent.to_string() };
                let is_written = stream.write_all(bytes.as_bytes()).await.is_ok();
                if !is_written || closes && !is_lookup {
                    return;
                }
            }
        }
    })
    .await;
    (endpoint, count)
}

/// Sends lookups until the first endpoint, which fails them, is suspect, and waits until it is ejected
/// for its `answer` to health checks, behind which it closes the connection if `closes`.
async fn check_health_checks(answer: String, closes: bool) {
    let (faulty, health_checks) = start_endpoint(&answer, closes, DEFAULT_PROBE_PATH).await;
    let mut addresses = vec![faulty.address];
    for _ in 0..3 {
        addresses.push(Endpoint::answering("free slots").await.address);
    }
    let deployment = Deployment::start(&addresses, &[]).await;
    let mut is_suspect = false;
    loop {
        match &*deployment.endpoint_state("slot-search-0").await {
            "healthy" => {
                // Evidence that has just sufficed may decay before the first health check.
                is_suspect = false;
                client::send(deployment.address(), client::get("/slots")).await.unwrap();
            }
            "suspect" => {
                is_suspect = true;
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            "ejected" => break,
            state => panic!("{answer}: the endpoint is {state}"),
        }
    }
    assert!(is_suspect, "{answer}: ejected by lookups");
    assert!(health_checks.load(Ordering::SeqCst) > 0, "{answer}: no health check was sent");
}

/// Runs `check` with each answer, some at the same time.
async fn check_each<F>(answers: Vec<String>, check: impl Fn(String) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    for answers in answers.chunks(DEPLOYMENTS) {
        let checks: JoinSet<()> = answers.iter().map(|answer| check(answer.clone())).collect();
        bounded(checks.join_all()).await;
    }
}

fn without_final_status() -> Vec<String> {
    STATUSES.map(answer_with).to_vec()
}

fn malformed() -> Vec<String> {
    malformed_lines().iter().map(|answer| answer.bytes("", "slots")).collect()
}

/// Guards against an endpoint that counts as a sound one because it sends what is no answer to its
/// health checks.
#[tokio::test(flavor = "multi_thread")]
async fn a_health_check_whose_answer_has_no_final_status_fails() {
    check_each(without_final_status(), |answer| check_health_checks(answer, false)).await;
}

/// Guards against the same where the answer is malformed.
#[tokio::test(flavor = "multi_thread")]
async fn a_health_check_whose_answer_is_malformed_fails() {
    check_each(malformed(), |answer| check_health_checks(answer, true)).await;
}

fn keyed_booking() -> Request<Full<Bytes>> {
    let request = client::request(Method::POST, "/bookings", "");
    client::with_header(request, header::IDEMPOTENCY_KEY, "clerk-4-slot-7")
}

/// Sends a booking and its duplicate to an endpoint with this answer, and checks that neither gets one.
async fn check_duplicate(answer: String, closes: bool) {
    let (booking, runs) = start_endpoint(&answer, closes, "/bookings").await;
    let deployment = Deployment::start(&[], &[booking.address]).await;
    for _ in 0..2 {
        let refused = client::send(deployment.address(), keyed_booking()).await.unwrap();
        assert_eq!(client::header_text(&refused, header::OUTCOME), Some("unknown"), "{answer}");
    }
    assert_eq!(runs.load(Ordering::SeqCst), 1, "{answer}");
}

/// Guards against what is no answer and is stored for duplicates, and against a duplicate that runs.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_a_final_status_is_not_stored_for_duplicates() {
    check_each(without_final_status(), |answer| check_duplicate(answer, false)).await;
}

/// Guards against the same where the answer is malformed.
#[tokio::test(flavor = "multi_thread")]
async fn a_malformed_answer_is_not_stored_for_duplicates() {
    check_each(malformed(), |answer| check_duplicate(answer, true)).await;
}
