//! Configurations that VMs assemble from what they read, which may be longer than a value
//! of the platform.

mod config_support;

use std::time::Duration;

use config_support::{CURRENT_SIZES, DEPLOYMENT, config, host_rule, json, vm};
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

fn config_with_rules(version: u64, rules: u32) -> Config {
    let mut config = config(version, CURRENT_SIZES);
    config.rules.extend((0..rules).map(host_rule));
    config
}

/// Makes `requester` pull what `holder` has, and returns the length of the response.
fn pull(now: Time, requester: &mut ConfigSync, holder: &mut ConfigSync) -> usize {
    let version = holder.version().unwrap();
    let actions = requester.on_peer_version(now, &vm(1, 3), version);
    let [ConfigAction::Pull { request, .. }] = &actions[..] else { panic!("{actions:?}") };
    let response = holder.handle_pull(now, request).unwrap();
    let actions = requester.on_pull_response(now, &vm(1, 3).name, Some(&response));
    assert!(actions.iter().any(|action| matches!(action, ConfigAction::Activate(_))));
    assert_eq!(
        (requester.version(), requester.content_hash()),
        (Some(version), holder.content_hash())
    );
    response.len()
}

/// Operators add routes, and the configuration assembled from them is longer than a value
/// of the platform may be. It must become active and reach the VMs that don't read the
/// platform: in full those without a configuration, as a delta the others.
#[test]
fn a_long_assembled_configuration_is_activated_and_distributed() {
    let (mut reader, mut new_node) = (node(1), node(2));
    let assembled = config_with_rules(2, 16_000);
    assert!(json(&assembled).len() > 2 * MAX_VALUE_BYTES);
    reader.on_platform_config(NOW, assembled);
    assert_eq!(reader.version(), Some(2));
    let full_bytes = pull(NOW, &mut new_node, &mut reader);
    reader.on_platform_config(NOW, config_with_rules(3, 16_001));
    // The response with the full configuration has used up the VM's bandwidth.
    let later = NOW + Duration::from_secs(1);
    let delta_bytes = pull(later, &mut new_node, &mut reader);
    assert!(delta_bytes * 100 < full_bytes, "{delta_bytes} of {full_bytes} bytes");
}

/// The limit between VMs must not reject what the platform accepts: as many of the
/// shortest routes as fit into a value, each with the longest host.
#[test]
fn the_longest_configuration_from_a_platform_value_can_be_pulled() {
    let mut longest = config(2, CURRENT_SIZES);
    let host = Name::from("h".repeat(LONGEST_HOST_BYTES));
    let routes = MAX_VALUE_BYTES / SHORTEST_ROUTE.len();
    longest.rules.extend((0..routes as u32).map(|index| {
        let mut rule = host_rule(index);
        rule.name = Name::from(format!("{host}/{index}/"));
        rule.when.host = Some(host.clone());
        rule.when.path_prefix = Some(Name::from(format!("/{index}/")));
        rule
    }));
    let encoded_bytes = ContentSummary::of(&longest).unwrap().encoded_bytes;
    assert!(encoded_bytes <= MAX_ENCODED_BYTES, "{encoded_bytes}");
    let (mut reader, mut new_node) = (node(1), node(2));
    reader.on_platform_config(NOW, longest);
    assert!(pull(NOW, &mut new_node, &mut reader) <= MAX_PULL_RESPONSE_BYTES);
}

/// A configuration that peers would reject must not become active on one VM alone. The
/// error states its length.
#[test]
fn an_assembled_configuration_above_the_limit_is_rejected_with_its_length() {
    let mut reader = node(1);
    let mut assembled = config(2, CURRENT_SIZES);
    let long = "x".repeat(MAX_ENCODED_BYTES);
    assembled.rules.extend((0..1).map(host_rule));
    assembled.rules.last_mut().unwrap().when.path_prefix = Some(Name::from(format!("/{long}/")));
    let actions = reader.on_platform_config(NOW, assembled.clone());
    let [ConfigAction::Rejected(error)] = &actions[..] else { panic!("{}", actions.len()) };
    assert!(error.to_string().contains("bytes long once encoded"), "{error}");
    assert_eq!(reader.version(), None);
    assert_eq!(reader.on_platform_config(NOW, assembled), [], "reported once");
}
