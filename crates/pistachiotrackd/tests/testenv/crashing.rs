//! Fake endpoints that crash when they run one request, and then refuse connections for a while.

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

/// Path of the request that crashes endpoints.
pub(crate) const CRASHING_PATH: &str = "/slots/crash";
/// Time from the arrival of a request until the endpoint answers or crashes.
pub(crate) const WORK_TIME: Duration = Duration::from_millis(20);
/// Time until a crashed endpoint accepts connections again.
const DOWNTIME: Duration = Duration::from_millis(700);

/// Times at which endpoints began to run the request that crashes them.
pub(crate) type Runs = Arc<Mutex<Vec<Instant>>>;

/// Starts endpoints that crash when they run [`CRASHING_PATH`] and answer all other requests.
pub(crate) async fn start_endpoints(count: usize, runs: &Runs) -> Vec<SocketAddr> {
    start_endpoints_crashing_until(count, runs, usize::MAX).await
}

/// Starts endpoints that crash when they run [`CRASHING_PATH`], for the first `crashing_runs` runs.
pub(crate) async fn start_endpoints_crashing_until(
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
            tokio::time::sleep(DOWNTIME).await;
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
        let crashes = line.contains(CRASHING_PATH) && {
            let mut runs = runs.lock().unwrap();
            runs.push(Instant::now());
            runs.len() <= crashing_runs
        };
        tokio::time::sleep(WORK_TIME).await;
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
