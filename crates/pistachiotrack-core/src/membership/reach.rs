//! Reports of members that reach no endpoint.

use std::{collections::BTreeMap, time::Duration};

use super::{Actions, Membership, MembershipAction};
use crate::{message::Message, name::Name, time::Time};

/// Interval at which a VM that reaches no endpoint repeats its report.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a report holds, so that neither lost datagrams nor a crash make it permanent.
const REPORT_TTL: Duration = Duration::from_millis(2_600);

/// Reports of this VM and of the others.
#[derive(Clone, Debug, Default)]
pub(super) struct ReachReports {
    /// Whether this VM reaches no endpoint.
    is_cut_off: bool,
    next_report_at: Option<Time>,
    /// Members that reach no endpoint, with the time at which their last report expires.
    expiring: BTreeMap<Name, Time>,
}

impl Membership {
    /// Sets whether this VM reaches no endpoint, and reports it to the other members.
    pub fn set_cut_off(&mut self, now: Time, is_cut_off: bool) -> Vec<MembershipAction> {
        self.now = now;
        let mut actions = Vec::new();
        self.reach.is_cut_off = is_cut_off;
        self.report_reach(now, &mut actions);
        actions
    }

    pub(super) fn report_reach_if_due(&mut self, now: Time, actions: &mut Actions) {
        if self.reach.is_cut_off && self.reach.next_report_at.is_none_or(|at| now >= at) {
            self.report_reach(now, actions);
        }
    }

    fn report_reach(&mut self, now: Time, actions: &mut Actions) {
        self.reach.next_report_at = Some(now + REPORT_INTERVAL);
        let fanout = self.settings.announce_fanout.max(self.settings.leave_fanout);
        let message = Message::EndpointReach { cut_off: self.reach.is_cut_off };
        for member in self.table.random_alive(fanout, None, &mut self.rng) {
            self.send_to(now, &member, message.clone(), actions);
        }
    }

    /// Handles the report of another VM.
    pub(super) fn on_reach_report(
        &mut self,
        now: Time,
        vm: &Name,
        cut_off: bool,
        actions: &mut Actions,
    ) {
        if cut_off && self.table.get(vm).is_some() {
            self.reach.expiring.insert(vm.clone(), now + REPORT_TTL);
        } else {
            self.reach.expiring.remove(vm);
        }
        self.mark_cut_off(vm, cut_off, actions);
    }

    pub(super) fn expire_reach_reports(&mut self, now: Time, actions: &mut Actions) {
        let is_expired = |(vm, at): (&Name, &Time)| (now >= *at).then(|| vm.clone());
        let expired: Vec<Name> = self.reach.expiring.iter().filter_map(is_expired).collect();
        for vm in expired {
            self.reach.expiring.remove(&vm);
            self.mark_cut_off(&vm, false, actions);
        }
    }

    fn mark_cut_off(&mut self, vm: &Name, is_cut_off: bool, actions: &mut Actions) {
        let Some(entry) = self.table.entries.get_mut(vm) else { return };
        if entry.member.is_cut_off != is_cut_off {
            entry.member.is_cut_off = is_cut_off;
            actions.push(MembershipAction::StateChanged { vm: vm.clone() });
        }
    }
}
