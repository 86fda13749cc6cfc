//! Requests whose bodies callers frame in unusual ways.

mod testenv;

use pistachiotrack_core::header;
use testenv::{CUSTOMER, Deployment, client, endpoint::Endpoint, fleet::bounded};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Length of a body that a VM doesn't keep in memory.
const LONG_BODY_BYTES: usize = 300_000;

fn head(method: &str, path: &str, framing: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: fleet\r\n{}: {CUSTOMER}\r\n{framing}\r\n",
        header::CUSTOMER
    )
}

fn chunks(body: &str) -> String {
    let chunk =
        |bytes: &[u8]| format!("{:x}\r\n{}\r\n", bytes.len(), String::from_utf8_lossy(bytes));
    let chunks: String = body.as_bytes().chunks(8_192).map(chunk).collect();
    format!("{chunks}0\r\n\r\n")
}

/// Sends bytes on a connection and returns what comes back until the VM closes it.
async fn send(deployment: &Deployment, bytes: &str) -> String {
    let mut stream = TcpStream::connect(deployment.address()).await.unwrap();
    stream.write_all(bytes.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    // A connection that is reset is closed, too.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against a body that is lost on its way: the HTTP client sends none with a GET unless its
/// length is known.
#[tokio::test]
async fn a_long_chunked_body_arrives_whatever_the_method() {
    bounded(async {
        let search = Endpoint::answering("free").await;
        let deployment = Deployment::start(&[search.address], &[]).await;
        let body = "office 7, ".repeat(LONG_BODY_BYTES / 10);
        for (count, method) in ["GET", "POST", "DELETE", "OPTIONS"].into_iter().enumerate() {
            let framing = "transfer-encoding: chunked\r\nconnection: close\r\n";
            let request = format!("{}{}", head(method, "/slots", framing), chunks(&body));
            let answer = send(&deployment, &request).await;
            assert!(answer.starts_with("HTTP/1.1 200 "), "{method}: {answer}");
            let received = search.received();
            assert_eq!(received.len(), count + 1, "{method}");
            assert_eq!(received[count].body().len(), body.len(), "{method}");
            assert!(!received[count].headers().contains_key("content-length"), "{method}");
        }
    })
    .await;
}

/// Guards against a body that reaches an endpoint in a coding that no header names any more.
#[tokio::test]
async fn a_request_in_another_transfer_coding_is_refused() {
    bounded(async {
        let search = Endpoint::answering("free").await;
        let deployment = Deployment::start(&[search.address], &[]).await;
        for codings in ["gzip, chunked", "chunked, chunked", "identity, chunked"] {
            let framing = format!("transfer-encoding: {codings}\r\nconnection: close\r\n");
            let request = format!("{}{}", head("POST", "/slots", &framing), chunks("office 7"));
            let answer = send(&deployment, &request).await;
            assert!(answer.starts_with("HTTP/1.1 400 "), "{codings}: {answer}");
        }
        assert!(search.received().is_empty());
    })
    .await;
}

/// Guards against a request that is hidden in the body of another one: its caller frames the body
/// twice, and an endpoint that counts the length would take the rest of the chunks for a request.
#[tokio::test]
async fn a_request_that_is_framed_twice_reaches_the_endpoint_as_one() {
    bounded(async {
        let search = Endpoint::answering("free").await;
        let deployment = Deployment::start(&[search.address], &[]).await;
        let hidden = head("GET", "/slots/hidden", "");
        let chunked = "transfer-encoding: chunked\r\n";
        for (count, length) in [0, 4, hidden.len(), hidden.len() + 50].into_iter().enumerate() {
            let length = format!("content-length: {length}\r\n");
            let framing = match count % 2 {
                0 => format!("{chunked}{length}"),
                _ => format!("{length}{chunked}"),
            };
            let request = format!("{}{}", head("POST", "/slots", &framing), chunks(&hidden));
            let answer = send(&deployment, &request).await;
            assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{framing}: {answer}");
            let received = search.received();
            assert_eq!(received.len(), count + 1, "{framing}: {received:?}");
            assert_eq!(received[count].body(), &hidden, "{framing}");
        }
        let next = client::send(deployment.address(), client::get("/slots/next")).await.unwrap();
        assert_eq!(next.body(), "free");
        assert_eq!(search.received().last().unwrap().uri().path(), "/slots/next");
    })
    .await;
}
