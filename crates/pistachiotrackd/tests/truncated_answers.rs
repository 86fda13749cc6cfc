//! Truncated answers, and requests that may have run.

mod testenv;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use hyper::Method;
use pistachiotrack_core::header;
use serde_json::json;
use testenv::{
    CUSTOMER, Deployment, client,
    endpoint::{Endpoint, read_head, read_to_end},
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpSocket, TcpStream},
};

async fn write(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).await.unwrap();
}

/// Guards against a truncated answer that the caller takes for a complete one. The endpoint
/// crashes after the first part of an answer and its system closes the connection; the fleet
/// must not end the answer to the caller normally.
#[tokio::test]
async fn a_truncated_body_is_an_error_for_the_caller() {
    let heads = [
        "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf a roster",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\n\r\nhalf a roster",
    ];
    for head in heads {
        let search = Endpoint::serve(move |mut stream| async move {
            read_head(&mut stream).await;
            write(&mut stream, head).await;
        })
        .await;
        let deployment = Deployment::start(&[search.address], &[]).await;
        let mut connection = client::Connection::open(deployment.address()).await;
        let answer = connection.begin(client::get("/slots")).await.unwrap();
        assert_eq!(answer.status(), 200);
        client::whole(answer).await.unwrap_err();
        connection.send(client::get("/slots")).await.unwrap_err();
    }
}

/// Guards against a caller that waits for ever for the rest of an answer. The endpoint hangs
/// after the first part, and its connection stays open.
#[tokio::test]
async fn a_stalled_body_is_an_error_for_the_caller() {
    let search = Endpoint::serve(|mut stream| async move {
        read_head(&mut stream).await;
        write(&mut stream, "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf").await;
        read_to_end(&mut stream).await;
    })
    .await;
    let limits = json!({"body_idle_ms": 50});
    let deployment = Deployment::start_with_limits(&[search.address], &[], limits).await;
    client::send(deployment.address(), client::get("/slots")).await.unwrap_err();
    search.wait_closed(1).await;
}

/// Guards against an answer that is cut while its endpoint is at work: it pauses for longer than the
/// idle limit between two parts, within the deadline.
#[tokio::test]
async fn an_answer_with_a_long_pause_is_complete() {
    let search = Endpoint::serve(|mut stream| async move {
        read_head(&mut stream).await;
        write(&mut stream, "HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nhalf").await;
        tokio::time::sleep(std::time::Duration::from_millis(300)).await;
        write(&mut stream, "half").await;
        read_to_end(&mut stream).await;
    })
    .await;
    let limits = json!({"body_idle_ms": 50});
    let deployment = Deployment::start_with_limits(&[search.address], &[], limits).await;
    let answer = client::send(deployment.address(), client::get("/slots")).await.unwrap();
    assert_eq!(answer.body(), "halfhalf");
}

/// Guards against a truncated answer that the caller takes for a complete one. The endpoint
/// hangs in the middle of an answer without a length; the fleet times out and must not end
/// the answer normally, because no length shows the caller that a part is missing.
#[tokio::test]
async fn a_stalled_body_without_length_is_an_error_for_the_caller() {
    let search = Endpoint::serve(|mut stream| async move {
        read_head(&mut stream).await;
        let half = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n";
        write(&mut stream, half).await;
        read_to_end(&mut stream).await;
    })
    .await;
    let limits = json!({"body_idle_ms": 50});
    let deployment = Deployment::start_with_limits(&[search.address], &[], limits).await;
    client::send(deployment.address(), client::get("/slots")).await.unwrap_err();
    search.wait_closed(1).await;
}

/// Guards against a booking that runs twice. The endpoint receives it and closes the
/// connection without an answer; the booking may have run and must not be sent again.
#[tokio::test]
async fn a_booking_without_an_answer_is_sent_once_and_reported_as_unknown() {
    let heads = Arc::new(AtomicU32::new(0));
    let count = Arc::clone(&heads);
    let booking = Endpoint::serve(move |mut stream| {
        let count = Arc::clone(&count);
        async move {
            if read_head(&mut stream).await {
                count.fetch_add(1, Ordering::SeqCst);
            }
        }
    })
    .await;
    let deployment = Deployment::start(&[], &[booking.address]).await;
    let request = client::request(Method::POST, "/bookings", "");
    let refused = client::send(deployment.address(), request).await.unwrap();
    assert_eq!(client::header_text(&refused, header::OUTCOME), Some("unknown"));
    // The second connection is the check whether the endpoint still accepts any.
    booking.wait_closed(2).await;
    assert_eq!((heads.load(Ordering::SeqCst), booking.connections()), (1, 2));
}

