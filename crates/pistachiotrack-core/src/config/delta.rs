//! Deltas between versions of a configuration.
//!
//! Each list is encoded as operations: ranges that are copied from the base, and items
//! that are inserted. This preserves the order exactly, and one changed item costs that
//! item and two ranges.

use std::{hash::Hash, sync::Arc};

use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};

use crate::{
    api_key::ApiKeyDigest,
    caller_limits::CallerLimits,
    config::{Config, ContentHash, ContentSummary},
    customer::Customer,
    data_centre::DataCentre,
    endpoint::Endpoint,
    name::Name,
    rule::Rule,
    service::Service,
};

/// Converts one version of a configuration to a newer one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Version that the delta applies to.
    pub base_version: u64,
    /// Content hash of the configuration that the delta applies to.
    pub base_hash: ContentHash,
    /// Version of the result.
    pub version: u64,
    /// Content hash of the result.
    pub result_hash: ContentHash,
    entry_lifetime_ms: u64,
    data_centres: Vec<DeltaOp<DataCentre>>,
    services: Vec<DeltaOp<ServiceDelta>>,
    customers: Vec<DeltaOp<CustomerDelta>>,
    rules: Vec<DeltaOp<Rule>>,
    api_keys_required: bool,
    caller_limits: CallerLimits,
    /// [`Config::operators_version`] of the result.
    #[serde(skip)]
    pub operators_version: Option<u64>,
}

/// Why a delta can't be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// The delta was made for another base.
    #[error("the delta belongs to another base")]
    BaseMismatch,
    /// An operation refers to items that the base doesn't have, or refers to items twice.
    #[error("an operation of the delta doesn't fit its base")]
    InvalidOp,
    /// The result differs from the sender's configuration.
    #[error("the result of the delta is not what the sender has")]
    ResultMismatch,
    /// The result can't be encoded.
    #[error("the result can't be encoded")]
    Encoding,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum DeltaOp<T> {
    /// A range of items of the base.
    Copy { from: u32, count: u32 },
    /// Items that are not in the base.
    Insert(Vec<T>),
}

impl<T> DeltaOp<T> {
    fn map_inserted<U>(self, convert: impl Fn(T) -> U) -> DeltaOp<U> {
        match self {
            DeltaOp::Copy { from, count } => DeltaOp::Copy { from, count },
            DeltaOp::Insert(items) => DeltaOp::Insert(items.into_iter().map(convert).collect()),
        }
    }
}

/// A changed or new service. Contains only the endpoints that have changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct ServiceDelta {
    /// Position of the service in the base, unless it is new.
    base: Option<u32>,
    /// The service without its endpoints.
    settings: Service,
    endpoints: Vec<DeltaOp<Endpoint>>,
}

/// A changed or new customer. Contains only the API keys that have changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct CustomerDelta {
    /// Position of the customer in the base, unless it is new.
    base: Option<u32>,
    /// The customer without its API keys.
    settings: Customer,
    api_keys: Vec<DeltaOp<ApiKeyDigest>>,
}

impl Delta {
    /// Returns the delta from `base` to `new`, given the hashes of their contents.
    pub fn between(
        base: &Config,
        base_hash: ContentHash,
        new: &Config,
        new_hash: ContentHash,
    ) -> Delta {
        Delta {
            base_version: base.version,
            base_hash,
            version: new.version,
            result_hash: new_hash,
            entry_lifetime_ms: new.entry_lifetime_ms,
            data_centres: diff(&base.data_centres, &new.data_centres, |item| &item.name),
            services: diff_services(&base.services, &new.services),
            customers: diff_customers(&base.customers, &new.customers),
            rules: diff(&base.rules, &new.rules, |item| &item.name),
            api_keys_required: new.api_keys_required,
            caller_limits: new.caller_limits,
            operators_version: new.operators_version,
        }
    }

