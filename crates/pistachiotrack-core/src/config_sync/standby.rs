//! VMs that read the platform in place of watchers that it doesn't answer.

use std::time::Duration;

use super::{ConfigSync, watch_score};
use crate::{membership::Member, name::Name, time::Time};

/// The VMs of this VM's data centre that read the platform rather than this one.
#[derive(Debug, Default)]
pub(super) struct Ahead {
    /// How many of them are alive.
    pub(super) alive: u32,
    /// When the platform last answered those of which it is known.
    answered: Vec<Time>,
}

impl Ahead {
    /// Notes one of them.
    pub(super) fn note(&mut self, member: &Member, is_alive: bool) {
        self.alive += u32::from(is_alive);
        self.answered.extend(member.last_platform_response);
    }

    /// Returns the moment until which at least `watchers` of them had been answered.
    fn answered_until(&self, watchers: u32) -> Option<Time> {
        let mut answered = self.answered.clone();
        answered.sort_unstable_by_key(|answered| std::cmp::Reverse(*answered));
        answered.get(watchers as usize - 1).copied()
    }
}

impl ConfigSync {
    /// Returns whether this VM, which isn't a watcher itself, reads in place of one.
    ///
    /// That a watcher is alive says nothing of its way to the platform; its answers do.
    /// Standbys begin one after the other, so that the first one that is answered keeps the
    /// others from calling.
    pub(super) fn stands_in(&self, now: Time, ahead: &Ahead) -> bool {
        let watchers = self.watchers();
        let place = ahead.alive.saturating_sub(watchers);
        if place >= self.settings.standbys_per_data_centre {
            return false;
        }
        let answered = ahead.answered_until(watchers);
        let answered = answered.unwrap_or_else(|| self.platform.first_reads_end());
        let turn = Duration::from_millis(self.settings.standby_step_ms) * place;
        now >= answered + self.platform.longest_silence() + turn
    }

    /// Returns the VMs that have to hear of each answer of the platform to this one, or they
    /// read in its place.
    pub fn standbys<'a>(&self, members: impl Iterator<Item = &'a Member>) -> Vec<Name> {
        let my_score = watch_score(&self.deployment, &self.me);
        let mut behind: Vec<(u64, &Name)> = members
            .filter(|member| self.may_watch(member))
            .map(|member| (watch_score(&self.deployment, &member.vm), &member.vm.name))
            .filter(|(score, _)| *score < my_score)
            .collect();
        behind.sort_unstable_by_key(|(score, _)| std::cmp::Reverse(*score));
        let count = self.watchers() + self.settings.standbys_per_data_centre;
        behind.into_iter().take(count as usize).map(|(_, name)| name.clone()).collect()
    }
}
