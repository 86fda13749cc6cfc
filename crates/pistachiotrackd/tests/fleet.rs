//! Fleets of several daemons: configuration, ownership and hand-over.

mod testenv;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Response};
use pistachiotrack_core::header;
use serde_json::{Value, json};
use testenv::{
    BOOKING, client, config,
    endpoint::Endpoint,
    fleet::{Fleet, Vm, bounded, publish_vm_list, unavailable_platform, wait_until},
    platform::Platform,
};
use tokio::task::JoinHandle;

const SEARCH_SHARD: &str = "slot-search/0";
const BOOKING_SHARD: &str = "booking/0";

async fn wait_for_version(vms: &[Vm], version: u64) {
    for vm in vms {
        client::wait_for(vm.admin, "/status", |status| status["config_version"] == version).await;
    }
}

/// A VM starts while the platform is unreachable. It must refuse requests as not
/// run until it has a configuration, and serve them once it has pulled the
/// configuration from a peer.
#[tokio::test]
async fn a_vm_that_cannot_reach_the_platform_gets_its_configuration_from_a_peer() {
    bounded(async {
        let search = Endpoint::answering("free slots").await;
        let platform = Platform::start().await;
        platform.publish_config(config(1, &[search.address], &[]));
        let first = Vm::start("vm-01", platform.address).await;
        client::wait_until_serving(first.admin).await;
        let second = Vm::start("vm-02", unavailable_platform().await).await;

        let refused = client::send(second.caller, client::get("/slots")).await.unwrap();
        assert_eq!(refused.status(), 503);
        assert_eq!(client::header_text(&refused, header::OUTCOME), Some("not-run"));
        assert_eq!(client::header_text(&refused, header::REASON), Some("no-config"));
        assert!(search.received().is_empty());

        publish_vm_list(&platform, 2, &[first.vm_list_entry(), second.vm_list_entry()]);
        client::wait_until_serving(second.admin).await;
        let found = client::send(second.caller, client::get("/slots")).await.unwrap();
        assert_eq!(found.body(), "free slots");
        assert_eq!(second.status().await["platform_age_ms"], Value::Null);
    })
    .await;
}

/// An operator publishes a valid and then an invalid configuration. All VMs must
/// activate the first, keep it when the second arrives, and report the error.
#[tokio::test]
async fn a_valid_configuration_reaches_all_vms_and_an_invalid_one_none() {
    bounded(async {
        let search = Endpoint::answering("").await;
        let fleet = Fleet::start(4, config(1, &[search.address], &[])).await;
        fleet.platform.publish_config(config(2, &[search.address], &[]));
        wait_for_version(&fleet.vms, 2).await;

        let mut faulty = config(3, &[search.address], &[]);
        faulty["services"][0]["timeout_ms"] = json!(0);
        fleet.platform.publish_config(faulty);
        let admins = fleet.admins();
        let mut reported_error = None;
        while reported_error.is_none() {
            for admin in &admins {
                let status = client::admin(*admin, "/status").await;
                reported_error =
                    reported_error.or(status["config_error"].as_str().map(str::to_owned));
            }
        }
        assert!(
            reported_error.as_ref().unwrap().contains("services[0].timeout_ms"),
            "{reported_error:?}"
        );
        for vm in &fleet.vms {
            assert_eq!(vm.status().await["config_version"], 2);
        }
        let found = client::send(fleet.vms[3].caller, client::get("/slots")).await.unwrap();
        assert_eq!(found.status(), 200);
    })
    .await;
}

/// The platform is restored from a backup with version 1 while the fleet is at
/// version 2. A VM that starts may read the platform first; it must never use
/// version 1, which is older than the fleet's.
#[tokio::test]
async fn an_older_configuration_on_the_platform_is_ignored() {
    bounded(async {
        let search = Endpoint::answering("").await;
        let mut fleet = Fleet::start(3, config(2, &[search.address], &[])).await;
        fleet.platform.publish_config(config(1, &[search.address], &[]));
        let new_vm = Vm::start("vm-09", fleet.platform.address).await;
        let mut version = None;
        while version != Some(2) {
            version = new_vm.status().await["config_version"].as_u64();
            assert!(matches!(version, None | Some(2)), "{version:?}");
        }
        fleet.vms.push(new_vm);
        for vm in &fleet.vms {
            assert_eq!(vm.status().await["config_version"], 2);
        }
    })
    .await;
}

