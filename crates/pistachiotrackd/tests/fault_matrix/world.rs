//! The fleet of one cell: two VMs, four endpoints, and a relay on every leg.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Mutex,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use tokio::{sync::watch, task::JoinHandle};

use super::{
    AGAIN,
    caller::{self, Call, Kind, Outcome, Sent},
    endpoint::{Endpoint, Hold},
    relay::Relay,
    vm::Vm,
};
use crate::testenv::{self, client::HANG_LIMIT, platform::Platform};

/// Endpoints of each service. The first one is the one that falls sick.
pub(crate) const ENDPOINTS: usize = 2;
/// Time between two looks at a condition.
pub(crate) const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which a caller of a leg that may go silent waits.
pub(crate) const SHORT_PATIENCE: Duration = Duration::from_secs(4);

/// What one cell runs in.
pub(crate) struct World {
    /// The VMs; that which owns the bookings first.
    pub(crate) vms: Vec<Vm>,
    /// The platform as each VM reads it.
    pub(crate) platforms: Vec<Platform>,
    /// The relays before the VMs, for callers.
    pub(crate) caller_legs: Vec<Relay>,
    /// The relays before the VMs, for the other VM.
    pub(crate) peer_legs: Vec<Relay>,
    /// The relays before the endpoints.
    pub(crate) endpoint_legs: Vec<Relay>,
    /// The endpoints: of searches first, then of bookings.
    pub(crate) endpoints: Vec<Endpoint>,
    /// What was sent and what became of it.
    pub(crate) sent: Mutex<Vec<Sent>>,
    /// Time for which callers wait.
    pub(crate) patience: Mutex<Duration>,
    /// VMs that are gone for good.
    pub(crate) gone: Mutex<Vec<usize>>,
    name: String,
    next: Mutex<usize>,
}

/// Requests in flight.
pub(crate) type Batch = Vec<JoinHandle<Sent>>;

impl World {
    /// Starts a fleet that knows itself and serves. Every fleet has loopback
    /// addresses and a port of its own.
    pub(crate) async fn start(name: &str, number: u16, entry_drain_ms: u64) -> World {
        let mut endpoints = Vec::new();
        let mut endpoint_legs = Vec::new();
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        for _ in 0..2 * ENDPOINTS {
            let endpoint = Endpoint::start().await;
            endpoint_legs.push(Relay::start(any, endpoint.address).await);
            endpoints.push(endpoint);
        }
        let mut world = World {
            vms: Vec::new(),
            platforms: Vec::new(),
            caller_legs: Vec::new(),
            peer_legs: Vec::new(),
            endpoint_legs,
            endpoints,
            sent: Mutex::default(),
            patience: Mutex::new(HANG_LIMIT),
            gone: Mutex::default(),
            name: name.to_owned(),
            next: Mutex::default(),
        };
        for index in 0..2 {
            world.start_vm(index, number, entry_drain_ms).await;
        }
        let listed = (0..2).map(|index| {
            testenv::vm_list_entry(
                &format!("vm-{index}"),
                world.peer_legs[index].address,
                world.caller_legs[index].address,
            )
        });
        let vms = json!({"version": 2, "vms": listed.collect::<Vec<_>>()});
        for platform in &world.platforms {
            platform.publish_vms(vms.clone());
        }
        world.put_owner_first().await;
        world
    }

    async fn start_vm(&mut self, index: usize, number: u16, entry_drain_ms: u64) {
        let platform = Platform::start().await;
        platform.publish_config(self.config(2, None));
        let peer = own_address(PEER_PORTS + number, peer_host(index));
        let advertised = own_address(PEER_PORTS + number, 100 + index as u8);
        let limits = json!({"body_idle_ms": 2_000, "caller_connections": 64});
        let mut settings = testenv::settings(&format!("vm-{index}"), platform.address, limits);
        settings.entry_drain_ms = entry_drain_ms;
        settings.caller_address = own_address(CALLER_PORTS + number, peer_host(index));
        settings.admin_address = own_address(ADMIN_PORTS + number, peer_host(index));
        settings.peer_address = peer;
        settings.advertised_peer_address = Some(advertised);
        self.peer_legs.push(Relay::start_with_datagrams(advertised, peer).await);
        let vm = Vm::start(settings).await;
        let for_callers = own_address(CALLER_PORTS + number, 100 + index as u8);
        self.caller_legs.push(Relay::start(for_callers, vm.caller_address).await);
        self.platforms.push(platform);
        self.vms.push(vm);
    }