    /// Applies the delta without verifying the content hash of the result.
    ///
    /// # Errors
    ///
    /// Returns an error if the delta was made for another base or doesn't fit.
    pub fn apply(self, base: &Config, base_hash: ContentHash) -> Result<Config, DeltaError> {
        if self.base_version != base.version || self.base_hash != base_hash {
            return Err(DeltaError::BaseMismatch);
        }
        Ok(Config {
            version: self.version,
            deployment: base.deployment.clone(),
            entry_lifetime_ms: self.entry_lifetime_ms,
            data_centres: apply_ops(&base.data_centres, self.data_centres)?,
            services: apply_service_ops(&base.services, self.services)?,
            customers: apply_customer_ops(&base.customers, self.customers)?,
            rules: apply_ops(&base.rules, self.rules)?,
            api_keys_required: self.api_keys_required,
            caller_limits: self.caller_limits,
            operators_version: self.operators_version,
        })
    }

    /// Applies a chain of deltas, the oldest first, and verifies the content hash
    /// of the last result.
    ///
    /// # Errors
    ///
    /// Returns an error if a delta doesn't fit or the hash of the last result differs.
    pub fn apply_all(
        deltas: Vec<Delta>,
        base: &Arc<Config>,
        base_hash: ContentHash,
    ) -> Result<(Config, ContentSummary), DeltaError> {
        let mut config = Config::clone(base);
        let mut hash = base_hash;
        for delta in deltas {
            let result_hash = delta.result_hash;
            config = delta.apply(&config, hash)?;
            hash = result_hash;
        }
        let summary = ContentSummary::of(&config).map_err(|_| DeltaError::Encoding)?;
        if summary.hash != hash { Err(DeltaError::ResultMismatch) } else { Ok((config, summary)) }
    }
}

/// Returns the operations that convert `base` to `new`; `key` returns what is unique to an item.
fn diff<'a, T: Clone + PartialEq, K: Eq + Hash>(
    base: &'a [T],
    new: &'a [T],
    key: impl Fn(&'a T) -> K,
) -> Vec<DeltaOp<T>> {
    let prefix = base.iter().zip(new).take_while(|(old, new)| old == new).count();
    let (base_rest, new_rest) = (&base[prefix..], &new[prefix..]);
    let suffix = base_rest
        .iter()
        .rev()
        .zip(new_rest.iter().rev())
        .take_while(|(old, new)| old == new)
        .count();
    let middle = prefix..base.len() - suffix;
    let by_key: FxHashMap<K, usize> = middle.map(|index| (key(&base[index]), index)).collect();

    let mut ops = Vec::new();
    push_copy(&mut ops, 0, prefix);
    for item in &new_rest[..new_rest.len() - suffix] {
        match by_key.get(&key(item)) {
            Some(&index) if base[index] == *item => push_copy(&mut ops, index, 1),
            _ => push_insert(&mut ops, item.clone()),
        }
    }
    push_copy(&mut ops, base.len() - suffix, suffix);
    ops
}

fn push_copy<T>(ops: &mut Vec<DeltaOp<T>>, index: usize, len: usize) {
    if len == 0 {
        return;
    }
    if let Some(DeltaOp::Copy { from, count }) = ops.last_mut()
        && (*from + *count) as usize == index
    {
        *count += len as u32;
        return;
    }
    ops.push(DeltaOp::Copy { from: index as u32, count: len as u32 });
}

fn push_insert<T>(ops: &mut Vec<DeltaOp<T>>, item: T) {
    if let Some(DeltaOp::Insert(items)) = ops.last_mut() {
        items.push(item);
        return;
    }
    ops.push(DeltaOp::Insert(vec![item]));
}

fn diff_services(base: &[Service], new: &[Service]) -> Vec<DeltaOp<ServiceDelta>> {
    let by_name = positions(base, |service| &service.name);
    let service_delta = |service: Service| {
        let old = by_name.get(service.name.as_str()).copied();
        let old_endpoints = old.map_or(&[][..], |index| &base[index].endpoints);
        let endpoints = diff(old_endpoints, &service.endpoints, |endpoint| &endpoint.name);
        let settings = Service { endpoints: Vec::new(), ..service };
        ServiceDelta { base: old.map(|index| index as u32), settings, endpoints }
    };
    diff(base, new, |service| &service.name)
        .into_iter()
        .map(|op| op.map_inserted(service_delta))
        .collect()
}

