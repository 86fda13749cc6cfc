//! Control calls, to other VMs and to the platform, whose answers stop before their end or are none.

mod testenv;

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use pistachiotrackd::http_call::{self, ResponseTimeouts};
use testenv::endpoint::{Endpoint, read_head};
use tokio::io::AsyncWriteExt;

const MAX_BYTES: usize = 1024;
const TIMEOUT: Duration = Duration::from_secs(10);
const TIMEOUTS: ResponseTimeouts =
    ResponseTimeouts { head: TIMEOUT, chunk: TIMEOUT, body: TIMEOUT };

fn request() -> Request<Full<Bytes>> {
    Request::get("/").header("host", "vm-02").body(Full::default()).unwrap()
}

/// Starts a server that sends the first `length` bytes of `answer` to each call and closes.
async fn start(answer: &str, length: usize) -> Endpoint {
    let answer = answer[..length].to_owned();
    Endpoint::serve(move |mut stream| {
        let answer = answer.clone();
        async move {
            read_head(&mut stream).await;
            stream.write_all(answer.as_bytes()).await.unwrap();
        }
    })
    .await
}

/// Returns whether each of the two kinds of call gets an answer.
async fn calls(address: SocketAddr) -> [bool; 2] {
    let call = http_call::call(address, request(), MAX_BYTES).await;
    let timed = http_call::call_with_timeouts(address, request(), MAX_BYTES, TIMEOUTS).await;
    [call.is_ok(), timed.is_ok()]
}

/// Guards against an answer that stops, of a VM that is killed while it writes, and counts as an empty
/// configuration or as an acknowledgement.
#[tokio::test]
async fn an_answer_that_stops_is_an_error() {
    let answers = [
        "HTTP/1.1 200 OK\r\ncontent-type: application/octet-stream\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nslots",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nslots\r\n0\r\n\r\n",
    ];
    for answer in answers {
        for length in 0..answer.len() {
            let server = start(answer, length).await;
            assert_eq!(calls(server.address).await, [false; 2], "{length} bytes of {answer:?}");
        }
        let server = start(answer, answer.len()).await;
        assert_eq!(calls(server.address).await, [true; 2], "{answer:?}");
    }
}

/// Guards against an answer that is none and counts as one of a VM or the platform.
#[tokio::test]
async fn an_answer_without_a_final_status_is_an_error() {
    let below = (0..200).map(|status| format!("{status:03}"));
    let above = (600..=999).map(|status| status.to_string());
    let others = ["2", "20", "2000", "0200", "2OO", "abc", "-20"].map(String::from);
    for status in below.chain(above).chain(others) {
        let answer = format!("HTTP/1.1 {status} Status\r\ncontent-length: 5\r\n\r\nslots");
        let server = start(&answer, answer.len()).await;
        assert_eq!(calls(server.address).await, [false; 2], "{status}");
    }
}

/// Guards against an interim answer that fails a call.
#[tokio::test]
async fn an_interim_answer_before_the_final_one_is_skipped() {
    for status in [100, 102, 103, 199] {
        let interim = format!("HTTP/1.1 {status} Interim\r\n\r\n");
        let answer = format!("{interim}{interim}HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nslots");
        let server = start(&answer, answer.len()).await;
        assert_eq!(calls(server.address).await, [true; 2], "{status}");
    }
}
