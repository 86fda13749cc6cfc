//! An index over the rule conditions that depend on the request alone.
//!
//! This is a tuple space search: rules are grouped by the set of conditions that
//! they have, as a bit mask. All rules of a group are found with one hash of the
//! request's values for these conditions, so that a lookup costs a few hashes per
//! group, independent of the number of rules. Each rule found is checked against
//! all its conditions, and the smallest position wins, as in an ordered scan.

use rustc_hash::{FxHashMap, FxHashSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    request::Class,
    rule::{Conditions, HeaderCondition, Rule},
};

const CUSTOMER: u8 = 1 << 0;
const METHOD: u8 = 1 << 1;
const PATH: u8 = 1 << 2;
const HEADER: u8 = 1 << 3;
const CLASS: u8 = 1 << 4;
const SERVICE: u8 = 1 << 5;
const DATA_CENTRE: u8 = 1 << 6;
const HOST: u8 = 1 << 7;

/// The values of a lookup. A missing value excludes every rule with a condition
/// on it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Lookup<'a> {
    pub(super) customer: Option<&'a str>,
    pub(super) host: Option<&'a str>,
    pub(super) method: Option<&'a str>,
    pub(super) path: Option<&'a str>,
    pub(super) headers: &'a [(&'a str, &'a str)],
    pub(super) class: Option<Class>,
    pub(super) service: Option<&'a str>,
    pub(super) data_centre: Option<&'a str>,
}

/// The index of a list of rules.
#[derive(Clone, Debug, Default)]
pub(super) struct RuleIndex {
    /// Groups, sorted by their first rule.
    groups: Vec<MaskGroup>,
    /// Positions of rules. Each bucket is a range of it in ascending order.
    positions: Vec<u32>,
    /// Hashes of all values in the rules, so that most values of a request are
    /// discarded before they are combined.
    values: FxHashSet<u64>,
    max_prefix_bytes: usize,
    has_headers: bool,
}

#[derive(Clone, Debug)]
struct MaskGroup {
    mask: u8,
    /// Position of the first rule.
    first: u32,
    buckets: FxHashMap<u64, Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: u32,
    count: u32,
}

impl RuleIndex {
    /// Builds the index of `rules`.
    pub(super) fn new(rules: &[Rule]) -> RuleIndex {
        let mut index = RuleIndex::default();
        let mut keys: Vec<(u8, u64, u32)> = Vec::with_capacity(rules.len());
        for (position, rule) in rules.iter().enumerate() {
            let (mask, key) = index.insert(&rule.when);
            keys.push((mask, key, position as u32));
        }
        keys.sort_unstable();
        for bucket in keys.chunk_by(|left, right| (left.0, left.1) == (right.0, right.1)) {
            index.push_bucket(rules, bucket);
        }
        index.groups.sort_by_key(|group| group.first);
        index
    }

    /// Returns the smallest position before `end` that `accept` holds for, among
    /// the rules whose indexed conditions may match the lookup.
    pub(super) fn find(
        &self,
        lookup: &Lookup<'_>,
        end: usize,
        accept: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let values = LookupHashes::new(self, lookup);
        let mut best = end;
        for group in &self.groups {
            if group.first as usize >= best {
                break;
            }
            let Some(base_key) = values.single_value_key(group.mask) else { continue };
            for path in values.paths(group.mask) {
                for header in values.headers(group.mask) {
                    let key = base_key ^ path ^ header;
                    let Some(bucket) = group.buckets.get(&key) else { continue };
                    best = self.first_match(*bucket, best, &accept).unwrap_or(best);
                }
            }
        }
        (best < end).then_some(best)
    }

    /// Returns the number of distinct sets of conditions.
    pub(super) fn condition_set_count(&self) -> usize {
        self.groups.len()
    }

    fn first_match(
        &self,
        bucket: Bucket,
        end: usize,
        accept: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let start = bucket.start as usize;
        let positions = &self.positions[start..start + bucket.count as usize];
        positions
            .iter()
            .map(|position| *position as usize)
            .take_while(|position| *position < end)
            .find(|position| accept(*position))
    }

    fn insert(&mut self, when: &Conditions) -> (u8, u64) {
        let mut mask = 0;
        let mut key = 0;
        let mut add = |condition: u8, hash: Option<u64>| {
            let Some(hash) = hash else { return };
            mask |= condition;
            key ^= hash;
            self.values.insert(hash);
        };
        add(CUSTOMER, when.customer.as_deref().map(|value| hash(CUSTOMER, value)));
        add(HOST, when.host.as_deref().map(|value| hash(HOST, value)));
        add(METHOD, when.method.as_deref().map(|value| hash(METHOD, value)));
        add(PATH, when.path_prefix.as_deref().map(|value| hash(PATH, value)));
        add(
            HEADER,
            when.header.as_ref().map(|HeaderCondition { name, value }| header_hash(name, value)),
        );
        add(CLASS, when.class.map(|value| hash(CLASS, value.as_str())));
        add(SERVICE, when.service.as_deref().map(|value| hash(SERVICE, value)));
        add(DATA_CENTRE, when.data_centre.as_deref().map(|value| hash(DATA_CENTRE, value)));
        let prefix_bytes = when.path_prefix.as_ref().map_or(0, |prefix| prefix.len());
        self.max_prefix_bytes = self.max_prefix_bytes.max(prefix_bytes);
        self.has_headers |= when.header.is_some();
        (mask, key)
    }

