//! Deltas between versions of a configuration.

mod config_support;

use std::sync::Arc;

use config_support::{Sizes, config, endpoint, name};
use pistachiotrack_core::config::{Config, ContentHash, ContentSummary, Delta, DeltaError};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const SIZES: Sizes = Sizes { data_centres: 2, services: 4, endpoints: 12, customers: 6, rules: 8 };

/// A change to a configuration; indices wrap around.
#[derive(Clone, Debug)]
enum Edit {
    Slots(u8, u8),
    RemoveEndpoint(u8),
    AddEndpoint(u8),
    MoveRule(u8, u8),
    RemoveRule(u8),
    AddRule(u8),
    Contract(u8, u8),
    RemoveService(u8),
    RenameService(u8),
    HeaderBytes(u8),
    Lifetime(u8),
}

impl Arbitrary for Edit {
    fn arbitrary(g: &mut Gen) -> Edit {
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        match u8::arbitrary(g) % 11 {
            0 => Edit::Slots(a, b),
            1 => Edit::RemoveEndpoint(a),
            2 => Edit::AddEndpoint(a),
            3 => Edit::MoveRule(a, b),
            4 => Edit::RemoveRule(a),
            5 => Edit::AddRule(a),
            6 => Edit::Contract(a, b),
            7 => Edit::RemoveService(a),
            8 => Edit::RenameService(a),
            9 => Edit::HeaderBytes(a),
            _ => Edit::Lifetime(a),
        }
    }
}

fn at<T>(items: &mut [T], index: u8) -> Option<&mut T> {
    let count = items.len().max(1);
    items.get_mut(index as usize % count)
}

fn remove<T>(items: &mut Vec<T>, index: u8) -> Option<T> {
    (!items.is_empty()).then(|| items.remove(index as usize % items.len()))
}

fn apply(config: &mut Config, edit: &Edit, suffix: u32) {
    match *edit {
        Edit::Slots(service, slots) => {
            if let Some(service) = at(&mut config.services, service)
                && let Some(endpoint) = at(&mut service.endpoints, slots)
            {
                endpoint.slots += 1 + u32::from(slots);
            }
        }
        Edit::RemoveEndpoint(service) => {
            if let Some(service) = at(&mut config.services, service) {
                remove(&mut service.endpoints, 1);
            }
        }
        Edit::AddEndpoint(service) => {
            if let Some(service) = at(&mut config.services, service) {
                service.endpoints.insert(0, endpoint(1_000 + suffix, SIZES));
            }
        }
        Edit::MoveRule(from, to) => {
            if let Some(rule) = remove(&mut config.rules, from) {
                let to = to as usize % (config.rules.len() + 1);
                config.rules.insert(to, rule);
            }
        }
        Edit::RemoveRule(rule) => {
            remove(&mut config.rules, rule);
        }
        Edit::AddRule(to) => {
            let Some(mut rule) = config.rules.first().cloned() else { return };
            rule.name = name("fresh-rule", suffix);
            config.rules.insert(to as usize % config.rules.len(), rule);
        }
        Edit::Contract(customer, slots) => {
            if let Some(customer) = at(&mut config.customers, customer) {
                customer.contracts[0].slots += 1 + u32::from(slots);
            }
        }
        Edit::RemoveService(service) => {
            remove(&mut config.services, service);
        }
        Edit::RenameService(service) => {
            if let Some(service) = at(&mut config.services, service) {
                service.name = name("fresh-service", suffix);
            }
        }
        Edit::HeaderBytes(bytes) => config.caller_limits.header_bytes = Some(u64::from(bytes)),
        Edit::Lifetime(lifetime) => config.entry_lifetime_ms = 1 + u64::from(lifetime),
    }
}

fn edited(base: &Config, edits: &[Edit]) -> Config {
    let mut new = base.clone();
    new.version += 1;
    let first = new.version as u32 * 1_000;
    for (suffix, edit) in (first..).zip(edits) {
        apply(&mut new, edit, suffix);
    }
    new
}

