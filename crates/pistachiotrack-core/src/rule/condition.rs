//! Matching of rule conditions against a request and the state of services.

use crate::rule::{
    Conditions, HeaderCondition, QueueWaitCondition, RequestAttributes, ServiceState,
};

/// Returns whether `path` lies under `prefix`, at a segment boundary.
///
/// The prefix `/a` matches `/a` and `/a/b`, but not `/ab`.
pub fn path_starts_with(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}

/// A condition of a rule that doesn't match, and the value found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FailedCondition<'a> {
    Customer { expected: &'a str, found: &'a str },
    Host { expected: &'a str, found: &'a str },
    Method { expected: &'a str, found: &'a str },
    Path { expected: &'a str, found: &'a str },
    Header { expected: &'a HeaderCondition, found: Option<&'a str> },
    Class { expected: &'a str, found: &'a str },
    Service { expected: &'a str, found: Option<&'a str> },
    DataCentre { expected: &'a str, found: &'a str },
    Floor { service: &'a str },
    QueueWait { expected: &'a QueueWaitCondition, found_ms: u64 },
}

impl Conditions {
    /// Returns the first condition that doesn't match, in the order of the
    /// fields. The conditions on the state of services come last.
    pub(super) fn first_failed<'a>(
        &'a self,
        request: &RequestAttributes<'a>,
        services: &dyn ServiceState,
    ) -> Option<FailedCondition<'a>> {
        self.failed_by_request(request).or_else(|| self.failed_by_services(services))
    }

    fn failed_by_request<'a>(
        &'a self,
        request: &RequestAttributes<'a>,
    ) -> Option<FailedCondition<'a>> {
        if let Some(expected) = unequal(self.customer.as_deref(), request.customer) {
            return Some(FailedCondition::Customer { expected, found: request.customer });
        }
        if let Some(expected) = unequal(self.host.as_deref(), request.host) {
            return Some(FailedCondition::Host { expected, found: request.host });
        }
        if let Some(expected) = unequal(self.method.as_deref(), request.method) {
            return Some(FailedCondition::Method { expected, found: request.method });
        }
        if let Some(expected) = self.path_prefix.as_deref()
            && !path_starts_with(request.path, expected)
        {
            return Some(FailedCondition::Path { expected, found: request.path });
        }
        if let Some(expected) = &self.header
            && !has_header(request, expected)
        {
            let named = request.headers.iter().find(|(name, _)| *name == &*expected.name);
            return Some(FailedCondition::Header {
                expected,
                found: named.map(|(_, value)| *value),
            });
        }
        if let Some(expected) = self.class
            && expected != request.class
        {
            let (expected, found) = (expected.as_str(), request.class.as_str());
            return Some(FailedCondition::Class { expected, found });
        }
        if let Some(expected) = self.service.as_deref()
            && Some(expected) != request.service
        {
            return Some(FailedCondition::Service { expected, found: request.service });
        }
        if let Some(expected) = unequal(self.data_centre.as_deref(), request.data_centre) {
            return Some(FailedCondition::DataCentre { expected, found: request.data_centre });
        }
        None
    }

    fn failed_by_services(&self, services: &dyn ServiceState) -> Option<FailedCondition<'_>> {
        if let Some(service) = self.service_at_floor.as_deref()
            && !services.service_at_floor(service)
        {
            return Some(FailedCondition::Floor { service });
        }
        if let Some(expected) = &self.queue_wait_at_least {
            let found_ms = services.queue_wait_ms(&expected.service);
            if found_ms < expected.wait_ms {
                return Some(FailedCondition::QueueWait { expected, found_ms });
            }
        }
        None
    }

    /// Returns whether every request that matches `other` also matches these
    /// conditions, whatever the state of services.
    pub(super) fn covers(&self, other: &Conditions) -> bool {
        covers(&self.customer, &other.customer, |mine, theirs| mine == theirs)
            && covers(&self.host, &other.host, |mine, theirs| mine == theirs)
            && covers(&self.method, &other.method, |mine, theirs| mine == theirs)
            && covers(&self.path_prefix, &other.path_prefix, |mine, theirs| {
                path_starts_with(theirs, mine)
            })
            && covers(&self.header, &other.header, |mine, theirs| mine == theirs)
            && covers(&self.class, &other.class, |mine, theirs| mine == theirs)
            && covers(&self.service, &other.service, |mine, theirs| mine == theirs)
            && covers(&self.data_centre, &other.data_centre, |mine, theirs| mine == theirs)
            && covers(&self.service_at_floor, &other.service_at_floor, |mine, theirs| {
                mine == theirs
            })
            && covers(&self.queue_wait_at_least, &other.queue_wait_at_least, |mine, theirs| {
                mine.service == theirs.service && mine.wait_ms <= theirs.wait_ms
            })
    }
}

impl FailedCondition<'_> {
    /// Returns a text with the condition, the expected and the actual value.
    pub(super) fn describe(&self) -> String {
        match self {
            FailedCondition::Customer { expected, found } => {
                describe_values("customer", expected, found)
            }
            FailedCondition::Host { expected, found } => describe_values("host", expected, found),
            FailedCondition::Method { expected, found } => {
                describe_values("method", expected, found)
            }
            FailedCondition::Path { expected, found } => {
                describe_values("path_prefix", expected, found)
            }
            FailedCondition::Header { expected, found } => {
                let name = expected.name.as_str();
                describe_optional(&format!("header {name}"), &expected.value, *found)
            }
            FailedCondition::Class { expected, found } => describe_values("class", expected, found),
            FailedCondition::Service { expected, found } => {
                describe_optional("service", expected, *found)
            }
            FailedCondition::DataCentre { expected, found } => {
                describe_values("data_centre", expected, found)
            }
            FailedCondition::Floor { service } => {
                format!("service_at_floor wanted={service:?} found=not at its floor")
            }
            FailedCondition::QueueWait { expected, found_ms } => {
                let QueueWaitCondition { service, wait_ms } = expected;
                let service = service.as_str();
                format!("queue_wait_at_least {service:?} wanted_ms={wait_ms} found_ms={found_ms}")
            }
        }
    }
}

fn unequal<'a>(expected: Option<&'a str>, found: &str) -> Option<&'a str> {
    expected.filter(|expected| *expected != found)
}

fn has_header(request: &RequestAttributes<'_>, expected: &HeaderCondition) -> bool {
    let HeaderCondition { name, value } = expected;
    request.headers.iter().any(|header| *header == (name.as_str(), value.as_str()))
}

fn covers<T>(mine: &Option<T>, theirs: &Option<T>, holds: impl Fn(&T, &T) -> bool) -> bool {
    match (mine, theirs) {
        (None, _) => true,
        (Some(_), None) => false,
        (Some(mine), Some(theirs)) => holds(mine, theirs),
    }
}

fn describe_values(condition: &str, expected: &str, found: &str) -> String {
    format!("{condition} wanted={expected:?} found={found:?}")
}

fn describe_optional(condition: &str, expected: &str, found: Option<&str>) -> String {
    match found {
        Some(found) => describe_values(condition, expected, found),
        None => format!("{condition} wanted={expected:?} found=none"),
    }
}
