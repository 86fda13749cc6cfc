//! Validation of a configuration.

use std::{fmt::Arguments, net::SocketAddr};

use rustc_hash::{FxHashMap, FxHashSet};

use crate::{
    api_key::ApiKeyDigest,
    config::{Config, ConfigError},
    customer::{Customer, CustomerRateLimit},
    endpoint::Endpoint,
    name::Name,
    rule::{Conditions, Refuse, Route, Rule, RuleAction},
    service::Service,
};

/// Maximum caching time of entry addresses. A stopping VM has to keep serving for that
/// long.
pub const MAX_ENTRY_LIFETIME_MS: u64 = 10 * 60 * 1000;
/// Maximum timeout, queue wait and retry delay.
pub const MAX_DURATION_MS: u64 = 24 * 60 * 60 * 1000;

const STATUS_RANGE: std::ops::RangeInclusive<u16> = 400..=599;

/// Returns all problems of `config`.
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
    api_keys: FxHashMap<&'a ApiKeyDigest, &'a Name>,
}

/// Names of one kind found so far.
type Names<'a> = FxHashSet<&'a str>;

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
            api_keys: FxHashMap::default(),
        }
    }

    fn deployment(&mut self) {
        self.name(format_args!("deployment"), &self.config.deployment);
        let lifetime_ms = self.config.entry_lifetime_ms;
        self.duration(format_args!("entry_lifetime_ms"), lifetime_ms, MAX_ENTRY_LIFETIME_MS);
    }

    fn data_centres(&mut self) {
        let mut names = Names::default();
        for (index, data_centre) in self.config.data_centres.iter().enumerate() {
            let path = format_args!("data_centres[{index}]");
            self.unique(names.insert(&*data_centre.name), path, &data_centre.name);
            self.name(format_args!("{path}.region"), &data_centre.region);
        }
    }

    fn services(&mut self) {
        let mut names = Names::default();
        for (index, service) in self.config.services.iter().enumerate() {
            let path = format_args!("services[{index}]");
            self.unique(names.insert(&*service.name), path, &service.name);
            self.service(path, service);
            for (index, endpoint) in service.endpoints.iter().enumerate() {
                self.endpoint(format_args!("{path}.endpoints[{index}]"), endpoint);
            }
        }
    }

    fn service(&mut self, path: Arguments<'_>, service: &Service) {
        let remaining = service.endpoints.iter().filter(|endpoint| !endpoint.leaving).count();
        // With a floor above the number of remaining endpoints, every ejection
        // would be held back without notice.
        if service.floor as usize > remaining {
            let problem = format!(
                "{} is above the number of endpoints that are not leaving, {remaining}",
                service.floor
            );
            self.error(format_args!("{path}.floor"), problem);
        }
        if !(0.0..=1.0).contains(&service.sensitivity) {
            let problem = format!("{} is not between 0 and 1", service.sensitivity);
            self.error(format_args!("{path}.sensitivity"), problem);
        }
        self.duration(format_args!("{path}.timeout_ms"), service.timeout_ms, MAX_DURATION_MS);
        self.positive(format_args!("{path}.shard_endpoints"), service.shard_endpoints);
        self.path(format_args!("{path}.probe_path"), &service.probe_path);
        if let Some(limit) = &service.retry_limit {
            if !(0.0..=1.0).contains(&limit.ratio) {
                let problem = format!("{} is not between 0 and 1", limit.ratio);
                self.error(format_args!("{path}.retry_limit.ratio"), problem);
            }
            let window = format_args!("{path}.retry_limit.window_ms");
            self.duration(window, limit.window_ms, MAX_DURATION_MS);
        }
    }

    fn endpoint(&mut self, path: Arguments<'_>, endpoint: &'a Endpoint) {
        let is_new = self.endpoints.insert(&endpoint.name);
        self.unique(is_new, path, &endpoint.name);
        self.positive(format_args!("{path}.slots"), endpoint.slots);
        self.positive(format_args!("{path}.connections"), endpoint.connections);
        let is_defined = self.data_centres.contains(endpoint.data_centre.as_str());
        self.defined(is_defined, path, "data_centre", &endpoint.data_centre);
        if let Some(other) = self.addresses.insert(endpoint.address, &endpoint.name) {
            let problem = format!(
                "{} is already the address of endpoint {:?}",
                endpoint.address,
                other.as_str()
            );
            self.error(format_args!("{path}.address"), problem);
        }
        if endpoint.address.port() == 0 || endpoint.address.ip().is_unspecified() {
            let problem = format!("{} is not an address to connect to", endpoint.address);
            self.error(format_args!("{path}.address"), problem);
        }
    }

    fn customers(&mut self) {
        let mut names = Names::default();
        for (index, customer) in self.config.customers.iter().enumerate() {
            let path = format_args!("customers[{index}]");
            self.unique(names.insert(&*customer.name), path, &customer.name);
            self.contracts(path, customer);
            self.api_keys(path, customer);
            if let Some(limit) = &customer.rate_limit {
                self.rate_limit(format_args!("{path}.rate_limit"), limit);
            }
        }
    }

    fn api_keys(&mut self, path: Arguments<'_>, customer: &'a Customer) {
        for (index, key) in customer.api_keys.iter().enumerate() {
            let Some(holder) = self.api_keys.insert(key, &customer.name) else { continue };
            let (holder, customer) = (holder.as_str(), customer.name.as_str());
            let problem = format!("the key of {customer:?} is already one of {holder:?}");
            self.error(format_args!("{path}.api_keys[{index}]"), problem);
        }
    }

    fn rate_limit(&mut self, path: Arguments<'_>, limit: &CustomerRateLimit) {
        let rate = limit.requests_per_second;
        if !(rate.is_finite() && rate > 0.0) {
            let problem = format!("{rate} is not above 0");
            self.error(format_args!("{path}.requests_per_second"), problem);
        }
        let burst = limit.burst_requests;
        if !(burst.is_finite() && burst >= 0.0) {
            let problem = format!("{burst} is below 0");
            self.error(format_args!("{path}.burst_requests"), problem);
        }
    }

    fn contracts(&mut self, path: Arguments<'_>, customer: &Customer) {
        let mut services = FxHashSet::default();
        for (index, contract) in customer.contracts.iter().enumerate() {
            let path = format_args!("{path}.contracts[{index}]");
            self.service_name(path, "service", &contract.service);
            self.positive(format_args!("{path}.slots"), contract.slots);
            if !services.insert(contract.service.as_str()) {
                let problem = format!("{:?} already has a contract", contract.service.as_str());
                self.error(format_args!("{path}.service"), problem);
            }
        }
    }

    fn rules(&mut self) {
        let mut names = Names::default();
        for (index, rule) in self.config.rules.iter().enumerate() {
            let path = format_args!("rules[{index}]");
            self.unique(names.insert(&*rule.name), path, &rule.name);
            self.rule(path, rule);
        }
    }

    fn rule(&mut self, path: Arguments<'_>, rule: &Rule) {
        self.conditions(format_args!("{path}.when"), &rule.when);
        match &rule.then {
            RuleAction::Route(route) => self.route(format_args!("{path}.then.route"), route),
            RuleAction::Refuse(refuse) => self.refuse(format_args!("{path}.then.refuse"), refuse),
        }
    }

    fn conditions(&mut self, path: Arguments<'_>, when: &Conditions) {
        if let Some(customer) = &when.customer {
            let is_defined = self.customers.contains(customer.as_str());
            self.defined(is_defined, path, "customer", customer);
        }
        if let Some(host) = &when.host {
            self.name(format_args!("{path}.host"), host);
        }
        if let Some(method) = &when.method {
            self.name(format_args!("{path}.method"), method);
        }
        if let Some(prefix) = &when.path_prefix {
            self.path(format_args!("{path}.path_prefix"), prefix);
        }
        if let Some(header) = &when.header {
            self.header_name(format_args!("{path}.header.name"), &header.name);
        }
        if let Some(service) = &when.service {
            self.service_name(path, "service", service);
        }
        if let Some(data_centre) = &when.data_centre {
            let is_defined = self.data_centres.contains(data_centre.as_str());
            self.defined(is_defined, path, "data_centre", data_centre);
        }
        if let Some(service) = &when.service_at_floor {
            self.service_name(path, "service_at_floor", service);
        }
        if let Some(wait) = &when.queue_wait_at_least {
            let path = format_args!("{path}.queue_wait_at_least");
            self.service_name(path, "service", &wait.service);
            self.duration(format_args!("{path}.wait_ms"), wait.wait_ms, MAX_DURATION_MS);
        }
    }

    fn route(&mut self, path: Arguments<'_>, route: &Route) {
        self.service_name(path, "service", &route.service);
        if let Some(timeout_ms) = route.timeout_ms {
            self.duration(format_args!("{path}.timeout_ms"), timeout_ms, MAX_DURATION_MS);
        }
        for (index, share) in route.split.iter().enumerate() {
            let path = format_args!("{path}.split[{index}]");
            self.service_name(path, "service", &share.service);
            self.positive(format_args!("{path}.weight"), share.weight);
        }
        if let Some(attempts) = route.attempts {
            self.positive(format_args!("{path}.attempts"), attempts);
        }
        if route.hedge && !route.idempotent {
            let problem = "true needs idempotent: a hedged request may run twice".to_owned();
            self.error(format_args!("{path}.hedge"), problem);
        }
    }

    fn refuse(&mut self, path: Arguments<'_>, refuse: &Refuse) {
        if !STATUS_RANGE.contains(&refuse.status) {
            let problem = format!("{} is not between 400 and 599", refuse.status);
            self.error(format_args!("{path}.status"), problem);
        }
        if let Some(retry_after_ms) = refuse.retry_after_ms.filter(|ms| *ms > MAX_DURATION_MS) {
            let problem = format!("{retry_after_ms} is above {MAX_DURATION_MS}");
            self.error(format_args!("{path}.retry_after_ms"), problem);
        }
    }

    fn error(&mut self, field: Arguments<'_>, problem: String) {
        self.errors.push(ConfigError {
            file: self.file.clone(),
            field: field.to_string(),
            problem,
        });
    }

    fn unique(&mut self, is_new: bool, path: Arguments<'_>, name: &Name) {
        let field = format_args!("{path}.name");
        self.name(field, name);
        if !is_new {
            let problem = format!("{:?} is already used", name.as_str());
            self.error(field, problem);
        }
    }

    fn name(&mut self, field: Arguments<'_>, name: &Name) {
        // Names are written to log lines and HTTP headers, where a line break would
        // allow injection of a line.
        let problem = if name.is_empty() {
            "is empty"
        } else if name.chars().any(char::is_control) {
            "contains a control character"
        } else if name.trim().len() != name.len() {
            "has leading or trailing white space"
        } else {
            return;
        };
        self.error(field, format!("{:?} {problem}", name.as_str()));
    }

    fn header_name(&mut self, field: Arguments<'_>, name: &Name) {
        self.name(field, name);
        let is_token_char = |c: char| c.is_ascii_graphic() && !"\"(),/:;<=>?@[\\]{}".contains(c);
        if name.chars().any(|c| c.is_ascii_uppercase() || !is_token_char(c)) {
            let problem = format!("{:?} is not a lower-case header name", name.as_str());
            self.error(field, problem);
        }
    }

    fn path(&mut self, field: Arguments<'_>, path: &Name) {
        if !path.starts_with('/') {
            self.error(field, format!("{:?} doesn't start with '/'", path.as_str()));
            return;
        }
        // Rules match the path without its query, so such a prefix never matches.
        if path.contains(['?', '#']) || path.chars().any(char::is_control) {
            let problem =
                format!("{:?} contains a character that is not allowed in a path", path.as_str());
            self.error(field, problem);
        }
    }

    fn service_name(&mut self, path: Arguments<'_>, field: &str, name: &Name) {
        let is_defined = self.services.contains(name.as_str());
        self.defined(is_defined, path, field, name);
    }

    fn defined(&mut self, is_defined: bool, path: Arguments<'_>, field: &str, name: &Name) {
        if !is_defined {
            let problem = format!("{:?} is not defined in this configuration", name.as_str());
            self.error(format_args!("{path}.{field}"), problem);
        }
    }

    fn positive(&mut self, field: Arguments<'_>, value: u32) {
        if value == 0 {
            self.error(field, format!("{value} is not above 0"));
        }
    }

    fn duration(&mut self, field: Arguments<'_>, value_ms: u64, max_ms: u64) {
        if value_ms == 0 || value_ms > max_ms {
            let problem = format!("{value_ms} is not between 1 and {max_ms}");
            self.error(field, problem);
        }
    }
}
