//! The daemon as a process: settings, signals, pauses.

mod testenv;

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Response};
use pistachiotrack_core::header;
use serde_json::{Value, json};
use testenv::{
    Deployment, client, config,
    endpoint::Endpoint,
    fleet::{Vm, bounded, has_converged, owns, publish_vm_list, vm_list_entry, wait_until},
    host::{free_address, unique_loopback_host},
    platform::Platform,
};
use tokio::sync::watch;

const BOOKING_SHARD: &str = "booking/0";

/// A daemon process, which is killed at the end of the test.
struct Process {
    child: Child,
    caller: SocketAddr,
    peer: SocketAddr,
    admin: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
}

impl Process {
    fn start(test: &str, platform: SocketAddr) -> Process {
        let [caller, peer, admin] = {
            let host = unique_loopback_host();
            [host; 3].map(free_address)
        };
        let settings = json!({
            "vm": "vm-09", "data_centre": "oslo-1", "deployment": "timeliten",
            "caller_address": caller, "peer_address": peer, "admin_address": admin,
            "platform_address": platform, "expected_vms": 4, "entry_drain_ms": 0,
        });
        let file = settings_file(test, &settings);
        let log = file.with_extension("log");
        let stderr = fs::File::create(&log).unwrap();
        let child = daemon().arg("--settings").arg(&file).stderr(stderr).spawn().unwrap();
        Process { child, caller, peer, admin, settings: file, log }
    }

    fn signal(&self, signal: &str) {
        let kill = Command::new("kill").arg(signal).arg(self.child.id().to_string()).status();
        assert!(kill.unwrap().success());
    }

    async fn wait_until_serving(&self) {
        while tokio::net::TcpStream::connect(self.admin).await.is_err() {
            tokio::task::yield_now().await;
        }
        client::wait_until_serving(self.admin).await;
    }

    /// Returns whether the process has logged an event.
    fn has_logged(&self, event: &str) -> bool {
        fs::read_to_string(&self.log).unwrap().contains(event)
    }

