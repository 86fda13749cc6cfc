//! Fakes of endpoints that crash under one request, and take no connections for a while.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::JoinSet,
};

use super::endpoint::read_request_line;

/// Request under which endpoints crash.
pub(crate) const CRASHING: &str = "/slots/crash";
/// Time for which an endpoint works on a request, or until it crashes.
pub(crate) const WORK: Duration = Duration::from_millis(20);
/// Time until a crashed endpoint takes connections again.
const DOWN: Duration = Duration::from_millis(700);

/// Moments at which endpoints began to run the request under which they crash.
pub(crate) type Runs = Arc<Mutex<Vec<Instant>>>;

/// Starts endpoints that crash under [`CRASHING`] and answer all else.
pub(crate) async fn start_endpoints(count: usize, runs: &Runs) -> Vec<SocketAddr> {
    start_mending(count, runs, usize::MAX).await
}

/// Starts endpoints that crash under [`CRASHING`] until there were so many `runs`.
pub(crate) async fn start_mending(
    count: usize,
    runs: &Runs,
    crashing_runs: usize,
) -> Vec<SocketAddr> {
    let mut endpoints = Vec::new();
    for _ in 0..count {
        endpoints.push(start_endpoint(Arc::clone(runs), crashing_runs).await);
    }
    endpoints
}

async fn start_endpoint(runs: Runs, crashing_runs: usize) -> SocketAddr {
    let mut listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            serve_until_crash(listener, &runs, crashing_runs).await;
            tokio::time::sleep(DOWN).await;
            listener = TcpListener::bind(address).await.unwrap();
        }
    });
    address
}

async fn serve_until_crash(listener: TcpListener, runs: &Runs, crashing_runs: usize) {
    let crash = Arc::new(Notify::new());
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let (stream, _) = accepted.unwrap();
                let (runs, crash) = (Arc::clone(runs), Arc::clone(&crash));
                connections.spawn(serve(stream, runs, crashing_runs, crash));
            }
            () = crash.notified() => return,
        }
    }
}

async fn serve(mut stream: TcpStream, runs: Runs, crashing_runs: usize, crash: Arc<Notify>) {
    while let Some(line) = read_request_line(&mut stream).await {
        let crashes = line.contains(CRASHING) && {
            let mut runs = runs.lock().unwrap();
            runs.push(Instant::now());
            runs.len() <= crashing_runs
        };
        tokio::time::sleep(WORK).await;
        if crashes {
            crash.notify_one();
            return std::future::pending().await;
        }
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        if stream.write_all(answer).await.is_err() {
            return;
        }
    }
}
