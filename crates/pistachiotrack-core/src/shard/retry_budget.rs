//! Retry budget of a shard.

use std::ops::Add;

use super::{Shard, ShardAction, ShardSettings};
use crate::{
    config::Config,
    hash,
    retry::{
        BudgetSettings, FleetRetryBudget, RetryBudget, RetryForecast, RetryRights, RightsGrant,
        RightsRequest, VisibleDispatchers,
    },
    service::Service,
    time::Time,
};

/// Numbers of requests that could be sent again after a failed attempt, by what the retry limit said.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryCounts {
    /// Those for which it left a retry, since the shard was created.
    pub granted_total: u64,
    /// Those for which it left none, since then.
    pub denied_total: u64,
}

impl Add for RetryCounts {
    type Output = RetryCounts;

    fn add(self, other: RetryCounts) -> RetryCounts {
        RetryCounts {
            granted_total: self.granted_total + other.granted_total,
            denied_total: self.denied_total + other.denied_total,
        }
    }
}

impl RetryCounts {
    fn record(&mut self, is_granted: bool) {
        let total = if is_granted { &mut self.granted_total } else { &mut self.denied_total };
        *total += 1;
    }
}

#[derive(Clone, Debug)]
pub(super) enum ShardRetryBudget {
    /// Budget of an owner, which sends all of the shard's requests.
    Owner(RetryBudget),
    /// Budget that the dispatchers of a shared service maintain together.
    Fleet(Box<FleetRetryBudget>),
}

impl ShardRetryBudget {
    pub(super) fn new(
        now: Time,
        settings: &ShardSettings,
        config: &Config,
        name: &str,
    ) -> ShardRetryBudget {
        let mut retry_budget =
            ShardRetryBudget::Owner(RetryBudget::new(now, BudgetSettings::default()));
        let Some(service) = config.service(name) else { return retry_budget };
        if let (true, Some(limit)) = (service.is_shared(), service.retry_limit) {
            // An answer to an earlier start of this shard must not be taken for one to this start.
            let start_seed = settings.seed ^ now.as_micros();
            let first_request_id = hash::fnv(&start_seed.to_le_bytes()) as u32;
            let expected = expected_dispatchers(config, service);
            let mut budget = FleetRetryBudget::new(
                now,
                limit,
                expected,
                first_request_id,
                settings.prior_retries,
            );
            budget.set_exchanges_rights(settings.feature_flags.retry_exchange);
            retry_budget = ShardRetryBudget::Fleet(Box::new(budget));
        }
        retry_budget.configure(now, config, service);
        retry_budget
    }

    /// Applies a new configuration. Whether the service is shared stays as it was when the shard
    /// started.
    pub(super) fn configure(&mut self, now: Time, config: &Config, service: &Service) {
        let Some(limit) = service.retry_limit else { return };
        match self {
            ShardRetryBudget::Owner(budget) => budget.set_settings(BudgetSettings::within(limit)),
            ShardRetryBudget::Fleet(budget) => {
                budget.configure(now, limit, expected_dispatchers(config, service));
            }
        }
    }

    /// Records a request that is sent for the first time.
    pub(super) fn on_request(&mut self, now: Time) {
        if let ShardRetryBudget::Fleet(budget) = self {
            budget.on_request(now);
        }
    }

    /// Records a complete answer.
    pub(super) fn on_success(&mut self) {
        if let ShardRetryBudget::Owner(budget) = self {
            budget.on_success();
        }
    }

    /// Takes a retry after a failed trial and returns whether there was one. An owner's limit has
    /// room for it.
    pub(super) fn take_after_trial(&mut self, now: Time) -> bool {
        match self {
            ShardRetryBudget::Owner(_) => true,
            ShardRetryBudget::Fleet(budget) => budget.take(now),
        }
    }

    /// Returns whether a trial may be started: if it fails, its request needs a retry.
    pub(super) fn allows_trial(&mut self, now: Time) -> bool {
        match self {
            ShardRetryBudget::Owner(_) => true,
            ShardRetryBudget::Fleet(budget) => budget.has_retry(now),
        }
    }

    /// Takes one retry and returns whether there was one.
    pub(super) fn take(&mut self, now: Time) -> bool {
        match self {
            ShardRetryBudget::Owner(budget) => budget.take(now),
            ShardRetryBudget::Fleet(budget) => budget.take(now),
        }
    }

