//! Ordered routing rules: the first rule whose conditions match decides a request.

mod condition;
mod index;
mod set;

use serde::{Deserialize, Serialize};

pub use self::{condition::path_starts_with, set::RuleSet};
use crate::{name::Name, request::Class};

/// A routing rule: an action and the conditions under which it applies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Unique name within the deployment.
    pub name: Name,
    /// Conditions; a condition that isn't set always matches.
    #[serde(default)]
    pub when: Conditions,
    /// Action for a matching request.
    pub then: RuleAction,
}

/// Conditions of a rule, all of which must match.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Conditions {
    /// Customer named in the request.
    pub customer: Option<Name>,
    /// Host named in the request, in lower case and without a port.
    pub host: Option<Name>,
    /// HTTP method.
    pub method: Option<Name>,
    /// Path prefix, matched at segment boundaries.
    pub path_prefix: Option<Name>,
    /// Header that must be present with this value.
    pub header: Option<HeaderCondition>,
    /// Class requested by the caller.
    pub class: Option<Class>,
    /// Service requested by the caller.
    pub service: Option<Name>,
    /// Data centre of the VM that received the request.
    pub data_centre: Option<Name>,
    /// Service that is at its floor, so that further ejections are held back.
    pub service_at_floor: Option<Name>,
    /// Lower bound of the expected queue wait of a service.
    pub queue_wait_at_least: Option<QueueWaitCondition>,
}

/// A header and the value that it must have.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeaderCondition {
    /// Header name in lower case.
    pub name: Name,
    /// Exact value.
    pub value: Name,
}

/// A service and a lower bound of the expected wait in its queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueWaitCondition {
    /// Service whose queue is checked.
    pub service: Name,
    /// Smallest expected wait that matches.
    pub wait_ms: u64,
}

/// Action of a matching rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RuleAction {
    /// Routes the request to a service.
    Route(Route),
    /// Refuses the request without running it.
    Refuse(Refuse),
}

/// How a request is routed to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Target service.
    pub service: Name,
    /// Weighted traffic split between services; replaces `service` unless it is
    /// empty.
    #[serde(default)]
    pub split: Vec<ServiceShare>,
    /// Class that overrides the class requested by the caller.
    #[serde(default)]
    pub class: Option<Class>,
    /// Request timeout; the caller's deadline takes precedence if it is earlier.
    #[serde(default)]
    pub timeout_ms: Option<u64>,
    /// Whether the request may be executed more than once.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether a hedged request may be sent to a second endpoint when the first
    /// one is slow; requires `idempotent`.
    #[serde(default)]
    pub hedge: bool,
    /// Maximum number of endpoints that a request is sent to; the default
    /// applies if it is missing.
    #[serde(default)]
    pub attempts: Option<u32>,
    /// Whether callers need no API key. A key that is sent anyway is ignored.
    #[serde(default)]
    pub public: bool,
}

/// A service and its share of a traffic split.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceShare {
    /// Target service.
    pub service: Name,
    /// Weight, relative to the sum of all weights.
    pub weight: u32,
}

impl Route {
    /// Returns the target service of one request. `draw` is uniformly
    /// distributed, such as a hash of the request's identity.
    pub fn service_for(&self, draw: u64) -> &Name {
        let sum: u64 = self.split.iter().map(|share| u64::from(share.weight)).sum();
        if sum == 0 {
            return &self.service;
        }
        let mut remaining = draw % sum;
        for share in &self.split {
            let weight = u64::from(share.weight);
            if remaining < weight {
                return &share.service;
            }
            remaining -= weight;
        }
        &self.service
    }

    /// Returns all services that the route can select.
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
    /// Time after which the caller may retry.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
}

/// Attributes of a request that rules match.
#[derive(Clone, Debug)]
pub struct RequestAttributes<'a> {
    /// Customer named in the request.
    pub customer: &'a str,
    /// Host named in the request, in lower case and without a port.
    pub host: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path without query.
    pub path: &'a str,
    /// Headers as pairs of lower-case name and value.
    pub headers: &'a [(&'a str, &'a str)],
    /// Class requested by the caller.
    pub class: Class,
    /// Service requested by the caller, if any.
    pub service: Option<&'a str>,
    /// Data centre of the VM that received the request.
    pub data_centre: &'a str,
}

/// Current state of services, for the conditions that depend on it.
pub trait ServiceState {
    /// Returns whether the service is at its floor, so that further ejections
    /// are held back.
    fn service_at_floor(&self, service: &str) -> bool;
    /// Returns the expected wait in the queue of the service.
    fn queue_wait_ms(&self, service: &str) -> u64;
}

/// Why a rule did not match.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mismatch {
    /// Name of the rule.
    pub rule: Name,
    /// First condition that did not match, with the expected and the actual value.
    pub condition: String,
}

/// The rule that decides a request, and why no earlier rule matches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Rule that decides, if any.
    pub matched: Option<Rule>,
    /// Rules before it, in order.
    pub skipped: Vec<Mismatch>,
}
