//! What a configuration must fulfil before it is accepted.

use std::net::SocketAddr;

use rustc_hash::{FxHashMap, FxHashSet};

use crate::{
    config::{Config, ConfigError},
    customer::Customer,
    endpoint::Endpoint,
    name::Name,
    rule::{Conditions, Refuse, Route, Rule, RuleAction},
    service::Service,
};

/// Longest lifetime of an answer about addresses; a stopping VM has to keep
/// serving for that long.
pub const MAX_ENTRY_LIFETIME_MS: u64 = 10 * 60 * 1000;
/// Longest timeout, queue wait and retry hint.
pub const MAX_DURATION_MS: u64 = 24 * 60 * 60 * 1000;

const STATUS_RANGE: std::ops::RangeInclusive<u16> = 400..=599;

/// Returns every problem of `config`.
pub(super) fn check(config: &Config, file: &str) -> Vec<ConfigError> {
    let mut checker = Checker::new(config, file);
    checker.deployment();
    checker.data_centres();
    checker.services();
    checker.customers();
    checker.rules();
    checker.errors
}

struct Checker<'a> {
    config: &'a Config,
    file: Name,
    errors: Vec<ConfigError>,
    data_centres: FxHashSet<&'a str>,
    services: FxHashSet<&'a str>,
    customers: FxHashSet<&'a str>,
    endpoints: Names<'a>,
    addresses: FxHashMap<SocketAddr, &'a Name>,
}

/// Names of one kind seen so far, each with the path of its first use.
#[derive(Default)]
struct Names<'a> {
    seen: FxHashMap<&'a str, String>,
}

impl<'a> Checker<'a> {
    fn new(config: &'a Config, file: &str) -> Checker<'a> {
        Checker {
            config,
            file: Name::from(file),
            errors: Vec::new(),
            data_centres: config.data_centres.iter().map(|dc| dc.name.as_str()).collect(),
            services: config.services.iter().map(|service| service.name.as_str()).collect(),
            customers: config.customers.iter().map(|customer| customer.name.as_str()).collect(),
            endpoints: Names::default(),
            addresses: FxHashMap::default(),
        }
    }

    fn deployment(&mut self) {
        self.name("deployment", &self.config.deployment);
        let lifetime_ms = self.config.entry_lifetime_ms;
        self.duration("entry_lifetime_ms", lifetime_ms, MAX_ENTRY_LIFETIME_MS);
    }

    fn data_centres(&mut self) {
        let mut names = Names::default();
        for (index, data_centre) in self.config.data_centres.iter().enumerate() {
            let path = format!("data_centres[{index}]");
            self.unique(&mut names, &path, &data_centre.name);
            self.name(&format!("{path}.region"), &data_centre.region);
        }
    }

    fn services(&mut self) {
        let mut names = Names::default();
        for (index, service) in self.config.services.iter().enumerate() {
            let path = format!("services[{index}]");
            self.unique(&mut names, &path, &service.name);
            self.service(&path, service);
            for (index, endpoint) in service.endpoints.iter().enumerate() {
                self.endpoint(&format!("{path}.endpoints[{index}]"), endpoint);
            }
        }
    }

    fn service(&mut self, path: &str, service: &Service) {
        let staying = service.endpoints.iter().filter(|endpoint| !endpoint.leaving).count();
        // A floor that the endpoints can't fill would be broken from the first
        // moment, and every later ejection would be held back silently.
        if service.floor as usize > staying {
            let problem = format!("{} is above the {staying} endpoints that stay", service.floor);
            self.error(format!("{path}.floor"), problem);
        }
        if !(0.0..=1.0).contains(&service.sensitivity) {
            let problem = format!("{} is not between 0 and 1", service.sensitivity);
            self.error(format!("{path}.sensitivity"), problem);
        }
        self.duration(&format!("{path}.timeout_ms"), service.timeout_ms, MAX_DURATION_MS);
        self.positive(&format!("{path}.shard_endpoints"), service.shard_endpoints);
        self.path(&format!("{path}.probe_path"), &service.probe_path);
    }

    fn endpoint(&mut self, path: &str, endpoint: &'a Endpoint) {
        let mut names = std::mem::take(&mut self.endpoints);
        self.unique(&mut names, path, &endpoint.name);
        self.endpoints = names;
        self.positive(&format!("{path}.slots"), endpoint.slots);
        self.positive(&format!("{path}.connections"), endpoint.connections);
        let known = self.data_centres.contains(endpoint.data_centre.as_str());
        self.known(known, path, "data_centre", &endpoint.data_centre);
        if let Some(other) = self.addresses.insert(endpoint.address, &endpoint.name) {
            let problem =
                format!("{} is the address of endpoint {:?} too", endpoint.address, other.as_str());
            self.error(format!("{path}.address"), problem);
        }
        if endpoint.address.port() == 0 || endpoint.address.ip().is_unspecified() {
            let problem = format!("{} can't be connected to", endpoint.address);
            self.error(format!("{path}.address"), problem);
        }
    }

    fn customers(&mut self) {
        let mut names = Names::default();
        for (index, customer) in self.config.customers.iter().enumerate() {
            let path = format!("customers[{index}]");
            self.unique(&mut names, &path, &customer.name);
            self.contracts(&path, customer);
        }
    }

    fn contracts(&mut self, path: &str, customer: &Customer) {
        let mut services = FxHashSet::default();
        for (index, contract) in customer.contracts.iter().enumerate() {
            let path = format!("{path}.contracts[{index}]");
            self.service_name(&path, "service", &contract.service);
            self.positive(&format!("{path}.slots"), contract.slots);
            if !services.insert(contract.service.as_str()) {
                let problem = format!("{:?} has a contract already", contract.service.as_str());
                self.error(format!("{path}.service"), problem);
            }
        }
    }

    fn rules(&mut self) {
        let mut names = Names::default();
        for (index, rule) in self.config.rules.iter().enumerate() {
            let path = format!("rules[{index}]");
            self.unique(&mut names, &path, &rule.name);
            self.rule(&path, rule);
        }
    }

    fn rule(&mut self, path: &str, rule: &Rule) {
        self.conditions(&format!("{path}.when"), &rule.when);
        match &rule.then {
            RuleAction::Route(route) => self.route(&format!("{path}.then.route"), route),
            RuleAction::Refuse(refuse) => self.refuse(&format!("{path}.then.refuse"), refuse),
        }
    }

    fn conditions(&mut self, path: &str, when: &Conditions) {
        if let Some(customer) = &when.customer {
            let known = self.customers.contains(customer.as_str());
            self.known(known, path, "customer", customer);
        }
        if let Some(method) = &when.method {
            self.name(&format!("{path}.method"), method);
        }
        if let Some(prefix) = &when.path_prefix {
            self.path(&format!("{path}.path_prefix"), prefix);
        }
        if let Some(header) = &when.header {
            self.header_name(&format!("{path}.header.name"), &header.name);
        }
        if let Some(service) = &when.service {
            self.service_name(path, "service", service);
        }
        if let Some(data_centre) = &when.data_centre {
            let known = self.data_centres.contains(data_centre.as_str());
            self.known(known, path, "data_centre", data_centre);
        }
        if let Some(service) = &when.service_at_floor {
            self.service_name(path, "service_at_floor", service);
        }
        if let Some(wait) = &when.queue_wait_at_least {
            let path = format!("{path}.queue_wait_at_least");
            self.service_name(&path, "service", &wait.service);
            self.duration(&format!("{path}.wait_ms"), wait.wait_ms, MAX_DURATION_MS);
        }
    }

    fn route(&mut self, path: &str, route: &Route) {
        self.service_name(path, "service", &route.service);
        if let Some(timeout_ms) = route.timeout_ms {
            self.duration(&format!("{path}.timeout_ms"), timeout_ms, MAX_DURATION_MS);
        }
        if route.hedge && !route.idempotent {
            let problem = "true needs idempotent: a hedged request may run twice".to_owned();
            self.error(format!("{path}.hedge"), problem);
        }
    }

    fn refuse(&mut self, path: &str, refuse: &Refuse) {
        if !STATUS_RANGE.contains(&refuse.status) {
            let problem = format!("{} is not between 400 and 599", refuse.status);
            self.error(format!("{path}.status"), problem);
        }
        if let Some(retry_after_ms) = refuse.retry_after_ms.filter(|ms| *ms > MAX_DURATION_MS) {
            let problem = format!("{retry_after_ms} is above {MAX_DURATION_MS}");
            self.error(format!("{path}.retry_after_ms"), problem);
        }
    }

    fn error(&mut self, field: String, problem: String) {
        self.errors.push(ConfigError { file: self.file.clone(), field, problem });
    }

    fn unique<'n>(&mut self, names: &mut Names<'n>, path: &str, name: &'n Name) {
        let field = format!("{path}.name");
        self.name(&field, name);
        if let Some(first) = names.seen.get(name.as_str()) {
            let problem = format!("{:?} is the name of {first} already", name.as_str());
            self.error(field, problem);
            return;
        }
        names.seen.insert(name, path.to_owned());
    }

