//! Several daemons that know each other: configuration, owners, hand-over.

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

/// A VM starts while the platform is away. A clerk whose request comes in there
/// must be told that it was not run until the VM has rules, and be served as
/// soon as a peer has given it the configuration.
#[tokio::test]
async fn a_vm_without_the_platform_is_configured_by_a_peer() {
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

/// An operator publishes a change and then one with a fault. All VMs must take
/// the first, stay with it at the second, and say why.
#[tokio::test]
async fn a_change_reaches_all_and_a_faulty_one_none() {
    bounded(async {
        let search = Endpoint::answering("").await;
        let fleet = Fleet::start(4, config(1, &[search.address], &[])).await;
        fleet.platform.publish_config(config(2, &[search.address], &[]));
        wait_for_version(&fleet.vms, 2).await;

        let mut faulty = config(3, &[search.address], &[]);
        faulty["services"][0]["timeout_ms"] = json!(0);
        fleet.platform.publish_config(faulty);
        let admins = fleet.admins();
        let mut told = None;
        while told.is_none() {
            for admin in &admins {
                let status = client::admin(*admin, "/status").await;
                told = told.or(status["config_error"].as_str().map(str::to_owned));
            }
        }
        assert!(told.as_ref().unwrap().contains("services[0].timeout_ms"), "{told:?}");
        for vm in &fleet.vms {
            assert_eq!(vm.status().await["config_version"], 2);
        }
        let found = client::send(fleet.vms[3].caller, client::get("/slots")).await.unwrap();
        assert_eq!(found.status(), 200);
    })
    .await;
}

/// The platform comes back from a backup with version 1 while the fleet is at
/// 2. A VM that starts now may hear the platform first; it must never serve by
/// version 1, which the fleet has left.
#[tokio::test]
async fn a_platform_that_comes_back_older_changes_nothing() {
    bounded(async {
        let search = Endpoint::answering("").await;
        let mut fleet = Fleet::start(3, config(2, &[search.address], &[])).await;
        fleet.platform.publish_config(config(1, &[search.address], &[]));
        let newcomer = Vm::start("vm-09", fleet.platform.address).await;
        let mut held = None;
        while held != Some(2) {
            held = newcomer.status().await["config_version"].as_u64();
            assert!(matches!(held, None | Some(2)), "{held:?}");
        }
        fleet.vms.push(newcomer);
        for vm in &fleet.vms {
            assert_eq!(vm.status().await["config_version"], 2);
        }
    })
    .await;
}

#[tokio::test]
async fn a_request_is_sent_on_to_the_owner_by_one_hop() {
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

/// The owner dies without a word. Its callers' requests must reach the endpoint
/// through another VM, which takes the shard over, and no VM gives its address
/// to callers any more.
#[tokio::test]
async fn the_others_take_over_from_an_owner_that_crashed() {
    bounded(async {
        let search = Endpoint::answering("free slots").await;
        let mut fleet = Fleet::start(4, config(1, &[search.address], &[])).await;
        let owner = fleet.owner(SEARCH_SHARD).await;
        let mut crashed = fleet.vms.remove(owner);
        crashed.crash();
        let heir = fleet.owner(SEARCH_SHARD).await;
        for vm in &fleet.vms {
            let heir = fleet.vms[heir].caller;
            wait_until(|| async {
                let entries = vm.entries(testenv::SEARCH).await;
                entries.first() == Some(&heir) && !entries.contains(&crashed.caller)
            })
            .await;
            let answer = client::send(vm.caller, client::get("/slots")).await.unwrap();
            assert_eq!(answer.body(), "free slots");
        }
    })
    .await;
}

/// A caller that asks the fleet for addresses and keeps them for as long as the
/// answer lives.
struct Caller {
    asks: SocketAddr,
    address: SocketAddr,
    until: Instant,
}

impl Caller {
    async fn send(&mut self, body: String) -> Response<Bytes> {
        if Instant::now() >= self.until {
            let path = format!("{}?service={BOOKING}", header::ENTRIES_PATH);
            let answer = client::admin(self.asks, &path).await;
            self.address = answer["entries"][0]["address"].as_str().unwrap().parse().unwrap();
            let lifetime = Duration::from_millis(answer["lifetime_ms"].as_u64().unwrap());
            self.until = Instant::now() + lifetime;
        }
        let request = client::request(Method::POST, "/bookings", body);
        client::send(self.address, request).await.unwrap()
    }
}

fn keep_booking(asks: SocketAddr, ends: &Arc<AtomicBool>, name: usize) -> JoinHandle<u32> {
    let ends = Arc::clone(ends);
    let mut caller = Caller { asks, address: asks, until: Instant::now() };
    tokio::spawn(async move {
        let mut booked = 0;
        while !ends.load(Ordering::SeqCst) {
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

/// An operator stops the VM that owns a service while callers book through it,
/// and one of the service's endpoints is ejected. No booking may fail or run
/// twice, the new owner must know of the sick endpoint, and callers must no
/// longer be sent to the VM that stops.
#[tokio::test]
async fn an_owner_stops_under_load_without_a_trace() {
    bounded(async {
        let booked = || async { Response::new(Full::new(Bytes::from_static(b"booked"))) };
        let well = [Endpoint::start(move |_| booked()).await, Endpoint::answering("booked").await];
        let sick = Endpoint::start(|_| async {
            let mut response = Response::new(Full::default());
            *response.status_mut() = hyper::StatusCode::INTERNAL_SERVER_ERROR;
            response
        })
        .await;
        let addresses = [well[0].address, well[1].address, sick.address];
        let mut value = config(1, &[], &addresses);
        value["entry_lifetime_ms"] = json!(500);
        let mut fleet = Fleet::start(4, value).await;
        let owner = fleet.owner(BOOKING_SHARD).await;
        while state_of(&fleet.vms[owner], "booking-2").await.as_deref() != Some("ejected") {
            let request = client::request(Method::POST, "/bookings", "warm-up");
            client::send(fleet.vms[owner].caller, request).await.unwrap();
        }
        let warm_up: usize = well.iter().map(|endpoint| bookings(endpoint).len()).sum();

        let ends = Arc::new(AtomicBool::new(false));
        let asked = fleet.vms[(owner + 1) % 4].caller;
        let callers: Vec<_> = (0..4).map(|name| keep_booking(asked, &ends, name)).collect();
        let run = || well.iter().map(|endpoint| bookings(endpoint).len()).sum::<usize>();
        wait_until(|| async { run() >= warm_up + 40 }).await;
        let mut leaving = fleet.vms.remove(owner);
        let stopped = leaving.stop();
        let heir = fleet.owner(BOOKING_SHARD).await;
        let heir = &fleet.vms[heir];
        wait_until(|| async { state_of(heir, "booking-2").await.as_deref() == Some("ejected") })
            .await;
        stopped.await.unwrap();
        for vm in &fleet.vms {
            assert!(!vm.entries(BOOKING).await.contains(&leaving.caller), "{}", vm.name);
        }
        ends.store(true, Ordering::SeqCst);
        let mut answered = 0;
        for caller in callers {
            answered += caller.await.unwrap() as usize;
        }
        let run: Vec<Bytes> = well.iter().flat_map(bookings).collect();
        assert!(answered > 0);
        assert_eq!(run.len() - warm_up, answered);
    })
    .await;
}

/// Returns the bodies of the bookings that an endpoint ran.
fn bookings(endpoint: &Endpoint) -> Vec<Bytes> {
    let received = endpoint.received();
    let booked = received.iter().filter(|request| request.method() == Method::POST);
    booked.map(|request| request.body().clone()).collect()
}

/// A replaced VM comes back under its old name while the old daemon still runs.
/// The others hear the new one only; the old one must notice, stop by itself
/// and not go on answering by what it owned.
#[tokio::test]
async fn a_daemon_whose_name_was_taken_over_stops() {
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