    fn push_bucket(&mut self, rules: &[Rule], entries: &[(u8, u64, u32)]) {
        let (mask, key, first) = entries[0];
        let start = self.positions.len() as u32;
        let mut reachable: Vec<u32> = Vec::new();
        for &(_, _, position) in entries {
            let when = &rules[position as usize].when;
            // Many rules with the same conditions would turn the bucket into a long
            // scan. Rules that an earlier one covers are unreachable and left out.
            let covered =
                reachable.last().is_some_and(|earlier| rules[*earlier as usize].when.covers(when));
            if !covered {
                reachable.push(position);
            }
        }
        let bucket = Bucket { start, count: reachable.len() as u32 };
        self.positions.extend(reachable);
        let group = match self.groups.last_mut() {
            Some(group) if group.mask == mask => group,
            _ => {
                let buckets = FxHashMap::default();
                self.groups.push(MaskGroup { mask, first, buckets });
                let last = self.groups.len() - 1;
                &mut self.groups[last]
            }
        };
        group.first = group.first.min(first);
        group.buckets.insert(key, bucket);
    }
}

/// Hashes of the lookup's values that occur in any rule.
struct LookupHashes {
    /// Mask of the conditions that the lookup can match, without path and header.
    present: u8,
    customer: u64,
    host: u64,
    method: u64,
    class: u64,
    service: u64,
    data_centre: u64,
    paths: Vec<u64>,
    headers: Vec<u64>,
}

/// Placeholder hash for a condition that a group doesn't have.
const NO_CONDITION: &[u64] = &[0];

impl LookupHashes {
    fn new(index: &RuleIndex, lookup: &Lookup<'_>) -> LookupHashes {
        let mut present = 0;
        let mut hash_value = |condition: u8, value: Option<&str>| {
            let Some(value) = value else { return 0 };
            let hash = hash(condition, value);
            if index.values.contains(&hash) {
                present |= condition;
            }
            hash
        };
        let customer = hash_value(CUSTOMER, lookup.customer);
        let host = hash_value(HOST, lookup.host);
        let method = hash_value(METHOD, lookup.method);
        let class = hash_value(CLASS, lookup.class.map(Class::as_str));
        let service = hash_value(SERVICE, lookup.service);
        let data_centre = hash_value(DATA_CENTRE, lookup.data_centre);
        let paths = prefixes(lookup.path, index.max_prefix_bytes)
            .map(|prefix| hash(PATH, prefix))
            .filter(|hash| index.values.contains(hash))
            .collect();
        let headers = if index.has_headers { lookup.headers } else { &[] };
        let headers = headers
            .iter()
            .map(|(name, value)| header_hash(name, value))
            .filter(|hash| index.values.contains(hash))
            .collect();
        LookupHashes {
            present,
            customer,
            host,
            method,
            class,
            service,
            data_centre,
            paths,
            headers,
        }
    }

    /// Returns the combined hash of the conditions with a single value each, or
    /// `None` if the lookup can't match them.
    fn single_value_key(&self, mask: u8) -> Option<u64> {
        let required = mask & !(PATH | HEADER);
        if required & !self.present != 0 {
            return None;
        }
        let term = |condition: u8, hash: u64| if required & condition != 0 { hash } else { 0 };
        Some(
            term(CUSTOMER, self.customer)
                ^ term(HOST, self.host)
                ^ term(METHOD, self.method)
                ^ term(CLASS, self.class)
                ^ term(SERVICE, self.service)
                ^ term(DATA_CENTRE, self.data_centre),
        )
    }

    fn paths(&self, mask: u8) -> impl Iterator<Item = u64> {
        let hashes = if mask & PATH != 0 { &self.paths } else { NO_CONDITION };
        hashes.iter().copied()
    }

    fn headers(&self, mask: u8) -> impl Iterator<Item = u64> {
        let hashes = if mask & HEADER != 0 { &self.headers } else { NO_CONDITION };
        hashes.iter().copied()
    }
}

/// Returns every prefix for which [`crate::rule::path_starts_with`] holds, up to
/// a length limit, since a caller's path may have thousands of segments.
fn prefixes(path: Option<&str>, max_bytes: usize) -> impl Iterator<Item = &str> {
    let path = path.unwrap_or_default();
    let boundaries = path.match_indices('/').flat_map(|(slash, _)| [slash, slash + 1]);
    let inner = boundaries.filter(|end| *end < path.len());
    inner
        .take_while(move |end| *end <= max_bytes)
        .chain((path.len() <= max_bytes).then_some(path.len()))
        .map(|end| &path[..end])
}

fn hash(condition: u8, value: &str) -> u64 {
    xxh3_64_with_seed(value.as_bytes(), u64::from(condition))
}

fn header_hash(name: &str, value: &str) -> u64 {
    hash(HEADER, name).rotate_left(1) ^ hash(HEADER, value)
}
