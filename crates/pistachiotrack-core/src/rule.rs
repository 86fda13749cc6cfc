//! Ordered rules: the first one whose conditions hold decides.

mod condition;
mod index;
mod set;

use serde::{Deserialize, Serialize};

pub use self::{condition::path_starts_with, set::RuleSet};
use crate::{name::Name, request::Class};

/// A rule: when all conditions hold, then do that.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Unique name within the deployment.
    pub name: Name,
    /// Conditions; a missing one always holds.
    #[serde(default)]
    pub when: Conditions,
    /// What happens to the request.
    pub then: RuleAction,
}

/// Conditions of a rule, all of which must hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Conditions {
    /// Customer that the caller names.
    pub customer: Option<Name>,
    /// Host that the request names, in lower case and without a port.
    pub host: Option<Name>,
    /// HTTP method.
    pub method: Option<Name>,
    /// Start of the path, at a segment boundary.
    pub path_prefix: Option<Name>,
    /// Header that must be present with this value.
    pub header: Option<HeaderCondition>,
    /// Class that the caller asks for.
    pub class: Option<Class>,
    /// Service named by the caller.
    pub service: Option<Name>,
    /// Data centre of the VM that the request entered at.
    pub data_centre: Option<Name>,
    /// Service whose floor is reached: every further ejection is held back.
    pub service_at_floor: Option<Name>,
    /// Expected wait in the queue of a service is at least this.
    pub queue_wait_at_least: Option<QueueWaitCondition>,
}

/// A header and the value it must have.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeaderCondition {
    /// Header name in lower case.
    pub name: Name,
    /// Exact value.
    pub value: Name,
}

/// A service and the expected wait in its queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueWaitCondition {
    /// Service whose queue is meant.
    pub service: Name,
    /// Expected wait.
    pub wait_ms: u64,
}

/// What a matching rule does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RuleAction {
    /// Sends the request to a service.
    Route(Route),
    /// Refuses the request; it was not run.
    Refuse(Refuse),
}

/// How a request is sent to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Service that gets the request.
    pub service: Name,
    /// Services that share the requests in proportion to their weights; where
    /// there are any, they stand in place of `service`.
    #[serde(default)]
    pub split: Vec<ServiceShare>,
    /// Class that replaces the caller's.
    #[serde(default)]
    pub class: Option<Class>,
    /// Time allowed; the caller's deadline wins where it is sooner.
    #[serde(default)]
    pub timeout_ms: Option<u64>,
    /// Whether the request may be run more than once.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether a second endpoint may be asked when the first is slow; needs
    /// `idempotent`.
    #[serde(default)]
    pub hedge: bool,
    /// Endpoints that one request may be sent to; the default where it is
    /// missing.
    #[serde(default)]
    pub attempts: Option<u32>,
}

/// A service that gets a part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceShare {
    /// The service.
    pub service: Name,
    /// Its part, relative to the sum of all weights.
    pub weight: u32,
}

impl Route {
    /// Returns the service of one request; `draw` is a number spread evenly over
    /// all values, such as a hash of the request's identity.
    pub fn service_for(&self, draw: u64) -> &Name {
        let sum: u64 = self.split.iter().map(|share| u64::from(share.weight)).sum();
        if sum == 0 {
            return &self.service;
        }
        let mut place = draw % sum;
        for share in &self.split {
            let weight = u64::from(share.weight);
            if place < weight {
                return &share.service;
            }
            place -= weight;
        }
        &self.service
    }

    /// Returns all services that may get the route's requests.
    pub fn services(&self) -> impl Iterator<Item = &Name> {
        let single = self.split.is_empty().then_some(&self.service);
        single.into_iter().chain(self.split.iter().map(|share| &share.service))
    }
}

/// How a request is refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Refuse {
    /// HTTP status, 400 to 599.
    pub status: u16,
    /// Time after which the caller may ask again.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
}

/// The part of a request that rules look at.
#[derive(Clone, Debug)]
pub struct Subject<'a> {
    /// Customer that the caller names.
    pub customer: &'a str,
    /// Host that the request names, in lower case and without a port.
    pub host: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path without query.
    pub path: &'a str,
    /// Header lookup results: lower-case name and value.
    pub headers: &'a [(&'a str, &'a str)],
    /// Class that the caller asks for.
    pub class: Class,
    /// Service named by the caller, if any.
    pub service: Option<&'a str>,
    /// Data centre of the VM that the request entered at.
    pub data_centre: &'a str,
}

/// Live facts that rules may ask for.
pub trait Facts {
    /// Returns whether further ejections of the service are held back.
    fn service_at_floor(&self, service: &str) -> bool;
    /// Returns the expected wait in the service's queue.
    fn queue_wait_ms(&self, service: &str) -> u64;
}

/// Why a rule did not match.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mismatch {
    /// Name of the rule.
    pub rule: Name,
    /// Condition that did not hold, with the wanted and the found value.
    pub condition: String,
}

/// Which rule decides a request and why no earlier one does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The rule that decides, if any.
    pub matched: Option<Rule>,
    /// The rules before it.
    pub skipped: Vec<Mismatch>,
}
