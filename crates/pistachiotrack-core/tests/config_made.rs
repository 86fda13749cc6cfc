//! Configurations that VMs make of what they read, which may be longer than any value
//! that the platform holds.

mod config_support;

use std::time::Duration;

use config_support::{DEPLOYMENT, TODAY, config, json, rule_of_host, vm};
use pistachiotrack_core::{
    config::{Config, ContentSummary, MAX_ENCODED_BYTES, MAX_VALUE_BYTES},
    config_sync::{ConfigAction, ConfigSync, ConfigSyncSettings, MAX_PULL_RESPONSE_BYTES},
    name::Name,
    time::Time,
};

const NOW: Time = Time::from_millis(10_000);
/// Shortest route that operators can write, with the comma after it.
const SHORTEST_ROUTE: &str = r#"{"prefix":"/a/","service":"s","route_type":"safe","timeout_s":2},"#;
/// Length of the longest host name (RFC 1035, without the final dot).
const LONGEST_HOST_BYTES: usize = 253;

fn node(index: u32) -> ConfigSync {
    let settings = ConfigSyncSettings { first_value_grace_ms: 0, ..ConfigSyncSettings::default() };
    ConfigSync::new(vm(index, 3), Name::from(DEPLOYMENT), settings, u64::from(index))
}

fn with_rules(version: u64, rules: u32) -> Config {
    let mut config = config(version, TODAY);
    config.rules.extend((0..rules).map(rule_of_host));
    config
}

/// Has `asker` pull what `holder` has, and returns the length of the answer.
fn pull(now: Time, asker: &mut ConfigSync, holder: &mut ConfigSync) -> usize {
    let version = holder.version().unwrap();
    let actions = asker.on_peer_version(now, &vm(1, 3), version);
    let [ConfigAction::Pull { request, .. }] = &actions[..] else { panic!("{actions:?}") };
    let answer = holder.handle_pull(now, request).unwrap();
    let actions = asker.on_pull_response(now, &vm(1, 3).name, Some(&answer));
    assert!(actions.iter().any(|action| matches!(action, ConfigAction::Activate(_))));
    assert_eq!((asker.version(), asker.content_hash()), (Some(version), holder.content_hash()));
    answer.len()
}

/// Operators add routes, and the configuration that the VMs make of them is longer than
/// a value of the platform may be. It has to come into force, and to reach the VMs that
/// don't read the platform: as a whole those that have none, as a delta the others.
#[test]
fn what_a_vm_made_comes_into_force_and_reaches_others_however_long() {
    let (mut reader, mut newcomer) = (node(1), node(2));
    let made = with_rules(2, 16_000);
    assert!(json(&made).len() > 2 * MAX_VALUE_BYTES);
    reader.on_platform_config(NOW, made);
    assert_eq!(reader.version(), Some(2));
    let whole_bytes = pull(NOW, &mut newcomer, &mut reader);
    reader.on_platform_config(NOW, with_rules(3, 16_001));
    // A VM answers no more than its link carries, and has just sent the whole.
    let later = NOW + Duration::from_secs(1);
    let delta_bytes = pull(later, &mut newcomer, &mut reader);
    assert!(delta_bytes * 100 < whole_bytes, "{delta_bytes} of {whole_bytes} bytes");
}

/// The limit of what VMs pass on must not refuse what the platform takes: the shortest
/// routes, as many as a value holds, each with the longest host.
#[test]
fn the_longest_configuration_that_a_value_holds_is_passed_on() {
    let mut longest = config(2, TODAY);
    let host = Name::from("h".repeat(LONGEST_HOST_BYTES));
    let routes = MAX_VALUE_BYTES / SHORTEST_ROUTE.len();
    longest.rules.extend((0..routes as u32).map(|index| {
        let mut rule = rule_of_host(index);
        rule.name = Name::from(format!("{host}/{index}/"));
        rule.when.host = Some(host.clone());
        rule.when.path_prefix = Some(Name::from(format!("/{index}/")));
        rule
    }));
    let encoded_bytes = ContentSummary::of(&longest).unwrap().encoded_bytes;
    assert!(encoded_bytes <= MAX_ENCODED_BYTES, "{encoded_bytes}");
    let (mut reader, mut newcomer) = (node(1), node(2));
    reader.on_platform_config(NOW, longest);
    assert!(pull(NOW, &mut newcomer, &mut reader) <= MAX_PULL_RESPONSE_BYTES);
}

/// A configuration that the others would not take must not come into force on one VM
/// alone; the refusal says how long it is.
#[test]
fn what_is_too_long_to_be_passed_on_is_refused_with_its_length() {
    let mut reader = node(1);
    let mut made = config(2, TODAY);
    let long = "x".repeat(MAX_ENCODED_BYTES);
    made.rules.extend((0..1).map(rule_of_host));
    made.rules.last_mut().unwrap().when.path_prefix = Some(Name::from(format!("/{long}/")));
    let actions = reader.on_platform_config(NOW, made.clone());
    let [ConfigAction::Rejected(error)] = &actions[..] else { panic!("{}", actions.len()) };
    assert!(error.to_string().contains("bytes long once encoded"), "{error}");
    assert_eq!(reader.version(), None);
    assert_eq!(reader.on_platform_config(NOW, made), [], "told once");
}