#[tokio::test]
async fn a_request_is_forwarded_to_the_owner_in_one_hop() {
    bounded(async {
        let search = Endpoint::answering("free slots").await;
        let fleet = Fleet::start(4, config(1, &[search.address], &[])).await;
        let owner = fleet.owner(SEARCH_SHARD).await;
        for (index, vm) in fleet.vms.iter().enumerate() {
            let answer = client::send(vm.caller, client::get("/slots")).await.unwrap();
            assert_eq!(answer.body(), "free slots");
            let owner_name = fleet.vms[owner].name.as_str();
            assert_eq!(client::header_text(&answer, header::OWNER), Some(owner_name));
            assert_eq!(vm.counter("forwarded").await, u64::from(index != owner));
        }
        for (index, vm) in fleet.vms.iter().enumerate() {
            let expected = if index == owner { 3 } else { 0 };
            assert_eq!(vm.counter("peer_requests").await, expected, "{}", vm.name);
        }
        assert_eq!(search.received().len(), 4);
    })
    .await;
}

/// The owner crashes without announcing its leave. Requests must reach the
/// endpoint through another VM, which takes the shard over, and no VM may list
/// the crashed VM in its entry responses.
#[tokio::test]
async fn shards_of_a_crashed_owner_are_taken_over() {
    bounded(async {
        let search = Endpoint::answering("free slots").await;
        let mut fleet = Fleet::start(4, config(1, &[search.address], &[])).await;
        let owner = fleet.owner(SEARCH_SHARD).await;
        let mut crashed = fleet.vms.remove(owner);
        crashed.crash();
        let successor = fleet.owner(SEARCH_SHARD).await;
        for vm in &fleet.vms {
            let successor = fleet.vms[successor].caller;
            wait_until(|| async {
                let entries = vm.entries(testenv::SEARCH).await;
                entries.first() == Some(&successor) && !entries.contains(&crashed.caller)
            })
            .await;
            let answer = client::send(vm.caller, client::get("/slots")).await.unwrap();
            assert_eq!(answer.body(), "free slots");
        }
    })
    .await;
}

/// A caller that queries entry addresses and caches them for the lifetime of the
/// answer.
struct Caller {
    directory: SocketAddr,
    address: SocketAddr,
    expires_at: Instant,
}

impl Caller {
    async fn send(&mut self, body: String) -> Response<Bytes> {
        if Instant::now() >= self.expires_at {
            let path = format!("{}?service={BOOKING}", header::ENTRIES_PATH);
            let answer = client::admin(self.directory, &path).await;
            self.address = answer["entries"][0]["address"].as_str().unwrap().parse().unwrap();
            let lifetime = Duration::from_millis(answer["lifetime_ms"].as_u64().unwrap());
            self.expires_at = Instant::now() + lifetime;
        }
        let request = client::request(Method::POST, "/bookings", body);
        client::send(self.address, request).await.unwrap()
    }
}

fn book_until_done(
    directory: SocketAddr,
    is_done: &Arc<AtomicBool>,
    name: usize,
) -> JoinHandle<u32> {
    let is_done = Arc::clone(is_done);
    let mut caller = Caller { directory, address: directory, expires_at: Instant::now() };
    tokio::spawn(async move {
        let mut booked = 0;
        while !is_done.load(Ordering::SeqCst) {
            let answer = caller.send(format!("{name}-{booked}")).await;
            assert_eq!(answer.status(), 200, "{name}-{booked}: {answer:?}");
            booked += 1;
        }
        booked
    })
}

async fn state_of(vm: &Vm, endpoint: &str) -> Option<String> {
    let endpoints = client::admin(vm.admin, "/endpoints").await;
    let line = endpoints.as_array().unwrap().iter().find(|line| line["endpoint"] == endpoint)?;
    Some(line["state"].as_str().unwrap().to_owned())
}

