//! One run of a fleet under load, with or without a disruption.

use std::time::Duration;

use serde::Serialize;

use crate::{
    caller::Caller,
    daemon::DaemonBinary,
    deployment::{Deployment, Kind},
    fleet::Fleet,
    link::Links,
    load::{LoadSettings, WorkIds, generate_load},
    summary::{AddedLatency, Counts},
    workload::operations,
};

/// Settings of a trial.
#[derive(Clone, Copy, Debug)]
pub(super) struct TrialSettings {
    /// Which deployment runs.
    pub(super) kind: Kind,
    /// Number of VMs of the fleet.
    pub(super) vms: usize,
    /// Duration of the load.
    pub(super) duration: Duration,
    /// Load as a fraction of the endpoints' slots.
    pub(super) load: f64,
    /// Seed of the load, the endpoints and the links.
    pub(super) seed: u64,
}

impl Default for TrialSettings {
    fn default() -> TrialSettings {
        TrialSettings {
            kind: Kind::Timeliten,
            vms: 6,
            duration: Duration::from_secs(20),
            load: 0.6,
            seed: 1,
        }
    }
}

/// Time within which the daemons must serve requests.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of groups of callers; each group uses its own part of the VMs.
const CALLER_GROUPS: usize = 2;
/// Number of steered callers in each group, which also has one unsteered caller.
const STEERED_CALLERS: usize = 3;

/// A running fleet behind link proxies.
pub(super) struct Trial {
    pub(super) settings: TrialSettings,
    pub(super) deployment: Deployment,
    pub(super) fleet: Fleet,
    pub(super) links: Links,
}

/// Results of a trial as measured by the callers and the endpoints.
#[derive(Clone, Debug, Serialize)]
pub(super) struct TrialResult {
    /// Requests by outcome.
    #[serde(flatten)]
    pub(super) counts: Counts,
    /// Fraction of the requests that succeeded.
    pub(super) goodput: f64,
    /// Latency that the fleet adds to requests of steered callers.
    pub(super) added: AddedLatency,
    /// Latency that the fleet adds to requests of unsteered callers, which are forwarded.
    pub(super) unsteered: AddedLatency,
    /// Largest number of requests beyond an endpoint's slots.
    pub(super) slot_overshoot: u32,
    /// Number of requests that endpoints shed.
    pub(super) shed: u64,
}

impl Trial {
    /// Starts a fleet behind link proxies and waits until it serves requests.
    ///
    /// # Errors
    ///
    /// Returns an error if the fleet does not serve requests in time.
    pub(super) async fn start(
        binary: &DaemonBinary,
        settings: TrialSettings,
    ) -> anyhow::Result<Trial> {
        let deployment = Deployment::start(settings.kind, settings.seed).await?;
        let links = Links::new(settings.seed);
        let mut fleet = Fleet::start(binary, &deployment, settings.vms, Some(&links)).await?;
        fleet.wait_until_settled(deployment.shards(), START_TIMEOUT).await?;
        Ok(Trial { settings, deployment, fleet, links })
    }

    /// Runs the load against a separate, undisturbed fleet.
    ///
    /// # Errors
    ///
    /// Returns an error if the fleet does not serve requests in time.
    pub(super) async fn run_baseline(
        binary: &DaemonBinary,
        settings: TrialSettings,
    ) -> anyhow::Result<TrialResult> {
        let mut trial = Trial::start(binary, settings).await?;
        Ok(trial.run(async |_, _, _| Ok(())).await?.0)
    }

    /// Runs the load while `disrupt` runs.
    ///
    /// # Errors
    ///
    /// Returns the error of `disrupt`.
    pub(super) async fn run<T>(
        &mut self,
        disrupt: impl AsyncFnOnce(&Deployment, &mut Fleet, &Links) -> anyhow::Result<T>,
    ) -> anyhow::Result<(TrialResult, T)> {
        let TrialSettings { kind, duration, load, seed, .. } = self.settings;
        let operations = operations(kind.work(), &self.deployment.config, load);
        let callers = callers(&self.fleet);
        let load = LoadSettings { duration, ids: WorkIds::default(), seed };
        let (samples, disruption_result) = tokio::join!(
            generate_load(&callers, &operations, load),
            disrupt(&self.deployment, &mut self.fleet, &self.links)
        );
        let counts = Counts::of(&samples, &self.deployment.execution_counter);
        let result = TrialResult {
            goodput: counts.goodput(),
            added: AddedLatency::of(samples.iter().filter(|sample| sample.steered)),
            unsteered: AddedLatency::of(samples.iter().filter(|sample| !sample.steered)),
            slot_overshoot: self.deployment.slot_overshoot(),
            shed: self.deployment.endpoints.iter().map(|endpoint| endpoint.counts().shed).sum(),
            counts,
        };
        Ok((result, disruption_result?))
    }
}

/// Returns the callers; each group knows only the addresses of its own part of the VMs, in the
/// order of the VMs.
fn callers(fleet: &Fleet) -> Vec<Caller> {
    let addresses = fleet.caller_addresses();
    let group_size = addresses.len().div_ceil(CALLER_GROUPS);
    addresses
        .chunks(group_size)
        .flat_map(|group_addresses| {
            let steered = (0..STEERED_CALLERS).map(|_| Caller::new(group_addresses.to_vec()));
            steered.chain([Caller::unsteered(group_addresses.to_vec())])
        })
        .collect()
}
