//! One run of a fleet under load, with or without something going wrong.

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

/// Settings of a run.
#[derive(Clone, Copy, Debug)]
pub(super) struct TrialSettings {
    /// Which deployment runs.
    pub(super) kind: Kind,
    /// VMs of the fleet.
    pub(super) vms: usize,
    /// Time of the load.
    pub(super) duration: Duration,
    /// Share of the slots that the load uses.
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

/// Time allowed for the daemons to serve.
const START_LIMIT: Duration = Duration::from_secs(60);
/// Groups of callers, each of which knows its own part of the VMs.
const CALLER_GROUPS: usize = 2;
/// Callers of each group that are steered; one more is not.
const CALLERS: usize = 3;

/// A fleet that serves, behind relays.
pub(super) struct Trial {
    pub(super) settings: TrialSettings,
    pub(super) deployment: Deployment,
    pub(super) fleet: Fleet,
    pub(super) links: Links,
}

/// What the callers of a run saw and what it did to the endpoints.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Outcome {
    /// What came of the requests.
    #[serde(flatten)]
    pub(super) counts: Counts,
    /// Share of the requests that ended in success.
    pub(super) goodput: f64,
    /// AddedLatency by the fleet to requests of steered callers.
    pub(super) added: AddedLatency,
    /// AddedLatency by the fleet to requests that are forwarded.
    pub(super) unsteered: AddedLatency,
    /// Most requests above an endpoint's slots.
    pub(super) slot_overshoot: u32,
    /// Requests that endpoints refused unrun.
    pub(super) shed: u64,
}

impl Trial {
    /// Starts a fleet behind relays and waits until it serves.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not serve in time.
    pub(super) async fn start(
        binary: &DaemonBinary,
        settings: TrialSettings,
    ) -> anyhow::Result<Trial> {
        let deployment = Deployment::start(settings.kind, settings.seed).await?;
        let links = Links::new(settings.seed);
        let mut fleet = Fleet::start(binary, &deployment, settings.vms, Some(&links)).await?;
        fleet.wait_until_settled(deployment.shards(), START_LIMIT).await?;
        Ok(Trial { settings, deployment, fleet, links })
    }

    /// Sends the load to a fleet of its own that nothing disturbs.
    ///
    /// # Errors
    ///
    /// Returns an error if the fleet does not serve in time.
    pub(super) async fn undisturbed(
        binary: &DaemonBinary,
        settings: TrialSettings,
    ) -> anyhow::Result<Outcome> {
        let mut trial = Trial::start(binary, settings).await?;
        Ok(trial.run(async |_, _, _| Ok(())).await?.0)
    }

    /// Sends the load while `disturb` runs.
    ///
    /// # Errors
    ///
    /// Returns the error of `disturb`.
    pub(super) async fn run<T>(
        &mut self,
        disturb: impl AsyncFnOnce(&Deployment, &mut Fleet, &Links) -> anyhow::Result<T>,
    ) -> anyhow::Result<(Outcome, T)> {
        let TrialSettings { kind, duration, load, seed, .. } = self.settings;
        let operations = operations(kind.work(), &self.deployment.config, load);
        let callers = callers(&self.fleet);
        let load = LoadSettings { duration, ids: WorkIds::default(), seed };
        let (samples, disturbed) = tokio::join!(
            generate_load(&callers, &operations, load),
            disturb(&self.deployment, &mut self.fleet, &self.links)
        );
        let counts = Counts::of(&samples, &self.deployment.execution_counter);
        let outcome = Outcome {
            goodput: counts.goodput(),
            added: AddedLatency::of(samples.iter().filter(|sample| sample.steered)),
            unsteered: AddedLatency::of(samples.iter().filter(|sample| !sample.steered)),
            slot_overshoot: self.deployment.slot_overshoot(),
            shed: self.deployment.endpoints.iter().map(|endpoint| endpoint.counts().shed).sum(),
            counts,
        };
        Ok((outcome, disturbed?))
    }
}

/// Returns callers of which each group knows only its own part of the VMs, in
/// the order of the VMs.
fn callers(fleet: &Fleet) -> Vec<Caller> {
    let addresses = fleet.caller_addresses();
    let part = addresses.len().div_ceil(CALLER_GROUPS);
    addresses
        .chunks(part)
        .flat_map(|known| {
            let steered = (0..CALLERS).map(|_| Caller::new(known.to_vec()));
            steered.chain([Caller::unsteered(known.to_vec())])
        })
        .collect()
}
