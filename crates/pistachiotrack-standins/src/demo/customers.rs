//! The demo's customers: API keys, a rotated key, and a customer beyond its rate limit.

use std::time::Duration;

use anyhow::Context;
use pistachiotrack_core::{
    admin::Status, api_key::ApiKeyDigest, config::Config, customer::CustomerRateLimit,
    refusal::Reason,
};
use serde::Serialize;

use crate::{
    caller::{Caller, Operation, RequestOutcome},
    deployment::Deployment,
    fleet::Fleet,
    load::WorkIds,
    workload::CALENDAR_LOOKUP,
};

const OLD_KEY: &str = "demo-old-key";
const NEW_KEY: &str = "demo-new-key";
const UNKNOWN_KEY: &str = "demo-key-of-nobody";
const LIMIT: CustomerRateLimit =
    CustomerRateLimit { requests_per_second: 5.0, burst_requests: 5.0 };
/// Requests that the customer sends at once, far beyond its limit.
const FLOOD: usize = 40;
/// Time within which a published configuration must be in force on all VMs.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(10);

/// What callers saw.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(super) struct CustomerReport {
    /// Reason with which a request with an unknown key was refused.
    pub(super) unknown_key: Option<String>,
    /// Requests with the keys of the customer that weren't served while one replaced the other.
    pub(super) failed_in_rotation: usize,
    /// Reason with which a request with the key that was taken away was refused.
    pub(super) old_key: Option<String>,
    /// Requests of the flood that were served, and that were refused as beyond the rate limit.
    pub(super) served: usize,
    pub(super) rate_limited: usize,
}

impl CustomerReport {
    /// Returns whether the keys and the limit held.
    pub(super) fn is_clean(&self) -> bool {
        let is_refused =
            |reason: &Option<String>| reason.as_deref() == Some(Reason::ApiKey.as_str());
        is_refused(&self.unknown_key)
            && is_refused(&self.old_key)
            && self.failed_in_rotation == 0
            && self.served > 0
            && self.rate_limited > 0
    }
}

/// Gives the customer a key, replaces it by another, and lets it send beyond a rate limit.
///
/// # Errors
///
/// Returns an error if a configuration isn't in force in time.
pub(super) async fn demonstrate(
    deployment: &Deployment,
    fleet: &mut Fleet,
) -> anyhow::Result<CustomerReport> {
    let caller = Caller::direct(fleet.caller_addresses());
    let mut demonstration = Demonstration { deployment, fleet, caller, ids: WorkIds::default() };
    let mut config = deployment.config.clone();
    demonstration.publish(&mut config, &[OLD_KEY], None).await?;
    let (_, unknown_key) = demonstration.send(UNKNOWN_KEY).await;
    let mut failed_in_rotation = 0;
    for keys in [&[OLD_KEY, NEW_KEY][..], &[NEW_KEY]] {
        demonstration.publish(&mut config, keys, None).await?;
        for key in keys {
            let (outcome, _) = demonstration.send(key).await;
            failed_in_rotation += usize::from(outcome != RequestOutcome::Ok);
        }
    }
    let (_, old_key) = demonstration.send(OLD_KEY).await;
    demonstration.publish(&mut config, &[NEW_KEY], Some(LIMIT)).await?;
    let mut flood = Vec::new();
    for _ in 0..FLOOD {
        flood.push(demonstration.send(NEW_KEY).await);
    }
    let rate_limited = Some(Reason::RateLimited.as_str());
    let is_limited = |(_, reason): &&(_, Option<String>)| reason.as_deref() == rate_limited;
    Ok(CustomerReport {
        unknown_key,
        failed_in_rotation,
        old_key,
        served: flood.iter().filter(|(outcome, _)| *outcome == RequestOutcome::Ok).count(),
        rate_limited: flood.iter().filter(is_limited).count(),
    })
}

struct Demonstration<'a> {
    deployment: &'a Deployment,
    fleet: &'a mut Fleet,
    caller: Caller,
    ids: WorkIds,
}

impl Demonstration<'_> {
    /// Publishes a configuration with these keys and waits until it is in force on all VMs.
    async fn publish(
        &mut self,
        config: &mut Config,
        keys: &[&str],
        rate_limit: Option<CustomerRateLimit>,
    ) -> anyhow::Result<()> {
        config.version += 1;
        config.api_keys_required = true;
        let customer = config
            .customers
            .iter_mut()
            .find(|customer| customer.name.as_str() == CALENDAR_LOOKUP.customer)
            .context("the deployment has no customer of the demo")?;
        customer.api_keys =
            keys.iter().map(|key| key.parse::<ApiKeyDigest>()).collect::<Result<_, _>>()?;
        customer.rate_limit = rate_limit;
        self.deployment.platform.publish(config)?;
        let version = Some(config.version);
        let is_in_force = |status: &Status| status.config_version == version;
        self.fleet.wait_until("configuration in force", IN_FORCE_LIMIT, is_in_force).await?;
        Ok(())
    }

    /// Sends a request with a key; returns its outcome and the reason of a refusal.
    async fn send(&self, key: &'static str) -> (RequestOutcome, Option<String>) {
        let operation = Operation { api_key: Some(key), ..CALENDAR_LOOKUP };
        let sample = self.caller.send(&operation, self.ids.next()).await;
        (sample.outcome, sample.reason.map(String::from))
    }
}
