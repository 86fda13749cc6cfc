//! Control calls, to other VMs and to the platform, whose answers stop before their end.

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
async fn start(answer: &'static str, length: usize) -> Endpoint {
    Endpoint::serve(move |mut stream| async move {
        read_head(&mut stream).await;
        stream.write_all(&answer.as_bytes()[..length]).await.unwrap();
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
