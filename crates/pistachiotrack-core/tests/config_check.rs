//! Validation of a configuration value.

mod config_support;

use config_support::{CURRENT_SIZES, config, json};
use pistachiotrack_core::config::{Config, ConfigError, IndexedConfig, MAX_VALUE_BYTES};
use quickcheck::{Gen, QuickCheck};
use serde_json::{Value, json};

/// Replaces the value at a JSON pointer, or adds the member if it is missing.
fn with_value(pointer: &str, value: Value) -> Vec<u8> {
    let mut tree = serde_json::to_value(config(7, CURRENT_SIZES)).unwrap();
    match tree.pointer_mut(pointer) {
        Some(place) => *place = value,
        None => {
            let (parent, member) = pointer.rsplit_once('/').unwrap();
            let parent = tree.pointer_mut(parent).unwrap().as_object_mut().unwrap();
            parent.insert(member.to_owned(), value);
        }
    }
    serde_json::to_vec(&tree).unwrap()
}

fn parse_error(pointer: &str, value: Value) -> ConfigError {
    Config::parse("timeliten.json", &with_value(pointer, value)).expect_err(pointer)
}

#[test]
fn a_valid_value_is_accepted() {
    let parsed = Config::parse("timeliten.json", &json(&config(7, CURRENT_SIZES))).unwrap();
    assert_eq!(parsed, config(7, CURRENT_SIZES));
    assert_eq!(parsed.warnings(), []);
}

/// Each invalid field is reported with the file, the path of the field and the value.
#[test]
fn each_error_names_its_field_and_value() {
    let cases = [
        ("/deployment", json!(""), "deployment", "\"\""),
        ("/deployment", json!("a\nb"), "deployment", "a\\nb"),
        ("/entry_lifetime_ms", json!(0), "entry_lifetime_ms", "0"),
        ("/entry_lifetime_ms", json!(600_001), "entry_lifetime_ms", "600001"),
        ("/data_centres/1/name", json!("dc-0"), "data_centres[1].name", "dc-0"),
        ("/data_centres/1/region", json!(" oslo"), "data_centres[1].region", " oslo"),
        ("/services/2/name", json!("service-0"), "services[2].name", "service-0"),
        ("/services/0/floor", json!(13), "services[0].floor", "13"),
        ("/services/0/sensitivity", json!(1.01), "services[0].sensitivity", "1.01"),
        ("/services/0/sensitivity", json!(-0.5), "services[0].sensitivity", "-0.5"),
        ("/services/0/timeout_ms", json!(0), "services[0].timeout_ms", "0"),
        ("/services/0/timeout_ms", json!(86_400_001), "services[0].timeout_ms", "86400001"),
        ("/services/0/shard_endpoints", json!(0), "services[0].shard_endpoints", "0"),
        ("/services/0/probe_path", json!("healthz"), "services[0].probe_path", "healthz"),
        (
            "/services/1/endpoints/0/name",
            json!("endpoint-0"),
            "services[1].endpoints[0].name",
            "endpoint-0",
        ),
        ("/services/0/endpoints/0/slots", json!(0), "services[0].endpoints[0].slots", "0"),
        (
            "/services/0/endpoints/0/connections",
            json!(0),
            "services[0].endpoints[0].connections",
            "0",
        ),
        (
            "/services/0/endpoints/0/data_centre",
            json!("dc-9"),
            "services[0].endpoints[0].data_centre",
            "dc-9",
        ),
        (
            "/services/1/endpoints/0/address",
            json!("10.0.0.0:8080"),
            "services[1].endpoints[0].address",
            "10.0.0.0:8080",
        ),
        (
            "/services/0/endpoints/0/address",
            json!("10.0.0.0:0"),
            "services[0].endpoints[0].address",
            "10.0.0.0:0",
        ),
        ("/customers/1/name", json!("customer-0"), "customers[1].name", "customer-0"),
        ("/customers/1/contracts/0/service", json!("x"), "customers[1].contracts[0].service", "x"),
        ("/customers/1/contracts/0/slots", json!(0), "customers[1].contracts[0].slots", "0"),
        ("/rules/3/name", json!("rule-1"), "rules[3].name", "rule-1"),
        ("/rules/3/when/customer", json!("nobody"), "rules[3].when.customer", "nobody"),
        ("/rules/3/when/method", json!(""), "rules[3].when.method", "\"\""),
        ("/rules/3/when/path_prefix", json!("a"), "rules[3].when.path_prefix", "\"a\""),
        ("/rules/3/when/path_prefix", json!("/a?b"), "rules[3].when.path_prefix", "/a?b"),
        (
            "/rules/3/when/header",
            json!({"name": "X-A", "value": ""}),
            "rules[3].when.header.name",
            "X-A",
        ),
        ("/rules/3/when/service", json!("x"), "rules[3].when.service", "\"x\""),
        ("/rules/3/when/data_centre", json!("dc-9"), "rules[3].when.data_centre", "dc-9"),
        ("/rules/3/when/service_at_floor", json!("x"), "rules[3].when.service_at_floor", "\"x\""),
        (
            "/rules/3/when/queue_wait_at_least",
            json!({"service": "x", "wait_ms": 5}),
            "rules[3].when.queue_wait_at_least.service",
            "\"x\"",
        ),
        (
            "/rules/3/then",
            json!({"route": {"service": "x"}}),
            "rules[3].then.route.service",
            "\"x\"",
        ),
        (
            "/rules/3/then",
            json!({"route": {"service": "service-0", "timeout_ms": 0}}),
            "rules[3].then.route.timeout_ms",
            "0",
        ),
        (
            "/rules/3/then",
            json!({"route": {"service": "service-0", "hedge": true}}),
            "rules[3].then.route.hedge",
            "true",
        ),
        ("/rules/3/then", json!({"refuse": {"status": 399}}), "rules[3].then.refuse.status", "399"),
        ("/rules/3/then", json!({"refuse": {"status": 600}}), "rules[3].then.refuse.status", "600"),
    ];
    for (pointer, value, field, found) in cases {
        let error = parse_error(pointer, value);
        assert_eq!(error.file.as_str(), "timeliten.json");
        assert_eq!(error.field, field, "{error}");
        assert!(error.problem.contains(found), "{error} lacks {found}");
    }
}

