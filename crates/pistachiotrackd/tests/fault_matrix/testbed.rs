//! The fleet of one cell: two VMs, four endpoints, and a link to each of them.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Mutex,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use tokio::{sync::watch, task::JoinHandle};

use super::{
    REPEAT_SUFFIX,
    caller::{self, Call, CallerOutcome, RequestKind, SentRequest},
    endpoint::{Endpoint, Hold},
    link::Link,
    vm::Vm,
};
use crate::testenv::{self, client::HANG_LIMIT, platform::Platform};

/// Endpoints of each service. Faults are injected at the first one.
pub(crate) const ENDPOINTS: usize = 2;
/// Time between two checks of a condition.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of callers whose link may go silent.
pub(crate) const SHORT_TIMEOUT: Duration = Duration::from_secs(4);

/// Fleet, platforms, links and endpoints of one cell.
pub(crate) struct Testbed {
    /// The VMs; the owner of the bookings is first.
    pub(crate) vms: Vec<Vm>,
    /// The platform of each VM.
    pub(crate) platforms: Vec<Platform>,
    /// The links from callers to each VM.
    pub(crate) caller_links: Vec<Link>,
    /// The links to each VM from the other one.
    pub(crate) peer_links: Vec<Link>,
    /// The links to each endpoint.
    pub(crate) endpoint_links: Vec<Link>,
    /// The endpoints: those of searches first, then those of bookings.
    pub(crate) endpoints: Vec<Endpoint>,
    /// Requests that were sent, with their outcomes.
    pub(crate) sent: Mutex<Vec<SentRequest>>,
    /// Timeout of callers.
    pub(crate) timeout: Mutex<Duration>,
    /// VMs that were stopped or crashed.
    pub(crate) stopped_vms: Mutex<Vec<usize>>,
    name: String,
    next_id: Mutex<usize>,
}

/// Requests in flight.
pub(crate) type Batch = Vec<JoinHandle<SentRequest>>;

impl Testbed {
    /// Starts a fleet and waits until its VMs serve and agree on the owners. Every
    /// fleet has its own loopback addresses and ports.
    pub(crate) async fn start(name: &str, number: u16, entry_drain_ms: u64) -> Testbed {
        let mut endpoints = Vec::new();
        let mut endpoint_links = Vec::new();
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        for _ in 0..2 * ENDPOINTS {
            let endpoint = Endpoint::start().await;
            endpoint_links.push(Link::start(any, endpoint.address).await);
            endpoints.push(endpoint);
        }
        let mut testbed = Testbed {
            vms: Vec::new(),
            platforms: Vec::new(),
            caller_links: Vec::new(),
            peer_links: Vec::new(),
            endpoint_links,
            endpoints,
            sent: Mutex::default(),
            timeout: Mutex::new(HANG_LIMIT),
            stopped_vms: Mutex::default(),
            name: name.to_owned(),
            next_id: Mutex::default(),
        };
        for index in 0..2 {
            testbed.start_vm(index, number, entry_drain_ms).await;
        }
        let listed = (0..2).map(|index| {
            testenv::vm_list_entry(
                &format!("vm-{index}"),
                testbed.peer_links[index].address,
                testbed.caller_links[index].address,
            )
        });
        let vms = json!({"version": 2, "vms": listed.collect::<Vec<_>>()});
        for platform in &testbed.platforms {
            platform.publish_vms(vms.clone());
        }
        testbed.wait_for_owners().await;
        testbed
    }

    async fn start_vm(&mut self, index: usize, number: u16, entry_drain_ms: u64) {
        let platform = Platform::start().await;
        platform.publish_config(self.config(2, None));
        let peer = unique_address(PEER_PORTS + number, host_octet(index));
        let advertised = unique_address(PEER_PORTS + number, 100 + index as u8);
        let limits = json!({"body_idle_ms": 2_000, "caller_connections": 64});
        let mut settings = testenv::settings(&format!("vm-{index}"), platform.address, limits);
        settings.entry_drain_ms = entry_drain_ms;
        settings.caller_address = unique_address(CALLER_PORTS + number, host_octet(index));
        settings.admin_address = unique_address(ADMIN_PORTS + number, host_octet(index));
        settings.peer_address = peer;
        settings.advertised_peer_address = Some(advertised);
        self.peer_links.push(Link::start_with_datagrams(advertised, peer).await);
        let vm = Vm::start(settings).await;
        let caller_link_address = unique_address(CALLER_PORTS + number, 100 + index as u8);
        self.caller_links.push(Link::start(caller_link_address, vm.caller_address).await);
        self.platforms.push(platform);
        self.vms.push(vm);
    }

