//! Tests that the example files are valid and match the documented deployments.

use std::{collections::BTreeSet, fs, path::PathBuf};

use pistachiotrack_core::{config::Config, rule::RuleAction};

fn example(name: &str) -> Vec<u8> {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
    fs::read(path).expect("example file")
}

fn config(name: &str) -> Config {
    Config::parse(name, &example(name)).expect("valid configuration")
}

fn sizes(config: &Config) -> Vec<(&str, usize, u32)> {
    config
        .services
        .iter()
        .map(|service| (service.name.as_str(), service.endpoints.len(), service.endpoints[0].slots))
        .collect()
}

#[test]
fn sizes_match_the_deployments() {
    let timeliten = config("timeliten.config.json");
    assert_eq!(
        sizes(&timeliten),
        [("slot-search", 6, 2), ("booking", 14, 2), ("centre-calendars", 14, 2)]
    );
    let tlmocnik = config("tlmocnik.config.json");
    assert_eq!(
        sizes(&tlmocnik),
        [
            ("availability-calendar", 6, 3),
            ("hearing-booking", 14, 3),
            ("interpreter-register", 16, 3)
        ]
    );
    for config in [timeliten, tlmocnik] {
        assert_eq!(config.data_centres.len(), 3);
        let endpoints = config.services.iter().flat_map(|service| &service.endpoints);
        assert!(endpoints.clone().all(|endpoint| endpoint.connections == 400));
        let addresses: BTreeSet<_> = endpoints.clone().map(|endpoint| endpoint.address).collect();
        assert_eq!(addresses.len(), endpoints.count(), "addresses are distinct");
    }
}

#[test]
fn contracts_allocate_exactly_the_available_slots() {
    for name in ["timeliten.config.json", "tlmocnik.config.json"] {
        let config = config(name);
        for service in &config.services {
            let slots: u32 = service.endpoints.iter().map(|endpoint| endpoint.slots).sum();
            let contracted: u32 = config
                .customers
                .iter()
                .flat_map(|customer| &customer.contracts)
                .filter(|contract| contract.service == service.name)
                .map(|contract| contract.slots)
                .sum();
            assert_eq!(contracted, slots, "{name}: {}", service.name);
        }
    }
}

#[test]
fn only_get_routes_are_idempotent_and_only_idempotent_routes_are_hedged() {
    for name in ["timeliten.config.json", "tlmocnik.config.json"] {
        for rule in config(name).rules {
            let RuleAction::Route(route) = rule.then else { continue };
            let reads = rule.when.method.is_some_and(|method| method.as_str() == "GET");
            assert_eq!(route.idempotent, reads, "{name}: {}", rule.name);
            assert!(route.idempotent || !route.hedge, "{name}: {}", rule.name);
        }
    }
}

#[test]
fn daemon_settings_have_exactly_the_required_keys() {
    for name in ["timeliten.daemon.json", "tlmocnik.daemon.json"] {
        let settings: serde_json::Value = serde_json::from_slice(&example(name)).expect("JSON");
        let keys: Vec<&str> =
            settings.as_object().expect("object").keys().map(String::as_str).collect();
        let expected = [
            "admin_address",
            "caller_address",
            "data_centre",
            "deployment",
            "peer_address",
            "platform_address",
            "vm",
        ];
        assert_eq!(keys, expected);
        let config = config(&name.replace("daemon", "config"));
        assert_eq!(settings["deployment"], config.deployment.as_str());
        assert!(
            config
                .data_centres
                .iter()
                .any(|centre| settings["data_centre"] == centre.name.as_str())
        );
    }
}
