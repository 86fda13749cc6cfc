//! The rules of a configuration with their index.

use std::{ops::Deref, sync::Arc};

use crate::{
    config::Config,
    rule::{
        Conditions, Explanation, Mismatch, RequestAttributes, Rule, ServiceState,
        index::{Lookup, RuleIndex},
    },
};

/// The rules of a configuration with their index.
#[derive(Clone, Debug, Default)]
pub struct RuleSet {
    rules: Rules,
    index: RuleIndex,
}

#[derive(Clone, Debug)]
enum Rules {
    Owned(Vec<Rule>),
    Shared(Arc<Config>),
}

impl Default for Rules {
    fn default() -> Rules {
        Rules::Owned(Vec::new())
    }
}

impl Deref for Rules {
    type Target = [Rule];

    fn deref(&self) -> &[Rule] {
        match self {
            Rules::Owned(rules) => rules,
            Rules::Shared(config) => &config.rules,
        }
    }
}

impl RuleSet {
    /// Indexes a copy of the rules.
    pub fn new(rules: &[Rule]) -> RuleSet {
        RuleSet { index: RuleIndex::new(rules), rules: Rules::Owned(rules.to_vec()) }
    }

    /// Indexes the rules of a configuration without copying them.
    pub fn of_config(config: Arc<Config>) -> RuleSet {
        RuleSet { index: RuleIndex::new(&config.rules), rules: Rules::Shared(config) }
    }

    /// Returns the first rule whose conditions match.
    pub fn decide(
        &self,
        request: &RequestAttributes<'_>,
        services: &dyn ServiceState,
    ) -> Option<&Rule> {
        let holds =
            |position: usize| self.rules[position].when.first_failed(request, services).is_none();
        let lookup = Lookup::for_request(request);
        let position = self.index.find(&lookup, self.rules.len(), holds)?;
        Some(&self.rules[position])
    }

    /// Returns the rule that decides and, for each rule before it, the first
    /// condition that doesn't match.
    ///
    /// Scans the rules in order, in time proportional to their number, so it is
    /// for operators and not for the path of a request.
    pub fn explain(
        &self,
        request: &RequestAttributes<'_>,
        services: &dyn ServiceState,
    ) -> Explanation {
        let mut skipped = Vec::new();
        for rule in self.rules.iter() {
            let Some(failed) = rule.when.first_failed(request, services) else {
                return Explanation { matched: Some(rule.clone()), skipped };
            };
            skipped.push(Mismatch { rule: rule.name.clone(), condition: failed.describe() });
        }
        Explanation { matched: None, skipped }
    }

    /// Returns the rules that no request can reach, as pairs of positions: the
    /// rule and an earlier rule that matches every request it would match.
    ///
    /// Doesn't find rules that are covered only by several earlier rules
    /// together.
    pub fn unreachable(&self) -> Vec<(usize, usize)> {
        (0..self.rules.len())
            .filter_map(|position| Some((position, self.covering_rule(position)?)))
            .collect()
    }

    /// Returns the rules in order.
    pub fn rules(&self) -> &[Rule] {
        &self.rules
    }

    /// Returns the number of distinct sets of conditions among the rules. The
    /// time of a decision grows with it.
    pub fn condition_set_count(&self) -> usize {
        self.index.condition_set_count()
    }

    fn covering_rule(&self, position: usize) -> Option<usize> {
        let when = &self.rules[position].when;
        let header = when.header.as_ref().map(|header| [(&*header.name, &*header.value)]);
        let headers = header.as_ref().map_or(&[][..], |header| &header[..]);
        let lookup = Lookup::for_conditions(when, headers);
        self.index.find(&lookup, position, |earlier| self.rules[earlier].when.covers(when))
    }
}

impl<'a> Lookup<'a> {
    fn for_request(request: &RequestAttributes<'a>) -> Lookup<'a> {
        Lookup {
            customer: Some(request.customer),
            host: Some(request.host),
            method: Some(request.method),
            path: Some(request.path),
            headers: request.headers,
            class: Some(request.class),
            service: request.service,
            data_centre: Some(request.data_centre),
        }
    }

    fn for_conditions(when: &'a Conditions, headers: &'a [(&'a str, &'a str)]) -> Lookup<'a> {
        Lookup {
            customer: when.customer.as_deref(),
            host: when.host.as_deref(),
            method: when.method.as_deref(),
            path: when.path_prefix.as_deref(),
            headers,
            class: when.class,
            service: when.service.as_deref(),
            data_centre: when.data_centre.as_deref(),
        }
    }
}