    /// Waits until exactly one VM owns each service and both know each other.
    async fn put_owner_first(&mut self) {
        let start = Instant::now();
        loop {
            let mut owned = Vec::new();
            for vm in &self.vms {
                let status = status(vm).await.unwrap_or_default();
                let known = status["live_vms"] == 2 && status["state"] == "serving";
                let shards = status["shards"].as_array().cloned().unwrap_or_default();
                owned.push(if known { shards } else { Vec::new() });
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
                    self.caller_legs.swap(0, 1);
                    self.peer_legs.swap(0, 1);
                }
                return;
            }
            assert!(start.elapsed() < HANG_LIMIT, "{}: no fleet: {owned:?}", self.name);
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }

    /// Returns a configuration, in which one endpoint of each service may be
    /// leaving.
    pub(crate) fn config(&self, version: u64, leaving: Option<usize>) -> Value {
        let address = |index: usize| self.endpoint_legs[index].address;
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

    /// Publishes a configuration to one VM's platform.
    pub(crate) fn publish(&self, vm: usize, version: u64, leaving: Option<usize>) {
        self.platforms[vm].publish_config(self.config(version, leaving));
    }

    /// Returns the endpoints that fall sick, one of each service.
    pub(crate) fn sick(&self) -> [usize; 2] {
        [0, ENDPOINTS]
    }

    /// Holds requests up at all endpoints.
    pub(crate) fn hold(&self, hold: Hold) {
        self.endpoints.iter().for_each(|endpoint| endpoint.hold(hold));
    }

    /// Returns whether a VM counts the other one as dead.
    pub(crate) async fn is_given_up(&self, by: usize) -> bool {
        let members = admin(&self.vms[by], "/members").await.unwrap_or_default();
        members.as_array().is_some_and(|all| all.iter().any(|member| member["state"] == "dead"))
    }

    /// Returns the VMs that are not gone for good.
    pub(crate) fn present(&self) -> Vec<usize> {
        let gone = self.gone.lock().unwrap();
        (0..self.vms.len()).filter(|vm| !gone.contains(vm)).collect()
    }

    /// Returns a request that is not yet sent.
    pub(crate) fn call(&self, vm: usize, kind: Kind) -> Call {
        let mut next = self.next.lock().unwrap();
        *next += 1;
        let id = format!("{}:{}", self.name, *next);
        Call {
            sending: id.clone(),
            id,
            kind,
            repeat: false,
            address: self.caller_legs[vm].address,
            patience: *self.patience.lock().unwrap(),
            half: None,
        }
    }

    /// Sends a lookup, a booking and one with a key to every VM.
    pub(crate) fn begin(&self, half: Option<&watch::Receiver<bool>>) -> Batch {
        let mut batch = Vec::new();
        for vm in 0..self.vms.len() {
            for kind in [Kind::Lookup, Kind::Booking, Kind::KeyedBooking] {
                let call = Call { half: half.cloned(), ..self.call(vm, kind) };
                batch.push(tokio::spawn(caller::send(call)));
            }
        }
        batch
    }

    /// Waits for the ends of a batch, writes them down and sends the bookings
    /// with keys again as the rules for callers say.
    pub(crate) async fn finish(&self, batch: Batch) -> Vec<Sent> {
        let mut finished = Vec::new();
        for sent in batch {
            finished.push(sent.await.unwrap());
        }
        let again: Batch = finished.iter().filter_map(repetition).map(tokio::spawn).collect();
        self.sent.lock().unwrap().extend(finished.iter().cloned());
        for sent in again {
            let sent = sent.await.unwrap();
            self.sent.lock().unwrap().push(sent);
        }
        finished
    }

    /// Sends requests of a kind until one is answered well; returns whether one
    /// was.
    pub(crate) async fn until_well(&self, vm: usize, kind: Kind) -> bool {
        let start = Instant::now();
        while start.elapsed() < HANG_LIMIT {
            let sent = caller::send(self.call(vm, kind)).await;
            let well = sent.is_well();
            self.sent.lock().unwrap().push(sent);
            if well {
                return true;
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        false
    }

    /// Waits until every VM present has a configuration in force; returns those
    /// that don't get it.
    pub(crate) async fn until_in_force(&self, version: u64) -> Vec<usize> {
        let start = Instant::now();
        let mut without = self.present();
        while !without.is_empty() && start.elapsed() < HANG_LIMIT {
            for vm in without.clone() {
                let status = status(&self.vms[vm]).await.unwrap_or_default();
                if status["config_version"].as_u64() >= Some(version) {
                    without.retain(|one| *one != vm);
                }
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        without
    }

    /// Waits until every request of a batch has been seen by an endpoint or is
    /// over.
    pub(crate) async fn until_seen(&self, batch: &Batch, before: usize) {
        self.until(batch, || self.seen() - before).await;
    }

    /// Counts what the endpoints have seen.
    pub(crate) fn seen(&self) -> usize {
        self.endpoints.iter().map(|endpoint| endpoint.sights().len()).sum()
    }

    /// Waits until every request of a batch is held up at an endpoint or over.
    pub(crate) async fn until_held(&self, batch: &Batch) {
        self.until(batch, || self.endpoints.iter().map(Endpoint::reached).sum()).await;
    }

    async fn until(&self, batch: &Batch, count: impl Fn() -> usize) {
        let start = Instant::now();
        loop {
            let over = batch.iter().filter(|sent| sent.is_finished()).count();
            if over + count() >= batch.len() {
                return;
            }
            assert!(start.elapsed() < HANG_LIMIT, "{}: the step is not reached", self.name);
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }
}

/// Returns the request that follows a booking with a key.
fn repetition(sent: &Sent) -> Option<impl Future<Output = Sent> + Send + use<>> {
    if sent.call.kind != Kind::KeyedBooking {
        return None;
    }
    let repeat = match &sent.outcome {
        Outcome::NotConnected => return None,
        Outcome::Refused { outcome, .. } => outcome != "not-run",
        Outcome::Answered { .. } | Outcome::Broken | Outcome::Nothing => true,
    };
    let sending = format!("{}{AGAIN}", sent.call.id);
    Some(caller::send(Call { repeat, sending, half: None, ..sent.call.clone() }))
}

/// Returns what a VM's admin port says; `None` if it says nothing soon.
pub(crate) async fn admin(vm: &Vm, path: &str) -> Option<Value> {
    let asked = super::caller::read(vm.admin_address, path);
    tokio::time::timeout(Duration::from_secs(2), asked).await.ok().flatten()
}

async fn status(vm: &Vm) -> Option<Value> {
    admin(vm, "/status").await
}

/// First ports of the VMs' addresses, all below those that the system chooses and those that
/// tools which start daemons take on all loopback addresses.
///
/// Failure guarded against: a VM is gone, another fleet gets its port, and the
/// relays of the first fleet lead there. It shows as answers that nobody of the
/// cell gave. The guard holds because every fleet has ports of its own.
const PEER_PORTS: u16 = 10_000;
const CALLER_PORTS: u16 = 12_000;
const ADMIN_PORTS: u16 = 14_000;

/// Returns the last octet of a VM's IP address.
fn peer_host(index: usize) -> u8 {
    10 + index as u8
}

/// Returns an address that no other fleet uses, of this process or another.
fn own_address(port: u16, host: u8) -> SocketAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 1 + high % 254, low, host)), port)
}