#[test]
fn a_second_contract_for_a_service_is_rejected() {
    let contract = json!({"service": "service-0", "slots": 1});
    let error = parse_error("/customers/0/contracts", json!([contract, contract]));
    assert_eq!(error.field, "customers[0].contracts[1].service");
}

#[test]
fn unknown_fields_and_wrong_types_are_rejected_with_their_path() {
    let error = parse_error("/services/1/endpoints/2/weight", json!(3));
    assert_eq!(error.field, "services[1].endpoints[2].weight");
    assert!(error.problem.contains("unknown field `weight`"), "{error}");
    let error = parse_error("/services/1/endpoints/2/slots", json!("two"));
    assert_eq!(error.field, "services[1].endpoints[2].slots");
    assert!(error.problem.contains("two"), "{error}");
}

#[test]
fn a_value_above_the_platforms_limit_is_rejected() {
    let mut value = json(&config(7, CURRENT_SIZES));
    value.resize(MAX_VALUE_BYTES, b' ');
    Config::parse("big", &value).unwrap();
    value.push(b' ');
    let error = Config::parse("big", &value).unwrap_err();
    assert!(error.problem.contains("1048577 bytes"), "{error}");
}

#[test]
fn every_problem_is_listed_and_the_first_is_returned() {
    let mut broken = config(7, CURRENT_SIZES);
    broken.services[1].timeout_ms = 0;
    broken.services[2].sensitivity = 2.0;
    broken.rules[4].name = broken.rules[0].name.clone();
    let problems = Config::problems("f", &json(&broken));
    let fields: Vec<&str> = problems.iter().map(|error| error.field.as_str()).collect();
    assert_eq!(fields, ["services[1].timeout_ms", "services[2].sensitivity", "rules[4].name"]);
    assert_eq!(Config::parse("f", &json(&broken)), Err(problems[0].clone()));
    assert_eq!(broken.check("f"), problems);
}

/// An operator marks so many endpoints as leaving that the rest can't fill the floor.
/// Leaving endpoints take no new requests, so accepting the value would leave the
/// service with less healthy capacity than promised.
#[test]
fn leaving_endpoints_dont_count_towards_the_floor() {
    let mut value = config(7, CURRENT_SIZES);
    value.services[0].floor = value.services[0].endpoints.len() as u32;
    assert_eq!(value.check("f"), []);
    value.services[0].endpoints[0].leaving = true;
    let [error] = &value.check("f")[..] else { panic!("one problem expected") };
    assert_eq!(error.field, "services[0].floor");
}

