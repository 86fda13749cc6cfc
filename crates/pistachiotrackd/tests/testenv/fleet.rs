//! Several daemons in one process, which can be crashed independently.

use std::{
    collections::BTreeMap,
    future::Future,
    net::SocketAddr,
    time::{Duration, Instant},
};

use pistachiotrack_core::{header, name::Name};
use pistachiotrackd::{daemon::Daemon, settings::Settings};
use serde_json::{Value, json};
use tokio::{
    runtime::{Builder, Runtime},
    task::{JoinHandle, JoinSet},
};

use super::{client, config, endpoint::Endpoint, platform::Platform, settings};

/// Time limit of a whole test; only a test that hangs reaches it.
const TEST_LIMIT: Duration = Duration::from_secs(120);

/// Runs a test and fails it when it hangs.
pub(crate) async fn bounded<T>(test: impl Future<Output = T>) -> T {
    tokio::time::timeout(TEST_LIMIT, test).await.expect("the test should end in time")
}

/// A daemon on its own threads, so that it can be crashed independently.
pub(crate) struct Vm {
    pub(crate) name: String,
    /// Address that callers connect to.
    pub(crate) caller: SocketAddr,
    /// Address that other VMs use.
    pub(crate) peer: SocketAddr,
    /// Address of the admin port.
    pub(crate) admin: SocketAddr,
    daemon: Option<Daemon>,
    runtime: Option<Runtime>,
}

impl Vm {
    /// Starts a daemon that reads from `platform`.
    pub(crate) async fn start(name: &str, platform: SocketAddr) -> Vm {
        Vm::start_in_deployment("timeliten", name, platform).await
    }

    /// Starts a daemon of the given deployment.
    pub(crate) async fn start_in_deployment(
        deployment: &str,
        name: &str,
        platform: SocketAddr,
    ) -> Vm {
        let mut settings = settings(name, platform, json!({}));
        settings.deployment = Name::from(deployment);
        Vm::start_with(settings).await
    }

    /// Starts a daemon with the given settings.
    pub(crate) async fn start_with(settings: Settings) -> Vm {
        let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
        let name = settings.vm.to_string();
        let daemon = runtime.spawn(Daemon::start(settings)).await.unwrap().unwrap();
        Vm {
            name,
            caller: daemon.caller_address(),
            peer: daemon.peer_address(),
            admin: daemon.admin_address(),
            daemon: Some(daemon),
            runtime: Some(runtime),
        }
    }

    /// Runs the daemon until it stops by itself.
    pub(crate) fn run(&mut self) -> JoinHandle<()> {
        let daemon = self.daemon.take().unwrap();
        self.runtime.as_ref().unwrap().spawn(async { daemon.run_until_signal().await.unwrap() })
    }

    /// Blocks or unblocks the paths from this VM to endpoints.
    pub(crate) fn set_paths_blocked(&self, endpoints: &[&Endpoint], is_blocked: bool) {
        let daemon = self.daemon.as_ref().unwrap();
        endpoints.iter().for_each(|endpoint| daemon.set_path_blocked(endpoint.address, is_blocked));
    }

    /// Begins to stop the daemon gracefully.
    pub(crate) fn stop(&mut self) -> JoinHandle<()> {
        let daemon = self.daemon.take().unwrap();
        self.runtime.as_ref().unwrap().spawn(daemon.stop())
    }

    /// Ends the daemon at once: its sockets close, and it notifies no peer.
    pub(crate) fn crash(&mut self) {
        self.runtime.take().unwrap().shutdown_background();
    }

    /// Returns the daemon's status from its admin port.
    pub(crate) async fn status(&self) -> Value {
        client::admin(self.admin, "/status").await
    }

    /// Returns a counter of the daemon.
    pub(crate) async fn counter(&self, name: &str) -> u64 {
        counter(&self.status().await, name)
    }

    /// Returns this VM's entry in the platform's list of VMs.
    pub(crate) fn vm_list_entry(&self) -> Value {
        vm_list_entry(&self.name, self.peer, self.caller)
    }

