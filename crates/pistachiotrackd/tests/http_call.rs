//! Control calls, to other VMs and to the platform, whose answers stop before their end or are none.

mod testenv;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use pistachiotrackd::http_call::{self, CallError, ResponseTimeouts};
use testenv::{
    endpoint::{Endpoint, read_head},
    malformed_answer::{RefusedBy, malformed_chunks, malformed_heads},
};
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

/// Returns what has refused an answer, by the error of the call.
fn refused_by(error: &CallError) -> Option<RefusedBy> {
    match error {
        CallError::Http(error) if error.is_parse() => Some(RefusedBy::Parser),
        CallError::NoFinalStatus(_) => Some(RefusedBy::FinalStatus),
        CallError::Undecodable(_) => Some(RefusedBy::Framing),
        CallError::Body(_) => Some(RefusedBy::ChunkDecoder),
        _ => None,
    }
}

/// Guards against a malformed answer that counts as one of a VM or the platform, and against an HTTP client
/// that accepts what it refused before: the error tells what has refused the answer.
#[tokio::test]
async fn a_malformed_answer_is_an_error() {
    for answer in malformed_heads().into_iter().chain(malformed_chunks()) {
        let bytes = answer.bytes("x-office: 7\r\n", "slots");
        let server = start(&bytes, bytes.len()).await;
        let call = http_call::call(server.address, request(), MAX_BYTES).await;
        let timed =
            http_call::call_with_timeouts(server.address, request(), MAX_BYTES, TIMEOUTS).await;
        for result in [call, timed] {
            let error = result.expect_err(&answer.to_string());
            assert_eq!(refused_by(&error), Some(answer.refused_by), "{answer}: {error}");
        }
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

/// Time limit of a part of an answer without end.
const SHORT: Duration = Duration::from_millis(500);
/// Bytes that are taken of an answer without end, with those that buffers hold on the way.
const MAX_TAKEN_BYTES: u64 = 8 << 20;

/// Guards against a VM that keeps the bytes of a store or of another VM whose answer doesn't end, or
/// that reads them until its time limit.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_does_not_end_is_cut_after_a_bounded_number_of_bytes() {
    const OK: &str = "HTTP/1.1 200 OK\r\n";
    const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let long = "x".repeat(4_096);
    let chunk = format!("1000\r\n{long}\r\n");
    let forms = [
        ("interim answers", String::new(), "HTTP/1.1 103 Early Hints\r\n\r\n".to_owned()),
        ("a status line", "HTTP/1.1 200 ".to_owned(), long.clone()),
        ("a header", format!("{OK}x-more: "), long.clone()),
        ("headers", OK.to_owned(), "x-more: yes\r\n".to_owned()),
        ("other bytes", String::new(), long.clone()),
        ("a body with a length", format!("{OK}content-length: 99999999999\r\n\r\n"), long.clone()),
        ("a body without a length", format!("{OK}\r\n"), long.clone()),
        ("chunks", CHUNKED.to_owned(), chunk),
        ("a chunk size", CHUNKED.to_owned(), "0".repeat(4_096)),
        ("a chunk extension", format!("{CHUNKED}1;"), long.clone()),
        ("chunk extensions", CHUNKED.to_owned(), format!("1;{}\r\nx\r\n", "y".repeat(1_000))),
        ("a trailer", format!("{CHUNKED}0\r\nx-more: "), long.clone()),
        ("trailers", format!("{CHUNKED}0\r\n"), "x-more: yes\r\n".to_owned()),
    ];
    for (form, head, repeated) in forms {
        let written = Arc::new(AtomicU64::new(0));
        let count = Arc::clone(&written);
        let server = Endpoint::serve(move |mut stream| {
            let (head, repeated, count) = (head.clone(), repeated.repeat(8), Arc::clone(&count));
            async move {
                read_head(&mut stream).await;
                let mut bytes = head.as_bytes();
                while stream.write_all(bytes).await.is_ok() {
                    count.fetch_add(bytes.len() as u64, Ordering::SeqCst);
                    bytes = repeated.as_bytes();
                    tokio::task::yield_now().await;
                }
            }
        })
        .await;
        let begun = Instant::now();
        let calls = calls(server.address);
        let answered = tokio::time::timeout(TIMEOUT, calls).await.unwrap_or_else(|_| {
            panic!("{form}: open after {} bytes", written.load(Ordering::SeqCst));
        });
        assert_eq!(answered, [false; 2], "{form}");
        let written = written.load(Ordering::SeqCst);
        assert!(written < 2 * MAX_TAKEN_BYTES, "{form}: {written} bytes");
        assert!(begun.elapsed() < Duration::from_secs(2), "{form}: {:?}", begun.elapsed());
    }
}

/// Guards against a call that lasts for as long as a byte arrives each moment.
#[tokio::test]
async fn an_answer_that_drips_is_cut_at_the_limit_of_its_part() {
    let heads = ["", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n"];
    for head in heads {
        let server = Endpoint::serve(move |mut stream| async move {
            read_head(&mut stream).await;
            let mut bytes = head;
            while stream.write_all(bytes.as_bytes()).await.is_ok() {
                tokio::time::sleep(SHORT / 10).await;
                bytes = "H";
            }
        })
        .await;
        let timeouts = ResponseTimeouts { head: SHORT, chunk: SHORT, body: SHORT };
        let begun = Instant::now();
        let call = http_call::call_with_timeouts(server.address, request(), MAX_BYTES, timeouts);
        assert!(call.await.is_err(), "{head:?}");
        assert!(begun.elapsed() < 3 * SHORT, "{head:?}: {:?}", begun.elapsed());
    }
}