/// Guards against a booking that is reported as possibly run, so that the caller can't send
/// it again. The endpoint's port is closed, so no byte can have been sent.
#[tokio::test]
async fn a_booking_that_could_not_be_sent_is_reported_as_not_run() {
    let deployment = Deployment::start(&[], &[]).await;
    let request = client::request(Method::POST, "/bookings", "slot 7");
    let refused = client::send(deployment.address(), request).await.unwrap();
    assert_eq!(client::header_text(&refused, header::OUTCOME), Some("not-run"));
}

/// Guards against an endpoint that keeps working, and keeps its slot, for a caller that has
/// disconnected. The caller closes its connection before the answer begins.
#[tokio::test]
async fn a_caller_that_disconnects_cancels_its_request() {
    let search = Endpoint::serve(|mut stream| async move {
        read_head(&mut stream).await;
        read_to_end(&mut stream).await;
    })
    .await;
    let deployment = Deployment::start(&[search.address], &[]).await;
    let address = deployment.address();
    let caller = tokio::spawn(client::send(address, client::get("/slots")));
    let admin = deployment.daemon.admin_address();
    let in_flight = |count: u32| {
        move |endpoints: &serde_json::Value| {
            let endpoints = endpoints.as_array().unwrap();
            endpoints.iter().any(|e| e["endpoint"] == "slot-search-0" && e["in_flight"] == count)
        }
    };
    client::wait_for(admin, "/endpoints", in_flight(1)).await;
    caller.abort();
    search.wait_closed(1).await;
    client::wait_for(admin, "/endpoints", in_flight(0)).await;
}

/// Guards against an endpoint that goes on working for a caller that has left with further requests
/// behind the first one, whose bytes wait on the connection.
#[tokio::test]
async fn a_caller_that_disconnects_with_requests_waiting_cancels_its_request() {
    let search = Endpoint::serve(|mut stream| async move {
        read_head(&mut stream).await;
        read_to_end(&mut stream).await;
    })
    .await;
    let deployment = Deployment::start(&[search.address], &[]).await;
    let lookup =
        format!("GET /slots HTTP/1.1\r\nhost: fleet\r\n{}: {CUSTOMER}\r\n\r\n", header::CUSTOMER);
    let mut caller = TcpStream::connect(deployment.address()).await.unwrap();
    for _ in 0..3 {
        write(&mut caller, &lookup).await;
    }
    let admin = deployment.daemon.admin_address();
    client::wait_for(admin, "/endpoints", |endpoints| {
        endpoints.as_array().unwrap().iter().any(|endpoint| endpoint["in_flight"] == 1)
    })
    .await;
    drop(caller);
    let closed = tokio::time::timeout(Duration::from_millis(500), search.wait_closed(1)).await;
    closed.expect("the endpoint still works half a second later");
    assert_eq!(search.connections(), 1);
}

/// Guards against a booking that reaches its endpoint when too little time is left to answer
/// it. The endpoint's accept queue is full; the connection opens at the second SYN of the VM's
/// system, after the latest moment at which the booking may be sent.
#[tokio::test]
async fn a_booking_whose_connection_opens_too_late_is_not_sent() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let limits = json!({"connect_timeout_ms": 5_000});
    let deployment = Deployment::start_with_limits(&[], &[address], limits).await;
    let booking_request = || client::request(Method::POST, "/bookings", "");
    let booked = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    for _ in 0..3 {
        let caller = tokio::spawn(client::send(deployment.address(), booking_request()));
        let (mut stream, _) = listener.accept().await.unwrap();
        read_head(&mut stream).await;
        // A booking is only sent with at least the usual answer time left.
        tokio::time::sleep(Duration::from_millis(600)).await;
        write(&mut stream, booked).await;
        caller.await.unwrap().unwrap();
    }
    let mut fillers = Vec::new();
    let connect_timeout = Duration::from_millis(200);
    while let Ok(filler) = tokio::time::timeout(connect_timeout, TcpStream::connect(address)).await
    {
        fillers.push(filler.unwrap());
    }
    let late = client::with_header(booking_request(), header::DEADLINE_MS, "1600");
    let caller = tokio::spawn(client::send(deployment.address(), late));
    let admin = deployment.daemon.admin_address();
    client::wait_for(admin, "/endpoints", |endpoints| {
        let endpoints = endpoints.as_array().unwrap();
        endpoints.iter().any(|e| e["endpoint"] == "booking-0" && e["in_flight"] == 1)
    })
    .await;
    drop(fillers);
    let received = tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            if read_head(&mut stream).await {
                return;
            }
        }
    });
    let refused = caller.await.unwrap().unwrap();
    assert_eq!(client::header_text(&refused, header::OUTCOME), Some("not-run"));
    assert!(!received.is_finished());
}