    /// Takes one retry for a held request and returns whether there was one.
    pub(super) fn take_for_held(&mut self, now: Time) -> bool {
        match self {
            ShardRetryBudget::Owner(budget) => budget.take(now),
            ShardRetryBudget::Fleet(budget) => budget.take_for_held(now),
        }
    }

    /// Returns when retries will be available.
    pub(super) fn forecast(&mut self, now: Time) -> RetryForecast {
        match self {
            ShardRetryBudget::Owner(budget) => budget.forecast(now),
            ShardRetryBudget::Fleet(budget) => budget.forecast(now),
        }
    }

    /// Takes a retry that only reduces latency and returns whether one could be spared.
    pub(super) fn take_for_hedge(&mut self, now: Time) -> bool {
        match self {
            ShardRetryBudget::Owner(budget) => budget.take_for_hedge(now),
            ShardRetryBudget::Fleet(budget) => budget.take_for_hedge(now),
        }
    }

    /// Returns whether more retries remain than half of what is allowed.
    ///
    /// A request that explores an endpoint with an elevated risk fails there more often than not
    /// and needs a retry. Without one, its caller gets the failure.
    pub(super) fn has_spare_retries(&mut self, now: Time) -> bool {
        match self {
            ShardRetryBudget::Owner(_) => true,
            ShardRetryBudget::Fleet(budget) => budget.has_spare_retries(now),
        }
    }

    /// Returns the budget that is maintained together with other VMs, if it is one.
    pub(super) fn fleet(&mut self) -> Option<&mut FleetRetryBudget> {
        match self {
            ShardRetryBudget::Owner(_) => None,
            ShardRetryBudget::Fleet(budget) => Some(budget),
        }
    }
}

impl Shard {
    /// Returns for how many requests the retry limit left a retry, and for how many none.
    pub fn retries(&self) -> RetryCounts {
        self.retry_counts
    }

    /// Takes a retry for a request whose last attempt has failed, and returns whether there was one.
    pub(super) fn take_retry(&mut self, now: Time) -> bool {
        let is_granted = self.retry_budget.take(now);
        self.retry_counts.record(is_granted);
        is_granted
    }

    /// Does the same after a failed trial.
    pub(super) fn take_retry_after_trial(&mut self, now: Time) -> bool {
        let is_granted = self.retry_budget.take_after_trial(now);
        self.retry_counts.record(is_granted);
        is_granted
    }

    /// Applies the set of dispatchers that this VM sees; returns whether this VM has just become
    /// one of them and has to request a snapshot.
    pub fn set_dispatchers(&mut self, now: Time, visible: VisibleDispatchers) -> bool {
        self.dispatchers = visible.count.max(1);
        let share = self.rate_share(visible);
        self.pool.set_rate_share(share);
        self.retry_budget.fleet().is_some_and(|budget| budget.set_visible_dispatchers(now, visible))
    }

    /// Answers another VM that has asked for rights to send retries.
    pub fn on_rights_request(&mut self, now: Time, request: RightsRequest) -> Option<RightsGrant> {
        Some(self.retry_budget.fleet()?.on_rights_request(now, request))
    }

    /// Applies the rights that another VM has given.
    pub fn on_rights_grant(&mut self, now: Time, grant: RightsGrant) -> Vec<ShardAction> {
        if let Some(budget) = self.retry_budget.fleet() {
            budget.on_rights_grant(now, grant);
        }
        self.advance(now)
    }

    /// Returns the rights to send retries that this VM would give to others.
    pub(super) fn spare_retries(&mut self, now: Time) -> RetryRights {
        self.retry_budget.fleet().map(|budget| budget.spare(now)).unwrap_or_default()
    }

    /// Returns the number of VMs to report to the other dispatchers, if this one has joined.
    pub(super) fn known_vms(&mut self) -> Option<u32> {
        self.retry_budget.fleet()?.known_vms()
    }

    /// Asks other VMs for rights to send retries if this one will need more than it has.
    pub(super) fn request_retry_rights(&mut self, now: Time) {
        let held = self.held_retries.len();
        let Some(budget) = self.retry_budget.fleet() else { return };
        let requests = budget.rights_requests(now, held);
        let action = |(to, request)| ShardAction::RequestRetryRights { to, request };
        self.pending_actions.extend(requests.into_iter().map(action));
    }
}

fn expected_dispatchers(config: &Config, service: &Service) -> u32 {
    let data_centres = config.data_centres.len().max(1) as u32;
    service.dispatchers_per_data_centre * data_centres
}