    /// Waits until the process has ended and returns its exit code.
    async fn exit_code(mut self) -> Option<i32> {
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn daemon() -> Command {
    Command::new(env!("CARGO_BIN_EXE_pistachiotrackd"))
}

fn settings_file(test: &str, settings: &Value) -> PathBuf {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}.json"));
    fs::write(&file, settings.to_string()).unwrap();
    file
}

/// Returns an endpoint that answers bookings only once the gate is open, and other
/// requests, such as health checks, at once.
async fn gated_endpoint(gate: &watch::Sender<bool>) -> Endpoint {
    let gate = gate.subscribe();
    Endpoint::start(move |request| {
        let mut gate = gate.clone();
        async move {
            if request.method() == Method::POST {
                gate.wait_for(|open| *open).await.unwrap();
            }
            Response::new(Full::new(Bytes::from_static(b"booked")))
        }
    })
    .await
}

fn booking(body: &'static str) -> hyper::Request<Full<Bytes>> {
    client::request(Method::POST, "/bookings", body)
}

fn executed_bookings(endpoint: &Endpoint) -> Vec<Bytes> {
    let received = endpoint.received();
    let booked = received.iter().filter(|request| request.method() == Method::POST);
    booked.map(|request| request.body().clone()).collect()
}

#[test]
fn check_accepts_valid_settings_and_rejects_invalid_ones() {
    let mut settings = json!({
        "vm": "vm-01", "data_centre": "oslo-1", "deployment": "timeliten",
        "caller_address": "127.0.0.1:0", "peer_address": "127.0.0.1:0",
        "admin_address": "127.0.0.1:0", "platform_address": "127.0.0.1:1",
    });
    let check = |name: &str, settings: &Value| {
        let file = settings_file(name, settings);
        let output = daemon().arg("--check").arg("--settings").arg(file).output().unwrap();
        (output.status.code(), String::from_utf8(output.stderr).unwrap())
    };
    assert_eq!(check("check-valid", &settings), (Some(0), String::new()));
    settings["log_level"] = json!("loud");
    let (code, message) = check("check-invalid", &settings);
    assert_eq!(code, Some(3));
    assert!(message.contains("check-invalid.json: log_level: \"loud\""), "{message}");
}

/// SIGTERM is sent repeatedly while a booking is in flight at an endpoint. The
/// booking must be answered, and the process must exit with code 0.
#[tokio::test]
async fn a_repeated_signal_does_not_interrupt_requests() {
    bounded(async {
        let (gate, _) = watch::channel(false);
        let endpoint = gated_endpoint(&gate).await;
        let platform = Platform::start().await;
        let mut value = config(1, &[], &[endpoint.address]);
        value["entry_lifetime_ms"] = json!(100);
        platform.publish_config(value);
        let process = Process::start("second-signal", platform.address);
        process.wait_until_serving().await;
        let answer = tokio::spawn(client::send(process.caller, booking("slot 7")));
        wait_until(|| async { executed_bookings(&endpoint).len() == 1 }).await;
        process.signal("-TERM");
        client::wait_for(process.admin, "/status", |status| status["state"] == "leaving").await;
        process.signal("-TERM");
        // The listeners close when the daemon accepts no further requests.
        wait_until(|| async { tokio::net::TcpStream::connect(process.caller).await.is_err() })
            .await;
        process.signal("-TERM");
        gate.send_replace(true);
        let answer = answer.await.unwrap().unwrap();
        assert_eq!((answer.status().as_u16(), answer.body()), (200, &Bytes::from("booked")));
        assert_eq!(process.exit_code().await, Some(0));
    })
    .await;
}

/// Guards against a stop that is planned with the grace of settings that have changed since.
#[tokio::test]
async fn a_stop_is_planned_with_the_latest_settings() {
    bounded(async {
        let process = Process::start("grace", Platform::start().await.address);
        wait_until(|| async { process.has_logged("event=started") }).await;
        let mut settings: Value =
            serde_json::from_slice(&fs::read(&process.settings).unwrap()).unwrap();
        settings["stop_grace_s"] = json!(3);
        fs::write(&process.settings, settings.to_string()).unwrap();
        process.signal("-HUP");
        wait_until(|| async { process.has_logged("event=settings_changed") }).await;
        process.signal("-TERM");
        wait_until(|| async { process.has_logged(" answers_until_ms=2750 ") }).await;
        assert_eq!(process.exit_code().await, Some(0));
    })
    .await;
}

/// A VM stops while a caller keeps its connection open for further requests. If
/// the daemon closed the connection without notice, a request sent at that moment
/// would fail and its caller wouldn't know whether it was executed.
#[tokio::test]
async fn a_leaving_vm_closes_kept_alive_connections_with_a_response() {
    bounded(async {
        let search = Endpoint::answering("free slots").await;
        let deployment = Deployment::start(&[search.address], &[]).await;
        let admin = deployment.daemon.admin_address();
        let mut kept = client::Connection::open(deployment.address()).await;
        let answer = kept.send(client::get("/slots")).await.unwrap();
        assert_eq!(client::header_text(&answer, "connection"), None);
        let leaving = deployment.daemon.leave();
        client::wait_for(admin, "/status", |status| status["state"] == "leaving").await;
        let answer = kept.send(client::get("/slots")).await.unwrap();
        assert_eq!(answer.body(), "free slots");
        assert_eq!(client::header_text(&answer, "connection"), Some("close"));
        drop(leaving);
    })
    .await;
}

/// A VM is paused while a booking waits there for a free slot. When it resumes, the
/// booking's deadline has passed, so that it must not be sent. The other VMs have
/// declared the VM dead and taken over its shards; it must rejoin the fleet and give
/// up its ownership.
#[tokio::test]
async fn a_paused_vm_sends_no_expired_booking_and_rejoins() {
    bounded(async {
        let (gate, _) = watch::channel(false);
        let endpoint = gated_endpoint(&gate).await;
        let platform = Platform::start().await;
        platform.publish_config(config(1, &[], &[endpoint.address]));
        let process = Process::start("pause", platform.address);
        process.wait_until_serving().await;
        let others = join_others_as_owner(&process, &platform).await;
        let admins = [process.admin, others[0].admin, others[1].admin];

        let mut running = Vec::new();
        for body in ["first", "second"] {
            running.push(tokio::spawn(client::send(process.caller, booking(body))));
        }
        wait_until(|| async { executed_bookings(&endpoint).len() == 2 }).await;
        let waiting = client::with_header(booking("late"), header::DEADLINE_MS, "1000");
        let waiting = tokio::spawn(client::send(process.caller, waiting));
        client::wait_for(process.admin, "/status", |status| {
            testenv::fleet::counter(status, "requests") == 3
        })
        .await;
        process.signal("-STOP");
        wait_until_dead(&others[0]).await;
        gate.send_replace(true);
        wait_until_taken_over(&others).await;
        process.signal("-CONT");
        let late = waiting.await.unwrap().unwrap();
        assert_eq!(client::header_text(&late, header::OUTCOME), Some("not-run"), "{late:?}");
        wait_until(|| has_converged(&admins)).await;
        assert!(!executed_bookings(&endpoint).contains(&Bytes::from("late")));
        for running in running {
            running.abort();
        }
    })
    .await;
}

/// The same without load. Other VMs have taken over the shard of the paused VM; it
/// must learn this from them and give the shard up. With two owners, the endpoints'
/// slots would be used twice.
#[tokio::test]
async fn a_paused_vm_gives_up_shards_that_others_took_over() {
    bounded(async {
        let endpoint = Endpoint::answering("booked").await;
        let platform = Platform::start().await;
        platform.publish_config(config(1, &[], &[endpoint.address]));
        let process = Process::start("pause-ownership", platform.address);
        process.wait_until_serving().await;
        let others = join_others_as_owner(&process, &platform).await;
        process.signal("-STOP");
        wait_until_dead(&others[0]).await;
        wait_until_taken_over(&others).await;
        process.signal("-CONT");
        let admins = [process.admin, others[0].admin, others[1].admin];
        wait_until(|| has_converged(&admins)).await;
        // Log lines are written by a separate thread, with a delay.
        wait_until(|| async { process.has_logged("event=shard_lost shard=booking/0") }).await;
    })
    .await;
}

/// Starts two more VMs and waits until the fleet agrees that the process owns
/// the bookings.
async fn join_others_as_owner(process: &Process, platform: &Platform) -> [Vm; 2] {
    let others =
        [Vm::start("vm-01", platform.address).await, Vm::start("vm-02", platform.address).await];
    let process_line = vm_list_entry("vm-09", process.peer, process.caller);
    publish_vm_list(
        platform,
        2,
        &[process_line, others[0].vm_list_entry(), others[1].vm_list_entry()],
    );
    let admins = [process.admin, others[0].admin, others[1].admin];
    // The process's name has the highest rendezvous score for the shard; it becomes the
    // owner once it has settled.
    client::wait_for(process.admin, "/status", |status| owns(status, BOOKING_SHARD)).await;
    wait_until(|| has_converged(&admins)).await;
    // Between VMs that have not settled a shard goes back at once, so that there is
    // nothing to give up. Entry responses have their full lifetime once all have settled.
    for caller in [process.caller, others[0].caller, others[1].caller] {
        let path = format!("{}?service={}", header::ENTRIES_PATH, testenv::BOOKING);
        client::wait_for(caller, &path, |answer| {
            answer["lifetime_ms"] == testenv::ENTRY_LIFETIME_MS
        })
        .await;
    }
    assert!(owns(&client::admin(process.admin, "/status").await, BOOKING_SHARD));

    others
}

async fn wait_until_dead(vm: &Vm) {
    wait_until(|| async {
        let members = client::admin(vm.admin, "/members").await;
        let members = members.as_array().unwrap();
        members.iter().any(|member| member["vm"] == "vm-09" && member["state"] == "dead")
    })
    .await;
}

async fn wait_until_taken_over(vms: &[Vm; 2]) {
    wait_until(|| async {
        owns(&vms[0].status().await, BOOKING_SHARD) || owns(&vms[1].status().await, BOOKING_SHARD)
    })
    .await;
}
