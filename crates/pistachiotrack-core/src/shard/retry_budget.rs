//! Retry budget of a shard.

use super::{Shard, ShardSettings};
use crate::{
    config::Config,
    hash,
    retry::{BudgetSettings, FleetRetryBudget, RetryBudget, RetryForecast, VisibleDispatchers},
    service::Service,
    time::Time,
};

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
            // A shard that this process starts again needs a new counter, so the id differs at
            // each start.
            let start_seed = settings.seed ^ now.as_micros();
            let count_id = hash::fnv(&start_seed.to_le_bytes()) as u32;
            let expected = expected_dispatchers(config, service);
            let mut budget = FleetRetryBudget::new(now, limit, expected, count_id);
            budget.set_divides_remaining(settings.feature_flags.retry_division);
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

    /// Records a retry that is sent regardless of the limit.
    pub(super) fn record_retry(&mut self, now: Time) {
        if let ShardRetryBudget::Fleet(budget) = self {
            budget.record_retry(now);
        }
    }

    /// Takes one retry and returns whether there was one.
    pub(super) fn take(&mut self, now: Time) -> bool {
        match self {
            ShardRetryBudget::Owner(budget) => budget.take(now),
            ShardRetryBudget::Fleet(budget) => budget.take(now),
        }
    }

    /// Takes one retry for a request that can wait for it and returns whether there was one.
    pub(super) fn take_for_held(&mut self, now: Time) -> bool {
        match self {
            ShardRetryBudget::Owner(budget) => budget.take(now),
            ShardRetryBudget::Fleet(budget) => budget.take_for_held(now),
        }
    }

    /// Takes one retry for one of several requests that wait for it and returns whether there was
    /// one.
    pub(super) fn take_for_backlog(&mut self, now: Time) -> bool {
        match self {
            ShardRetryBudget::Owner(budget) => budget.take(now),
            ShardRetryBudget::Fleet(budget) => budget.take_for_backlog(now),
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
    /// Applies the set of dispatchers that this VM sees; returns whether this VM has just become
    /// one of them and has to request a snapshot.
    pub fn set_dispatchers(&mut self, now: Time, visible: VisibleDispatchers) -> bool {
        self.dispatchers = visible.count.max(1);
        let share = self.rate_share(visible);
        self.pool.set_rate_share(share);
        self.retry_budget.fleet().is_some_and(|budget| budget.set_visible_dispatchers(now, visible))
    }
}

fn expected_dispatchers(config: &Config, service: &Service) -> u32 {
    let data_centres = config.data_centres.len().max(1) as u32;
    service.dispatchers_per_data_centre * data_centres
}