#[test]
fn a_sensitivity_that_is_not_a_number_is_rejected() {
    let mut value = config(7, CURRENT_SIZES);
    value.services[0].sensitivity = f64::NAN;
    assert_eq!(value.check("f")[0].field, "services[0].sensitivity");
}

#[test]
fn overselling_and_empty_services_are_warnings() {
    let mut value = config(7, CURRENT_SIZES);
    value.customers[0].contracts[0].slots = 1_000;
    value.services[1].floor = 0;
    value.services[1].endpoints.iter_mut().for_each(|endpoint| endpoint.leaving = true);
    assert_eq!(value.check("f"), []);
    let fields: Vec<String> = value.warnings().into_iter().map(|it| it.field).collect();
    assert_eq!(fields, ["services[0]", "services[1]", "services[1].endpoints"]);
}

/// Guards against keys that are given out and never looked at, and against a deployment whose last key
/// is taken away unnoticed.
#[test]
fn keys_without_use_and_use_without_keys_are_warnings() {
    let mut value = config(7, CURRENT_SIZES);
    let fields = |value: &Config| -> Vec<String> {
        value.warnings().into_iter().map(|it| it.field).collect()
    };
    value.customers[0].api_keys = vec!["k-1".parse().unwrap()];
    assert_eq!(fields(&value), ["api_keys_required"]);
    value.api_keys_required = true;
    assert_eq!(value.warnings(), []);
    value.customers[0].api_keys.clear();
    assert_eq!(value.check("f"), []);
    assert_eq!(fields(&value), ["api_keys_required"]);
}

#[test]
fn indexed_and_linear_lookups_agree() {
    let value = std::sync::Arc::new(config(7, CURRENT_SIZES));
    let indexed = IndexedConfig::new(std::sync::Arc::clone(&value));
    for service in &value.services {
        assert_eq!(indexed.service(&service.name), Some(service));
    }
    for customer in &value.customers {
        assert_eq!(indexed.customer(&customer.name), Some(customer));
    }
    assert_eq!(indexed.service("customer-0"), None);
    assert_eq!(indexed.customer("service-0"), None);
}

/// Any damage to a published value, from single bits to truncation, results in an error
/// or in a value that is valid, and never in a panic.
#[test]
fn damaged_values_never_panic_and_never_pass_unchecked() {
    fn property(edits: Vec<(u32, u8)>, keep: u32) -> bool {
        let mut value = json(&config(7, CURRENT_SIZES));
        for (at, byte) in edits {
            let at = at as usize % value.len();
            value[at] = byte;
        }
        if keep.is_multiple_of(4) {
            value.truncate(keep as usize % value.len());
        }
        match Config::parse("f", &value) {
            Ok(config) => config.check("f").is_empty() && config.warnings().len() < 1_000,
            Err(error) => !error.field.is_empty() && Config::problems("f", &value)[0] == error,
        }
    }
    let rng = Gen::from_size_and_seed(8, 41);
    QuickCheck::new().rng(rng).tests(1_000).quickcheck(property as fn(Vec<(u32, u8)>, u32) -> bool);
}

/// Fields are replaced by values of any type and size.
#[test]
fn mutated_fields_never_panic() {
    fn property(picks: Vec<(u32, i64, bool)>) -> bool {
        let mut tree = serde_json::to_value(config(7, CURRENT_SIZES)).unwrap();
        for (pick, number, text) in picks {
            let value = if text { json!(number.to_string()) } else { json!(number) };
            let mut leaves = Vec::new();
            collect_leaves(&mut tree, &mut leaves);
            let index = pick as usize % leaves.len();
            *leaves.swap_remove(index) = value;
        }
        let value = serde_json::to_vec(&tree).unwrap();
        match Config::parse("f", &value) {
            Ok(config) => config.check("f").is_empty(),
            Err(error) => Config::problems("f", &value)[0] == error,
        }
    }
    let rng = Gen::from_size_and_seed(6, 42);
    QuickCheck::new().rng(rng).tests(500).quickcheck(property as fn(Vec<(u32, i64, bool)>) -> bool);
}

fn collect_leaves<'a>(tree: &'a mut Value, leaves: &mut Vec<&'a mut Value>) {
    match tree {
        Value::Array(items) => items.iter_mut().for_each(|item| collect_leaves(item, leaves)),
        Value::Object(members) => {
            members.values_mut().for_each(|member| collect_leaves(member, leaves));
        }
        leaf => leaves.push(leaf),
    }
}
