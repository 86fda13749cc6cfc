//! Requests that crash the endpoints that run them.

mod testenv;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use serde_json::json;
use testenv::{
    client, config,
    endpoint::read_request_line,
    fleet::{Vm, bounded, publish_list},
    platform::Platform,
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::JoinSet,
};

const VMS: usize = 3;
const ENDPOINTS: usize = 6;
/// Request under which endpoints crash.
const CRASHING: &str = "/slots/crash";
/// Time for which an endpoint works on a request, or until it crashes.
const WORK: Duration = Duration::from_millis(20);
/// Time until a crashed endpoint takes connections again.
const DOWN: Duration = Duration::from_millis(700);
/// Crashes after which a request counts as the cause.
const CAUSE_CRASHES: usize = 3;
/// Time after them in which all VMs have to know.
const SPREAD: Duration = Duration::from_secs(3);
/// Runs that are allowed later.
const LATER_RUNS: usize = 3;

/// Moments at which endpoints began to run the request under which they crash.
type Runs = Arc<Mutex<Vec<Instant>>>;

/// Starts an endpoint that crashes under [`CRASHING`] and answers all else.
async fn start_endpoint(runs: Runs) -> SocketAddr {
    let mut listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            serve_until_crash(listener, &runs).await;
            tokio::time::sleep(DOWN).await;
            listener = TcpListener::bind(address).await.unwrap();
        }
    });
    address
}

async fn serve_until_crash(listener: TcpListener, runs: &Runs) {
    let crash = Arc::new(Notify::new());
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let (stream, _) = accepted.unwrap();
                connections.spawn(serve(stream, Arc::clone(runs), Arc::clone(&crash)));
            }
            () = crash.notified() => return,
        }
    }
}

async fn serve(mut stream: TcpStream, runs: Runs, crash: Arc<Notify>) {
    while let Some(line) = read_request_line(&mut stream).await {
        let crashes = line.contains(CRASHING);
        if crashes {
            runs.lock().unwrap().push(Instant::now());
        }
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

/// Starts VMs that dispatch for one service side by side.
async fn start_fleet(endpoints: &[SocketAddr]) -> (Platform, Vec<Vm>) {
    let mut config = config(1, endpoints, &[]);
    config["services"][0]["dispatchers_per_data_centre"] = json!(2);
    let platform = Platform::start().await;
    platform.publish_config(config);
    let mut vms = Vec::new();
    for index in 0..VMS {
        vms.push(Vm::start(&format!("vm-{index:02}"), platform.address).await);
    }
    let lines: Vec<_> = vms.iter().map(Vm::listed).collect();
    publish_list(&platform, 2, &lines);
    for vm in &vms {
        client::wait_until_serving(vm.admin).await;
        client::wait_for(vm.admin, "/members", |members| {
            let alive = |member: &&serde_json::Value| member["state"] == "alive";
            members.as_array().unwrap().iter().filter(alive).count() == VMS
        })
        .await;
    }
    (platform, vms)
}

/// Sends a request to the VMs by turns until `until`, answered or not.
async fn repeat(vms: &[Vm], path: &'static str, until: Instant) -> Vec<(Instant, u16)> {
    let mut answers = JoinSet::new();
    let mut turn = 0;
    while Instant::now() < until {
        let address = vms[turn % vms.len()].caller;
        answers.spawn(async move {
            let sent = Instant::now();
            let status = client::send(address, client::get(path)).await.map(|it| it.status());
            (sent, status.map_or(0, |status| status.as_u16()))
        });
        turn += 1;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    answers.join_all().await
}

#[tokio::test]
async fn a_request_that_crashed_three_endpoints_is_hardly_sent_to_others() {
    bounded(async {
        let runs = Runs::default();
        let mut endpoints = Vec::new();
        for _ in 0..ENDPOINTS {
            endpoints.push(start_endpoint(Arc::clone(&runs)).await);
        }
        let (_platform, vms) = start_fleet(&endpoints).await;
        let until = Instant::now() + SPREAD + Duration::from_secs(4);
        let (_, others) =
            tokio::join!(repeat(&vms, CRASHING, until), repeat(&vms, "/slots/other", until));
        let runs = runs.lock().unwrap().clone();
        let known = runs[CAUSE_CRASHES - 1] + WORK + SPREAD;
        let later = runs.iter().filter(|run| **run > known).count();
        assert!(later <= LATER_RUNS, "sent {later} times more, {} in all", runs.len());
        let failed = others.iter().filter(|(sent, status)| *sent > known && *status != 200);
        assert_eq!(failed.count(), 0, "other requests fail");
    })
    .await;
}
