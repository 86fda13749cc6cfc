//! Whether the conditions of a rule hold.

use crate::rule::{Conditions, Facts, HeaderCondition, QueueWaitCondition, Subject};

/// Returns whether `path` lies under `prefix`, at a segment boundary.
///
/// `/a` holds for `/a` and `/a/b`, but not for `/ab`.
pub fn path_starts_with(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}

/// The first condition of a rule that doesn't hold, and what was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Failure<'a> {
    Customer { wanted: &'a str, found: &'a str },
    Host { wanted: &'a str, found: &'a str },
    Method { wanted: &'a str, found: &'a str },
    Path { wanted: &'a str, found: &'a str },
    Header { wanted: &'a HeaderCondition, found: Option<&'a str> },
    Class { wanted: &'a str, found: &'a str },
    Service { wanted: &'a str, found: Option<&'a str> },
    DataCentre { wanted: &'a str, found: &'a str },
    Floor { service: &'a str },
    QueueWait { wanted: &'a QueueWaitCondition, found_ms: u64 },
}

impl Conditions {
    /// Returns the first condition that doesn't hold, in the order of the
    /// fields; live facts are asked for last.
    pub(super) fn first_failure<'a>(
        &'a self,
        subject: &Subject<'a>,
        facts: &dyn Facts,
    ) -> Option<Failure<'a>> {
        self.static_failure(subject).or_else(|| self.live_failure(facts))
    }

    fn static_failure<'a>(&'a self, subject: &Subject<'a>) -> Option<Failure<'a>> {
        if let Some(wanted) = differs(self.customer.as_deref(), subject.customer) {
            return Some(Failure::Customer { wanted, found: subject.customer });
        }
        if let Some(wanted) = differs(self.host.as_deref(), subject.host) {
            return Some(Failure::Host { wanted, found: subject.host });
        }
        if let Some(wanted) = differs(self.method.as_deref(), subject.method) {
            return Some(Failure::Method { wanted, found: subject.method });
        }
        if let Some(wanted) = self.path_prefix.as_deref()
            && !path_starts_with(subject.path, wanted)
        {
            return Some(Failure::Path { wanted, found: subject.path });
        }
        if let Some(wanted) = &self.header
            && !has_header(subject, wanted)
        {
            let named = subject.headers.iter().find(|(name, _)| *name == &*wanted.name);
            return Some(Failure::Header { wanted, found: named.map(|(_, value)| *value) });
        }
        if let Some(wanted) = self.class
            && wanted != subject.class
        {
            let (wanted, found) = (wanted.as_str(), subject.class.as_str());
            return Some(Failure::Class { wanted, found });
        }
        if let Some(wanted) = self.service.as_deref()
            && Some(wanted) != subject.service
        {
            return Some(Failure::Service { wanted, found: subject.service });
        }
        if let Some(wanted) = differs(self.data_centre.as_deref(), subject.data_centre) {
            return Some(Failure::DataCentre { wanted, found: subject.data_centre });
        }
        None
    }

    fn live_failure(&self, facts: &dyn Facts) -> Option<Failure<'_>> {
        if let Some(service) = self.service_at_floor.as_deref()
            && !facts.service_at_floor(service)
        {
            return Some(Failure::Floor { service });
        }
        if let Some(wanted) = &self.queue_wait_at_least {
            let found_ms = facts.queue_wait_ms(&wanted.service);
            if found_ms < wanted.wait_ms {
                return Some(Failure::QueueWait { wanted, found_ms });
            }
        }
        None
    }

    /// Returns whether every request that fulfils `other` fulfils this too,
    /// whatever the live facts are.
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

impl Failure<'_> {
    /// Returns the condition with the wanted and the found value.
    pub(super) fn describe(&self) -> String {
        match self {
            Failure::Customer { wanted, found } => plain("customer", wanted, found),
            Failure::Host { wanted, found } => plain("host", wanted, found),
            Failure::Method { wanted, found } => plain("method", wanted, found),
            Failure::Path { wanted, found } => plain("path_prefix", wanted, found),
            Failure::Header { wanted, found } => {
                let name = wanted.name.as_str();
                optional(&format!("header {name}"), &wanted.value, *found)
            }
            Failure::Class { wanted, found } => plain("class", wanted, found),
            Failure::Service { wanted, found } => optional("service", wanted, *found),
            Failure::DataCentre { wanted, found } => plain("data_centre", wanted, found),
            Failure::Floor { service } => {
                format!("service_at_floor wanted={service:?} found=not at its floor")
            }
            Failure::QueueWait { wanted, found_ms } => {
                let QueueWaitCondition { service, wait_ms } = wanted;
                let service = service.as_str();
                format!("queue_wait_at_least {service:?} wanted_ms={wait_ms} found_ms={found_ms}")
            }
        }
    }
}

fn differs<'a>(wanted: Option<&'a str>, found: &str) -> Option<&'a str> {
    wanted.filter(|wanted| *wanted != found)
}

fn has_header(subject: &Subject<'_>, wanted: &HeaderCondition) -> bool {
    let HeaderCondition { name, value } = wanted;
    subject.headers.iter().any(|header| *header == (name.as_str(), value.as_str()))
}

fn covers<T>(mine: &Option<T>, theirs: &Option<T>, holds: impl Fn(&T, &T) -> bool) -> bool {
    match (mine, theirs) {
        (None, _) => true,
        (Some(_), None) => false,
        (Some(mine), Some(theirs)) => holds(mine, theirs),
    }
}

fn plain(condition: &str, wanted: &str, found: &str) -> String {
    format!("{condition} wanted={wanted:?} found={found:?}")
}

fn optional(condition: &str, wanted: &str, found: Option<&str>) -> String {
    match found {
        Some(found) => plain(condition, wanted, found),
        None => format!("{condition} wanted={wanted:?} found=none"),
    }
}
