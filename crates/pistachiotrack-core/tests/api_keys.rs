//! API keys: what a configuration may contain, and how callers are identified.

mod config_support;

use std::sync::Arc;

use config_support::{CURRENT_SIZES, Sizes, config};
use pistachiotrack_core::{
    api_key::ApiKeyDigest,
    authentication::{PresentedKey, Unidentified, identify},
    config::{Config, ContentSummary, Delta, IndexedConfig},
};
use quickcheck::QuickCheck;
use serde_json::{Value, json};

const KEY: &str = "kpi3-secret-7u";
const MANY_KEYS: usize = 100_000;
const SIZES: Sizes = Sizes { data_centres: 1, services: 1, endpoints: 2, customers: 3, rules: 2 };

fn digest(key: &str) -> ApiKeyDigest {
    key.parse().unwrap()
}

fn keyed_config(keys: &[(usize, &str)]) -> Config {
    let mut config = config(7, SIZES);
    config.api_keys_required = true;
    for (customer, key) in keys {
        config.customers[*customer].api_keys.push(digest(key));
    }
    config
}

fn parse_error(change: impl FnOnce(&mut Value)) -> String {
    let mut value = serde_json::to_value(config(7, CURRENT_SIZES)).unwrap();
    change(&mut value);
    Config::parse("timeliten.json", value.to_string().as_bytes()).unwrap_err().to_string()
}

fn presented(values: &[&str]) -> PresentedKey {
    PresentedKey::from_values(values.iter().map(|value| value.as_bytes()))
}

#[test]
fn a_key_identifies_the_customer_that_holds_it() {
    let config = IndexedConfig::new(Arc::new(keyed_config(&[(0, "a1"), (2, "b1"), (2, "b2")])));
    for (key, customer) in [("a1", 0), ("b1", 2), ("b2", 2), ("  b2 ", 2)] {
        assert_eq!(identify(&config, presented(&[key])).unwrap(), &config.customers[customer]);
    }
    for (values, cause) in [
        (&[][..], Unidentified::Missing),
        (&["a1", "a1"], Unidentified::Several),
        (&[""], Unidentified::Malformed),
        (&["a1,b1"], Unidentified::Unknown),
        (&["A1"], Unidentified::Unknown),
        (&["a1 b1"], Unidentified::Malformed),
    ] {
        assert_eq!(identify(&config, presented(values)), Err(cause), "{values:?}");
    }
}

/// Guards against a header that identifies a customer although it doesn't hold its key.
#[test]
fn no_other_bytes_identify_a_customer() {
    fn check(bytes: Vec<u8>) -> bool {
        let config = IndexedConfig::new(Arc::new(keyed_config(&[(1, KEY)])));
        let presented = PresentedKey::from_values([&bytes[..]].into_iter());
        identify(&config, presented).is_err() || bytes.trim_ascii() == KEY.as_bytes()
    }
    QuickCheck::new().quickcheck(check as fn(Vec<u8>) -> bool);
    assert!(check(KEY.as_bytes().to_vec()));
}

/// Guards against a key in a log line: neither a configuration nor an error shows it.
#[test]
fn no_text_shows_a_key() {
    let config = keyed_config(&[(0, KEY)]);
    let encoded = serde_json::to_string(&config).unwrap();
    assert!(!format!("{config:?} {encoded}").contains(KEY));
    assert_eq!(Config::parse("again.json", encoded.as_bytes()).unwrap(), config);
    let errors = [
        parse_error(|value| value["customers"][1]["api_keys"] = json!(KEY)),
        parse_error(|value| value["customers"][1]["api_keys"] = json!({ KEY: 1 })),
        parse_error(|value| value["customers"][1]["api_keys"] = json!([[KEY]])),
        parse_error(|value| value["customers"][1]["api_keys"] = json!([KEY, KEY])),
        parse_error(|value| value["customers"][1]["api_keys"] = json!([format!("{KEY}\n")])),
        parse_error(|value| value["customers"][1]["api_keys"] = json!([format!("é{KEY}")])),
        parse_error(|value| value["customers"][1]["api_keys"] = json!([KEY.repeat(40)])),
    ];
    for error in errors {
        assert!(error.starts_with("timeliten.json: customers[1].api_keys"), "{error}");
        assert!(!error.contains(KEY), "{error}");
    }
}

#[test]
fn an_invalid_key_is_reported_with_its_field_and_customer() {
    let empty = parse_error(|value| value["customers"][1]["api_keys"] = json!([KEY, ""]));
    assert!(empty.contains("customers[1].api_keys: [1]: the key is empty"), "{empty}");
    assert!(empty.ends_with("(customer \"customer-1\")"), "{empty}");
    let shared = parse_error(|value| {
        value["customers"][0]["api_keys"] = json!([KEY]);
        value["customers"][2]["api_keys"] = json!(["other", KEY]);
    });
    let expected = "customers[2].api_keys[1]: the key of \"customer-2\" is already one of \
                    \"customer-0\"";
    assert!(shared.contains(expected), "{shared}");
}

/// A key that is given to another customer, and a customer that is renamed.
#[test]
fn deltas_move_and_remove_keys() {
    let base = keyed_config(&[(0, "a1"), (0, "a2"), (1, "b1")]);
    let mut new = base.clone();
    new.version += 1;
    let moved = new.customers[0].api_keys.remove(0);
    new.customers[1].api_keys.push(moved);
    new.customers[2].name = "renamed".into();
    let hash = |config: &Config| ContentSummary::of(config).unwrap().hash;
    let delta = Delta::between(&base, hash(&base), &new, hash(&new));
    assert_eq!(delta.apply(&base, hash(&base)).unwrap(), new);
}

#[test]
fn one_of_many_keys_is_found_and_removed_with_a_small_delta() {
    let mut base = keyed_config(&[]);
    base.customers[1].api_keys =
        (0..MANY_KEYS).map(|index| digest(&format!("key-{index}"))).collect();
    assert!(base.check("test").is_empty());
    let index = IndexedConfig::new(Arc::new(base.clone()));
    let found = identify(&index, presented(&["key-77777"])).unwrap();
    assert_eq!(found.name, base.customers[1].name);
    let mut new = base.clone();
    new.version += 1;
    new.customers[1].api_keys.remove(77_777);
    let hash = |config: &Config| ContentSummary::of(config).unwrap().hash;
    let delta = Delta::between(&base, hash(&base), &new, hash(&new));
    assert!(postcard::to_stdvec(&delta).unwrap().len() < 400);
    assert_eq!(delta.apply(&base, hash(&base)).unwrap(), new);
}
