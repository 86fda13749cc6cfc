//! The daemons of one deployment and the platform's list of them.

use std::{
    net::SocketAddr,
    process::ExitStatus,
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
    admin::Admin,
    daemon::{Daemon, DaemonBinary, DaemonSettings, free_addresses},
    deployment::Deployment,
};

/// Time between two looks at daemons that aren't ready yet.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Addresses of a daemon: caller, peer and admin.
const ADDRESSES: usize = 3;

/// The running daemons of a deployment.
#[derive(Debug)]
pub struct Fleet {
    daemons: Vec<Daemon>,
    binary: DaemonBinary,
    list: VmList,
    admin: Admin,
}

impl Fleet {
    /// Publishes a list of `count` VMs and starts their daemons.
    ///
    /// # Errors
    ///
    /// Returns an error if a daemon can't be started.
    pub async fn start(
        binary: &DaemonBinary,
        deployment: &Deployment,
        count: usize,
    ) -> anyhow::Result<Fleet> {
        let settings = settings(deployment, count)?;
        let list = VmList { version: 1, vms: settings.iter().map(listed).collect() };
        deployment.platform.publish_vms(&list)?;
        let mut fleet =
            Fleet { daemons: Vec::new(), binary: binary.clone(), list, admin: Admin::default() };
        for settings in settings {
            fleet.daemons.push(binary.start(settings).await?);
        }
        Ok(fleet)
    }

    /// Returns the daemons.
    pub fn daemons(&self) -> &[Daemon] {
        &self.daemons
    }

    /// Returns the addresses that callers may ask.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.settings().caller_address).collect()
    }

    /// Returns the admin addresses.
    pub fn admin_addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.settings().admin_address).collect()
    }

    /// Asks all daemons for their status; those that don't answer are missing.
    pub async fn statuses(&self) -> Vec<Status> {
        let asked =
            self.daemons.iter().map(|daemon| self.admin.status(daemon.settings().admin_address));
        join_all(asked).await.into_iter().filter_map(Result::ok).collect()
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
            for daemon in &mut self.daemons {
                let vm = &daemon.settings().vm;
                let vm = vm.clone();
                anyhow::ensure!(daemon.is_running(), "the daemon of {vm} has ended");
            }
            if start.elapsed() > limit {
                let met = statuses.iter().filter(|status| ready(status)).count();
                let all = self.daemons.len();
                anyhow::bail!("{what}: {met} of {all} daemons after {limit:?}: {statuses:?}");
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }

    /// Waits until all daemons serve the configuration and know each other.
    ///
    /// # Errors
    ///
    /// Returns an error if that is not so within `limit`.
    pub async fn wait_until_serving(&mut self, limit: Duration) -> anyhow::Result<Duration> {
        let count = self.daemons.len() as u32;
        self.wait_until("serving", limit, |status| {
            status.state.as_str() == "serving"
                && status.config_version.is_some()
                && status.live_vms >= count
        })
        .await
    }

    /// Returns the VM that owns most shards.
    ///
    /// # Errors
    ///
    /// Returns an error if no daemon answers.
    pub async fn busiest(&self) -> anyhow::Result<Name> {
        let statuses = self.statuses().await;
        let busiest = statuses.into_iter().max_by_key(|status| status.shards.len());
        Ok(busiest.context("no daemon answers")?.vm)
    }

    /// Takes the daemon of a VM out of the fleet.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such VM.
    pub fn take(&mut self, vm: &str) -> anyhow::Result<Daemon> {
        let index = self
            .daemons
            .iter()
            .position(|daemon| daemon.settings().vm == vm)
            .with_context(|| format!("no VM {vm}"))?;
        Ok(self.daemons.remove(index))
    }

    /// Starts a daemon for a VM that was taken out, with the same settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be started.
    pub async fn replace(&mut self, settings: DaemonSettings) -> anyhow::Result<()> {
        self.daemons.push(self.binary.start(settings).await?);
        Ok(())
    }

    /// Marks a VM as leaving, or takes it off the list, and publishes the list.
    ///
    /// # Errors
    ///
    /// Returns an error if the list can't be published.
    pub fn publish_gone(&mut self, deployment: &Deployment, vm: &str) -> anyhow::Result<()> {
        self.list.vms.retain(|listed| listed.name.as_str() != vm);
        self.list.version += 1;
        Ok(deployment.platform.publish_vms(&self.list)?)
    }

    /// Marks a VM as leaving and publishes the list.
    ///
    /// # Errors
    ///
    /// Returns an error if the list can't be published.
    pub fn publish_leaving(&mut self, deployment: &Deployment, vm: &str) -> anyhow::Result<()> {
        for listed in self.list.vms.iter_mut().filter(|listed| listed.name.as_str() == vm) {
            listed.leaving = true;
        }
        self.list.version += 1;
        Ok(deployment.platform.publish_vms(&self.list)?)
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

fn settings(deployment: &Deployment, count: usize) -> anyhow::Result<Vec<DaemonSettings>> {
    let addresses = free_addresses(count * ADDRESSES)?;
    let centres = &deployment.config.data_centres;
    let settings =
        addresses.chunks_exact(ADDRESSES).enumerate().map(|(index, addresses)| DaemonSettings {
            vm: format!("vm-{:02}", index + 1),
            data_centre: centres[index % centres.len()].name.to_string(),
            deployment: deployment.config.deployment.to_string(),
            caller_address: addresses[0],
            peer_address: addresses[1],
            admin_address: addresses[2],
            platform_address: deployment.platform.address(),
        });
    Ok(settings.collect())
}

fn listed(settings: &DaemonSettings) -> ListedVm {
    ListedVm {
        name: Name::from(settings.vm.as_str()),
        data_centre: Name::from(settings.data_centre.as_str()),
        peer_address: settings.peer_address,
        caller_address: settings.caller_address,
        leaving: false,
    }
}