    fn name(&mut self, field: &str, name: &Name) {
        // Names stand in log lines and HTTP headers: a line break in one would
        // forge a line there.
        let problem = if name.is_empty() {
            "is empty"
        } else if name.chars().any(char::is_control) {
            "has a control character"
        } else if name.trim().len() != name.len() {
            "begins or ends with a blank"
        } else {
            return;
        };
        self.error(field.to_owned(), format!("{:?} {problem}", name.as_str()));
    }

    fn header_name(&mut self, field: &str, name: &Name) {
        self.name(field, name);
        let is_token = |c: char| c.is_ascii_graphic() && !"\"(),/:;<=>?@[\\]{}".contains(c);
        if name.chars().any(|c| c.is_ascii_uppercase() || !is_token(c)) {
            let problem = format!("{:?} is not a lower-case header name", name.as_str());
            self.error(field.to_owned(), problem);
        }
    }

    fn path(&mut self, field: &str, path: &Name) {
        if !path.starts_with('/') {
            self.error(field.to_owned(), format!("{:?} doesn't begin with '/'", path.as_str()));
            return;
        }
        // Rules see the path without its query, so such a prefix never matches.
        if path.contains(['?', '#']) || path.chars().any(char::is_control) {
            let problem = format!("{:?} has a character that no path has", path.as_str());
            self.error(field.to_owned(), problem);
        }
    }

    fn service_name(&mut self, path: &str, field: &str, name: &Name) {
        let known = self.services.contains(name.as_str());
        self.known(known, path, field, name);
    }

    fn known(&mut self, known: bool, path: &str, field: &str, name: &Name) {
        if !known {
            let problem = format!("{:?} is not in this configuration", name.as_str());
            self.error(format!("{path}.{field}"), problem);
        }
    }

    fn positive(&mut self, field: &str, value: u32) {
        if value == 0 {
            self.error(field.to_owned(), format!("{value} is not above 0"));
        }
    }

    fn duration(&mut self, field: &str, value_ms: u64, max_ms: u64) {
        if value_ms == 0 || value_ms > max_ms {
            let problem = format!("{value_ms} is not between 1 and {max_ms}");
            self.error(field.to_owned(), problem);
        }
    }
}