fn diff_customers(base: &[Customer], new: &[Customer]) -> Vec<DeltaOp<CustomerDelta>> {
    let by_name = positions(base, |customer| &customer.name);
    let customer_delta = |customer: Customer| {
        let old = by_name.get(customer.name.as_str()).copied();
        let old_keys = old.map_or(&[][..], |index| &base[index].api_keys);
        let api_keys = diff(old_keys, &customer.api_keys, |key| key);
        let settings = Customer { api_keys: Vec::new(), ..customer };
        CustomerDelta { base: old.map(|index| index as u32), settings, api_keys }
    };
    diff(base, new, |customer| &customer.name)
        .into_iter()
        .map(|op| op.map_inserted(customer_delta))
        .collect()
}

fn positions<T>(items: &[T], name: fn(&T) -> &Name) -> FxHashMap<&str, usize> {
    items.iter().enumerate().map(|(index, item)| (name(item).as_str(), index)).collect()
}

fn apply_ops<T: Clone>(base: &[T], ops: Vec<DeltaOp<T>>) -> Result<Vec<T>, DeltaError> {
    apply_ops_with(base, ops, Ok)
}

fn apply_service_ops(
    base: &[Service],
    ops: Vec<DeltaOp<ServiceDelta>>,
) -> Result<Vec<Service>, DeltaError> {
    let mut used = FxHashSet::default();
    apply_ops_with(base, ops, |delta| {
        // A damaged delta that refers to one large service many times would grow
        // without bound. In a valid one each service of the base occurs at most once.
        if delta.base.is_some_and(|index| !used.insert(index)) {
            return Err(DeltaError::InvalidOp);
        }
        let old = match delta.base {
            Some(index) => &base.get(index as usize).ok_or(DeltaError::InvalidOp)?.endpoints[..],
            None => &[],
        };
        Ok(Service { endpoints: apply_ops(old, delta.endpoints)?, ..delta.settings })
    })
}

fn apply_customer_ops(
    base: &[Customer],
    ops: Vec<DeltaOp<CustomerDelta>>,
) -> Result<Vec<Customer>, DeltaError> {
    let mut used = FxHashSet::default();
    apply_ops_with(base, ops, |delta| {
        // As with services, a damaged delta must not copy the keys of a customer many times.
        if delta.base.is_some_and(|index| !used.insert(index)) {
            return Err(DeltaError::InvalidOp);
        }
        let old = match delta.base {
            Some(index) => &base.get(index as usize).ok_or(DeltaError::InvalidOp)?.api_keys[..],
            None => &[],
        };
        Ok(Customer { api_keys: apply_ops(old, delta.api_keys)?, ..delta.settings })
    })
}

fn apply_ops_with<T: Clone, P>(
    base: &[T],
    ops: Vec<DeltaOp<P>>,
    mut build: impl FnMut(P) -> Result<T, DeltaError>,
) -> Result<Vec<T>, DeltaError> {
    // Names are unique, so a valid delta copies at most as many items as the base has.
    // A damaged one could otherwise request an unlimited number of copies.
    let mut copyable = base.len();
    let mut items = Vec::new();
    for op in ops {
        match op {
            DeltaOp::Copy { from, count } => {
                let (from, count) = (from as usize, count as usize);
                copyable = copyable.checked_sub(count).ok_or(DeltaError::InvalidOp)?;
                let run = base.get(from..from + count).ok_or(DeltaError::InvalidOp)?;
                items.extend_from_slice(run);
            }
            DeltaOp::Insert(new) => {
                for item in new {
                    items.push(build(item)?);
                }
            }
        }
    }
    Ok(items)
}
