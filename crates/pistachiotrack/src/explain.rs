//! `explain`: shows which rule matches a request and why no earlier one does.

use std::fs;

use anyhow::Context as _;
use pistachiotrack_core::{
    config::Config,
    rule::{
        Explanation, Refuse, RequestAttributes, Route, Rule, RuleAction, RuleSet, ServiceState,
    },
};

use crate::{
    config::ExplainConfig,
    exit_codes::ExitCode,
    output::{self, escape_control_chars, or_dash},
};

/// Prints which rule matches the request and why the earlier ones don't.
///
/// # Errors
///
/// Returns an error if the configuration can't be read or is not accepted, or
/// if the output can't be written.
pub(crate) fn run(config: &ExplainConfig) -> anyhow::Result<ExitCode> {
    let file = config.file.display().to_string();
    let json = fs::read(&config.file).with_context(|| file.clone())?;
    let rules = match Config::parse(&file, &json) {
        Ok(value) => value.rules,
        Err(error) => {
            eprintln!("pistachiotrack: {}", escape_control_chars(&error.to_string()));
            return Ok(ExitCode::Rejected);
        }
    };
    let explanation = explain(&rules, config);
    if config.json {
        output::print_json(&explanation)?;
    } else {
        output::print(&explanation_text(&explanation))?;
    }
    Ok(if explanation.matched.is_some() { ExitCode::Success } else { ExitCode::Rejected })
}

fn explain(rules: &[Rule], config: &ExplainConfig) -> Explanation {
    let headers: Vec<(&str, &str)> =
        config.headers.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
    let attributes = RequestAttributes {
        customer: &config.customer,
        host: &config.host,
        method: &config.method,
        path: &config.path,
        headers: &headers,
        class: config.class,
        service: config.service.as_deref(),
        data_centre: &config.data_centre,
    };
    RuleSet::new(rules).explain(&attributes, &AssumedServiceState(config))
}

/// State of the services as given on the command line.
struct AssumedServiceState<'a>(&'a ExplainConfig);

impl ServiceState for AssumedServiceState<'_> {
    fn service_at_floor(&self, service: &str) -> bool {
        self.0.services_at_floor.iter().any(|name| name == service)
    }

    fn queue_wait_ms(&self, service: &str) -> u64 {
        let waits = &self.0.queue_waits;
        waits.iter().find(|wait| wait.service.as_str() == service).map_or(0, |wait| wait.wait_ms)
    }
}

fn explanation_text(explanation: &Explanation) -> String {
    let mut text = String::new();
    for mismatch in &explanation.skipped {
        let line = format!("skipped {}: {}", mismatch.rule, mismatch.condition);
        text.push_str(&escape_control_chars(&line));
        text.push('\n');
    }
    let result = match &explanation.matched {
        Some(rule) => format!("matched {}: {}", rule.name, action_text(&rule.then)),
        None => "no rule matches: refused, reason rule".to_owned(),
    };
    text.push_str(&escape_control_chars(&result));
    text.push('\n');
    text
}

fn action_text(action: &RuleAction) -> String {
    match action {
        RuleAction::Route(route) => route_text(route),
        RuleAction::Refuse(refuse) => refuse_text(refuse),
    }
}

fn route_text(route: &Route) -> String {
    let mut text = format!(
        "route service={} class={} timeout_ms={} idempotent={} hedge={}",
        route.service,
        or_dash(route.class.map(|class| class.as_str())),
        or_dash(route.timeout_ms),
        route.idempotent,
        route.hedge,
    );
    for share in &route.split {
        text.push_str(&format!(" split={}:{}", share.service, share.weight));
    }
    if let Some(attempts) = route.attempts {
        text.push_str(&format!(" attempts={attempts}"));
    }
    text
}

fn refuse_text(refuse: &Refuse) -> String {
    format!("refuse status={} retry_after_ms={}", refuse.status, or_dash(refuse.retry_after_ms))
}
