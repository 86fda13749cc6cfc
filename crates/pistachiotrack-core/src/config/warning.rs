//! Warnings about what is valid but probably unintended.

use std::fmt;

use rustc_hash::FxHashMap;

use crate::{config::Config, rule::RuleSet};

/// A setting that is valid but probably unintended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigWarning {
    /// Path of the field, such as `rules[2]`.
    pub field: String,
    /// Description of the problem.
    pub problem: String,
}

impl fmt::Display for ConfigWarning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.problem)
    }
}

/// Returns all warnings about `config`.
pub(super) fn warnings(config: &Config) -> Vec<ConfigWarning> {
    let mut warnings = key_warnings(config);
    warnings.extend(capacity_warnings(config));
    warnings.extend(unreachable_rules(config));
    warnings
}

/// Warns about keys that are required and that nobody has, and about keys that aren't looked at.
fn key_warnings(config: &Config) -> Vec<ConfigWarning> {
    let has_keys = config.customers.iter().any(|customer| !customer.api_keys.is_empty());
    let problem = match (config.api_keys_required, has_keys) {
        (true, false) => "no customer has a key: all requests are refused, except on public routes",
        (false, true) => "the keys of customers are not looked at",
        _ => return Vec::new(),
    };
    vec![ConfigWarning { field: "api_keys_required".to_owned(), problem: problem.to_owned() }]
}

/// Warns about oversold and empty services. Overselling is allowed, since contracts are
/// weights when capacity is short, and an error here would reject the very change that
/// marks endpoints as leaving.
fn capacity_warnings(config: &Config) -> Vec<ConfigWarning> {
    let mut contracted: FxHashMap<&str, u64> = FxHashMap::default();
    for contract in config.customers.iter().flat_map(|customer| &customer.contracts) {
        *contracted.entry(contract.service.as_str()).or_default() += u64::from(contract.slots);
    }
    let mut warnings = Vec::new();
    for (index, service) in config.services.iter().enumerate() {
        let remaining = service.endpoints.iter().filter(|endpoint| !endpoint.leaving);
        let slots: u64 = remaining.map(|endpoint| u64::from(endpoint.slots)).sum();
        let contracted = contracted.get(service.name.as_str()).copied().unwrap_or(0);
        if contracted > slots {
            let field = format!("services[{index}]");
            let problem = format!(
                "{:?} has {slots} slots, but its contracts sum up to {contracted}",
                service.name.as_str()
            );
            warnings.push(ConfigWarning { field, problem });
        }
        if service.endpoints.iter().all(|endpoint| endpoint.leaving) {
            let field = format!("services[{index}].endpoints");
            let problem =
                format!("{:?} has no endpoint that is not leaving", service.name.as_str());
            warnings.push(ConfigWarning { field, problem });
        }
    }
    warnings
}

fn unreachable_rules(config: &Config) -> Vec<ConfigWarning> {
    let rules = RuleSet::new(&config.rules);
    let covered = rules.unreachable().into_iter();
    covered
        .map(|(rule, by)| ConfigWarning {
            field: format!("rules[{rule}]"),
            problem: format!(
                "{:?} is unreachable: the earlier {:?} matches every request that it matches",
                config.rules[rule].name.as_str(),
                config.rules[by].name.as_str()
            ),
        })
        .collect()
}
