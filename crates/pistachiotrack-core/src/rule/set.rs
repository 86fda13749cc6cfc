//! The rules of a configuration, ready to decide.

use std::{ops::Deref, sync::Arc};

use crate::{
    config::Config,
    rule::{
        Conditions, Explanation, Facts, Mismatch, Rule, Subject,
        index::{Probe, RuleIndex},
    },
};

/// The rules of a configuration, ready to decide.
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
    /// Prepares a copy of the rules.
    pub fn new(rules: &[Rule]) -> RuleSet {
        RuleSet { index: RuleIndex::new(rules), rules: Rules::Owned(rules.to_vec()) }
    }

    /// Prepares the rules of a configuration without copying them.
    pub fn of_config(config: Arc<Config>) -> RuleSet {
        RuleSet { index: RuleIndex::new(&config.rules), rules: Rules::Shared(config) }
    }

    /// Returns the first rule whose conditions hold.
    pub fn decide(&self, subject: &Subject<'_>, facts: &dyn Facts) -> Option<&Rule> {
        let holds =
            |position: usize| self.rules[position].when.first_failure(subject, facts).is_none();
        let probe = Probe::of_subject(subject);
        let position = self.index.find(&probe, self.rules.len(), holds)?;
        Some(&self.rules[position])
    }

    /// Returns the rule that decides and, for each rule before it, the first
    /// condition that doesn't hold.
    ///
    /// This is the plain ordered scan: it is for operators and takes time in
    /// proportion to the number of rules.
    pub fn explain(&self, subject: &Subject<'_>, facts: &dyn Facts) -> Explanation {
        let mut skipped = Vec::new();
        for rule in self.rules.iter() {
            let Some(failure) = rule.when.first_failure(subject, facts) else {
                return Explanation { matched: Some(rule.clone()), skipped };
            };
            skipped.push(Mismatch { rule: rule.name.clone(), condition: failure.describe() });
        }
        Explanation { matched: None, skipped }
    }

    /// Returns the rules that no request can reach, each with an earlier rule
    /// that matches whatever it matches, as positions.
    ///
    /// Rules that only several earlier ones together make unreachable are not
    /// found.
    pub fn unreachable(&self) -> Vec<(usize, usize)> {
        (0..self.rules.len())
            .filter_map(|position| Some((position, self.covering(position)?)))
            .collect()
    }

    /// Returns the rules in their order.
    pub fn rules(&self) -> &[Rule] {
        &self.rules
    }

    /// Returns how many different sets of conditions the rules have; the time
    /// of a decision grows with it.
    pub fn shape_count(&self) -> usize {
        self.index.shape_count()
    }

    fn covering(&self, position: usize) -> Option<usize> {
        let when = &self.rules[position].when;
        let header = when.header.as_ref().map(|header| [(&*header.name, &*header.value)]);
        let headers = header.as_ref().map_or(&[][..], |header| &header[..]);
        let probe = Probe::of_conditions(when, headers);
        self.index.find(&probe, position, |earlier| self.rules[earlier].when.covers(when))
    }
}

impl<'a> Probe<'a> {
    fn of_subject(subject: &Subject<'a>) -> Probe<'a> {
        Probe {
            customer: Some(subject.customer),
            host: Some(subject.host),
            method: Some(subject.method),
            path: Some(subject.path),
            headers: subject.headers,
            class: Some(subject.class),
            service: subject.service,
            data_centre: Some(subject.data_centre),
        }
    }

    fn of_conditions(when: &'a Conditions, headers: &'a [(&'a str, &'a str)]) -> Probe<'a> {
        Probe {
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