/// The VM that owns a service is stopped while callers book through it, and one
/// of the service's endpoints is ejected. No booking may fail or run twice, the
/// new owner must keep the faulty endpoint ejected, and no VM may list the
/// stopped VM in its entry responses.
#[tokio::test]
async fn an_owner_that_stops_under_load_loses_and_repeats_no_request() {
    bounded(async {
        let booked = || async { Response::new(Full::new(Bytes::from_static(b"booked"))) };
        let healthy =
            [Endpoint::start(move |_| booked()).await, Endpoint::answering("booked").await];
        let faulty = Endpoint::start(|_| async {
            let mut response = Response::new(Full::default());
            *response.status_mut() = hyper::StatusCode::INTERNAL_SERVER_ERROR;
            response
        })
        .await;
        let addresses = [healthy[0].address, healthy[1].address, faulty.address];
        let mut value = config(1, &[], &addresses);
        value["entry_lifetime_ms"] = json!(500);
        let mut fleet = Fleet::start(4, value).await;
        let owner = fleet.owner(BOOKING_SHARD).await;
        while state_of(&fleet.vms[owner], "booking-2").await.as_deref() != Some("ejected") {
            let request = client::request(Method::POST, "/bookings", "warm-up");
            client::send(fleet.vms[owner].caller, request).await.unwrap();
        }
        let warm_up: usize = healthy.iter().map(|endpoint| bookings(endpoint).len()).sum();

        let is_done = Arc::new(AtomicBool::new(false));
        let directory = fleet.vms[(owner + 1) % 4].caller;
        let callers: Vec<_> =
            (0..4).map(|name| book_until_done(directory, &is_done, name)).collect();
        let run = || healthy.iter().map(|endpoint| bookings(endpoint).len()).sum::<usize>();
        wait_until(|| async { run() >= warm_up + 40 }).await;
        let mut leaving = fleet.vms.remove(owner);
        let stopped = leaving.stop();
        let successor = fleet.owner(BOOKING_SHARD).await;
        let successor = &fleet.vms[successor];
        wait_until(|| async {
            state_of(successor, "booking-2").await.as_deref() == Some("ejected")
        })
        .await;
        stopped.await.unwrap();
        for vm in &fleet.vms {
            assert!(!vm.entries(BOOKING).await.contains(&leaving.caller), "{}", vm.name);
        }
        is_done.store(true, Ordering::SeqCst);
        let mut answered = 0;
        for caller in callers {
            answered += caller.await.unwrap() as usize;
        }
        let run: Vec<Bytes> = healthy.iter().flat_map(bookings).collect();
        assert!(answered > 0);
        assert_eq!(run.len() - warm_up, answered);
    })
    .await;
}

/// Returns the bodies of the bookings that an endpoint executed.
fn bookings(endpoint: &Endpoint) -> Vec<Bytes> {
    let received = endpoint.received();
    let booked = received.iter().filter(|request| request.method() == Method::POST);
    booked.map(|request| request.body().clone()).collect()
}

/// A VM is replaced by one with the same name while the old daemon still runs.
/// The other VMs accept only the new one; the old one must detect this and stop,
/// and must not go on serving the shards that it owned.
#[tokio::test]
async fn a_daemon_that_is_superseded_stops() {
    bounded(async {
        let search = Endpoint::answering("").await;
        let mut value = config(1, &[search.address], &[]);
        value["entry_lifetime_ms"] = json!(100);
        let mut fleet = Fleet::start(3, value).await;
        let mut old = fleet.vms.remove(2);
        let ended = old.run();
        let new = Vm::start(&old.name, fleet.platform.address).await;
        fleet.vms.push(new);
        fleet.publish_vm_list(3);
        ended.await.unwrap();
        let admins = fleet.admins();
        wait_until(|| testenv::fleet::has_converged(&admins)).await;
        for vm in &fleet.vms {
            assert!(!vm.entries(testenv::SEARCH).await.contains(&old.caller), "{}", vm.name);
        }
    })
    .await;
}
