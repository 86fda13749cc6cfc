//! What a valid configuration says that is probably not meant.

use std::fmt;

use rustc_hash::FxHashMap;

use crate::{config::Config, rule::RuleSet};

/// Something valid that is probably not meant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigWarning {
    /// Path of the field, such as `rules[2]`.
    pub field: String,
    /// What is odd about it.
    pub problem: String,
}

impl fmt::Display for ConfigWarning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.problem)
    }
}

/// Returns every warning about `config`.
pub(super) fn warnings(config: &Config) -> Vec<ConfigWarning> {
    let mut warnings = services(config);
    warnings.extend(unreachable_rules(config));
    warnings
}

/// Overselling is allowed: contracts are shares when capacity is short, and an
/// error here would refuse the very change that marks endpoints as leaving.
fn services(config: &Config) -> Vec<ConfigWarning> {
    let mut sold: FxHashMap<&str, u64> = FxHashMap::default();
    for contract in config.customers.iter().flat_map(|customer| &customer.contracts) {
        *sold.entry(contract.service.as_str()).or_default() += u64::from(contract.slots);
    }
    let mut warnings = Vec::new();
    for (index, service) in config.services.iter().enumerate() {
        let staying = service.endpoints.iter().filter(|endpoint| !endpoint.leaving);
        let slots: u64 = staying.map(|endpoint| u64::from(endpoint.slots)).sum();
        let sold = sold.get(service.name.as_str()).copied().unwrap_or(0);
        if sold > slots {
            let field = format!("services[{index}]");
            let problem =
                format!("{:?} has {slots} slots, but {sold} are sold", service.name.as_str());
            warnings.push(ConfigWarning { field, problem });
        }
        if service.endpoints.iter().all(|endpoint| endpoint.leaving) {
            let field = format!("services[{index}].endpoints");
            let problem = format!("{:?} has none that stays", service.name.as_str());
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
                "{:?} is never reached: {:?} before it matches whatever it matches",
                config.rules[rule].name.as_str(),
                config.rules[by].name.as_str()
            ),
        })
        .collect()
}