fn hash(config: &Config) -> ContentHash {
    ContentSummary::of(config).unwrap().hash
}

fn delta(base: &Config, new: &Config) -> Delta {
    Delta::between(base, hash(base), new, hash(new))
}

#[test]
fn a_chain_of_deltas_results_in_the_published_content() {
    fn property(versions: Vec<Vec<Edit>>) -> bool {
        let base = Arc::new(config(1, SIZES));
        let mut newest = Config::clone(&base);
        let mut deltas = Vec::new();
        for edits in &versions {
            let new = edited(&newest, edits);
            let encoded = postcard::to_stdvec(&delta(&newest, &new)).unwrap();
            deltas.push(postcard::from_bytes(&encoded).unwrap());
            newest = new;
        }
        let (result, content) = Delta::apply_all(deltas, &base, hash(&base)).unwrap();
        result == newest && content.hash == hash(&newest)
    }
    let rng = Gen::from_size_and_seed(12, 7);
    QuickCheck::new().rng(rng).tests(500).quickcheck(property as fn(Vec<Vec<Edit>>) -> bool);
}

/// Bits of a delta are flipped, or it is truncated. It must be rejected or result in the
/// published content, and never in other content or a panic.
#[test]
fn a_corrupted_delta_results_in_the_published_content_or_an_error() {
    fn property(edits: Vec<Edit>, flips: Vec<(u16, u8)>, keep: u16) -> bool {
        let base = Arc::new(config(1, SIZES));
        let new = edited(&base, &edits);
        let mut encoded = postcard::to_stdvec(&delta(&base, &new)).unwrap();
        for (at, bit) in flips {
            let at = at as usize % encoded.len();
            encoded[at] ^= 1 << (bit % 8);
        }
        if keep.is_multiple_of(4) {
            encoded.truncate(keep as usize % encoded.len());
        }
        let Ok(corrupted) = postcard::from_bytes::<Delta>(&encoded) else { return true };
        let expected = corrupted.result_hash;
        match Delta::apply_all(vec![corrupted], &base, hash(&base)) {
            Ok((result, content)) => content.hash == expected && hash(&result) == expected,
            Err(_) => true,
        }
    }
    let rng = Gen::from_size_and_seed(6, 8);
    QuickCheck::new()
        .rng(rng)
        .tests(2_000)
        .quickcheck(property as fn(Vec<Edit>, Vec<(u16, u8)>, u16) -> bool);
}

#[test]
fn random_bytes_never_decode_to_an_applicable_delta() {
    fn property(bytes: Vec<u8>) -> bool {
        let base = Arc::new(config(1, SIZES));
        match postcard::from_bytes::<Delta>(&bytes) {
            Ok(delta) => Delta::apply_all(vec![delta], &base, hash(&base)).is_err(),
            Err(_) => true,
        }
    }
    let rng = Gen::from_size_and_seed(400, 9);
    QuickCheck::new().rng(rng).tests(2_000).quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn a_delta_for_another_base_is_rejected() {
    let base = config(1, SIZES);
    let new = edited(&base, &[Edit::Slots(0, 0)]);
    let mut other = base.clone();
    other.entry_lifetime_ms += 1;
    let result = Delta::apply_all(vec![delta(&base, &new)], &Arc::new(other.clone()), hash(&other));
    assert_eq!(result.map(|_| ()), Err(DeltaError::BaseMismatch));
}

/// One endpoint of a large service changes. The delta contains that endpoint and not the
/// whole service.
#[test]
fn a_delta_contains_only_the_changed_endpoint() {
    let sizes = Sizes { endpoints: 4_000, ..SIZES };
    let base = config(1, sizes);
    let new = edited(&base, &[Edit::Slots(0, 9)]);
    let bytes = postcard::to_stdvec(&delta(&base, &new)).unwrap().len();
    assert!(bytes < 200, "{bytes}");
}
