//! Standbys: VMs that read the platform in place of watchers that get no response from it.

use std::time::Duration;

use super::{ConfigSync, watch_score};
use crate::{membership::Member, name::Name, time::Time};

/// The VMs of this VM's data centre with a higher score, which read the platform first.
#[derive(Debug, Default)]
pub(super) struct HigherRanked {
    /// Number of those that are alive.
    pub(super) alive_count: u32,
    /// Times of the platform's last responses to those that have reported one.
    platform_responses: Vec<Time>,
}

impl HigherRanked {
    /// Adds a VM with a higher score.
    pub(super) fn add(&mut self, member: &Member, is_alive: bool) {
        self.alive_count += u32::from(is_alive);
        self.platform_responses.extend(member.last_platform_response);
    }

    /// Returns the time of the last response to the VM that ranks at `watcher_count` by
    /// recency: at least that many have had a response since then.
    fn nth_latest_response(&self, watcher_count: u32) -> Option<Time> {
        let mut responses = self.platform_responses.clone();
        responses.sort_unstable_by_key(|response| std::cmp::Reverse(*response));
        responses.get(watcher_count as usize - 1).copied()
    }
}

impl ConfigSync {
    /// Returns whether this VM, which isn't a watcher, reads in place of one.
    ///
    /// Liveness of a watcher says nothing about its connection to the platform, but the
    /// responses that it gets do. Standbys start one after the other, so that the first one
    /// with a response keeps the others from calling.
    pub(super) fn reads_as_standby(&self, now: Time, higher_ranked: &HigherRanked) -> bool {
        let watcher_count = self.watcher_count();
        let rank = higher_ranked.alive_count.saturating_sub(watcher_count);
        if rank >= self.settings.standbys_per_data_centre {
            return false;
        }
        let last_response = higher_ranked.nth_latest_response(watcher_count);
        let last_response =
            last_response.unwrap_or_else(|| self.platform_schedule.first_reads_end());
        let stagger = Duration::from_millis(self.settings.standby_step_ms) * rank;
        now >= last_response + self.platform_schedule.max_response_gap() + stagger
    }

    /// Returns the VMs to notify of each response of the platform to this VM. Without the
    /// notification they would read in its place.
    pub fn standbys<'a>(&self, members: impl Iterator<Item = &'a Member>) -> Vec<Name> {
        let my_score = watch_score(&self.deployment, &self.me);
        let mut lower_ranked: Vec<(u64, &Name)> = members
            .filter(|member| self.is_watcher_candidate(member))
            .map(|member| (watch_score(&self.deployment, &member.vm), &member.vm.name))
            .filter(|(score, _)| *score < my_score)
            .collect();
        lower_ranked.sort_unstable_by_key(|(score, _)| std::cmp::Reverse(*score));
        let count = self.watcher_count() + self.settings.standbys_per_data_centre;
        lower_ranked.into_iter().take(count as usize).map(|(_, name)| name.clone()).collect()
    }
}