    /// Returns the entry addresses that the VM returns to callers of a service.
    pub(crate) async fn entries(&self, service: &str) -> Vec<SocketAddr> {
        let path = format!("{}?service={service}", header::ENTRIES_PATH);
        let answer = client::admin(self.caller, &path).await;
        let Some(entries) = answer["entries"].as_array() else { return Vec::new() };
        entries.iter().map(|entry| entry["address"].as_str().unwrap().parse().unwrap()).collect()
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Returns an entry of the platform's list of VMs.
pub(crate) fn vm_list_entry(name: &str, peer: SocketAddr, caller: SocketAddr) -> Value {
    json!({"name": name, "data_centre": "oslo-1", "peer_address": peer, "caller_address": caller})
}

/// Publishes a list of VMs.
pub(crate) fn publish_vm_list(platform: &Platform, version: u64, lines: &[Value]) {
    platform.publish_vms(json!({"version": version, "vms": lines}));
}

/// Returns the value of a counter in a status.
pub(crate) fn counter(status: &Value, name: &str) -> u64 {
    let counters = status["counters"].as_array().unwrap();
    let counter = counters.iter().find(|counter| counter["name"] == name);
    counter.unwrap_or_else(|| panic!("no counter {name}"))["value"].as_u64().unwrap()
}

/// Returns whether a status lists a shard as owned.
pub(crate) fn owns(status: &Value, shard: &str) -> bool {
    status["shards"].as_array().unwrap().iter().any(|owned| owned == shard)
}

/// Waits until a condition is met.
pub(crate) async fn wait_until<F>(condition: impl Fn() -> F)
where
    F: Future<Output = bool>,
{
    while !condition().await {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns whether the VMs at these admin ports all list each other as alive and
/// each shard has exactly one owner among them.
pub(crate) async fn has_converged(admins: &[SocketAddr]) -> bool {
    let mut owners: BTreeMap<String, u32> = BTreeMap::new();
    for admin in admins {
        let status = client::admin(*admin, "/status").await;
        let members = client::admin(*admin, "/members").await;
        let members = members.as_array().unwrap();
        let alive = members.iter().filter(|member| member["state"] == "alive").count();
        if alive != admins.len() || status["state"] != "serving" {
            return false;
        }
        for shard in status["shards"].as_array().unwrap() {
            *owners.entry(shard.to_string()).or_default() += 1;
        }
    }
    owners.len() == 2 && owners.values().all(|count| *count == 1)
}

/// A platform and a fleet that serves with a configuration of the tests.
pub(crate) struct Fleet {
    pub(crate) platform: Platform,
    pub(crate) vms: Vec<Vm>,
}

impl Fleet {
    /// Starts a fleet and waits until its VMs agree on the owners.
    pub(crate) async fn start(count: usize, config: Value) -> Fleet {
        let platform = Platform::start().await;
        platform.publish_config(config);
        let mut vms = Vec::new();
        for index in 0..count {
            vms.push(Vm::start(&format!("vm-{index:02}"), platform.address).await);
        }
        let fleet = Fleet { platform, vms };
        fleet.publish_vm_list(2);
        let admins = fleet.admins();
        wait_until(|| has_converged(&admins)).await;
        fleet
    }

    /// Publishes the list of the fleet's VMs.
    pub(crate) fn publish_vm_list(&self, version: u64) {
        let lines: Vec<Value> = self.vms.iter().map(Vm::vm_list_entry).collect();
        publish_vm_list(&self.platform, version, &lines);
    }

    /// Returns the admin ports of all VMs.
    pub(crate) fn admins(&self) -> Vec<SocketAddr> {
        self.vms.iter().map(|vm| vm.admin).collect()
    }

    /// Returns the index of the VM that owns a shard.
    pub(crate) async fn owner(&self, shard: &str) -> usize {
        loop {
            for (index, vm) in self.vms.iter().enumerate() {
                if owns(&vm.status().await, shard) {
                    return index;
                }
            }
        }
    }
}

/// Returns the address of an unavailable platform: it closes each connection.
pub(crate) async fn unavailable_platform() -> SocketAddr {
    Endpoint::serve(|stream| async move { drop(stream) }).await.address
}

/// Starts VMs, two of which in each data centre are dispatchers of [`SEARCH`](super::SEARCH).
pub(crate) async fn start_dispatchers(count: usize, search: &[SocketAddr]) -> (Platform, Vec<Vm>) {
    start_with_config(count, dispatched_config(search)).await
}

/// Returns a configuration with two dispatchers of [`SEARCH`](super::SEARCH) in each data centre.
pub(crate) fn dispatched_config(search: &[SocketAddr]) -> Value {
    let mut config = config(1, search, &[]);
    config["services"][0]["dispatchers_per_data_centre"] = json!(2);
    config
}

/// Starts VMs and waits until all see each other.
pub(crate) async fn start_with_config(count: usize, config: Value) -> (Platform, Vec<Vm>) {
    let platform = Platform::start().await;
    platform.publish_config(config);
    let mut vms = Vec::new();
    for index in 0..count {
        vms.push(Vm::start(&format!("vm-{index:02}"), platform.address).await);
    }
    let lines: Vec<_> = vms.iter().map(Vm::vm_list_entry).collect();
    publish_vm_list(&platform, 2, &lines);
    for vm in &vms {
        client::wait_until_serving(vm.admin).await;
        client::wait_for(vm.admin, "/members", |members| {
            let alive = |member: &&Value| member["state"] == "alive";
            members.as_array().unwrap().iter().filter(alive).count() == count
        })
        .await;
    }
    (platform, vms)
}

/// Time between two requests of [`send_periodically`].
const SEND_INTERVAL: Duration = Duration::from_millis(50);

/// Sends a request to the VMs in turn until `until`, without waiting for answers. Returns
/// for each request when it was sent and its status, which is 0 without an answer.
pub(crate) async fn send_periodically(
    vms: &[Vm],
    path: &'static str,
    until: Instant,
) -> Vec<(Instant, u16)> {
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
        tokio::time::sleep(SEND_INTERVAL).await;
    }
    answers.join_all().await
}
