//! The budget that a shard's retries come from.

use super::{Shard, ShardSettings};
use crate::{
    config::Config,
    hash,
    retry::{BudgetSettings, DispatchersInView, FleetBudget, RetryBudget},
    service::Service,
    time::Time,
};

/// The budget of a shard.
#[derive(Clone, Debug)]
pub(super) enum ShardRetryBudget {
    /// That of an owner, who sends all of the shard's requests.
    Owner(RetryBudget),
    /// One that the dispatchers of a shared service keep together.
    Fleet(FleetBudget),
}

impl ShardRetryBudget {
    pub(super) fn new(
        now: Time,
        settings: &ShardSettings,
        config: &Config,
        name: &str,
    ) -> ShardRetryBudget {
        let mut retry_budget = ShardRetryBudget::Owner(RetryBudget::new(now, BudgetSettings::default()));
        let Some(service) = config.service(name) else { return retry_budget };
        if let (true, Some(limit)) = (service.is_shared(), service.retry_limit) {
            // A shard that this process begins once more counts anew.
            let begun = settings.seed ^ now.as_micros();
            let count_id = hash::fnv(&begun.to_le_bytes()) as u32;
            let expected = expected_dispatchers(config, service);
            let mut budget = FleetBudget::new(now, limit, expected, count_id);
            budget.set_shares_out(settings.mechanisms.retry_shares);
            retry_budget = ShardRetryBudget::Fleet(budget);
        }
        retry_budget.configure(now, config, service);
        retry_budget
    }

    /// Takes a new configuration; whether the service is shared stays as it was
    /// when the shard began.
    pub(super) fn configure(&mut self, now: Time, config: &Config, service: &Service) {
        let Some(limit) = service.retry_limit else { return };
        match self {
            ShardRetryBudget::Owner(budget) => budget.set_settings(BudgetSettings::within(limit)),
            ShardRetryBudget::Fleet(budget) => {
                budget.configure(now, limit, expected_dispatchers(config, service));
            }
        }
    }

    /// Notes a request that is sent for the first time.
    pub(super) fn on_request(&mut self, now: Time) {
        if let ShardRetryBudget::Fleet(budget) = self {
            budget.on_request(now);
        }
    }

    /// Notes a whole answer.
    pub(super) fn on_success(&mut self) {
        if let ShardRetryBudget::Owner(budget) = self {
            budget.on_success();
        }
    }

    /// Notes a retry that is sent whatever the limit.
    pub(super) fn spend(&mut self, now: Time) {
        if let ShardRetryBudget::Fleet(budget) = self {
            budget.spend(now);
        }
    }

    /// Takes one retry and returns whether there was one.
    pub(super) fn take(&mut self, now: Time) -> bool {
        match self {
            ShardRetryBudget::Owner(budget) => budget.take(now),
            ShardRetryBudget::Fleet(budget) => budget.take(now),
        }
    }

    /// Takes a retry that only saves time and returns whether there was one to
    /// spare.
    pub(super) fn take_spare(&mut self, now: Time) -> bool {
        match self {
            ShardRetryBudget::Owner(budget) => budget.take_spare(now),
            ShardRetryBudget::Fleet(budget) => budget.take_spare(now),
        }
    }

    /// Returns the budget that is kept together with other VMs, if it is one.
    pub(super) fn fleet(&mut self) -> Option<&mut FleetBudget> {
        match self {
            ShardRetryBudget::Owner(_) => None,
            ShardRetryBudget::Fleet(budget) => Some(budget),
        }
    }
}

impl Shard {
    /// Takes which dispatchers of the service this VM sees; returns whether it has
    /// just become one of them and has to ask for a picture.
    pub fn set_dispatchers(&mut self, now: Time, in_view: DispatchersInView) -> bool {
        self.dispatchers = in_view.count.max(1);
        let share = self.rate_share(in_view);
        self.pool.set_rate_share(share);
        self.retry_budget.fleet().is_some_and(|budget| budget.set_in_view(now, in_view))
    }
}

fn expected_dispatchers(config: &Config, service: &Service) -> u32 {
    let data_centres = config.data_centres.len().max(1) as u32;
    service.dispatchers_per_data_centre * data_centres
}
