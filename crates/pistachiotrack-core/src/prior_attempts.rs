//! What has become of a request before, at other VMs or in an earlier copy.
//!
//! Failure guarded against: each VM counts the attempts of what it works on, so that a request
//! that is sent to another VM, or twice to the same one, has all attempts of its route again. It
//! shows as a request at more endpoints than its route allows, and as retries that count as
//! requests towards the retry limit. The guard holds because these counts travel with the request
//! and come back with a refusal.

use serde::{Deserialize, Serialize};

use crate::{name::Name, request::Outcome};

/// Attempts of a request that count towards its limits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PriorAttempts {
    /// Number of attempts that may have run.
    pub possible_runs: u32,
    /// Number of endpoints that refused it.
    pub refusals: u32,
    /// Endpoints that may have received it.
    pub endpoints: Vec<Name>,
    /// Whether it counts as a request towards the retry limit already.
    pub is_counted: bool,
}

impl PriorAttempts {
    /// Returns whether an endpoint may have received the request, so that another attempt is a
    /// retry.
    pub fn has_arrived(&self) -> bool {
        self.possible_runs > 0 || self.refusals > 0
    }

    /// Records that the request is sent to an endpoint.
    pub fn on_sent(&mut self, endpoint: &Name) {
        self.possible_runs += 1;
        self.is_counted = true;
        self.endpoints.push(endpoint.clone());
    }

    /// Records how an attempt ended.
    pub fn on_outcome(&mut self, endpoint: &Name, outcome: Outcome) {
        if !outcome.certainly_not_run() {
            return;
        }
        self.possible_runs = self.possible_runs.saturating_sub(1);
        if outcome.never_arrived() {
            if let Some(index) = self.endpoints.iter().rposition(|sent| sent == endpoint) {
                self.endpoints.remove(index);
            }
        } else {
            self.refusals = self.refusals.saturating_add(1);
        }
    }

    /// Adds what the VM reports that refused the request. Its numbers include those that it got.
    pub fn on_reported(&mut self, reported: PriorAttempts) {
        self.possible_runs = self.possible_runs.max(reported.possible_runs);
        self.refusals = self.refusals.max(reported.refusals);
        self.is_counted |= reported.is_counted;
        for endpoint in reported.endpoints {
            if !self.endpoints.contains(&endpoint) {
                self.endpoints.push(endpoint);
            }
        }
    }

    /// Records that a VM which could make up to `max_attempts` of its attempts was lost with it.
    pub fn on_vm_lost(&mut self, max_attempts: u32) {
        self.possible_runs = self.possible_runs.max(max_attempts);
        self.is_counted = true;
    }
}
