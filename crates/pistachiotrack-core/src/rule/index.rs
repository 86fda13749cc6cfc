//! An index over the conditions of rules that a request alone decides.
//!
//! Rules are grouped by *shape*: the set of conditions that they have. All
//! rules of one shape are found by one hash of the request's values for these
//! conditions, so a look-up costs a few hashes for each shape in use, whatever
//! the number of rules. What a hash finds is checked against the rule itself,
//! and the smallest position wins: the meaning is that of the ordered scan.

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

/// The values that a look-up goes by; an absent one excludes every rule with a
/// condition on it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Probe<'a> {
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
    /// Shapes in use, the one with the earliest rule first.
    shapes: Vec<Shape>,
    /// Positions of rules; buckets are runs of it, each in ascending order.
    positions: Vec<u32>,
    /// Hashes of all values in use, so that most values of a request are
    /// dropped before they are combined.
    values: FxHashSet<u64>,
    longest_prefix_bytes: usize,
    has_headers: bool,
}

#[derive(Clone, Debug)]
struct Shape {
    conditions: u8,
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
            let (shape, key) = index.enter(&rule.when);
            keys.push((shape, key, position as u32));
        }
        keys.sort_unstable();
        for bucket in keys.chunk_by(|left, right| (left.0, left.1) == (right.0, right.1)) {
            index.push_bucket(rules, bucket);
        }
        index.shapes.sort_by_key(|shape| shape.first);
        index
    }

    /// Returns the smallest position before `limit` that `accept` agrees to,
    /// among the rules whose conditions the probe may fulfil.
    pub(super) fn find(
        &self,
        probe: &Probe<'_>,
        limit: usize,
        accept: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let values = Values::new(self, probe);
        let mut best = limit;
        for shape in &self.shapes {
            if shape.first as usize >= best {
                break;
            }
            let Some(fixed) = values.fixed(shape.conditions) else { continue };
            for path in values.paths(shape.conditions) {
                for header in values.headers(shape.conditions) {
                    let key = fixed ^ path ^ header;
                    let Some(bucket) = shape.buckets.get(&key) else { continue };
                    best = self.first_in(*bucket, best, &accept).unwrap_or(best);
                }
            }
        }
        (best < limit).then_some(best)
    }

    /// Returns the number of shapes in use.
    pub(super) fn shape_count(&self) -> usize {
        self.shapes.len()
    }

    fn first_in(
        &self,
        bucket: Bucket,
        limit: usize,
        accept: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let start = bucket.start as usize;
        let positions = &self.positions[start..start + bucket.count as usize];
        positions
            .iter()
            .map(|position| *position as usize)
            .take_while(|position| *position < limit)
            .find(|position| accept(*position))
    }

    fn enter(&mut self, when: &Conditions) -> (u8, u64) {
        let mut shape = 0;
        let mut key = 0;
        let mut add = |condition: u8, hash: Option<u64>| {
            let Some(hash) = hash else { return };
            shape |= condition;
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
        self.longest_prefix_bytes = self.longest_prefix_bytes.max(prefix_bytes);
        self.has_headers |= when.header.is_some();
        (shape, key)
    }

    fn push_bucket(&mut self, rules: &[Rule], entries: &[(u8, u64, u32)]) {
        let (conditions, key, first) = entries[0];
        let start = self.positions.len() as u32;
        let mut kept: Vec<u32> = Vec::new();
        for &(_, _, position) in entries {
            let when = &rules[position as usize].when;
            // Many rules with the same conditions would make the bucket a long
            // scan; those that an earlier one covers are never reached.
            let covered =
                kept.last().is_some_and(|earlier| rules[*earlier as usize].when.covers(when));
            if !covered {
                kept.push(position);
            }
        }
        let bucket = Bucket { start, count: kept.len() as u32 };
        self.positions.extend(kept);
        let shape = match self.shapes.last_mut() {
            Some(shape) if shape.conditions == conditions => shape,
            _ => {
                let buckets = FxHashMap::default();
                self.shapes.push(Shape { conditions, first, buckets });
                let last = self.shapes.len() - 1;
                &mut self.shapes[last]
            }
        };
        shape.first = shape.first.min(first);
        shape.buckets.insert(key, bucket);
    }
}

/// Hashes of a probe's values, as far as any rule has them.
struct Values {
    /// Conditions that the probe can fulfil, without path and header.
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

/// Stands for a condition that a shape doesn't have.
const ABSENT: &[u64] = &[0];

impl Values {
    fn new(index: &RuleIndex, probe: &Probe<'_>) -> Values {
        let mut present = 0;
        let mut known = |condition: u8, value: Option<&str>| {
            let Some(value) = value else { return 0 };
            let hash = hash(condition, value);
            if index.values.contains(&hash) {
                present |= condition;
            }
            hash
        };
        let customer = known(CUSTOMER, probe.customer);
        let host = known(HOST, probe.host);
        let method = known(METHOD, probe.method);
        let class = known(CLASS, probe.class.map(Class::as_str));
        let service = known(SERVICE, probe.service);
        let data_centre = known(DATA_CENTRE, probe.data_centre);
        let paths = prefixes(probe.path, index.longest_prefix_bytes)
            .map(|prefix| hash(PATH, prefix))
            .filter(|hash| index.values.contains(hash))
            .collect();
        let headers = if index.has_headers { probe.headers } else { &[] };
        let headers = headers
            .iter()
            .map(|(name, value)| header_hash(name, value))
            .filter(|hash| index.values.contains(hash))
            .collect();
        Values { present, customer, host, method, class, service, data_centre, paths, headers }
    }

    /// Returns the combined hash of the conditions with one value each, or
    /// `None` if the probe can't fulfil them.
    fn fixed(&self, conditions: u8) -> Option<u64> {
        let wanted = conditions & !(PATH | HEADER);
        if wanted & !self.present != 0 {
            return None;
        }
        let part = |condition: u8, hash: u64| if wanted & condition != 0 { hash } else { 0 };
        Some(
            part(CUSTOMER, self.customer)
                ^ part(HOST, self.host)
                ^ part(METHOD, self.method)
                ^ part(CLASS, self.class)
                ^ part(SERVICE, self.service)
                ^ part(DATA_CENTRE, self.data_centre),
        )
    }

    fn paths(&self, conditions: u8) -> impl Iterator<Item = u64> {
        let hashes = if conditions & PATH != 0 { &self.paths } else { ABSENT };
        hashes.iter().copied()
    }

    fn headers(&self, conditions: u8) -> impl Iterator<Item = u64> {
        let hashes = if conditions & HEADER != 0 { &self.headers } else { ABSENT };
        hashes.iter().copied()
    }
}

/// Returns every prefix that [`crate::rule::path_starts_with`] holds for, up
/// to a length: a caller's path may have thousands of segments.
fn prefixes(path: Option<&str>, longest_bytes: usize) -> impl Iterator<Item = &str> {
    let path = path.unwrap_or_default();
    let boundaries = path.match_indices('/').flat_map(|(at, _)| [at, at + 1]);
    let inner = boundaries.filter(|end| *end < path.len());
    inner
        .take_while(move |end| *end <= longest_bytes)
        .chain((path.len() <= longest_bytes).then_some(path.len()))
        .map(|end| &path[..end])
}

fn hash(condition: u8, value: &str) -> u64 {
    xxh3_64_with_seed(value.as_bytes(), u64::from(condition))
}

fn header_hash(name: &str, value: &str) -> u64 {
    hash(HEADER, name).rotate_left(1) ^ hash(HEADER, value)
}
