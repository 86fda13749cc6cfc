//! `explain`: shows which rule matches a request and why no earlier one does.

use std::{fs, sync::Arc};

use anyhow::Context as _;
use pistachiotrack_core::{
    authentication::{Caller, KeyPolicy, PresentedKey},
    config::{Config, IndexedConfig},
    rule::{
        Explanation, Refuse, RequestAttributes, Route, Rule, RuleAction, RuleSet, ServiceState,
    },
};

use serde::Serialize;

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
    let value = match Config::parse(&file, &json) {
        Ok(value) => IndexedConfig::new(Arc::new(value)),
        Err(error) => {
            eprintln!("pistachiotrack: {}", escape_control_chars(&error.to_string()));
            return Ok(ExitCode::Rejected);
        }
    };
    // Whether the time of revocation is bounded is a setting of the VMs.
    let policy = KeyPolicy::new(&value, false);
    let key = presented_key(config)?;
    let identified = policy.identify(&value, key);
    let customer = match (&identified, value.api_keys_required) {
        (Ok(customer), true) => customer.name.as_str(),
        (Err(_), true) => "",
        (_, false) => &config.customer,
    };
    let explanation = explain(&value.rules, customer, config);
    let route = explanation.matched.as_ref().and_then(|rule| match &rule.then {
        RuleAction::Route(route) => Some(route),
        RuleAction::Refuse(_) => None,
    });
    let caller = match (route, identified) {
        (Some(route), identified) => Caller::on_route(policy, route, identified),
        (None, _) if policy != KeyPolicy::Required => Caller::Anonymous,
        (None, Ok(customer)) => Caller::Customer(customer),
        (None, Err(cause)) => Caller::Unidentified(cause),
    };
    if config.json {
        output::print_json(&ExplainedRequest {
            explanation: &explanation,
            caller: text_of(caller),
        })?;
    } else {
        output::print(&explanation_text(&explanation))?;
        if policy == KeyPolicy::Required {
            output::print(&format!("caller: {}\n", escape_control_chars(&text_of(caller))))?;
        } else if key != PresentedKey::Missing {
            output::print(
                "caller: no API key required; VMs with config_lease.max_age_s refuse any key\n",
            )?;
        }
    }
    let is_accepted = explanation.matched.is_some() && !matches!(caller, Caller::Unidentified(_));
    Ok(if is_accepted { ExitCode::Success } else { ExitCode::Rejected })
}

/// An explanation, and what is known of the caller.
#[derive(Serialize)]
struct ExplainedRequest<'a> {
    #[serde(flatten)]
    explanation: &'a Explanation,
    caller: String,
}

/// Returns the key in the file of the command line, if one is given.
fn presented_key(config: &ExplainConfig) -> anyhow::Result<PresentedKey> {
    let Some(file) = &config.api_key_file else { return Ok(PresentedKey::Missing) };
    let key = fs::read(file).with_context(|| file.display().to_string())?;
    Ok(PresentedKey::from_values([&key[..]].into_iter()))
}

fn text_of(caller: Caller<'_>) -> String {
    match caller {
        Caller::Anonymous => "no API key required".to_owned(),
        Caller::Unidentified(cause) => format!("refused, reason api-key key={}", cause.as_str()),
        Caller::Customer(customer) => {
            let class = or_dash(customer.class.map(|class| class.as_str()));
            let limit = or_dash(customer.rate_limit.map(|limit| limit.requests_per_second));
            let burst = or_dash(customer.rate_limit.map(|limit| limit.burst_requests));
            let name = &customer.name;
            format!("customer={name} class={class} requests_per_second={limit} burst={burst}")
        }
    }
}

fn explain(rules: &[Rule], customer: &str, config: &ExplainConfig) -> Explanation {
    let headers: Vec<(&str, &str)> =
        config.headers.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
    let attributes = RequestAttributes {
        customer,
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
