//! Fake endpoints that crash when they run one request, and then refuse connections for a while.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
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
    start_endpoints_crashing(count, runs, usize::MAX).await
}

/// Starts endpoints that crash when they run [`CRASHING_PATH`], until there have been `max_crashes`.
///
/// Crashes are counted, not runs: two runs at the same endpoint at the same time are one crash.
pub(crate) async fn start_endpoints_crashing(
    count: usize,
    runs: &Runs,
    max_crashes: usize,
) -> Vec<SocketAddr> {
    let remaining_crashes = Arc::new(Mutex::new(max_crashes));
    let mut endpoints = Vec::new();
    for _ in 0..count {
        let crashes = Crashes { runs: Arc::clone(runs), remaining: Arc::clone(&remaining_crashes) };
        endpoints.push(start_endpoint(crashes).await);
    }
    endpoints
}

/// Runs of the request that crashes endpoints, and how many crashes of all of them are still to come.
#[derive(Clone)]
struct Crashes {
    runs: Runs,
    remaining: Arc<Mutex<usize>>,
}

impl Crashes {
    /// Takes one of the remaining crashes, if there are any.
    fn take(&self) -> bool {
        let mut remaining = self.remaining.lock().unwrap();
        let is_left = *remaining > 0;
        *remaining = remaining.saturating_sub(1);
        is_left
    }
}

/// Crash of one endpoint, which all its connections share.
#[derive(Default)]
struct Crash {
    begun: Notify,
    has_begun: AtomicBool,
}

impl Crash {
    /// Begins the crash if one remains; returns whether the endpoint is crashing.
    fn begin(&self, crashes: &Crashes) -> bool {
        if self.has_begun.load(Ordering::SeqCst) {
            return true;
        }
        let begins = crashes.take();
        self.has_begun.store(begins, Ordering::SeqCst);
        if begins {
            self.begun.notify_one();
        }
        begins
    }
}

async fn start_endpoint(crashes: Crashes) -> SocketAddr {
    let mut listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            serve_until_crash(listener, &crashes).await;
            tokio::time::sleep(DOWNTIME).await;
            listener = TcpListener::bind(address).await.unwrap();
        }
    });
    address
}

async fn serve_until_crash(listener: TcpListener, crashes: &Crashes) {
    let crash = Arc::new(Crash::default());
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            biased;
            () = crash.begun.notified() => return,
            accepted = listener.accept() => {
                let (stream, _) = accepted.unwrap();
                connections.spawn(serve(stream, crashes.clone(), Arc::clone(&crash)));
            }
        }
    }
}

async fn serve(mut stream: TcpStream, crashes: Crashes, crash: Arc<Crash>) {
    while let Some(line) = read_request_line(&mut stream).await {
        let may_crash = line.contains(CRASHING_PATH);
        if may_crash {
            crashes.runs.lock().unwrap().push(Instant::now());
        }
        tokio::time::sleep(WORK_TIME).await;
        if may_crash && crash.begin(&crashes) {
            return std::future::pending().await;
        }
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        if stream.write_all(answer).await.is_err() {
            return;
        }
    }
}
