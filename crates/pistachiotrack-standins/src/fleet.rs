//! The daemons of one deployment and the platform's list of them.

use std::{
    collections::BTreeSet,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    process::ExitStatus,
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::Context;
use futures_util::future::join_all;
use pistachiotrack_core::{
    admin::Status,
    name::Name,
    vm::{ListedVm, VmList},
};

use crate::{
    admin::AdminClient,
    daemon::{ConfigLease, Daemon, DaemonBinary, DaemonSettings, free_ports},
    deployment::Deployment,
    link::{Links, PLATFORM},
    link_proxy::{LinkProxy, Senders},
};

/// Time between two polls of daemons that aren't ready yet.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Time without any change after which a fleet counts as settled. A new owner uses only half
/// of its endpoints' slots during the takeover grace period.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Ports of a daemon: for callers, for peers, for the admin port, and for the link proxies in
/// front of its peer address and of its platform address.
const PORTS: usize = 5;

/// The running daemons of a deployment.
#[derive(Debug)]
pub struct Fleet {
    daemons: Vec<Daemon>,
    binary: DaemonBinary,
    vm_list: VmList,
    admin: AdminClient,
    _link_proxies: Vec<LinkProxy>,
}

impl Fleet {
    /// Publishes a list of `count` VMs and starts their daemons, with link proxies if `links`
    /// are given.
    ///
    /// # Errors
    ///
    /// Returns an error if a daemon can't be started.
    pub async fn start(
        binary: &DaemonBinary,
        deployment: &Deployment,
        count: usize,
        links: Option<&Links>,
    ) -> anyhow::Result<Fleet> {
        let settings = daemon_settings(deployment, count, links.is_some())?;
        let link_proxies = link_proxies(&settings, links, deployment.platform.address()).await?;
        let vm_list = VmList { version: 1, vms: settings.iter().map(list_entry).collect() };
        deployment.platform.publish_vms(&vm_list)?;
        let mut fleet = Fleet {
            daemons: Vec::new(),
            binary: binary.clone(),
            vm_list,
            admin: AdminClient::default(),
            _link_proxies: link_proxies,
        };
        for settings in settings {
            fleet.daemons.push(binary.start(settings).await?);
        }
        Ok(fleet)
    }

    /// Returns the daemons.
    pub fn daemons(&self) -> &[Daemon] {
        &self.daemons
    }

    /// Returns the addresses that callers connect to.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.settings().caller_address).collect()
    }

    /// Returns the admin addresses.
    pub fn admin_addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.settings().admin_address).collect()
    }

    /// Requests the status of all daemons; omits those that don't answer.
    pub async fn statuses(&self) -> Vec<Status> {
        let requests =
            self.daemons.iter().map(|daemon| self.admin.status(daemon.settings().admin_address));
        join_all(requests).await.into_iter().filter_map(Result::ok).collect()
    }

    /// Waits until `ready` holds for all daemons and returns the time it took.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not hold within `limit`.
    pub async fn wait_until(
        &mut self,
        what: &str,
        limit: Duration,
        ready: impl Fn(&Status) -> bool,
    ) -> anyhow::Result<Duration> {
        let start = Instant::now();
        loop {
            let statuses = self.statuses().await;
            if statuses.len() == self.daemons.len() && statuses.iter().all(&ready) {
                return Ok(start.elapsed());
            }
            self.check_running()?;
            if start.elapsed() > limit {
                let ready_count = statuses.iter().filter(|status| ready(status)).count();
                let all = self.daemons.len();
                let others: Vec<String> =
                    statuses.iter().filter(|status| !ready(status)).map(summary).collect();
                anyhow::bail!("{what}: {ready_count} of {all} daemons after {limit:?}: {others:?}");
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until all daemons serve, list each other as live, and each of the `shards` shards
    /// has had exactly one owner for `SETTLE_TIME`. Returns the time until this state began.
    ///
    /// # Errors
    ///
    /// Returns an error if this is not the case within `limit`.
    pub async fn wait_until_settled(
        &mut self,
        shards: usize,
        limit: Duration,
    ) -> anyhow::Result<Duration> {
        let count = self.daemons.len();
        let start = Instant::now();
        let mut settled: Option<Instant> = None;
        loop {
            let statuses = self.statuses().await;
            let serving = statuses.iter().filter(|status| {
                status.state.as_str() == "serving"
                    && status.config_version.is_some()
                    && status.live_vms as usize >= count
            });
            let owned: Vec<&Name> = statuses.iter().flat_map(|status| &status.shards).collect();
            if serving.count() < count || !are_owned_once(&owned, shards) {
                settled = None;
            } else if settled.get_or_insert_with(Instant::now).elapsed() >= SETTLE_TIME {
                return Ok(start.elapsed() - SETTLE_TIME);
            }
            self.check_running()?;
            if start.elapsed() > limit {
                let seen: Vec<String> = statuses.iter().map(summary).collect();
                anyhow::bail!("not settled after {limit:?}: {seen:?}");
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn check_running(&mut self) -> anyhow::Result<()> {
        for daemon in &mut self.daemons {
            let vm = daemon.settings().vm.clone();
            anyhow::ensure!(daemon.is_running(), "the daemon of VM {vm} exited");
        }
        Ok(())
    }

    /// Returns the VM that owns the most shards.
    ///
    /// # Errors
    ///
    /// Returns an error if no daemon answers.
    pub async fn busiest(&self) -> anyhow::Result<Name> {
        let statuses = self.statuses().await;
        let busiest = statuses.into_iter().max_by_key(|status| status.shards.len());
        Ok(busiest.context("no daemon responded")?.vm)
    }

    /// Removes the daemon of a VM from the fleet.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such VM.
    pub fn take(&mut self, vm: &str) -> anyhow::Result<Daemon> {
        let index = self
            .daemons
            .iter()
            .position(|daemon| daemon.settings().vm == vm)
            .with_context(|| format!("no VM named {vm}"))?;
        Ok(self.daemons.remove(index))
    }

    /// Adds a removed daemon to the fleet again.
    pub fn put_back(&mut self, daemon: Daemon) {
        self.daemons.push(daemon);
    }

    /// Starts a daemon for a removed VM with the given settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be started.
    pub async fn replace(&mut self, settings: DaemonSettings) -> anyhow::Result<()> {
        self.daemons.push(self.binary.start(settings).await?);
        Ok(())
    }

    /// Marks a VM as leaving and publishes the list.
    ///
    /// # Errors
    ///
    /// Returns an error if the list can't be published.
    pub fn publish_leaving(&mut self, deployment: &Deployment, vm: &str) -> anyhow::Result<()> {
        for entry in self.vm_list.vms.iter_mut().filter(|entry| entry.name.as_str() == vm) {
            entry.leaving = true;
        }
        self.vm_list.version += 1;
        Ok(deployment.platform.publish_vms(&self.vm_list)?)
    }
}

/// Asks a daemon to stop gracefully and waits for its end.
///
/// # Errors
///
/// Returns an error if it does not end within `limit`.
pub async fn stop_gracefully(
    daemon: &mut Daemon,
    limit: Duration,
) -> anyhow::Result<(ExitStatus, Duration)> {
    let start = Instant::now();
    daemon.terminate();
    let status = tokio::time::timeout(limit, daemon.wait())
        .await
        .with_context(|| format!("{} did not stop within {limit:?}", daemon.settings().vm))??;
    Ok((status, start.elapsed()))
}

fn are_owned_once(owned: &[&Name], shards: usize) -> bool {
    let distinct: BTreeSet<&Name> = owned.iter().copied().collect();
    owned.len() == shards && distinct.len() == shards
}

fn summary(status: &Status) -> String {
    let Status { vm, state, config_version, live_vms, shards, .. } = status;
    let (version, shards) = (config_version.unwrap_or(0), shards.len());
    format!("vm={vm} state={state} config_version={version} live_vms={live_vms} shards={shards}")
}

fn daemon_settings(
    deployment: &Deployment,
    count: usize,
    behind_link_proxies: bool,
) -> anyhow::Result<Vec<DaemonSettings>> {
    let ports = free_ports(count * PORTS)?;
    let centres = &deployment.config.data_centres;
    let local = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    let settings = ports.chunks_exact(PORTS).enumerate().map(|(index, ports)| DaemonSettings {
        vm: format!("vm-{:02}", index + 1),
        data_centre: centres[index % centres.len()].name.to_string(),
        deployment: deployment.config.deployment.to_string(),
        caller_address: local(ports[0]),
        peer_address: match behind_link_proxies {
            true => SocketAddr::from((vm_ip(index), ports[1])),
            false => local(ports[1]),
        },
        advertised_peer_address: behind_link_proxies.then_some(local(ports[3])),
        admin_address: local(ports[2]),
        platform_address: match behind_link_proxies {
            true => local(ports[4]),
            false => deployment.platform.address(),
        },
        stop_grace_s: deployment.stop_grace_s,
        entry_drain_ms: deployment.entry_drain_ms,
        fault_injection: true,
        expected_vms: count,
        config_lease: deployment.key_max_age_s.map(|max_age_s| ConfigLease { max_age_s }),
    });
    Ok(settings.collect())
}

/// Returns a loopback address that only one VM uses, so that link proxies can identify the
/// sender.
fn vm_ip(index: usize) -> Ipv4Addr {
    let [_, _, high, low] = (index as u32 + 1).to_be_bytes();
    Ipv4Addr::new(127, 1, high, low)
}

/// Starts for each VM a proxy in front of its peer address and one in front of the platform.
async fn link_proxies(
    settings: &[DaemonSettings],
    links: Option<&Links>,
    platform: SocketAddr,
) -> anyhow::Result<Vec<LinkProxy>> {
    let ips = settings.iter().enumerate().map(|(index, vm)| (vm.peer_address.ip(), index));
    let senders: Senders = Arc::new(ips.collect());
    let mut link_proxies = Vec::new();
    for (index, vm) in settings.iter().enumerate() {
        let Some((links, address)) = links.zip(vm.advertised_peer_address) else { break };
        let to_vm =
            LinkProxy::start(address, index, vm.peer_address, links.clone(), Arc::clone(&senders));
        link_proxies.push(to_vm.await?);
        // Only this VM connects to this proxy.
        let only_sender = [(IpAddr::V4(Ipv4Addr::LOCALHOST), index)].into_iter().collect();
        let to_platform = LinkProxy::start(
            vm.platform_address,
            PLATFORM,
            platform,
            links.clone(),
            Arc::new(only_sender),
        );
        link_proxies.push(to_platform.await?);
    }
    Ok(link_proxies)
}

fn list_entry(settings: &DaemonSettings) -> ListedVm {
    ListedVm {
        name: Name::from(settings.vm.as_str()),
        data_centre: Name::from(settings.data_centre.as_str()),
        peer_address: settings.advertised_peer_address.unwrap_or(settings.peer_address),
        caller_address: settings.caller_address,
        leaving: false,
    }
}