    /// Waits until both VMs list each other as alive and each service has exactly one
    /// owner; then moves the owner of the bookings to the front.
    async fn wait_for_owners(&mut self) {
        let start = Instant::now();
        loop {
            let mut owned = Vec::new();
            for vm in &self.vms {
                let status = status(vm).await.unwrap_or_default();
                let serves = status["live_vms"] == 2 && status["state"] == "serving";
                let shards = status["shards"].as_array().cloned().unwrap_or_default();
                owned.push(if serves { shards } else { Vec::new() });
            }
            let owns =
                |vm: usize, service: &str| owned[vm].contains(&json!(format!("{service}/0")));
            let agreed = [testenv::SEARCH, testenv::BOOKING]
                .iter()
                .all(|service| owns(0, service) != owns(1, service));
            if agreed {
                if owns(1, testenv::BOOKING) {
                    self.vms.swap(0, 1);
                    self.platforms.swap(0, 1);
                    self.caller_links.swap(0, 1);
                    self.peer_links.swap(0, 1);
                }
                return;
            }
            assert!(
                start.elapsed() < HANG_LIMIT,
                "{}: the VMs agree on no owners: {owned:?}",
                self.name
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns a configuration; `leaving` is the index of the endpoint of each
    /// service that is marked as leaving, if any.
    pub(crate) fn config(&self, version: u64, leaving: Option<usize>) -> Value {
        let address = |index: usize| self.endpoint_links[index].address;
        let search: Vec<_> = (0..ENDPOINTS).map(address).collect();
        let booking: Vec<_> = (ENDPOINTS..2 * ENDPOINTS).map(address).collect();
        let mut config = testenv::config(version, &search, &booking);
        for service in config["services"].as_array_mut().unwrap() {
            for (index, endpoint) in
                service["endpoints"].as_array_mut().unwrap().iter_mut().enumerate()
            {
                endpoint["slots"] = json!(8);
                endpoint["leaving"] = json!(leaving == Some(index));
            }
        }
        for contract in config["customers"][0]["contracts"].as_array_mut().unwrap() {
            contract["slots"] = json!(16);
        }
        config
    }

    /// Publishes a configuration on one VM's platform.
    pub(crate) fn publish(&self, vm: usize, version: u64, leaving: Option<usize>) {
        self.platforms[vm].publish_config(self.config(version, leaving));
    }

    /// Returns the indexes of the endpoints that faults are injected at, one of each service.
    pub(crate) fn faulty_endpoints(&self) -> [usize; 2] {
        [0, ENDPOINTS]
    }

    /// Sets the point at which all endpoints hold requests.
    pub(crate) fn hold(&self, hold: Hold) {
        self.endpoints.iter().for_each(|endpoint| endpoint.hold(hold));
    }

    /// Returns whether VM `by` considers the other one dead.
    pub(crate) async fn considers_peer_dead(&self, by: usize) -> bool {
        let members = admin(&self.vms[by], "/members").await.unwrap_or_default();
        members.as_array().is_some_and(|all| all.iter().any(|member| member["state"] == "dead"))
    }

    /// Returns the VMs that were not stopped or crashed.
    pub(crate) fn running_vms(&self) -> Vec<usize> {
        let stopped_vms = self.stopped_vms.lock().unwrap();
        (0..self.vms.len()).filter(|vm| !stopped_vms.contains(vm)).collect()
    }

    /// Returns a new request to a VM.
    pub(crate) fn call(&self, vm: usize, kind: RequestKind) -> Call {
        let mut next_id = self.next_id.lock().unwrap();
        *next_id += 1;
        let id = format!("{}:{}", self.name, *next_id);
        Call {
            send_id: id.clone(),
            id,
            kind,
            repeat: false,
            address: self.caller_links[vm].address,
            timeout: *self.timeout.lock().unwrap(),
            hold_second_half: None,
        }
    }

    /// Begins to send a lookup, a booking and a booking with a key to every VM.
    pub(crate) fn begin_batch(&self, hold_second_half: Option<&watch::Receiver<bool>>) -> Batch {
        let mut batch = Vec::new();
        for vm in 0..self.vms.len() {
            for kind in [RequestKind::Lookup, RequestKind::Booking, RequestKind::KeyedBooking] {
                let call =
                    Call { hold_second_half: hold_second_half.cloned(), ..self.call(vm, kind) };
                batch.push(tokio::spawn(caller::send(call)));
            }
        }
        batch
    }

    /// Waits for the outcomes of a batch, records them and repeats the bookings with
    /// keys as the rules for callers require.
    pub(crate) async fn finish_batch(&self, batch: Batch) -> Vec<SentRequest> {
        let mut finished = Vec::new();
        for sent in batch {
            finished.push(sent.await.unwrap());
        }
        let again: Batch = finished.iter().filter_map(repeated_call).map(tokio::spawn).collect();
        self.sent.lock().unwrap().extend(finished.iter().cloned());
        for sent in again {
            let sent = sent.await.unwrap();
            self.sent.lock().unwrap().push(sent);
        }
        finished
    }

    /// Sends requests of a kind until one succeeds or [`HANG_LIMIT`] has passed; returns
    /// whether one succeeded.
    pub(crate) async fn send_until_success(&self, vm: usize, kind: RequestKind) -> bool {
        let start = Instant::now();
        while start.elapsed() < HANG_LIMIT {
            let sent = caller::send(self.call(vm, kind)).await;
            let success = sent.is_success();
            self.sent.lock().unwrap().push(sent);
            if success {
                return true;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        false
    }

    /// Waits until every running VM has activated a configuration; returns those that
    /// haven't within [`HANG_LIMIT`].
    pub(crate) async fn wait_for_config(&self, version: u64) -> Vec<usize> {
        let start = Instant::now();
        let mut missing = self.running_vms();
        while !missing.is_empty() && start.elapsed() < HANG_LIMIT {
            for vm in missing.clone() {
                let status = status(&self.vms[vm]).await.unwrap_or_default();
                if status["config_version"].as_u64() >= Some(version) {
                    missing.retain(|one| *one != vm);
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        missing
    }

    /// Waits until every request of a batch has reached an endpoint or has ended.
    /// `before` is the number of requests that endpoints had received before it.
    pub(crate) async fn wait_until_received(&self, batch: &Batch, before: usize) {
        self.wait_for_batch(batch, || self.received_count() - before).await;
    }

    /// Returns the number of requests that the endpoints have received.
    pub(crate) fn received_count(&self) -> usize {
        self.endpoints.iter().map(|endpoint| endpoint.received().len()).sum()
    }

    /// Waits until every request of a batch is held at an endpoint or has ended.
    pub(crate) async fn wait_until_held(&self, batch: &Batch) {
        self.wait_for_batch(batch, || self.endpoints.iter().map(Endpoint::held_count).sum()).await;
    }

    async fn wait_for_batch(&self, batch: &Batch, count: impl Fn() -> usize) {
        let start = Instant::now();
        loop {
            let ended = batch.iter().filter(|sent| sent.is_finished()).count();
            if ended + count() >= batch.len() {
                return;
            }
            assert!(
                start.elapsed() < HANG_LIMIT,
                "{}: requests do not reach the step in time",
                self.name
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Returns the repetition of a booking with a key, if it has to be repeated.
fn repeated_call(sent: &SentRequest) -> Option<impl Future<Output = SentRequest> + Send + use<>> {
    if sent.call.kind != RequestKind::KeyedBooking {
        return None;
    }
    let repeat = match &sent.outcome {
        CallerOutcome::NotConnected => return None,
        CallerOutcome::Refused { outcome, .. } => outcome != "not-run",
        CallerOutcome::Answered { .. } | CallerOutcome::Broken | CallerOutcome::TimedOut => true,
    };
    let send_id = format!("{}{REPEAT_SUFFIX}", sent.call.id);
    Some(caller::send(Call { repeat, send_id, hold_second_half: None, ..sent.call.clone() }))
}

/// Returns the answer of a VM's admin port; `None` if it doesn't answer within 2 s.
pub(crate) async fn admin(vm: &Vm, path: &str) -> Option<Value> {
    let answer = super::caller::read(vm.admin_address, path);
    tokio::time::timeout(Duration::from_secs(2), answer).await.ok().flatten()
}

async fn status(vm: &Vm) -> Option<Value> {
    admin(vm, "/status").await
}

/// First ports of the VMs' addresses, all below those that the system chooses and those that
/// tools which start daemons use on all loopback addresses.
///
/// Every fleet has its own ports. Otherwise another fleet could get the port of a VM that has
/// stopped, and the links of the first fleet would lead there: callers would get answers from
/// outside their cell.
const PEER_PORTS: u16 = 10_000;
const CALLER_PORTS: u16 = 12_000;
const ADMIN_PORTS: u16 = 14_000;

/// Returns the last octet of a VM's IP address.
fn host_octet(index: usize) -> u8 {
    10 + index as u8
}

/// Returns an address that no other fleet uses, in this process or another one.
fn unique_address(port: u16, host: u8) -> SocketAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 1 + high % 254, low, host)), port)
}
